"""The module in blocking style: pick a route step for an operation, report how it ended, tick the clock.

Nothing outside this file sees the module's events, actions, timers or probes. Times are milliseconds on the
facade's own monotonic clock.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

import trio

from yewrill.dispatch import load_report as loadreport
from yewrill.dispatch import safety as rules
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.start_times import StartTimes
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api

log = logging.getLogger("yewrill.facade")

# The clock starts here, not at 0: a destination's start shortly before ours must come out above 0, which the
# module reads as "long ago".
CLOCK_START = 1_000_000.0
# How long past an operation's deadline `pick` waits for the module before it answers by itself. It guards
# against a module that lost the operation; the module's own clock is always earlier.
BACKSTOP = 10.0


@dataclass(eq=False, slots=True)
class Request:
    """A client's request, as the core and the module know it. `payload` belongs to the front."""

    id: str
    request_class: int
    deadline: float
    tenant: int = 0
    width: float = 1.0
    memory: float = 0.0
    hint: float = 0.0
    retry: bool = False
    subject: str = (
        ""  # what it concerns, where clients tell: destinations keep what jobs of one need
    )
    payload: Any = None
    client_left: bool = False
    # An attempt before a restart that may have run: how long ago it was sent, and where. -1: there is none.
    ran_ago: float = -1.0
    ran_zone: int = -1
    ran_cell: int = -1
    # What the checks go by: its class's effect and window, and when the first attempt that may have run was
    # sent, on the module's clock.
    idempotency: str = api.Idempotency.IDEMPOTENT
    window: float = 0.0
    ran_at: float | None = None
    on_progress: Callable[[Attempt, float], None] | None = None
    has_left: Callable[[], bool] | None = None  # a fresh look whether its client has gone
    trace: Any = None
    # The facade's own.
    key: str = ""
    attempt_count: int = 0
    live: Attempt | None = None
    choice: Attempt | Rejection | Failure | None = None
    chosen: trio.Event | None = None
    closed: bool = False  # nothing more is owed to the client


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of an operation at one destination."""

    request: Request
    number: int
    worker: str
    until: float  # when to stop waiting
    trace: Any = None  # where tracing is on: told of every moment
    sent: float = 0.0  # its first byte
    written: bool = False  # its last byte: from then on it may run
    began: float = 0.0  # when its start was told, if attempts are counted in the log
    withdrawn: AttemptOutcome | None = None
    load: Any = None  # the load report that came with its end, as it was sent
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Stop waiting; whoever carries the step closes its connection and reports this ending."""
        self.withdrawn = outcome
        self.scope.cancel()


@dataclass(frozen=True, slots=True)
class Rejection:
    """Refused: trying again is harmless, best after `retry_after` milliseconds (0: no advice)."""

    retry_after: float
    reason: str = ""  # the module's ground


@dataclass(frozen=True, slots=True)
class Failure:
    """Failed, with no promise about its effect."""

    text: str = "failed"
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A line of the pool config."""

    id: str
    address: tuple[str, int]
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: str = api.WorkerState.RUNNING
    weight: float = 1.0
    started_ms: float = 0.0  # wall clock


Prober = Callable[
    [str], Awaitable[tuple[AttemptOutcome, Any]]
]  # and the load report as it was sent


def hanging(module: Dispatcher, now: float, after: float) -> dict[int, int]:
    """By zone, the attempts that a module has at workers that run none of its own and have started none for
    so long."""
    found: dict[int, int] = {}
    for worker in module.fleet.workers.values():
        if worker.unstarted and worker.running_slots <= 0.0 and now - worker.waiting_since > after:
            found[worker.zone] = found.get(worker.zone, 0) + len(worker.unstarted)
    return found


class DecisionEngine:
    """One instance of the module and its clock."""

    def __init__(self, settings: api.Settings, seed: int):
        self._module = Dispatcher(settings, seed)
        self._fields = settings.report_fields
        self._classes = settings.classes
        self.violations = rules.Violations()
        self._base = trio.current_time() - CLOCK_START / 1000.0
        self._starts = StartTimes(time.time() * 1000.0, self.now())
        self._events: list[api.Event] = []
        self._timers: list[tuple[float, int]] = []
        self._probes: list[str] = []
        self._requests: dict[str, Request] = {}
        self._live: dict[str, Attempt] = {}  # steps that are out, those of closed operations too
        self._count = 0
        self._wake = trio.Event()
        self._counting = log.isEnabledFor(logging.DEBUG)  # a line for each step and each refusal

    # -- time

    def now(self) -> float:
        return (trio.current_time() - self._base) * 1000.0

    def loop_time(self, at: float) -> float:
        """The event loop's time for a time of this clock."""
        return self._base + at / 1000.0

    @property
    def reports_load(self) -> bool:
        """Whether destinations report their load."""
        return bool(self._fields)

    @property
    def pending(self) -> int:
        """Operations without their final answer."""
        return len(self._requests)

    def capacity(self) -> dict[int, float]:
        """Slots that the usable destinations of each zone are thought to have."""
        slots: dict[int, float] = {}
        for worker in self._module.fleet.workers.values():
            if worker.usable:
                slots[worker.zone] = slots.get(worker.zone, 0.0) + worker.kind.slots
        return slots

    def hanging(self, after: float) -> dict[int, int]:
        """By zone, the attempts at destinations that run none of ours and have started none for so long."""
        return hanging(self._module, self.now(), after)

    def set_zone_weights(self, weights: Mapping[int, float]) -> None:
        """The fleet's plan: the part of its normal new work that each zone gets; one not named gets all."""
        self._put(api.ZoneTrafficWeights(dict(weights)))

    def ejected(self) -> set[str]:
        """The destinations that the module leaves out at present."""
        return self._module.ejected(self.now())

    # -- what the network code calls

    def take(self, request: Request) -> None:
        """Tell the module of an operation: in the moment that its class and tenant were looked up, since
        other settings may move their positions."""
        if not request.key:
            self._count += 1
            # The client's own id is not the key: two clients may send the same one.
            request.key = str(self._count)
            self._requests[request.key] = request
            spec = self._classes[request.request_class]
            request.idempotency, request.window = spec.idempotency, spec.window
            if request.ran_ago >= 0:
                request.ran_at = self.now() - request.ran_ago
            self._put(
                api.RequestArrived(
                    request.key,
                    request.request_class,
                    request.deadline,
                    request.tenant,
                    request.width,
                    request.memory,
                    request.hint,
                    request.retry,
                    request.ran_ago,
                    request.ran_zone,
                    request.ran_cell,
                    request.subject,
                )
            )

    def reconfigure(self, settings: api.Settings) -> None:
        """Other settings, for every operation taken from now on."""
        self._fields = settings.report_fields
        self._classes = settings.classes
        self._put(api.SettingsChanged(settings))

    async def pick(self, request: Request) -> Attempt | Rejection | Failure | None:
        """Wait for the module's next choice for an operation; None once its client has left."""
        self.take(request)
        if request.choice is None and not request.closed:
            request.chosen = trio.Event()
            with trio.move_on_at(self.loop_time(request.deadline + BACKSTOP)):
                await request.chosen.wait()
            request.chosen = None
        choice, request.choice = request.choice, None
        if choice is None:
            if request.client_left:
                return None
            if not request.closed:
                log.error("no-decision request=%s: answered without the module", request.id)
                self._close(request, tell=True)
            return Failure("no decision")
        if isinstance(choice, Attempt):
            request.live = self._live[request.key] = choice
        return choice

    def report(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Tell how a route step ended. A served one concludes its operation."""
        request = attempt.request
        if attempt.trace is not None:
            attempt.trace.end, attempt.trace.outcome = trio.current_time(), outcome.value
        request.live = None
        self._live.pop(request.key, None)
        if outcome.policy_outcome not in api.NEVER_RAN and request.ran_at is None:
            request.ran_at = attempt.sent or self.now()
        if outcome is AttemptOutcome.SERVED:
            self._close(request)
        elapsed = self.now() - attempt.sent if attempt.sent else 0.0
        self._put(
            api.AttemptEnded(
                request.key,
                attempt.number,
                attempt.worker,
                outcome.policy_outcome,
                elapsed,
                request.closed,
                loadreport.read(attempt.load, self._fields),
                outcome.stale_connection,
            )
        )
        if self._counting:
            waited = attempt.began - attempt.sent if attempt.began else -1.0
            log.debug(
                "step worker=%s outcome=%s class=%d attempt=%d width=%g sent=%.0f waited=%.0f "
                "ran=%.0f",
                attempt.worker,
                outcome.name,
                request.request_class,
                attempt.number,
                request.width,
                self._starts.offset + (attempt.sent or self.now()),
                waited,
                elapsed - max(0.0, waited),
            )

    def started(self, attempt: Attempt) -> None:
        if self._counting:
            attempt.began = self.now()
        if attempt.trace is not None:
            attempt.trace.started = trio.current_time()
        self._put(api.AttemptStarted(attempt.request.key, attempt.number, attempt.worker))

    def progress(self, attempt: Attempt, share: float) -> None:
        if attempt.trace is not None:
            attempt.trace.note_progress(trio.current_time(), share)
        self._put(api.AttemptProgress(attempt.request.key, attempt.number, attempt.worker, share))
        if attempt.request.on_progress is not None:
            attempt.request.on_progress(attempt, share)

    def left(self, request: Request) -> None:
        """The client has gone: nothing more is owed. An attempt that is out runs on, for its end tells much;
        one that is being written must not become whole, and a connection that comes up is kept."""
        if request.trace is not None and not request.client_left:
            request.trace.event(trio.current_time(), "client-left")
            request.trace.decide(trio.current_time(), "left")
        request.client_left = True
        if request.key and not request.closed:
            self._close(request, tell=True)
            attempt = request.choice
            if isinstance(attempt, Attempt):  # chosen, not yet taken up
                request.choice = None
                self.report(attempt, AttemptOutcome.NOT_SENT)
            if request.live is not None and request.live.sent and not request.live.written:
                request.live.withdraw(AttemptOutcome.NOT_SENT)
            if request.chosen is not None:
                request.chosen.set()

    def give_up(self) -> None:
        """The program ends: every operation that is still open fails, and its attempt with it."""
        for request in list(self._requests.values()):
            if not request.closed:
                self._close(request, tell=True)
                if request.live is not None:
                    request.live.withdraw(AttemptOutcome.CANCELLED)
                self._choose(request, Failure("restarting"))

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], *, full: bool, cached: bool = False
    ) -> None:
        """What discovery tells."""
        self._starts.note(time.time() * 1000.0, self.now())
        form = (
            api.ListForm.CACHED if cached else api.ListForm.FULL if full else api.ListForm.CHANGES
        )
        if self._counting:
            endpoints = list(endpoints)
            log.debug(
                "list form=%s %s",
                form,
                " ".join(f"{d.id}:{d.state}:{d.started_ms:.0f}" for d in endpoints),
            )
        self._put(
            api.WorkerList(
                form,
                [
                    api.WorkerEntry(
                        d.id,
                        d.zone,
                        d.kind,
                        d.cell,
                        d.state,
                        d.weight,
                        self._launched(d),
                    )
                    for d in endpoints
                ],
            )
        )

    def returned(self, name: str, ago: float) -> None:
        """Operators have put a destination back, so many ms ago."""
        self._put(api.WorkerReturned(name, max(1.0, self.now() - ago)))

    def tick(self) -> None:
        """Hand everything that is ready to the module, as one moment, and carry out what it decides."""
        now = self.now()
        events, self._events = self._events, []
        while self._timers and self._timers[0][0] <= now:
            events.append(api.TimerFired(heappop(self._timers)[1]))
        if not events:
            return
        try:
            actions = self._module.handle(now, events)
            faulty = False
        except Exception:
            log.exception("module-fault events=%d", len(events))
            actions, faulty = self._module.actions, True
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                log.exception("action-fault action=%r", action)
        if faulty:
            self._give_up_batch(events)
        for event in events:
            if type(event) is api.ClientLeft:
                self._requests.pop(event.request_id, None)

    async def run(self, probe: Prober) -> None:
        """Tick whenever something is ready or due; probes run beside."""
        async with trio.open_nursery() as nursery:
            while True:
                at = self.loop_time(self._timers[0][0]) if self._timers else math.inf
                with trio.move_on_at(at):
                    await self._wake.wait()
                # One more round of the loop: whatever else the same read of the sockets has made ready
                # belongs to this moment, and one call of the module is cheaper than several.
                await trio.lowlevel.checkpoint()
                self._wake = trio.Event()
                self.tick()
                probes, self._probes = self._probes, []
                for worker in probes:
                    nursery.start_soon(self._probe, probe, worker)

    # -- inside

    def _put(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake.set()

    def _launched(self, worker: Endpoint) -> float:
        """The module takes any change of this for a restart, and 0 for a start long ago."""
        started = self._starts.started(worker.id, worker.started_ms, self.now())
        return 0.0 if started is None else max(1.0, started)

    def _close(self, request: Request, tell: bool = False) -> None:
        if not request.closed:
            request.closed = True
            if (
                tell
            ):  # it stays known until the module has heard, for what the module may send before
                self._put(api.ClientLeft(request.key))
            else:
                self._requests.pop(request.key, None)

    def _choose(self, request: Request, choice: Attempt | Rejection | Failure) -> None:
        request.choice = choice
        if request.chosen is not None:
            request.chosen.set()

    def _carry_out(self, action: api.Action, now: float) -> None:
        kind = type(action)
        if kind is api.Send:
            request = self._requests.get(action.request_id)
            if request is None:
                log.error("send-unknown job=%s", action.request_id)
                return
            until = request.deadline
            if action.timeout:
                until = min(until, now + action.timeout)
            attempt = Attempt(request, request.attempt_count, action.worker, until)
            request.attempt_count += 1
            if request.trace is not None:
                attempt.trace = request.trace.chosen(
                    attempt.number,
                    action.worker,
                    action.candidates,
                    action.delay_reason,
                    trio.current_time(),
                )
            broken = rules.check_attempt(self._attempt_facts(request, now))
            if broken is not None:
                self.violations.note(
                    broken, request=request.id, attempt=attempt.number, worker=action.worker
                )
                self._put(
                    api.AttemptEnded(
                        request.key, attempt.number, action.worker, api.PolicyOutcome.NOT_SENT, 0.0
                    )
                )
            elif request.closed:  # it ended between the module's last moment and this one
                self.report(attempt, AttemptOutcome.NOT_SENT)
            else:
                self._choose(request, attempt)
        elif kind is api.Reject or kind is api.Fail:
            request = self._requests.get(action.request_id)
            if request is None or request.closed:
                return
            self._close(request)
            if self._counting:
                log.debug(
                    "no class=%d tries=%d why=%s",
                    request.request_class,
                    request.attempt_count,
                    action.reason,
                )
            if request.live is not None:
                request.live.withdraw(AttemptOutcome.TIMED_OUT)
            self._choose(
                request,
                Rejection(action.retry_after, action.reason)
                if kind is api.Reject
                else Failure(reason=action.reason),
            )
        elif kind is api.SetTimer:
            heappush(self._timers, (now + action.delay, action.token))
        elif kind is api.Probe:
            self._probes.append(action.worker)
        elif kind is api.Cancel:
            attempt = self._live.get(
                action.request_id
            )  # its operation may be over, its client gone
            if attempt is not None and attempt.number == action.attempt:
                attempt.withdraw(AttemptOutcome.CANCELLED)
        elif kind is api.Log:
            log.info("module %s", action.text)
        # WatchList asks for nothing here: discovery is always watched.

    def _attempt_facts(self, request: Request, now: float) -> rules.AttemptFacts:
        return rules.AttemptFacts(
            now,
            request.idempotency,
            request.window,
            attempt_out=request.key in self._live or isinstance(request.choice, Attempt),
            ran_at=request.ran_at,
        )

    def _give_up_batch(self, events: list[api.Event]) -> None:
        """After a fault in the module no operation of that moment can count on an answer from it."""
        for event in events:
            request = self._requests.get(getattr(event, "request_id", ""))
            if request is not None and request.choice is None and request.live is None:
                self._close(request, tell=True)
                self._choose(request, Failure("internal fault"))

    async def _probe(self, probe: Prober, worker: str) -> None:
        try:
            outcome, load = await probe(worker)
        except Exception:
            log.exception("probe-fault worker=%s", worker)
            outcome, load = AttemptOutcome.BROKEN, None
        self._put(
            api.ProbeEnded(worker, outcome.policy_outcome, loadreport.read(load, self._fields))
        )
