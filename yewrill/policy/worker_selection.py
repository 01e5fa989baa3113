"""Worker selection: among a few candidates with free slots, the one with the earliest expected finish.

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

SAMPLE_SIZE = 8  # number of candidates drawn at random from a larger group
# Longest time that a request may be expected to wait at a worker, as a fraction of the tightest time
# constraint.
QUEUE_FRACTION = 0.3
# Cost, in run times, of loading the data for a request's key at a worker that has not cached it.
KEY_SETUP_RUN_TIMES = 0.8
ERROR_COST_RUN_TIMES = 8.0  # cost of an error rate of 1, in run times
MIN_ERROR_RATE = 0.05  # lower error rates cost nothing
# After this time a reattached worker gets a request even if the answer will be late.
REATTACHED_WAIT_MS = 1500.0
# A reattached worker that does not start the first request sent to it gets the next one after this time.
REATTACHED_RETRY_MS = 500.0
# Bonus that selects a reattached worker before all others, as it is larger than any expected finish. Without
# it a worker that warms up would get no request before the others are full.
REATTACHED_BONUS_MS = 1e9
# The fractional parts of the multiples of this number are spread evenly over the range 0 to 1.
GOLDEN_RATIO = 0.6180339887
NO_FINISH = 1e18
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_NO_WORKER, _NO_FREE_SLOT, _SLOW_START = DelayReason


@dataclass(slots=True)
class SearchTerms:
    """Parameters of one selection that are the same for all candidates."""

    slots_needed: float
    max_wait: float  # longest expected wait at a worker without a free slot
    preferred: list[WorkerEstimate]  # preferred workers for the request's key
    closed_zones: set[int]  # zones that the zone plan closes to the request


class WorkerSelection:
    """Selects workers; `candidate_count` is the number of candidates of the last selection."""

    def __init__(self, fleet: Fleet, admission: Admission):
        self.fleet = fleet
        self.estimate = fleet.estimate
        self.admission = admission
        self.candidate_count = 0

    def worker_for(self, request: PendingRequest, slots_needed: float) -> WorkerEstimate | None:
        """Returns the best worker with enough free slots by estimate, or None.

        Sets `expected_wait` of the request if a worker is found, else its `delay_reason`."""
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
        preferred = fleet.preferred_workers(request.key, kind) if request.key else []
        if preferred:  # preferred workers of any zone: a cache miss costs more than crossing zones
            candidates = list(dict.fromkeys(candidates + preferred))
        if closed_zones and self._all_closed(kind, closed_zones):
            closed_zones.clear()  # all workers are in closed zones
        max_wait = self._max_wait(request, used_slack)
        terms = SearchTerms(slots_needed, max_wait, preferred, closed_zones)
        best = self._best(request, candidates, terms)
        if best is None and fleet.rest[kind]:  # workers outside of the subset are the last resort
            best = self._best(request, self._sample(fleet.rest[kind]), terms)
        return best

    def _closed_zones(self, request: PendingRequest) -> set[int]:
        """Returns the zones that the zone plan closes to this request."""
        weights = self.fleet.zone_weights
        if not weights:
            return set()
        position = request.sequence * GOLDEN_RATIO % 1.0
        return {zone for zone, weight in weights.items() if position >= weight}

    def _all_closed(self, kind: int, closed_zones: set[int]) -> bool:
        sides = (self.fleet.near, self.fleet.far)
        return all(worker.zone in closed_zones for side in sides for worker in side[kind])

    def _crossing_pays(self, spec: api.RequestClass, used_slack: float) -> bool:
        """Returns whether enough of the slack is used up to justify the fee for crossing zones."""
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
        """Returns the longest acceptable expected wait at a worker without a free slot.

        Estimates of free slots are out of date, so a request may queue at a worker for a fraction of the
        tightest time constraint. The limit falls once half of the slack is used up: waits at workers are
        underestimated, and a request that has been queued at this dispatcher for long would be late after
        another wait."""
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
        run_time, preferred = request.expected_run_time, terms.preferred
        without_load_reports = self.estimate.without_load_reports
        self.candidate_count = len(candidates)
        for worker in self._eligible(request, candidates, terms.closed_zones):
            spare = worker.estimated_free_slots() - terms.slots_needed
            if without_load_reports and worker.inflight_slots <= 0.0:
                # The worker has none of this dispatcher's requests, so no other worker is better for a wide
                # request.
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
            if preferred or worker.error_rate > MIN_ERROR_RATE or worker.reattached_at >= 0:
                finish = self._with_costs(request, worker, preferred, finish)
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
        """Returns the candidates that may get the request, regardless of free slots."""
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
        preferred: list[WorkerEstimate],
        finish: float,
    ) -> float:
        """Returns the expected finish with costs for an uncached key and errors, and a reattachment bonus."""
        now, run_time = self.estimate.now, request.expected_run_time
        if preferred and worker is not preferred[0] and request.key not in worker.recent_keys:
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
