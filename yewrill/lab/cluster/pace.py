"""A scaled clock for test clusters on a busy machine, and repetition of runs that were starved of CPU time.

All processes of a test cluster (the test rig and its dispatchers) use a clock that runs slower than real
time by one factor, the pace, which is measured before the run. Timeouts, settings and the auditor's limits
are unchanged, but a busy machine gets more real time for them. The event loops report when they are late. A
run that failed and whose loops were late by too much was starved of CPU time and is repeated, slower.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import h11
import trio

from yewrill.lab.cluster.history import Line

# Real time that the work of `measured_slowdown` takes on an idle machine.
IDLE_MACHINE_SECONDS = 0.13
# The slowest pace, in real seconds per second of the scaled clock.
MAX_PACE = 64.0
# A machine counts as idle if the work takes up to this multiple of IDLE_MACHINE_SECONDS.
IDLE_TOLERANCE = 1.3
# Shortest lateness that an event loop reports.
REPORTED_LATENESS_SECONDS = 0.1
# A test cluster was starved of CPU time if one event loop was late by the first limit once,
# or if the lateness of all its event loops reached the second limit in total.
STARVED_AT_ONCE_SECONDS = 0.4
STARVED_IN_TOTAL_SECONDS = 2.5
# A run is aborted once the lateness of all its loops has reached this total.
ABORT_LATENESS_SECONDS = 10.0
# Limit on the pace of a first run, because one short measurement may be far too high.
MAX_FIRST_PACE = 4.0
# Margin on the measured slowdown of a shared machine, whose load varies.
SHARED_MACHINE_FACTOR = 1.5
MAX_RUNS = 5
# The text before the seconds in a dispatcher's report on standard error.
LATENESS_PREFIX = "rig-late "


class ScaledClock(trio.abc.Clock):
    """A clock that runs `pace` times slower than real time, in step in all processes of this machine.

    `since` is the system time at which `wall` agrees with it.
    """

    def __init__(self, pace: float = 1.0, since: float | None = None):
        self.pace, self.since = pace, time.time() if since is None else since
        self._monotonic, self._wall = time.monotonic, time.time

    def start_clock(self) -> None:
        """Does nothing: the clock always runs. trio calls this when the event loop starts."""
        pass

    def current_time(self) -> float:
        """Returns the scaled monotonic time, in seconds."""
        return self._monotonic() / self.pace

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Returns the real seconds until a time of this clock."""
        return (deadline - self.current_time()) * self.pace

    def wall(self) -> float:
        """Returns the scaled time of day, in seconds since the epoch."""
        return self.since + (self._wall() - self.since) / self.pace


def current_clock() -> ScaledClock:
    """Returns the scaled clock that the event loop uses, or one at normal speed if it uses none."""
    running_clock = trio.lowlevel.current_clock()
    return running_clock if isinstance(running_clock, ScaledClock) else ScaledClock()


class LatenessInstrument(trio.abc.Instrument):
    """Reports, in seconds, how late the event loop woke up, and how long it ran without waiting for I/O."""

    def __init__(self, clock: ScaledClock, report: Callable[[float], object]):
        self._clock, self._report = clock, report
        self._wake_due = float("inf")
        self._woke_at: float | None = None

    def before_io_wait(self, timeout: float) -> None:
        """Reports how long the loop ran since it woke up, if longer than REPORTED_LATENESS_SECONDS."""
        now = self._clock.current_time()
        if self._woke_at is not None and now - self._woke_at > REPORTED_LATENESS_SECONDS:
            self._report(now - self._woke_at)
        self._wake_due = now + timeout / self._clock.pace

    def after_io_wait(self, timeout: float) -> None:
        """Reports by how much the loop woke up late, if more than REPORTED_LATENESS_SECONDS."""
        self._woke_at = now = self._clock.current_time()
        if now - self._wake_due > REPORTED_LATENESS_SECONDS:
            self._report(now - self._wake_due)


class Starved(Exception):
    """The test cluster did not get enough CPU time."""


async def abort_when_starved(lines: list[Line]) -> None:
    """Raises Starved once the loops were late by ABORT_LATENESS_SECONDS in total."""
    while (late := starved_seconds(lines)) < ABORT_LATENESS_SECONDS:
        await trio.sleep(2.0)
    raise Starved(f"{late:.1f} s late")


def starved_seconds(history: Iterable[Line]) -> float:
    """Returns the total lateness of a test cluster's loops in seconds; 0.0 if it was not starved.

    Lateness is ignored before the first request, when processes start, and right after a process was resumed
    from a pause that the scenario ordered.
    """
    history = list(history)
    begun_at = next((line["at"] for line in history if line["what"] == "sent"), 0.0)
    resumed = [line for line in history if line["what"] == "resume"]
    late = [
        line["seconds"]
        for line in history
        if line["what"] == "late"
        and line["at"] >= begun_at
        and not any(
            other["by"] == line["by"] and 0.0 <= line["at"] - other["at"] < 1.0 for other in resumed
        )
    ]
    return (
        sum(late)
        if late and (max(late) >= STARVED_AT_ONCE_SECONDS or sum(late) >= STARVED_IN_TOTAL_SECONDS)
        else 0.0
    )


def measured_slowdown() -> float:
    """Measures how many times slower than when idle this machine does work like the rig's.

    The work is small HTTP messages with short sleeps in between. Takes about IDLE_MACHINE_SECONDS.
    """
    begun_at = time.monotonic()
    head = h11.Request(
        method="POST", target="/tour", headers=[("Host", "x"), ("Content-Length", "0")]
    )
    for _ in range(60):
        time.sleep(0.001)
        for _ in range(15):
            client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
            server.receive_data(client.send(head) + client.send(h11.EndOfMessage()))
            while not isinstance(server.next_event(), h11.EndOfMessage):
                pass
    slower = (time.monotonic() - begun_at) / IDLE_MACHINE_SECONDS
    return 1.0 if slower < IDLE_TOLERANCE else min(MAX_FIRST_PACE, SHARED_MACHINE_FACTOR * slower)


# The pace that earlier test clusters of this process were found to need.
_min_pace = 1.0


def run_until_not_starved(
    name: str, run: Callable[[ScaledClock], tuple[bool, Any, list[Line]]]
) -> Any:
    """Returns the result of `run`, which returns whether it succeeded, its result and the history.

    A run that failed and was starved is repeated at a slower pace, with a note on standard error. Raises
    Starved if MAX_RUNS runs were starved.
    """
    global _min_pace
    for number in range(1, MAX_RUNS + 1):
        clock = ScaledClock(max(measured_slowdown(), _min_pace))
        succeeded, result, history = run(clock)
        late = starved_seconds(history)
        if succeeded or not late:
            return result
        _min_pace = min(MAX_PACE, 2.0 * clock.pace)
        print(
            f"{name}: starved at pace {clock.pace:.1f}, {late:.1f} s late in all; "
            + (f"played again at {_min_pace:.1f}" if number < MAX_RUNS else "given up"),
            file=sys.stderr,
        )
    raise Starved(f"{name}: starved in {MAX_RUNS} runs, the last at pace {clock.pace:.1f}")
