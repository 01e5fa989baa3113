"""Decides whether a request may be sent that may have run before, in this process or in an earlier one.

It joins the register of attempts, which is kept in memory, with the journal on disk, if there is one.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from yewrill.dispatch.attempt_register import (
    LONG_AGO_MS,
    AttemptRegister,
    EarlierAttempt,
    RequestIdentity,
    SentAttempt,
    idempotency_key,
    retention_window_ms,
)
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.endpoint_list import EndpointList
from yewrill.policy.interface import NEVER_RAN, RequestClass

if TYPE_CHECKING:
    from yewrill.persistence.attempt_journal import AttemptJournal

log = logging.getLogger("yewrill.state")


@dataclass(frozen=True, slots=True)
class _TrackedRequest:
    """A request in progress that may not simply be repeated."""

    identity: RequestIdentity
    spec: RequestClass
    window_ms: float


class RepeatGuard:
    """Follows the requests that may not simply be repeated. Times are ms on the decision engine's clock."""

    def __init__(
        self,
        endpoints: EndpointList,
        now: Callable[[], float],
        non_idempotent_window_ms: float,
        journal: AttemptJournal | None = None,
    ):
        """`non_idempotent_window_ms`: how long attempts of non-idempotent requests count."""
        self.register = AttemptRegister()
        self._endpoints = endpoints
        self._now = now
        self._non_idempotent_window_ms = non_idempotent_window_ms
        self._journal = journal
        self._requests: dict[Request, _TrackedRequest] = {}

    def begin_request(self, request: Request, spec: RequestClass, tenant: str) -> None:
        """Starts to follow a request, once its class and tenant are known.

        Sets on the request the age, zone and cell of an attempt of it that may have run before.
        """
        if self._journal is not None:
            self._journal.begin_request(request, spec, tenant)
        window_ms = retention_window_ms(spec, self._non_idempotent_window_ms)
        if window_ms <= 0:
            return
        identity = RequestIdentity(spec.name, tenant, idempotency_key(request))
        self._requests[request] = _TrackedRequest(identity, spec, window_ms)
        earlier = self.register.find(identity, self._now())
        if earlier is not None:
            _set_earlier_attempt(request, earlier)

    async def record_attempt(self, attempt: Attempt) -> bool:
        """Records an attempt before its first byte is sent; returns whether that is done."""
        tracked = self._requests.get(attempt.request)
        if tracked is None or not self.may_send(attempt):
            return True
        worker = self._endpoints.get(attempt.worker)
        if worker is None:
            return False
        now = self._now()
        self.register.add(
            tracked.identity,
            attempt.request,
            SentAttempt(now, now + tracked.window_ms, worker.zone, worker.cell),
        )
        return self._journal is None or await self._journal.record_attempt(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Returns whether an attempt may be sent now, for all that other requests have sent by now."""
        tracked = self._requests.get(attempt.request)
        worker = self._endpoints.get(attempt.worker)
        if tracked is None or worker is None:
            return True
        return self.register.may_send(
            tracked.identity, attempt.request, tracked.spec, worker.zone, worker.cell
        )

    def attempt_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Notes an attempt's outcome. An attempt that never ran does not count."""
        if self._journal is not None:
            self._journal.attempt_finished(attempt, outcome)
        tracked = self._requests.get(attempt.request)
        if tracked is not None:
            ran = outcome.policy_outcome not in NEVER_RAN
            self.register.ended(tracked.identity, attempt.request, ran=ran)

    def request_finished(self, request: Request, *, settled: bool) -> None:
        """Ends the following of a request without an attempt in flight.

        `settled`: its client has the result.
        """
        if self._journal is not None:
            self._journal.request_finished(request, settled=settled)
        tracked = self._requests.pop(request, None)
        if tracked is not None:
            # An attempt without an outcome may have run.
            self.register.ended(tracked.identity, request, ran=True)

    def metrics(self) -> dict[str, int]:
        """Returns counters by metric name."""
        return {"attempts_forgotten": self.register.forgotten}


def _set_earlier_attempt(request: Request, earlier: EarlierAttempt) -> None:
    """Sets an attempt that may have run on its request, beside one that the journal may have found."""
    known_cell = request.earlier_attempt_cell
    age_ms = max(earlier.age_ms, request.earlier_attempt_age)
    if request.earlier_attempt_age >= 0 and known_cell != earlier.cell:
        age_ms = LONG_AGO_MS  # no single cell detects all duplicates
    request.earlier_attempt_age = age_ms
    request.earlier_attempt_zone = earlier.zone
    request.earlier_attempt_cell = earlier.cell
    log.info(
        "request_repeats_attempt request=%s age_ms=%.0f cell=%d", request.id, age_ms, earlier.cell
    )
