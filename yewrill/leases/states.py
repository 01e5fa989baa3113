"""Further state machines of the replicated log beside the lease table: their entries and the common snapshot.

An entry has the log's own time, the name of its machine, and bytes that only the machine reads. All voters
apply the same entries in the same order, so a voter without the machine stops rather than skip one. If a
reply is lost, a submission may be applied twice; the machine must recognise repetitions by its own numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgpack

from yewrill.leases.lease_table import LeaseTable

STATE = "state"  # the kind of a state machine's log entry
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
    """The snapshot of all state. Without machines it has the older format, the lease table alone."""
    if not machines:
        return lease_table.pack()
    return msgpack.packb(
        [PARTS, lease_table.pack(), {name: machine.pack() for name, machine in machines.items()}]
    )


def restore_all(data: bytes, machines: Mapping[str, StateMachine]) -> tuple[LeaseTable, str]:
    """Restore all machines; returns the lease table and the name of one that is missing here, or ""."""
    parts = msgpack.unpackb(data) if data else None
    if parts is None or parts[0] != PARTS:
        for machine in machines.values():
            machine.restore(b"")
        return LeaseTable.unpack(data), ""
    for name, machine in machines.items():
        machine.restore(parts[2].get(name, b""))
    return LeaseTable.unpack(parts[1]), next(
        (name for name in parts[2] if name not in machines), ""
    )
