"""A view: a number and an ordered list of entries, and the monitoring topology among them. It does no I/O.

An entry is one process, whose incarnation is drawn at random when it starts. Its position in the list is its
*rank*. On each of RINGS rings the entries are sorted by a hash, and neighbours on a ring monitor each other;
each such pair is an *edge*. In a view of up to MAX_FULL_MESH entries, all monitor each other.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left
from functools import cached_property, lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

RINGS = 4
MAX_FULL_MESH = 2 * RINGS + 1
MAX_ENTRIES = 4096
# Limit on the size of an encoded change; joiners that do not fit wait for the next view.
MAX_CHANGE_BYTES = 1500

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**48)]
Rank = Annotated[int, Meta(ge=0, lt=MAX_ENTRIES)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class Entry(Struct, frozen=True, array_like=True):
    """One process in a view. `capabilities`: its abilities, as short words from its settings."""

    name: Name
    incarnation: Number
    address: tuple[Name, Port]
    zone: Annotated[str, Meta(max_length=64)] = ""
    capabilities: Annotated[
        tuple[Annotated[str, Meta(max_length=16)], ...], Meta(max_length=8)
    ] = ()


class Change(Struct, frozen=True, array_like=True):
    """The change from one view to the next: ranks that are removed, entries that join."""

    removed: Annotated[tuple[Rank, ...], Meta(max_length=MAX_ENTRIES)] = ()
    joining: Annotated[tuple[Entry, ...], Meta(max_length=64)] = ()


class PersistedView(Struct, frozen=True, array_like=True):
    """The data that a member persists: number and names of the view that it accepted last."""

    number: Number
    names: Annotated[tuple[Name, ...], Meta(max_length=MAX_ENTRIES)]


_ENCODER = msgspec.msgpack.Encoder()
_CHANGE_DECODER = msgspec.msgpack.Decoder(Change)


@lru_cache(maxsize=65536)
def _ring_position(name: str, incarnation: int, ring: int) -> int:
    data = b"%d %d " % (ring, incarnation) + name.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8, person=b"view-ring").digest(), "big")


def estimate_diameter(size: int) -> float:
    """Estimates the number of edges between any two members of a view of this size."""
    return math.log(max(4, size), 4)


class View:
    """An immutable view."""

    def __init__(self, number: int, entries: tuple[Entry, ...]):
        self.number, self.entries = number, tuple(entries)
        self._rank = {entry.name: rank for rank, entry in enumerate(self.entries)}
        self._edges: dict[int, tuple[int, ...]] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def __repr__(self) -> str:
        return f"View({self.number}, {[entry.name for entry in self.entries]})"

    @property
    def majority(self) -> int:
        """Number of members in a majority."""
        return len(self.entries) // 2 + 1

    @property
    def estimated_diameter(self) -> float:
        """Estimated number of edges between any two members."""
        return estimate_diameter(len(self.entries))

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The names, in the order of ranks."""
        return tuple(entry.name for entry in self.entries)

    @cached_property
    def digest(self) -> bytes:
        """Digest of the number and the entries."""
        return hashlib.blake2b(_ENCODER.encode((self.number, self.entries)), digest_size=8).digest()

    def rank_of(self, name: str) -> int | None:
        """Returns the rank of a name, None if it is not in the view."""
        return self._rank.get(name)

    def find(self, name: str, incarnation: int) -> int | None:
        """Returns the rank of this incarnation of a process, None if it is not in the view."""
        rank = self._rank.get(name)
        return rank if rank is not None and self.entries[rank].incarnation == incarnation else None

    @cached_property
    def _rings(self) -> list[list[tuple[int, int]]]:
        return [
            sorted(
                (_ring_position(e.name, e.incarnation, ring), rank)
                for rank, e in enumerate(self.entries)
            )
            for ring in range(RINGS)
        ]

    def edges(self, rank: int) -> tuple[int, ...]:
        """Returns the ranks of the members that this one monitors and is monitored by, in ascending order."""
        found = self._edges.get(rank)
        if found is None:
            entry = self.entries[rank]
            found = self._edges[rank] = self.observers_of(entry.name, entry.incarnation, rank)
        return found

    def observers_of(self, name: str, incarnation: int, rank: int = -1) -> tuple[int, ...]:
        """Returns the ranks of the members that would monitor a process if it were on the rings.

        `rank`: its rank if it is in the view, else -1.
        """
        size = len(self.entries)
        if size - (rank >= 0) < MAX_FULL_MESH:
            return tuple(other for other in range(size) if other != rank)
        neighbors = set()
        for number, ring in enumerate(self._rings):
            index = bisect_left(ring, (_ring_position(name, incarnation, number), rank))
            neighbors |= {ring[index - 1][1], ring[(index + (rank >= 0)) % size][1]}
        return tuple(sorted(neighbors))

    def proposal_order(self) -> list[int]:
        """Returns the ranks in the order in which they may propose the next view."""
        return sorted(
            range(len(self.entries)),
            key=lambda rank: hashlib.blake2b(
                b"%d %d" % (self.number, rank), digest_size=8, person=b"view-turn"
            ).digest(),
        )

    def next_view(self, value: bytes) -> View:
        """Returns the next view by an agreed change.

        Remaining entries keep their order, joiners are appended by name. Bytes that are not a valid change
        leave the list as it is.
        """
        try:
            change = _CHANGE_DECODER.decode(value)
        except (msgspec.DecodeError, UnicodeDecodeError):
            change = Change()
        removed = set(change.removed)
        remaining = [entry for rank, entry in enumerate(self.entries) if rank not in removed]
        names = {entry.name for entry in remaining}
        joining = {entry.name: entry for entry in change.joining if entry.name not in names}
        entries = (*remaining, *(joining[name] for name in sorted(joining)))
        return View(self.number + 1, entries[:MAX_ENTRIES] or self.entries)


def encode_change(removed: set[int], joining: list[Entry]) -> bytes:
    """Encodes a change with all removals, and with as many joiners as fit in MAX_CHANGE_BYTES."""
    removed_ranks, joining = (
        tuple(sorted(removed)),
        sorted(joining, key=lambda entry: entry.name)[:64],
    )
    while True:
        value = _ENCODER.encode(Change(removed_ranks, tuple(joining)))
        if len(value) <= MAX_CHANGE_BYTES or not joining:
            return value
        joining.pop()
