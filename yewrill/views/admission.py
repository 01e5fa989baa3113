"""Admission order: which joiners (processes that ask to join a view) are admitted first, and how often each
sends join requests. It does no I/O.

A member attests a few joiners at a time, and a joiner needs the attestations of most of its observers within
one view. All members therefore prefer the same joiners, in an order that each computes by itself. A joiner
computes its position among the joiners that it knows of, and sends requests less often the further behind
it is, so that a large fleet that starts does not overload the members of a small view. Every joiner keeps
sending requests, so one that is known but never asks does not hold up the others for long.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Collection
from functools import lru_cache

MIN_BATCH_SIZE = 8  # smallest number of joiners that send requests at the full rate
MAX_SLOWDOWN = 16  # largest factor by which a joiner's request interval grows
# One member in this number includes the last change in its join responses to a given joiner.
CHANGE_SENDER_SHARE = 3


@lru_cache(maxsize=8192)
def sort_key(name: str) -> bytes:
    """Returns the sort key of a joiner in the admission order."""
    return hashlib.blake2b(name.encode(), digest_size=8, person=b"view-join").digest()


def slowdown(size: int, name: str, joiners: Collection[str]) -> int:
    """Returns the factor by which a joiner's request interval grows, for a view of this size.

    `joiners`: the names of the live processes that are not in the view.
    """
    batch = max(MIN_BATCH_SIZE, size)
    other_keys = sorted(sort_key(other) for other in joiners if other != name)
    return min(MAX_SLOWDOWN, 1 + bisect_left(other_keys, sort_key(name)) // batch)


def sends_change(rank: int, name: str) -> bool:
    """Returns whether the member of this rank includes the last change in its responses to a joiner."""
    digest = hashlib.blake2b(b"%d " % rank + name.encode(), digest_size=1).digest()
    return digest[0] % CHANGE_SENDER_SHARE == 0
