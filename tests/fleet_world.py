"""Simulation of many decision modules that share many workers, in virtual time with a seeded generator.

It shows effects of all dispatchers together. Workers have a few slots and start requests in order of
arrival; a wide request waits at the head of the queue until enough slots are free. Workers report the starts
of requests, and warm up after their own start. Changes of the endpoint list reach each dispatcher at a
different time. Dispatchers may restart. Times are milliseconds.
"""

from __future__ import annotations

import random
from collections import deque
from heapq import heappop, heappush
from itertools import count

from yewrill import Dispatcher, Settings
from yewrill.policy import interface as api

ONE_WAY_MS = 0.5  # delay of a message between a dispatcher and a worker
# Request classes: fraction of the traffic, mean run time, probabilities of needing 1, 2 and 4 slots, latency
# objective, run time factor of the objective, priority weight.
CLASSES = {
    "short": (0.49, 215.0, (1.0, 0.0, 0.0), 120.0, 1.75, 1.0),
    "day": (0.30, 425.0, (0.6, 0.25, 0.15), 100.0, 2.5, 5.0),
    "pass": (0.12, 850.0, (0.6, 0.25, 0.15), 200.0, 1.75, 5.0),
    "save": (0.09, 105.0, (0.8, 0.2, 0.0), 80.0, 2.0, 3.0),
}
# Mu and sigma of the log-normal distribution of run times relative to the mean: coefficient of variation 2.
SPREAD = (-0.8, 1.265)


class Request:
    """A request of class `cls` that runs for `run` at a worker of speed 1 and holds `need` slots."""

    def __init__(self, name, cls, arrived, run, need, deadline):
        self.name, self.cls, self.arrived, self.run, self.need = name, cls, arrived, run, need
        self.deadline = deadline
        self.attempts = 0


class Worker:
    """A worker.

    Run times are divided by `speed` and multiplied by `slow`. The fraction `errs` of its requests ends with
    an error after a tenth of the run time."""

    def __init__(self, name, slots, speed, launched=0.0, slow=1.0, errs=0.0, zone=0):
        self.name, self.slots, self.speed, self.launched, self.slow = (
            name,
            slots,
            speed,
            launched,
            slow,
        )
        self.zone = zone
        self.errs = errs
        self.free = float(slots)
        self.queue = deque()
        # Arrival time and work of each request received since the last start, if that is known.
        self.received_work: list[tuple[float, float]] = []


class FleetSimulation:
    """The simulated fleet; `load` is the offered load as a fraction of all slots."""

    def __init__(
        self,
        seed,
        dispatchers=40,
        workers=60,
        slots=5,
        load=0.72,
        classes=CLASSES,
        spread=SPREAD,
        deadline=5000.0,
        zones=1,
        places=None,
        **settings,
    ):
        self.rng = random.Random(seed)
        self.number = count()
        self.now = 1_000_000.0
        self.scheduled = []
        self.slots, self.load = slots, load
        self.classes, self.spread, self.deadline, self.zones = classes, spread, deadline, zones
        # Index and zone in the settings of each dispatcher; workers are assigned to zones in turn.
        self.places = places or [{"dispatcher_index": i} for i in range(dispatchers)]
        self.work = sum(
            c[0] * c[1] * (c[2][0] + 2 * c[2][1] + 4 * c[2][2]) for c in classes.values()
        )
        self.settings = (
            dict(
                classes=[
                    api.RequestClass(
                        n,
                        latency_objective=c[3],
                        deadline=deadline,
                        priority_weight=c[5],
                        objective_run_factor=c[4],
                    )
                    for n, c in classes.items()
                ],
                dispatchers=dispatchers,
                reports_start=True,
                fifo=True,
                weight_by_work=True,
                max_attempts=6,
                progress_interval=1000.0,
                slow_start_multiple=3.0,
                slow_start_window=3000.0,
                start_capacity=0.31,
                warm_after=6200.0,
                tick=2.0,
                max_retry_after=2000.0,
                marks_retry=True,
            )
            | settings
        )
        self.workers = {}
        for _ in range(workers):
            self.add_worker()
        self.modules = [
            Dispatcher(Settings(**self.places[i], **self.settings), self.rng.getrandbits(64))
            for i in range(dispatchers)
        ]
        for i in range(dispatchers):
            self.deliver(
                i,
                [
                    api.WorkerList(
                        api.ListForm.CACHED, [self.entry(h) for h in self.workers.values()]
                    )
                ],
            )
        self.rate = load * workers * slots / self.work
        self.used: list[set[str]] = [set() for _ in range(dispatchers)]
        self.requests = {}
        self.next_arrival()

    def add_worker(self, launched=0.0, slow=1.0, errs=0.0):
        worker = Worker(
            f"s-{self.rng.getrandbits(32):08x}",
            self.slots,
            self.rng.gauss(1.0, 0.1),
            launched,
            slow,
            errs,
            len(self.workers) % self.zones,
        )
        self.workers[worker.name] = worker
        return worker

    def entry(self, worker, state=api.WorkerState.RUNNING):
        return api.WorkerEntry(worker.name, worker.zone, state=state, launched=worker.launched)

    def at(self, when, what, *args):
        heappush(self.scheduled, (when, next(self.number), what, args))

    def deliver_list_changes(self, entries, spread=50.0):
        """Delivers changes of the endpoint list to each dispatcher at a random time within `spread`."""
        for i in range(len(self.modules)):
            self.at(
                self.now + self.rng.random() * spread,
                self.deliver,
                i,
                [api.WorkerList(api.ListForm.CHANGES, list(entries))],
            )

    def restart(self, i):
        """Restarts a dispatcher, which loses its estimates and requests and gets the cached list."""
        self.modules[i] = Dispatcher(
            Settings(**self.places[i], **self.settings), self.rng.getrandbits(64)
        )
        self.deliver(
            i, [api.WorkerList(api.ListForm.CACHED, [self.entry(h) for h in self.workers.values()])]
        )

    def run(self, span):
        end = self.now + span
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, what, args = heappop(self.scheduled)
            what(*args)
        self.now = end
        return self

    def next_arrival(self):
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)

    def arrive(self):
        self.next_arrival()
        self.send_request()

    def send_request(self):
        """Sends a request to a random dispatcher."""
        i = self.rng.randrange(len(self.modules))
        name = f"j{next(self.number)}"
        cls = self.rng.choices(range(len(self.classes)), [c[0] for c in self.classes.values()])[0]
        _, mean, widths, *_ = list(self.classes.values())[cls]
        run = mean * self.rng.lognormvariate(*self.spread)
        need = self.rng.choices((1, 2, 4), widths)[0]
        request = self.requests[name] = Request(
            name, cls, self.now, run, need, self.now + self.deadline
        )
        self.deliver(i, [api.RequestArrived(name, cls, request.deadline, 0, float(need))])

    def deliver(self, i, events):
        module = self.modules[i]
        for action in module.handle(self.now, events):
            kind = type(action)
            if kind is api.SetTimer:
                self.at(self.now + max(2.0, action.delay), self.fire_timer, i, module, action.token)
            elif kind is api.Send:
                request = self.requests[action.request_id]
                number, request.attempts = request.attempts, request.attempts + 1
                self.used[i].add(action.worker)
                self.at(
                    self.now + ONE_WAY_MS, self.arrive_at_worker, i, request, number, action.worker
                )
            elif kind is api.Cancel:
                self.report_end(
                    i,
                    self.requests[action.request_id],
                    action.attempt,
                    "",
                    api.PolicyOutcome.CANCELLED,
                )

    def fire_timer(self, i, module, token):
        if self.modules[i] is module:  # a restarted dispatcher does not get the timers set before
            self.deliver(i, [api.TimerFired(token)])

    def arrive_at_worker(self, i, request, number, name):
        worker = self.workers[name]
        if worker.launched:
            worker.received_work.append((self.now, request.run * request.need))
        worker.queue.append((i, request, number))
        self.start_waiting(worker)

    def start_waiting(self, worker):
        while worker.queue and worker.queue[0][1].need <= worker.free:
            i, request, number = worker.queue.popleft()
            worker.free -= request.need
            run = (
                request.run * worker.slow / (worker.speed * self.warm_up_progress(worker, self.now))
            )
            if worker.errs and self.rng.random() < worker.errs:
                self.at(
                    self.now + 0.1 * run,
                    self.finish,
                    worker,
                    i,
                    request,
                    number,
                    api.PolicyOutcome.ERROR,
                )
                continue
            reported_at = self.now + ONE_WAY_MS
            self.at(
                reported_at,
                self.deliver,
                i,
                [api.AttemptStarted(request.name, number, worker.name)],
            )
            for second in range(1, int(run // 1000) + 1):
                self.at(
                    reported_at + 1000.0 * second,
                    self.deliver,
                    i,
                    [api.AttemptProgress(request.name, number, worker.name, 0.5)],
                )
            self.at(self.now + run, self.finish, worker, i, request, number)

    def warm_up_progress(self, worker, at):
        """Returns the fraction of its capacity that a worker has at a time."""
        start, span = self.settings["start_capacity"], self.settings["warm_after"]
        if not worker.launched or at - worker.launched >= span:
            return 1.0
        return start + (1.0 - start) * (at - worker.launched) / span

    def finish(self, worker, i, request, number, outcome=api.PolicyOutcome.SERVED):
        worker.free += request.need
        self.start_waiting(worker)
        self.at(self.now + ONE_WAY_MS, self.report_end, i, request, number, worker.name, outcome)

    def report_end(self, i, request, number, name, outcome):
        self.deliver(
            i,
            [
                api.AttemptEnded(
                    request.name,
                    number,
                    name,
                    outcome,
                    self.now - request.arrived,
                    outcome == api.PolicyOutcome.SERVED,
                )
            ],
        )
