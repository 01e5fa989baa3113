"""Health checks of ejected workers, made on request of the policy module."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from yewrill.dispatch.outcome import AttemptOutcome

log = logging.getLogger(__name__)

# Checks the named worker; returns the outcome and the load report as received.
Prober = Callable[[str], Awaitable[tuple[AttemptOutcome, Any]]]
Report = Callable[[str, AttemptOutcome, Any], None]


class HealthChecks:
    """Queue of requested health checks. Each check ends with exactly one call of `report`."""

    def __init__(self, report: Report):
        self._report = report
        self._requested: list[str] = []

    def request(self, worker: str) -> None:
        """Requests a health check of a worker."""
        self._requested.append(worker)

    def start(self, nursery: trio.Nursery, prober: Prober) -> None:
        """Starts the requested checks as tasks in the nursery."""
        requested, self._requested = self._requested, []
        for worker in requested:
            nursery.start_soon(self._check, prober, worker)

    async def _check(self, prober: Prober, worker: str) -> None:
        try:
            outcome, load = await prober(worker)
        except Exception:
            log.exception("health_check_raised worker=%s outcome=internal_error", worker)
            outcome, load = AttemptOutcome.INTERNAL_ERROR, None
        self._report(worker, outcome, load)
