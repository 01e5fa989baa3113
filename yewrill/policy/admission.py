"""Who comes in: the controller's load levels, the gate's call gapping, the rates guaranteed to tenants."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass, field

from yewrill.policy import interface as api
from yewrill.policy.fleet import Fleet
from yewrill.policy.requests import ClassState, PendingRequest

# Settings of the mechanism (the paper's names).
MARGIN_F = 0.9  # f: the right side of (4) and (6) times f signals load level 1
DETECTIONS = 5  # consecutive detections (or passes) before the load level changes
LADDER_X = 200.0  # X before run times are known; then X is T_1, in which a gate's work can be seen
LOAD_BOUND = 0.95  # (1): the guaranteed rates fill at most this part of the slots
GAP_CREDIT = (
    5.0  # intervals a gap may save up; at 1 a random stream loses a third of its guaranteed rate
)
RECOVERY = 2.0  # lifting a rung takes this many X: a gate closed too late costs more than one open too late
# Settings of what the paper leaves open.
SHARE_BURST = 3000.0  # a tenant may run ahead of its share by this much traffic
SHARE_MEMORY = 30000.0  # how slowly this dispatcher's part of a tenant's share is learned


class Controller:
    """Load levels from conditions (4) and (6), and how many rungs of the ladder are gapped."""

    def __init__(self, rng: random.Random):
        self.level = self.gapped = self.passes = 0
        self.over = 0  # consecutive detections of overload
        self.severe = 0  # of these, the latest consecutive ones of severe overload
        self.changed = 0.0
        self.rungs = 1
        self.rng = rng
        self.step = self.x = LADDER_X

    @staticmethod
    def detect(
        limits: list[float], lam: list[float], counts: list[int], between: list[list[int]], x: float
    ) -> int:
        """Test (4) for every k and (6) for every pair i > k; T_k ascending, lam in jobs a millisecond.

        counts[k] is N(T_k), between[i][k] is N(T_i) - N(T_i - T_k). Returns 0, 1 (fails only with f) or 2.
        """
        worst = 0
        for k, t_k in enumerate(limits):
            ahead = sum(lam[j] * (t_k - limits[j]) for j in range(k))
            base = sum(lam[j] * limits[j] for j in range(k))
            load = (counts[k] + ahead) * x  # (4)
            for i in range(k + 1, len(limits)):
                middle = sum(lam[j] * min(t_k, limits[i] - limits[j]) for j in range(k, i))  # (5)
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


@dataclass(slots=True)
class Gap:
    """Call gapping of one tenant's jobs of one class: one job every 1/d, a few intervals may be saved up."""

    rate: float = 0.0  # d, jobs a millisecond at this dispatcher
    next: float = 0.0

    def passes(self, now: float) -> bool:
        if self.rate <= 0.0:
            return False
        interval = 1.0 / self.rate
        start = max(self.next, now - (GAP_CREDIT - 1.0) * interval)
        if start > now:
            return False
        self.next = start + interval
        return True


@dataclass(eq=False)
class TenantState:
    """A tenant's share here: its bucket says which of its traffic is beyond the share."""

    at: float = 0.0
    arrivals: int = 0
    floor: float = -1.0
    gaps: dict[ClassState, Gap] = field(default_factory=dict)

    def reconfigure(self, spec: api.Tenant, classes: list[ClassState], dispatchers: int) -> None:
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


class Admission:
    """Classes and tenants as the settings have them, and the gate between them and the selector."""

    def __init__(self, settings: api.Settings, rng: random.Random, fleet: Fleet):
        self.fleet = fleet
        self.classes: list[ClassState] = []
        self.tenants: list[TenantState] = []
        self.controller = Controller(rng)
        self.order: list[ClassState] = []  # by their time constraints, the tightest first
        self.refreshed = -1.0
        self.reconfigure(settings, 0.0)
        self.refreshed = -1.0

    def reconfigure(self, settings: api.Settings, now: float) -> None:
        """Other settings. Classes and tenants are known by their names and keep what was learned of them."""
        self.settings = settings
        classes = {c.spec.name: c for c in self.classes}
        tenants = {t.spec.name: t for t in self.tenants}
        self.classes, self.tenants = [], []
        for i, spec in enumerate(settings.classes):
            c = classes.get(spec.name) or ClassState(spec, i)
            c.spec, c.index = spec, i
            self.classes.append(c)
        for party in settings.tenants or [api.Tenant("")]:
            t = tenants.get(party.name) or TenantState()
            t.reconfigure(party, self.classes, settings.dispatchers)
            self.tenants.append(t)
        self.refresh(now)

    @property
    def overloaded(self) -> bool:
        """Whether the controller sees overload, or has traffic gapped since it last did."""
        return self.controller.level > 0 or self.controller.gapped > 0

    def admit(self, request: PendingRequest, now: float) -> str:
        """Charge a new job to its class, tenant and gap: the ground on which it is refused, or nothing."""
        tenant = (
            self.tenants[request.tenant] if request.tenant < len(self.tenants) else self.tenants[0]
        )
        request.cls.arrivals += 1
        tenant.arrivals += 1
        request.over = tenant.over_share(now)
        rung = 0 if request.over else request.cls.rung
        gapped = self.controller.gapped
        if rung < gapped and not (not request.over and tenant.gaps[request.cls].passes(now)):
            return "its tenant is over its share" if request.over else f"gap level {gapped}"
        return ""

    def control(self, queues: list[list], now: float) -> None:
        """Run the controller's tests, at an arrival or a departure, on queues sorted by due time: jobs held
        here, and jobs that wait at a worker; one whose start was told has left the queue."""
        limits = [c.limit for c in self.order]
        lam = [c.lam for c in self.order]
        counts = [0] * len(limits)
        between = [[0] * len(limits) for _ in limits]
        for queue in queues:
            for i, t_i in enumerate(limits):
                n = bisect_left(queue, (now + t_i,))  # its part of N(T_i)
                counts[i] += n
                for k in range(i):
                    between[i][k] += n - bisect_left(queue, (now + t_i - limits[k],))
        self.controller.note(
            Controller.detect(limits, lam, counts, between, self.fleet.drain_time()), now
        )

    def refresh(self, now: float) -> None:
        """Work out rates, time constraints, rungs and guaranteed rates anew."""
        span = now - self.refreshed if self.refreshed >= 0 else 0.0
        self.refreshed = now
        total = 0
        for c in self.classes:
            spec = c.spec
            c.limit = max(
                1.0,
                min(spec.latency_objective + spec.objective_run_factor * c.mean, spec.deadline)
                - c.mean,
            )
            c.patience.refresh(spec.deadline)
            # (2); where worth counts by the unit of work, run time is already in the revenue.
            c.utility = (
                spec.priority_weight
                if self.settings.weight_by_work
                else spec.priority_weight / c.mean
            )
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
        slots = self.fleet.slots() * LOAD_BOUND
        mix = [c.arrivals / total if total else 1.0 / len(self.classes) for c in self.classes]
        least = min(
            0.35, 0.1 + 0.00125 * self.settings.dispatchers
        )  # gapping together sheds too much
        quota = sum(t.quota for t in self.tenants)
        for c in reversed(ranked):
            rate = quota * mix[c.index] if quota > 0 else slots / c.mean
            work = rate * c.mean
            scale = 1.0 if work <= 0 else max(least, min(1.0, slots / work))
            slots = max(0.0, slots - work * scale)
            for t in self.tenants:
                part = t.quota / quota if quota > 0 else 1.0 / len(self.tenants)
                t.gaps[c].rate = rate * scale * part
            c.lam = rate * scale
        load = sum(c.lam for c in self.classes) * self.fleet.drain_time()
        for c in self.classes:
            c.lam *= min(1.0, 0.8 / max(load, 1e-9))
            c.arrivals *= 0.5
