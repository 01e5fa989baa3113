"""Reads and checks a configuration file. Every error names the faulty key or file."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import ujson

from yewrill.config.endpoints import read_endpoints
from yewrill.config.errors import ConfigError
from yewrill.config.optional_sections import (
    read_described_section,
    read_members,
    read_ownership,
    read_state,
    read_tracing,
    read_zones,
)
from yewrill.config.reload import key_paths
from yewrill.config.schema import FRONTS, Address, Config, Limits, TopologyNames
from yewrill.config.settings import check_consistency, read_settings
from yewrill.config.values import (
    quoted,
    read_address,
    read_choice,
    read_integer,
    read_number,
    read_object,
    read_text,
    reject_unknown_keys,
)
from yewrill.policy.interface import Settings

ENV_CONFIG = "BALANCER_CONFIG"
# Environment variables that supply keys absent from the file.
ENV_KEYS = {
    "name": "BALANCER_NAME",
    "listen": "BALANCER_LISTEN",
    "discovery": "BALANCER_DISCOVERY",
    "mgmt": "BALANCER_MGMT",
}
# Environment variable with the descriptor of a listening socket that the platform has opened.
ENV_INHERITED = "BALANCER_INHERITED_FD"
# Environment variable with a directory that the old and the new process of a hot restart share.
ENV_TEMPORARY = "TMPDIR"
REQUIRED_KEYS = ("listen", "discovery", "settings")
KNOWN_KEYS = {
    *REQUIRED_KEYS,
    "name",
    "seed",
    "limits",
    "known",
    "front",
    "timing",
    "mgmt",
    "state_dir",
    "state",
    "tracing",
    "members",
    "zones",
    "ownership",
    "views",
}
TIMING_KEYS = ("answer_margin_ms", "linger_ms", "grace_ms")
# After SIGTERM the platform waits for the longest deadline of a class, but no longer than
# MAX_GRACE_DEADLINE_MS, and then GRACE_AFTER_DEADLINE_MS more.
MAX_GRACE_DEADLINE_MS = 3000.0
GRACE_AFTER_DEADLINE_MS = 700.0


class _Timing(NamedTuple):
    """The section `timing`, in ms."""

    answer_margin: float
    linger: float
    grace: float


def read_config(raw: Any, environment: Mapping[str, str] | None = None) -> Config:
    """Checks a decoded configuration and returns it. Raises ConfigError.

    Variables of `environment` (ENV_KEYS) supply keys that are absent.
    """
    environment = environment or {}
    raw = dict(read_object(raw, "configuration"))
    stated = frozenset(key_paths(raw))
    for key, variable in ENV_KEYS.items():
        if key not in raw and environment.get(variable):
            raw[key] = environment[variable]
    for key in REQUIRED_KEYS:
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    raw_limits = read_object(raw.get("limits", {}), "limits")
    raw_timing = read_object(raw.get("timing", {}), "timing")
    reject_unknown_keys(raw_timing, TIMING_KEYS, "timing")
    _reject_misspelt_keys(raw)
    settings = read_settings(raw["settings"])
    topology = _read_topology(raw["settings"])
    if raw.get("known") is not None:
        read_endpoints(raw["known"], "known", topology)
    seed = _read_seed(raw.get("seed", "0"))
    connection_limits = read_object(raw["settings"].get("limits", {}), "settings.limits")
    timing = _read_timing(raw_timing, settings)
    listen, management = _read_listeners(raw)
    inherited_fd = _read_inherited_fd(environment.get(ENV_INHERITED))
    return Config(
        listen=listen,
        discovery=read_address(raw["discovery"], "discovery"),
        settings=settings,
        name=read_text(raw.get("name", "yewrill"), "name"),
        seed=seed,
        limits=_read_limits(raw_limits),
        topology=topology,
        known=raw.get("known"),
        mgmt=management,
        stated=stated,
        inherited_fd=inherited_fd,
        link_dir=environment.get(ENV_TEMPORARY) or None,
        state=read_state(raw),
        tracing=read_tracing(raw),
        members=read_members(raw),
        ownership=read_ownership(raw),
        zones=read_zones(raw),
        views=read_described_section(
            raw, "views", "yewrill.views.config:ViewsConfig", ("members",)
        ),
        front=read_choice(raw.get("front", "platform"), "front", FRONTS),
        answer_margin_ms=timing.answer_margin,
        linger_ms=timing.linger,
        grace_ms=timing.grace,
        connect_timeout_ms=connection_limits.get("connect_timeout", 150.0),
        idle_close_ms=connection_limits.get("idle_close", 10000.0),
    )


def _reject_misspelt_keys(raw: Mapping[str, Any]) -> None:
    """Rejects keys that differ from a known one by case or hyphens only.

    Other unknown keys are ignored, since the platform may add keys of its own.
    """
    for key in raw:
        if key in KNOWN_KEYS or key.startswith("x-"):
            continue
        close = [known for known in KNOWN_KEYS if known.lower() == key.lower().replace("-", "_")]
        if close:
            raise ConfigError(f"{key}: no such key; did you mean {close[0]}?")


def _read_topology(raw_settings: Mapping[str, Any]) -> TopologyNames:
    zones, kinds = (
        tuple(
            read_text(name, f"settings.{part}[{i}]")
            for i, name in enumerate(raw_settings.get(part, []))
        )
        for part in ("areas", "kinds")
    )
    return TopologyNames(zones, kinds)


def _read_seed(value: Any) -> int:
    if not isinstance(value, str):
        return read_integer(value, "seed", high=2**64)
    try:
        return int(value, 16)
    except ValueError:
        raise ConfigError(f"seed: {quoted(value)} is not a hexadecimal number") from None


def _read_timing(raw: Mapping[str, Any], settings: Settings) -> _Timing:
    margin = read_number(raw.get("answer_margin_ms", 20.0), "timing.answer_margin_ms", 1.0, 1000.0)
    linger = read_number(raw.get("linger_ms", 700.0), "timing.linger_ms", 0.0, 60000.0)
    longest_deadline = max(request_class.deadline for request_class in settings.classes)
    platform_grace = min(longest_deadline, MAX_GRACE_DEADLINE_MS) + GRACE_AFTER_DEADLINE_MS
    default_grace = max(platform_grace, linger)
    grace = read_number(raw.get("grace_ms", default_grace), "timing.grace_ms", linger, 600000.0)
    return _Timing(margin, linger, grace)


def _read_listeners(raw: Mapping[str, Any]) -> tuple[Address, Address | None]:
    """Returns the addresses of the client listener and of the management listener."""
    listen = read_address(raw["listen"], "listen", any_port=True)
    if raw.get("mgmt") is None:
        return listen, None
    management = read_address(raw["mgmt"], "mgmt", any_port=True)
    if management == listen and management[1]:
        raise ConfigError("mgmt: must differ from listen")
    return listen, management


def _read_inherited_fd(value: str | None) -> int | None:
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and len(value) < 6):
        raise ConfigError(f"{ENV_INHERITED}: {quoted(value)} is not a file descriptor")
    return int(value)


def _read_limits(raw: Mapping[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        read_number(raw.get("cores", default.cores), "limits.cores", open_low=True),
        read_integer(raw.get("memory_mb", default.memory_mb), "limits.memory_mb", 64),
        read_integer(raw.get("sockets", default.sockets), "limits.sockets", 64),
    )


def load_config(
    path: str | Path, environment: Mapping[str, str] | None = None, *, strict: bool = False
) -> Config:
    """Reads and checks a configuration file. Raises ConfigError.

    `strict` also rejects settings that contradict each other.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    try:
        raw = ujson.loads(text)
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    config = read_config(raw, environment)
    if strict:
        check_consistency(raw["settings"])
    return config
