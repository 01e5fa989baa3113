"""The codec of lease messages, the payload of membership datagrams (`membership/parts.py`).

Any value that doesn't have the expected type or size raises Malformed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

from yewrill.leases.lease_table import LeaseCommand, LeaseResult
from yewrill.leases.raft_types import (
    LogEntry,
    RaftMessage,
    Snapshot,
)
from yewrill.membership.format import bounded_int, bounded_text
from yewrill.membership.parts import MAX_FRAGMENT_BYTES, MAX_FRAGMENTS, MalformedPayload

LOG, REQUEST, REPLY, SUBMIT, SUBMITTED = 0, 1, 2, 3, 4
MAX_DATA_BYTES = 60_000  # bytes that a state machine is given, or gives back


@dataclass(frozen=True, slots=True)
class Request:
    """A holder's request to the leader of the log."""

    command: LeaseCommand


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request. Not `final`: ask `leader`, if it is known."""

    id: int
    final: bool
    result: LeaseResult
    leader: str = ""


@dataclass(frozen=True, slots=True)
class Submit:
    """Data submitted to one of the log's state machines."""

    machine: str
    id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Submitted:
    """The state machine's reply. `final` without `ok`: the voters have no such machine."""

    id: int
    final: bool
    ok: bool
    data: bytes = b""
    leader: str = ""


LeaseMessage = RaftMessage | Request | Reply | Submit | Submitted


def pack(what: LeaseMessage) -> bytes:
    """Encode one message."""
    if isinstance(what, Submit):
        return msgpack.packb([SUBMIT, what.machine, what.id, what.data])
    if isinstance(what, Submitted):
        return msgpack.packb([SUBMITTED, what.id, what.final, what.ok, what.data, what.leader])
    if isinstance(what, Request):
        c = what.command
        return msgpack.packb([REQUEST, c.action, c.role, c.holder, c.id, c.number, c.duration_ms])
    if isinstance(what, Reply):
        r = what.result
        return msgpack.packb(
            [REPLY, what.id, what.final, r.ok, r.number, r.holder, r.remaining_ms, what.leader]
        )
    m, s = what, what.snapshot
    return msgpack.packb(
        [
            LOG,
            m.kind,
            m.sender,
            m.to,
            m.incarnation,
            m.term,
            m.number,
            m.index,
            m.entry_term,
            m.accepted,
            m.is_voting,
            m.commit_index,
            [[e.term, e.kind, e.data, e.voters] for e in m.entries],
            None if s is None else [s.index, s.term, s.voters, s.data],
        ]
    )


def unpack(data: bytes) -> LeaseMessage:
    """Decode one message. Raises Malformed."""
    try:
        kind, *rest = msgpack.unpackb(data)
        if kind == SUBMIT:
            machine, id, body = rest
            return Submit(_text(machine), _integer(id), _bytes(body, MAX_DATA_BYTES))
        if kind == SUBMITTED:
            id, final, ok, body, leader = rest
            return Submitted(
                _integer(id),
                _boolean(final),
                _boolean(ok),
                _bytes(body, MAX_DATA_BYTES),
                _text(leader),
            )
        if kind == REQUEST:
            action, role, holder, id, number, duration_ms = rest
            return Request(
                LeaseCommand(
                    _text(action),
                    _text(role),
                    _text(holder),
                    _integer(id),
                    _integer(number),
                    _integer(duration_ms),
                )
            )
        if kind == REPLY:
            id, final, ok, number, holder, remaining_ms, leader = rest
            return Reply(
                _integer(id),
                _boolean(final),
                LeaseResult(_boolean(ok), _integer(number), _text(holder), _integer(remaining_ms)),
                _text(leader),
            )
        if kind == LOG:
            (
                name,
                sender,
                to,
                incarnation,
                term,
                number,
                index,
                entry_term,
                yes,
                counts,
                commit,
                entries,
                snapshot,
            ) = rest
            return RaftMessage(
                _text(name),
                _text(sender),
                _text(to),
                _integer(incarnation),
                _integer(term),
                _integer(number),
                _integer(index),
                _integer(entry_term),
                _boolean(yes),
                _boolean(counts),
                _integer(commit),
                tuple(
                    LogEntry(_integer(t), _text(k), _bytes(d), _names(v)) for t, k, d, v in entries
                ),
                None if snapshot is None else _snapshot(*snapshot),
            )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise MalformedPayload(str(error)) from error
    raise MalformedPayload("kind")


def _snapshot(index: Any, term: Any, voters: Any, data: Any) -> Snapshot:
    return Snapshot(_integer(index), _integer(term), _names(voters), _bytes(data))


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > 16:
        raise ValueError("names")
    return tuple(_text(name) for name in value)


def _bytes(value: Any, max_bytes: int = MAX_FRAGMENT_BYTES * MAX_FRAGMENTS) -> bytes:
    if not isinstance(value, bytes) or len(value) > max_bytes:
        raise ValueError("bytes")
    return value


def _boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("truth")
    return value


def _integer(value: Any) -> int:
    return bounded_int(value, 2**63 - 1)


def _text(value: Any) -> str:
    return bounded_text(value, empty=True)
