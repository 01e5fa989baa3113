"""Further state machines of the replicated log, beside the lease table: entries and a common snapshot. Pure.

An entry has the log's own time, which machine it is for, and bytes that only the machine reads. All voters
apply the same entries in the same order; whoever has no such machine must not skip one. What is submitted may
be applied twice, where an answer was lost: the machine tells by its own numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgpack

from yewrill.leases.lease_table import LeaseTable

STATE = "state"  # the kind of such an entry
PARTS = "parts"  # the first item of a snapshot of more than the lease table


class StateMachine(Protocol):
    """A deterministic state machine. `at` is the log's time in milliseconds; it never decreases."""

    def apply(self, at: int, data: bytes) -> bytes:
        """Apply one entry; returns the reply to whoever submitted it."""

    def pack(self) -> bytes:
        """The whole state, for a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `pack` returned; b"" is the initial state."""


def pack_entry(at: int, machine: str, data: bytes) -> bytes:
    """The data of a log entry for a state machine; `at` is the log's time in milliseconds."""
    return msgpack.packb([at, machine, data])


def unpack_entry(data: bytes) -> tuple[int, str, bytes]:
    """Read what `pack_entry` returned."""
    at, machine, body = msgpack.unpackb(data)
    return at, machine, body


def pack_all(lease_table: LeaseTable, machines: Mapping[str, StateMachine]) -> bytes:
    """One snapshot. Without machines it is as it was before there were any."""
    if not machines:
        return lease_table.pack()
    return msgpack.packb(
        [PARTS, lease_table.pack(), {name: one.pack() for name, one in machines.items()}]
    )


def restore_all(data: bytes, machines: Mapping[str, StateMachine]) -> tuple[LeaseTable, str]:
    """Restore all machines; returns the lease table and the name of one that is missing here, or ""."""
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
