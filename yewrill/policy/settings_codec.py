"""Decodes the settings, in the form of the settings file and of the simulator, into `Settings`.

The names of that form are used in this module only.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from yewrill.policy.interface import Idempotency, RequestClass, Settings, Tenant

_IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENT_BY_KEY,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}


class SettingsError(Exception):
    """A setting has a value that is not one of the allowed ones."""


def decode_settings(config: Mapping[str, Any]) -> Settings:
    """Decodes the settings; unknown keys are ignored and absent ones get their defaults.

    Raises `SettingsError` for an unknown value of `repeat`, `ValueError` for inconsistent values, and
    `TypeError` or `AttributeError` for values of a wrong type."""
    specifics = config.get("specifics", {})
    limits = config.get("limits", {})
    rules = config.get("rules", {})
    report_fields = _report_fields(config)
    return Settings(
        classes=[
            _request_class(given, position, specifics)
            for position, given in enumerate(config.get("request_classes", ()))
        ],
        tenants=[
            Tenant(
                given.get("name", str(position)),
                given.get("quota_per_s", 0.0),
                given.get("share", 1.0),
            )
            for position, given in enumerate(config.get("parties", ()))
        ],
        kinds=max(1, len(config.get("kinds", ()))),
        zone=config.get("zone", 0),
        dispatchers=max(1, config.get("instances", 1)),
        dispatcher_index=config.get("index", -1),
        weight_by_work=config.get("counted_by", "request") == "work",
        over_quota_weight=config.get("over_share_worth", 1.0),
        list_on_request=config.get("registry_mode", "push") == "ask",
        reports_start=bool(specifics.get("tells_start", False)),
        progress_interval=specifics.get("progress", 0.0),
        report_fields=tuple(report_fields),
        free_slots_field=_free_slots_field(report_fields, specifics),
        reports_on_probe=config.get("load_report", {}).get("via") == "on_probe",
        may_probe=bool(limits.get("may_probe", False)),
        may_cancel=bool(limits.get("cancel", False)),
        marks_retry=bool(config.get("client_habits", {}).get("marks_retry", False)),
        fifo=specifics.get("queue_order") == "fifo",
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


def _request_class(
    given: Mapping[str, Any], position: int, specifics: Mapping[str, Any]
) -> RequestClass:
    return RequestClass(
        name=given.get("name", str(position)),
        latency_objective=given.get("aim", given.get("deadline", 0.0)),
        deadline=given.get("deadline", 0.0),
        priority_weight=given.get("value", 1.0),
        late_weight_fraction=given.get("late_value", 0.0),
        idempotency=_idempotency(given.get("repeat", "pure")),
        group=given.get("group", "all"),
        window=given.get("window", 0.0),
        objective_run_factor=given.get(
            "aim_stretch", _at(specifics.get("class_stretch"), position, 0.0)
        ),
        kind=_at(specifics.get("class_kind"), position, -1),
    )


def _idempotency(repeat: Any) -> Idempotency:
    try:
        return _IDEMPOTENCY[repeat]
    except KeyError:
        raise SettingsError(f"unknown repeat class {repeat!r}") from None


def _report_fields(config: Mapping[str, Any]) -> Any:
    report = config.get("load_report", {})
    return report.get("fields", ()) if report.get("via", "off") != "off" else ()


def _free_slots_field(fields: Any, specifics: Mapping[str, Any]) -> str:
    """Returns the last report field that is declared to count free slots, or "" if there is none."""
    found = ""
    for name in fields:
        if specifics.get(f"report_{name}") == "free slots":
            found = name
    return found


def _at(values: Any, position: int, default: Any) -> Any:
    """Returns the value at a position of a list: past its end the last one, for no list the default."""
    if not values:
        return default
    return values[position] if position < len(values) else values[-1]
