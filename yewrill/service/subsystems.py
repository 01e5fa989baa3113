"""How subsystems join the service: each through one hook, made where the operators' file names it.

A hook runs while the service does, has figures and a status, and knows nothing of the service but what it is
given around it. What is not named is not imported.
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
    """What a hook may use. `attempt` carries a route step, and may be wrapped."""

    engine: DecisionEngine
    endpoints: EndpointList
    run_attempt: AttemptRunner
    subsystems: dict[str, Subsystem] = field(default_factory=dict)  # those made before, by name


class Subsystem(Protocol):
    name: str  # the management listener answers GET /_NAME with its status
    calls: Mapping[
        str, Callable[[str], Awaitable[bool]]
    ]  # PUT /_NAME/CALL?name=..., False: no such name

    def attach(self, context: SubsystemContext) -> None: ...

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run until cancelled; whatever is to be said at the end is said then."""

    def status(self) -> Mapping[str, Any]: ...

    def metrics(self) -> Mapping[str, int]: ...


# Key of the configuration: package, class. In this order, so that each finds what it builds on.
_HOOKS = {
    "members": ("yewrill.membership", "Members"),
    "views": ("yewrill.views.facade", "Views"),
    "ownership": ("yewrill.leases", "Ownership"),
    "zones": ("yewrill.zone_failover", "Zones"),
}


def create_subsystems(config: Config, context: SubsystemContext) -> list[Subsystem]:
    """The hooks of what the configuration names."""
    for key, (package, name) in _HOOKS.items():
        if getattr(config, key) is not None:
            subsystem = getattr(importlib.import_module(package), name)(getattr(config, key))
            subsystem.attach(context)
            context.subsystems[key] = subsystem
    return list(context.subsystems.values())
