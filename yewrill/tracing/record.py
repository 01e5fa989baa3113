"""The trace record of a request while it is open, and the dictionary that it becomes.

The dispatcher stores timestamps in seconds of its event loop; nothing is computed until the request is
finished. The dictionary is sampled, queued, spooled, written to files and encoded as OTLP. It holds JSON
types only, times in nanoseconds since the epoch. Its keys are the format of the trace files.
"""

from __future__ import annotations

from typing import Any

from yewrill.tracing.context import Context

VERSION = 1
MAX_TEXT_LENGTH = 256
MAX_EVENTS = 32


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_TEXT_LENGTH else text[: MAX_TEXT_LENGTH - 1] + "…"


class AttemptTrace:
    """Timestamps of one attempt; 0 for a stage that it has not reached.

    The stages are: the policy module decides on the attempt (`chosen`); the dispatcher begins it (`begin`),
    has a connection (`connected`) and has written the request (`written`); the worker reports the start
    (`started`) and its progress (`progressed`); the attempt ends (`end`).
    """

    __slots__ = (
        "span",
        "number",
        "worker",
        "candidates",
        "delay_reason",
        "chosen",
        "begin",
        "connected",
        "written",
        "started",
        "progressed",
        "share",
        "end",
        "outcome",
        "headers",
    )

    def __init__(
        self, span: str, number: int, worker: str, candidates: int, delay_reason: str, chosen: float
    ):
        self.span = span
        self.number = number
        self.worker = worker
        self.candidates = candidates  # number of workers that were considered
        self.delay_reason = delay_reason  # reason why the attempt was not sent earlier
        self.chosen = chosen
        self.begin = self.connected = self.written = self.started = self.progressed = self.end = 0.0
        self.share = 0.0
        self.outcome = ""
        self.headers: list[tuple[str, str]] = []  # trace context headers for the worker

    def note_progress(self, at: float, share: float) -> None:
        """Records the latest progress report; `share` is a fraction from 0 to 1."""
        self.progressed, self.share = at, share


class RequestTrace:
    """The trace of an open request.

    Timestamps: `start` is the arrival of the request's first byte, `accepted_at` the time at which the
    dispatcher accepted it, `decided` the time of its final answer.
    """

    __slots__ = (
        "context",
        "span",
        "id",
        "request_class",
        "tenant",
        "latency_objective",
        "objective_run_factor",
        "deadline",
        "start",
        "accepted_at",
        "decided",
        "answer",
        "reason",
        "retry_after",
        "attempts",
        "events",
        "_tracer",
    )

    def __init__(
        self,
        tracer: Any,
        context: Context,
        span: str,
        id: str,
        request_class: str,
        tenant: str,
        latency_objective: float,
        objective_run_factor: float,
        deadline: float,
        start: float,
        accepted_at: float,
    ):
        self._tracer = tracer
        self.context = context
        self.span = span
        self.id, self.request_class, self.tenant = id, request_class, tenant
        # `latency_objective` and `deadline` are in ms from the start; the factor has no unit.
        self.latency_objective, self.objective_run_factor, self.deadline = (
            latency_objective,
            objective_run_factor,
            deadline,
        )
        self.start, self.accepted_at = start, accepted_at
        self.decided = 0.0
        self.answer = self.reason = ""
        self.retry_after = 0.0  # Retry-After of a rejection, in ms
        self.attempts: list[AttemptTrace] = []
        self.events: list[tuple[float, str, str]] = []

    def begin_attempt(
        self, number: int, worker: str, candidates: int, delay_reason: str, at: float
    ) -> AttemptTrace:
        """Opens the trace of an attempt that the policy module has just decided on."""
        attempt = AttemptTrace(
            self._tracer.new_span(), number, worker, candidates, delay_reason, at
        )
        attempt.headers = self._tracer.headers(self.context, attempt.span)
        self.attempts.append(attempt)
        return attempt

    def event(self, at: float, name: str, text: str = "") -> None:
        """Adds an event; events beyond MAX_EVENTS are dropped."""
        if len(self.events) < MAX_EVENTS:
            self.events.append((at, name, text))

    def decide(self, at: float, answer: str, reason: str = "", retry_after: float = 0.0) -> None:
        """Sets the final answer and its reason. Only the first call has an effect."""
        if not self.answer:
            self.decided, self.answer, self.reason, self.retry_after = (
                at,
                answer,
                reason,
                retry_after,
            )

    def as_dict(self, end: float, offset: float) -> dict[str, Any]:
        """Returns the record in the file format. `offset`: seconds from the loop's clock to the epoch."""

        def ns(at: float) -> int:
            return int((at + offset) * 1e9) if at else 0

        attempts = []
        for attempt in self.attempts:
            then = (
                "served"
                if attempt.outcome == "served"
                else "tried again"
                if attempt is not self.attempts[-1]
                else self.answer or "left"
            )
            attempts.append(
                {
                    "span": attempt.span,
                    "number": attempt.number,
                    "to": _truncate(attempt.worker),
                    "among": attempt.candidates,
                    "held": attempt.delay_reason,
                    "chosen": ns(attempt.chosen),
                    "begin": ns(attempt.begin or attempt.chosen),
                    "connected": ns(attempt.connected),
                    "written": ns(attempt.written),
                    "started": ns(attempt.started),
                    "progressed": ns(attempt.progressed),
                    "share": attempt.share,
                    "end": ns(attempt.end or end),
                    "ending": attempt.outcome or "unknown",
                    "then": then,
                }
            )
        return {
            "v": VERSION,
            "trace": self.context.trace,
            "span": self.span,
            "parent": self.context.parent,
            "id": _truncate(self.id),
            "class": _truncate(self.request_class),
            "tenant": _truncate(self.tenant),
            "start": ns(self.start),
            "taken": ns(self.accepted_at),
            "decided": ns(self.decided),
            "end": ns(end),
            "deadline_ms": self.deadline,
            "aim_ms": self.latency_objective,
            "stretch": self.objective_run_factor,
            "answer": self.answer or "left",
            "why": self.reason,
            "retry_after_ms": self.retry_after,
            "attempts": attempts,
            "events": [
                {"at": ns(at), "name": name, "text": _truncate(text)}
                for at, name, text in self.events
            ],
        }
