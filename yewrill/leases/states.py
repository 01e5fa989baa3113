"""State machines that the replicated log makes beside the duties: their entries, and one snapshot of all.
Pure.

An entry has the log's own time, which machine it is for, and bytes that only the machine reads. All voters
apply the same entries in the same order; whoever has no such machine must not skip one. What is submitted may
be applied twice, where an answer was lost: the machine tells by its own numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgpack

from yewrill.leases.duties import LeaseTable

STATE = "state"  # the kind of such an entry
PARTS = "parts"  # what a snapshot with more than duties begins with


class StateMachine(Protocol):
    """`at`: the log's time, milliseconds, never backwards."""

    def apply(self, at: int, data: bytes) -> bytes: ...

    def pack(self) -> bytes: ...

    def restore(self, data: bytes) -> None:
        """Be as when `pack` gave this; b"": as at the beginning."""


def pack_entry(at: int, machine: str, data: bytes) -> bytes:
    return msgpack.packb([at, machine, data])


def unpack_entry(data: bytes) -> tuple[int, str, bytes]:
    at, machine, body = msgpack.unpackb(data)
    return at, machine, body


def pack_all(duties: LeaseTable, machines: Mapping[str, StateMachine]) -> bytes:
    """One snapshot. Without machines it is as it was before there were any."""
    if not machines:
        return duties.pack()
    return msgpack.packb(
        [PARTS, duties.pack(), {name: one.pack() for name, one in machines.items()}]
    )


def restore_all(data: bytes, machines: Mapping[str, StateMachine]) -> tuple[LeaseTable, str]:
    """The duties, with all machines put back; and which machine of the snapshot is not here, if any."""
    parts = msgpack.unpackb(data) if data else None
    if parts is None or parts[0] != PARTS:
        for one in machines.values():
            one.restore(b"")
        return LeaseTable.unpack(data), ""
    for name, one in machines.items():
        one.restore(parts[2].get(name, b""))
    return LeaseTable.unpack(parts[1]), next(
        (name for name in parts[2] if name not in machines), ""
    )
