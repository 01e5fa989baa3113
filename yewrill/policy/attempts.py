"""Outstanding attempts: starts, progress, outcomes, and detection of attempts lost without notice.

Times are milliseconds.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heappop, heappush

from yewrill.policy import interface as api
from yewrill.policy.fleet import Fleet
from yewrill.policy.interface import PolicyOutcome
from yewrill.policy.requests import Attempt, PendingRequest
from yewrill.policy.worker_estimate import WorkerEstimate

# Attempts sent within this time of each other may reach a worker in a different order.
REORDERING_MS = 20.0
# An unstarted attempt is presumed lost if a later attempt at the same FIFO worker started this long ago.
OVERTAKEN_MS = 25.0
# A worker is stalled if it runs none of this dispatcher's requests and has started no waiting one for this
# time.
STALLED_WORKER_MS = 600.0
# For this time after an attempt was certainly lost (overtaken by a later one), unstarted attempts at stalled
# workers count as lost too.
SILENT_LOSSES_MS = 10000.0
# A running request without a progress report for more than this many intervals is presumed lost.
MAX_PROGRESS_INTERVALS = 1.5
# Upper bound of the ratio of a measured to an expected run time, which limits the effect of an outlier.
MAX_RUN_TIME_RATIO = 20.0
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_SERVED = PolicyOutcome.SERVED
_ERROR = PolicyOutcome.ERROR
_REJECTED = PolicyOutcome.REJECTED
_TIMEOUT = PolicyOutcome.TIMEOUT
_NO_CONNECTION = PolicyOutcome.NO_CONNECTION
_CONNECTION_LOST = PolicyOutcome.CONNECTION_LOST
_CANCELLED = PolicyOutcome.CANCELLED
MAY_STILL_RUN = frozenset({_TIMEOUT, _CANCELLED, _CONNECTION_LOST})


class Attempts:
    """Attempts by request and number, and the worker slots that they hold."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.estimate = fleet.estimate
        self.outstanding: dict[tuple[str, int], Attempt] = {}
        # Heap of attempts, ordered by the time at which they will have reached their worker.
        self.in_transit: list[tuple[float, int, Attempt]] = []
        # Latest starts of the attempts that wait at a worker, in ascending order.
        self.waiting: list[tuple[float, int]] = []
        # Heap of attempts that ended without an answer, ordered by the time until which they may still hold
        # slots.
        self.lost: list[tuple[float, int, Attempt]] = []
        self._sequence = 0

    def send(self, request: PendingRequest, worker: WorkerEstimate) -> None:
        """Records a new attempt of a request at a worker."""
        now = self.estimate.now
        self._sequence += 1
        attempt = Attempt(
            request,
            request.attempt_count,
            worker,
            now,
            request.expected_run_time * worker.run_time_factor(),
            self._sequence,
            now,
        )
        arrives_at = now + self.estimate.zone_delay(worker.zone)
        heappush(self.in_transit, (arrives_at, self._sequence, attempt))
        request.live_attempts[request.attempt_count] = attempt
        self.outstanding[(request.id, request.attempt_count)] = attempt
        request.attempt_count += 1
        if not worker.unstarted:
            worker.waiting_since = now
        worker.unstarted.append(attempt)
        self.update_in_transit()
        self.fleet.hold_slots(worker, request.slots_needed)
        worker.free_slots -= request.slots_needed
        worker.last_sent_at = now
        if request.key:
            worker.record_key(request.key)
        if worker.warming_up:
            worker.slow_start.credit -= request.slow_start_work()
            attempt.warm_up_progress = worker.warm_up_progress()

    def update_in_transit(self) -> None:
        """Moves the unstarted attempts that have reached their workers by now to the waiting ones."""
        while self.in_transit and self.in_transit[0][0] <= self.estimate.now:
            attempt = heappop(self.in_transit)[2]
            if attempt in attempt.worker.unstarted:
                attempt.waiting_at_worker = True
                insort(self.waiting, (attempt.request.latest_start, attempt.sequence))
                self.estimate.unstarted_slots += attempt.request.slots_needed

    def record_start(self, event: api.AttemptStarted | api.AttemptProgress) -> None:
        """Records that a worker has started to run an attempt."""
        attempt = self.outstanding.get((event.request_id, event.attempt))
        if attempt is None or attempt.started_at:
            return
        estimate, worker = self.estimate, attempt.worker
        now = estimate.now
        attempt.started_at = attempt.last_signal_at = now
        estimate.record_start(worker.zone, now - attempt.sent_at, attempt.request.expected_wait)
        if estimate.settings.fifo:
            for earlier in worker.unstarted:
                if earlier.sent_at > attempt.sent_at - REORDERING_MS:
                    break
                earlier.overtaken_at = earlier.overtaken_at or now
        self._remove_unstarted(attempt)
        worker.running_slots += attempt.request.slots_needed
        kind = worker.kind
        if estimate.without_load_reports and worker.running_slots > kind.slots:
            # A worker that runs more attempts than its estimated slots has at least as many slots.
            kind.slots += 0.3 * (worker.running_slots - kind.slots)
        self.fleet.mark_alive(worker)

    def record_progress(self, event: api.AttemptProgress) -> None:
        """Records a progress report, which also shows that the attempt has started."""
        attempt = self.outstanding.get((event.request_id, event.attempt))
        if attempt is not None:
            attempt.last_signal_at = self.estimate.now
            self.record_start(event)

    def _remove_unstarted(self, attempt: Attempt) -> None:
        worker = attempt.worker
        worker.unstarted.remove(attempt)
        worker.waiting_since = self.estimate.now
        if attempt.waiting_at_worker:
            attempt.waiting_at_worker = False
            self.estimate.unstarted_slots -= attempt.request.slots_needed
            position = bisect_left(self.waiting, (attempt.request.latest_start, attempt.sequence))
            del self.waiting[position]

    def record_end(self, event: api.AttemptEnded) -> Attempt | None:
        """Records the end of an attempt and updates the estimates; returns None for an unknown attempt."""
        attempt = self.outstanding.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return None
        request, worker = attempt.request, attempt.worker
        request.live_attempts.pop(attempt.number, None)
        if attempt.started_at:
            worker.running_slots -= request.slots_needed
        else:
            self._remove_unstarted(attempt)
        self._release_or_keep_slots(attempt, event)
        self._learn(attempt, event)
        if event.report:
            worker.apply_report(event.report)
        if event.earlier_attempt_age >= 0:
            sent_at = self.estimate.now - event.earlier_attempt_age
            request.record_run(sent_at, event.earlier_attempt_zone, event.earlier_attempt_cell)
        if event.outcome not in api.NEVER_RAN and request.ran_at is None:
            # `ran_at` is never reset: a later attempt that never ran does not show that an earlier one did
            # not run.
            # The connection may have come up long after the choice.
            sent_at = self.estimate.now - event.elapsed if event.elapsed else attempt.sent_at
            request.record_run(max(attempt.sent_at, sent_at), worker.zone, worker.cell)
        return attempt

    def _release_or_keep_slots(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        worker = attempt.worker
        if event.outcome in MAY_STILL_RUN and worker.usable and not event.stale_connection:
            # The attempt may still run, so it holds its slots for its expected run time.
            self._sequence += 1
            until = self.estimate.now + attempt.expected_run_time
            heappush(self.lost, (until, self._sequence, attempt))
        else:
            self.fleet.hold_slots(worker, -attempt.request.slots_needed)
            worker.free_slots += attempt.request.slots_needed

    def _learn(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Updates the estimates of the worker, the class and the fleet from the outcome."""
        worker, outcome = attempt.worker, event.outcome
        if outcome == _SERVED:
            self._learn_run_time(attempt, event.elapsed)
        elif outcome == _ERROR:
            worker.record_error()
        elif outcome == _REJECTED:
            worker.record_rejection(attempt.request.expected_run_time)
        elif event.stale_connection:
            pass  # the loss of a stale connection says nothing about the worker
        elif outcome == _NO_CONNECTION:
            worker.record_loss(refused=True)
        elif outcome in (_CONNECTION_LOST, _TIMEOUT) or (
            attempt.presumed_lost and not attempt.overtaken_at
        ):
            worker.record_loss()

    def _learn_run_time(self, attempt: Attempt, elapsed: float) -> None:
        request, worker = attempt.request, attempt.worker
        self.fleet.mark_alive(worker)
        if attempt.started_at:
            elapsed = self.estimate.now - attempt.started_at
        run_time = elapsed * attempt.warm_up_progress
        request.class_state.record_run_time(
            run_time, request.work_hint, self.estimate.now, request.trial
        )
        ratio = min(MAX_RUN_TIME_RATIO, run_time / max(1.0, request.expected_run_time))
        worker.record_run_time(ratio, request.run_time_known)
        self.estimate.record_run_time(run_time)

    def release_lost_slots(self) -> bool:
        """Releases the slots of lost attempts whose expected run time is over; returns whether any exist."""
        before = len(self.lost)
        while self.lost and self.lost[0][0] <= self.estimate.now:
            attempt = heappop(self.lost)[2]
            self.fleet.hold_slots(attempt.worker, -attempt.request.slots_needed)
        return len(self.lost) < before

    def find_silent(self) -> list[Attempt]:
        """Returns the attempts that are newly presumed lost without notice, and marks them as such."""
        found = [
            attempt
            for attempt in self.outstanding.values()
            if not attempt.presumed_lost and self._is_silent(attempt)
        ]
        for attempt in found:
            attempt.presumed_lost = True
        return found

    def _is_silent(self, attempt: Attempt) -> bool:
        """Returns whether the worker should have reported a start or progress of the attempt by now."""
        estimate, worker = self.estimate, attempt.worker
        settings, now = estimate.settings, estimate.now
        if attempt.started_at:
            allowed = settings.progress_interval * MAX_PROGRESS_INTERVALS
            return 0.0 < allowed < now - attempt.last_signal_at
        if not settings.reports_start:
            return False
        if attempt.overtaken_at:
            if now - attempt.overtaken_at <= OVERTAKEN_MS:
                return False
            estimate.silent_losses_until = now + SILENT_LOSSES_MS
            return True
        waited = now - max(attempt.sent_at, worker.waiting_since)
        return (
            now < estimate.silent_losses_until
            and worker.running_slots <= 0.0
            and waited > max(STALLED_WORKER_MS, 2.0 * estimate.run_time_quantile)
        )
