"""Rendezvous hashing: which of some nodes a key belongs to, the same for all who know the same nodes.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM Transactions on
Networking, 1998). A node that comes or goes moves only the keys that it gains or had. Pure: no I/O, no state,
and the same results on every machine.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nlargest
from typing import TypeVar
from zlib import crc32

Node = TypeVar("Node")
_MASK = 2**64 - 1


def number(name: str) -> int:
    """A name as a number of 32 bits."""
    return crc32(name.encode())


def weight(key: int, node: int) -> int:
    """How much a key belongs to a node, both as `number`s: 64 bits, by the finaliser of splitmix64."""
    x = (key << 32 | node) * 0x9E3779B97F4A7C15 & _MASK
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & _MASK
    return x ^ x >> 31


def homes(
    key: str, nodes: Iterable[Node], count: int, number_of: Callable[[Node], int]
) -> list[Node]:
    """The first `count` of the nodes that a key belongs to, the foremost first."""
    of_key = number(key)
    return nlargest(count, nodes, key=lambda node: weight(of_key, number_of(node)))
