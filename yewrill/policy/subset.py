"""Deterministic subsetting: the workers that a dispatcher of a large fleet uses first.

All workers form a ring. The subset of a dispatcher is a range of that ring; the ranges are spread evenly by
the index of the dispatcher. Each worker is in about SUBSETS_PER_WORKER subsets, so the few dispatchers that
use a worker get enough samples to estimate its state soon, and a failing worker costs only few dispatchers a
request. Adding or removing a worker moves a subset's range by at most one position.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

# Number of subsets that contain a given worker, if there are at least as many dispatchers.
SUBSETS_PER_WORKER = 4
MIN_SUBSET_SIZE = 6

Item = TypeVar("Item")


def worker_subset(
    ring: Sequence[Item], dispatchers: int, index: int, position: float
) -> tuple[list[Item], list[Item]]:
    """Returns the items of a ring that are in this dispatcher's subset, and the others.

    `index` is the index of this dispatcher among all `dispatchers`. If it is unknown (below 0), the subset
    starts at `position` in the ring, 0 to 1."""
    size = len(ring)
    width = min(size, max(MIN_SUBSET_SIZE, -(-size * SUBSETS_PER_WORKER // dispatchers)))
    if width == size:
        return list(ring), []
    start = index % dispatchers * size // dispatchers if index >= 0 else int(position * size)
    rotated = [*ring[start:], *ring[:start]]
    return rotated[:width], rotated[width:]
