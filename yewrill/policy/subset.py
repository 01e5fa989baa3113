"""Which workers a dispatcher of a large fleet uses first: a window of a ring, placed evenly by its number.

Each worker is in about SHARERS windows. So few dispatchers soon know how a worker fares that is theirs, and
one gone bad costs few of them a job. One worker more or less moves a window by one. Pure arithmetic.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

SHARERS = 4  # so many dispatchers use a worker first, where there are more
LEAST_OWN = 6  # and a dispatcher so many workers

Item = TypeVar("Item")


def window(
    ring: Sequence[Item], dispatchers: int, index: int, place: float
) -> tuple[list[Item], list[Item]]:
    """The items of a ring that are this dispatcher's, and the others; `index` is its number among all, or
    below 0 where none is told: then its place, 0 to 1, stands in."""
    size = len(ring)
    width = min(size, max(LEAST_OWN, -(-size * SHARERS // dispatchers)))
    if width == size:
        return list(ring), []
    low = index % dispatchers * size // dispatchers if index >= 0 else int(place * size)
    turned = [*ring[low:], *ring[:low]]
    return turned[:width], turned[width:]
