"""Which joiners are let in first, and how often each may call. Pure.

A member vouches for a few joiners at a time, and a joiner needs the vouchers of most of its observers in one
view. So all members have to prefer the same ones: joiners have an order that everybody computes alike. A
joiner knows its place in it too (of those that it has heard of), and calls the more rarely the further behind
it is: members of a small view are not overrun by a large fleet that starts. Every joiner goes on calling, so
one that is listed and never calls holds nobody up for long.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Collection
from functools import lru_cache

MIN_BATCH = 8  # joiners that call at full pace, at least
MAX_SLOWDOWN = 16  # times the interval at which the last in the order call
TELLERS = 3  # one member in so many answers a caller with the last change


@lru_cache(maxsize=8192)
def sort_key(name: str) -> bytes:
    """Sort key of a joiner's name."""
    return hashlib.blake2b(name.encode(), digest_size=8, person=b"view-join").digest()


def slowdown(size: int, name: str, joiners: Collection[str]) -> int:
    """By how many times a joiner's interval is longer, in front of a view of this size. `joiners`: the names
    of all that seem to live and are not in that view."""
    batch = max(MIN_BATCH, size)
    before = sorted(sort_key(other) for other in joiners if other != name)
    return min(MAX_SLOWDOWN, 1 + bisect_left(before, sort_key(name)) // batch)


def sends_change(rank: int, name: str) -> bool:
    """Whether a member of this rank answers a caller with the last change."""
    digest = hashlib.blake2b(b"%d " % rank + name.encode(), digest_size=1).digest()
    return digest[0] % TELLERS == 0
