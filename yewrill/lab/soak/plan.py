"""Draws the plan of a run from its seed: the test cluster, and its faults with their times. Does no I/O."""

from __future__ import annotations

import errno
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import combinations

from yewrill.lab.soak.events import Effect
from yewrill.lab.soak.oracle import Terms
from yewrill.lab.soak.shim import Call, Origin, Rule

# Time of traffic before the first fault. Its last two seconds count as a calm span.
INITIAL_CALM_SECONDS = 3.0
# Time from the last fault to the final calm span, for a latency objective of 0.4 s.
# Call gapping admits a class again within two objectives.
RECOVERY_SECONDS = 5.0
RECOVERY_OBJECTIVE_SECONDS = 0.4
FINAL_CALM_SECONDS = 2.0
# Idempotency windows, in seconds, of classes that are idempotent by key.
KEYED_WINDOWS_SECONDS = (0.3, 0.5, 1.0, 3.0)
KEYED_GROUPS = ("all", "cell")
CELLS = 2  # number of cells of workers
CONNECT_TIMEOUTS_SECONDS = (0.3, 1.5, 1.5)
LATE_SPELL_PROBABILITY = 0.6  # of a run in which connections come up late
LATE_SECONDS = (0.3, 1.4)  # range of the time for which workers accept no connection
LATE_SPELL_INTERVAL_SECONDS = (0.8, 2.0)
# The grace period from SIGTERM to SIGKILL is the deadline, up to the first value, plus the second.
MAX_GRACE_DEADLINE_SECONDS = 3.0
GRACE_AFTER_DEADLINE_SECONDS = 0.7
# Limits on the sockets of a dispatcher. The lower one is for runs in which idle clients exhaust it.
SOCKETS = 512
MEMORY_MB = 192
CROWDED_SOCKETS = 160
UPGRADE_KILL_SECONDS = 3.0  # duration of an upgrade in which a process is killed
IDLE_CLIENTS = 200  # number of idle clients, enough to exhaust CROWDED_SOCKETS


class Kind(Enum):
    """The kinds of faults."""

    TERMINATE = "SIGTERM, then a restart"
    SIGNALS_IN_SERIES = "SIGHUPs and SIGTERMs in a row, up to the exit and right after readiness"
    KILL = "SIGKILL, then a restart"
    PAUSE = "SIGSTOP for 0.15 s"
    RELOAD = "SIGHUP, several in a row"
    RELOAD_INTO_DRAIN = "SIGHUP, then SIGTERM"
    UPGRADE = "a new process takes the listening socket over"
    UPGRADE_KILL = "a new process takes the listening socket over, and one of the two is killed"
    CALLS_FAIL = "system calls fail"
    SHORT_CALLS = "reads and writes transfer few bytes"
    DISK_ERRS = "writes or syncs fail"
    DISK_SLOW = "syncs are slow"
    CLOCK_STEP = "the wall clock is set"
    WORKER_HANGS = "workers hang"
    WORKER_RESETS = "workers reset connections under requests"
    WORKER_BUSY = "workers reject requests"
    WORKER_ERRS = "workers answer with errors"
    WORKER_HALF = "workers send half an answer and close"
    WORKER_TWICE = "workers answer twice"
    WORKER_PIECES = "workers answer byte by byte"
    WORKER_CLOSES_IDLE = "workers close idle connections"
    WORKER_UNREAD = "workers stop reading"
    WORKER_SLOW = "workers take a multiple of their run time"
    WORKER_COLD = "workers restart cold"
    WORKER_LATE = "workers accept no connections, which come up late"
    WORKER_FORGETS = "the connections of workers break under their next request"
    WORKER_DRAINS = "workers drain and return"
    DISCOVERY_SILENT = "discovery does not answer"
    DISCOVERY_GONE = "discovery resets every call"
    DISCOVERY_SLOW = "discovery is slow"
    CLIENTS_LEAVE = "many clients disconnect at any byte"
    CLIENTS_BURST = "clients send a burst"
    CLIENTS_CROWD = "idle clients exhaust the sockets"
    CLIENTS_HEAVY = "clients send requests that cost much"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault: its time and duration in seconds, and the parties that it affects."""

    number: int
    kind: Kind
    at: float
    duration: float
    dispatchers: tuple[int, ...] = ()
    workers: tuple[int, ...] = ()
    rules: tuple[Rule, ...] = ()
    step: float = 0.0  # step of the wall clock in seconds, under CLOCK_STEP
    slow_factor: float = 1.0  # factor on the run times of the affected workers, under WORKER_SLOW

    @property
    def until(self) -> float:
        """The time at which the fault ends."""
        return self.at + self.duration


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """The settings that all request classes share: times in seconds, the quota in requests per second."""

    objective: float
    objective_run_factor: float | None  # None: the settings do not name this factor
    deadline: float
    quota: float


@dataclass(frozen=True)
class Plan:
    """The plan of a run."""

    seed: int
    dispatchers: int
    workers: int
    seconds: float
    rate: float  # requests per second for each dispatcher
    terms: Terms
    classes: ClassTerms
    first_run_factor: float  # factor on the run time of each worker's first run
    sockets: int
    connect_timeout: float
    # Whether the test holds the listening sockets and passes them on to the dispatchers.
    inherited_sockets: bool
    membership: bool  # whether members and views are configured
    faults: tuple[Fault, ...] = field(default=())
    program: str = ""  # root of the checkout whose dispatchers run; "" is this checkout

    @property
    def recovery(self) -> float:
        """Seconds from the end of the last fault until the fleet counts as healthy."""
        return _recovery_seconds(self.classes)

    @property
    def faults_end(self) -> float:
        """The time at which the last fault ends."""
        return max((fault.until for fault in self.faults), default=INITIAL_CALM_SECONDS)


_CALL_ERRORS = (
    (Call.ACCEPT, Origin.ANY, (errno.ENFILE, errno.EPROTO)),
    (Call.ACCEPT, Origin.ANY, (errno.ECONNABORTED, errno.ENOBUFS)),
    (Call.ACCEPT, Origin.ANY, (errno.ENFILE, errno.EMFILE)),
    (Call.RECV, Origin.ACCEPTED, (errno.ENOBUFS, errno.ENOMEM)),
    (Call.SEND, Origin.ACCEPTED, (errno.ENOBUFS, errno.ENOMEM)),
    (Call.RECV, Origin.CONNECTED, (errno.ENOBUFS, errno.ETIMEDOUT, errno.EHOSTUNREACH)),
    (Call.SEND, Origin.CONNECTED, (errno.ENOBUFS, errno.ETIMEDOUT, errno.EPIPE)),
    (Call.CONNECT, Origin.ANY, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN)),
    (Call.SOCKET, Origin.ANY, (errno.ENFILE, errno.ENOBUFS)),
)
_MAX_CALL_FAULT_SECONDS = 1.0
# A connection may fail if these calls fail for more than 0.1 s in a row.
_BRIEF_CALLS = (
    Call.RECV,
    Call.SEND,
)


# Combinations of faults at one dispatcher, in quick succession, that exercise code which a rule depends on.
FAULT_COMBINATIONS = (
    (Kind.DISK_ERRS, Kind.KILL),
    (Kind.WORKER_HANGS, Kind.DISK_ERRS, Kind.KILL),
    (Kind.WORKER_HANGS, Kind.KILL, Kind.CLOCK_STEP),
    (Kind.DISK_SLOW, Kind.KILL),
    (Kind.CLOCK_STEP, Kind.WORKER_COLD),
    (Kind.CLOCK_STEP, Kind.WORKER_COLD, Kind.CLIENTS_BURST),
    (Kind.KILL, Kind.CLOCK_STEP),
    (Kind.CLOCK_STEP, Kind.UPGRADE),
    (Kind.CALLS_FAIL, Kind.TERMINATE),
    (Kind.CALLS_FAIL, Kind.RELOAD_INTO_DRAIN),
    (Kind.WORKER_HANGS, Kind.TERMINATE),
    (Kind.WORKER_HANGS, Kind.PAUSE, Kind.CLIENTS_LEAVE),
    (Kind.DISCOVERY_SILENT, Kind.RELOAD, Kind.WORKER_DRAINS),
    (Kind.WORKER_RESETS, Kind.CLIENTS_LEAVE, Kind.SHORT_CALLS),
    (Kind.WORKER_CLOSES_IDLE, Kind.WORKER_TWICE, Kind.PAUSE),
    (Kind.DISCOVERY_SLOW, Kind.WORKER_DRAINS, Kind.WORKER_COLD),
    (Kind.WORKER_SLOW, Kind.CLIENTS_BURST),
    (Kind.WORKER_HANGS, Kind.SIGNALS_IN_SERIES),
    (Kind.CLIENTS_CROWD, Kind.SIGNALS_IN_SERIES),
    (Kind.CLIENTS_CROWD, Kind.TERMINATE),
    (Kind.CLIENTS_HEAVY, Kind.CLIENTS_LEAVE),
    (Kind.CLIENTS_HEAVY, Kind.TERMINATE),
    (Kind.CLIENTS_HEAVY, Kind.UPGRADE),
    (Kind.CLIENTS_LEAVE, Kind.UPGRADE),
    (Kind.CLIENTS_LEAVE, Kind.UPGRADE_KILL),
    (Kind.WORKER_HANGS, Kind.UPGRADE_KILL),
    (Kind.UPGRADE, Kind.PAUSE),
)
COMBINATION_FRACTION = 0.4


def draw(
    seed: int, dispatchers: int = 3, seconds: float = 15.0, leave_out: Sequence[int] = ()
) -> Plan:
    """Returns the plan of a seed, without the faults whose numbers are in `leave_out`."""
    rng = random.Random(seed)
    # A source of its own, so that the rest of a plan does not depend on what is drawn here.
    late_rng = random.Random(f"{seed}/late")
    inherited_sockets = rng.random() < 0.25
    persistent_state = rng.random() < 0.6
    membership = rng.random() < 0.25
    effects = {
        "tour": Effect.IDEMPOTENT,
        "save": Effect.IDEMPOTENT_BY_KEY,
        "once": Effect.NON_IDEMPOTENT,
    }
    classes = _draw_classes(rng)
    terms = Terms(
        effects,
        keyed_window=late_rng.choice(KEYED_WINDOWS_SECONDS),
        keyed_group=late_rng.choice(KEYED_GROUPS),
        keyed_deadline=classes.deadline,
        grace=min(classes.deadline, MAX_GRACE_DEADLINE_SECONDS) + GRACE_AFTER_DEADLINE_SECONDS,
        slots=4,
        run=rng.choice((0.03, 0.06)) if classes.objective >= 0.2 else 0.03,
        start_capacity=0.25,
        warm_after=3.0,
        cold_multiple=rng.choice((1.0, 1.5)),
        cold_window=1.0,
        persistent_state=persistent_state,
        memory_mb=MEMORY_MB,
    )
    workers = max(5, 5 * dispatchers // 3)
    until = INITIAL_CALM_SECONDS + max(
        1.0, seconds - INITIAL_CALM_SECONDS - RECOVERY_SECONDS - FINAL_CALM_SECONDS
    )
    crowded = rng.random() < 0.3
    kinds = [
        kind for kind in Kind if _is_applicable(kind, inherited_sockets, persistent_state, crowded)
    ]
    faults = []
    at = INITIAL_CALM_SECONDS
    while at < until:
        kinds_at_once = [rng.choice(kinds) for _ in range(rng.choice((1, 2, 2, 3)))]
        if rng.random() < COMBINATION_FRACTION:
            kinds_at_once = [kind for kind in rng.choice(FAULT_COMBINATIONS) if kind in kinds]
        main_dispatcher = rng.randrange(dispatchers)
        for position, kind in enumerate(kinds_at_once):
            fault = _draw_fault(
                rng, len(faults), kind, at + 0.3 * position, dispatchers, workers, terms.grace
            )
            if fault.dispatchers:
                fault = replace(fault, dispatchers=(main_dispatcher, *fault.dispatchers[1:]))
            # The run waits for the end of each fault, so none may begin after the span of the faults.
            if fault.at < until:
                faults.append(fault)
        at += rng.uniform(0.5, 1.2)
    connect_timeout = late_rng.choice(CONNECT_TIMEOUTS_SECONDS)
    if late_rng.random() < LATE_SPELL_PROBABILITY:
        faults += _draw_late_spells(late_rng, len(faults), until, dispatchers, workers, terms.grace)
    return Plan(
        seed,
        dispatchers,
        workers,
        seconds,
        rate=80.0 / dispatchers if dispatchers < 8 else 10.0,
        terms=terms,
        classes=classes,
        first_run_factor=rng.choice((1.0, 1.0, 4.0, 8.0)),
        sockets=CROWDED_SOCKETS if crowded else SOCKETS,
        connect_timeout=connect_timeout,
        inherited_sockets=inherited_sockets,
        membership=membership,
        faults=tuple(fault for fault in faults if fault.number not in leave_out),
    )


# Faults that come with late connections: attempts fail, so that requests are sent again, and what may end a
# permission to send them meanwhile.
_LATE_SPELLS = (
    (Kind.WORKER_RESETS,),
    (Kind.WORKER_RESETS, Kind.PAUSE),
    (Kind.WORKER_HANGS, Kind.CLIENTS_LEAVE),
    (Kind.WORKER_RESETS, Kind.CLIENTS_LEAVE, Kind.PAUSE),
    (Kind.WORKER_HALF, Kind.RELOAD),
    (Kind.WORKER_RESETS, Kind.WORKER_UNREAD),
)


def _draw_late_spells(
    rng: random.Random, number: int, until: float, dispatchers: int, workers: int, grace: float
) -> list[Fault]:
    """Draws spells in which connections come up late and kept ones break, with other faults."""
    faults: list[Fault] = []
    at = INITIAL_CALM_SECONDS + rng.uniform(0.0, 0.5)
    while at < until:
        affected = tuple(sorted(rng.sample(range(workers), rng.choice((2, workers - 1, workers)))))
        all_dispatchers = tuple(range(dispatchers))
        duration = rng.uniform(*LATE_SECONDS)
        for kind in (Kind.WORKER_FORGETS, Kind.WORKER_LATE, *rng.choice(_LATE_SPELLS)):
            begins = at + (rng.uniform(0.0, duration) if kind in (Kind.PAUSE, Kind.RELOAD) else 0.0)
            length = _duration_at_process(kind, grace) or duration
            faults.append(
                Fault(number + len(faults), kind, begins, length, all_dispatchers, affected)
            )
        at += duration + rng.uniform(*LATE_SPELL_INTERVAL_SECONDS)
    return [fault for fault in faults if fault.at < until]


def _draw_classes(rng: random.Random) -> ClassTerms:
    return ClassTerms(
        objective=rng.choice((0.08, 0.15, 0.25, 0.4, 0.8)),
        objective_run_factor=rng.choice((None, 0.0, 0.5, 1.0, 2.0)),
        deadline=rng.choice((1.2, 2.5, 5.0)),
        quota=rng.choice((1e5, 1e5, 40.0)),
    )


def _recovery_seconds(classes: ClassTerms) -> float:
    return RECOVERY_SECONDS * max(1.0, classes.objective / RECOVERY_OBJECTIVE_SECONDS)


def _is_applicable(
    kind: Kind, inherited_sockets: bool, persistent_state: bool, crowded: bool
) -> bool:
    if kind in (Kind.WORKER_LATE, Kind.WORKER_FORGETS):
        return False  # drawn apart
    if kind in (Kind.UPGRADE, Kind.UPGRADE_KILL):
        return inherited_sockets
    if kind is Kind.CLIENTS_CROWD:
        return crowded
    if kind in (Kind.TERMINATE, Kind.KILL, Kind.RELOAD_INTO_DRAIN, Kind.SIGNALS_IN_SERIES):
        # With inherited sockets, connections would wait in the backlog while no process accepts them.
        return not inherited_sockets
    return persistent_state or kind not in (Kind.DISK_ERRS, Kind.DISK_SLOW)


def _draw_fault(
    rng: random.Random,
    number: int,
    kind: Kind,
    at: float,
    dispatchers: int,
    workers: int,
    grace: float,
) -> Fault:
    at += rng.uniform(0.0, 0.5)
    duration = rng.uniform(0.3, 2.0)
    affected_dispatchers = tuple(
        sorted(rng.sample(range(dispatchers), rng.choice((1, 1, min(2, dispatchers)))))
    )
    affected_workers = tuple(sorted(rng.sample(range(workers), rng.choice((1, 1, 2)))))
    process_duration = _duration_at_process(kind, grace)
    if process_duration is not None:
        return Fault(number, kind, at, process_duration, affected_dispatchers[:1])
    if kind is Kind.CLOCK_STEP:
        step = rng.choice((-3600.0, 3600.0, -5.0, 5.0, -0.7))
        return Fault(number, kind, at, 0.1, step=step)
    if kind is Kind.CALLS_FAIL:
        rule = _draw_failing_call(rng)
        max_duration = 0.1 if rule.call in _BRIEF_CALLS else _MAX_CALL_FAULT_SECONDS
        return Fault(
            number, kind, at, rng.uniform(0.05, max_duration), affected_dispatchers, rules=(rule,)
        )
    slow_factor = 1.0
    if kind is Kind.WORKER_SLOW:
        slow_factor, duration = rng.uniform(1.0, 10.0), duration + 1.0
        affected_workers = rng.choice((affected_workers, tuple(range(workers))))
    rules = _draw_call_rules(rng, kind)
    return Fault(
        number,
        kind,
        at,
        duration,
        affected_dispatchers,
        affected_workers,
        rules,
        slow_factor=slow_factor,
    )


def _duration_at_process(kind: Kind, grace: float) -> float | None:
    """Returns the duration, in seconds, of a fault of one dispatcher's process; None for other faults."""
    if kind is Kind.PAUSE:
        return 0.15
    if kind in (
        Kind.TERMINATE,
        Kind.RELOAD_INTO_DRAIN,
        Kind.UPGRADE,
        Kind.SIGNALS_IN_SERIES,
    ):
        return grace + 1.0
    if kind is Kind.UPGRADE_KILL:
        return UPGRADE_KILL_SECONDS
    return 1.0 if kind in (Kind.KILL, Kind.RELOAD) else None


def _draw_failing_call(rng: random.Random) -> Rule:
    call, origin, errors = rng.choice(_CALL_ERRORS)
    return Rule(call, origin, rng.choice(errors), chance=rng.choice((0.3, 1.0, 1.0)))


def _draw_call_rules(rng: random.Random, kind: Kind) -> tuple[Rule, ...]:
    """Returns the rules for system calls of a kind of fault, none if the kind has none."""
    if kind is Kind.SHORT_CALLS:
        return tuple(Rule(call, max_bytes=rng.choice((1, 3, 50))) for call in _BRIEF_CALLS)
    if kind is Kind.DISK_SLOW:
        return (Rule(Call.SYNC, slow_ms=80),)
    if kind is Kind.DISK_ERRS:
        all_rules = (
            Rule(Call.SYNC, error=errno.EIO, chance=rng.choice((0.3, 1.0))),
            Rule(Call.PWRITE, error=rng.choice((errno.EIO, errno.ENOSPC)), chance=0.7),
            Rule(Call.PWRITE, max_bytes=7),
        )
        return tuple(rng.sample(all_rules, rng.choice((1, 2))))
    return ()


def overlapping(faults: Sequence[Fault]) -> Counter[tuple[str, str]]:
    """Returns the number of overlaps of each pair of kinds of faults."""
    return Counter(
        tuple(sorted((one.kind.name, other.kind.name)))
        for one, other in combinations(faults, 2)
        if one.at < other.until and other.at < one.until
    )
