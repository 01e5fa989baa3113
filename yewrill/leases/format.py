"""The codec of lease messages, the payload of membership datagrams (`membership/parts.py`).

Any value that doesn't have the expected type or size raises MalformedPayload.
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
MAX_DATA_BYTES = 60_000  # limit on the data of a submission, and on that of its reply


@dataclass(frozen=True, slots=True)
class Request:
    """A command about a lease, sent by a holder or a member that wants the lease to the leader of the log."""

    command: LeaseCommand


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a lease request. If not `final`, it must be sent again, to `leader` if that is known."""

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
    """The answer to a submission, with the state machine's reply.

    `final` without `ok`: the voters have no such machine. Not `final`: the data must be submitted again, to
    `leader` if that is known.
    """

    id: int
    final: bool
    ok: bool
    data: bytes = b""
    leader: str = ""


LeaseMessage = RaftMessage | Request | Reply | Submit | Submitted


def pack(message: LeaseMessage) -> bytes:
    """Encodes one message."""
    if isinstance(message, Submit):
        return msgpack.packb([SUBMIT, message.machine, message.id, message.data])
    if isinstance(message, Submitted):
        return msgpack.packb(
            [SUBMITTED, message.id, message.final, message.ok, message.data, message.leader]
        )
    if isinstance(message, Request):
        command = message.command
        return msgpack.packb(
            [
                REQUEST,
                command.action,
                command.role,
                command.holder,
                command.id,
                command.number,
                command.duration_ms,
            ]
        )
    if isinstance(message, Reply):
        result = message.result
        return msgpack.packb(
            [
                REPLY,
                message.id,
                message.final,
                result.ok,
                result.number,
                result.holder,
                result.remaining_ms,
                message.leader,
            ]
        )
    raft_message, snapshot = message, message.snapshot
    return msgpack.packb(
        [
            LOG,
            raft_message.kind,
            raft_message.sender,
            raft_message.to,
            raft_message.incarnation,
            raft_message.term,
            raft_message.number,
            raft_message.index,
            raft_message.entry_term,
            raft_message.accepted,
            raft_message.is_voting,
            raft_message.commit_index,
            [[e.term, e.kind, e.data, e.voters] for e in raft_message.entries],
            None
            if snapshot is None
            else [snapshot.index, snapshot.term, snapshot.voters, snapshot.data],
        ]
    )


def unpack(data: bytes) -> LeaseMessage:
    """Decodes one message. Raises MalformedPayload."""
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
                message_kind,
                sender,
                to,
                incarnation,
                term,
                number,
                index,
                entry_term,
                accepted,
                is_voting,
                commit_index,
                entries,
                snapshot,
            ) = rest
            return RaftMessage(
                _text(message_kind),
                _text(sender),
                _text(to),
                _integer(incarnation),
                _integer(term),
                _integer(number),
                _integer(index),
                _integer(entry_term),
                _boolean(accepted),
                _boolean(is_voting),
                _integer(commit_index),
                tuple(
                    LogEntry(_integer(t), _text(k), _bytes(d), _names(v)) for t, k, d, v in entries
                ),
                None if snapshot is None else _snapshot(*snapshot),
            )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise MalformedPayload(str(error)) from error
    raise MalformedPayload("unknown kind of message")


def _snapshot(index: Any, term: Any, voters: Any, data: Any) -> Snapshot:
    return Snapshot(_integer(index), _integer(term), _names(voters), _bytes(data))


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > 16:
        raise ValueError("expected a list of at most 16 names")
    return tuple(_text(name) for name in value)


def _bytes(value: Any, max_bytes: int = MAX_FRAGMENT_BYTES * MAX_FRAGMENTS) -> bytes:
    if not isinstance(value, bytes) or len(value) > max_bytes:
        raise ValueError("expected bytes of limited length")
    return value


def _boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("expected a boolean")
    return value


def _integer(value: Any) -> int:
    return bounded_int(value, 2**63 - 1)


def _text(value: Any) -> str:
    return bounded_text(value, empty=True)
