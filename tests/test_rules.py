"""The rules of dispatching, checked under generated event sequences and in small hand-written cases."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill import Dispatcher, Settings
from yewrill.policy import interface as api

CLASSES = [
    api.RequestClass(
        "safe", 200.0, 2000.0, 1.0, 0.3, api.Idempotency.IDEMPOTENT, objective_run_factor=2.0
    ),
    api.RequestClass(
        "keyed",
        400.0,
        4000.0,
        3.0,
        0.2,
        api.Idempotency.IDEMPOTENT_BY_KEY,
        "cell",
        1500.0,
        objective_run_factor=2.0,
    ),
    api.RequestClass(
        "shared",
        400.0,
        4000.0,
        3.0,
        0.2,
        api.Idempotency.IDEMPOTENT_BY_KEY,
        "all",
        1500.0,
        objective_run_factor=2.0,
    ),
    api.RequestClass(
        "unsafe",
        400.0,
        4000.0,
        8.0,
        0.0,
        api.Idempotency.NON_IDEMPOTENT,
        objective_run_factor=2.0,
        kind=1,
    ),
]
FINAL = (api.Reject, api.Fail)


class World:
    """A simulated fleet: answers actions with unusual but legal events, and checks each by the rules."""

    def __init__(self, seed: int, dispatchers: int):
        self.rng = random.Random(seed)
        self.settings = Settings(
            classes=CLASSES,
            kinds=2,
            dispatchers=dispatchers,
            tenants=[api.Tenant("a", 50.0)],
            reports_start=True,
            report_fields=("x0",),
            free_slots_field="x0",
            may_probe=True,
            max_attempts=4,
            answer_slack=8.0,
            slow_start_multiple=3.0,
            slow_start_window=2000.0,
            start_capacity=0.2,
            warm_after=5000.0,
            list_on_request=bool(seed % 2),
            over_quota_weight=0.2,
            max_retry_after=1000.0,
        )
        self.d = Dispatcher(self.settings, seed)
        self.now = 1000.0
        self.requests: dict[str, dict] = {}
        self.timers: list[tuple[float, int]] = []
        self.workers = {
            f"w{i}": api.WorkerEntry(f"w{i}", kind=i % 2, cell=i // 2) for i in range(6)
        }
        self.stopped: set[str] = set()
        self.pending: list[api.Event] = [
            api.WorkerList(api.ListForm.CACHED, list(self.workers.values()))
        ]
        self.trace: list[str] = []
        self.number = 0

    def step(self) -> None:
        rng = self.rng
        self.now += rng.choice((1.0, 5.0, 20.0, 80.0))
        events, self.pending = self.pending, []
        events += [api.TimerFired(token) for at, token in self.timers if at <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        for request_id in sorted(self.requests):
            events += self.request_events(request_id)
        for _ in range(rng.randrange(3)):
            self.number += 1
            name = f"j{self.number}"
            class_index = rng.randrange(4)
            deadline = self.now + CLASSES[class_index].deadline * rng.choice((1.0, 1.0, 0.3))
            self.requests[name] = {
                "cls": class_index,
                "deadline": deadline,
                "final": False,
                "attempts": [],
            }
            events.append(api.RequestArrived(name, class_index, deadline))
        if rng.random() < 0.1:
            entry = self.workers[rng.choice(sorted(self.workers))]
            entry.state = rng.choice(
                (api.WorkerState.RUNNING, api.WorkerState.DRAINING, api.WorkerState.REMOVED)
            )
            entry.launched = rng.choice((entry.launched, self.now))
            events.append(api.WorkerList(api.ListForm.CHANGES, [entry]))
        if rng.random() < 0.02:
            events.append(api.WorkerList(api.ListForm.FAILED))
        for event in events:
            if isinstance(event, api.WorkerList):
                for entry in event.entries:
                    (
                        self.stopped.discard
                        if entry.state == api.WorkerState.RUNNING
                        else self.stopped.add
                    )(entry.worker)
        actions = self.d.handle(self.now, events)
        self.trace.append(repr(actions))
        for action in actions:
            self.check(action)
        for name, request in self.requests.items():
            assert (
                request["final"]
                or self.now <= request["deadline"] + self.settings.answer_slack + 80.0
            ), name

    def request_events(self, name: str) -> list[api.Event]:
        rng = self.rng
        request = self.requests[name]
        events: list[api.Event] = []
        for attempt in request["attempts"]:
            if attempt["outcome"]:
                continue
            if rng.random() < 0.1:
                events.append(api.AttemptStarted(name, attempt["n"], attempt["worker"]))
            if rng.random() < 0.05:
                events.append(api.AttemptProgress(name, attempt["n"], attempt["worker"], 0.5))
            if rng.random() < 0.15:
                outcome = rng.choice(
                    (
                        api.PolicyOutcome.SERVED,
                        api.PolicyOutcome.ERROR,
                        api.PolicyOutcome.REJECTED,
                        api.PolicyOutcome.TIMEOUT,
                        api.PolicyOutcome.NO_CONNECTION,
                        api.PolicyOutcome.CONNECTION_LOST,
                        api.PolicyOutcome.CANCELLED,
                    )
                )
                attempt["outcome"] = outcome
                final = request["final"] or outcome == api.PolicyOutcome.SERVED
                request["final"] = final
                report = {"x0": rng.randrange(-1, 5), "odd": 1.0} if rng.random() < 0.5 else None
                events.append(
                    api.AttemptEnded(
                        name, attempt["n"], attempt["worker"], outcome, 10.0, final, report
                    )
                )
                if rng.random() < 0.1:
                    events.append(api.AttemptStarted(name, attempt["n"], attempt["worker"]))
        if not request["final"] and not events and rng.random() < 0.005:
            request["final"] = True
            events.append(api.ClientLeft(name))
        return events

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert action.delay >= 0.0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, api.Probe):
            assert action.worker in self.workers
            outcome = self.rng.choice((api.PolicyOutcome.SERVED, api.PolicyOutcome.TIMEOUT))
            self.pending.append(api.ProbeEnded(action.worker, outcome, {"x0": 2}))
        elif isinstance(action, api.Send):
            self.check_sent_attempt(action)
        elif isinstance(action, FINAL):
            request = self.requests[action.request_id]
            assert not request["final"], "two final answers for one request"
            request["final"] = True
            if isinstance(action, api.Reject):
                ran = [a for a in request["attempts"] if a["outcome"] not in api.NEVER_RAN]
                spec = CLASSES[request["cls"]]
                shared = (
                    spec.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY and spec.group == "all"
                )
                assert not ran or spec.idempotency == api.Idempotency.IDEMPOTENT or shared

    def check_sent_attempt(self, action: api.Send) -> None:
        request = self.requests[action.request_id]
        spec = CLASSES[request["cls"]]
        assert not request["final"], "attempt sent after the final answer"
        assert action.worker not in self.stopped, (
            "attempt sent to a worker that drains or was removed"
        )
        entry = self.workers[action.worker]
        assert spec.kind in (-1, entry.kind)
        assert len(request["attempts"]) < self.settings.max_attempts
        ran = [a for a in request["attempts"] if a["outcome"] not in api.NEVER_RAN]
        if ran and spec.idempotency != api.Idempotency.IDEMPOTENT:
            assert spec.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY, (
                "non-idempotent request sent again after it may have run"
            )
            assert all(self.now - a["at"] <= spec.window for a in ran)
            assert spec.group == "all" or all(
                self.workers[a["worker"]].cell == entry.cell for a in ran
            )
        request["attempts"].append(
            {
                "n": len(request["attempts"]),
                "worker": action.worker,
                "outcome": None,
                "at": self.now,
            }
        )


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.sampled_from((1, 40)))
def test_rules_hold_and_the_same_events_give_the_same_actions(seed, dispatchers):
    worlds = [World(seed, dispatchers) for _ in range(2)]
    for world in worlds:
        for _ in range(150):
            world.step()
    assert worlds[0].trace == worlds[1].trace
    assert any(job["attempts"] for job in worlds[0].requests.values())


@pytest.mark.parametrize("dispatchers", [1, 50])
def test_all_dispatchers_together_keep_a_workers_slow_start_budget(dispatchers):
    # With 4 slots, multiple 3, start capacity 0.2 and a window of 2 s, the budget of the first window is
    # 3 * 0.2 * 4 * 2 s = 4.8 s of work at the initial capacity. The worker reaches at most
    # 0.2 + 0.8 * 2 / 10 = 0.36 of its capacity in that window: 3 * 0.36 * 4 * 2 s = 8.6 s.
    sent = 0
    for number in range(dispatchers):
        cls = api.RequestClass("c", 2000.0, 20_000.0)
        d = Dispatcher(
            Settings(
                classes=[cls],
                dispatchers=dispatchers,
                slow_start_multiple=3.0,
                slow_start_window=2000.0,
                start_capacity=0.2,
                warm_after=10_000.0,
                max_attempts=3,
            ),
            number,
        )
        d.fleet.estimate.kinds[0].slots = 4.0
        d.admission.classes[0].mean_run_time = 1000.0
        d.handle(
            1000.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("cold", launched=1000.0)])]
        )
        for i in range(20):
            now = 1000.0 + 100.0 * i
            d.fleet.estimate.kinds[0].free_slots, d.fleet.workers["cold"].max_inflight_slots = (
                50.0,
                50.0,
            )
            out = d.handle(now, [api.RequestArrived(f"j{i}", 0, now + 20_000.0)])
            sent += sum(isinstance(a, api.Send) for a in out)
    assert sent * 1.0 <= 6.0


def test_a_worker_that_fails_fast_does_not_attract_requests():
    classes = [api.RequestClass("c", 500.0, 5000.0)]
    d = Dispatcher(Settings(classes=classes, max_attempts=3, reports_start=True), 1)
    d.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry(f"w{i}") for i in range(6)])])
    for kind in d.fleet.estimate.kinds:
        kind.slots, kind.free_slots = 4.0, 3.0
    sends = {f"w{i}": 0 for i in range(6)}
    now = 0.0
    for i in range(300):
        now += 50.0
        out = d.handle(now, [api.RequestArrived(f"j{i}", 0, now + 5000.0)])
        events = []
        for a in out:
            if isinstance(a, api.Send):
                sends[a.worker] += 1
                n = d.requests[a.request_id].attempt_count - 1
                bad = a.worker == "w0"
                outcome = api.PolicyOutcome.ERROR if bad else api.PolicyOutcome.SERVED
                events.append(api.AttemptEnded(a.request_id, n, a.worker, outcome, 20.0, not bad))
        now += 20.0
        d.handle(now, events)
    assert 0 < sends["w0"] < sum(sends.values()) / 15


def test_a_request_fails_before_its_deadline_although_its_attempt_has_no_outcome():
    d = Dispatcher(
        Settings(
            classes=[
                api.RequestClass("c", 500.0, 5000.0, idempotency=api.Idempotency.NON_IDEMPOTENT)
            ],
            max_attempts=3,
        ),
        1,
    )
    d.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w1")])])
    out = d.handle(1.0, [api.RequestArrived("j", 0, 5001.0)])
    due = min(a.delay for a in out if isinstance(a, api.SetTimer) and a.token == 4) + 1.0
    assert due < 5001.0
    out = d.handle(due, [api.TimerFired(4)])
    assert [a.request_id for a in out if isinstance(a, api.Fail)] == ["j"]


@pytest.mark.parametrize("count", [0, 1, 400])
def test_a_request_is_sent_once_and_answered_with_any_number_of_workers(count):
    d = Dispatcher(Settings(classes=[api.RequestClass("c", 500.0, 5000.0)], max_attempts=3), 1)
    d.handle(
        0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry(f"w{i}") for i in range(count)])]
    )
    out = d.handle(1.0, [api.RequestArrived("j", 0, 5001.0)])
    assert len([a for a in out if isinstance(a, api.Send)]) == min(count, 1)
    out = d.handle(4999.0, [api.TimerFired(4)])
    assert len([a for a in out if isinstance(a, FINAL)]) == 1
