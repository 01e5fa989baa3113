"""Admission control: priority levels, guaranteed rates and time constraints of the request classes.

Equation numbers and symbols are those of Andersson, Nyberg and Kihl (ITCom 2003): classes are ordered by
their time constraints T_1, T_2, ...; lambda_k is the guaranteed rate of class k, and N(T) the number of
waiting requests whose latest start is within the time T from now. Times are milliseconds, rates requests per
millisecond.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import deque

from yewrill.policy import interface as api
from yewrill.policy.admission_report import (
    AdmissionReport,
    ClassReport,
    ConstraintTest,
    LevelChange,
)
from yewrill.policy.call_gapping import TenantState
from yewrill.policy.controller import Controller
from yewrill.policy.fleet_estimate import FleetEstimate
from yewrill.policy.interface import RejectionReason
from yewrill.policy.requests import ClassState, PendingRequest

# The largest fraction of the slots that the guaranteed rates together take by eq. (1).
MAX_GUARANTEED_LOAD = 0.95
QUOTA_LEARNING_MS = 30000.0  # time constant for learning this dispatcher's part of a tenant's quota
# The largest load, as a fraction of the slots, that the guaranteed rates (lambda_k) may represent in the
# controller's tests.
MAX_EXPECTED_LOAD = 0.8
# With a smaller fraction of the slots idle, the fleet may be close to overload.
MIN_IDLE_FRACTION = 0.2
# Lower bound of the time constraint of a class, as a fraction of its latency objective.
MIN_CONSTRAINT_FRACTION = 0.25
NEVER = -1.0
MAX_LEVEL_CHANGES = 64  # number of level changes that are buffered until they are logged


class Admission:
    """Request classes and tenants of the settings, and the gate in front of the selector."""

    def __init__(self, settings: api.Settings, rng: random.Random, fleet: FleetEstimate):
        self.fleet = fleet
        self.classes: list[ClassState] = []
        self.tenants: list[TenantState] = []
        self.controller = Controller(rng)
        # The classes in ascending order of time constraint.
        self.by_constraint: list[ClassState] = []
        self.refreshed_at = NEVER
        self._changes_seen = 0
        # Level changes that are not yet logged.
        self.level_changes: deque[LevelChange] = deque(maxlen=MAX_LEVEL_CHANGES)
        self.reconfigure(settings, 0.0)
        self.refreshed_at = NEVER

    def reconfigure(self, settings: api.Settings, now: float) -> None:
        """Applies changed settings; classes and tenants whose names remain keep their estimates."""
        self.settings = settings
        known_classes = {state.spec.name: state for state in self.classes}
        known_tenants = {tenant.spec.name: tenant for tenant in self.tenants}
        self.classes, self.tenants = [], []
        for index, spec in enumerate(settings.classes):
            state = known_classes.get(spec.name) or ClassState(spec, index)
            state.spec, state.index = spec, index
            self.classes.append(state)
        for spec in settings.tenants or [api.Tenant("")]:
            tenant = known_tenants.get(spec.name) or TenantState()
            tenant.reconfigure(spec, self.classes, settings.dispatchers)
            self.tenants.append(tenant)
        self.refresh(now)

    @property
    def tightest_constraint(self) -> float:
        """The shortest time constraint of all classes (T_1)."""
        return self.by_constraint[0].time_constraint

    @property
    def overloaded(self) -> bool:
        """Whether the load level is above normal or priority levels are still gapped."""
        return bool(self.controller.level) or self.controller.gapped_levels > 0

    def admit(self, request: PendingRequest, now: float) -> RejectionReason | None:
        """Charges a new request to its tenant's quota and call gap; returns why it is rejected, or None."""
        known = request.tenant < len(self.tenants)
        tenant = self.tenants[request.tenant] if known else self.tenants[0]
        state = request.class_state
        state.arrivals += 1
        tenant.arrivals += 1
        request.over_quota = tenant.over_quota(now)
        priority_level = 0 if request.over_quota else state.priority_level
        gapped_levels = self.controller.gapped_levels
        if priority_level >= gapped_levels:
            return None
        if request.over_quota:
            return RejectionReason.OVER_QUOTA
        if tenant.gaps[state].admits(now):
            return None
        return RejectionReason.GAPPED

    def run_controller(self, queues: list[list], now: float) -> None:
        """Runs the controller's tests when a request arrives or leaves a queue.

        `queues` holds the requests queued at this dispatcher and those that wait at workers, each list sorted
        by latest start. A request whose start was reported is in none of them."""
        constraints = [state.time_constraint for state in self.by_constraint]
        counts = [0] * len(constraints)
        between = [[0] * len(constraints) for _ in constraints]
        for queue in queues:
            for i, t_i in enumerate(constraints):
                # This queue's part of N(T_i), the number of requests whose latest start is within T_i.
                n = bisect_left(queue, (now + t_i,))
                counts[i] += n
                for k in range(i):
                    between[i][k] += n - bisect_left(queue, (now + t_i - constraints[k],))
        drain_time = self.fleet.drain_time()
        rates = self._expected_rates(drain_time)
        found = Controller.detect(constraints, rates, counts, between, drain_time)
        controller = self.controller
        controller.record_test(found, now)
        if controller.changes != self._changes_seen:
            self._note_level_change(counts, drain_time)

    def _expected_rates(self, drain_time: float) -> list[float]:
        """Returns the rates (lambda_k) for the controller's tests, in ascending order of time constraint.

        The guaranteed rates were bounded by the drain time at the last refresh, which is out of date, or was
        unknown if no run time had been measured. Therefore, while enough slots are idle, the rates are
        bounded again by the present drain time."""
        rates = [state.guaranteed_rate for state in self.by_constraint]
        load = sum(rates) * drain_time
        if (
            load <= MAX_EXPECTED_LOAD
            or self.fleet.idle_slots() < MIN_IDLE_FRACTION * self.fleet.available_slots()
        ):
            return rates
        return [rate * MAX_EXPECTED_LOAD / load for rate in rates]

    def _note_level_change(self, counts: list[int], drain_time: float) -> None:
        controller = self.controller
        self._changes_seen = controller.changes
        change = LevelChange(
            controller.level,
            controller.gapped_levels,
            drain_time,
            self.fleet.run_time_quantile,
            self.fleet.available_slots(),
            [
                ConstraintTest(state.spec.name, state.time_constraint, state.mean_run_time, count)
                for state, count in zip(self.by_constraint, counts, strict=True)
            ],
        )
        self.level_changes.append(change)

    def report(self) -> AdmissionReport:
        """Returns the present estimates and state of the gate, for operators."""
        return AdmissionReport(
            self.controller.level,
            self.controller.gapped_levels,
            self.controller.changes,
            self.fleet.drain_time(),
            self.fleet.available_slots(),
            self.fleet.idle_slots(),
            [
                ClassReport(
                    state.spec.name,
                    state.mean_run_time,
                    state.time_constraint,
                    dict(state.not_served),
                )
                for state in self.classes
            ],
        )

    def refresh(self, now: float) -> None:
        """Recomputes time constraints, priority levels, quotas and guaranteed rates."""
        period = now - self.refreshed_at if self.refreshed_at >= 0 else 0.0
        self.refreshed_at = now
        for state in self.classes:
            self._refresh_class(state)
        means = [state.mean_run_time for state in self.classes if state.run_times_seen]
        if means:
            self.fleet.bound_run_time_quantile(max(means))
        self.by_constraint = sorted(self.classes, key=lambda c: (c.time_constraint, c.index))
        self.controller.x = self.tightest_constraint
        # Priority level 0, the lowest, is traffic above the quotas; the classes follow in order of utility.
        ranked = sorted(self.classes, key=lambda c: (c.utility, -c.index))
        for position, state in enumerate(ranked):
            state.priority_level = position + 1
        self.controller.priority_levels = len(ranked) + 1
        if period <= 0:
            return
        weight = min(1.0, period / QUOTA_LEARNING_MS)
        for tenant in self.tenants:
            tenant.learn_quota(period, weight, self.settings.dispatchers)
        self._guarantee_rates(ranked)
        self._bound_rates()

    def _refresh_class(self, state: ClassState) -> None:
        spec, mean = state.spec, state.mean_run_time
        objective = spec.latency_objective + spec.objective_run_factor * mean
        # With run times as long as the latency objective, requests are late at any load. Without a lower
        # bound the time constraint would be about 0, and the controller's tests would take this for overload.
        least = MIN_CONSTRAINT_FRACTION * spec.latency_objective
        state.time_constraint = max(1.0, least, min(objective, spec.deadline) - mean)
        state.client_timeout.refresh(spec.deadline)
        # Utility by eq. (2): weight per unit of run time. A weight per unit of work already includes the run
        # time.
        weight = spec.priority_weight
        state.utility = weight if self.settings.weight_by_work else weight / mean

    def _guarantee_rates(self, ranked: list[ClassState]) -> None:
        """Sets the guaranteed rates by eq. (1), in order of utility until all slots are assigned."""
        slots = self.fleet.available_slots() * MAX_GUARANTEED_LOAD
        total = 0
        for state in self.classes:
            total += state.arrivals
        mix = [
            state.arrivals / total if total else 1.0 / len(self.classes) for state in self.classes
        ]
        # Many dispatchers that gap at the same time reject more than is needed. So the least fraction of its
        # rate that a class keeps grows with the number of dispatchers.
        min_scale = min(0.35, 0.1 + 0.00125 * self.settings.dispatchers)
        quota = sum(tenant.quota for tenant in self.tenants)
        for state in reversed(ranked):
            mean = state.mean_run_time
            rate = quota * mix[state.index] if quota > 0 else slots / mean
            work = rate * mean
            scale = 1.0 if work <= 0 else max(min_scale, min(1.0, slots / work))
            slots = max(0.0, slots - work * scale)
            for tenant in self.tenants:
                part = tenant.quota / quota if quota > 0 else 1.0 / len(self.tenants)
                tenant.gaps[state].rate = rate * scale * part
            state.guaranteed_rate = rate * scale

    def _bound_rates(self) -> None:
        """Bounds the guaranteed rates that the controller's tests expect by the capacity of the slots."""
        # Before any run time is known, the drain time follows from the initial estimates.
        longest = max(state.mean_run_time for state in self.classes)
        drain_time = self.fleet.drain_time() or longest / self.fleet.available_slots()
        load = sum(state.guaranteed_rate for state in self.classes) * drain_time
        for state in self.classes:
            state.guaranteed_rate *= min(1.0, MAX_EXPECTED_LOAD / max(load, 1e-9))
            state.arrivals *= 0.5
