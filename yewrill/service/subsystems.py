"""The interface of optional subsystems.

A subsystem runs as long as the service, provides metrics and a status, and uses nothing of the service but
its `SubsystemContext`. A subsystem that the configuration does not name is not imported.
"""

from __future__ import annotations

import importlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

import trio

if TYPE_CHECKING:
    from yewrill.config.schema import Config
    from yewrill.dispatch.engine import DecisionEngine
    from yewrill.dispatch.lifecycle import AttemptRunner
    from yewrill.net.endpoint_list import EndpointList


@dataclass
class SubsystemContext:
    """The parts of the service that a subsystem may use. It may replace `run_attempt` by a wrapper of it."""

    engine: DecisionEngine
    endpoints: EndpointList
    run_attempt: AttemptRunner
    # Subsystems created before this one, by configuration key.
    subsystems: dict[str, Subsystem] = field(default_factory=dict)


class Subsystem(Protocol):
    """A subsystem that the configuration enables."""

    # The management listener answers GET /_NAME with the status.
    name: str
    # Handlers of PUT /_NAME/CALL?name=...; a handler returns False for an unknown name.
    calls: Mapping[str, Callable[[str], Awaitable[bool]]]

    def attach(self, context: SubsystemContext) -> None:
        """Receives the context, before `run`. The context contains the subsystems created earlier."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Runs until cancelled; on cancellation, final messages are sent."""

    def status(self) -> Mapping[str, Any]:
        """Returns the status for operators, as JSON values."""

    def metrics(self) -> Mapping[str, int]:
        """Returns counters by metric name, without the prefix."""


# Module and class of each subsystem by configuration key, in the order of creation: a subsystem may use those
# created before it.
_SUBSYSTEMS = {
    "members": ("yewrill.membership", "Members"),
    "views": ("yewrill.views.facade", "Views"),
    "ownership": ("yewrill.leases", "Ownership"),
    "zones": ("yewrill.zone_failover", "Zones"),
}


def create_subsystems(config: Config, context: SubsystemContext) -> list[Subsystem]:
    """Creates the subsystems that the configuration names, each after the subsystems that it may use."""
    for key, (package, name) in _SUBSYSTEMS.items():
        if getattr(config, key) is not None:
            subsystem = getattr(importlib.import_module(package), name)(getattr(config, key))
            subsystem.attach(context)
            context.subsystems[key] = subsystem
    return list(context.subsystems.values())
