"""Simulation of a fleet: real policy modules (yewrill/policy) and zone failover machines, simulated workers.

It adds the parts that `zonenet.py` leaves out: slots and queues, run times, slow starts, deadlines and
retries. All decisions are made by the real policy module. The simulation runs from a seed, in virtual time.
Times are seconds, except those passed to and from the policy module, which are milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.zonenet import Dispatcher as Member
from yewrill.lab.zonenet import ZoneNet
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.zone_failover.facade import STUCK_ATTEMPT_MS
from yewrill.zone_failover.machine import FailoverRules

WORKER_DELAY_S = 0.0005  # time from sending an attempt until it reaches its worker
LOST_OUTCOMES = (
    api.PolicyOutcome.TIMEOUT,
    api.PolicyOutcome.NO_CONNECTION,
    api.PolicyOutcome.CONNECTION_LOST,
    api.PolicyOutcome.CANCELLED,
    api.PolicyOutcome.ERROR,
)


@dataclass(eq=False)
class Attempt:
    """An attempt of a member at a worker; `run` is its run time at full capacity."""

    member: Member
    request_id: str
    number: int
    worker: Worker
    sent: float
    run: float
    ended: bool = False


@dataclass(eq=False)
class Worker:
    """A worker with its running and queued attempts.

    In mode "gone" it breaks every connection, in mode "mute" it accepts requests and runs none, and in mode
    "failing" it answers each with an error."""

    name: str
    zone: int
    slots: int
    mode: str = "well"
    slow_start_at: float = -1e9
    launched: float = 0.0  # time at which the worker started, 0 for a start long ago
    running: set[Attempt] = field(default_factory=set)
    queue: deque[Attempt] = field(default_factory=deque)
    # Arrival time and work in seconds of each request received during the slow start.
    slow_start_work: list[tuple[float, float]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Model:
    """Parameters of the workers and the requests. Times are seconds."""

    workers: int = 4  # number of workers in each zone
    slots: int = 5
    run: float = 0.2
    latency_objective: float = 0.6
    deadline: float = 3.0
    start_capacity: float = 0.3
    warm_after: float = 4.0
    slow_start_multiple: float = 3.0
    slow_start_window: float = 1.0


class Fleet(ZoneNet):
    """Members with a policy module each; `load` is the offered load as a fraction of all slots."""

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
        path: NetworkPath | None = None,
    ):
        self.model = model or Model()
        model = self.model
        self.workers = {
            f"w{z}-{i}": Worker(f"w{z}-{i}", z, model.slots)
            for z in range(zones)
            for i in range(model.workers)
        }
        self.modules: dict[str, Dispatcher] = {}
        self.requests: dict[tuple[str, str], dict[str, Any]] = {}
        # For each answered request: time of the answer, result, weight that was served.
        self.answered: list[tuple[float, str, float]] = []
        self.lost_at: dict[int, list[float]] = {z: [] for z in range(zones)}
        self.sent_at: dict[int, list[float]] = {z: [] for z in range(zones)}
        rate = load * zones * model.workers * model.slots / model.run / members
        self.total = rate * members
        super().__init__(
            seed, members, zones, rate=rate, load=load, path=path, rules=rules, plan=plan
        )
        self.capacity = dict.fromkeys(self.zones, float(model.workers * model.slots))
        for member in self.members.values():
            self._schedule_arrival(member)

    def start(self, name: str, address: tuple[str, int], zone: str, rate: float) -> Member:
        """Starts a member with a new policy module."""
        model, index = self.model, len(self.modules)
        spec = api.RequestClass("job", 1e3 * model.latency_objective, 1e3 * model.deadline)
        settings = api.Settings(
            [spec],
            [api.Tenant("acme", 1.2 * self.total)],
            zone=int(zone[1:]),
            dispatcher_index=index,
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
        """Gives each policy module the number of dispatchers and the worker list."""
        for name, module in self.modules.items():
            settings = api.Settings(
                **{
                    **{s: getattr(module.settings, s) for s in api.Settings.__slots__},
                    "dispatchers": len(self.modules),
                }
            )
            self._deliver(self.members[name], api.SettingsChanged(settings), self._list())
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
        """Puts all workers of a zone into a fault mode."""
        for w in self.workers.values():
            if w.zone == zone:
                w.mode = mode
                if mode == "gone":
                    for attempt in [*w.running, *w.queue]:
                        self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)

    def restart_workers(self, zone: int) -> None:
        """Restarts all workers of a zone, which begins their slow start, and publishes the new list."""
        for w in self.workers.values():
            if w.zone == zone:
                for attempt in [*w.running, *w.queue]:
                    self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)
                w.mode, w.slow_start_at, w.launched = "well", self.now, self.now
        for member in self.living():
            self._deliver(member, self._list())

    # -- requests

    def _generate_attempts(self, member: Member) -> None:
        shares = (
            {int(z[1:]): s for z, s in member.machine.traffic_weights().items()}
            if self.with_plan
            else {}
        )
        module = self.modules[member.name]
        if shares != module.fleet.zone_weights:
            self._deliver(member, api.ZoneTrafficWeights(shares))

    def _schedule_arrival(self, member: Member) -> None:
        def arrive() -> None:
            if not member.dead:
                name = f"j{len(self.requests)}"
                self.requests[member.name, name] = {
                    "at": self.now,
                    "live": None,
                    "run": self.model.run * (0.5 + self.rng.random()),
                }
                self._deliver(
                    member, api.RequestArrived(name, 0, 1e3 * (self.now + self.model.deadline))
                )
                self._schedule_arrival(member)

        self.at(self.now + self.rng.expovariate(member.rate), arrive)

    def _deliver(self, member: Member, *events: api.Event) -> None:
        if member.dead or self.now < member.paused_until:
            return
        for action in self.modules[member.name].handle(1e3 * self.now, list(events)):
            kind = type(action)
            if kind is api.SetTimer:
                self.at(
                    self.now + action.delay / 1e3,
                    lambda token=action.token: self._deliver(member, api.TimerFired(token)),
                )
            elif kind is api.Send:
                self._send_request(member, action)
            elif kind is api.Cancel:
                attempt = self.requests[member.name, action.request_id]["live"]
                if attempt is not None and attempt.number == action.attempt:
                    self.at(
                        self.now,
                        lambda attempt=attempt: self._end(attempt, api.PolicyOutcome.CANCELLED),
                    )
            elif kind is api.Reject or kind is api.Fail:
                self.answered.append((self.now, "refused" if kind is api.Reject else "failed", 0.0))
                attempt = self.requests[member.name, action.request_id]["live"]
                if attempt is not None:
                    self.at(
                        self.now,
                        lambda attempt=attempt: self._end(attempt, api.PolicyOutcome.TIMEOUT),
                    )

    def _send_request(self, member: Member, action: api.Send) -> None:
        request = self.requests[member.name, action.request_id]
        attempt = Attempt(
            member,
            action.request_id,
            request.get("tries", 0),
            self.workers[action.worker],
            self.now,
            request["run"],
        )
        request["live"], request["tries"] = attempt, attempt.number + 1
        member.machine.busy += 1.0
        self.sent_at[attempt.worker.zone].append(self.now)
        self.at(self.now + WORKER_DELAY_S, lambda: self._arrive_at_worker(attempt))

    def _arrive_at_worker(self, attempt: Attempt) -> None:
        w = attempt.worker
        if attempt.ended:
            return
        if w.mode == "gone":
            self._end(attempt, api.PolicyOutcome.CONNECTION_LOST)
        elif w.mode == "failing":
            self.at(self.now + 0.005, lambda: self._end(attempt, api.PolicyOutcome.ERROR))
        else:
            w.queue.append(attempt)
            if self.now - w.slow_start_at < self.model.warm_after:
                w.slow_start_work.append((self.now, attempt.run))
            self._serve(w)

    def _serve(self, w: Worker) -> None:
        while w.queue and len(w.running) < w.slots and w.mode == "well":
            attempt = w.queue.popleft()
            w.running.add(attempt)
            self._deliver(
                attempt.member, api.AttemptStarted(attempt.request_id, attempt.number, w.name)
            )
            age = self.now - w.slow_start_at
            start = self.model.start_capacity
            warm_up_progress = min(1.0, start + (1.0 - start) * age / self.model.warm_after)
            self.at(
                self.now + attempt.run / warm_up_progress,
                lambda attempt=attempt: self._finish(attempt),
            )

    def _finish(self, attempt: Attempt) -> None:
        if not attempt.ended and attempt.worker.mode == "well":
            request = self.requests[attempt.member.name, attempt.request_id]
            late = self.now - request["at"] > self.model.latency_objective
            self.answered.append((self.now, "served", 0.0 if late else 1.0))
            self._end(attempt, api.PolicyOutcome.SERVED)

    def _end(self, attempt: Attempt, outcome: str) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        w, member = attempt.worker, attempt.member
        w.running.discard(attempt)
        if attempt in w.queue:
            w.queue.remove(attempt)
        self.requests[member.name, attempt.request_id]["live"] = None
        machine = member.machine
        machine.busy -= 1.0
        if outcome in LOST_OUTCOMES:
            self.lost_at[w.zone].append(self.now)
        if machine.record_attempt(
            self.now + member.clock_offset, f"z{w.zone}", outcome in LOST_OUTCOMES
        ):
            self._reschedule_if_earlier(member)
        self._deliver(
            member,
            api.AttemptEnded(
                attempt.request_id,
                attempt.number,
                w.name,
                outcome,
                1e3 * (self.now - attempt.sent),
                outcome == api.PolicyOutcome.SERVED,
            ),
        )
        self._serve(w)

    # -- results

    def attempts_at(self, zone: int, since: float, until: float) -> list[float]:
        """Returns the send times of the attempts at a zone's workers between two times."""
        return [at for at in self.sent_at[zone] if since <= at < until]

    def served_weight(self, since: float, until: float) -> float:
        """Returns the number of requests served within their latency objective between two times."""
        return sum(weight for at, _, weight in self.answered if since <= at < until)

    def max_slow_start_budget_used(self) -> float:
        """Returns the largest fraction of its slow start budget that a worker received within a window."""
        model, worst = self.model, 0.0
        for w in self.workers.values():
            for i, (first, _) in enumerate(w.slow_start_work):
                window = [
                    (at, run)
                    for at, run in w.slow_start_work[i:]
                    if at < first + model.slow_start_window
                ]
                age = window[-1][0] - w.slow_start_at
                start = model.start_capacity
                warm_up_progress = min(1.0, start + (1.0 - start) * age / model.warm_after)
                budget = (
                    model.slow_start_multiple * warm_up_progress * w.slots * model.slow_start_window
                )
                worst = max(worst, sum(run for _, run in window) / budget)
        return worst
