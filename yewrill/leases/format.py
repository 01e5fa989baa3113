"""The bytes of ownership: messages of the log and requests, as cargo of the members' datagrams
(`members/parts.py`). Whatever does not fit its form is refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

from yewrill.leases.duties import LeaseCommand, LeaseResult
from yewrill.leases.raft_types import (
    LogEntry,
    RaftMessage,
    Snapshot,
)
from yewrill.membership.format import text, whole
from yewrill.membership.parts import MAX_FRAGMENT_BYTES, MAX_FRAGMENTS, MalformedPayload

LOG, REQUEST, REPLY, SUBMIT, SUBMITTED = 0, 1, 2, 3, 4
MAX_DATA_BYTES = 60_000  # bytes that a state machine is given, or gives back


@dataclass(frozen=True, slots=True)
class Request:
    command: LeaseCommand


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a request; `leader` where another is to be asked."""

    id: int
    final: bool
    result: LeaseResult
    leader: str = ""


@dataclass(frozen=True, slots=True)
class Submit:
    """Something for one of the log's state machines."""

    machine: str
    id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Submitted:
    """What the machine said; `final` without `ok`: the voters have no such machine."""

    id: int
    final: bool
    ok: bool
    data: bytes = b""
    leader: str = ""


LeaseMessage = RaftMessage | Request | Reply | Submit | Submitted


def pack(what: LeaseMessage) -> bytes:
    if isinstance(what, Submit):
        return msgpack.packb([SUBMIT, what.machine, what.id, what.data])
    if isinstance(what, Submitted):
        return msgpack.packb([SUBMITTED, what.id, what.final, what.ok, what.data, what.leader])
    if isinstance(what, Request):
        c = what.command
        return msgpack.packb([REQUEST, c.what, c.duty, c.owner, c.id, c.number, c.span])
    if isinstance(what, Reply):
        r = what.result
        return msgpack.packb(
            [REPLY, what.id, what.final, r.ok, r.number, r.owner, r.left, what.leader]
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
    """Raises Malformed."""
    try:
        kind, *rest = msgpack.unpackb(data)
        if kind == SUBMIT:
            machine, id, body = rest
            return Submit(_text(machine), _whole(id), _bytes(body, MAX_DATA_BYTES))
        if kind == SUBMITTED:
            id, final, ok, body, leader = rest
            return Submitted(
                _whole(id), _truth(final), _truth(ok), _bytes(body, MAX_DATA_BYTES), _text(leader)
            )
        if kind == REQUEST:
            what, duty, owner, id, number, span = rest
            return Request(
                LeaseCommand(
                    _text(what), _text(duty), _text(owner), _whole(id), _whole(number), _whole(span)
                )
            )
        if kind == REPLY:
            id, final, ok, number, owner, left, leader = rest
            return Reply(
                _whole(id),
                _truth(final),
                LeaseResult(_truth(ok), _whole(number), _text(owner), _whole(left)),
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
                _whole(incarnation),
                _whole(term),
                _whole(number),
                _whole(index),
                _whole(entry_term),
                _truth(yes),
                _truth(counts),
                _whole(commit),
                tuple(
                    LogEntry(_whole(t), _text(k), _bytes(d), _names(v)) for t, k, d, v in entries
                ),
                None if snapshot is None else _snapshot(*snapshot),
            )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise MalformedPayload(str(error)) from error
    raise MalformedPayload("kind")


def _snapshot(index: Any, term: Any, voters: Any, data: Any) -> Snapshot:
    return Snapshot(_whole(index), _whole(term), _names(voters), _bytes(data))


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > 16:
        raise ValueError("names")
    return tuple(_text(name) for name in value)


def _bytes(value: Any, most: int = MAX_FRAGMENT_BYTES * MAX_FRAGMENTS) -> bytes:
    if not isinstance(value, bytes) or len(value) > most:
        raise ValueError("bytes")
    return value


def _truth(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("truth")
    return value


def _whole(value: Any) -> int:
    return whole(value, 2**63 - 1)


def _text(value: Any) -> str:
    return text(value, empty=True)
