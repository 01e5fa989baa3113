"""Open requests, their attempts, and the estimates for each request class. Times are milliseconds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import inf

from yewrill.policy import interface as api
from yewrill.policy.client_timeout import ClientTimeoutEstimate
from yewrill.policy.repeat_window import repeat_until, shares_group
from yewrill.policy.trial_requests import TrialRequests
from yewrill.policy.worker_estimate import WorkerEstimate

# Assumed upper bound of a class's mean run time, as a multiple of its latency objective.
MAX_RUN_TIME_OBJECTIVES = 4.0
# Number of measured run times of a class after which its mean serves to judge the speed of a worker.
MIN_RUN_TIMES = 6
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_IDEMPOTENT, _IDEMPOTENT_BY_KEY, _ = api.Idempotency


@dataclass(eq=False, slots=True)
class ClassState:
    """Settings and estimates of one request class: run time, time constraint, rates."""

    spec: api.RequestClass
    index: int
    mean_run_time: float = 0.0
    run_times_seen: int = 0
    hint_ratio: float = 1.0
    client_timeout: ClientTimeoutEstimate = field(init=False)
    arrivals: float = 0.0
    utility: float = 0.0
    priority_level: int = 0
    time_constraint: float = 0.0  # the longest time that a request may wait before its start (T_k)
    guaranteed_rate: float = 0.0  # requests per millisecond (lambda_k)
    not_served: Counter[api.RejectionReason] = field(default_factory=Counter)
    # Trial requests for the two run time estimates: the class's mean run time, and the client's hint.
    mean_trials: TrialRequests = field(default_factory=TrialRequests)
    hint_trials: TrialRequests = field(default_factory=TrialRequests)

    def __post_init__(self) -> None:
        # Initial values of the estimates, used until run times have been measured.
        self.mean_run_time = max(1.0, min(self.spec.latency_objective, self.spec.deadline / 2) / 2)
        self.time_constraint = self.spec.latency_objective
        self.client_timeout = ClientTimeoutEstimate(self.spec.deadline)

    def trials(self, hinted: bool) -> TrialRequests:
        """Returns the trials for requests with or without a hint of their work."""
        return self.hint_trials if hinted else self.mean_trials

    def record_run_time(
        self, run_time: float, hint: float, now: float, trial: bool = False
    ) -> None:
        """Records the run time of a served request; `hint` is the work its client stated, 0 if unknown."""
        trials = self.trials(hint > 0)
        if trial:
            self.run_times_seen = min(self.run_times_seen, trials.confidence(now))
        trials.record_evidence(now)
        self.run_times_seen += 1
        weight = max(0.02, 1.0 / self.run_times_seen)
        self.mean_run_time = max(1.0, self.mean_run_time + weight * (run_time - self.mean_run_time))
        if hint > 0:
            # The error is taken against the current ratio, which other requests may have changed since this
            # one arrived; otherwise concurrent requests would all apply the same correction.
            ratio = self.hint_ratio + weight * (run_time / hint - self.hint_ratio)
            self.hint_ratio = max(1e-6, ratio)


class PendingRequest:
    """A request; it is kept until its final answer is given and its last attempt has ended."""

    __slots__ = (
        "answer_by",
        "arrived_at",
        "attempt_count",
        "class_state",
        "deadline",
        "delay_reason",
        "expected_run_time",
        "expected_wait",
        "finished",
        "first_asked_at",
        "work_hint",
        "id",
        "key",
        "last_failed_worker",
        "latest_start",
        "live_attempts",
        "max_attempts",
        "objective_at",
        "over_quota",
        "presumed_retry",
        "queued",
        "ran_at",
        "ran_cell",
        "ran_zone",
        "run_time_known",
        "sequence",
        "slots_needed",
        "spec",
        "tenant",
        "trial",
    )

    def __init__(
        self,
        event: api.RequestArrived,
        class_state: ClassState,
        now: float,
        expected_run_time: float,
        settings: api.Settings,
    ):
        self.id = event.request_id
        self.class_state = class_state
        # The class settings are kept from the arrival: they may change while the request is open.
        self.spec = class_state.spec
        self.max_attempts = settings.max_attempts
        self.tenant = event.tenant
        self.key = event.key
        self.slots_needed = max(event.width, event.memory, 1e-3)
        self.work_hint = event.work_hint
        self.expected_run_time = expected_run_time  # estimated run time on an average worker
        # Whether `expected_run_time` is based on measurements.
        self.run_time_known = class_state.run_times_seen >= MIN_RUN_TIMES
        self.deadline = event.deadline
        self.answer_by = event.deadline - 2.0 * settings.tick  # when the final answer is due
        self.arrived_at = now
        self.presumed_retry = False
        self._set_due(self._first_asked(event, now, settings))
        self.over_quota = False
        # Whether the request is sent to measure the present run time of its class.
        self.trial = False
        self.attempt_count = 0
        self.live_attempts: dict[int, Attempt] = {}
        self.queued = False
        self.finished = False
        self.delay_reason = ""  # reason why the last worker selection found no worker
        self.expected_wait = 0.0  # expected wait at the worker that was selected last
        # Send time of the first attempt that may have run, None if there is none. An attempt that an earlier
        # process sent before a restart counts too; its time may lie before the start of this process's clock.
        self.ran_at = now - event.earlier_attempt_age if event.earlier_attempt_age >= 0 else None
        self.ran_zone, self.ran_cell = event.earlier_attempt_zone, event.earlier_attempt_cell
        self.last_failed_worker: WorkerEstimate | None = None
        self.sequence = 0

    def _first_asked(self, event: api.RequestArrived, now: float, settings: api.Settings) -> float:
        """Returns when the client sent its first try.

        For a marked retry this follows from its deadline, as the first try had the deadline of the class."""
        asked = min(now, event.deadline - self.spec.deadline) if event.retry else now
        if not settings.marks_retry:
            # If less time than usual is left until the deadline, this is either a retry, which has the rest
            # of its first try's timeout, or a first try whose client waits less than others.
            usual = self.class_state.client_timeout
            usual.record(event.deadline - now)
            asked = min(asked, event.deadline - usual.usual)
            self.presumed_retry = asked < now and not event.retry
        return asked

    def _set_due(self, first_asked_at: float) -> None:
        """Sets the time until which an answer has its full weight, and the latest start."""
        spec = self.spec
        self.first_asked_at = first_asked_at
        self.objective_at = min(
            first_asked_at
            + spec.latency_objective
            + spec.objective_run_factor * self.expected_run_time,
            self.deadline,
        )
        # The latest start that still meets the objective: about the time constraint (T_k) after the first
        # try.
        self.latest_start = self.objective_at - self.expected_run_time

    def treat_as_first_try(self) -> None:
        """Discards the presumption that the request is a retry and counts its times from its arrival."""
        self.presumed_retry = False
        self._set_due(self.arrived_at)

    @property
    def hinted(self) -> bool:
        """Whether the client has stated the expected work."""
        return self.work_hint > 0

    def late_by_estimate(self, now: float) -> bool:
        """Returns whether only the expected run time makes the request late: a short run would be in time."""
        latest_finish = min(self.first_asked_at + self.spec.latency_objective, self.deadline)
        return self.latest_start <= now < latest_finish

    def begin_trial(self) -> None:
        """Makes the request a trial: it may start as long as a short run would be in time."""
        self.trial = True
        self.latest_start = min(self.first_asked_at + self.spec.latency_objective, self.deadline)

    def slow_start_work(self) -> float:
        """Returns the work that is charged to the slow start budget of a worker.

        The initial estimate may be only a tenth of the true run time, and too much work would be sent to a
        worker that warms up. So the estimate is raised towards the longest mean run time that the settings
        of the class allow. The raise shrinks as run times are measured."""
        run_time = self.expected_run_time if self.hinted else self.class_state.mean_run_time
        longest = min(
            MAX_RUN_TIME_OBJECTIVES * (self.spec.latency_objective or self.spec.deadline),
            self.spec.deadline / 2,
        )
        missing = max(0.0, longest - run_time) / (1 + self.class_state.run_times_seen)
        return self.slots_needed * (run_time + missing)

    def record_run(self, sent_at: float, zone: int, cell: int) -> None:
        """Records an attempt that may have run. The first one counts for the window."""
        if self.ran_at is None:
            self.ran_at, self.ran_zone, self.ran_cell = sent_at, zone, cell
        elif cell != self.ran_cell:
            self.ran_at = -inf  # no single cell detects all duplicates
        else:
            self.ran_at = min(self.ran_at, sent_at)

    def repeat_until(self) -> float:
        """Returns the time from which the request may not be sent again, for all that it has sent."""
        return repeat_until(self.spec.idempotency, self.spec.window, self.ran_at)

    def must_not_repeat(self, now: float) -> bool:
        """Returns whether the request may have run and must not run again."""
        return self.ran_at is not None and now >= self.repeat_until()

    def may_repeat_at(self, worker: WorkerEstimate, now: float) -> bool:
        """Returns whether this worker may get a retry of a request that may have run."""
        spec = self.spec
        if self.must_not_repeat(now):
            return False
        return spec.idempotency == _IDEMPOTENT or shares_group(
            spec.group, worker.zone, worker.cell, self.ran_zone, self.ran_cell
        )

    def may_reject(self) -> bool:
        """Returns whether a rejection is allowed: it promises the client that a retry is safe."""
        spec = self.spec
        return not self.live_attempts and (
            self.ran_at is None
            or spec.idempotency == _IDEMPOTENT
            or (spec.idempotency == _IDEMPOTENT_BY_KEY and spec.group == "all")
        )


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to have a request served by a worker."""

    request: PendingRequest
    number: int
    worker: WorkerEstimate
    sent_at: float
    expected_run_time: float
    sequence: int
    last_signal_at: float
    started_at: float = 0.0
    # The attempt must have reached its worker by now, and its start has not been reported.
    waiting_at_worker: bool = False
    # Least fraction of its full capacity that the worker had when the attempt was sent.
    warm_up_progress: float = 1.0
    # When a later attempt at the same worker was first reported to have started; 0 if none was.
    overtaken_at: float = 0.0
    # The attempt is cancelled because its worker sent no sign of it in time.
    presumed_lost: bool = False
