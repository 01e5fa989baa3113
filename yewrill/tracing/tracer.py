"""What the dispatcher speaks to: begin, mark, finish. Everything else of this package is behind it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yewrill.tracing import breakdown, context, sampling
from yewrill.tracing.context import Context
from yewrill.tracing.record import AttemptTrace, RequestTrace


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much is kept. `share` of the ordinary records; `honoured`: callers' sampled flags a second."""

    share: float = 0.01
    queue: int = 10_000  # finished records
    honoured: float = 10.0


class Tracer:
    """`clock` gives the loop's seconds, `wall` the epoch's; the latter is asked once."""

    def __init__(
        self,
        bounds: Bounds,
        *,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ):
        self._clock = clock
        self._offset = (
            wall() - clock()
        )  # once: a wall clock that is being set must bend no duration
        self._rng = rng
        self._open: set[RequestTrace] = set()
        self.queue = sampling.Queue(bounds.queue)
        self.reconfigure(bounds)
        self.counts = dict.fromkeys(("finished", "kept_bad", "kept_ordinary", "thinned"), 0)
        self.on_kept: Callable[[], None] = lambda: None

    def reconfigure(self, bounds: Bounds) -> None:
        """Other bounds, for what finishes from now on."""
        self.bounds = bounds
        self.queue.most = bounds.queue
        self._limit = sampling.threshold(bounds.share)
        self._threshold = sampling.threshold_text(self._limit)
        self._allowance = sampling.Allowance(bounds.honoured)

    def new_span(self) -> str:
        return f"{self._rng.getrandbits(64) or 1:016x}"

    def begin(
        self,
        id: str,
        request_class: str,
        tenant: str,
        *,
        latency_objective: float,
        objective_run_factor: float,
        deadline: float,
        parent: str | None,
        state: str | None,
        first_byte: float,
    ) -> RequestTrace:
        """An operation is taken. `aim` and `deadline` in ms, `first_byte` by the loop's clock."""
        found = context.read(parent, state)
        if found is None:
            found = Context(f"{self._rng.getrandbits(128) or 1:032x}")
        trace = RequestTrace(
            self,
            found,
            self.new_span(),
            id,
            request_class,
            tenant,
            latency_objective,
            objective_run_factor,
            deadline,
            first_byte,
            self._clock(),
        )
        self._open.add(trace)
        return trace

    def headers(self, found: Context, span: str) -> list[tuple[str, str]]:
        """For an attempt: it is the parent of whatever its destination does."""
        sampled = found.sampled or found.random >= self._limit
        headers = [("traceparent", context.parent_header(found.trace, span, sampled))]
        if not found.parent:
            return headers  # begun here: nothing was handed in that must go on
        state = context.state_header(found, found.threshold)
        return [*headers, ("tracestate", state)] if state else headers

    def finish(self, trace: RequestTrace) -> dict[str, Any] | None:
        """The operation is over, and nothing of it is out. The record, if it is kept."""
        if trace not in self._open:
            return None
        self._open.discard(trace)
        self.counts["finished"] += 1
        found = trace.context
        late = self._is_late(trace)
        ordinary = trace.answer == "served" and len(trace.attempts) <= 1 and not late
        if ordinary and found.random < self._limit and not found.sampled:
            self.counts["thinned"] += 1  # the common way out, without building anything
            return None
        record = trace.as_dict(self._clock(), self._offset)
        record["late"] = late
        asked = found.sampled and self._allowance.take(self._clock())
        kept = sampling.keep(record, found.random, self._limit, asked)
        if not kept:
            self.counts["thinned"] += 1
            return None
        bad = any(cause in sampling.BAD for cause in kept)
        record["kept"] = kept
        # A bad one stands for itself alone; an ordinary one for as many as the share says.
        record["state"] = context.state_header(
            found, self._threshold if kept == [sampling.SAMPLED] else "0"
        )
        record["parts"] = breakdown.parts(record)
        self.counts["kept_bad" if bad else "kept_ordinary"] += 1
        self.queue.put(record, bad)
        self.on_kept()
        return record

    def _is_late(self, trace: RequestTrace) -> bool:
        if trace.answer != "served" or not trace.attempts:
            return False
        last: AttemptTrace = trace.attempts[-1]
        run = (last.end - last.started) * 1000.0 if last.started and last.end else None
        return sampling.late(
            (trace.decided - trace.start) * 1000.0,
            run,
            trace.latency_objective,
            trace.objective_run_factor,
        )

    def event(self, name: str, text: str = "") -> None:
        """Something that falls into the life of every operation under way."""
        at = self._clock()
        for trace in self._open:
            trace.event(at, name, text)

    @property
    def open(self) -> int:
        return len(self._open)
