"""The decision engine: connects the policy module to trio tasks, a clock, timers and health checks.

The network code asks for the next choice of a request, reports how attempts ended, and reports other events.
`run` collects these events, passes them to the policy module in batches, and executes the actions that the
module returns. The module's events and actions are not used outside this file. Times are milliseconds on the
engine's clock.

The file is longer than most, because the calls of the network code, the batches and the actions all change
the same requests.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import trio

from yewrill.dispatch import load_report
from yewrill.dispatch import safety as rules
from yewrill.dispatch.clock import Clock, Timers
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.health_checks import HealthChecks, Prober
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.rejection_watch import RejectionWatch
from yewrill.dispatch.request import Attempt, Choice, Failure, Rejection, Request
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.policy.admission_report import AdmissionReport, LevelChange

log = logging.getLogger(__name__)

# How long `pick` waits past a request's deadline for the policy module before it decides without it. This
# guards against a policy module that lost the request; its own deadline for an answer is always earlier.
DECISION_GRACE_MS = 10.0


class DecisionEngine:
    """Runs one policy module. Not thread-safe."""

    def __init__(self, settings: api.Settings, seed: int):
        self._module = Dispatcher(settings, seed)
        self._report_fields = settings.report_fields
        self._classes = settings.classes
        self.violations = rules.Violations()
        self._clock = Clock()
        self._timers = Timers()
        self._health_checks = HealthChecks(self._on_health_checked)
        self._events: list[api.Event] = []
        self._requests: dict[str, Request] = {}
        # Running attempts by request key, including attempts of closed requests.
        self._active_attempts: dict[str, Attempt] = {}
        self._submitted_count = 0
        self._rejection_watch = RejectionWatch()
        self._wake = trio.Event()
        # Whether to log a line for each attempt and for each request that is not served.
        self._logs_attempts = log.isEnabledFor(logging.DEBUG)
        self._action_handlers: dict[type, Callable[[Any, float], None]] = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
            api.Probe: self._request_health_check,
            api.Cancel: self._cancel,
            api.Log: self._log,
        }

    # -- time and state

    def now(self) -> float:
        """Returns the current time on the engine's clock."""
        return self._clock.now()

    def loop_time(self, at: float) -> float:
        """Converts a time of the engine's clock to the event loop's time, in seconds."""
        return self._clock.loop_time(at)

    @property
    def reports_load(self) -> bool:
        """Whether workers report their load."""
        return bool(self._report_fields)

    @property
    def pending(self) -> int:
        """The number of requests without a final answer."""
        return len(self._requests)

    def capacity(self) -> dict[int, float]:
        """Returns the estimated slots of the usable workers, by zone."""
        return self._module.fleet.slots_by_zone()

    def stuck_attempts(self, after: float) -> dict[int, int]:
        """Counts, by zone, the unstarted attempts at stalled workers.

        A stalled worker runs none of this dispatcher's attempts and has started none for `after` ms."""
        return self._module.fleet.stuck_attempts(self.now(), after)

    def ejected(self) -> set[str]:
        """Returns the workers that are currently ejected."""
        return self._module.ejected(self.now())

    def admission_report(self) -> AdmissionReport:
        """Returns the current estimates and state of the policy module's admission control."""
        return self._module.admission.report()

    # -- requests and attempts

    def submit(self, request: Request) -> None:
        """Submits a request to the policy module; does nothing if it was submitted before.

        Call it without a checkpoint after the lookup of the request's class and tenant: new settings may
        change their indexes."""
        if request.key:
            return
        self._submitted_count += 1
        # The request id of the client cannot be the key: two clients may send the same id.
        request.key = str(self._submitted_count)
        self._requests[request.key] = request
        spec = self._classes[request.request_class]
        request.class_name = spec.name
        request.idempotency, request.window = spec.idempotency, spec.window
        if request.earlier_attempt_age >= 0:
            request.ran_at = self.now() - request.earlier_attempt_age
        self._queue_event(
            api.RequestArrived(
                request.key,
                request.request_class,
                request.deadline,
                request.tenant,
                request.width,
                request.memory,
                request.work_hint,
                request.retry,
                request.earlier_attempt_age,
                request.earlier_attempt_zone,
                request.earlier_attempt_cell,
                request.subject,
            )
        )

    async def pick(self, request: Request) -> Choice | None:
        """Waits for the policy module's next choice for a request; returns None once its client has left.

        On cancellation the request stays open, and a choice already made is kept for the next call."""
        expired = self.now() >= request.deadline
        self.submit(request)
        if request.choice is None and not request.closed:
            request.choice_ready = trio.Event()
            with trio.move_on_at(self.loop_time(request.deadline + DECISION_GRACE_MS)):
                await request.choice_ready.wait()
            request.choice_ready = None
        choice, request.choice = request.choice, None
        if choice is None:
            if request.client_left:
                return None
            return self._answer_without_decision(request, expired)
        if isinstance(choice, Attempt):
            request.active_attempt = self._active_attempts[request.key] = choice
        return choice

    def _answer_without_decision(self, request: Request, expired: bool) -> Rejection | Failure:
        """Returns the final answer if the policy module makes no decision: a rejection if a retry is safe.

        `expired`: the deadline had passed before the policy module could be asked, so it is not at fault."""
        retry_is_safe = request.ran_at is None or request.idempotency is api.Idempotency.IDEMPOTENT
        answer = Rejection(0.0, "its time is up") if retry_is_safe else Failure("no decision")
        if not request.closed:
            log.log(
                logging.DEBUG if expired else logging.ERROR,
                "decision_missing request=%s waited_past_deadline_ms=%g answer=%s",
                request.id,
                DECISION_GRACE_MS,
                "rejected" if retry_is_safe else "failed",
            )
            self._close(request, notify=True)
        return answer

    def report(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Reports the outcome of an attempt. `SERVED` closes the request."""
        request = attempt.request
        if attempt.trace is not None:
            attempt.trace.end, attempt.trace.outcome = trio.current_time(), outcome.value
        request.active_attempt = None
        self._active_attempts.pop(request.key, None)
        if outcome.policy_outcome not in api.NEVER_RAN and request.ran_at is None:
            request.ran_at = attempt.sent or self.now()
        if outcome is AttemptOutcome.SERVED:
            self._rejection_watch.served(request.class_name)
            self._close(request)
        elapsed = self.now() - attempt.sent if attempt.sent else 0.0
        self._queue_event(
            api.AttemptEnded(
                request.key,
                attempt.number,
                attempt.worker,
                outcome.policy_outcome,
                elapsed,
                request.closed,
                load_report.read(attempt.load, self._report_fields),
                outcome.stale_connection,
            )
        )
        if self._logs_attempts:
            self._log_attempt(attempt, outcome, elapsed)

    def started(self, attempt: Attempt) -> None:
        """Handles a worker's report that it began to run an attempt."""
        if self._logs_attempts:
            attempt.started_at = self.now()
        if attempt.trace is not None:
            attempt.trace.started = trio.current_time()
        self._queue_event(api.AttemptStarted(attempt.request.key, attempt.number, attempt.worker))

    def progress(self, attempt: Attempt, fraction: float) -> None:
        """Handles a worker's report of an attempt's progress, from 0 to 1."""
        request = attempt.request
        if attempt.trace is not None:
            attempt.trace.note_progress(trio.current_time(), fraction)
        self._queue_event(
            api.AttemptProgress(request.key, attempt.number, attempt.worker, fraction)
        )
        if request.on_progress is not None:
            request.on_progress(attempt, fraction)

    def client_left(self, request: Request) -> None:
        """Closes a request whose client has left: no answer is due any more.

        An attempt that was written continues, because its outcome is evidence about the worker. An attempt
        that is being written is withdrawn before its last byte, and a connection that is being established
        is kept."""
        if request.trace is not None and not request.client_left:
            request.trace.event(trio.current_time(), "client-left")
            request.trace.decide(trio.current_time(), "left")
        request.client_left = True
        if not request.key or request.closed:
            return
        self._close(request, notify=True)
        choice = request.choice
        if isinstance(choice, Attempt):  # an attempt was chosen, but not yet returned by `pick`
            request.choice = None
            self.report(choice, AttemptOutcome.NOT_SENT)
        if (
            request.active_attempt is not None
            and request.active_attempt.sent
            and not request.active_attempt.written
        ):
            request.active_attempt.withdraw(AttemptOutcome.NOT_SENT)
        if request.choice_ready is not None:
            request.choice_ready.set()

    def fail_all(self) -> None:
        """Fails every open request and cancels its attempt, at the end of the shutdown."""
        for request in list(self._requests.values()):
            if not request.closed:
                self._close(request, notify=True)
                if request.active_attempt is not None:
                    request.active_attempt.withdraw(AttemptOutcome.CANCELLED)
                self._set_choice(request, Failure("restarting"))

    # -- settings and workers

    def reconfigure(self, settings: api.Settings) -> None:
        """Applies changed settings to every request submitted from now on."""
        self._report_fields = settings.report_fields
        self._classes = settings.classes
        self._queue_event(api.SettingsChanged(settings))

    def set_zone_weights(self, weights: Mapping[int, float]) -> None:
        """Sets the fraction of its normal new requests that each zone gets; a zone not named gets all."""
        self._queue_event(api.ZoneTrafficWeights(dict(weights)))

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], *, full: bool, cached: bool = False
    ) -> None:
        """Applies endpoint list changes. `full`: a complete list; `cached`: the last known complete list."""
        self._clock.compare_with_wall_clock()
        form = api.ListForm.CHANGES
        if full:
            form = api.ListForm.FULL
        if cached:
            form = api.ListForm.CACHED
        endpoints = list(endpoints)
        if self._logs_attempts:
            log.debug(
                "endpoints_updated form=%s %s",
                form.value,
                " ".join(f"{e.id}:{e.state}:{e.started_ms:.0f}" for e in endpoints),
            )
        entries = [endpoint.worker_entry(self._clock) for endpoint in endpoints]
        self._queue_event(api.WorkerList(form, entries))

    def worker_reattached(self, name: str, ago: float) -> None:
        """Handles operators' reattachment of a worker, `ago` milliseconds ago."""
        self._queue_event(api.WorkerReattached(name, max(1.0, self.now() - ago)))

    # -- event batches

    async def run(self, prober: Prober) -> None:
        """Ticks whenever events are queued or a timer is due, and runs health checks, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_at(self.loop_time(self._timers.next_at)):
                    await self._wake.wait()
                # One more turn of the event loop: events from other sockets that became readable at the same
                # time join this batch, and one call of the policy module is cheaper than several.
                await trio.lowlevel.checkpoint()
                self._wake = trio.Event()
                self.tick()
                self._health_checks.start(nursery, prober)

    def tick(self) -> None:
        """Passes queued events and due timers to the policy module as one batch, and executes its actions."""
        now = self.now()
        events, self._events = self._events, []
        events += [api.TimerFired(token) for token in self._timers.pop_due(now)]
        if not events:
            return
        try:
            actions = self._module.handle(now, events)
            raised = False
        except Exception:
            log.exception("policy_raised events=%d open_requests_of_moment=failed", len(events))
            actions, raised = self._module.actions, True
        while self._module.admission.level_changes:
            _log_level_change(self._module.admission.level_changes.popleft())
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                log.exception("policy_action_raised action=%r", action)
        if raised:
            self._fail_requests_of(events)
        for event in events:
            if type(event) is api.ClientLeft:
                self._requests.pop(event.request_id, None)

    def _queue_event(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake.set()

    def _fail_requests_of(self, events: list[api.Event]) -> None:
        """Fails the requests of a batch in which the policy module raised: it may never answer them."""
        for event in events:
            request = self._requests.get(getattr(event, "request_id", ""))
            if request is not None and request.choice is None and request.active_attempt is None:
                self._close(request, notify=True)
                self._set_choice(request, Failure("internal fault"))

    def _on_health_checked(self, worker: str, outcome: AttemptOutcome, load: Any) -> None:
        report = load_report.read(load, self._report_fields)
        self._queue_event(api.ProbeEnded(worker, outcome.policy_outcome, report))

    # -- actions

    def _carry_out(self, action: api.Action, now: float) -> None:
        handler = self._action_handlers.get(type(action))
        if handler is not None:  # WatchList needs no action: discovery is always watched
            handler(action, now)

    def _send(self, action: api.Send, now: float) -> None:
        request = self._requests.get(action.request_id)
        if request is None:
            log.error("policy_sent_unknown_request request=%s ignored=yes", action.request_id)
            return
        deadline = request.deadline
        if action.timeout:
            deadline = min(deadline, now + action.timeout)
        attempt = Attempt(request, request.attempt_count, action.worker, deadline)
        request.attempt_count += 1
        if request.trace is not None:
            attempt.trace = request.trace.begin_attempt(
                attempt.number,
                action.worker,
                action.candidates,
                action.delay_reason,
                trio.current_time(),
            )
        violated = rules.check_attempt(self._attempt_facts(request, now))
        if violated is not None:
            self.violations.note(
                violated, request=request.id, attempt=attempt.number, worker=action.worker
            )
            not_sent = api.PolicyOutcome.NOT_SENT
            self._queue_event(
                api.AttemptEnded(request.key, attempt.number, action.worker, not_sent, 0.0)
            )
        elif request.closed:  # the request was closed after the policy module's last batch
            self.report(attempt, AttemptOutcome.NOT_SENT)
        else:
            self._set_choice(request, attempt)

    def _reject(self, action: api.Reject, now: float) -> None:
        request = self._requests.get(action.request_id)
        if request is not None and not request.closed:
            self._watch_rejection(request, action.reason, now)
        self._answer(action, Rejection(action.retry_after, action.reason))

    def _watch_rejection(self, request: Request, reason: str, now: float) -> None:
        """Logs a request class of which every request is rejected while slots are idle."""
        shut_out = self._rejection_watch.rejected(request.class_name, now)
        if shut_out is None:
            return
        idle_slots = self.admission_report().idle_slots
        if idle_slots >= 1.0:
            log.warning(
                "class_shut_out class=%s rejected=%d for_s=%.1f idle_slots=%.1f reason=%s",
                shut_out.request_class,
                shut_out.rejections,
                shut_out.duration / 1000.0,
                idle_slots,
                reason,
            )

    def _fail(self, action: api.Fail, now: float) -> None:
        self._answer(action, Failure(reason=action.reason))

    def _answer(self, action: api.Reject | api.Fail, answer: Rejection | Failure) -> None:
        request = self._requests.get(action.request_id)
        if request is None or request.closed:
            return
        self._close(request)
        if self._logs_attempts:
            log.debug(
                "request_not_served class=%d attempts=%d reason=%s",
                request.request_class,
                request.attempt_count,
                action.reason,
            )
        if request.active_attempt is not None:
            request.active_attempt.withdraw(AttemptOutcome.TIMED_OUT)
        self._set_choice(request, answer)

    def _set_timer(self, action: api.SetTimer, now: float) -> None:
        self._timers.set(now + action.delay, action.token)

    def _request_health_check(self, action: api.Probe, now: float) -> None:
        self._health_checks.request(action.worker)

    def _cancel(self, action: api.Cancel, now: float) -> None:
        # None if the attempt has ended already.
        attempt = self._active_attempts.get(action.request_id)
        if attempt is not None and attempt.number == action.attempt:
            attempt.withdraw(AttemptOutcome.CANCELLED)

    def _log(self, action: api.Log, now: float) -> None:
        log.info("policy_message text=%s", action.text)

    # -- requests

    def _close(self, request: Request, notify: bool = False) -> None:
        """Marks a request as closed; `notify`: the policy module does not know yet that it is closed."""
        if request.closed:
            return
        request.closed = True
        if notify:
            # The request stays registered until the policy module has processed the event: until then the
            # module may still return actions for the request.
            self._queue_event(api.ClientLeft(request.key))
        else:
            self._requests.pop(request.key, None)

    def _set_choice(self, request: Request, choice: Choice) -> None:
        request.choice = choice
        if request.choice_ready is not None:
            request.choice_ready.set()

    def _attempt_facts(self, request: Request, now: float) -> rules.AttemptFacts:
        return rules.AttemptFacts(
            now,
            request.idempotency,
            request.window,
            attempt_out=request.key in self._active_attempts or isinstance(request.choice, Attempt),
            ran_at=request.ran_at,
        )

    def _log_attempt(self, attempt: Attempt, outcome: AttemptOutcome, elapsed: float) -> None:
        waited = attempt.started_at - attempt.sent if attempt.started_at else -1.0
        log.debug(
            "attempt_ended worker=%s outcome=%s class=%d attempt=%d width=%g sent=%.0f waited=%.0f "
            "ran=%.0f",
            attempt.worker,
            outcome.name,
            attempt.request.request_class,
            attempt.number,
            attempt.request.width,
            self._clock.wall_time(attempt.sent or self.now()),
            waited,
            elapsed - max(0.0, waited),
        )


def _log_level_change(change: LevelChange) -> None:
    log.info(
        "load_level_changed level=%s gapped_levels=%d drain_time_ms=%.1f run_time_quantile_ms=%.0f "
        "available_slots=%.1f tests=%s",
        change.load_level.name.lower(),
        change.gapped_levels,
        change.drain_time,
        change.run_time_quantile,
        change.available_slots,
        ",".join(map(str, change.tests)),
    )
