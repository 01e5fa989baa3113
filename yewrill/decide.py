"""Every decision yewrill takes. Its types, events, actions and settings stand in `yewrill/interface.py`.

The mechanism is the overload control of Andersson, Nyberg and Kihl (ITCom 2003): a *selector* holds jobs
earliest deadline first, a *controller* tests at every arrival and departure whether their time constraints
can be kept, and a *gate* thins what comes in by call gapping. Equation numbers below are the paper's; what
was kept and what was changed stands in docs/design.md. Reading order: selector, controller, gate, release,
workers, attempts and final answers. Times are in milliseconds.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from heapq import heappop, heappush

from yewrill import interface as api

# Settings of the mechanism (the paper's names).
MARGIN_F = 0.9  # f: the right side of (4) and (6) times f signals load level 1
DETECTIONS = 5  # consecutive detections (or passes) before the load level changes
LADDER_X = 200.0  # X before run times are known; then X is T_1, in which a gate's work can be seen
X_QUANTILE = 0.7  # x is this quantile of recent run times over the slots this dispatcher may fill
LOAD_BOUND = 0.95  # (1): the guaranteed rates fill at most this part of the slots
GAP_CREDIT = 5.0  # intervals a gap may save up; at 1 a random stream loses a third of its guaranteed rate
RECOVERY = 2.0  # lifting a rung takes this many X: a gate closed too late costs more than one open too late

# Settings of what the paper leaves open.
SAMPLE = 8  # workers drawn at random for each choice, besides those heard of last
FRESH = 8  # workers lately heard of with room, kept as candidates
PROBES_PER_JOB = 1.0  # bound on probes, as a share of jobs
PROBE_AGE = 150.0  # a report younger than this is not asked for again
RETRY_HELD = 0.015  # held jobs look for a worker this often when nothing else happens, in parts of T_1
SWEEP = 0.1  # attempts that are out are looked over this often, in parts of T_1
REFRESH = 1000.0  # how often rates, rungs and guaranteed rates are worked out
REPORT_LAG = 200.0  # sends younger than this are taken not to be in a worker's report yet
SHARE_BURST = 3000.0  # a tenant may run ahead of its share by this much traffic
SHARE_MEMORY = 30000.0  # how slowly this dispatcher's part of a tenant's share is learned
QUEUE_PART = 0.3  # the part of the tightest time constraint that a job may queue at a worker
LATE_IDLE = 0.3  # jobs are served late only while this share of the slots is thought free
SLOTS_GUESS = 5.0  # slots of a worker until start notices tell: too few cost every job of the first seconds
MISSING = 60.0  # a start notice later than this means that the job waits at the worker
REORDERED = 20.0  # attempts sent within this time of each other may reach a worker in another order
OVERTAKEN = 25.0  # a job sent before one that started this long ago, and not started itself, is lost
STUCK = 600.0  # a worker that runs none of our jobs and starts none of those waiting for this long is silent
WARY = 10000.0  # how long after a sure sign of lost attempts less sure signs are taken for it too
NO_WORD = 1.5  # a running job without a word for this many progress intervals is lost
OWED = 1500.0  # a worker back from operators' hands gets a job by then, even one that will be late
OWED_AGAIN = 500.0  # and another one after this time without a sign of life
KNOWN = 6  # run times seen of a class before its mean tells anything of a worker's speed
SHARERS = 4  # so many dispatchers use a worker first, where there are more
LEAST_OWN = 6  # and a dispatcher so many workers
COLD_SAFETY = 0.5  # the part of the cold budget that is used


# ================================================================================================ selector


class Job:
    """A job taken and not yet finally answered (or answered with attempts still out)."""

    __slots__ = (
        "id", "cls", "spec", "most", "tenant", "need", "run", "known", "due", "wanted", "deadline", "over",
        "tries", "live", "held", "done", "ran_at", "ran_zone", "ran_cell", "last", "asked", "arrived", "seq",
        "hinted", "why",
    )

    def __init__(self, event: api.JobArrived, cls: ClassState, now: float, run: float, rules: api.Settings):
        self.id = event.job
        self.cls = cls
        # What it began with: other settings may come while it is open.
        self.spec = cls.spec
        self.most = rules.max_attempts
        self.tenant = event.tenant
        self.need = max(event.width, event.memory, 1e-3)
        self.run = run  # expected run time on an average worker
        self.known = cls.seen >= KNOWN  # that is more than a guess
        self.deadline = event.deadline
        cls.patience = max(cls.patience, event.deadline - now)
        # A client's retry is due by its first try. Where retries are not marked, less time left than its
        # class allows gives one away; where they are, an unmarked job is an impatient client's first try.
        late = event.retry or not rules.marks_retry
        self.asked = min(now, event.deadline - cls.patience) if late else now
        self.arrived = now
        self.wanted = min(self.asked + cls.spec.aim + cls.spec.stretch * run, event.deadline)
        self.due = self.wanted - run  # T_k after the first asking: the latest start for the full worth
        self.over = False
        self.tries = 0
        self.live: dict[int, Attempt] = {}
        self.held = False
        self.done = False
        self.hinted = event.hint > 0
        self.why = ""  # it was not sent when it was last looked at
        # Send time of the first attempt that may have run, -1: none may have. One before a restart counts.
        self.ran_at = max(0.0, now - event.ran_ago) if event.ran_ago >= 0 else -1.0
        self.ran_zone, self.ran_cell = event.ran_zone, event.ran_cell
        self.last: Worker | None = None  # the worker that failed it last
        self.seq = 0


class Selector:
    """The held jobs of one machine kind (or any), earliest deadline first."""

    __slots__ = ("queue", "kind", "seq")

    def __init__(self, kind: int):
        self.kind = kind
        self.queue: list[tuple[float, int, Job]] = []
        self.seq = 0

    def push(self, job: Job) -> None:
        self.seq += 1
        job.seq = self.seq
        job.held = True
        insort(self.queue, (job.due, job.seq, job))

    def remove(self, job: Job) -> None:
        i = bisect_left(self.queue, (job.due, job.seq))
        del self.queue[i]
        job.held = False


# ============================================================================================== controller


class ClassState:
    """What is learned of a class: run time, time constraint, rates."""

    __slots__ = ("spec", "index", "mean", "seen", "hint_ratio", "patience", "arrivals", "utility", "rung",
                 "limit", "lam", "late_pays")

    def __init__(self, spec: api.JobClass, index: int):
        self.spec = spec
        self.index = index
        self.mean = max(1.0, min(spec.aim, spec.deadline / 2) / 2)  # until run times are seen
        self.seen = 0
        self.hint_ratio = 1.0
        self.patience = 0.0
        self.arrivals = 0.0
        self.utility = 0.0
        self.rung = 0
        self.limit = spec.aim  # T_k
        self.lam = 0.0  # lambda_k: guaranteed jobs a millisecond
        self.late_pays = spec.late_worth > 0

    def observe(self, run: float, expected: float, hinted: bool) -> None:
        self.seen += 1
        weight = max(0.02, 1.0 / self.seen)
        self.mean = max(1.0, self.mean + weight * (run - self.mean))
        if hinted and expected > 0:
            self.hint_ratio += weight * (run / expected * self.hint_ratio - self.hint_ratio)
            self.hint_ratio = max(1e-6, self.hint_ratio)


class Controller:
    """Load levels from conditions (4) and (6), and how many rungs of the ladder are gapped."""

    __slots__ = ("level", "gapped", "over", "severe", "passes", "changed", "rungs", "step", "rng", "x")

    def __init__(self, rng: random.Random):
        self.level = 0
        self.gapped = 0
        self.over = 0  # consecutive detections of overload
        self.severe = 0  # of these, the latest consecutive ones of severe overload
        self.passes = 0
        self.changed = 0.0
        self.rungs = 1
        self.rng = rng
        self.step = self.x = LADDER_X

    @staticmethod
    def detect(limits: list[float], lam: list[float], counts: list[int], between: list[list[int]],
               x: float) -> int:
        """Test (4) for every k and (6) for every pair i > k; T_k ascending, lam in jobs a millisecond.

        counts[k] is N(T_k), between[i][k] is N(T_i) - N(T_i - T_k). Returns 0, 1 (fails only with f) or 2.
        """
        worst = 0
        for k, t_k in enumerate(limits):
            ahead = 0.0
            base = 0.0
            for j in range(k):
                ahead += lam[j] * (t_k - limits[j])
                base += lam[j] * limits[j]
            load = (counts[k] + ahead) * x  # (4)
            for i in range(k + 1, len(limits)):
                middle = 0.0
                for j in range(k, i):
                    middle += lam[j] * min(t_k, limits[i] - limits[j])  # (5)
                load = max(load, (between[i][k] + ahead + middle + base) * x)  # (6)
            if load >= t_k:
                return 2
            if load >= t_k * MARGIN_F:
                worst = 1
        return worst

    def note(self, found: int, now: float) -> None:
        """Take one test's result: five alike in a row move the load level."""
        if found:
            self.over += 1
            self.severe = self.severe + 1 if found == 2 else 0
            self.passes = 0
            if self.over >= DETECTIONS:
                self.level = 2 if self.severe >= DETECTIONS else max(1, self.level)
        else:
            self.over = self.severe = 0
            self.passes += 1
            if self.passes >= DETECTIONS:
                self.level = 0
        if self.level == 2:
            if self.gapped < self.rungs:
                self.gapped = self.rungs  # every rung at once
                self.changed = now
        elif now - self.changed >= self.step:
            if self.level == 1 and self.gapped < self.rungs:
                self.gapped += 1
            elif self.level == 0 and self.gapped > 0 and now - self.changed >= RECOVERY * self.step:
                self.gapped -= 1  # recovery: the highest priority is lifted first
            else:
                return
            self.changed = now
            # Gates that all close and open together would swing the fleet: each takes its own step.
            self.step = self.x * (0.75 + 0.5 * self.rng.random())


# ==================================================================================================== gate


class Gap:
    """Call gapping of one tenant's jobs of one class: one job every 1/d, a few intervals may be saved up."""

    __slots__ = ("rate", "next")

    def __init__(self) -> None:
        self.rate = 0.0  # d, jobs a millisecond at this dispatcher
        self.next = 0.0

    def passes(self, now: float) -> bool:
        if self.rate <= 0.0:
            return False
        interval = 1.0 / self.rate
        start = max(self.next, now - (GAP_CREDIT - 1.0) * interval)
        if start > now:
            return False
        self.next = start + interval
        return True


class TenantState:
    """A tenant's share here: its bucket says which of its traffic is beyond the share."""

    __slots__ = ("spec", "floor", "quota", "credit", "at", "arrivals", "gaps")

    def __init__(self, spec: api.Tenant, classes: list[ClassState], dispatchers: int):
        self.at = 0.0
        self.arrivals = 0
        self.gaps: dict[ClassState, Gap] = {}
        self.floor = -1.0
        self.retune(spec, classes, dispatchers)

    def retune(self, spec: api.Tenant, classes: list[ClassState], dispatchers: int) -> None:
        self.spec = spec
        self.gaps = {c: self.gaps.get(c) or Gap() for c in classes}
        floor = spec.quota_per_s / 1000.0 / dispatchers
        if floor != self.floor:
            self.floor = self.quota = floor  # our part of the share, jobs a millisecond; learned
            self.credit = floor * SHARE_BURST + 2.0

    def over_share(self, now: float) -> bool:
        if self.spec.quota_per_s <= 0.0:
            return False
        full = self.quota * SHARE_BURST + 2.0
        self.credit = min(full, self.credit + (now - self.at) * self.quota)
        self.at = now
        if self.credit < 1.0:
            return True
        self.credit -= 1.0
        return False


# ================================================================================================= workers


class Kind:
    """What is learned of a machine kind: slots of a worker, free slots and relative run time on average."""

    __slots__ = ("slots", "free", "ratio", "latency", "count", "inflight")

    def __init__(self) -> None:
        self.slots = 1.0
        self.free = 1.0
        self.ratio = 1.0
        self.latency = 0.0
        self.count = 0
        self.inflight = 0.0  # slots our attempts hold on all its workers


class Worker:
    __slots__ = (
        "name", "zone", "kind", "cell", "kind_no", "usable", "listed", "launched", "cold_from", "credit",
        "credit_at", "inflight", "free", "free_at", "cap", "unstarted", "waiting_since", "ratio", "seen",
        "slow", "slow_at", "errors", "errors_at", "blocked", "fails", "probing", "sent_at", "fresh",
        "running", "queue", "refused", "owed", "part", "fulls",
    )

    def __init__(self, entry: api.WorkerEntry, kind: Kind):
        self.name = entry.worker
        self.zone = entry.zone
        self.cell = entry.cell
        self.kind_no = entry.kind
        self.kind = kind
        self.usable = False
        self.listed = False
        self.launched = entry.launched
        self.cold_from = -1.0
        self.credit = 0.0
        self.credit_at = 0.0
        self.inflight = 0.0  # slots held by our attempts, lost ones included for their expected time
        self.free = 0.0  # free slots by its last report, less what was sent since
        self.free_at = -1e18
        # Most slots of it we fill. A restarted dispatcher's lost jobs may still run there.
        self.cap = kind.slots + 1.0
        self.unstarted = 0  # attempts out whose start was not told
        self.running = 0.0  # slots of our attempts whose start was told
        self.queue: list[Attempt] = []  # attempts whose start was not told, in the order of their sends
        self.refused = False  # among its failures was a connection that did not come up
        self.waiting_since = 0.0
        self.ratio = 1.0  # run times here over the class's mean
        self.seen = 0.0
        self.slow = 0.0  # a suspicion of slowness from outside the run times, as a ratio
        self.slow_at = 0.0
        self.errors = 0.0
        self.errors_at = 0.0
        self.blocked = 0.0  # nothing is sent before this time
        self.fails = 0
        self.fulls = 0  # times in a row that it sent a job back, without a sign of work between
        self.probing = False
        self.sent_at = -1e18
        self.fresh = False
        self.part = 1.0  # the part of it that is ours; 0: others have it, and we only what they leave
        self.owed = -1.0  # since when it has been back from operators' hands without a sign of life


# ============================================================================ attempts and final answers


class Attempt:
    __slots__ = ("job", "number", "worker", "sent", "started", "counted", "expected", "order", "heard",
                 "overtaken", "silent", "warm")

    def __init__(self, job: Job, number: int, worker: Worker, now: float, expected: float, order: int):
        self.order = order
        self.job = job
        self.number = number
        self.worker = worker
        self.sent = now
        self.started = 0.0
        self.counted = True  # in worker.unstarted
        self.expected = expected
        self.warm = 1.0  # the part of its capacity its worker had at least
        self.heard = now  # when it last said something
        self.overtaken = 0.0  # when a later attempt at the same worker was first seen to start
        self.silent = False  # given up for its silence


TICKER, HELD_TIMER, WATCH_TIMER, END_TIMER = 1, 2, 3, 4


class Dispatcher:
    """One dispatcher: `handle` takes what happened at a moment and returns what to do about it."""

    def __init__(self, settings: api.Settings, seed: int):
        if not settings.classes:
            raise ValueError("settings name no job classes")
        for spec in settings.classes:
            if spec.deadline <= 0:
                raise ValueError(f"class {spec.name!r} has no deadline")
            if spec.kind >= settings.kinds:
                raise ValueError(f"class {spec.name!r} needs machine kind {spec.kind}, which is not listed")
        self.settings = settings
        self.rng = random.Random(seed)
        self.place = random.Random(seed).random()  # of our window, where the settings give us no number
        self.now = 0.0
        self.out: list[api.Action] = []
        self.classes = [ClassState(spec, i) for i, spec in enumerate(settings.classes)]
        tenants = settings.tenants or [api.Tenant("")]
        self.tenants = [TenantState(t, self.classes, settings.dispatchers) for t in tenants]
        pools = sorted({spec.kind for spec in settings.classes})
        self.selectors = [Selector(kind) for kind in pools]
        self.by_kind = {s.kind: s for s in self.selectors}
        self.controller = Controller(self.rng)
        self.kinds = [Kind() for _ in range(settings.kinds)]
        self.workers: dict[str, Worker] = {}
        self.near: dict[int, list[Worker]] = {kind: [] for kind in pools}
        self.far: dict[int, list[Worker]] = {kind: [] for kind in pools}
        self.mine: dict[int, list[Worker]] = {kind: [] for kind in pools}  # of the near ones, ours first
        self.rest: dict[int, list[Worker]] = {kind: [] for kind in pools}  # and the others
        self.fresh: list[Worker] = []
        self.owed: list[Worker] = []
        self.jobs: dict[str, Job] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.ends: list[tuple[float, int, Job]] = []  # final answers due
        self.ghosts: list[tuple[float, int, Worker, float]] = []  # slots that lost work may still hold
        self.late: list[tuple[float, int, Job]] = []  # jobs past their wanted start, for spare slots
        self.count = 0
        self.run_quantile = 0.0
        self.residual = 0.0  # mean time until a busy slot is free again
        self.unstarted: list[tuple[float, int]] = []  # due times of attempts whose start was not told
        self.run_sum = self.square_sum = 0.0
        self.inflight = 0.0
        self.waiting = 0.0  # of these, asked for by jobs whose start was not told
        self.errors = 0.0  # error share over all workers
        self.wary = -1.0  # until when attempts are thought to be lost in silence
        self.probe_credit = 1.0
        self.refreshed = -1.0
        self.order: list[ClassState] = list(self.classes)
        self.ticking = False
        self.held_armed = False
        self.end_armed = -1.0
        self.stirred = False
        # Without load reports, start notices alone tell how many slots a worker has.
        self.slots_by_starts = settings.tells_start and not settings.report_fields
        if self.slots_by_starts:
            for kind in self.kinds:
                kind.slots = kind.free = SLOTS_GUESS
        self.watch_fails = 0
        self.cross_fee = settings.fees.get("cross_zone", 0.0)
        self.mean_worth = sum(c.worth for c in settings.classes) / len(settings.classes)
        self.on = {
            api.JobArrived: self._arrived,
            api.AttemptStarted: self._started,
            api.AttemptProgress: self._progress,
            api.AttemptEnded: self._ended,
            api.AnswerStarted: self._answer_started,
            api.ProbeEnded: self._probed,
            api.ClientLeft: self._client_left,
            api.TimerFired: self._timer,
            api.WorkerList: self._list,
            api.WorkerReturned: self._returned,
            api.SettingsChanged: self._retune,
        }

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in their order, and return the actions, in theirs."""
        self.now = now
        self.out = []
        if self.refreshed < 0 or now - self.refreshed >= REFRESH:
            self._refresh()
        if self.slots_by_starts:
            self._free_by_starts()
        for event in events:
            self.on[type(event)](event)
        if self.ghosts and self.ghosts[0][0] <= now:
            self._expire_ghosts()
        if self.ends and self.ends[0][0] <= now:
            self._answer_due()
        if self.stirred:
            self._release()
        self._arm_end()
        if not self.ticking and (self.jobs or self.attempts):
            self.ticking = True
            self.out.append(api.SetTimer(TICKER, max(30.0, SWEEP * self.order[0].limit)))
        return self.out

    def _retune(self, event: api.SettingsChanged) -> None:
        """Other settings. Classes and tenants are known by their names and keep what was learned of them."""
        self.settings = settings = event.settings
        classes = {c.spec.name: c for c in self.classes}
        tenants = {t.spec.name: t for t in self.tenants}
        self.classes = []
        for i, spec in enumerate(settings.classes):
            c = classes.get(spec.name)
            if c is None:
                c = ClassState(spec, i)
                like = [o for o in classes.values() if o.seen and (o.spec.aim, o.spec.stretch, o.spec.kind) ==
                        (spec.aim, spec.stretch, spec.kind)]
                if like:  # a better guess than none, and soon replaced by what is seen
                    c.mean, c.hint_ratio, c.seen = like[0].mean, like[0].hint_ratio, 1
            if c.spec.deadline != spec.deadline:
                c.patience = 0.0
            c.spec, c.index, c.late_pays = spec, i, spec.late_worth > 0
            self.classes.append(c)
        self.tenants = []
        for party in settings.tenants or [api.Tenant("")]:
            t = tenants.get(party.name) or TenantState(party, self.classes, settings.dispatchers)
            t.retune(party, self.classes, settings.dispatchers)
            self.tenants.append(t)
        while len(self.kinds) < settings.kinds:
            self.kinds.append(Kind())
            self.kinds[-1].slots = self.kinds[-1].free = self.kinds[0].slots
        for spec in settings.classes:
            if spec.kind not in self.by_kind:
                self.by_kind[spec.kind] = Selector(spec.kind)
                self.selectors.append(self.by_kind[spec.kind])
        self.slots_by_starts = settings.tells_start and not settings.report_fields
        self.cross_fee = settings.fees.get("cross_zone", 0.0)
        self.mean_worth = sum(c.worth for c in settings.classes) / len(settings.classes)
        self._refresh()
        self._regroup()

    # ---------------------------------------------------------------------------- arrivals: controller, gate

    def _arrived(self, event: api.JobArrived) -> None:
        now = self.now
        cls = self.classes[event.job_class]
        run = event.hint * cls.hint_ratio if event.hint > 0 else cls.mean
        job = Job(event, cls, now, run, self.settings)
        self.jobs[job.id] = job
        self.count += 1
        heappush(self.ends, (job.deadline - 2.0 * self.settings.tick, self.count, job))
        if self._spent(job):
            self._finish(job)
            self.out.append(api.Fail(job.id, "it may have run before a restart"))
            return
        tenant = self.tenants[event.tenant] if event.tenant < len(self.tenants) else self.tenants[0]
        if now >= job.due and not cls.late_pays:
            # A client's retry that can't be in time any more takes nothing from its tenant's share or gap: a
            # storm of such retries would have the tenant's first tries refused, and so feed itself.
            self._control()
            self._overdue(job)
            return
        cls.arrivals += 1
        tenant.arrivals += 1
        job.over = tenant.over_share(now)
        self.probe_credit = min(4.0, self.probe_credit + PROBES_PER_JOB)
        self._control()
        rung = 0 if job.over else cls.rung
        if rung < self.controller.gapped and not (not job.over and tenant.gaps[cls].passes(now)):
            level = self.controller.gapped
            self._give_up(job, "its tenant is over its share" if job.over else f"gap level {level}")
            return
        if now >= job.due:
            self._overdue(job)
        else:
            self._hold(job)
        if self.settings.may_probe:
            self._probe_some(cls.spec.kind)

    def _control(self) -> None:
        """Run the controller's tests, at an arrival or a departure."""
        limits = [c.limit for c in self.order]
        lam = [c.lam for c in self.order]
        now = self.now
        counts = [0] * len(limits)
        between = [[0] * len(limits) for _ in limits]
        # N(t): jobs held here and jobs that wait at a worker; one whose start was told has left the queue.
        for queue in [s.queue for s in self.selectors if s.queue] + [self.unstarted]:
            for i, t_i in enumerate(limits):
                n = bisect_left(queue, (now + t_i,))
                counts[i] += n
                for k in range(i):
                    between[i][k] += n - bisect_left(queue, (now + t_i - limits[k],))
        self.controller.note(Controller.detect(limits, lam, counts, between, self._drain_time()), now)

    def _slots(self) -> float:
        """The slots this dispatcher may fill: its started jobs' and its part of the free ones."""
        free = 0.0
        for kind in self.kinds:
            free += kind.free * kind.count
        return max(1.0, self.inflight - self.waiting + free / self.settings.dispatchers)

    def _idle(self) -> float:
        """The share of the fleet's slots thought free."""
        free = slots = 0.0
        for kind in self.kinds:
            free += kind.free * kind.count
            slots += kind.slots * kind.count
        return free / slots if slots > 0 else 0.0

    def _free_by_starts(self) -> None:
        """Free slots of an average worker where nothing reports them: those that starts have shown, less ours
        and as many for each other dispatcher."""
        for kind in self.kinds:
            taken = kind.inflight * self.settings.dispatchers / max(1, kind.count)
            kind.free = max(0.0, kind.slots - taken)

    def _drain_time(self) -> float:
        """x: an upper quantile of recent run times over the slots this dispatcher may fill."""
        return self.run_quantile / self._slots()

    def _refresh(self) -> None:
        """Work out rates, time constraints, rungs and guaranteed rates anew."""
        now = self.now
        span = now - self.refreshed if self.refreshed >= 0 else 0.0
        self.refreshed = now
        total = 0
        for c in self.classes:
            spec = c.spec
            c.limit = max(1.0, min(spec.aim + spec.stretch * c.mean, spec.deadline) - c.mean)
            # (2); where worth counts by the unit of work, run time is already in the revenue.
            c.utility = spec.worth if self.settings.worth_by_work else spec.worth / c.mean
            total += c.arrivals
        self.order = sorted(self.classes, key=lambda c: (c.limit, c.index))
        self.controller.x = self.order[0].limit
        # Rung 0, the lowest, is traffic beyond the shares; the classes stand above it by utility.
        ranked = sorted(self.classes, key=lambda c: (c.utility, -c.index))
        for i, c in enumerate(ranked):
            c.rung = i + 1
        self.controller.rungs = len(ranked) + 1
        if span <= 0:
            return
        slow = min(1.0, span / SHARE_MEMORY)
        for t in self.tenants:
            rate = t.arrivals / span
            # A tenant that reaches few dispatchers sends each of them more than an even part: the part
            # is learned slowly, so that a burst is not taken for it.
            rate = min(rate, t.floor * self.settings.dispatchers)
            t.quota = max(t.floor, t.quota + slow * (rate - t.quota))
            t.arrivals = 0
        # (1): guaranteed rates in order of utility until the slots are spoken for.
        slots = self._slots() * LOAD_BOUND
        mix = [c.arrivals / total if total else 1.0 / len(self.classes) for c in self.classes]
        quota = sum(t.quota for t in self.tenants)
        for c in reversed(ranked):
            rate = quota * mix[c.index] if quota > 0 else slots / c.mean
            work = rate * c.mean
            scale = 1.0 if work <= 0 else max(0.1, min(1.0, slots / work))
            slots = max(0.0, slots - work * scale)
            for t in self.tenants:
                part = t.quota / quota if quota > 0 else 1.0 / len(self.tenants)
                gap = t.gaps[c]
                gap.rate = rate * scale * part
            c.lam = rate * scale
        x = self._drain_time()
        load = sum(c.lam for c in self.classes) * x
        if load > 0.8:
            for c in self.classes:
                c.lam *= 0.8 / load
        for c in self.classes:
            c.arrivals *= 0.5

    # ----------------------------------------------------------------------------------------------- release

    def _hold(self, job: Job) -> None:
        self.by_kind[job.spec.kind].push(job)
        self.stirred = True

    def _release(self) -> None:
        """Let held jobs go, earliest deadline first, while workers with room are found."""
        self.stirred = False
        now = self.now
        waiting = False
        for selector in self.selectors:
            queue = selector.queue
            misses = 0
            at = 0
            while at < len(queue) and misses < 3:
                job = queue[at][2]
                if now >= job.due:
                    selector.remove(job)
                    self._control()  # a departure
                    self._overdue(job)
                    continue
                worker = self._choose(job, now, job.need + 1.0 if job.over else job.need)
                if worker is None:
                    misses += 1
                    at += 1
                    continue
                selector.remove(job)
                self._send(job, worker)
                self._control()
            if queue:
                waiting = True
        if self.late:
            self._release_late()
            waiting = waiting or bool(self.late)
        if waiting and not self.held_armed:
            self.held_armed = True
            # Guards against a timer storm where very many dispatchers hold jobs with long constraints.
            self.out.append(api.SetTimer(HELD_TIMER, max(10.0, RETRY_HELD * self.order[0].limit)))

    def _overdue(self, job: Job) -> None:
        """A job that can't be in time any more: spare slots may serve it late, else it is refused at once."""
        if job.done or job.live:
            return
        if job.cls.late_pays and not job.over and self._idle() >= LATE_IDLE and self.controller.gapped == 0 \
                and job.deadline - self.now > job.run * 1.5:
            self.count += 1
            job.held = True
            insort(self.late, (job.deadline, self.count, job))
            self.stirred = True
        else:
            self._give_up(job, "it can't be in time")

    def _release_late(self) -> None:
        now = self.now
        at = 0
        misses = 0
        while at < len(self.late) and misses < 2:
            job = self.late[at][2]
            if job.done:
                del self.late[at]
            elif job.deadline - now < job.run or self.controller.gapped or self._idle() < LATE_IDLE:
                del self.late[at]
                job.held = False
                self._give_up(job, "no spare slots to serve it late")
            else:
                worker = self._choose(job, now, job.need + 1.0)
                if worker is None:
                    misses += 1
                    at += 1
                else:
                    del self.late[at]
                    job.held = False
                    self._send(job, worker)

    def _choose(self, job: Job, now: float, need: float) -> Worker | None:
        """The worker with the earliest expected finish among a few, if one is thought to have room."""
        kind = job.spec.kind
        slack = job.due - now
        whole = max(1.0, job.due - job.arrived)
        used = 1.0 - slack / whole
        far = self.far[kind]
        candidates = []
        zone = self.settings.zone
        cross = not self.near[kind]
        if far and not cross and self.cross_fee >= 0:
            # Crossing zones costs a fee; it pays once so much of the slack is used up.
            gain = job.spec.worth * (1.0 - job.spec.late_worth)
            cross = used >= min(0.8, self.cross_fee * self.mean_worth / max(gain, 1e-9))
        for w in self.fresh + self.owed if self.owed else self.fresh:
            if (kind < 0 or w.kind_no == kind) and (cross or w.zone == zone):
                candidates.append(w)
        candidates += self._some(self.mine[kind]) + (self._some(far) if cross else [])
        best = self._best(job, now, need, candidates, used)
        if best is None and self.rest[kind]:  # ours have no room: whoever has
            best = self._best(job, now, need, self._some(self.rest[kind]), used)
        return best

    def _some(self, group: list[Worker]) -> list[Worker]:
        return group if len(group) <= SAMPLE else self.rng.choices(group, k=SAMPLE)

    def _best(self, job: Job, now: float, need: float, candidates: list[Worker],
              used: float) -> Worker | None:
        best = None
        best_finish = 1e18
        why = "no worker"
        self.among = len(candidates)
        allowed = -1.0 if job.over else self.order[0].limit * QUEUE_PART * min(1.0, 2.0 - 2.0 * used)
        for w in candidates:
            if not w.usable or w.blocked > now or (w is job.last and len(candidates) > 1):
                continue
            if job.ran_at >= 0 and not self._may_repeat(job, w, now):
                continue
            drain = self.residual / w.kind.slots
            room = self._room(w, now)
            spare = room - need
            if w.inflight <= 0.0 and self.slots_by_starts:
                spare = max(spare, 0.0)  # nothing of ours is there: no place is better, however wide the job
            # Exception to waiting for a free slot: what is known of slots is stale, so a job may queue at a
            # worker for part of the tightest time constraint. Past half of its slack ever less: what is
            # thought of queues is too little, and a job held for long would end late after waiting there.
            wait = drain * (0.5 - spare if spare < 0 else 0.5 / (1.0 + spare))
            if w.unstarted and now - w.waiting_since > MISSING:
                wait += now - w.waiting_since
            if spare < 0 and wait > allowed:
                why = "no room"
                continue
            ratio = self._ratio(w, now)
            if w.cold_from >= 0:
                warm = self._warmth(w, now)
                if warm < 1.0:
                    if not self._cold_room(w, job, now, warm):
                        why = "cold budget"
                        continue
                    ratio /= warm
            finish = wait + job.run * ratio
            if w.errors > 0.05:
                finish += self._error_share(w, now) * job.run * 8.0
            if w.owed >= 0 and (w.sent_at < w.owed or now - w.sent_at > OWED_AGAIN) and (
                    now - w.owed > OWED or now + finish < job.wanted):
                finish -= 1e9  # a cold worker would wait for its turn until the others are full
            if finish < best_finish:
                best, best_finish = w, finish
        if best is None:
            job.why = why
        return best

    def _may_repeat(self, job: Job, w: Worker, now: float) -> bool:
        """Whether a job that may have run may run at this worker too."""
        spec = job.spec
        if spec.effect == api.SAFE:
            return True
        if spec.effect != api.KEYED or now - job.ran_at > spec.window * 0.95:
            return False
        if spec.group == "all":
            return True
        return w.zone == job.ran_zone if spec.group == "zone" else w.cell == job.ran_cell

    def _send(self, job: Job, w: Worker) -> None:
        now = self.now
        expected = job.run * self._ratio(w, now)
        self.count += 1
        attempt = Attempt(job, job.tries, w, now, expected, self.count)
        insort(self.unstarted, (job.due, self.count))
        job.live[job.tries] = attempt
        self.attempts[(job.id, job.tries)] = attempt
        job.tries += 1
        if not w.unstarted:
            w.waiting_since = now
        w.unstarted += 1
        w.queue.append(attempt)
        w.inflight += job.need
        w.kind.inflight += job.need
        self.inflight += job.need
        self.waiting += job.need
        w.free -= job.need
        w.sent_at = now
        if w.cold_from >= 0:
            w.credit -= job.run * job.need
            attempt.warm = self._warmth(w, now)
        self.out.append(api.Send(job.id, w.name, 0.0, self.among, job.why))

    # ----------------------------------------------------------------------------------------------- workers

    def _list(self, event: api.WorkerList) -> None:
        form = event.form
        if form == api.LIST_FAILED:
            # The list service is out of reach or overrun: ask again later, each at its own time.
            self.watch_fails = min(self.watch_fails + 1, 5)
            delay = 300.0 * 2 ** self.watch_fails * (0.5 + self.rng.random())
            self.out.append(api.SetTimer(WATCH_TIMER, delay))
            return
        if form == api.LIST_CACHED:
            if self.settings.list_on_request:
                self.out.append(api.WatchList(True))
        else:
            self.watch_fails = 0
        if form != api.LIST_CHANGES:
            for w in self.workers.values():
                w.listed = False
        for entry in event.entries:
            self._entry(entry, form == api.LIST_CACHED)
        if form != api.LIST_CHANGES:
            for w in self.workers.values():
                if not w.listed:
                    w.usable = False
        self._regroup()

    def _regroup(self) -> None:
        """Count the usable workers, and sort them by kind and zone."""
        for kind in self.kinds:
            kind.count = 0
        for pool in self.by_kind:
            self.near[pool] = []
            self.far[pool] = []
        zone = self.settings.zone
        for w in self.workers.values():
            if w.usable:
                w.kind.count += 1
                side = self.near if w.zone == zone or self.cross_fee <= 0 else self.far
                for pool in (-1, w.kind_no):
                    if pool in side:
                        side[pool].append(w)
        self._share_out()
        self.stirred = True

    def _share_out(self) -> None:
        """Which workers this dispatcher uses first: in a ring sorted by ids, a window placed evenly by its
        number, such that each worker is in about SHARERS windows. So few dispatchers soon know how a worker
        fares that is theirs, and one gone bad costs few of them a job."""
        n = self.settings.dispatchers
        for w in self.workers.values():
            w.part = 1.0 / n  # of far ones; near ones follow
        for pool, side in self.near.items():
            size = len(side)
            width = min(size, max(LEAST_OWN, -(-size * SHARERS // n)))
            if width < size:
                side.sort(key=lambda w: w.name)
            index = self.settings.index
            low = index % n * size // n if index >= 0 else int(self.place * size)
            ring = side[low:] + side[:low]
            self.mine[pool], self.rest[pool] = (ring[:width], ring[width:]) if width < size else (side, [])
            for w in side:
                w.part = 0.0
            for w in self.mine[pool]:
                w.part = size / (n * width)

    def _entry(self, entry: api.WorkerEntry, cached: bool) -> None:
        w = self.workers.get(entry.worker)
        if w is None:
            kind = self.kinds[entry.kind] if entry.kind < len(self.kinds) else self.kinds[0]
            w = self.workers[entry.worker] = Worker(entry, kind)
            if entry.launched > 0:
                self._start_cold(w, entry.launched)
        elif entry.launched != w.launched:
            w.launched = entry.launched
            self._start_cold(w, entry.launched)
            w.free_at = -1e18
            w.blocked = 0.0
            w.fails = 0
        w.zone, w.cell = entry.zone, entry.cell
        w.listed = entry.state != api.GONE
        # A drain is kept from the moment it is heard of.
        w.usable = entry.state == api.RUNNING

    def _returned(self, event: api.WorkerReturned) -> None:
        """Back from operators' hands, most likely as another process: nothing learned of it holds."""
        w = self.workers.get(event.worker)
        if w is None:
            return
        w.blocked = w.slow = w.errors = w.seen = 0.0
        w.fails = 0
        w.refused = False
        w.ratio = 1.0
        w.cap = w.kind.slots + 1.0
        w.free_at = -1e18
        self._start_cold(w, event.since)
        if w.owed < 0:
            self.owed.append(w)
        w.owed = self.now
        self.stirred = True

    def _start_cold(self, w: Worker, since: float) -> None:
        if self.now - since < self.settings.warm_after:
            w.cold_from = since
            w.credit_at = self.now
            # Each dispatcher's part of the cold budget is often below one job: a random start of its
            # account lets the right number of dispatchers go first, without their agreeing.
            w.credit = (self.rng.random() - 1.0) * max(c.mean for c in self.classes)

    def _warmth(self, w: Worker, now: float) -> float:
        """The part of its capacity a worker has at least; 1 ends its time as a cold one."""
        age = now - w.cold_from
        warm = self.settings.warm_after
        if age >= warm:
            w.cold_from = -1.0
            return 1.0
        start = self.settings.start_capacity
        return max(start, start + (1.0 - start) * age / warm)

    def _cold_room(self, w: Worker, job: Job, now: float, warm: float) -> bool:
        """Whether this dispatcher's part of a cold worker's budget has room for the job's work."""
        s = self.settings
        rate = s.cold_multiple * warm * w.kind.slots * COLD_SAFETY * w.part
        w.credit = min(w.credit + (now - w.credit_at) * rate, max(rate * s.cold_window, job.run * job.need))
        w.credit_at = now
        return w.credit >= job.run * job.need

    def _room(self, w: Worker, now: float) -> float:
        """Free slots a worker is thought to have: its last report, fading into its kind's average."""
        age = now - w.free_at
        span = max(200.0, self.run_quantile)
        kind = w.kind
        # Without a fresh report, what we have there ourselves against what we have on its peers tells most.
        # One slot more than is known of is always tried: only so can a larger worker be learned of.
        prior = max(1.0, kind.free) + kind.inflight / max(1, kind.count) - w.inflight
        if age < span:
            trust = 1.0 - age / span
            room = trust * w.free + (1.0 - trust) * prior
        else:
            room = prior
        if room > w.cap - w.inflight:
            room = w.cap - w.inflight
        # A start notice missing past a round trip: the worker is full, or takes work and does nothing.
        if w.unstarted and self.settings.tells_start and now - w.waiting_since > MISSING:
            # Only while attempts are being lost in silence may one more job go there, to tell which it is.
            running = w.running * self.settings.dispatchers
            if w.unstarted > 1 or now > self.wary or running > 0.5 * w.kind.slots:
                room = min(room, 0.0) - w.unstarted
                if w.queue[0].job.need <= 1.0 <= w.running:
                    w.cap = min(w.cap, w.running + 1.0)  # as 'full' tells; a wide head may just not fit
        return room

    def _ratio(self, w: Worker, now: float) -> float:
        """Run time here over the class's mean: its own, leaning on its kind's while little is seen."""
        ratio = (w.seen * w.ratio + 4.0 * w.kind.ratio) / (w.seen + 4.0)
        if w.slow > ratio and now - w.slow_at < 5000.0:
            ratio = w.slow
        return ratio

    def _error_share(self, w: Worker, now: float) -> float:
        """Errors beyond what all workers show, fading so that a few jobs try it again."""
        fade = 0.5 ** ((now - w.errors_at) / 4000.0)
        return max(0.0, w.errors * fade - 2.0 * self.errors)

    def _report(self, w: Worker, report: dict[str, float]) -> None:
        now = self.now
        kind = w.kind
        field = self.settings.free_slots_field
        free = report.get(field) if field else None
        if free is None:
            if "inflight" in report:
                free = kind.slots - report["inflight"]
            elif "util" in report:
                free = kind.slots * (1.0 - report["util"])
            elif "queue" in report:
                free = -report["queue"] if report["queue"] >= 0.5 else max(1.0, kind.free)
        elif free + w.inflight - w.unstarted > kind.slots:
            kind.slots += 0.3 * (free + w.inflight - w.unstarted - kind.slots)
        if free is not None:
            if w.cap < free + w.inflight:
                w.cap = free + w.inflight
            kind.free += 0.03 * (max(0.0, free) - kind.free)
            if now - w.sent_at < REPORT_LAG:
                free -= 1.0
            w.free = free
            w.free_at = now
            if free >= 1.0 and not w.fresh:
                w.fresh = True
                self.fresh.append(w)
                if len(self.fresh) > FRESH:
                    self.fresh.pop(0).fresh = False
        latency = report.get("latency_ms", 0.0)
        if latency > 0:
            if kind.latency <= 0:
                kind.latency = latency
            kind.latency += 0.03 * (min(latency, 3 * kind.latency) - kind.latency)
            if latency > 2.0 * kind.latency:
                w.slow = latency / kind.latency * kind.ratio
                w.slow_at = now
            elif w.slow:
                w.slow = 0.0

    def _probe_some(self, kind: int) -> None:
        group = self.near[kind] or self.far[kind]
        size = len(group)
        for _ in range(2):
            if self.probe_credit < 1.0 or not size:
                return
            w = group[int(self.rng.random() * size)]
            # A probe that brings no report shows little more than that the process runs.
            if w.usable and not w.probing and self.now - w.free_at > PROBE_AGE and (
                    self.settings.report_fields or w.fails):
                self.probe_credit -= 1.0
                w.probing = True
                self.out.append(api.Probe(w.name))

    def _probed(self, event: api.ProbeEnded) -> None:
        w = self.workers.get(event.worker)
        if w is None:
            return
        w.probing = False
        if event.outcome == api.SERVED:
            if event.report:
                self._report(w, event.report)
            if w.fails:  # it answers again: try it
                w.blocked = self.now
        elif event.outcome != api.FULL:
            self._unreachable(w)
        self.stirred = True

    def _unreachable(self, w: Worker) -> None:
        """No connection to it: leave it alone for longer each time, and take it for cold when it is back."""
        w.refused = True
        self._leave_alone(w)

    def _suspect(self, w: Worker) -> None:
        """An attempt there was lost. One bad connection is not a bad worker: only a second one in a row,
        without a sign of life between them, has it left alone."""
        if w.fails:
            self._leave_alone(w)
        else:
            w.fails = 1

    def _leave_alone(self, w: Worker) -> None:
        w.fails = min(w.fails + 1, 5)
        w.blocked = self.now + 125.0 * 2 ** w.fails * (0.75 + 0.5 * self.rng.random())

    def avoided(self, now: float) -> set[str]:
        """The listed workers that get nothing at present, because they drain or have failed."""
        return {w.name for w in self.workers.values()
                if w.listed and (not w.usable or (w.fails and w.blocked > now))}

    def _alive(self, w: Worker) -> None:
        w.fulls = 0
        if w.owed >= 0:
            w.owed = -1.0
            self.owed.remove(w)
        if w.fails:
            if w.refused and w.fails >= 3:
                self._start_cold(w, self.now)
            w.fails = 0
            w.refused = False
            w.blocked = min(w.blocked, self.now)

    # --------------------------------------------------------------------------- attempts and final answers

    def _started(self, event: api.AttemptStarted) -> None:
        attempt = self.attempts.get((event.job, event.attempt))
        if attempt is None or attempt.started:
            return
        attempt.started = attempt.heard = self.now
        w = attempt.worker
        if self.settings.fifo:
            for earlier in w.queue:
                if earlier.sent > attempt.sent - REORDERED:
                    break
                earlier.overtaken = earlier.overtaken or self.now
        self._counted_off(attempt)
        w.running += attempt.job.need
        if self.slots_by_starts and w.running > w.kind.slots:
            w.kind.slots += 0.3 * (w.running - w.kind.slots)  # it runs that many of ours at once
        self._alive(w)

    def _counted_off(self, attempt: Attempt) -> None:
        if attempt.counted:
            attempt.counted = False
            w = attempt.worker
            w.unstarted -= 1
            w.queue.remove(attempt)
            self.waiting -= attempt.job.need
            w.waiting_since = self.now
            del self.unstarted[bisect_left(self.unstarted, (attempt.job.due, attempt.order))]

    def _progress(self, event: api.AttemptProgress) -> None:
        attempt = self.attempts.get((event.job, event.attempt))
        if attempt is not None:
            attempt.heard = self.now
            if not attempt.started:
                self._started(api.AttemptStarted(event.job, event.attempt, event.worker))

    def _answer_started(self, event: api.AnswerStarted) -> None:
        job = self.jobs.get(event.job)
        if job is not None:
            self._finish(job)

    def _ended(self, event: api.AttemptEnded) -> None:
        now = self.now
        attempt = self.attempts.pop((event.job, event.attempt), None)
        w = self.workers.get(event.worker)
        if attempt is None or w is None:
            return
        job = attempt.job
        job.live.pop(attempt.number, None)
        self._counted_off(attempt)
        if attempt.started:
            w.running -= job.need
        outcome = event.outcome
        self.stirred = True
        if outcome in (api.TIMEOUT, api.CANCELLED, api.CONNECTION_LOST) and w.usable and not event.worn:
            # It may still run: it keeps its slot for the time it was expected to take.
            self.count += 1
            heappush(self.ghosts, (now + attempt.expected, self.count, w, job.need))
        else:
            w.inflight -= job.need
            w.kind.inflight -= job.need
            self.inflight -= job.need
            w.free += job.need
        if outcome == api.SERVED:
            self._alive(w)
            self._served(attempt, w, event.elapsed)
        elif outcome == api.ERROR:
            self._error(w)
        elif outcome == api.FULL:
            # The cap is learned here: no more of our jobs fit than are there now.
            w.cap = max(1.0, w.inflight)
            w.free = min(w.free, 0.0)
            w.free_at = now
            w.fulls = min(w.fulls + 1, 6)
            w.blocked = max(w.blocked, now + job.run / w.kind.slots * 2.0 ** (w.fulls - 1))
        elif event.worn:
            pass  # that tells of the connection only
        elif outcome == api.NO_CONNECTION:
            self._unreachable(w)
        elif outcome in (api.CONNECTION_LOST, api.TIMEOUT) or (attempt.silent and not attempt.overtaken):
            self._suspect(w)
        if event.report:
            self._report(w, event.report)
        if event.final:
            self._finish(job)
            return
        if outcome not in api.NEVER_RAN and job.ran_at < 0:
            # Once set, this stands: a later attempt that never ran proves nothing of an earlier one.
            job.ran_at, job.ran_zone, job.ran_cell = attempt.sent, w.zone, w.cell
        if not job.done and not job.live:
            job.last = w
            self._again(job)

    def _served(self, attempt: Attempt, w: Worker, elapsed: float) -> None:
        now = self.now
        job = attempt.job
        run = (now - attempt.started if attempt.started else elapsed) * attempt.warm
        cls = job.cls
        ratio = min(20.0, run / max(1.0, job.run))
        cls.observe(run, job.run, job.hinted)
        if job.known:  # against a guess, every worker looks slow
            w.kind.ratio += 0.02 * (ratio - w.kind.ratio)
            w.ratio += (ratio - w.ratio) / min(8.0, w.seen + 1.0)
            w.seen = min(8.0, w.seen + 1.0)
        if w.errors:
            w.errors *= 0.8
        self.errors *= 0.99
        if self.run_quantile <= 0:
            self.run_quantile = run
        self.run_sum += run
        self.square_sum += run * run
        self.residual = self.square_sum / (2.0 * self.run_sum) if self.run_sum > 0 else run
        if self.run_sum > 300.0 * run and self.run_sum > 0:
            self.run_sum *= 0.5
            self.square_sum *= 0.5
        step = 0.02 * max(1.0, self.run_quantile)
        self.run_quantile += step * (X_QUANTILE if run > self.run_quantile else X_QUANTILE - 1.0)
        w.cap = min(w.cap + 0.25, w.kind.slots + 2.0) if w.cap < w.kind.slots + 2.0 else w.cap

    def _error(self, w: Worker) -> None:
        w.errors = w.errors * 0.5 ** ((self.now - w.errors_at) / 4000.0)
        w.errors += 0.4 * (1.0 - w.errors)
        w.errors_at = self.now
        self.errors += 0.01 * (1.0 - self.errors)

    def _again(self, job: Job) -> None:
        """An attempt came to nothing: try again where the class allows, else answer."""
        now = self.now
        out_of_tries = job.tries >= min(job.most, self.settings.max_attempts)
        if self._spent(job) or out_of_tries or job.deadline - now < job.run * 0.5:
            self._give_up(job, "it may have run, and may not run again" if self._spent(job) else
                          "out of tries" if out_of_tries else "no time for another try")
        elif now >= job.due:
            self._overdue(job)
        else:
            self._hold(job)

    def _spent(self, job: Job) -> bool:
        """Whether it may have run, and may not run again."""
        spec = job.spec
        return job.ran_at >= 0 and (spec.effect == api.UNSAFE or (
            spec.effect == api.KEYED and self.now - job.ran_at > spec.window * 0.9))

    def _give_up(self, job: Job, why: str) -> None:
        """The final answer for a job without attempts out: a refusal where the rules allow one."""
        spec = job.spec
        may_refuse = job.ran_at < 0 or spec.effect == api.SAFE or (
            spec.effect == api.KEYED and spec.group == "all")
        if may_refuse and not job.live:
            self._refuse(job, why)
        else:
            self._finish(job)
            self.out.append(api.Fail(job.id, why))

    def _refuse(self, job: Job, why: str) -> None:
        self._finish(job)
        self.out.append(api.Refuse(job.id, self.settings.max_retry_after, why))

    def _finish(self, job: Job) -> None:
        if not job.done:
            job.done = True
            self.jobs.pop(job.id, None)
            if job.held:
                selector = self.by_kind[job.spec.kind]
                if job.seq:
                    i = bisect_left(selector.queue, (job.due, job.seq))
                    if i < len(selector.queue) and selector.queue[i][2] is job:
                        del selector.queue[i]
                job.held = False

    def _client_left(self, event: api.ClientLeft) -> None:
        job = self.jobs.get(event.job)
        if job is not None:
            self._finish(job)

    def _answer_due(self) -> None:
        """Final answers have their own clock: nothing depends on an outcome arriving."""
        now = self.now
        while self.ends and self.ends[0][0] <= now:
            job = heappop(self.ends)[2]
            if not job.done:
                if job.live:
                    self._finish(job)
                    self.out.append(api.Fail(job.id, "its time is up, with an attempt out"))
                else:
                    self._give_up(job, "its time is up")

    def _arm_end(self) -> None:
        ends = self.ends
        while ends and ends[0][2].done:
            heappop(ends)
        if ends and (self.end_armed <= self.now or ends[0][0] < self.end_armed):
            self.end_armed = ends[0][0]
            self.out.append(api.SetTimer(END_TIMER, max(0.0, self.end_armed - self.now)))

    def _expire_ghosts(self) -> None:
        while self.ghosts and self.ghosts[0][0] <= self.now:
            _, _, w, need = heappop(self.ghosts)
            w.inflight -= need
            w.kind.inflight -= need
            self.inflight -= need
            self.stirred = True

    def _sweep(self) -> None:
        """Look over the attempts that are out: lost ones are called back, slow workers marked."""
        now = self.now
        s = self.settings
        for attempt in self.attempts.values():
            job = attempt.job
            w = attempt.worker
            if s.may_cancel and not attempt.silent and self._is_silent(attempt, now):
                attempt.silent = True
                self.out.append(api.Cancel(job.id, attempt.number))
            if attempt.started and job.known:
                run = now - attempt.started
                if run > 3.0 * attempt.expected and run / job.run > w.slow:
                    w.slow = min(20.0, run / job.run)
                    w.slow_at = now

    def _is_silent(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt is past the time at which its worker should have said something of it."""
        s = self.settings
        w = attempt.worker
        if attempt.started:
            return 0.0 < s.progress_every * NO_WORD < now - attempt.heard
        if not s.tells_start:
            return False
        if attempt.overtaken:
            if now - attempt.overtaken <= OVERTAKEN:
                return False
            self.wary = now + WARY
            return True
        waited = now - max(attempt.sent, w.waiting_since)
        return now < self.wary and w.running <= 0.0 and waited > max(STUCK, 2.0 * self.run_quantile)

    def _timer(self, event: api.TimerFired) -> None:
        token = event.token
        if token == TICKER:
            self.ticking = False
            self._sweep()
        elif token == HELD_TIMER:
            self.held_armed = False
            self.stirred = True
            if self.settings.may_probe:
                for selector in self.selectors:
                    if selector.queue:
                        self._probe_some(selector.kind)
        elif token == WATCH_TIMER:
            self.out.append(api.WatchList(True))
