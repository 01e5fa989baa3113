"""The decision engine's monotonic clock, in ms, and timers, such as those that the policy module sets."""

from __future__ import annotations

import math
import time
from heapq import heappop, heappush
from typing import Generic, TypeVar

import trio

from yewrill.dispatch.start_times import StartTimes

# The clock does not start at 0: a worker that started shortly before this process must have a positive start
# time, because the policy module takes 0 for "long ago".
CLOCK_START_MS = 1_000_000.0

Token = TypeVar("Token", int, bytes)


class Clock:
    """A monotonic clock based on the event loop's clock, to which it also converts workers' start times."""

    def __init__(self) -> None:
        self._base = trio.current_time() - CLOCK_START_MS / 1000.0
        self._starts = StartTimes(time.time() * 1000.0, self.now())

    def now(self) -> float:
        """Returns the current time."""
        return (trio.current_time() - self._base) * 1000.0

    def loop_time(self, at: float) -> float:
        """Converts a time of this clock to the event loop's time, in seconds."""
        return self._base + at / 1000.0

    def wall_time(self, at: float) -> float:
        """Converts a time of this clock to wall clock time, by the offset that was last observed."""
        return self._starts.offset + at

    def compare_with_wall_clock(self) -> None:
        """Reads both clocks, so that later calls of `worker_start` know of steps of the wall clock."""
        self._starts.observe_clocks(time.time() * 1000.0, self.now())

    def worker_start(self, worker: str, started_ms: float) -> float:
        """Converts a worker's start from wall clock time to this clock; 0 means long ago.

        The policy module takes any change of this value for a restart of the worker."""
        started = self._starts.monotonic_start(worker, started_ms, self.now())
        return 0.0 if started is None else max(1.0, started)


class Timers(Generic[Token]):
    """Tokens, ordered by due time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, Token]] = []

    def __len__(self) -> int:
        """The number of tokens."""
        return len(self._heap)

    def set(self, at: float, token: Token) -> None:
        """Schedules a token for the given time."""
        heappush(self._heap, (at, token))

    def pop_due(self, now: float) -> list[Token]:
        """Removes and returns the tokens that are due, the earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heappop(self._heap)[1])
        return due

    @property
    def next_at(self) -> float:
        """The due time of the next token; infinite if there is none."""
        return self._heap[0][0] if self._heap else math.inf
