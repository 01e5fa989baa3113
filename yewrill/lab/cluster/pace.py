"""The rig's time: as many times slower than the wall's as this machine is now.

Every process of an installation, the rig and its dispatchers, counts seconds of one length: so many of the
wall's as the rig has found this machine to need. What is late on a busy machine by the wall is in time by
these; deadlines, spans and the settings stay what they are, and so does what the auditor asserts. Where an
installation was starved all the same, which its own loops notice, it says so and is played again, slower.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import h11
import trio

from yewrill.lab.cluster.history import Line

ALONE = (
    0.13  # seconds of the wall that `measured_slowdown` takes on a machine with nothing else to do
)
MOST = 64.0  # the slowest pace
FIRMLY = 1.3  # times ALONE, up to which a machine counts as one with nothing else to do
TOLD = 0.1  # seconds by which a loop is late before it says so
LATE, OFTEN = (
    0.4,
    2.5,
)  # seconds late at once, and in all, from which on an installation was starved
HOPELESS = 10.0  # seconds late in all, from which on an installation is given up before its end
FIRST = 4.0  # the slowest pace to begin with: what a moment measures may be far too much
MARGIN = 1.5  # times what a machine measures when others are on it: those do not stand still
TRIES = 5
WORD = "rig-late "  # before the seconds, on a dispatcher's standard error


class ScaledClock(trio.abc.Clock):
    """A clock whose seconds are `pace` of the wall's, the same in all processes of this machine.
    `since`: the wall's time at which its own wall clock shows the same."""

    def __init__(self, pace: float = 1.0, since: float | None = None):
        self.pace, self.since = pace, time.time() if since is None else since
        self._monotonic, self._wall = time.monotonic, time.time

    def start_clock(self) -> None:
        pass

    def current_time(self) -> float:
        return self._monotonic() / self.pace

    def deadline_to_sleep_time(self, deadline: float) -> float:
        return (deadline - self.current_time()) * self.pace

    def wall(self) -> float:
        return self.since + (self._wall() - self.since) / self.pace


def clock() -> ScaledClock:
    """The one that this installation goes by."""
    found = trio.lowlevel.current_clock()
    return found if isinstance(found, ScaledClock) else ScaledClock()


class Lateness(trio.abc.Instrument):
    """Tells by how much a loop woke later than it should have, or worked without looking up. Seconds."""

    def __init__(self, slow: ScaledClock, tell: Callable[[float], object]):
        self._slow, self._tell = slow, tell
        self._due = float("inf")
        self._woke: float | None = None

    def before_io_wait(self, timeout: float) -> None:
        now = self._slow.current_time()
        if self._woke is not None and now - self._woke > TOLD:
            self._tell(now - self._woke)
        self._due = now + timeout / self._slow.pace

    def after_io_wait(self, timeout: float) -> None:
        self._woke = now = self._slow.current_time()
        if now - self._due > TOLD:
            self._tell(now - self._due)


class Starved(Exception):
    """An installation that does not get what it needs."""


async def watch(lines: list[Line]) -> None:
    """Raises Starved as soon as it is hopeless."""
    while (late := starved(lines)) < HOPELESS:
        await trio.sleep(2.0)
    raise Starved(f"{late:.1f} s late")


def starved(history: Iterable[Line]) -> float:
    """By how many seconds in all the loops of an installation were late; 0.0 if it had what it needs. Who is
    stopped on purpose is late by that, and who starts has nothing to be late for."""
    history = list(history)
    began = next((line["at"] for line in history if line["what"] == "sent"), 0.0)
    resumed = [line for line in history if line["what"] == "resume"]
    late = [
        line["seconds"]
        for line in history
        if line["what"] == "late"
        and line["at"] >= began
        and not any(
            other["by"] == line["by"] and 0.0 <= line["at"] - other["at"] < 1.0 for other in resumed
        )
    ]
    return sum(late) if late and (max(late) >= LATE or sum(late) >= OFTEN) else 0.0


def measured_slowdown() -> float:
    """How many times slower than one with nothing else to do this machine is for work like the rig's: small
    pieces, with a sleep between."""
    began = time.monotonic()
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
    slower = (time.monotonic() - began) / ALONE
    return 1.0 if slower < FIRMLY else min(FIRST, MARGIN * slower)


_learned = 1.0  # what an installation of this process was found to need


def patiently(name: str, play: Callable[[ScaledClock], tuple[bool, Any, list[Line]]]) -> Any:
    """What came of `play`, which returns whether all was well, what came of it and its history. Where it was
    not and the installation was starved, it is played again, slower, and that is said. Raises Starved where
    no pace was slow enough."""
    global _learned
    for tries in range(1, TRIES + 1):
        slow = ScaledClock(max(measured_slowdown(), _learned))
        well, outcome, history = play(slow)
        late = starved(history)
        if well or not late:
            return outcome
        _learned = min(MOST, 2.0 * slow.pace)
        print(
            f"{name}: starved at pace {slow.pace:.1f}, {late:.1f} s late in all; "
            + (f"played again at {_learned:.1f}" if tries < TRIES else "given up"),
            file=sys.stderr,
        )
    raise Starved(f"{name}: {TRIES} times, at last at pace {slow.pace:.1f}")
