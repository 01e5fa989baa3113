"""A client's request, its attempts, and the final answers that are not a worker's result.

Times are milliseconds on the decision engine's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.policy.interface import Idempotency


@dataclass(eq=False, slots=True)
class Request:
    """A client's request. Only the frontend interprets `payload`."""

    id: str  # chosen by the client, not unique
    request_class: int
    deadline: float
    tenant: int = 0
    width: float = 1.0  # slots that it occupies
    memory: float = 0.0  # memory that it occupies
    hint: float = 0.0  # expected work; 0: unknown
    retry: bool = False  # the client marked it as a retry
    # Affinity key: workers cache what requests of the same subject need.
    subject: str = ""
    payload: Any = None
    client_left: bool = False
    # An attempt by an earlier process that may have run: how long ago it was sent, and where. -1: none.
    ran_ago: float = -1.0
    ran_zone: int = -1
    ran_cell: int = -1
    class_name: str = ""
    # Input of the safety rules: idempotency and deduplication window of the request class, and when the first
    # attempt that may have run was sent.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    window: float = 0.0
    ran_at: float | None = None
    on_progress: Callable[[Attempt, float], None] | None = None
    has_left: Callable[[], bool] | None = None  # polls the connection: whether the client has left
    trace: Any = None
    # Internal to the decision engine.
    key: str = ""  # unique; empty until the request is submitted
    attempt_count: int = 0
    live: Attempt | None = None
    choice: Attempt | Rejection | Failure | None = None
    choice_ready: trio.Event | None = None
    closed: bool = False  # the final answer is decided, or none is due any more


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to run a request on one worker."""

    request: Request
    number: int
    worker: str
    until: float  # when the dispatcher stops waiting for the worker
    trace: Any = None  # None if tracing is off
    sent: float = 0.0  # when its first byte was written
    written: bool = False  # its last byte was written; the worker may run it from then on
    started_at: float = 0.0  # when the worker reported its start; set only if attempts are logged
    withdrawn: AttemptOutcome | None = None
    load: Any = None  # the load report that came with its outcome, not validated
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Cancels the attempt; the task that runs it closes its connection and reports this outcome."""
        self.withdrawn = outcome
        self.scope.cancel()


@dataclass(frozen=True, slots=True)
class Rejection:
    """Not served; a retry is safe, preferably after `retry_after` milliseconds (0: no advice)."""

    retry_after: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Failure:
    """Failed; the request may or may not have run."""

    text: str = "failed"
    reason: str = ""


Choice = Attempt | Rejection | Failure
