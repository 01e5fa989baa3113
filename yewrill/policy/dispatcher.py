"""The policy module's entry point: event handling, request queues, retries and final answers."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from yewrill.policy import interface as api
from yewrill.policy.admission import Admission
from yewrill.policy.attempts import Attempts
from yewrill.policy.fleet import Fleet
from yewrill.policy.interface import PolicyOutcome, RejectionReason
from yewrill.policy.requests import PendingRequest
from yewrill.policy.worker_selection import WorkerSelection

# Interval at which worker selection is repeated for queued requests, as a fraction of the shortest time
# constraint of all classes (T_1 in the paper). The minimum prevents a timer storm where very many dispatchers
# queue requests with long time constraints.
RELEASE_INTERVAL = 0.015
MIN_RELEASE_INTERVAL_MS = 10.0
# Interval of the search for attempts that were lost without notice, as a fraction of T_1, the shortest time
# constraint.
SWEEP_INTERVAL = 0.1
MIN_SWEEP_INTERVAL_MS = 30.0
# Interval at which time constraints, priority levels and guaranteed rates are recomputed.
REFRESH_INTERVAL_MS = 1000.0
# Number of requests of a queue for which no worker is found before the rest of the queue is skipped.
MAX_MISSES = 3
# A request is not retried if the time left is less than this multiple of its expected run time.
MIN_RETRY_RUN_TIMES = 0.5
# Base of the pause before the endpoint list is requested again, doubled for each consecutive failed call.
LIST_RETRY_MS = 300.0
MAX_LIST_FAILURES = 5  # number of consecutive failed calls after which the pause no longer grows
MAX_PROBE_CREDIT = 4.0  # number of probes that may be saved up; each request adds one
PROBE_DRAWS = 2  # number of workers drawn at random as candidates for a probe

# Timer tokens.
SWEEP_TIMER, RELEASE_TIMER, LIST_TIMER, DEADLINE_TIMER = 1, 2, 3, 4


class Dispatcher:
    """Policy module of one dispatcher: `handle` takes events and returns the resulting actions."""

    def __init__(self, settings: api.Settings, seed: int):
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.actions: list[api.Action] = []
        self.fleet = Fleet(settings, seed, self.rng)
        self.estimate = self.fleet.estimate
        self.admission = Admission(settings, self.rng, self.estimate)
        self.selection = WorkerSelection(self.fleet, self.admission)
        self.attempts = Attempts(self.fleet)
        # The selector: queued requests by machine kind, ordered by latest start.
        self.queues: dict[int, list[tuple[float, int, PendingRequest]]] = {
            kind: [] for kind in sorted({spec.kind for spec in settings.classes})
        }
        self.requests: dict[str, PendingRequest] = {}
        # Heap of the requests, ordered by the time at which their final answer is due. A request is there
        # twice if it waits for a worker of the group that detects its repeats.
        self.deadlines: list[tuple[float, int, PendingRequest]] = []
        self.probe_credit = 1.0
        self.release_needed = False
        self._sequence = 0
        self._sweep_timer_set = self._release_timer_set = False
        self._deadline_timer_at = -1.0
        self._list_failures = 0
        self._handlers: dict[type, Callable[[Any], object]] = {
            api.RequestArrived: self._on_request_arrived,
            api.AttemptStarted: self.attempts.record_start,
            api.AttemptProgress: self.attempts.record_progress,
            api.AttemptEnded: self._on_attempt_ended,
            api.AnswerStarted: self._on_no_answer_due,
            api.ProbeEnded: self._on_probe_ended,
            api.ClientLeft: self._on_no_answer_due,
            api.TimerFired: self._on_timer,
            api.WorkerList: self._on_worker_list,
            api.WorkerReattached: self._on_worker_reattached,
            api.SettingsChanged: self._on_settings_changed,
            api.ZoneTrafficWeights: self._on_zone_weights,
        }

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Processes the events that occurred at `now`, in order, and returns the actions to carry out."""
        self.now = self.estimate.now = now
        self.actions = []
        refreshed_at = self.admission.refreshed_at
        if refreshed_at < 0 or now - refreshed_at >= REFRESH_INTERVAL_MS:
            self.admission.refresh(now)
        self.estimate.update_free_slots()
        self.attempts.update_in_transit()
        for event in events:
            self._handlers[type(event)](event)
        self.release_needed |= self.attempts.release_lost_slots()
        self._answer_overdue()
        if self.release_needed:
            self._release()
        self._set_deadline_timer()
        self._set_sweep_timer()
        return self.actions

    def ejected(self, now: float) -> set[str]:
        """Returns the listed workers that get no requests at present: draining ones and ejected ones."""
        return {
            worker.name
            for worker in self.fleet.workers.values()
            if worker.listed
            and (not worker.usable or (worker.ejection.failures and worker.ejection.until > now))
        }

    def _on_settings_changed(self, event: api.SettingsChanged) -> None:
        self.settings = settings = event.settings
        self.estimate.reconfigure(settings)
        for spec in settings.classes:
            self.queues.setdefault(spec.kind, [])
        self.admission.reconfigure(settings, self.now)
        self.fleet.regroup()
        self.release_needed = True

    # -- arrivals and the endpoint list

    def _on_request_arrived(self, event: api.RequestArrived) -> None:
        now = self.now
        request = self._open(event)
        if request.must_not_repeat(now):
            self._finish(request)
            reason = RejectionReason.RAN_BEFORE_RESTART
            self._answer_unserved(request, reason, failed=True)
            return
        self._run_controller()
        if request.presumed_retry and not self.admission.overloaded:
            request.treat_as_first_try()
        trials = request.class_state.trials(request.hinted)
        if now < request.latest_start:
            trials.admitted()
        elif request.late_by_estimate(now) and trials.may_begin(now):
            request.begin_trial()
        else:
            # A retry that is already too late is not charged to its tenant's quota or gap: otherwise a retry
            # storm would have the tenant's first tries rejected, which causes further retries.
            self._give_up(request, RejectionReason.TOO_LATE)
            return
        # Each request adds the credit for one probe at most.
        self.probe_credit = min(MAX_PROBE_CREDIT, self.probe_credit + 1.0)
        reason = self.admission.admit(request, now)
        if reason:
            self._give_up(request, reason)
            return
        self._enqueue(request)
        if self.settings.may_probe:
            self._probe_ejected(request.spec.kind)

    def _open(self, event: api.RequestArrived) -> PendingRequest:
        state = self.admission.classes[event.request_class]
        run_time = (
            event.work_hint * state.hint_ratio if event.work_hint > 0 else state.mean_run_time
        )
        request = PendingRequest(event, state, self.now, run_time, self.settings)
        self.requests[request.id] = request
        self._answer_by(request, request.answer_by)
        return request

    def _answer_by(self, request: PendingRequest, time: float) -> None:
        self._sequence += 1
        heappush(self.deadlines, (time, self._sequence, request))

    def _run_controller(self) -> None:
        queues = (*self.queues.values(), self.attempts.waiting)
        self.admission.run_controller([queue for queue in queues if queue], self.now)

    def _on_worker_list(self, event: api.WorkerList) -> None:
        if event.form == api.ListForm.FAILED:
            # Discovery is unreachable or overloaded; the random pause keeps dispatchers from retrying
            # together.
            self._list_failures = min(self._list_failures + 1, MAX_LIST_FAILURES)
            backoff = LIST_RETRY_MS * 2**self._list_failures
            self.actions.append(api.SetTimer(LIST_TIMER, backoff * (0.5 + self.rng.random())))
            return
        if event.form != api.ListForm.CACHED:
            self._list_failures = 0
        elif self.settings.list_on_request:
            self.actions.append(api.WatchList(True))
        self.fleet.apply_list(event)
        self.release_needed = True

    def _on_worker_reattached(self, event: api.WorkerReattached) -> None:
        worker = self.fleet.workers.get(event.worker)
        if worker is not None:
            self.fleet.mark_reattached(worker, event.since)
            self.release_needed = True

    def _on_zone_weights(self, event: api.ZoneTrafficWeights) -> None:
        self.fleet.zone_weights = event.weights
        self.fleet.regroup()

    # -- the queues

    def _enqueue(self, request: PendingRequest) -> None:
        repeat_until = request.repeat_until()
        if repeat_until < request.answer_by:
            self._answer_by(request, repeat_until)
        self._sequence += 1
        request.queued, request.sequence = True, self._sequence
        insort(self.queues[request.spec.kind], (request.latest_start, request.sequence, request))
        self.release_needed = True

    def _dequeue(self, request: PendingRequest) -> None:
        queue = self.queues[request.spec.kind]
        del queue[bisect_left(queue, (request.latest_start, request.sequence))]
        request.queued = False

    def _release(self) -> None:
        """Sends queued requests, earliest latest start first, while workers with free slots are found."""
        self.release_needed = False
        for queue in self.queues.values():
            self._release_queue(queue)
        if not self._release_timer_set and any(self.queues.values()):
            self._release_timer_set = True
            interval = RELEASE_INTERVAL * self.admission.tightest_constraint
            delay = max(MIN_RELEASE_INTERVAL_MS, interval)
            self.actions.append(api.SetTimer(RELEASE_TIMER, delay))

    def _release_queue(self, queue: list[tuple[float, int, PendingRequest]]) -> None:
        misses = 0  # number of requests without a worker; they stay at the head of the queue
        while misses < len(queue) and misses < MAX_MISSES:
            request = queue[misses][2]
            if self.now >= request.latest_start:
                self._dequeue(request)
                self._run_controller()
                self._give_up(request, RejectionReason.TOO_LATE)
                continue
            slots = request.slots_needed
            worker = self.selection.worker_for(
                request, slots + 1.0 if request.over_quota else slots
            )
            if worker is None:
                misses += 1
                continue
            self._dequeue(request)
            self.attempts.send(request, worker)
            candidates = self.selection.candidate_count
            self.actions.append(
                api.Send(request.id, worker.name, 0.0, candidates, request.delay_reason)
            )
            self._run_controller()

    # -- ends and answers

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.record_end(event)
        if attempt is None:
            return
        self.release_needed = True
        request = attempt.request
        if event.final:
            self._finish(request)
        elif not request.finished and not request.live_attempts:
            request.last_failed_worker = attempt.worker
            self._retry(request)

    def _retry(self, request: PendingRequest) -> None:
        """Queues a request again after a failed attempt if a retry is allowed, else answers it."""
        reason = self._no_retry_reason(request)
        if reason is None:
            self._enqueue(request)
        else:
            self._give_up(request, reason)

    def _no_retry_reason(self, request: PendingRequest) -> RejectionReason | None:
        """Returns why the request is not retried, or None if it is."""
        if request.must_not_repeat(self.now):
            return RejectionReason.MUST_NOT_REPEAT
        if request.attempt_count >= min(request.max_attempts, self.settings.max_attempts):
            return RejectionReason.OUT_OF_ATTEMPTS
        time_left = request.deadline - self.now
        if time_left < request.expected_run_time * MIN_RETRY_RUN_TIMES:
            return RejectionReason.NO_TIME_FOR_RETRY
        if self.now >= request.latest_start:
            return RejectionReason.TOO_LATE
        return None

    def _give_up(self, request: PendingRequest, reason: RejectionReason) -> None:
        """Finishes an unserved request: with a rejection if a retry is safe, else with a failure."""
        self._finish(request)
        self._answer_unserved(request, reason, failed=not request.may_reject())

    def _answer_unserved(
        self, request: PendingRequest, reason: RejectionReason, failed: bool
    ) -> None:
        request.class_state.not_served[reason] += 1
        text = reason.text(self.admission.controller.gapped_levels)
        self.actions.append(
            api.Fail(request.id, text)
            if failed
            else api.Reject(request.id, self.settings.max_retry_after, text)
        )

    def _finish(self, request: PendingRequest) -> None:
        if not request.finished:
            request.finished = True
            self.requests.pop(request.id, None)
            if request.trial:
                self._end_trial(request)
            if request.queued:
                self._dequeue(request)

    def _end_trial(self, request: PendingRequest) -> None:
        trials = request.class_state.trials(request.hinted)
        duration = self.now - request.arrived_at
        faster = trials.evidence_at == self.now and duration < request.expected_run_time
        trials.end(self.now, duration, self.estimate.available_slots(), faster)

    def _on_no_answer_due(self, event: api.ClientLeft | api.AnswerStarted) -> None:
        """Finishes a request without a final answer: its client has left or its streamed answer has begun."""
        request = self.requests.get(event.request_id)
        if request is not None:
            self._finish(request)

    def _answer_overdue(self) -> None:
        """Answers requests whose answer is due, whether or not the outcome of their attempts is known."""
        while self.deadlines and self.deadlines[0][0] <= self.now:
            request = heappop(self.deadlines)[2]
            if request.finished:
                continue
            if self.now < request.answer_by:
                if request.queued and request.must_not_repeat(self.now):
                    self._give_up(request, RejectionReason.MUST_NOT_REPEAT)
                continue
            reason = (
                RejectionReason.DEADLINE_WITH_ATTEMPT
                if request.live_attempts
                else RejectionReason.DEADLINE
            )
            self._give_up(request, reason)

    # -- timers and probes

    def _set_deadline_timer(self) -> None:
        deadlines = self.deadlines
        while deadlines and deadlines[0][2].finished:
            heappop(deadlines)
        if not deadlines:
            return
        first = deadlines[0][0]
        if self._deadline_timer_at <= self.now or first < self._deadline_timer_at:
            self._deadline_timer_at = first
            self.actions.append(api.SetTimer(DEADLINE_TIMER, max(0.0, first - self.now)))

    def _set_sweep_timer(self) -> None:
        if not self._sweep_timer_set and (self.requests or self.attempts.outstanding):
            self._sweep_timer_set = True
            interval = SWEEP_INTERVAL * self.admission.tightest_constraint
            self.actions.append(api.SetTimer(SWEEP_TIMER, max(MIN_SWEEP_INTERVAL_MS, interval)))

    def _on_timer(self, event: api.TimerFired) -> None:
        token = event.token
        if token == SWEEP_TIMER:
            self._sweep_timer_set = False
            for attempt in self.attempts.find_silent() if self.settings.may_cancel else ():
                self.actions.append(api.Cancel(attempt.request.id, attempt.number))
        elif token == RELEASE_TIMER:
            self._release_timer_set = False
            self.release_needed = True
            if self.settings.may_probe:
                for kind, queue in self.queues.items():
                    if queue:
                        self._probe_ejected(kind)
        elif token == LIST_TIMER:
            self.actions.append(api.WatchList(True))

    def _probe_ejected(self, kind: int) -> None:
        """Probes workers with recent failures among a few drawn at random.

        A probe of a worker without failures would add little information."""
        group = self.fleet.near[kind] or self.fleet.far[kind]
        size = len(group)
        for _ in range(PROBE_DRAWS):
            if self.probe_credit < 1.0 or not size:
                return
            worker = group[int(self.rng.random() * size)]
            if worker.usable and worker.ejection.failures and not worker.probe_pending:
                self.probe_credit -= 1.0
                worker.probe_pending = True
                self.actions.append(api.Probe(worker.name))

    def _on_probe_ended(self, event: api.ProbeEnded) -> None:
        worker = self.fleet.workers.get(event.worker)
        if worker is None:
            return
        worker.probe_pending = False
        if event.outcome == PolicyOutcome.SERVED:
            if event.report:
                worker.apply_report(event.report)
            if worker.ejection.failures:  # the worker answers again, so it may get a request
                worker.ejection.until = self.now
        elif event.outcome != PolicyOutcome.REJECTED:
            worker.record_loss(refused=True)
        self.release_needed = True
