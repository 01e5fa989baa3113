"""Deterministic subsetting: which workers a dispatcher of a large fleet uses first. Pure arithmetic.

A subset is a range of a ring of all workers, placed evenly by the dispatcher's number. Each worker is in
about
SHARERS subsets. So few dispatchers soon know how a worker of theirs fares, and one that fails costs few
of them a request. One worker more or less moves a range by one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

SHARERS = 4  # so many dispatchers use a worker first, where there are more
MIN_SUBSET_SIZE = 6

Item = TypeVar("Item")


def worker_subset(
    ring: Sequence[Item], dispatchers: int, index: int, position: float
) -> tuple[list[Item], list[Item]]:
    """The items of a ring that are this dispatcher's, and the others.

    `index` is its number among all `dispatchers`, or below 0 where it is unknown: then `position` in the
    ring, 0 to 1, stands in."""
    size = len(ring)
    width = min(size, max(MIN_SUBSET_SIZE, -(-size * SHARERS // dispatchers)))
    if width == size:
        return list(ring), []
    start = index % dispatchers * size // dispatchers if index >= 0 else int(position * size)
    rotated = [*ring[start:], *ring[:start]]
    return rotated[:width], rotated[width:]
