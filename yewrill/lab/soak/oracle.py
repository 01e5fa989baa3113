"""Checks the history of a run against the guarantees of a dispatcher. The oracle does no I/O, reads no clock
and uses no random numbers.

The only exceptions are those of the protocol: a request whose dispatcher was killed meanwhile, one whose
client left, and one on a reused connection that was closed before any of it was forwarded (its client sends
it again). All times are seconds of the monotonic clock. CLOCK_SLACK_SECONDS allows for lateness of the test.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from yewrill.lab.soak.events import (
    Attempt,
    AttemptEnd,
    Effect,
    History,
    ProcessEvent,
    ProcessState,
    Request,
    RequestEnd,
    SlowStart,
)

ANSWER_SLACK_SECONDS = 0.5  # time after the client's timeout until which an answer is in time
# Time after a client has left during which an attempt of its request may still begin.
LEFT_SLACK_SECONDS = 0.1
# Largest amount by which the time limit sent to a worker may exceed the client's remaining time.
DEADLINE_SLACK_SECONDS = 0.15
# Time within which a client that stops sending must get an error or a close.
STALL_LIMIT_SECONDS = 3.0
CLOCK_SLACK_SECONDS = 0.06
# Time after the idempotency window that the protocol allows for delays on sockets.
WINDOW_SLACK_SECONDS = 0.05
# Time for which a process may be held up while a repeat is still in time.
HOLD_UP_SECONDS = 0.15
READY_LIMIT_SECONDS = 10.0
# Smallest client timeout with which a healthy fleet serves every request.
SERVED_CLIENT_TIMEOUT_SECONDS = 0.6


class Rule(Enum):
    """The guarantees of a dispatcher."""

    ANSWER = "every request gets its one final answer in time"
    ONE_ANSWER = "no request gets two answers"
    NOT_CLOSED = "no request is closed without an answer"
    STOPPED = "a client that stops in the middle of a request gets an error or a close within 3 s"
    LEFT = "no attempt begins more than 0.1 s after its client left"
    OVERLAP = "attempts of one request never overlap"
    UNSAFE_ONCE = "a job that is not idempotent runs once"
    KEYED_WINDOW = "a job that is idempotent by key is not sent again after its window"
    KEYED_GROUP = (
        "a job that is idempotent by key is sent again only where its repeats are detected"
    )
    REFUSED_RAN = "a job whose request was rejected has not run"
    TOLD_TIME = "a worker is told no more time than its client has left"
    COLD_BUDGET = "a cold worker gets no more requests than its slow start allows"
    CLEAN_EXIT = "a drain ends within its grace with status 0"
    CRASH = "no process ends without a signal"
    READY = "a process is ready in time"
    WELL_FLEET = "a healthy fleet at half load rejects nothing"
    MEMORY = "a process stays under its memory limit"
    OWN_CHECK = "no dispatcher logs a rule violation of its own"


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, two observations that contradict each other, and their subject.

    `subject` is the id of a request or the name of a process.
    """

    rule: Rule
    subject: str
    first: str
    second: str


@dataclass(frozen=True, slots=True)
class Terms:
    """The settings that the oracle depends on. Times are in seconds."""

    effects: dict[str, Effect]
    keyed_window: float
    grace: float
    slots: int
    run: float
    start_capacity: float
    warm_after: float
    cold_multiple: float
    cold_window: float
    persistent_state: bool = False
    memory_mb: int = 192
    # The workers that detect repeats of a key: "all" of them, or those of a "cell".
    keyed_group: str = "all"
    keyed_deadline: float = 3.0  # a client repeats a key within this time after its first request


def judge(history: History, terms: Terms) -> list[Breach]:
    """Returns every breach in a history."""
    indexed = _IndexedHistory(history, terms)
    checks: Iterable[Callable[[_IndexedHistory], Iterator[Breach]]] = (
        _check_answers,
        _check_left,
        _check_overlap,
        _check_non_idempotent,
        _check_keyed,
        _check_rejected,
        _check_announced_timeouts,
        _check_slow_starts,
        _check_processes,
        _check_healthy_fleet,
        _check_memory,
        _check_violations,
    )
    return [breach for check in checks for breach in check(indexed)]


class _IndexedHistory:
    """A history with its requests and attempts by id, and the pauses of its processes."""

    def __init__(self, history: History, terms: Terms):
        self.history, self.terms = history, terms
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(history.attempts, key=lambda each: each.begun_at):
            self.attempts[attempt.id].append(attempt)
        self.by_id: dict[str, list[Request]] = defaultdict(list)
        for request in history.requests:
            self.by_id[request.id].append(request)
        self.pauses = list(_pauses(history.process_events))

    def killed_during(self, request: Request) -> bool:
        """Returns whether a process of the request's dispatcher was killed while the request was open.

        SIGTERM is no excuse: a process that ends by it and leaves a request unanswered breaks a rule.
        """
        kills = [
            e.at
            for e in self.history.process_events
            if e.state is ProcessState.KILLED and e.dispatcher == request.dispatcher
        ]
        return any(
            request.begun_at - CLOCK_SLACK_SECONDS <= at <= request.finished + CLOCK_SLACK_SECONDS
            for at in kills
        )

    def paused(self, dispatcher: str, since: float, until: float) -> float:
        """Returns the seconds of a span in which a dispatcher was paused."""
        return sum(
            max(0.0, min(until, end) - max(since, begin))
            for name, begin, end in self.pauses
            if name == dispatcher
        )


def _pauses(process_events: list[ProcessEvent]) -> Iterator[tuple[str, float, float]]:
    stopped: dict[int, float] = {}
    for event in process_events:
        if event.state is ProcessState.PAUSED:
            stopped[event.pid] = event.at
        elif event.state is ProcessState.RESUMED and event.pid in stopped:
            yield event.dispatcher, stopped.pop(event.pid), event.at


def _describe(record: Request | Attempt) -> str:
    if isinstance(record, Request):
        sent = "unsent" if record.sent is None else f"sent at {record.sent:.3f}"
        end = record.end.value if record.end else "open"
        return (
            f"request {record.id} ({record.kind}, key {record.key}, timeout {record.client_timeout:g} s) at "
            f"{record.dispatcher}{' on a reused connection' if record.reused_connection else ''}: "
            f"{sent}, {end} {record.status or ''} at {record.finished:.3f}"
        )
    end = (
        f"{record.end.value} at {record.finished:.3f}" if record.end and record.finished else "open"
    )
    received = (
        "never received in full"
        if record.received_at is None
        else f"received at {record.received_at:.3f}"
    )
    return (
        f"attempt {record.id} (key {record.key}) at {record.worker}: begun at {record.begun_at:.3f}, "
        f"{received}, with a timeout of {record.announced_timeout:.3f} s, {end}"
    )


def _check_answers(indexed: _IndexedHistory) -> Iterator[Breach]:
    for request in indexed.history.requests:
        if request.answers > 1:
            yield Breach(
                Rule.ONE_ANSWER, request.id, _describe(request), f"{request.answers} answers"
            )
        if (
            request.stalls
            and request.finished > request.begun_at + STALL_LIMIT_SECONDS + CLOCK_SLACK_SECONDS
        ):
            yield Breach(
                Rule.STOPPED, request.id, _describe(request), f"begun at {request.begun_at:.3f}"
            )
        if request.sent is None or request.end in (RequestEnd.LEFT, RequestEnd.NOT_TAKEN):
            continue
        if indexed.killed_during(request):
            continue
        due = request.sent + request.client_timeout + ANSWER_SLACK_SECONDS + CLOCK_SLACK_SECONDS
        if request.end is RequestEnd.CLOSED:
            before = _attempts_of(indexed, request)
            if not request.well_formed or (request.reused_connection and not before):
                continue
            other = _describe(before[0]) if before else "nothing was forwarded"
            yield Breach(Rule.NOT_CLOSED, request.id, _describe(request), other)
        elif request.end is not RequestEnd.ANSWERED or request.finished > due:
            yield Breach(Rule.ANSWER, request.id, _describe(request), f"due by {due:.3f}")


def _attempts_of(indexed: _IndexedHistory, request: Request) -> list[Attempt]:
    """Returns the attempts of one send of a request.

    Attempts that were not received in full carry no send number: the time at which they began decides.
    """
    return [
        attempt
        for attempt in indexed.attempts[request.id]
        if attempt.send_number == request.send_number
        or (attempt.send_number == 0 and attempt.begun_at <= request.finished + CLOCK_SLACK_SECONDS)
    ]


def _check_left(indexed: _IndexedHistory) -> Iterator[Breach]:
    for id, attempts in indexed.attempts.items():
        requests = indexed.by_id.get(id, [])
        disconnected = [r for r in requests if r.end is RequestEnd.LEFT]
        if not disconnected or len(disconnected) < len(requests):
            continue
        left = max(disconnected, key=lambda request: request.finished)
        for attempt in attempts:
            allowed = LEFT_SLACK_SECONDS + CLOCK_SLACK_SECONDS
            allowed += indexed.paused(left.dispatcher, left.finished, attempt.begun_at)
            if attempt.begun_at > left.finished + allowed:
                yield Breach(Rule.LEFT, id, _describe(left), _describe(attempt))


def _check_overlap(indexed: _IndexedHistory) -> Iterator[Breach]:
    for id, attempts in indexed.attempts.items():
        received = [a for a in attempts if a.received_at is not None and not a.stale]
        for first, second in zip(received, received[1:], strict=False):
            if first.finished is None or first.finished > second.received_at + CLOCK_SLACK_SECONDS:
                yield Breach(Rule.OVERLAP, id, _describe(first), _describe(second))


def _may_have_run(attempt: Attempt) -> bool:
    return attempt.received_at is not None and attempt.end is not AttemptEnd.REJECTED


def _by_key(indexed: _IndexedHistory, idempotency: Effect) -> Iterator[list[Attempt]]:
    record: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in indexed.history.attempts:
        if indexed.terms.effects.get(attempt.kind) is idempotency and _may_have_run(attempt):
            record[attempt.key].append(attempt)
    for attempts in record.values():
        yield sorted(attempts, key=lambda each: each.begun_at)


def _check_non_idempotent(indexed: _IndexedHistory) -> Iterator[Breach]:
    for attempts in _by_key(indexed, Effect.NON_IDEMPOTENT):
        if len(attempts) > 1:
            yield Breach(
                Rule.UNSAFE_ONCE, attempts[1].id, _describe(attempts[0]), _describe(attempts[1])
            )


def _check_keyed(indexed: _IndexedHistory) -> Iterator[Breach]:
    for attempts in _by_key(indexed, Effect.IDEMPOTENT_BY_KEY):
        for attempt in attempts[1:]:
            if _is_new_request(indexed, attempts[0], attempt):
                continue
            after = attempt.arrived_at - attempts[0].begun_at
            if after > _window_limit(indexed, attempts[0], attempt):
                yield Breach(
                    Rule.KEYED_WINDOW, attempt.id, _describe(attempts[0]), _describe(attempt)
                )
            elif indexed.terms.keyed_group == "cell" and attempt.cell != attempts[0].cell:
                yield Breach(
                    Rule.KEYED_GROUP, attempt.id, _describe(attempts[0]), _describe(attempt)
                )


def _is_new_request(indexed: _IndexedHistory, first: Attempt, attempt: Attempt) -> bool:
    """Returns whether a key came again, under another id, after its client could have repeated it."""
    known_for = max(indexed.terms.keyed_window, indexed.terms.keyed_deadline)
    return attempt.id != first.id and attempt.begun_at - first.begun_at > known_for


def _window_limit(indexed: _IndexedHistory, first: Attempt, attempt: Attempt) -> float:
    """Returns the longest allowed time from an attempt's first byte to the last byte of a repeat of it."""
    limit = indexed.terms.keyed_window + WINDOW_SLACK_SECONDS + CLOCK_SLACK_SECONDS
    request = indexed.by_id[attempt.id][-1]
    paused = indexed.paused(request.dispatcher, first.begun_at, attempt.arrived_at)
    return limit + max(0.0, paused - HOLD_UP_SECONDS)


def _check_rejected(indexed: _IndexedHistory) -> Iterator[Breach]:
    for request in indexed.history.requests:
        if (
            request.status not in (429, 503)
            or indexed.terms.effects.get(request.kind) is Effect.IDEMPOTENT
        ):
            continue
        keyed = indexed.terms.effects.get(request.kind) is Effect.IDEMPOTENT_BY_KEY
        if keyed and indexed.terms.keyed_group == "all":
            # Workers discard repetitions within the window, so an attempt that ran does no harm.
            continue
        for attempt in indexed.attempts[request.id]:
            if _may_have_run(attempt) and attempt.begun_at <= request.finished:
                yield Breach(Rule.REFUSED_RAN, request.id, _describe(request), _describe(attempt))


def _check_announced_timeouts(indexed: _IndexedHistory) -> Iterator[Breach]:
    for id, attempts in indexed.attempts.items():
        requests = [r for r in indexed.by_id.get(id, []) if r.sent is not None]
        if not requests:
            continue
        for attempt in attempts:
            rest = max(
                request.sent + request.client_timeout - attempt.begun_at for request in requests
            )
            request = requests[-1]
            allowed = DEADLINE_SLACK_SECONDS + CLOCK_SLACK_SECONDS
            allowed += indexed.paused(request.dispatcher, request.begun_at, attempt.begun_at)
            if attempt.announced_timeout > max(0.0, rest) + allowed:
                yield Breach(
                    Rule.TOLD_TIME,
                    id,
                    f"{_describe(request)}: {rest:.3f} s left",
                    _describe(attempt),
                )


def allowed_when_cold(terms: Terms, age: float) -> float:
    """Returns the number of requests that a cold worker may get in one window that ends at this age."""
    warm = terms.start_capacity + (1.0 - terms.start_capacity) * min(1.0, age / terms.warm_after)
    n = terms.cold_multiple * warm * terms.slots / terms.run * terms.cold_window
    return n + 3.0 * math.sqrt(n) + 3.0 if n < 30.0 else n + 2.0 * math.sqrt(n) + 2.0


def _check_slow_starts(indexed: _IndexedHistory) -> Iterator[Breach]:
    terms = indexed.terms
    for start in indexed.history.slow_starts:
        yield from _check_slow_start(indexed, terms, start)


def _check_slow_start(indexed: _IndexedHistory, terms: Terms, start: SlowStart) -> Iterator[Breach]:
    later = [
        c.at for c in indexed.history.slow_starts if c.worker == start.worker and c.at > start.at
    ]
    until = min([start.at + terms.warm_after, *later])
    times = sorted(
        a.begun_at
        for a in indexed.history.attempts
        if a.worker == start.worker and start.at <= a.begun_at <= until
    )
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > terms.cold_window:
            first += 1
        allowed = allowed_when_cold(terms, at - start.at)
        if last - first + 1 > allowed:
            yield Breach(
                Rule.COLD_BUDGET,
                start.worker,
                f"{start.worker} began cold at {start.at:.3f}, {allowed:.1f} allowed",
                f"{last - first + 1} attempts from {times[first]:.3f} to {at:.3f}",
            )
            return


def _check_processes(indexed: _IndexedHistory) -> Iterator[Breach]:
    by_pid: dict[int, dict[ProcessState, ProcessEvent]] = defaultdict(dict)
    for event in indexed.history.process_events:
        by_pid[event.pid].setdefault(event.state, event)
    for process_events in by_pid.values():
        yield from _check_process(indexed, process_events)


def _check_process(
    indexed: _IndexedHistory, process_events: dict[ProcessState, ProcessEvent]
) -> Iterator[Breach]:
    started = process_events[ProcessState.STARTED]
    name, finished = started.dispatcher, process_events.get(ProcessState.EXITED)
    terminated = process_events.get(ProcessState.TERMINATED)
    killed = process_events.get(ProcessState.KILLED)
    ready = process_events.get(ProcessState.READY)
    ended_at = (
        min(e.at for e in (terminated, killed, finished) if e is not None)
        if (terminated or killed or finished)
        else None
    )
    if ready is None and (ended_at is None or ended_at - started.at > READY_LIMIT_SECONDS):
        yield Breach(Rule.READY, name, f"started at {started.at:.3f}", "never ready")
    elif ready is not None and ready.at - started.at > READY_LIMIT_SECONDS:
        yield Breach(Rule.READY, name, f"started at {started.at:.3f}", f"ready at {ready.at:.3f}")
    if terminated is not None and not (
        killed is not None and killed.at < terminated.at + indexed.terms.grace
    ):
        pause = indexed.paused(name, terminated.at, terminated.at + indexed.terms.grace + 1.0)
        if (
            finished is None
            or finished.code != 0
            or finished.at - terminated.at > indexed.terms.grace + pause + CLOCK_SLACK_SECONDS
        ):
            end = (
                "never ended"
                if finished is None
                else f"ended with {finished.code} at {finished.at:.3f}"
            )
            yield Breach(Rule.CLEAN_EXIT, name, f"SIGTERM at {terminated.at:.3f}", end)
    elif terminated is None and killed is None and finished is not None:
        yield Breach(
            Rule.CRASH,
            name,
            f"started at {started.at:.3f}",
            f"ended with {finished.code} at {finished.at:.3f}",
        )


def _check_healthy_fleet(indexed: _IndexedHistory) -> Iterator[Breach]:
    for request in indexed.history.requests:
        if request.sent is None or request.status not in (429, 503) or not request.well_formed:
            continue
        if request.client_timeout < SERVED_CLIENT_TIMEOUT_SECONDS:
            continue
        for begin, end in indexed.history.calm_spans:
            if begin <= request.sent and request.finished <= end:
                yield Breach(
                    Rule.WELL_FLEET,
                    request.id,
                    _describe(request),
                    f"calm from {begin:.3f} to {end:.3f}",
                )


def _check_memory(indexed: _IndexedHistory) -> Iterator[Breach]:
    limit = indexed.terms.memory_mb
    for name, peak in indexed.history.peak_memory_mb.items():
        if peak > limit:
            yield Breach(Rule.MEMORY, name, f"{peak:.0f} MB", f"a limit of {limit} MB")


def _check_violations(indexed: _IndexedHistory) -> Iterator[Breach]:
    for line in indexed.history.violations:
        yield Breach(
            Rule.OWN_CHECK, line.split()[0] if line else "", line, "in the dispatcher's log"
        )
