"""Rendezvous (highest random weight) hashing of keys to nodes.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM Transactions on
Networking, 1998). All callers that know the same nodes get the same result, on every machine. Adding or
removing a node moves only the keys of that node.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nlargest
from typing import TypeVar
from zlib import crc32

Node = TypeVar("Node")
_MASK = 2**64 - 1


def hash_name(name: str) -> int:
    """Returns a 32-bit hash of a name."""
    return crc32(name.encode())


def weight(key: int, node: int) -> int:
    """Returns the 64-bit weight of a node for a key, both given by `hash_name`: the splitmix64 finalizer."""
    x = (key << 32 | node) * 0x9E3779B97F4A7C15 & _MASK
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    x = (x ^ x >> 27) * 0x94D049BB133111EB & _MASK
    return x ^ x >> 31


def top_nodes(
    key: str, nodes: Iterable[Node], count: int, hash_of: Callable[[Node], int]
) -> list[Node]:
    """Returns the `count` nodes with the highest weights for a key, in descending order of weight."""
    key_hash = hash_name(key)
    return nlargest(count, nodes, key=lambda node: weight(key_hash, hash_of(node)))
