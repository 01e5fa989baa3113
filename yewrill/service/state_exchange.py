"""The state that the two processes of a hot restart exchange, and that a restart reads from disk.

`hot_restart.py` transports the messages. Processes of other versions read them too, so their keys must not
change.
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
    """Reads and applies the state that all processes of one dispatcher share."""

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
        """Returns the state for a new process, and gives it a part of the file descriptors."""
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
        """Applies a message of the other process: its whole state, or a change."""
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
        """Uses all file descriptors again, because no other process is left."""
        self._socket_budget.use_all()

    def apply(self, state: dict[str, Any]) -> None:
        """Applies operators' orders and an endpoint list from another process.

        `back` maps each worker that operators have reattached to the time since then, in ms."""
        self._operator_drain.set(bool(state["lame"]))
        for name in state["out"]:
            self._endpoints.detach(name, listed=False)
        if state["list"] and not self._watch.answered.is_set():
            self._endpoints.apply(state["list"], cached=True)
        for name, age_ms in state["back"].items():
            self._endpoints.detach(name, listed=False)
            self._endpoints.attach(name, age_ms)


def _wall_times(ages_ms: dict[str, float]) -> dict[str, float]:
    """Converts ages to wall clock times, both in ms: the monotonic clocks of two processes differ."""
    now = time.time() * 1000.0
    return {name: now - age for name, age in ages_ms.items()}


def _ages(times_ms: dict[str, float]) -> dict[str, float]:
    """Converts wall clock times to ages, both in ms. A time in the future or too long ago counts as now."""
    now = time.time() * 1000.0
    max_age = REATTACHED_RETENTION_SECONDS * 1000.0
    ages = {name: now - at for name, at in times_ms.items()}
    return {name: age if 0.0 <= age <= max_age else 0.0 for name, age in ages.items()}
