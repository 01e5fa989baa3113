"""Simulation of one policy module (yewrill/policy) and its workers in virtual time, with episodes of faults.

The simulation is deterministic: the same arguments, including the seed, give the same history. Workers have
slots and start waiting requests in order; a request whose attempt was cancelled or timed out still runs.
Clients give up after their timeout and do not retry. Times are milliseconds.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from itertools import count

from yewrill.policy import Dispatcher
from yewrill.policy import interface as api

ONE_WAY_MS = 0.5  # delay of a message between the dispatcher and a worker, in one direction
START_MS = 1_000.0  # time of the virtual clock at the start of a simulation


class Condition(Enum):
    """Fault condition of workers during an episode."""

    SLOW = "runs take a multiple of their time"
    ERRORS = "requests are answered with an error"
    BUSY = "requests are sent back unstarted"
    HANGS = "nothing starts, and what runs does not end"
    VANISHED = "connections are refused, and what is there is lost"


@dataclass(frozen=True, slots=True)
class Episode:
    """A time span, relative to the start, in which some workers are in a fault condition."""

    condition: Condition
    begins: float
    ends: float
    workers: frozenset[int]
    run_time_factor: float = 1.0  # factor on the run times under Condition.SLOW


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one class: arrival rate, run times and client timeouts."""

    rate_per_s: float
    run_time: float
    client_timeouts: Sequence[float]
    client_timeout_weights: Sequence[float] | None = None
    work_hint: float = 0.0  # expected work of a request as its client states it, 0 for none
    spread: float = 0.3  # largest deviation of a run time from the mean, as a fraction of the mean


@dataclass(frozen=True, slots=True)
class Answer:
    """Final answer of a request; `reason` is set if it was not served."""

    request_class: int
    arrived_at: float
    answered_at: float
    served: bool
    reason: str


@dataclass(eq=False, slots=True)
class _Attempt:
    """An attempt at a worker."""

    request: _Request
    number: int
    worker: _Worker
    sent_at: float
    end_reported: bool = False


@dataclass(eq=False, slots=True)
class _Request:
    name: str
    request_class: int
    arrived_at: float
    deadline: float
    run_time: float
    attempts: list[_Attempt] = field(default_factory=list)
    answered: bool = False


@dataclass(eq=False, slots=True)
class _Worker:
    name: str
    position: int
    free_slots: int
    waiting: deque[_Attempt] = field(default_factory=deque)
    # Attempts whose run time ended during a hang; they finish when the hang is over.
    suspended: list[_Attempt] = field(default_factory=list)


class OverloadWorld:
    """A dispatcher, its workers and its traffic; `answers` holds the final answers of all requests."""

    def __init__(
        self,
        settings: api.Settings,
        traffic: Sequence[Traffic],
        episodes: Sequence[Episode] = (),
        workers: int = 4,
        slots: int = 4,
        seed: int = 1,
        first_run_times: Sequence[float] = (),
        first_request_alone: bool = False,
        idle_time: float = 0.0,
    ):
        """Starts the dispatcher and the traffic.

        `first_run_times` are the run times of the first requests. With `first_request_alone` the traffic
        starts after the end of the first request. `idle_time` passes between the worker list and the first
        request."""
        self.settings, self.traffic, self.episodes = settings, traffic, episodes
        self.rng = random.Random(seed)
        self.now = START_MS
        self.answers: list[Answer] = []
        self.dispatcher = Dispatcher(settings, seed)
        self.workers = {f"w{i}": _Worker(f"w{i}", i, slots) for i in range(workers)}
        self._first_run_times = deque(first_run_times)
        self._requests: dict[str, _Request] = {}
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        entries = [api.WorkerEntry(name) for name in self.workers]
        self._deliver(api.WorkerList(api.ListForm.CACHED, entries))
        self.run_until(idle_time)
        if first_request_alone:
            self._send_request(0)
            self.run_until(idle_time + 2 * ONE_WAY_MS + first_run_times[0])
        for request_class in range(len(traffic)):
            self._schedule_arrival(request_class)
        for episode in episodes:
            if episode.condition is Condition.VANISHED:
                self._at(START_MS + episode.begins, lambda e=episode: self._vanish(e))
            self._at(START_MS + episode.ends, lambda e=episode: self._end_episode(e))

    def run_until(self, elapsed: float) -> OverloadWorld:
        """Advances the simulation to `elapsed` after the start."""
        end = START_MS + elapsed
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, callback = heappop(self._scheduled)
            callback()
        self.now = end
        return self

    def answers_between(self, begin: float, end: float) -> list[Answer]:
        """Returns the answers to the requests that arrived between two times, relative to the start."""
        first, last = START_MS + begin, START_MS + end
        return [answer for answer in self.answers if first <= answer.arrived_at < last]

    def not_served_between(self, begin: float, end: float) -> Counter[tuple[int, str]]:
        """Counts by class and reason the requests that arrived between two times and were not served."""
        return Counter(
            (answer.request_class, answer.reason)
            for answer in self.answers_between(begin, end)
            if not answer.served
        )

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        heappush(self._scheduled, (when, next(self._sequence), callback))

    # -- clients

    def _schedule_arrival(self, request_class: int) -> None:
        rate = self.traffic[request_class].rate_per_s / 1000.0
        if rate > 0:
            at = self.now + self.rng.expovariate(rate)
            self._at(at, lambda: self._arrive_request(request_class))

    def _arrive_request(self, request_class: int) -> None:
        self._schedule_arrival(request_class)
        self._send_request(request_class)

    def _send_request(self, request_class: int) -> None:
        traffic = self.traffic[request_class]
        timeout = self._client_timeout(traffic)
        run_time = traffic.run_time * self.rng.uniform(1.0 - traffic.spread, 1.0 + traffic.spread)
        if self._first_run_times:
            run_time = self._first_run_times.popleft()
        name = f"r{next(self._sequence)}"
        request = _Request(name, request_class, self.now, self.now + timeout, run_time)
        self._requests[name] = request
        self._deliver(
            api.RequestArrived(name, request_class, request.deadline, work_hint=traffic.work_hint)
        )

    def _client_timeout(self, traffic: Traffic) -> float:
        """Returns a random client timeout; the first client gets the longest, so that its request ends."""
        if not self.answers and not self._requests:
            return max(traffic.client_timeouts)
        return self.rng.choices(traffic.client_timeouts, traffic.client_timeout_weights)[0]

    def _answer(self, request: _Request, served: bool, reason: str = "") -> None:
        if request.answered:
            return
        request.answered = True
        del self._requests[request.name]
        self.answers.append(
            Answer(request.request_class, request.arrived_at, self.now, served, reason)
        )
        for attempt in request.attempts:
            self._report_end(attempt, api.PolicyOutcome.TIMEOUT)

    # -- policy module

    def _deliver(self, event: api.Event) -> None:
        for action in self.dispatcher.handle(self.now, [event]):
            self._execute(action)

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            due = self.now + max(self.settings.tick, action.delay)
            self._at(due, lambda: self._deliver(api.TimerFired(action.token)))
        elif isinstance(action, api.Send):
            self._send(self._requests[action.request_id], self.workers[action.worker])
        elif isinstance(action, api.Reject | api.Fail):
            request = self._requests.get(action.request_id)
            # The request is None if it was answered at the same point in time.
            if request is not None:
                self._answer(request, False, action.reason)
        elif isinstance(action, api.Probe):
            self._probe(self.workers[action.worker])
        elif isinstance(action, api.Cancel) and action.request_id in self._requests:
            attempt = self._requests[action.request_id].attempts[action.attempt]
            self._report_end(attempt, api.PolicyOutcome.CANCELLED)

    def _send(self, request: _Request, worker: _Worker) -> None:
        attempt = _Attempt(request, len(request.attempts), worker, self.now)
        request.attempts.append(attempt)
        self._at(self.now + ONE_WAY_MS, lambda: self._arrive_at_worker(attempt))
        timed_out = api.PolicyOutcome.TIMEOUT
        self._at(request.deadline, lambda: self._report_end(attempt, timed_out))

    def _report_end(self, attempt: _Attempt, outcome: api.PolicyOutcome) -> None:
        """Reports the end of an attempt to the dispatcher, once; a served attempt answers its request."""
        if attempt.end_reported:
            return
        attempt.end_reported = True
        request = attempt.request
        served = outcome is api.PolicyOutcome.SERVED
        if served:
            self._answer(request, True)
        elapsed = self.now - attempt.sent_at
        worker = attempt.worker.name
        event = api.AttemptEnded(
            request.name, attempt.number, worker, outcome, elapsed, request.answered
        )
        self._at(self.now, lambda: self._deliver(event))

    def _probe(self, worker: _Worker) -> None:
        if self._active_episode(Condition.HANGS, worker):
            outcome, delay = api.PolicyOutcome.TIMEOUT, 1000.0
        elif self._active_episode(Condition.VANISHED, worker):
            outcome, delay = api.PolicyOutcome.NO_CONNECTION, 2 * ONE_WAY_MS
        else:
            outcome, delay = api.PolicyOutcome.SERVED, 2 * ONE_WAY_MS
        self._at(self.now + delay, lambda: self._deliver(api.ProbeEnded(worker.name, outcome)))

    # -- workers

    def _active_episode(self, condition: Condition, worker: _Worker) -> Episode | None:
        elapsed = self.now - START_MS
        for episode in self.episodes:
            if (
                episode.condition is condition
                and worker.position in episode.workers
                and episode.begins <= elapsed < episode.ends
            ):
                return episode
        return None

    def _arrive_at_worker(self, attempt: _Attempt) -> None:
        worker = attempt.worker
        if self._active_episode(Condition.VANISHED, worker):
            self._report_later(attempt, api.PolicyOutcome.NO_CONNECTION)
        elif self._active_episode(Condition.BUSY, worker):
            self._report_later(attempt, api.PolicyOutcome.REJECTED)
        elif self._active_episode(Condition.ERRORS, worker):
            self._report_later(attempt, api.PolicyOutcome.ERROR)
        else:
            worker.waiting.append(attempt)
            self._start_waiting(worker)

    def _report_later(self, attempt: _Attempt, outcome: api.PolicyOutcome) -> None:
        self._at(self.now + ONE_WAY_MS, lambda: self._report_end(attempt, outcome))

    def _start_waiting(self, worker: _Worker) -> None:
        while (
            worker.waiting
            and worker.free_slots
            and not self._active_episode(Condition.HANGS, worker)
        ):
            attempt = worker.waiting.popleft()
            worker.free_slots -= 1
            slow = self._active_episode(Condition.SLOW, worker)
            run_time = attempt.request.run_time * (slow.run_time_factor if slow else 1.0)
            if self.settings.reports_start and not attempt.end_reported:
                self._at(self.now + ONE_WAY_MS, lambda a=attempt: self._report_start(a))
            self._at(self.now + run_time, lambda a=attempt: self._finish(a))

    def _report_start(self, attempt: _Attempt) -> None:
        if not attempt.end_reported:
            name, number = attempt.request.name, attempt.number
            self._deliver(api.AttemptStarted(name, number, attempt.worker.name))

    def _finish(self, attempt: _Attempt) -> None:
        worker = attempt.worker
        if self._active_episode(Condition.HANGS, worker):
            worker.suspended.append(attempt)
            return
        worker.free_slots += 1
        self._report_later(attempt, api.PolicyOutcome.SERVED)
        self._start_waiting(worker)

    def _vanish(self, episode: Episode) -> None:
        """Reports the attempts that wait at the workers of the episode as lost."""
        for worker in self.workers.values():
            if worker.position in episode.workers:
                lost, worker.waiting = worker.waiting, deque()
                for attempt in lost:
                    self._report_later(attempt, api.PolicyOutcome.CONNECTION_LOST)

    def _end_episode(self, episode: Episode) -> None:
        for worker in self.workers.values():
            if worker.position in episode.workers:
                suspended, worker.suspended = worker.suspended, []
                for attempt in suspended:
                    self._finish(attempt)
                self._start_waiting(worker)
