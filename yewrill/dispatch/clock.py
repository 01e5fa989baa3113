"""The decision engine's clock, and the timers that the decision module sets on it. Milliseconds."""

from __future__ import annotations

import math
import time
from heapq import heappop, heappush

import trio

from yewrill.dispatch.start_times import StartTimes

# The clock starts here, not at 0: a worker's start shortly before ours must come out above 0, which the
# decision module reads as "long ago".
CLOCK_START_MS = 1_000_000.0


class Clock:
    """A monotonic clock on the event loop's time, and workers' starts by it."""

    def __init__(self) -> None:
        self._base = trio.current_time() - CLOCK_START_MS / 1000.0
        self._starts = StartTimes(time.time() * 1000.0, self.now())

    def now(self) -> float:
        """The time now."""
        return (trio.current_time() - self._base) * 1000.0

    def loop_time(self, at: float) -> float:
        """The event loop's time, in seconds, for a time of this clock."""
        return self._base + at / 1000.0

    def wall_time(self, at: float) -> float:
        """The wall clock's time for a time of this clock, as both last stood."""
        return self._starts.offset + at

    def compare_with_wall_clock(self) -> None:
        """Note how the wall clock stands, for the starts that are asked for next."""
        self._starts.note(time.time() * 1000.0, self.now())

    def worker_start(self, worker: str, started_ms: float) -> float:
        """When a worker started, from its start by the wall clock; 0 for long ago.

        The decision module takes any change of this for a restart."""
        started = self._starts.started(worker, started_ms, self.now())
        return 0.0 if started is None else max(1.0, started)


class Timers:
    """Tokens by the time at which they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def set(self, at: float, token: int) -> None:
        """Have a token due at this time."""
        heappush(self._heap, (at, token))

    def pop_due(self, now: float) -> list[int]:
        """Take out the tokens that are due, the earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heappop(self._heap)[1])
        return due

    @property
    def next_at(self) -> float:
        """When the next one is due; infinite if there is none."""
        return self._heap[0][0] if self._heap else math.inf
