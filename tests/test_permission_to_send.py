"""No attempt is sent after the end of its permission: drawn interleavings on a clock of the test's own.

The real engine, register and guard run with two requests of one key, and with a second process's register.
Between the choice of an attempt and its first byte lie a record, a connection and hold-ups; meanwhile the
window ends, settings change, another request or process sends, or the client leaves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest
import trio
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from yewrill.dispatch import engine as engine_module
from yewrill.dispatch import safety
from yewrill.dispatch.attempt_register import SentAttempt
from yewrill.dispatch.clock import CLOCK_START_MS, Clock
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.policy import interface as api
from yewrill.service.repeat_guard import RepeatGuard

PROTOCOL_TOLERANCE_MS = 50.0
HOLD_UPS_MS = (0.0, 75.0, 149.0)  # the rules allow for 150
DEADLINE_MS = 10_000.0
WINDOWS_MS = (300.0, 500.0, 1000.0, 3000.0, 7500.0)
WORKERS = {f"w{i}": i // 2 for i in range(4)}  # cells by worker


class Payload:
    """The headers of a request with a key."""

    def single_header(self, name: bytes) -> str:
        return "k"


class TestClock(Clock):
    """A clock that only the test moves."""

    __test__ = False

    def __init__(self) -> None:
        self.time = CLOCK_START_MS
        super().__init__()

    def now(self) -> float:
        return self.time

    def loop_time(self, at: float) -> float:
        return at / 1000.0


@dataclass
class Sent:
    """A first byte: its time, the cell that it went to, and the window then in force."""

    at: float
    cell: int
    window: float
    process: str


@dataclass
class Dispatch:
    """An engine and its guard, whose attempts the test moves along step by step."""

    window: float
    sent: list[Sent] = field(default_factory=list)
    reasons: list[safety.HeldBack] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clock = TestClock()
        self.settings = api.Settings([self._spec(self.window)], max_attempts=4)
        self.engine = DecisionEngine(self.settings, 1)
        self.engine._clock = self.clock
        endpoints = {
            name: Endpoint(name, ("127.0.0.1", 1), 0, 0, cell, api.WorkerState.RUNNING, 1.0, 0.0)
            for name, cell in WORKERS.items()
        }
        self.guard = RepeatGuard(SimpleNamespace(get=endpoints.get), self.engine, 3.6e6)
        self.engine.update_endpoints(endpoints.values(), full=True)
        self.engine.tick()
        self.connecting: list[Attempt] = []
        self.running: list[Attempt] = []
        self.requests = 0

    def _spec(self, window: float) -> api.RequestClass:
        return api.RequestClass(
            "save",
            5000.0,
            DEADLINE_MS,
            idempotency=api.Idempotency.IDEMPOTENT_BY_KEY,
            group="cell",
            window=window,
        )

    def arrive(self) -> None:
        if self.requests >= 3:
            return
        self.requests += 1
        request = Request(f"r{self.requests}", 0, self.clock.time + DEADLINE_MS, payload=Payload())
        self.guard.begin_request(request, self.settings.classes[0], "")
        self.engine.submit(request)
        self.engine.tick()

    async def choose(self) -> None:
        """Lets each request that has a choice go on to its record and its connection."""
        self.engine.tick()
        for request in list(self.engine._requests.values()):
            if isinstance(request.choice, Attempt):
                attempt, request.choice = request.choice, None
                request.active_attempt = self.engine._active_attempts[request.key] = attempt
                await self.guard.record_attempt(attempt)
                self.connecting.append(attempt)

    def first_byte(self, number: int, hold_up: float) -> None:
        """A connection comes up: the check, a hold-up of the process, and the first byte."""
        if number >= len(self.connecting):
            return
        attempt = self.connecting.pop(number)
        self.guard.limit_sending(attempt)
        now = self.clock.time
        request = attempt.request
        facts = safety.SendFacts(
            now, attempt.deadline, True, request.client_left, True, attempt.send_until
        )
        if (reason := safety.may_send(facts)) is not None:
            self.reasons.append(reason)
            self.end(attempt, AttemptOutcome.NOT_SENT)
            return
        attempt.sent = now
        self.guard.first_byte(attempt)
        self.clock.time += hold_up
        cell = WORKERS[attempt.worker]
        # The shorter of the window at the arrival and of those in force since.
        window = min(request.window, self.window)
        self.sent.append(Sent(self.clock.time, cell, window, "own"))
        attempt.written = True
        self.running.append(attempt)

    def break_off(self, number: int, outcome: AttemptOutcome) -> None:
        if number < len(self.running):
            self.end(self.running.pop(number), outcome)

    def end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.engine.report(attempt, outcome)
        self.guard.attempt_finished(attempt, outcome)
        self.engine.tick()

    def reload(self, window: float) -> None:
        self.settings = replace(self.settings, classes=[self._spec(window)])
        self.engine.reconfigure(self.settings)
        self.window = window
        self.engine.tick()

    def other_process_sends(self, cell: int) -> None:
        """The other process of a hot restart sends the key, as far as it may, and has told of it."""
        identity = next(iter(self.guard._by_identity), None)
        if identity is None:
            return
        spec = self.settings.classes[0]
        until = self.guard.register.send_until(identity, "peer", spec, spec.window, 0, cell)
        if self.clock.time < until:
            now = self.clock.time
            sent = SentAttempt(now, now + spec.window, 0, cell)
            self.guard.register.merge(identity, "peer", sent)
            self.sent.append(Sent(now, cell, spec.window, "peer"))

    def check(self) -> None:
        first = self.sent[0] if self.sent else None
        for each in self.sent[1:]:
            assert each.cell == first.cell
            assert each.at - first.at <= each.window + PROTOCOL_TOLERANCE_MS


STEPS = st.one_of(
    st.tuples(st.just(Dispatch.arrive)),
    st.tuples(st.just(Dispatch.first_byte), st.integers(0, 2), st.sampled_from(HOLD_UPS_MS)),
    st.tuples(
        st.just(Dispatch.break_off),
        st.integers(0, 2),
        st.sampled_from((AttemptOutcome.RESET, AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT)),
    ),
    st.tuples(st.just(Dispatch.reload), st.sampled_from(WINDOWS_MS)),
    st.tuples(st.just(Dispatch.other_process_sends), st.integers(0, 1)),
)
PLAYS = st.tuples(
    st.sampled_from(WINDOWS_MS),
    st.integers(1, 2),  # requests that arrive at once
    st.lists(st.tuples(st.floats(0.0, 0.6), STEPS), min_size=4, max_size=14),
)


def run_play(play) -> Dispatch:
    """Runs a drawn play; each step comes after a fraction of the window."""

    async def run() -> Dispatch:
        window, requests, steps = play
        dispatch = Dispatch(window)
        for _ in range(requests):
            dispatch.arrive()
        await dispatch.choose()
        dispatch.first_byte(0, 0.0)
        for fraction, (step, *arguments) in steps:
            dispatch.clock.time += fraction * dispatch.window
            if dispatch.clock.time >= CLOCK_START_MS + DEADLINE_MS:
                break  # a key that comes from now on is a new request
            step(dispatch, *arguments)
            await dispatch.choose()
            dispatch.check()
        return dispatch

    return trio.run(run)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(PLAYS)
def test_no_first_byte_comes_after_the_end_of_its_permission(play):
    run_play(play)


def _no_check_before_the_first_byte(monkeypatch) -> None:
    monkeypatch.setattr(safety, "may_send", lambda facts: None)


def _no_margin_for_a_hold_up(monkeypatch) -> None:
    monkeypatch.setattr("yewrill.policy.repeat_window.MAX_HOLD_UP_MS", PROTOCOL_TOLERANCE_MS)


def _other_requests_are_not_asked(monkeypatch) -> None:
    monkeypatch.setattr(RepeatGuard, "limit_sending", lambda guard, attempt: None)


def _reload_forgets_open_requests(monkeypatch) -> None:
    monkeypatch.setattr(
        engine_module.DecisionEngine, "_shorten_window", lambda engine, request, window: None
    )


MENDS: dict[str, Callable] = {
    "check before the first byte": _no_check_before_the_first_byte,
    "margin": _no_margin_for_a_hold_up,
    "other requests": _other_requests_are_not_asked,
    "reload": _reload_forgets_open_requests,
}


@pytest.mark.parametrize("mend", MENDS)
def test_a_version_without_a_mend_is_caught(mend, monkeypatch):
    """Guards against draws that never reach the gap between a permission's end and its use."""
    MENDS[mend](monkeypatch)
    examples = 0

    @settings(
        max_examples=2000,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    @given(PLAYS)
    def caught(play):
        nonlocal examples
        examples += 1
        run_play(play)

    with pytest.raises(AssertionError):
        caught()
    print(f"without {mend}: caught by example {examples}")
