"""The words of the simulator's wire, turned into the module's events and back. No decisions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from yewrill.policy import interface as api


class WireError(Exception):
    """Input that is not the wire's."""


_OUTCOME = {
    "served": api.PolicyOutcome.SERVED,
    "server_error": api.PolicyOutcome.ERROR,
    "turned_away": api.PolicyOutcome.REJECTED,
    "no_answer": api.PolicyOutcome.TIMEOUT,
    "no_connection": api.PolicyOutcome.NO_CONNECTION,
    "connection_lost": api.PolicyOutcome.CONNECTION_LOST,
    "called_off": api.PolicyOutcome.CANCELLED,
    "not_sent": api.PolicyOutcome.NOT_SENT,
}
_STATE = {
    "Running": api.WorkerState.RUNNING,
    "Stopping": api.WorkerState.DRAINING,
    "Deleted": api.WorkerState.REMOVED,
}
_FORM = {
    "delta": api.ListForm.CHANGES,
    "full": api.ListForm.FULL,
    "cached": api.ListForm.CACHED,
    "failed": api.ListForm.FAILED,
}
_EFFECT = {
    "pure": api.Idempotency.IDEMPOTENT,
    "token": api.Idempotency.IDEMPOTENT_BY_KEY,
    "side_effect": api.Idempotency.NON_IDEMPOTENT,
}


def _word(words: Mapping[str, str], value: Any, what: str) -> str:
    try:
        return words[value]
    except KeyError:
        raise WireError(f"unknown {what} {value!r}") from None


def _at(values: Any, position: int, default: Any) -> Any:
    """The value at a position of a list that may be absent or short (its last serves for the rest)."""
    if not values:
        return default
    return values[position] if position < len(values) else values[-1]


def decode_settings(config: Mapping[str, Any]) -> api.Settings:
    """Read the settings; unknown keys are skipped and absent ones keep their defaults."""
    facts = config.get("specifics", {})
    limits = config.get("limits", {})
    rules = config.get("rules", {})
    report = config.get("load_report", {})
    classes = []
    for i, c in enumerate(config.get("request_classes", ())):
        classes.append(
            api.RequestClass(
                name=c.get("name", str(i)),
                latency_objective=c.get("aim", c.get("deadline", 0.0)),
                deadline=c.get("deadline", 0.0),
                priority_weight=c.get("value", 1.0),
                late_weight_fraction=c.get("late_value", 0.0),
                idempotency=_word(_EFFECT, c.get("repeat", "pure"), "repeat class"),
                group=c.get("group", "all"),
                window=c.get("window", 0.0),
                objective_run_factor=c.get("aim_stretch", _at(facts.get("class_stretch"), i, 0.0)),
                kind=_at(facts.get("class_kind"), i, -1),
            )
        )
    fields = report.get("fields", ()) if report.get("via", "off") != "off" else ()
    slots_field = ""
    for name in fields:
        if facts.get(f"report_{name}") == "free slots":
            slots_field = name
    return api.Settings(
        classes=classes,
        tenants=[
            api.Tenant(t.get("name", str(i)), t.get("quota_per_s", 0.0), t.get("share", 1.0))
            for i, t in enumerate(config.get("parties", ()))
        ],
        kinds=max(1, len(config.get("kinds", ()))),
        zone=config.get("zone", 0),
        dispatchers=max(1, config.get("instances", 1)),
        index=config.get("index", -1),
        weight_by_work=config.get("counted_by", "request") == "work",
        over_quota_weight=config.get("over_share_worth", 1.0),
        list_on_request=config.get("registry_mode", "push") == "ask",
        reports_start=bool(facts.get("tells_start", False)),
        progress_interval=facts.get("progress", 0.0),
        report_fields=tuple(fields),
        free_slots_field=slots_field,
        reports_on_probe=report.get("via") == "on_probe",
        may_probe=bool(limits.get("may_probe", False)),
        may_cancel=bool(limits.get("cancel", False)),
        marks_retry=bool(config.get("client_habits", {}).get("marks_retry", False)),
        fifo=facts.get("queue_order") == "fifo",
        max_attempts=limits.get("try_limit", 1),
        max_retry_after=limits.get("max_retry_after", 0.0) if limits.get("retry_after") else 0.0,
        answer_slack=rules.get("answer_slack", 0.0),
        slow_start_multiple=rules.get("fall_multiple", 1.0),
        slow_start_window=rules.get("fall", 0.0),
        start_capacity=rules.get("start_capacity", 1.0),
        warm_after=rules.get("warm_after", 0.0),
        tick=config.get("tick", 1.0),
        fees=dict(config.get("fees", {})),
    )


def _inbound(m: dict[str, Any]) -> api.Event:
    get = m.get
    return api.RequestArrived(
        m["ticket"],
        m["tier_class"],
        m["client_deadline"],
        get("billing", 0),
        get("width", 1.0),
        get("memory", 0.0),
        get("expected", 0.0),
        bool(get("again_by_client", False)),
        key=str(get("route_key", "")),
    )


def _ended(m: dict[str, Any]) -> api.Event:
    get = m.get
    return api.AttemptEnded(
        m["ticket"],
        m["attempt"],
        m["worker"],
        _word(_OUTCOME, m["outcome"], "outcome"),
        get("time_taken", 0.0),
        get("final", False),
        get("report"),
    )


def _note(m: dict[str, Any]) -> api.Event | None:
    sort = m["sort"]
    if sort == 1:
        return api.AttemptStarted(m["ticket"], m["attempt"], m["worker"])
    if sort == 2:
        return api.AttemptProgress(m["ticket"], m["attempt"], m["worker"], m.get("level", 0.0))
    return None


def _list(m: dict[str, Any]) -> api.Event:
    entries = [
        api.WorkerEntry(
            r["worker"],
            r.get("zone", 0),
            r.get("machine", 0),
            r.get("group", 0),
            _word(_STATE, r["phase"], "phase"),
            r.get("heft", 1.0),
            r.get("launched", 0.0),
        )
        for r in m.get("rows", ())
    ]
    return api.WorkerList(_word(_FORM, m["form"], "form"), entries)


_DECODE = {
    "Inbound": _inbound,
    "ClosedAttempt": _ended,
    "Interim": _note,
    "Elapsed": lambda m: api.TimerFired(m["key_back"]),
    "Pong": lambda m: api.ProbeEnded(
        m["worker"], _word(_OUTCOME, m["outcome"], "outcome"), m.get("report")
    ),
    "First": lambda m: api.AnswerStarted(m["ticket"], m["attempt"], m["worker"]),
    "Registry": _list,
    "TimedOutClient": lambda m: api.ClientLeft(m["ticket"]),
    "Whisper": lambda m: None,  # no use is made of peers' messages
}


def decode_event(what: str, message: dict[str, Any]) -> api.Event | None:
    """The event a message stands for; None for what the module has no use for."""
    decode = _DECODE.get(what)
    if decode is None:
        raise WireError(f"unknown event {what!r}")
    return decode(message)


_ENCODE = {
    api.Send: lambda i, a: {
        "what": "Assign",
        "dispatcher_id": i,
        "ticket": a.request_id,
        "worker": a.worker,
        "patience": a.timeout,
    },
    api.Reject: lambda i, a: {
        "what": "TurnAway",
        "dispatcher_id": i,
        "ticket": a.request_id,
        "backoff": a.retry_after,
    },
    api.Fail: lambda i, a: {"what": "DropRequest", "dispatcher_id": i, "ticket": a.request_id},
    api.Cancel: lambda i, a: {
        "what": "Cancel",
        "dispatcher_id": i,
        "ticket": a.request_id,
        "attempt": a.attempt,
    },
    api.SetTimer: lambda i, a: {
        "what": "SetTimer",
        "dispatcher_id": i,
        "key_back": a.token,
        "sleep_for": a.delay,
    },
    api.Probe: lambda i, a: {"what": "Touch", "dispatcher_id": i, "worker": a.worker},
    api.WatchList: lambda i, a: {"what": "KeepInformed", "dispatcher_id": i, "active": a.active},
    api.Log: lambda i, a: {"what": "JournalLine", "dispatcher_id": i, "reason_text": a.text},
}


def encode_action(instance: int, action: api.Action) -> bytes:
    """The line that carries an action of one instance."""
    return orjson.dumps(_ENCODE[type(action)](instance, action), option=orjson.OPT_APPEND_NEWLINE)
