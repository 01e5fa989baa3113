"""Reads and checks the settings of the policy module (the section `settings`)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from yewrill.config.errors import ConfigError
from yewrill.config.values import (
    quoted,
    read_choice,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from yewrill.policy import interface as api
from yewrill.policy.settings_codec import SettingsError, decode_settings

# Optional numeric settings: path, minimum, and whether the minimum itself is allowed.
NUMERIC_SETTINGS = (
    ("limits.try_limit", 1.0, True),
    ("limits.connect_timeout", 0.0, False),
    ("limits.idle_close", 0.0, False),
    ("limits.max_retry_after", 0.0, True),
    ("rules.answer_slack", 0.0, True),
    ("rules.fall", 0.0, True),
    ("rules.fall_multiple", 0.0, False),
    ("rules.start_capacity", 0.0, False),
    ("rules.warm_after", 0.0, True),
    ("rules.stop_sending_within", 0.0, True),
    ("tick", 0.0, False),
    ("over_share_worth", 0.0, True),
    ("specifics.progress", 0.0, True),
)


def read_settings(raw: Any) -> api.Settings:
    """Checks the settings key by key and decodes them. Raises ConfigError."""
    raw = read_object(raw, "settings")
    for part in ("limits", "rules", "specifics", "load_report", "fees", "client_habits"):
        read_object(raw.get(part, {}), f"settings.{part}")
    for part in ("areas", "kinds", "parties", "request_classes"):
        read_list(raw.get(part, []), f"settings.{part}")
    _check_numbers(raw)
    _check_classes(raw)
    _check_class_specifics(raw)
    _check_tenants(raw.get("parties", []))
    try:
        return decode_settings(raw)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"settings: a value has the wrong type: {error}") from None


def _check_numbers(raw: Mapping[str, Any]) -> None:
    for path, low, inclusive in NUMERIC_SETTINGS:
        number: Any = raw
        for part in path.split("."):
            number = number.get(part) if isinstance(number, Mapping) else None
        if number is not None:
            read_number(number, f"settings.{path}", low, open_low=not inclusive)
    for name, value in raw.get("fees", {}).items():
        read_number(value, f"settings.fees.{name}")
    read_integer(raw.get("instances", 1), "settings.instances", 1)
    read_integer(raw.get("index", 0), "settings.index")


def _check_classes(raw: Mapping[str, Any]) -> None:
    if not raw.get("request_classes"):
        raise ConfigError("settings.request_classes: at least one class is needed")
    names: set[str] = set()
    for i, request_class in enumerate(raw["request_classes"]):
        _check_class(read_object(request_class, f"settings.request_classes[{i}]"), i, names)


def _check_class_specifics(raw: Mapping[str, Any]) -> None:
    """Checks the lists of `specifics` that have one value for each request class."""
    specifics = raw.get("specifics", {})
    kinds = len(raw.get("kinds", []))
    key_prefix = "settings.specifics.class_kind"
    for i, kind in enumerate(read_list(specifics.get("class_kind", []), key_prefix)):
        if read_integer(kind, f"{key_prefix}[{i}]", -1) >= max(1, kinds):
            raise ConfigError(f"{key_prefix}[{i}]: no machine kind {kind} in settings.kinds")
    key_prefix = "settings.specifics.class_stretch"
    for i, value in enumerate(read_list(specifics.get("class_stretch", []), key_prefix)):
        read_number(value, f"{key_prefix}[{i}]")


def _check_tenants(tenants: list[Any]) -> None:
    names: set[str] = set()
    for i, tenant in enumerate(tenants):
        key_prefix = f"settings.parties[{i}]"
        name = read_text(read_object(tenant, key_prefix).get("name"), f"{key_prefix}.name")
        if name in names:
            raise ConfigError(f"{key_prefix}.name: {quoted(name)} is there twice")
        names.add(name)
        read_number(tenant.get("quota_per_s", 0.0), f"{key_prefix}.quota_per_s")
        read_number(tenant.get("share", 1.0), f"{key_prefix}.share", 0.0, 1.0)


def _check_class(request_class: Mapping[str, Any], i: int, names: set[str]) -> None:
    key_prefix = f"settings.request_classes[{i}]"
    name = read_text(request_class.get("name"), f"{key_prefix}.name")
    if name in names:
        raise ConfigError(f"{key_prefix}.name: {quoted(name)} is there twice")
    if "/" in name or not name.isascii() or not name.isprintable() or " " in name:
        raise ConfigError(f"{key_prefix}.name: {quoted(name)} can't be the first part of a path")
    names.add(name)
    deadline = read_number(request_class.get("deadline"), f"{key_prefix}.deadline", open_low=True)
    read_number(request_class.get("aim", deadline), f"{key_prefix}.aim", 0.0, deadline)
    for key in ("window", "value", "late_value", "aim_stretch"):
        read_number(request_class.get(key, 0.0), f"{key_prefix}.{key}")
    read_choice(
        request_class.get("repeat", "pure"),
        f"{key_prefix}.repeat",
        ("pure", "token", "side_effect"),
    )
    if request_class.get("repeat") == "token":
        read_choice(
            request_class.get("group", "all"), f"{key_prefix}.group", ("all", "zone", "cell")
        )
        read_number(request_class.get("window"), f"{key_prefix}.window", open_low=True)


def check_consistency(settings: Mapping[str, Any]) -> None:
    """Raises ConfigError if settings contradict each other.

    `yewrill config` checks this. Startup does not, since a dispatcher with contradictory settings is better
    than none.
    """
    _check_load_report(settings)
    areas = settings.get("areas", [])
    zone = read_integer(settings.get("zone", 0), "settings.zone")
    if zone >= max(1, len(areas)):
        raise ConfigError(f"settings.zone: no zone {zone} in settings.areas")
    if settings.get("fees", {}).get("cross_zone", 0.0) > 0 and len(areas) < 2:
        raise ConfigError(
            "settings.fees.cross_zone: set, but settings.areas has fewer than two zones"
        )
    for i, request_class in enumerate(settings["request_classes"]):
        if request_class.get("late_value", 0.0) > 1.0:
            raise ConfigError(
                f"settings.request_classes[{i}].late_value: above 1, the value of an answer in time"
            )


def _check_load_report(settings: Mapping[str, Any]) -> None:
    report = settings.get("load_report", {})
    key_prefix = "settings.load_report"
    via = read_choice(report.get("via", "off"), f"{key_prefix}.via", ("inline", "on_probe", "off"))
    names = [
        read_text(name, f"{key_prefix}.fields[{i}]")
        for i, name in enumerate(read_list(report.get("fields", []), f"{key_prefix}.fields"))
    ]
    for i, name in enumerate(names):
        if name in names[:i]:
            raise ConfigError(f"{key_prefix}.fields[{i}]: {quoted(name)} is there twice")
    if names and via == "off":
        raise ConfigError(f"{key_prefix}.via: off, but fields are listed")
    if via != "off" and not names:
        raise ConfigError(f"{key_prefix}.fields: none listed, but via is {via}")
    specifics = settings.get("specifics", {})
    free = [
        key.removeprefix("report_")
        for key, means in specifics.items()
        if key.startswith("report_") and means == "free slots"
    ]
    if names and not {"inflight", "util", *free} & set(names):
        raise ConfigError(
            f"{key_prefix}.fields: none reports load or free capacity (inflight, util, or a field for which "
            'settings.specifics.report_FIELD is "free slots")'
        )
    if via == "on_probe" and not settings.get("limits", {}).get("may_probe", False):
        raise ConfigError("settings.limits.may_probe: false, but load_report.via is on_probe")
