"""A client's request, its attempts, and the final answers that are not a worker's result.

Times are milliseconds on the decision engine's clock.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.policy.interface import Idempotency


@dataclass(eq=False, slots=True)
class Request:
    """A client's request. Only the frontend interprets `payload`."""

    id: str  # request id chosen by the client, not unique
    request_class: int
    deadline: float
    tenant: int = 0
    width: float = 1.0  # number of slots that the request occupies
    memory: float = 0.0  # memory that the request occupies
    work_hint: float = 0.0  # expected work as stated by the client; 0: unknown
    retry: bool = False  # the client marked the request as a retry
    # Affinity key: requests with the same subject need the same data, which workers cache.
    subject: str = ""
    payload: Any = None
    client_left: bool = False
    # An attempt by an earlier process that may have run: how many milliseconds ago it was sent, and the zone
    # and cell of its worker. -1: there was none.
    earlier_attempt_age: float = -1.0
    earlier_attempt_zone: int = -1
    earlier_attempt_cell: int = -1
    class_name: str = ""
    # Input of the safety rules: idempotency and deduplication window of the request class, and the send time
    # of the first attempt that may have run.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    window: float = 0.0
    ran_at: float | None = None
    on_progress: Callable[[Attempt, float], None] | None = None
    # Polls the connection and returns whether the client has left.
    poll_client_left: Callable[[], bool] | None = None
    # Waits until `poll_client_left` would tell that the client has left by now.
    settle_client_input: Callable[[], Awaitable[None]] | None = None
    trace: Any = None
    # The fields below are internal to the decision engine.
    key: str = ""  # unique key of the request; empty until it is submitted
    attempt_count: int = 0
    active_attempt: Attempt | None = None
    choice: Attempt | Rejection | Failure | None = None
    choice_ready: trio.Event | None = None
    closed: bool = False  # whether the final answer is decided, or none is due any more


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to run a request on one worker."""

    request: Request
    number: int
    worker: str
    deadline: float  # time at which the dispatcher stops waiting for the worker
    trace: Any = None  # trace of the attempt; None if tracing is off
    sent: float = 0.0  # time at which the attempt's first byte was written
    # Whether the last byte was written; the worker may run the request from then on.
    written: bool = False
    # Time at which the worker reported the start of the attempt; set only if attempts are logged.
    started_at: float = 0.0
    withdrawn: AttemptOutcome | None = None
    load: Any = None  # the worker's load report that came with the outcome, not validated
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Cancels the attempt; the task that runs it closes its connection and reports this outcome."""
        self.withdrawn = outcome
        self.scope.cancel()


@dataclass(frozen=True, slots=True)
class Rejection:
    """The final answer "not served": a retry is safe, preferably after `retry_after` ms (0: no advice)."""

    retry_after: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Failure:
    """The final answer "failed": the request may or may not have run."""

    text: str = "failed"
    reason: str = ""


Choice = Attempt | Rejection | Failure
