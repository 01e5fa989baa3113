"""State machines of the replicated log other than the lease table: their entries, and the common snapshot.

An entry has the log's own time, the name of its state machine, and bytes that only that machine reads. All
voters apply the same entries in the same order, so a voter without the state machine stops voting rather than
skip an entry. If a reply is lost, a submission may be applied twice; the state machine must recognise
repetitions by numbers in its own data.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgpack

from yewrill.leases.lease_table import LeaseTable

STATE = "state"  # kind of the log entries for a state machine
PARTS = "parts"  # marks a snapshot that holds more than the lease table: its first item


class StateMachine(Protocol):
    """A deterministic state machine of the log."""

    def apply(self, at: int, data: bytes) -> bytes:
        """Applies one entry; returns the reply. `at` is the log's time in ms, which never decreases."""

    def pack(self) -> bytes:
        """Returns the whole state, for a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `pack` returned; b"" is the initial state."""


def pack_entry(at: int, machine: str, data: bytes) -> bytes:
    """Returns the data of a log entry for a state machine; `at` is the log's time in milliseconds."""
    return msgpack.packb([at, machine, data])


def unpack_entry(data: bytes) -> tuple[int, str, bytes]:
    """Reads what `pack_entry` returned."""
    at, machine, body = msgpack.unpackb(data)
    return at, machine, body


def pack_all(lease_table: LeaseTable, machines: Mapping[str, StateMachine]) -> bytes:
    """Returns the snapshot of all state. Without state machines, it is the lease table alone."""
    if not machines:
        return lease_table.pack()
    return msgpack.packb(
        [PARTS, lease_table.pack(), {name: machine.pack() for name, machine in machines.items()}]
    )


def restore_all(data: bytes, machines: Mapping[str, StateMachine]) -> tuple[LeaseTable, str]:
    """Restores the state machines and returns the lease table.

    Also returns the name of a state machine in the snapshot that this voter doesn't have, "" if there is
    none.
    """
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
