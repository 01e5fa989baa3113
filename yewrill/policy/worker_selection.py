"""Which worker, if any, gets a request now: the earliest expected finish among a few with free slots.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.policy import interface as api
from yewrill.policy.admission import Admission
from yewrill.policy.fleet import ANY_KIND, Fleet
from yewrill.policy.interface import DelayReason
from yewrill.policy.requests import PendingRequest
from yewrill.policy.worker_estimate import WorkerEstimate

SAMPLE_SIZE = 8  # workers drawn at random for each choice, where there are more
# The part of the tightest time constraint that a request may queue at a worker.
QUEUE_FRACTION = 0.3
# What a request's key costs at a worker that is not thought to have it, in run times.
KEY_SETUP_RUN_TIMES = 0.8
ERROR_COST_RUN_TIMES = 8.0
MIN_ERROR_RATE = 0.05  # lower ones cost nothing
# A worker back from operators' hands gets a request by then, even one that will be late.
REATTACHED_WAIT_MS = 1500.0
# And another one after this time without a sign of life.
REATTACHED_RETRY_MS = 500.0
REATTACHED_BONUS_MS = 1e9  # one that warms up would wait for its turn until the others are full
# Multiples of it, less their whole parts, fill the range to 1 evenly.
GOLDEN_RATIO = 0.6180339887
NO_FINISH = 1e18
# Members under module names: each access through the class costs a function call in Python 3.11.
_NO_WORKER, _NO_FREE_SLOT, _SLOW_START = DelayReason


@dataclass(slots=True)
class SearchTerms:
    """What holds for all workers in one choice."""

    slots_needed: float
    max_wait: float  # at a worker without a free slot
    homes: list[WorkerEstimate]  # of the request's key
    closed_zones: set[int]


class WorkerSelection:
    """Chooses workers; `candidate_count` tells how many the last choice looked at."""

    def __init__(self, fleet: Fleet, admission: Admission):
        self.fleet = fleet
        self.estimate = fleet.estimate
        self.admission = admission
        self.candidate_count = 0

    def worker_for(self, request: PendingRequest, slots_needed: float) -> WorkerEstimate | None:
        """The best worker thought to have so many free slots, if there is one.

        Sets the request's expected wait there, or else the reason of its delay."""
        fleet = self.fleet
        kind = request.spec.kind
        slack = max(1.0, request.latest_start - request.arrived_at)
        used_slack = 1.0 - (request.latest_start - self.estimate.now) / slack
        closed_zones = self._closed_zones(request)
        own_zone = self.estimate.settings.zone
        far = fleet.far[kind]
        crosses_zones = not fleet.near[kind] or own_zone in closed_zones
        if far and not crosses_zones:
            crosses_zones = self._crossing_pays(request.spec, used_slack)
        candidates = [
            worker
            for worker in fleet.reattached
            if kind in (ANY_KIND, worker.kind_index) and (crosses_zones or worker.zone == own_zone)
        ]
        candidates += self._sample(fleet.subset[kind])
        candidates += self._sample(far) if crosses_zones else []
        homes = fleet.homes_of(request.key, kind) if request.key else []
        if homes:  # a fetch costs more than another zone
            candidates = list(dict.fromkeys(candidates + homes))
        if closed_zones and self._all_closed(kind, closed_zones):
            closed_zones.clear()  # there is nowhere else
        max_wait = self._max_wait(request, used_slack)
        terms = SearchTerms(slots_needed, max_wait, homes, closed_zones)
        best = self._best(request, candidates, terms)
        if best is None and fleet.rest[kind]:  # ours have no free slots: whoever has
            best = self._best(request, self._sample(fleet.rest[kind]), terms)
        return best

    def _closed_zones(self, request: PendingRequest) -> set[int]:
        """The zones that the fleet's plan closes to this request."""
        weights = self.fleet.zone_weights
        if not weights:
            return set()
        position = request.sequence * GOLDEN_RATIO % 1.0
        return {zone for zone, weight in weights.items() if position >= weight}

    def _all_closed(self, kind: int, closed_zones: set[int]) -> bool:
        sides = (self.fleet.near, self.fleet.far)
        return all(worker.zone in closed_zones for side in sides for worker in side[kind])

    def _crossing_pays(self, spec: api.RequestClass, used_slack: float) -> bool:
        """Crossing zones costs a fee; it pays once so much of the slack is used up."""
        settings = self.estimate.settings
        classes = settings.classes
        gain = spec.priority_weight * (1.0 - spec.late_weight_fraction)
        fee = (
            settings.fees.get("cross_zone", 0.0)
            * sum(other.priority_weight for other in classes)
            / len(classes)
        )
        return fee >= 0 and used_slack >= min(0.8, fee / max(gain, 1e-9))

    def _max_wait(self, request: PendingRequest, used_slack: float) -> float:
        """How long the request may be expected to wait at a worker without a free slot.

        What is known of slots is stale, so a request may queue at a worker for part of the tightest time
        constraint. Past half of its slack ever less: what is thought of queues is too little, and a request
        queued here for long would end late after waiting there."""
        if request.over_quota:
            return -1.0
        fraction = QUEUE_FRACTION + request.spec.late_weight_fraction
        fraction *= min(1.0, 2.0 - 2.0 * used_slack)
        error = max(0.0, self.estimate.estimation_error)
        return self.admission.tightest_constraint * fraction - error

    def _sample(self, group: list[WorkerEstimate]) -> list[WorkerEstimate]:
        if len(group) <= SAMPLE_SIZE:
            return group
        return self.estimate.rng.choices(group, k=SAMPLE_SIZE)

    def _best(
        self, request: PendingRequest, candidates: list[WorkerEstimate], terms: SearchTerms
    ) -> WorkerEstimate | None:
        best = None
        best_finish = NO_FINISH
        reason = _NO_WORKER
        run_time, homes = request.expected_run_time, terms.homes
        without_load_reports = self.estimate.without_load_reports
        self.candidate_count = len(candidates)
        for worker in self._eligible(request, candidates, terms.closed_zones):
            spare = worker.estimated_free_slots() - terms.slots_needed
            if without_load_reports and worker.inflight_slots <= 0.0:
                # Nothing of ours is there: no worker is better, however wide the request.
                spare = max(spare, 0.0)
            wait = worker.expected_wait(spare)
            if spare < 0 and wait > terms.max_wait:
                reason = _NO_FREE_SLOT
                continue
            factor = worker.run_time_factor()
            if worker.slow_start.started_at >= 0:
                progress = worker.warm_up_progress()
                work = request.slow_start_work()
                if progress < 1.0 and not worker.has_slow_start_budget(work, progress):
                    reason = _SLOW_START
                    continue
                factor /= progress
            finish = wait + run_time * factor
            if homes or worker.error_rate > MIN_ERROR_RATE or worker.reattached_at >= 0:
                finish = self._with_costs(request, worker, homes, finish)
            if finish < best_finish:
                best, best_finish, request.expected_wait = worker, finish, wait
        if best is None:
            request.delay_reason = reason.value
        return best

    def _eligible(
        self,
        request: PendingRequest,
        candidates: list[WorkerEstimate],
        closed_zones: set[int],
    ) -> list[WorkerEstimate]:
        """The candidates that may get the request at all, free slots aside."""
        now = self.estimate.now
        excluded = request.last_failed_worker if len(candidates) > 1 else None
        eligible = [
            worker
            for worker in candidates
            if worker.usable
            and worker.ejection.until <= now
            and worker is not excluded
            and worker.zone not in closed_zones
        ]
        if request.ran_at is None:
            return eligible
        return [worker for worker in eligible if request.may_repeat_at(worker, now)]

    def _with_costs(
        self,
        request: PendingRequest,
        worker: WorkerEstimate,
        homes: list[WorkerEstimate],
        finish: float,
    ) -> float:
        """The expected finish, later for a missing key or errors, and sooner for a worker put back."""
        now, run_time = self.estimate.now, request.expected_run_time
        if homes and worker is not homes[0] and request.key not in worker.recent_keys:
            finish += KEY_SETUP_RUN_TIMES * (self.estimate.run_time_quantile or run_time)
        if worker.error_rate > MIN_ERROR_RATE:
            finish += worker.excess_error_rate() * run_time * ERROR_COST_RUN_TIMES
        if (
            worker.reattached_at >= 0
            and (
                worker.last_sent_at < worker.reattached_at
                or now - worker.last_sent_at > REATTACHED_RETRY_MS
            )
            and (
                now - worker.reattached_at > REATTACHED_WAIT_MS
                or now + finish < request.objective_at
            )
        ):
            finish -= REATTACHED_BONUS_MS
        return finish
