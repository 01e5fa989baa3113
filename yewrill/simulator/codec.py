"""Codec of the simulator's protocol: messages to the policy module's events, actions to messages."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, TypeVar

import orjson

from yewrill.policy import interface as api

EnumMember = TypeVar("EnumMember", bound=StrEnum)


class WireError(Exception):
    """Input that violates the simulator's protocol."""


_OUTCOMES = {
    "served": api.PolicyOutcome.SERVED,
    "server_error": api.PolicyOutcome.ERROR,
    "turned_away": api.PolicyOutcome.REJECTED,
    "no_answer": api.PolicyOutcome.TIMEOUT,
    "no_connection": api.PolicyOutcome.NO_CONNECTION,
    "connection_lost": api.PolicyOutcome.CONNECTION_LOST,
    "called_off": api.PolicyOutcome.CANCELLED,
    "not_sent": api.PolicyOutcome.NOT_SENT,
}
_STATES = {
    "Running": api.WorkerState.RUNNING,
    "Stopping": api.WorkerState.DRAINING,
    "Deleted": api.WorkerState.REMOVED,
}
# Values of `sort` in an "Interim" message. Messages with other values are ignored.
START_NOTICE, PROGRESS_NOTICE = 1, 2
_LIST_FORMS = {
    "delta": api.ListForm.CHANGES,
    "full": api.ListForm.FULL,
    "cached": api.ListForm.CACHED,
    "failed": api.ListForm.FAILED,
}


def _decode_enum(members: Mapping[str, EnumMember], value: Any, field: str) -> EnumMember:
    try:
        return members[value]
    except KeyError:
        raise WireError(f"unknown {field} {value!r}") from None


def _decode_request_arrived(message: dict[str, Any]) -> api.Event:
    get = message.get
    return api.RequestArrived(
        message["ticket"],
        message["tier_class"],
        message["client_deadline"],
        get("billing", 0),
        get("width", 1.0),
        get("memory", 0.0),
        get("expected", 0.0),
        bool(get("again_by_client", False)),
        key=str(get("route_key", "")),
    )


def _decode_attempt_ended(message: dict[str, Any]) -> api.Event:
    get = message.get
    return api.AttemptEnded(
        message["ticket"],
        message["attempt"],
        message["worker"],
        _decode_enum(_OUTCOMES, message["outcome"], "outcome"),
        get("time_taken", 0.0),
        get("final", False),
        get("report"),
    )


def _decode_interim(message: dict[str, Any]) -> api.Event | None:
    sort = message["sort"]
    if sort == START_NOTICE:
        return api.AttemptStarted(message["ticket"], message["attempt"], message["worker"])
    if sort == PROGRESS_NOTICE:
        return api.AttemptProgress(
            message["ticket"], message["attempt"], message["worker"], message.get("level", 0.0)
        )
    return None


def _decode_worker_list(message: dict[str, Any]) -> api.Event:
    entries = [
        api.WorkerEntry(
            row["worker"],
            row.get("zone", 0),
            row.get("machine", 0),
            row.get("group", 0),
            _decode_enum(_STATES, row["phase"], "phase"),
            row.get("heft", 1.0),
            row.get("launched", 0.0),
        )
        for row in message.get("rows", ())
    ]
    return api.WorkerList(_decode_enum(_LIST_FORMS, message["form"], "form"), entries)


_DECODERS = {
    "Inbound": _decode_request_arrived,
    "ClosedAttempt": _decode_attempt_ended,
    "Interim": _decode_interim,
    "Elapsed": lambda message: api.TimerFired(message["key_back"]),
    "Pong": lambda message: api.ProbeEnded(
        message["worker"],
        _decode_enum(_OUTCOMES, message["outcome"], "outcome"),
        message.get("report"),
    ),
    "First": lambda message: api.AnswerStarted(
        message["ticket"], message["attempt"], message["worker"]
    ),
    "Registry": _decode_worker_list,
    "TimedOutClient": lambda message: api.ClientLeft(message["ticket"]),
    "Whisper": lambda message: None,  # messages from other dispatchers are ignored
}


def decode_event(what: str, message: dict[str, Any]) -> api.Event | None:
    """Decodes a message to an event; returns None for messages that the policy module does not use.

    Raises `WireError` for an unknown event or value, and `KeyError` for a missing field."""
    decode = _DECODERS.get(what)
    if decode is None:
        raise WireError(f"unknown event {what!r}")
    return decode(message)


_ENCODERS = {
    api.Send: lambda instance, action: {
        "what": "Assign",
        "dispatcher_id": instance,
        "ticket": action.request_id,
        "worker": action.worker,
        "patience": action.timeout,
    },
    api.Reject: lambda instance, action: {
        "what": "TurnAway",
        "dispatcher_id": instance,
        "ticket": action.request_id,
        "backoff": action.retry_after,
    },
    api.Fail: lambda instance, action: {
        "what": "DropRequest",
        "dispatcher_id": instance,
        "ticket": action.request_id,
    },
    api.Cancel: lambda instance, action: {
        "what": "Cancel",
        "dispatcher_id": instance,
        "ticket": action.request_id,
        "attempt": action.attempt,
    },
    api.SetTimer: lambda instance, action: {
        "what": "SetTimer",
        "dispatcher_id": instance,
        "key_back": action.token,
        "sleep_for": action.delay,
    },
    api.Probe: lambda instance, action: {
        "what": "Touch",
        "dispatcher_id": instance,
        "worker": action.worker,
    },
    api.WatchList: lambda instance, action: {
        "what": "KeepInformed",
        "dispatcher_id": instance,
        "active": action.active,
    },
    api.Log: lambda instance, action: {
        "what": "JournalLine",
        "dispatcher_id": instance,
        "reason_text": action.text,
    },
}


def encode_action(instance: int, action: api.Action) -> bytes:
    """Encodes an action of one dispatcher instance as a JSON line."""
    return orjson.dumps(_ENCODERS[type(action)](instance, action), option=orjson.OPT_APPEND_NEWLINE)
