"""A fleet in virtual time: many instances of the module before many workers, in one seeded loop.

It knows the least that shows harm in sum: workers of a few slots that start jobs in the order in which they
came (wide ones too, at the head until they fit), start notices, cold workers, changes of the list that come
to each dispatcher at its own moment, dispatchers that start anew. Times in milliseconds.
"""

from __future__ import annotations

import random
from collections import deque
from heapq import heappop, heappush
from itertools import count

from yewrill import Dispatcher, Settings
from yewrill.policy import interface as api

TRIP = 0.5  # one way between a dispatcher and a worker
# part of the traffic, mean run time, chances of 1, 2 and 4 slots, latency objective, its run time factor,
# priority weight
CLASSES = {
    "short": (0.49, 215.0, (1.0, 0.0, 0.0), 120.0, 1.75, 1.0),
    "day": (0.30, 425.0, (0.6, 0.25, 0.15), 100.0, 2.5, 5.0),
    "pass": (0.12, 850.0, (0.6, 0.25, 0.15), 200.0, 1.75, 5.0),
    "save": (0.09, 105.0, (0.8, 0.2, 0.0), 80.0, 2.0, 3.0),
}
SPREAD = (-0.8, 1.265)  # mu and sigma of run times over their mean, log-normal: cv 2


class Job:
    def __init__(self, name, cls, arrived, run, need, deadline):
        self.name, self.cls, self.arrived, self.run, self.need = name, cls, arrived, run, need
        self.deadline = deadline
        self.attempts = 0


class Worker:
    """One worker."""

    def __init__(self, name, slots, speed, launched=0.0, slow=1.0, errs=0.0, zone=0):
        self.name, self.slots, self.speed, self.launched, self.slow = (
            name,
            slots,
            speed,
            launched,
            slow,
        )
        self.zone = zone
        self.errs = (
            errs  # the part of its jobs that end in an error, after a tenth of their run time
        )
        self.free = float(slots)
        self.queue = deque()
        self.cold_work: list[
            tuple[float, float]
        ] = []  # when and how much was sent while it was cold


class World:
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
        self.heap = []
        self.slots, self.load = slots, load
        self.classes, self.spread, self.deadline, self.zones = classes, spread, deadline, zones
        # The index and zone that each dispatcher is told of itself; workers are in zones by turns.
        self.places = places or [{"index": i} for i in range(dispatchers)]
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
        host = Worker(
            f"s-{self.rng.getrandbits(32):08x}",
            self.slots,
            self.rng.gauss(1.0, 0.1),
            launched,
            slow,
            errs,
            len(self.workers) % self.zones,
        )
        self.workers[host.name] = host
        return host

    def entry(self, host, state=api.WorkerState.RUNNING):
        return api.WorkerEntry(host.name, host.zone, state=state, launched=host.launched)

    def at(self, when, what, *args):
        heappush(self.heap, (when, next(self.number), what, args))

    def deliver_list_changes(self, entries, spread=50.0):
        """Changes of the list, at a moment of its own at each dispatcher."""
        for i in range(len(self.modules)):
            self.at(
                self.now + self.rng.random() * spread,
                self.deliver,
                i,
                [api.WorkerList(api.ListForm.CHANGES, list(entries))],
            )

    def restart(self, i):
        """A dispatcher starts anew: nothing learned, nothing held, the list as it was last known."""
        self.modules[i] = Dispatcher(
            Settings(**self.places[i], **self.settings), self.rng.getrandbits(64)
        )
        self.deliver(
            i, [api.WorkerList(api.ListForm.CACHED, [self.entry(h) for h in self.workers.values()])]
        )

    def run(self, span):
        end = self.now + span
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, args = heappop(self.heap)
            what(*args)
        self.now = end
        return self

    def next_arrival(self):
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)

    def arrive(self):
        self.next_arrival()
        self.ask()

    def ask(self):
        """A job comes to one of the dispatchers."""
        i = self.rng.randrange(len(self.modules))
        name = f"j{next(self.number)}"
        cls = self.rng.choices(range(len(self.classes)), [c[0] for c in self.classes.values()])[0]
        _, mean, widths, *_ = list(self.classes.values())[cls]
        run = mean * self.rng.lognormvariate(*self.spread)
        need = self.rng.choices((1, 2, 4), widths)[0]
        job = self.requests[name] = Job(name, cls, self.now, run, need, self.now + self.deadline)
        self.deliver(i, [api.RequestArrived(name, cls, job.deadline, 0, float(need))])

    def deliver(self, i, events):
        module = self.modules[i]
        for action in module.handle(self.now, events):
            kind = type(action)
            if kind is api.SetTimer:
                self.at(self.now + max(2.0, action.delay), self.ring, i, module, action.token)
            elif kind is api.Send:
                job = self.requests[action.request_id]
                number, job.attempts = job.attempts, job.attempts + 1
                self.used[i].add(action.worker)
                self.at(self.now + TRIP, self.arrive_at_worker, i, job, number, action.worker)
            elif kind is api.Cancel:
                self.back(
                    i,
                    self.requests[action.request_id],
                    action.attempt,
                    "",
                    api.PolicyOutcome.CANCELLED,
                )

    def ring(self, i, module, token):
        if self.modules[i] is module:  # a timer ends with the dispatcher that set it
            self.deliver(i, [api.TimerFired(token)])

    def arrive_at_worker(self, i, job, number, name):
        host = self.workers[name]
        if host.launched:
            host.cold_work.append((self.now, job.run * job.need))
        host.queue.append((i, job, number))
        self.fill(host)

    def fill(self, host):
        while host.queue and host.queue[0][1].need <= host.free:
            i, job, number = host.queue.popleft()
            host.free -= job.need
            run = job.run * host.slow / (host.speed * self.warmth(host, self.now))
            if host.errs and self.rng.random() < host.errs:
                self.at(
                    self.now + 0.1 * run, self.finish, host, i, job, number, api.PolicyOutcome.ERROR
                )
                continue
            told = self.now + TRIP
            self.at(told, self.deliver, i, [api.AttemptStarted(job.name, number, host.name)])
            for second in range(1, int(run // 1000) + 1):
                self.at(
                    told + 1000.0 * second,
                    self.deliver,
                    i,
                    [api.AttemptProgress(job.name, number, host.name, 0.5)],
                )
            self.at(self.now + run, self.finish, host, i, job, number)

    def warmth(self, host, at):
        """The part of its capacity that a worker has at a moment."""
        start, span = self.settings["start_capacity"], self.settings["warm_after"]
        if not host.launched or at - host.launched >= span:
            return 1.0
        return start + (1.0 - start) * (at - host.launched) / span

    def finish(self, host, i, job, number, outcome=api.PolicyOutcome.SERVED):
        host.free += job.need
        self.fill(host)
        self.at(self.now + TRIP, self.back, i, job, number, host.name, outcome)

    def back(self, i, job, number, name, outcome):
        self.deliver(
            i,
            [
                api.AttemptEnded(
                    job.name,
                    number,
                    name,
                    outcome,
                    self.now - job.arrived,
                    outcome == api.PolicyOutcome.SERVED,
                )
            ],
        )
