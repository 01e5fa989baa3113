"""The interface through which optional subsystems join the service.

A subsystem runs while the service does, has metrics and a status, and knows nothing of the service but its
`SubsystemContext`. A subsystem that the configuration does not name is not imported.
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
    """What a subsystem may use of the service. It may replace `run_attempt` by a wrapper of it."""

    engine: DecisionEngine
    endpoints: EndpointList
    run_attempt: AttemptRunner
    subsystems: dict[str, Subsystem] = field(default_factory=dict)  # those made before, by name


class Subsystem(Protocol):
    """A subsystem that the configuration turns on."""

    name: str  # the management listener answers GET /_NAME with its status
    calls: Mapping[
        str, Callable[[str], Awaitable[bool]]
    ]  # PUT /_NAME/CALL?name=..., False: no such name

    def attach(self, context: SubsystemContext) -> None:
        """Receive the context, before `run`. Subsystems named earlier are in it."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run until cancelled; last messages are sent on cancellation."""

    def status(self) -> Mapping[str, Any]:
        """Status for operators, as JSON values."""

    def metrics(self) -> Mapping[str, int]:
        """Counters by the names that operators fetch, without the prefix."""


# Key of the configuration: package, class. In this order, so that each finds what it builds on.
_SUBSYSTEMS = {
    "members": ("yewrill.membership", "Members"),
    "views": ("yewrill.views.facade", "Views"),
    "ownership": ("yewrill.leases", "Ownership"),
    "zones": ("yewrill.zone_failover", "Zones"),
}


def create_subsystems(config: Config, context: SubsystemContext) -> list[Subsystem]:
    """Create the subsystems that the configuration names, in the order in which they build on each other."""
    for key, (package, name) in _SUBSYSTEMS.items():
        if getattr(config, key) is not None:
            subsystem = getattr(importlib.import_module(package), name)(getattr(config, key))
            subsystem.attach(context)
            context.subsystems[key] = subsystem
    return list(context.subsystems.values())
