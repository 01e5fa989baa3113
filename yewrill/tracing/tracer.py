"""The package's interface to the dispatcher: begin a trace, finish it, queue the record if it is kept."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yewrill.tracing import breakdown, context, sampling
from yewrill.tracing.context import Context
from yewrill.tracing.record import AttemptTrace, RequestTrace


@dataclass(frozen=True, slots=True)
class SamplingConfig:
    """How many records are kept."""

    ratio: float = 0.01  # of ordinary records
    queue: int = 10_000  # finished records that may wait for export
    caller_sampled_per_second: float = 10.0  # records kept for the caller's sampled flag


class Tracer:
    """Creates traces and samples finished ones.

    `clock` returns the event loop's time, `wall` the epoch's, both in seconds; `wall` is read once, so that
    steps of the wall clock do not change durations.
    """

    def __init__(
        self,
        sampling_config: SamplingConfig,
        *,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ):
        self._clock = clock
        self._offset = wall() - clock()
        self._rng = rng
        self._open: set[RequestTrace] = set()
        self.queue = sampling.Queue(sampling_config.queue)
        self.reconfigure(sampling_config)
        self.counts = dict.fromkeys(("finished", "kept_bad", "kept_ordinary", "thinned"), 0)
        self.on_record_queued: Callable[[], None] = lambda: None

    def reconfigure(self, sampling_config: SamplingConfig) -> None:
        """Apply other limits to requests that finish from now on."""
        self.sampling_config = sampling_config
        self.queue.capacity = sampling_config.queue
        self._limit = sampling.threshold(sampling_config.ratio)
        self._threshold = sampling.threshold_text(self._limit)
        self._caller_sampled = sampling.TokenBucket(sampling_config.caller_sampled_per_second)

    def new_span(self) -> str:
        """A random span id, 16 hexadecimal digits."""
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
        """Open the trace of an accepted request.

        `latency_objective` and `deadline` are in ms, `first_byte` in seconds of the loop's clock. `parent`
        and `state` are the headers `traceparent` and `tracestate`, None where absent.
        """
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
        """Trace context headers for an attempt: its span is the parent of the worker's spans."""
        sampled = found.sampled or found.random >= self._limit
        headers = [("traceparent", context.parent_header(found.trace, span, sampled))]
        if not found.parent:
            return headers  # the trace begins here: no tracestate to pass on
        state = context.state_header(found, found.threshold)
        return [*headers, ("tracestate", state)] if state else headers

    def finish(self, trace: RequestTrace) -> dict[str, Any] | None:
        """Close the trace of a finished request. Returns the record if it is kept and queued, else None."""
        if trace not in self._open:
            return None
        self._open.discard(trace)
        self.counts["finished"] += 1
        found = trace.context
        late = self._is_late(trace)
        ordinary = trace.answer == "served" and len(trace.attempts) <= 1 and not late
        if ordinary and found.random < self._limit and not found.sampled:
            self.counts["thinned"] += 1  # the common case, before the record is built
            return None
        record = trace.as_dict(self._clock(), self._offset)
        record["late"] = late
        asked = found.sampled and self._caller_sampled.take(self._clock())
        kept = sampling.keep(record, found.random, self._limit, asked)
        if not kept:
            self.counts["thinned"] += 1
            return None
        bad = any(cause in sampling.BAD for cause in kept)
        record["kept"] = kept
        # A bad record counts once; a sampled one stands for 1 / ratio records.
        record["state"] = context.state_header(
            found, self._threshold if kept == [sampling.SAMPLED] else "0"
        )
        record["parts"] = breakdown.parts(record)
        self.counts["kept_bad" if bad else "kept_ordinary"] += 1
        self.queue.put(record, bad)
        self.on_record_queued()
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
        """Add an event to every open trace."""
        at = self._clock()
        for trace in self._open:
            trace.event(at, name, text)

    @property
    def open(self) -> int:
        """The number of open traces."""
        return len(self._open)
