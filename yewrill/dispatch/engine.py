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
from yewrill.dispatch.outcome import Ending
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
class Operation:
    """A client's request, as the core and the module know it. `payload` belongs to the front."""

    id: str
    job_class: int
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
    effect: str = api.SAFE
    window: float = 0.0
    ran_at: float | None = None
    on_progress: Callable[[RouteStep, float], None] | None = None
    has_left: Callable[[], bool] | None = None  # a fresh look whether its client has gone
    trace: Any = None
    # The facade's own.
    key: str = ""
    steps: int = 0
    live: RouteStep | None = None
    choice: RouteStep | BusyReply | Failure | None = None
    chosen: trio.Event | None = None
    closed: bool = False  # nothing more is owed to the client


@dataclass(eq=False, slots=True)
class RouteStep:
    """One attempt of an operation at one destination."""

    operation: Operation
    number: int
    destination: str
    until: float  # when to stop waiting
    trace: Any = None  # where tracing is on: told of every moment
    sent: float = 0.0  # its first byte
    written: bool = False  # its last byte: from then on it may run
    began: float = 0.0  # when its start was told, if attempts are counted in the log
    withdrawn: Ending | None = None
    load: Any = None  # the load report that came with its end, as it was sent
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def withdraw(self, ending: Ending) -> None:
        """Stop waiting; whoever carries the step closes its connection and reports this ending."""
        self.withdrawn = ending
        self.scope.cancel()


@dataclass(frozen=True, slots=True)
class BusyReply:
    """Refused: trying again is harmless, best after `retry_after` milliseconds (0: no advice)."""

    retry_after: float
    why: str = ""  # the module's ground


@dataclass(frozen=True, slots=True)
class Failure:
    """Failed, with no promise about its effect."""

    text: str = "failed"
    why: str = ""


@dataclass(frozen=True, slots=True)
class Destination:
    """A line of the pool config."""

    id: str
    address: tuple[str, int]
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: str = api.RUNNING
    weight: float = 1.0
    started_ms: float = 0.0  # wall clock


Prober = Callable[[str], Awaitable[tuple[Ending, Any]]]  # and the load report as it was sent


def hanging(module: Dispatcher, now: float, after: float) -> dict[int, int]:
    """By zone, the attempts that a module has at workers that run none of its own and have started none for
    so long."""
    found: dict[int, int] = {}
    for worker in module.fleet.workers.values():
        if worker.queue and worker.running <= 0.0 and now - worker.waiting_since > after:
            found[worker.zone] = found.get(worker.zone, 0) + len(worker.queue)
    return found


class Decisions:
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
        self._operations: dict[str, Operation] = {}
        self._live: dict[str, RouteStep] = {}  # steps that are out, those of closed operations too
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
        return len(self._operations)

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

    def share_out(self, shares: Mapping[int, float]) -> None:
        """The fleet's plan: the part of its normal new work that each zone gets; one not named gets all."""
        self._put(api.ZoneShares(dict(shares)))

    def avoided(self) -> set[str]:
        """The destinations that the module leaves out at present."""
        return self._module.avoided(self.now())

    # -- what the network code calls

    def take(self, operation: Operation) -> None:
        """Tell the module of an operation: in the moment that its class and tenant were looked up, since
        other settings may move their positions."""
        if not operation.key:
            self._count += 1
            # The client's own id is not the key: two clients may send the same one.
            operation.key = str(self._count)
            self._operations[operation.key] = operation
            spec = self._classes[operation.job_class]
            operation.effect, operation.window = spec.effect, spec.window
            if operation.ran_ago >= 0:
                operation.ran_at = self.now() - operation.ran_ago
            self._put(
                api.JobArrived(
                    operation.key,
                    operation.job_class,
                    operation.deadline,
                    operation.tenant,
                    operation.width,
                    operation.memory,
                    operation.hint,
                    operation.retry,
                    operation.ran_ago,
                    operation.ran_zone,
                    operation.ran_cell,
                    operation.subject,
                )
            )

    def retune(self, settings: api.Settings) -> None:
        """Other settings, for every operation taken from now on."""
        self._fields = settings.report_fields
        self._classes = settings.classes
        self._put(api.SettingsChanged(settings))

    async def pick(self, operation: Operation) -> RouteStep | BusyReply | Failure | None:
        """Wait for the module's next choice for an operation; None once its client has left."""
        self.take(operation)
        if operation.choice is None and not operation.closed:
            operation.chosen = trio.Event()
            with trio.move_on_at(self.loop_time(operation.deadline + BACKSTOP)):
                await operation.chosen.wait()
            operation.chosen = None
        choice, operation.choice = operation.choice, None
        if choice is None:
            if operation.client_left:
                return None
            if not operation.closed:
                log.error("no-decision operation=%s: answered without the module", operation.id)
                self._close(operation, tell=True)
            return Failure("no decision")
        if isinstance(choice, RouteStep):
            operation.live = self._live[operation.key] = choice
        return choice

    def report(self, step: RouteStep, ending: Ending) -> None:
        """Tell how a route step ended. A served one concludes its operation."""
        operation = step.operation
        if step.trace is not None:
            step.trace.end, step.trace.ending = trio.current_time(), ending.value
        operation.live = None
        self._live.pop(operation.key, None)
        if ending.outcome not in api.NEVER_RAN and operation.ran_at is None:
            operation.ran_at = step.sent or self.now()
        if ending is Ending.SERVED:
            self._close(operation)
        elapsed = self.now() - step.sent if step.sent else 0.0
        self._put(
            api.AttemptEnded(
                operation.key,
                step.number,
                step.destination,
                ending.outcome,
                elapsed,
                operation.closed,
                loadreport.read(step.load, self._fields),
                ending.worn,
            )
        )
        if self._counting:
            waited = step.began - step.sent if step.began else -1.0
            log.debug(
                "step destination=%s ending=%s class=%d attempt=%d width=%g sent=%.0f waited=%.0f "
                "ran=%.0f",
                step.destination,
                ending.name,
                operation.job_class,
                step.number,
                operation.width,
                self._starts.offset + (step.sent or self.now()),
                waited,
                elapsed - max(0.0, waited),
            )

    def started(self, step: RouteStep) -> None:
        if self._counting:
            step.began = self.now()
        if step.trace is not None:
            step.trace.started = trio.current_time()
        self._put(api.AttemptStarted(step.operation.key, step.number, step.destination))

    def progress(self, step: RouteStep, share: float) -> None:
        if step.trace is not None:
            step.trace.note_progress(trio.current_time(), share)
        self._put(api.AttemptProgress(step.operation.key, step.number, step.destination, share))
        if step.operation.on_progress is not None:
            step.operation.on_progress(step, share)

    def left(self, operation: Operation) -> None:
        """The client has gone: nothing more is owed. An attempt that is out runs on, for its end tells much;
        one that is being written must not become whole, and a connection that comes up is kept."""
        if operation.trace is not None and not operation.client_left:
            operation.trace.event(trio.current_time(), "client-left")
            operation.trace.decide(trio.current_time(), "left")
        operation.client_left = True
        if operation.key and not operation.closed:
            self._close(operation, tell=True)
            step = operation.choice
            if isinstance(step, RouteStep):  # chosen, not yet taken up
                operation.choice = None
                self.report(step, Ending.NOT_SENT)
            if operation.live is not None and operation.live.sent and not operation.live.written:
                operation.live.withdraw(Ending.NOT_SENT)
            if operation.chosen is not None:
                operation.chosen.set()

    def give_up(self) -> None:
        """The program ends: every operation that is still open fails, and its attempt with it."""
        for operation in list(self._operations.values()):
            if not operation.closed:
                self._close(operation, tell=True)
                if operation.live is not None:
                    operation.live.withdraw(Ending.CALLED_OFF)
                self._choose(operation, Failure("restarting"))

    def pool_config(
        self, destinations: Iterable[Destination], *, full: bool, cached: bool = False
    ) -> None:
        """What discovery tells."""
        self._starts.note(time.time() * 1000.0, self.now())
        form = api.LIST_CACHED if cached else api.LIST_FULL if full else api.LIST_CHANGES
        if self._counting:
            destinations = list(destinations)
            log.debug(
                "list form=%s %s",
                form,
                " ".join(f"{d.id}:{d.state}:{d.started_ms:.0f}" for d in destinations),
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
                    for d in destinations
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
            actions, faulty = self._module.out, True
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                log.exception("action-fault action=%r", action)
        if faulty:
            self._give_up_batch(events)
        for event in events:
            if type(event) is api.ClientLeft:
                self._operations.pop(event.job, None)

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
                for destination in probes:
                    nursery.start_soon(self._probe, probe, destination)

    # -- inside

    def _put(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake.set()

    def _launched(self, destination: Destination) -> float:
        """The module takes any change of this for a restart, and 0 for a start long ago."""
        started = self._starts.started(destination.id, destination.started_ms, self.now())
        return 0.0 if started is None else max(1.0, started)

    def _close(self, operation: Operation, tell: bool = False) -> None:
        if not operation.closed:
            operation.closed = True
            if (
                tell
            ):  # it stays known until the module has heard, for what the module may send before
                self._put(api.ClientLeft(operation.key))
            else:
                self._operations.pop(operation.key, None)

    def _choose(self, operation: Operation, choice: RouteStep | BusyReply | Failure) -> None:
        operation.choice = choice
        if operation.chosen is not None:
            operation.chosen.set()

    def _carry_out(self, action: api.Action, now: float) -> None:
        kind = type(action)
        if kind is api.Send:
            operation = self._operations.get(action.job)
            if operation is None:
                log.error("send-unknown job=%s", action.job)
                return
            until = operation.deadline
            if action.timeout:
                until = min(until, now + action.timeout)
            step = RouteStep(operation, operation.steps, action.worker, until)
            operation.steps += 1
            if operation.trace is not None:
                step.trace = operation.trace.chosen(
                    step.number, action.worker, action.among, action.held, trio.current_time()
                )
            broken = rules.check_attempt(self._attempt_facts(operation, now))
            if broken is not None:
                self.violations.note(
                    broken, operation=operation.id, attempt=step.number, worker=action.worker
                )
                self._put(
                    api.AttemptEnded(operation.key, step.number, action.worker, api.NOT_SENT, 0.0)
                )
            elif operation.closed:  # it ended between the module's last moment and this one
                self.report(step, Ending.NOT_SENT)
            else:
                self._choose(operation, step)
        elif kind is api.Refuse or kind is api.Fail:
            operation = self._operations.get(action.job)
            if operation is None or operation.closed:
                return
            self._close(operation)
            if self._counting:
                log.debug(
                    "no class=%d tries=%d why=%s", operation.job_class, operation.steps, action.why
                )
            if operation.live is not None:
                operation.live.withdraw(Ending.TIMED_OUT)
            self._choose(
                operation,
                BusyReply(action.retry_after, action.why)
                if kind is api.Refuse
                else Failure(why=action.why),
            )
        elif kind is api.SetTimer:
            heappush(self._timers, (now + action.delay, action.token))
        elif kind is api.Probe:
            self._probes.append(action.worker)
        elif kind is api.Cancel:
            step = self._live.get(action.job)  # its operation may be over, its client gone
            if step is not None and step.number == action.attempt:
                step.withdraw(Ending.CALLED_OFF)
        elif kind is api.Log:
            log.info("module %s", action.text)
        # WatchList asks for nothing here: discovery is always watched.

    def _attempt_facts(self, operation: Operation, now: float) -> rules.AttemptFacts:
        return rules.AttemptFacts(
            now,
            operation.effect,
            operation.window,
            attempt_out=operation.key in self._live or isinstance(operation.choice, RouteStep),
            ran_at=operation.ran_at,
        )

    def _give_up_batch(self, events: list[api.Event]) -> None:
        """After a fault in the module no operation of that moment can count on an answer from it."""
        for event in events:
            operation = self._operations.get(getattr(event, "job", ""))
            if operation is not None and operation.choice is None and operation.live is None:
                self._close(operation, tell=True)
                self._choose(operation, Failure("internal fault"))

    async def _probe(self, probe: Prober, destination: str) -> None:
        try:
            ending, load = await probe(destination)
        except Exception:
            log.exception("probe-fault destination=%s", destination)
            ending, load = Ending.BROKEN, None
        self._put(api.ProbeEnded(destination, ending.outcome, loadreport.read(load, self._fields)))
