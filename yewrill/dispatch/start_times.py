"""Conversion of workers' start times from the wall clock to the monotonic clock.

Endpoint lists give a worker's start as wall clock time, and the wall clock may be stepped at any moment, by
seconds or by an hour, on this machine and on others at the same time. Each start is therefore converted
once, when it is first listed: a start that is listed again after a step is still the same start. A start
that is first listed after a step may have been recorded before it. It is converted with the offsets before
and after every recent step, and the latest result that is not in the future is used: an unnecessary slow
start costs little, whereas a worker must not be overloaded while it warms up.

Times are milliseconds; an offset is wall clock time minus monotonic time. The caller passes the time of both
clocks; nothing here reads a clock or does I/O.
"""

from __future__ import annotations

# A larger difference between two observed offsets means that the wall clock was stepped.
MIN_STEP_MS = 250.0
# Number of remembered offsets, including the current one.
MAX_OFFSETS = 4
# How long after a step a listed start may still have been recorded before that step.
OFFSET_RETENTION_MS = 60_000.0
# A start may lie this far in the future: clocks are slewed, and clocks of different machines differ.
MAX_AHEAD_MS = 10_000.0
# Number of workers whose start is remembered.
MAX_STARTS = 20_000


class StartTimes:
    """Converts start times of workers; remembers at most `MAX_STARTS` of them."""

    def __init__(self, wall: float, monotonic: float):
        # Remembered offsets, the latest last. `_valid_until` holds, for each but the latest, the monotonic
        # time until which it is still used.
        self._offsets: list[float] = [wall - monotonic]
        self._valid_until: list[float] = []
        self._known: dict[str, tuple[float, float]] = {}  # start by worker: wall clock, monotonic

    @property
    def offset(self) -> float:
        """Wall clock time minus monotonic time, as last observed."""
        return self._offsets[-1]

    def observe_clocks(self, wall: float, monotonic: float) -> None:
        """Updates the offset from the current time of both clocks, and detects steps of the wall clock."""
        offset = wall - monotonic
        if abs(offset - self._offsets[-1]) <= MIN_STEP_MS:
            self._offsets[-1] = offset  # the wall clock is being slewed, not stepped
            return
        self._offsets.append(offset)
        self._valid_until.append(monotonic + OFFSET_RETENTION_MS)
        del self._offsets[:-MAX_OFFSETS], self._valid_until[: 1 - MAX_OFFSETS]

    def monotonic_start(self, worker: str, listed: float, monotonic: float) -> float | None:
        """Converts a worker's listed start to the monotonic clock, which reads `monotonic` now.

        Returns None for a start that is 0 or less: the worker started long ago."""
        if listed <= 0:
            return None
        known = self._known.get(worker)
        if known is not None and known[0] == listed:
            return known[1]
        started = self._latest_possible(listed, monotonic)
        self._known.pop(worker, None)
        if len(self._known) >= MAX_STARTS:
            del self._known[next(iter(self._known))]
        self._known[worker] = listed, started
        return started

    def _latest_possible(self, listed: float, monotonic: float) -> float:
        earlier = [
            offset
            for offset, until in zip(self._offsets, self._valid_until, strict=False)
            if monotonic < until
        ]
        possible = [listed - offset for offset in (*earlier, self._offsets[-1])]
        # The worker has started already: a result that is slightly in the future is clamped to now, and now
        # is also used if all results are far in the future.
        past = [min(at, monotonic) for at in possible if at <= monotonic + MAX_AHEAD_MS]
        return max(past, default=monotonic)
