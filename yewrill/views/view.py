"""A view: a number and its entries in one order, and who watches whom in it. Pure.

An entry is one process: its incarnation is drawn when it starts. Its place in the list is its *rank*. On each
of RINGS rings the entries stand in the order of a hash; neighbours on a ring watch each other (*edges*). Up
to ALL entries everyone watches everyone.
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
MAX_CHANGE_BYTES = 1500  # bytes of a change; what does not fit comes with the next view

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**48)]
Rank = Annotated[int, Meta(ge=0, lt=MAX_ENTRIES)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class Entry(Struct, frozen=True, array_like=True):
    """One process in a view. `can`: what it can do, as short words."""

    name: Name
    incarnation: Number
    address: tuple[Name, Port]
    zone: Annotated[str, Meta(max_length=64)] = ""
    can: Annotated[tuple[Annotated[str, Meta(max_length=16)], ...], Meta(max_length=8)] = ()


class Change(Struct, frozen=True, array_like=True):
    """From one view to the next: ranks that go, entries that come."""

    out: Annotated[tuple[Rank, ...], Meta(max_length=MAX_ENTRIES)] = ()
    joining: Annotated[tuple[Entry, ...], Meta(max_length=64)] = ()


class PersistedView(Struct, frozen=True, array_like=True):
    """What a member has on disk: the number and the names of the view that it accepted last."""

    number: Number
    names: Annotated[tuple[Name, ...], Meta(max_length=MAX_ENTRIES)]


_ENCODER = msgspec.msgpack.Encoder()
_CHANGE = msgspec.msgpack.Decoder(Change)


@lru_cache(maxsize=65536)
def _place(name: str, incarnation: int, ring: int) -> int:
    data = b"%d %d " % (ring, incarnation) + name.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8, person=b"view-ring").digest(), "big")


def depth_of(size: int) -> float:
    """About how many hops of the edges lead from anyone to anyone, in a view of so many."""
    return math.log(max(4, size), 4)


class View:
    """Not to be changed."""

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
        """How many members a majority has."""
        return len(self.entries) // 2 + 1

    @property
    def depth(self) -> float:
        """About how many hops of the edges lead from anyone to anyone."""
        return depth_of(len(self.entries))

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The names in the order of ranks."""
        return tuple(entry.name for entry in self.entries)

    @cached_property
    def digest(self) -> bytes:
        """A digest of the number and the entries."""
        return hashlib.blake2b(_ENCODER.encode((self.number, self.entries)), digest_size=8).digest()

    def rank_of(self, name: str) -> int | None:
        """The rank of a name; None if it is not in the view."""
        return self._rank.get(name)

    def find(self, name: str, incarnation: int) -> int | None:
        """The rank of just this process."""
        rank = self._rank.get(name)
        return rank if rank is not None and self.entries[rank].incarnation == incarnation else None

    @cached_property
    def _rings(self) -> list[list[tuple[int, int]]]:
        return [
            sorted(
                (_place(e.name, e.incarnation, ring), rank) for rank, e in enumerate(self.entries)
            )
            for ring in range(RINGS)
        ]

    def edges(self, rank: int) -> tuple[int, ...]:
        """The ranks of those that this one watches and is watched by, ascending."""
        found = self._edges.get(rank)
        if found is None:
            entry = self.entries[rank]
            found = self._edges[rank] = self.observers_of(entry.name, entry.incarnation, rank)
        return found

    def observers_of(self, name: str, incarnation: int, rank: int = -1) -> tuple[int, ...]:
        """Who would watch a process, had it a place on the rings; `rank`: the one it has."""
        size = len(self.entries)
        if size - (rank >= 0) < MAX_FULL_MESH:
            return tuple(other for other in range(size) if other != rank)
        near = set()
        for number, ring in enumerate(self._rings):
            at = bisect_left(ring, (_place(name, incarnation, number), rank))
            near |= {ring[at - 1][1], ring[(at + (rank >= 0)) % size][1]}
        return tuple(sorted(near))

    def proposal_order(self) -> list[int]:
        """The ranks in the order in which they may propose the next view."""
        return sorted(
            range(len(self.entries)),
            key=lambda rank: hashlib.blake2b(
                b"%d %d" % (self.number, rank), digest_size=8, person=b"view-turn"
            ).digest(),
        )

    def next_view(self, value: bytes) -> View:
        """The next view by an agreed change: who stays keeps its order, who comes is behind, by name. What
        is no change leaves the list as it is."""
        try:
            change = _CHANGE.decode(value)
        except (msgspec.DecodeError, UnicodeDecodeError):
            change = Change()
        out = set(change.out)
        stay = [entry for rank, entry in enumerate(self.entries) if rank not in out]
        names = {entry.name for entry in stay}
        joining = {entry.name: entry for entry in change.joining if entry.name not in names}
        entries = (*stay, *(joining[name] for name in sorted(joining)))
        return View(self.number + 1, entries[:MAX_ENTRIES] or self.entries)


def encode_change(out: set[int], joining: list[Entry]) -> bytes:
    """A change in bytes: all that go, and of those that come as many as fit."""
    out_sorted, joining = tuple(sorted(out)), sorted(joining, key=lambda entry: entry.name)[:64]
    while True:
        value = _ENCODER.encode(Change(out_sorted, tuple(joining)))
        if len(value) <= MAX_CHANGE_BYTES or not joining:
            return value
        joining.pop()
