"""Traces of every kind of request, made by a tracer with a fixed clock and seeded randomness."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from fixture_simulator import OUTCOME_NAMES

from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.tracing import otlp, reading
from yewrill.tracing.export import ExportTarget, JsonLinesFiles, json_lines
from yewrill.tracing.record import RequestTrace
from yewrill.tracing.report import Report
from yewrill.tracing.tracer import SamplingConfig, Tracer

WALL_SECONDS = 1_700_000_000.0
TRACE, SPAN = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
SAMPLED = f"00-{TRACE}-{SPAN}-01"
NOT_SAMPLED = f"00-{TRACE}-{SPAN}-00"
STATE = "rojo=00f067aa0ba902b7,ot=th:c;rv:00000000000001,congo=t61rcWkgMzE"
RESOURCE = {"service.name": "yewrill", "service.version": "0", "service.instance.id": "d0"}


class Clock:
    """A clock in seconds that advances only when `now` is changed."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class TraceRecorder:
    """Passes requests with their attempts to a tracer."""

    def __init__(self) -> None:
        self.clock = Clock()
        sampling_config = SamplingConfig(ratio=0.5, queue=100, caller_sampled_per_second=1.0)
        self.tracer = Tracer(
            sampling_config, clock=self.clock, wall=lambda: WALL_SECONDS, rng=random.Random(5)
        )
        self.headers: list[list[tuple[str, str]]] = []  # the arguments of each attempt

    def begin(self, id: str, **given: Any) -> RequestTrace:
        self.clock.now += 1.0
        begun = {
            "parent": None,
            "state": None,
            "latency_objective": 100.0,
            "objective_run_factor": 2.0,
            **given,
        }
        return self.tracer.begin(
            id, "tour", "acme", deadline=1000.0, first_byte=self.clock.now - 0.01, **begun
        )

    def attempt(self, trace: RequestTrace, ending: str, *, seconds: float = 0.05) -> None:
        number = len(trace.attempts)
        attempt = trace.begin_attempt(number, f"d{number}", 3, "no room", self.clock.now)
        self.headers.append(attempt.headers)
        attempt.begin = self.clock.now + 0.001
        if ending != "unreached":
            attempt.connected, attempt.written = self.clock.now + 0.002, self.clock.now + 0.003
        if ending in ("served", "failed"):
            attempt.started = self.clock.now + 0.01
            attempt.note_progress(self.clock.now + 0.02, 0.5)
        self.clock.now += seconds
        attempt.end, attempt.outcome = self.clock.now, ending

    def finish(self, trace: RequestTrace, answer: str, why: str = "", after: float = 0.0) -> None:
        trace.decide(self.clock.now + 0.001, answer, why, after)
        self.clock.now += 0.002
        self.tracer.finish(trace)


def record_requests() -> TraceRecorder:
    """Records requests that are served, caller-sampled, late, retried, rejected, failed or abandoned."""
    found = TraceRecorder()
    for number in range(4):  # about half of them are kept
        served = found.begin(f"served-{number}")
        found.attempt(served, "served")
        found.finish(served, "served")
    asked = found.begin("asked", parent=SAMPLED, state=STATE)
    found.attempt(asked, "served")
    found.finish(asked, "served")
    late = found.begin("late", parent=NOT_SAMPLED)
    found.attempt(late, "served", seconds=0.9)
    found.finish(late, "served")
    retried = found.begin("retried")
    for ending in ("unreached", "reset", "turned away", "worn, reset"):
        found.attempt(retried, ending)
    found.tracer.event("reloaded", "by a signal")
    found.attempt(retried, "served")
    found.finish(retried, "served")
    refused = found.begin("refused")
    found.finish(refused, "refused", "it can't be in time", 250.0)
    failed = found.begin("failed", parent=SAMPLED)
    for ending in ("failed", "timed out"):
        found.attempt(failed, ending)
    found.finish(failed, "failed", "out of tries")
    left = found.begin("left-" + "x" * 300, latency_objective=1.0, objective_run_factor=0.0)
    left.event(found.clock.now, "client-left")
    found.attempt(left, "called off")
    found.finish(left, "left")
    unseen = found.begin("unseen")
    unseen.begin_attempt(0, "d0", 1, "", found.clock.now)
    found.clock.now += 0.1
    found.tracer.finish(unseen)
    return found


def records() -> list[Mapping[str, Any]]:
    return record_requests().tracer.queue.take(100)


def write_trace_file(path: Path) -> None:
    files = JsonLinesFiles(ExportTarget(file=str(path)))
    files.write(json_lines(records()))
    files.close()


def formatted_records(found: Sequence[reading.Record]) -> list[list[Any]]:
    """Returns each record as a line, a waterfall chart and sentences."""
    return [
        [reading.line(record), reading.waterfall(record), reading.why(record)] for record in found
    ]


def report_of(found: Sequence[reading.Record]) -> bytes:
    report = Report()
    for record in found:
        report.add(record)
    return report.html().encode()


def otlp_body(found: Sequence[reading.Record]) -> bytes:
    return otlp.request(found, RESOURCE, "0")


def outcome_names() -> list[list[Any]]:
    """Returns every outcome of an attempt as traces name it, with the simulator's name for it."""
    return [
        [ending.value, OUTCOME_NAMES[ending.policy_outcome], ending.stale_connection]
        for ending in AttemptOutcome
    ]
