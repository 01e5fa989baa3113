"""Builds a configuration for one application, from command-line options or a public cluster trace."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from yewrill.config.cluster_trace import Trace
from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.config.settings import check_consistency

# Default limits and rules for a small fleet on one network.
DEFAULT_LIMITS = {
    "try_limit": 3,
    "connect_timeout": 150.0,
    "idle_close": 10000.0,
    "max_retry_after": 2000.0,
    "retry_after": True,
    "may_probe": False,
    "cancel": True,
    "second_copies": False,
}
DEFAULT_RULES = {
    "answer_slack": 8.0,
    "fall": 3000.0,
    "fall_multiple": 3.0,
    "start_capacity": 0.3,
    "warm_after": 10000.0,
    "stop_sending_within": 1000.0,
}
_CLASS_KEYS = {
    "aim": float,
    "deadline": float,
    "stretch": float,
    "value": float,
    "late_value": float,
    "window": float,
    "repeat": str,
    "group": str,
}
_TENANT_KEYS = {"quota_per_s": float, "share": float}

MIN_DEADLINE_MS = 100.0  # a shorter deadline leaves no time for a retry


def parse_item(text: str, option: str, keys: Mapping[str, type]) -> tuple[str, dict[str, Any]]:
    """Parses `name:key=value,key=value` of the command line. Raises ConfigError.

    `option` is the name of the option for errors; `keys` maps each allowed key to its type.
    """
    name, _, rest = text.partition(":")
    values: dict[str, Any] = {}
    for part in filter(None, rest.split(",")):
        key, equals, value = part.partition("=")
        if key not in keys or not equals:
            raise ConfigError(
                f"{option} {name}: {part!r} is not KEY=VALUE with {', '.join(keys)} as the key"
            )
        try:
            values[key] = keys[key](value)
        except ValueError:
            raise ConfigError(f"{option} {name}: {key}: {value!r} is not a number") from None
    return name, values


def classes_from_options(items: tuple[str, ...]) -> tuple[list[dict[str, Any]], list[float]]:
    """Parses the values of `--class`. Raises ConfigError.

    Returns the request classes, and for each the factor by which its run time extends its latency objective.
    The factors are a separate list in the settings (`specifics.class_stretch`).
    """
    classes, run_factors = [], []
    for item in items:
        name, values = parse_item(item, "--class", _CLASS_KEYS)
        run_factors.append(values.pop("stretch", 0.0))
        classes.append({"name": name, "repeat": "pure", "value": 1.0, **values})
    return classes, run_factors


def classes_from_trace(
    trace: Trace, scale: float
) -> tuple[list[dict[str, Any]], list[float], dict[str, Any]]:
    """Derives one request class from each task type of a trace. `scale` multiplies all times.

    The latency objective is twice the run time plus the distance from the median to the 95th percentile, the
    deadline twice the 99th percentile. Returns the classes, for each the factor by which its run time
    extends its latency objective, and the statistics by class from which both are derived.
    """
    classes, run_factors, derived = [], [], {}
    for name, trace_class in trace.classes.items():
        p50, p95, p99 = (trace_class.quantile(q) * scale for q in (0.5, 0.95, 0.99))
        deadline = max(MIN_DEADLINE_MS, 2.0 * p99)
        objective = min(deadline, max(MIN_DEADLINE_MS / 2, p95 - p50))
        classes.append(
            {
                "name": name,
                "repeat": "pure",
                "value": 1.0,
                "aim": round(objective, 3),
                "deadline": round(deadline, 3),
            }
        )
        run_factors.append(2.0)
        derived[name] = {
            "rate_per_s": round(trace_class.arrivals / (trace.duration_s * scale), 6),
            "run_ms": {
                "mean": round(trace_class.mean * scale, 3),
                "p50": round(p50, 3),
                "p95": round(p95, 3),
                "p99": round(p99, 3),
            },
            "slots_mean": round(trace_class.slots / trace_class.arrivals, 3),
            "arrivals": trace_class.arrivals,
            "finished_rows": trace_class.finished,
        }
    return classes, run_factors, derived


def build(
    *,
    listen: str,
    discovery: str,
    name: str,
    front: str,
    mgmt: str | None = None,
    classes: list[dict[str, Any]],
    run_factors: list[float],
    tenants: tuple[str, ...] = (),
    zones: tuple[str, ...] = (),
    kinds: tuple[str, ...] = (),
    dispatchers: int = 1,
    sockets: int = 1024,
    memory_mb: int = 192,
    cores: float = 1.0,
    derived: Mapping[str, Any] | None = None,
    rate: float = 0.0,
    reports: tuple[str, ...] = (),
    free_slots: str | None = None,
    cross_zone_fee: float = 0.0,
) -> dict[str, Any]:
    """Builds the whole configuration and checks it with the code that reads it. Raises ConfigError."""
    parties = []
    for item in tenants:
        tenant, values = parse_item(item, "--tenant", _TENANT_KEYS)
        parties.append(
            {
                "name": tenant,
                "share": 1.0 / len(tenants),
                "quota_per_s": rate / len(tenants),
                **values,
            }
        )
    raw: dict[str, Any] = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "front": front,
        "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets},
        "settings": {
            "areas": list(zones) or ["here"],
            "kinds": list(kinds) or ["standard"],
            "instances": dispatchers,
            "tick": 2.0,
            "counted_by": "work",
            "registry_mode": "push",
            "request_classes": classes,
            "parties": parties,
            "limits": dict(DEFAULT_LIMITS),
            "rules": dict(DEFAULT_RULES),
            "specifics": {"class_stretch": run_factors, "tells_start": True, "progress": 1000.0},
        },
    }
    if reports:
        raw["settings"]["load_report"] = {"via": "inline", "fields": list(reports)}
    if free_slots:
        if free_slots not in reports:
            raise ConfigError(f"--free-slots: {free_slots!r} is not one of --report")
        raw["settings"]["specifics"][f"report_{free_slots}"] = "free slots"
    if cross_zone_fee:
        raw["settings"]["fees"] = {"cross_zone": cross_zone_fee}
    if mgmt:
        raw["mgmt"] = mgmt
    if derived:
        raw["x-derived"] = dict(derived)
    read_config(raw)
    check_consistency(raw["settings"])
    return raw
