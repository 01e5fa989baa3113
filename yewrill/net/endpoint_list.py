"""The endpoint list: the endpoints from discovery, and the workers that operators have detached."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from yewrill.config.endpoints import STATE_NAMES, read_endpoints
from yewrill.config.schema import TopologyNames
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.engine import DecisionEngine
from yewrill.policy import interface as api

MAX_DETACHED = 10_000
# For this time after a worker was attached again, a new process of a hot restart is informed of that.
REATTACHED_RETENTION_SECONDS = 60.0


class EndpointList:
    """Holds the known endpoints; reports each change to the decision engine and the subscribers."""

    def __init__(self, engine: DecisionEngine, topology: TopologyNames):
        self._engine = engine
        self.topology = topology
        self._known: dict[str, Endpoint] = {}
        # Workers detached by operators; may hold names that are not listed.
        self._detached: set[str] = set()
        # When a worker was attached again, if recently, in ms of the engine's clock.
        self._attached_at: dict[str, float] = {}
        self.version = 0
        self._change_subscribers: list[Callable[[Endpoint | None, str], None]] = []
        self._list_subscribers: list[Callable[[], None]] = []

    def __len__(self) -> int:
        return len(self._known)

    def subscribe_to_changes(self, callback: Callable[[Endpoint | None, str], None]) -> None:
        """Registers a callback for each changed endpoint and its name; the endpoint is None if removed."""
        self._change_subscribers.append(callback)

    def subscribe_to_lists(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each change of the list."""
        self._list_subscribers.append(callback)

    @property
    def names(self) -> list[str]:
        """The names of all listed endpoints."""
        return list(self._known)

    def get(self, name: str) -> Endpoint | None:
        """Returns the endpoint of this name, None if it is not listed."""
        return self._known.get(name)

    def may_send(self, name: str) -> bool:
        """Returns whether an endpoint may get new attempts: it is listed, running and not detached."""
        endpoint = self._known.get(name)
        return (
            endpoint is not None
            and endpoint.state == api.WorkerState.RUNNING
            and name not in self._detached
        )

    @property
    def detached(self) -> list[str]:
        """The sorted names of the workers that operators have detached, listed or not."""
        return sorted(self._detached)

    @property
    def recently_attached(self) -> dict[str, float]:
        """The workers attached again within the retention period, with the time since then in ms.

        A process that sends to such a worker for the first time must assume that it is warming up.
        """
        now = self._engine.now()
        oldest = now - REATTACHED_RETENTION_SECONDS * 1000.0
        self._attached_at = {name: at for name, at in self._attached_at.items() if at > oldest}
        return {name: now - at for name, at in self._attached_at.items()}

    def detach(self, name: str, listed: bool = True) -> bool:
        """Stops sending to a worker, whatever discovery lists, until it is attached again.

        Returns False if `listed` is set and the worker is not listed, or if too many are detached.
        """
        if name not in self._detached:
            if (listed and name not in self._known) or len(self._detached) >= MAX_DETACHED:
                return False
            self._detached.add(name)
            self._attached_at.pop(name, None)
            self._notify(name)
        return True

    def attach(self, name: str, age_ms: float = 0.0) -> bool:
        """Undoes `detach`, with effect from `age_ms` ago; returns False if the worker is unknown.

        The worker may have been restarted since it was detached.
        """
        if name in self._detached:
            self._detached.discard(name)
            self._attached_at[name] = self._engine.now() - age_ms
            self._notify(name)
            self._engine.worker_reattached(name, age_ms)
            return True
        return name in self._known

    def _notify(self, name: str) -> None:
        endpoint = self._known.get(name)
        if endpoint is not None:
            self._notify_change(endpoint, name)
            self._engine.update_endpoints([self._as_seen_by_policy(endpoint)], full=False)

    def _notify_change(self, endpoint: Endpoint | None, name: str) -> None:
        for callback in self._change_subscribers:
            callback(endpoint, name)

    def _as_seen_by_policy(self, endpoint: Endpoint) -> Endpoint:
        """Returns the endpoint as the policy module sees it: a detached one is draining."""
        if endpoint.id in self._detached and endpoint.state == api.WorkerState.RUNNING:
            return replace(endpoint, state=api.WorkerState.DRAINING)
        return endpoint

    def snapshot(self) -> dict[str, Any]:
        """Returns the list in discovery's format, for another process of this dispatcher."""
        return {
            "version": self.version,
            "full": True,
            "servers": [
                {
                    "id": endpoint.id,
                    "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
                    "zone": endpoint.zone,
                    "kind": endpoint.kind,
                    "cell": endpoint.cell,
                    "state": STATE_NAMES[endpoint.state],
                    "weight": endpoint.weight,
                    "started_ms": endpoint.started_ms,
                }
                for endpoint in self._known.values()
            ],
        }

    def apply(self, answer: dict[str, Any], cached: bool = False) -> None:
        """Applies an answer of discovery. Raises ConfigError if it is malformed; the list then stays."""
        endpoints = read_endpoints(answer, "discovery", self.topology)
        version, full = answer["version"], cached or bool(answer.get("full"))
        before = dict(self._known)
        if full:
            self._known = {}
        for endpoint in endpoints:
            if endpoint.state == api.WorkerState.REMOVED:
                self._known.pop(endpoint.id, None)
            else:
                self._known[endpoint.id] = endpoint
        self.version = version
        for name in before.keys() | self._known.keys():
            now = self._known.get(name)
            if now != before.get(name):
                self._notify_change(now, name)
        if self._known != before:
            for callback in self._list_subscribers:
                callback()
        if full or endpoints:
            self._engine.update_endpoints(
                map(self._as_seen_by_policy, endpoints), full=full, cached=cached
            )
