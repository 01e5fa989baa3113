"""Reads endpoint lists: responses of discovery and the last known list (`known`)."""

from __future__ import annotations

from typing import Any

from yewrill.config.errors import ConfigError
from yewrill.config.schema import TopologyNames
from yewrill.config.values import (
    quoted,
    read_address,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from yewrill.dispatch.endpoint import Endpoint
from yewrill.policy import interface as api

STATES = {
    "SERVING": api.WorkerState.RUNNING,
    "DRAINING": api.WorkerState.DRAINING,
    "DELETED": api.WorkerState.REMOVED,
}
STATE_NAMES = {state: word for word, state in STATES.items()}


def read_endpoints(response: Any, key: str, topology: TopologyNames) -> list[Endpoint]:
    """Reads a decoded endpoint list. `key` is its name in errors. Raises ConfigError."""
    response = read_object(response, key)
    read_integer(response.get("version"), f"{key}.version")
    endpoints = []
    for i, server in enumerate(read_list(response.get("servers"), f"{key}.servers")):
        entry_key = f"{key}.servers[{i}]"
        entry = read_object(server, entry_key)
        state = STATES.get(entry.get("state", "SERVING"))
        if state is None:
            raise ConfigError(
                f"{entry_key}.state: {quoted(entry.get('state'))} is not one of {', '.join(STATES)}"
            )
        removed = state == api.WorkerState.REMOVED  # a removed endpoint needs no address
        endpoints.append(
            Endpoint(
                read_text(entry.get("id"), f"{entry_key}.id"),
                ("", 0)
                if removed and not entry.get("addr")
                else read_address(entry.get("addr"), f"{entry_key}.addr"),
                TopologyNames.position(entry.get("zone", 0), topology.zones, f"{entry_key}.zone"),
                TopologyNames.position(entry.get("kind", 0), topology.kinds, f"{entry_key}.kind"),
                read_integer(entry.get("cell", 0), f"{entry_key}.cell"),
                state,
                read_number(entry.get("weight", 1.0), f"{entry_key}.weight"),
                read_number(entry.get("started_ms", 0), f"{entry_key}.started_ms"),
            )
        )
    return endpoints
