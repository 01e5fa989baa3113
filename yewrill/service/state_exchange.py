"""What the two processes of a hot restart tell each other, and what a restart finds on disk.

The messages' keys are those of the link, which other versions read too (`hot_restart.py` carries them).
"""

from __future__ import annotations

import time
from typing import Any

from yewrill.net.discovery import DiscoveryWatch
from yewrill.net.endpoint_list import REATTACHED_RETENTION_SECONDS, EndpointList
from yewrill.service.open_requests import OpenRequests
from yewrill.service.operator_drain import OperatorDrain
from yewrill.service.socket_budget import SocketBudget


class StateExchange:
    """Gives and takes the state that holds for all processes of one dispatcher."""

    def __init__(
        self,
        endpoints: EndpointList,
        watch: DiscoveryWatch,
        operator_drain: OperatorDrain,
        open_requests: OpenRequests,
        socket_budget: SocketBudget,
    ):
        self._endpoints = endpoints
        self._watch = watch
        self._operator_drain = operator_drain
        self._open_requests = open_requests
        self._socket_budget = socket_budget

    def snapshot(self) -> dict[str, Any]:
        """What a new process needs to know. It gets a part of the descriptors too."""
        sockets = self._socket_budget.share_with_new_process()
        return {
            "ids": list(self._open_requests.ids),
            "lame": self._operator_drain.active,
            "out": self._endpoints.detached,
            "back": _wall_times(self._endpoints.recently_attached),
            "list": self._endpoints.snapshot(),
            "sockets": sockets,
        }

    def receive(self, message: dict[str, Any]) -> None:
        """Apply a message of the other process: all that it knows, or a change."""
        if "state" in message:
            state = message["state"]
            self._socket_budget.limit(int(state["sockets"]))
            self.apply({**state, "back": _ages(state["back"])})
        elif "lame" in message:
            self._operator_drain.set(bool(message["lame"]))
        elif "out" in message:
            self._endpoints.detach(message["out"], listed=False)
        elif "back" in message:
            self._endpoints.attach(message["back"])

    def disconnected(self) -> None:
        """No other process is left."""
        self._socket_budget.use_all()

    def apply(self, state: dict[str, Any]) -> None:
        """Apply what another process knew: the operators' orders, and a list. `back` holds ages in ms."""
        self._operator_drain.set(bool(state["lame"]))
        for name in state["out"]:
            self._endpoints.detach(name, listed=False)
        if state["list"] and not self._watch.answered.is_set():
            self._endpoints.apply(state["list"], cached=True)
        for name, age_ms in state["back"].items():
            self._endpoints.detach(name, listed=False)
            self._endpoints.attach(name, age_ms)


def _wall_times(ages_ms: dict[str, float]) -> dict[str, float]:
    """Ages as the wall clock's times, both in ms: the processes' own clocks differ."""
    now = time.time() * 1000.0
    return {name: now - age for name, age in ages_ms.items()}


def _ages(times_ms: dict[str, float]) -> dict[str, float]:
    """Wall clock times as ages, both in ms. A time that is in the future or too long ago counts as now."""
    now = time.time() * 1000.0
    max_age = REATTACHED_RETENTION_SECONDS * 1000.0
    ages = {name: now - at for name, at in times_ms.items()}
    return {name: age if 0.0 <= age <= max_age else 0.0 for name, age in ages.items()}
