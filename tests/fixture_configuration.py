"""A configuration file with every key, and the values that are read from it."""

from __future__ import annotations

from typing import Any

from fixture_simulator import FULL_SETTINGS, STATE_NAMES, settings_values

from yewrill.config.endpoints import read_endpoints
from yewrill.config.reading import read_config
from yewrill.config.reload import changed_keys
from yewrill.config.schema import Config, TopologyNames

LIMITS = {**FULL_SETTINGS["limits"], "connect_timeout": 175.0, "idle_close": 9000.0}
SERVERS = (
    {
        "id": "d1",
        "addr": "127.0.0.1:9",
        "zone": "south",
        "kind": "wide",
        "cell": 3,
        "state": "DRAINING",
        "weight": 2.5,
        "started_ms": 1234.5,
    },
    {"id": "d2", "addr": "127.0.0.1:10", "zone": "nowhere", "kind": 1},
    {"id": "d3", "state": "DELETED"},
)
FULL_CONFIG: dict[str, Any] = {
    "name": "d0",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "limits": {"cores": 2.0, "memory_mb": 256, "sockets": 512},
    "known": {"version": 4, "full": True, "servers": list(SERVERS)},
    "settings": {**FULL_SETTINGS, "limits": LIMITS},
    "front": "progress",
    "timing": {"answer_margin_ms": 25.0, "linger_ms": 650.0, "grace_ms": 3650.0},
    "mgmt": "127.0.0.1:8081",
    "state_dir": "state",
    "state": {"mode": "interval", "unsafe_window_ms": 60000.0, "patience_ms": 125.0},
    "tracing": {
        "share": 0.25,
        "queue": 500,
        "honoured": 3.0,
        "collector": "http://127.0.0.1:4318/v1/traces",
        "file": "traces.jsonl",
        "file_mb": 8.0,
        "files": 2,
        "spool_mb": 16.0,
    },
    "members": {
        "listen": "127.0.0.1:7401",
        "peers": ["127.0.0.1:7402"],
        "keys": ["ab" * 16, "cd" * 16],
        "name": "m0",
        "zone": "south",
        "region": "upper",
        "bytes_per_s": 30000.0,
        "interval": 0.25,
    },
    "views": {"founders": ["m0", "m1"], "dir": "views", "can": ["voter"]},
    "ownership": {
        "voters": ["m0", "m1", "m2"],
        "dir": "ownership",
        "span": 3.0,
        "trust_disk": True,
    },
    "zones": {"hold": 4.0, "step": 2.0, "most_out": 0.25, "stands": 20.0},
    "x-else": 1,
}
MINIMAL_CONFIG = {key: FULL_CONFIG[key] for key in ("listen", "discovery", "settings")}
ENVIRONMENT = {
    "BALANCER_NAME": "of-the-platform",
    "BALANCER_LISTEN": "127.0.0.1:5001",
    "BALANCER_DISCOVERY": "127.0.0.1:5002",
    "BALANCER_MGMT": "127.0.0.1:5003",
    "BALANCER_INHERITED_FD": "7",
    "TMPDIR": "/run",
}


def _optional_sections(config: Config) -> list[Any]:
    """Returns the values of the optional sections."""
    state, tracing, members = config.state, config.tracing, config.members
    views, ownership, zones = config.views, config.ownership, config.zones
    return [
        state and [state.path, state.mode, state.unsafe_window_ms, state.patience_ms],
        tracing
        and [
            [tracing.share, tracing.queue, tracing.honoured, tracing.collector, tracing.file],
            [tracing.file_mb, tracing.files, tracing.spool_mb],
        ],
        members
        and [
            [list(members.listen), [list(peer) for peer in members.peers], list(members.keys)],
            [members.name, members.zone, members.region, members.bytes_per_s, members.interval],
        ],
        views and [list(views.founders), views.dir, list(views.can)],
        ownership and [list(ownership.voters), ownership.dir, ownership.span, ownership.trust_disk],
        zones and [zones.hold, zones.step, zones.most_out, zones.stands],
    ]


def _config_values(raw: dict[str, Any], environment: dict[str, str] | None = None) -> list[Any]:
    config = read_config(raw, environment)
    return [
        [config.name, list(config.listen), list(config.discovery), config.seed],
        [config.limits.cores, config.limits.memory_mb, config.limits.sockets],
        [list(config.topology.zones), list(config.topology.kinds), config.known],
        [config.mgmt and list(config.mgmt), config.inherited_fd, config.link_dir, config.front],
        [config.answer_margin_ms, config.linger_ms, config.grace_ms],
        [config.connect_timeout_ms, config.idle_close_ms],
        sorted(config.stated),
        _optional_sections(config),
    ]


def configuration_values() -> list[Any]:
    """Returns the values of the full file, of a minimal one, and of one completed by the environment."""
    from_environment = {"settings": MINIMAL_CONFIG["settings"]}
    return [
        _config_values(FULL_CONFIG),
        _config_values(MINIMAL_CONFIG),
        _config_values(from_environment, ENVIRONMENT),
        settings_values(FULL_CONFIG["settings"]),
    ]


def reload_ignored() -> list[str]:
    """Returns the keys that a reload reports as ignored if all of them differ."""
    raw = {**MINIMAL_CONFIG, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    settings = {**MINIMAL_CONFIG["settings"], "areas": ["other"], "limits": {}, "tick": 3.0}
    return changed_keys(read_config(FULL_CONFIG), read_config({**raw, "settings": settings}))


def endpoint_values() -> list[list[Any]]:
    """Returns the values of the entries of an endpoint list."""
    topology = TopologyNames(("north", "south"), ("std", "wide"))
    found = read_endpoints({"version": 1, "servers": list(SERVERS)}, "list", topology)
    return [
        [
            [one.id, list(one.address), one.zone, one.kind, one.cell],
            [STATE_NAMES[one.state], one.weight, one.started_ms],
        ]
        for one in found
    ]
