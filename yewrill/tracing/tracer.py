"""The package's interface to the dispatcher: begins and finishes traces, and queues the kept records."""

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
    """Limits on the number of kept records."""

    ratio: float = 0.01  # fraction of ordinary records that are kept
    queue: int = 10_000  # number of finished records that may wait for export
    caller_sampled_per_second: float = 10.0  # records a second kept for the caller's sampled flag


class Tracer:
    """Creates traces and samples finished ones.

    `clock` returns the event loop's time and `wall` the time since the epoch, both in seconds; `wall` is read
    only once, so that steps of the wall clock do not change durations.
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
        """Applies new limits to requests that finish from now on."""
        self.sampling_config = sampling_config
        self.queue.capacity = sampling_config.queue
        self._sampling_threshold = sampling.threshold(sampling_config.ratio)
        self._threshold_text = sampling.threshold_text(self._sampling_threshold)
        self._caller_sampled = sampling.TokenBucket(sampling_config.caller_sampled_per_second)

    def new_span(self) -> str:
        """Returns a random span id of 16 hexadecimal digits."""
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
        """Opens the trace of an accepted request.

        `latency_objective` and `deadline` are in ms, `first_byte` in seconds of the loop's clock. `parent`
        and `state` are the headers `traceparent` and `tracestate`, None if absent.
        """
        request_context = context.read(parent, state)
        if request_context is None:
            request_context = Context(f"{self._rng.getrandbits(128) or 1:032x}")
        trace = RequestTrace(
            self,
            request_context,
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

    def headers(self, request_context: Context, span: str) -> list[tuple[str, str]]:
        """Returns the trace context headers of an attempt, whose span is the parent of the worker's spans."""
        sampled = request_context.sampled or request_context.random >= self._sampling_threshold
        headers = [("traceparent", context.parent_header(request_context.trace, span, sampled))]
        if not request_context.parent:
            return headers  # the trace begins at this dispatcher: no tracestate
        state = context.state_header(request_context, request_context.threshold)
        return [*headers, ("tracestate", state)] if state else headers

    def finish(self, trace: RequestTrace) -> dict[str, Any] | None:
        """Closes the trace of a finished request. Returns the record if it is kept and queued, else None."""
        if trace not in self._open:
            return None
        self._open.discard(trace)
        self.counts["finished"] += 1
        request_context = trace.context
        late = self._is_late(trace)
        ordinary = trace.answer == "served" and len(trace.attempts) <= 1 and not late
        if (
            ordinary
            and request_context.random < self._sampling_threshold
            and not request_context.sampled
        ):
            # The common case is decided early, to save the cost of building the record.
            self.counts["thinned"] += 1
            return None
        record = trace.as_dict(self._clock(), self._offset)
        record["late"] = late
        caller_sampled = request_context.sampled and self._caller_sampled.take(self._clock())
        kept = sampling.kept_causes(
            record, request_context.random, self._sampling_threshold, caller_sampled
        )
        if not kept:
            self.counts["thinned"] += 1
            return None
        bad = any(cause in sampling.BAD for cause in kept)
        record["kept"] = kept
        # A record kept for another cause represents itself only; a sampled one represents 1 / ratio records.
        record["state"] = context.state_header(
            request_context, self._threshold_text if kept == [sampling.SAMPLED] else "0"
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
        """Adds an event to every open trace."""
        at = self._clock()
        for trace in self._open:
            trace.event(at, name, text)

    @property
    def open_count(self) -> int:
        """Number of open traces."""
        return len(self._open)
