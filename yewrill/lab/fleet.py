"""A virtual fleet of whole dispatchers: real decision modules and zone machines, against modelled workers.

What `zonenet.py` leaves out is here: slots and queues, run times, cold workers, deadlines and retries, each
choice the real module's. Seeded, in virtual time. Seconds outside the module, milliseconds in it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from yewrill.lab.netsim import Path
from yewrill.lab.zonenet import Dispatcher as Member
from yewrill.lab.zonenet import ZoneNet
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.zone_failover.facade import STUCK_ATTEMPT_MS
from yewrill.zone_failover.machine import FailoverRules

TRIP = 0.0005  # seconds to a worker and back
LOST = (
    api.PolicyOutcome.TIMEOUT,
    api.PolicyOutcome.NO_CONNECTION,
    api.PolicyOutcome.CONNECTION_LOST,
    api.PolicyOutcome.CANCELLED,
    api.PolicyOutcome.ERROR,
)


@dataclass(eq=False)
class Attempt:
    member: Member
    job: str
    number: int
    worker: Worker
    sent: float
    run: float
    over: bool = False


@dataclass(eq=False)
class Worker:
    name: str
    zone: int
    slots: int
    mode: str = "well"  # gone: breaks every connection; mute: takes work, does none; failing
    cold_from: float = -1e9
    launched: float = 0.0  # clock time of its start, 0: long ago
    running: set[Attempt] = field(default_factory=set)
    queue: deque[Attempt] = field(default_factory=deque)
    begun: list[tuple[float, float]] = field(
        default_factory=list
    )  # when cold: time, and work in seconds


@dataclass(frozen=True, slots=True)
class Model:
    """The workers and the work. Seconds."""

    workers: int = 4  # a zone
    slots: int = 5
    run: float = 0.2
    aim: float = 0.6
    deadline: float = 3.0
    start_capacity: float = 0.3
    warm_after: float = 4.0
    slow_start_multiple: float = 3.0
    slow_start_window: float = 1.0


class Fleet(ZoneNet):
    """Members each with a module of its own; `load` is the part of all slots that the work asks for."""

    def __init__(
        self,
        seed: int,
        members: int,
        zones: int,
        *,
        load: float = 0.6,
        plan: bool = True,
        model: Model | None = None,
        rules: FailoverRules | None = None,
        path: Path | None = None,
    ):
        self.model = model or Model()
        model = self.model
        self.workers = {
            f"w{z}-{i}": Worker(f"w{z}-{i}", z, model.slots)
            for z in range(zones)
            for i in range(model.workers)
        }
        self.modules: dict[str, Dispatcher] = {}
        self.jobs: dict[tuple[str, str], dict[str, Any]] = {}
        self.answered: list[tuple[float, str, float]] = []  # when, how, the part of its worth
        self.lost_at: dict[int, list[float]] = {z: [] for z in range(zones)}
        self.sent_at: dict[int, list[float]] = {z: [] for z in range(zones)}
        rate = load * zones * model.workers * model.slots / model.run / members
        self.total = rate * members
        super().__init__(
            seed, members, zones, rate=rate, load=load, path=path, rules=rules, plan=plan
        )
        self.capacity = dict.fromkeys(self.zones, float(model.workers * model.slots))
        for member in self.members.values():
            self._come(member)

    def start(self, name: str, address: tuple[str, int], zone: str, rate: float) -> Member:
        model, index = self.model, len(self.modules)
        spec = api.RequestClass("job", 1e3 * model.aim, 1e3 * model.deadline)
        settings = api.Settings(
            [spec],
            [api.Tenant("acme", 1.2 * self.total)],
            zone=int(zone[1:]),
            index=index,
            reports_start=True,
            may_cancel=True,
            fifo=True,
            max_attempts=3,
            max_retry_after=1000.0,
            slow_start_multiple=model.slow_start_multiple,
            slow_start_window=1e3 * model.slow_start_window,
            start_capacity=model.start_capacity,
            warm_after=1e3 * model.warm_after,
        )
        self.modules[name] = Dispatcher(settings, self.rng.getrandbits(32))
        member = super().start(name, address, zone, rate)
        member.machine.busy = 0.0
        member.machine.stuck_attempts = lambda: self._hanging(name)
        return member

    def _hanging(self, name: str) -> dict[str, int]:
        found = self.modules[name].fleet.stuck_attempts(1e3 * self.now, STUCK_ATTEMPT_MS)
        return {f"z{zone}": count for zone, count in found.items()}

    def begin(self) -> Fleet:
        """Tell every module how many they are, and the list."""
        for name, module in self.modules.items():
            settings = api.Settings(
                **{
                    **{s: getattr(module.settings, s) for s in api.Settings.__slots__},
                    "dispatchers": len(self.modules),
                }
            )
            self._feed(self.members[name], api.SettingsChanged(settings), self._list())
        return self

    def _list(self) -> api.WorkerList:
        return api.WorkerList(
            api.ListForm.FULL,
            [
                api.WorkerEntry(w.name, w.zone, launched=1e3 * w.launched)
                for w in self.workers.values()
            ],
        )

    # -- faults

    def fail(self, zone: int, mode: str = "gone") -> None:
        for w in self.workers.values():
            if w.zone == zone:
                w.mode = mode
                if mode == "gone":
                    for attempt in [*w.running, *w.queue]:
                        self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)

    def mend(self, zone: int) -> None:
        """The zone's workers start anew, cold, and lists tell it."""
        for w in self.workers.values():
            if w.zone == zone:
                for attempt in [*w.running, *w.queue]:
                    self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)
                w.mode, w.cold_from, w.launched = "well", self.now, self.now
        for member in self.living():
            self._feed(member, self._list())

    # -- work

    def _generate_attempts(self, member: Member) -> None:
        shares = (
            {int(z[1:]): s for z, s in member.machine.traffic_weights().items()}
            if self.with_plan
            else {}
        )
        module = self.modules[member.name]
        if shares != module.fleet.zone_weights:
            self._feed(member, api.ZoneTrafficWeights(shares))

    def _come(self, member: Member) -> None:
        def come() -> None:
            if not member.dead:
                name = f"j{len(self.jobs)}"
                self.jobs[member.name, name] = {
                    "at": self.now,
                    "live": None,
                    "run": self.model.run * (0.5 + self.rng.random()),
                }
                self._feed(
                    member, api.RequestArrived(name, 0, 1e3 * (self.now + self.model.deadline))
                )
                self._come(member)

        self.at(self.now + self.rng.expovariate(member.rate), come)

    def _feed(self, member: Member, *events: api.Event) -> None:
        if member.dead or self.now < member.paused_until:
            return
        for action in self.modules[member.name].handle(1e3 * self.now, list(events)):
            kind = type(action)
            if kind is api.SetTimer:
                self.at(
                    self.now + action.delay / 1e3,
                    lambda token=action.token: self._feed(member, api.TimerFired(token)),
                )
            elif kind is api.Send:
                self._send_job(member, action)
            elif kind is api.Cancel:
                attempt = self.jobs[member.name, action.request_id]["live"]
                if attempt is not None and attempt.number == action.attempt:
                    self.at(
                        self.now,
                        lambda attempt=attempt: self._end(attempt, api.PolicyOutcome.CANCELLED),
                    )
            elif kind is api.Reject or kind is api.Fail:
                self.answered.append((self.now, "refused" if kind is api.Reject else "failed", 0.0))
                attempt = self.jobs[member.name, action.request_id]["live"]
                if attempt is not None:
                    self.at(
                        self.now,
                        lambda attempt=attempt: self._end(attempt, api.PolicyOutcome.TIMEOUT),
                    )

    def _send_job(self, member: Member, action: api.Send) -> None:
        job = self.jobs[member.name, action.request_id]
        attempt = Attempt(
            member,
            action.request_id,
            job.get("tries", 0),
            self.workers[action.worker],
            self.now,
            job["run"],
        )
        job["live"], job["tries"] = attempt, attempt.number + 1
        member.machine.busy += 1.0
        self.sent_at[attempt.worker.zone].append(self.now)
        self.at(self.now + TRIP, lambda: self._reach(attempt))

    def _reach(self, attempt: Attempt) -> None:
        w = attempt.worker
        if attempt.over:
            return
        if w.mode == "gone":
            self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)
        elif w.mode == "failing":
            self.at(self.now + 0.005, lambda: self._end(attempt, api.PolicyOutcome.ERROR))
        else:
            w.queue.append(attempt)
            if self.now - w.cold_from < self.model.warm_after:
                w.begun.append((self.now, attempt.run))
            self._serve(w)

    def _serve(self, w: Worker) -> None:
        while w.queue and len(w.running) < w.slots and w.mode == "well":
            attempt = w.queue.popleft()
            w.running.add(attempt)
            self._feed(attempt.member, api.AttemptStarted(attempt.job, attempt.number, w.name))
            age = self.now - w.cold_from
            start = self.model.start_capacity
            warmth = min(1.0, start + (1.0 - start) * age / self.model.warm_after)
            self.at(self.now + attempt.run / warmth, lambda attempt=attempt: self._finish(attempt))

    def _finish(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.worker.mode == "well":
            job = self.jobs[attempt.member.name, attempt.job]
            late = self.now - job["at"] > self.model.aim
            self.answered.append((self.now, "served", 0.0 if late else 1.0))
            self._end(attempt, api.PolicyOutcome.SERVED)

    def _end(self, attempt: Attempt, outcome: str) -> None:
        if attempt.over:
            return
        attempt.over = True
        w, member = attempt.worker, attempt.member
        w.running.discard(attempt)
        if attempt in w.queue:
            w.queue.remove(attempt)
        self.jobs[member.name, attempt.job]["live"] = None
        machine = member.machine
        machine.busy -= 1.0
        if outcome in LOST:
            self.lost_at[w.zone].append(self.now)
        if machine.record_attempt(self.now + member.clock_offset, f"z{w.zone}", outcome in LOST):
            self._reschedule_if_earlier(member)
        self._feed(
            member,
            api.AttemptEnded(
                attempt.job,
                attempt.number,
                w.name,
                outcome,
                1e3 * (self.now - attempt.sent),
                outcome == api.PolicyOutcome.SERVED,
            ),
        )
        self._serve(w)

    # -- figures

    def attempts_at(self, zone: int, since: float, until: float) -> list[float]:
        """When attempts were sent to a zone."""
        return [at for at in self.sent_at[zone] if since <= at < until]

    def served_weight(self, since: float, until: float) -> float:
        return sum(served_weight for at, _, served_weight in self.answered if since <= at < until)

    def cold_over(self) -> float:
        """The most work that a cold worker was sent within the window, over its budget (1: all of it)."""
        model, worst = self.model, 0.0
        for w in self.workers.values():
            for i, (first, _) in enumerate(w.begun):
                window = [
                    (at, run) for at, run in w.begun[i:] if at < first + model.slow_start_window
                ]
                age = window[-1][0] - w.cold_from
                start = model.start_capacity
                warmth = min(1.0, start + (1.0 - start) * age / model.warm_after)
                budget = model.slow_start_multiple * warmth * w.slots * model.slow_start_window
                worst = max(worst, sum(run for _, run in window) / budget)
        return worst
