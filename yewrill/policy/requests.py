"""Jobs, their attempts, and what is learned of a class of jobs."""

from __future__ import annotations

from dataclasses import dataclass, field

from yewrill.policy import interface as api
from yewrill.policy.beliefs import Worker
from yewrill.policy.patience import UsualPatience

LONGEST = 4.0  # times a class's aim: its mean run time is hardly above that
KNOWN = 6  # run times seen of a class before its mean tells anything of a worker's speed


@dataclass(eq=False, slots=True)
class ClassState:
    """What is learned of a class: run time, time constraint, rates."""

    spec: api.RequestClass
    index: int
    mean: float = 0.0
    seen: int = 0
    hint_ratio: float = 1.0
    patience: UsualPatience = field(init=False)
    arrivals: float = 0.0
    utility: float = 0.0
    rung: int = 0
    limit: float = 0.0  # T_k
    lam: float = 0.0  # lambda_k: guaranteed jobs a millisecond

    def __post_init__(self) -> None:
        self.mean = max(
            1.0, min(self.spec.latency_objective, self.spec.deadline / 2) / 2
        )  # until run times are seen
        self.limit = self.spec.latency_objective
        self.patience = UsualPatience(self.spec.deadline)

    def observe(self, run: float, expected: float, hinted: bool) -> None:
        self.seen += 1
        weight = max(0.02, 1.0 / self.seen)
        self.mean = max(1.0, self.mean + weight * (run - self.mean))
        if hinted and expected > 0:
            self.hint_ratio = max(1e-6, self.hint_ratio * (1.0 + weight * (run / expected - 1.0)))


class PendingRequest:
    """A job taken and not yet finally answered (or answered with attempts still out)."""

    def __init__(
        self,
        event: api.RequestArrived,
        cls: ClassState,
        now: float,
        run: float,
        rules: api.Settings,
    ):
        self.id = event.request_id
        self.cls = cls
        # What it began with: other settings may come while it is open.
        self.spec = cls.spec
        self.most = rules.max_attempts
        self.tenant = event.tenant
        self.key = event.key
        self.need = max(event.width, event.memory, 1e-3)
        self.run = run  # expected run time on an average worker
        self.known = cls.seen >= KNOWN  # that is more than a guess
        self.deadline = event.deadline
        self.arrived = now
        # A marked retry is due by its first try, which had the class's deadline.
        asked = min(now, event.deadline - cls.spec.deadline) if event.retry else now
        self.guessed_late = False
        if not rules.marks_retry:
            # Less time than first tries usually have may be what is left of one, or it is a first try of an
            # impatient client.
            cls.patience.note(event.deadline - now)
            asked = min(asked, event.deadline - cls.patience.usual)
            self.guessed_late = asked < now and not event.retry
        self._due_from(asked)
        self.over = False
        self.tries = 0
        self.live: dict[int, Attempt] = {}
        self.held = False
        self.done = False
        self.hinted = event.hint > 0
        self.reason = ""  # it was not sent when it was last looked at
        self.wait = 0.0  # expected at the worker that was last chosen
        # Send time of the first attempt that may have run, None: none may have. One before a restart counts,
        # and may lie before this clock's start.
        self.ran_at = now - event.ran_ago if event.ran_ago >= 0 else None
        self.ran_zone, self.ran_cell = event.ran_zone, event.ran_cell
        self.last: Worker | None = None  # the worker that failed it last
        self.order = 0

    def _due_from(self, asked: float) -> None:
        """Work out by when it is wanted, first asked for at this time."""
        spec = self.spec
        self.asked = asked
        self.wanted = min(
            asked + spec.latency_objective + spec.objective_run_factor * self.run, self.deadline
        )
        self.due = (
            self.wanted - self.run
        )  # T_k after the first asking: the latest start for the full worth

    def take_for_first_try(self) -> None:
        """Give up the guess that it is a retry: it is due as if its client had not asked before."""
        self.guessed_late = False
        self._due_from(self.arrived)

    def cold_work(self) -> float:
        """What a cold worker's budget is charged. A first guess of run times may be a tenth of them: until
        enough are seen, a mean as long as the class's terms let it be counts as one of them."""
        run = self.run if self.hinted else self.cls.mean
        longest = min(
            LONGEST * (self.spec.latency_objective or self.spec.deadline), self.spec.deadline / 2
        )
        return self.need * (run + max(0.0, longest - run) / (1 + self.cls.seen))

    def spent(self, now: float) -> bool:
        """Whether it may have run, and may not run again."""
        spec = self.spec
        return self.ran_at is not None and (
            spec.idempotency == api.Idempotency.NON_IDEMPOTENT
            or (
                spec.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY
                and now - self.ran_at > spec.window * 0.9
            )
        )

    def may_repeat(self, w: Worker, now: float) -> bool:
        """Whether a job that may have run may run at this worker too."""
        spec = self.spec
        if spec.idempotency == api.Idempotency.IDEMPOTENT:
            return True
        if (
            spec.idempotency != api.Idempotency.IDEMPOTENT_BY_KEY
            or self.ran_at is None
            or now - self.ran_at > spec.window * 0.95
        ):
            return False
        if spec.group == "all":
            return True
        return w.zone == self.ran_zone if spec.group == "zone" else w.cell == self.ran_cell

    def may_reject(self) -> bool:
        """Whether a refusal, which tells that a retry does no harm, would be true."""
        spec = self.spec
        return not self.live and (
            self.ran_at is None
            or spec.idempotency == api.Idempotency.IDEMPOTENT
            or (spec.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY and spec.group == "all")
        )


@dataclass(eq=False, slots=True)
class Attempt:
    request: PendingRequest
    number: int
    worker: Worker
    sent: float
    expected: float
    order: int
    heard: float  # when it last said something
    started: float = 0.0
    waits: bool = False  # it must be at its worker by now, and its start is not told
    warm: float = 1.0  # the part of its capacity its worker had at least
    overtaken: float = 0.0  # when a later attempt at the same worker was first seen to start
    silent: bool = False  # given up for its silence
