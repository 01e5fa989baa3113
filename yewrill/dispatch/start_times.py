"""When workers started, by the monotonic clock, from what lists say by the wall clock. No I/O, no clock.

Lists tell a worker's start as a wall clock time, and the wall clock may be set at any moment, by seconds or
by an hour, here and there together. So each start is converted once, when it is first told: what was told
before a step and is told again after it is still one start. A start that is told after a step may have been
written down before it, so it is read by the clock as it stood on either side of every step of late, and
the latest time that is not in the future counts: to take a worker for cold for a while costs little, to
overload a cold one is a fault.

Times are milliseconds; an offset is the wall clock less the monotonic clock.
"""

from __future__ import annotations

STEP_MS = 250.0  # offsets that differ by more are those before and after a step
OFFSETS_KEPT = 4  # of the latest steps
MEMORY_MS = 60_000.0  # for so long after a step, what is told may have been written down before it
# A reading may be ahead by so much: clocks are slewed, and differ from each other.
AHEAD_MS = 10_000.0
MOST_STARTS = 20_000  # workers whose start is known


class StartTimes:
    """Converts starts of workers; remembers at most `MOST_STARTS` of them."""

    def __init__(self, wall: float, steady: float):
        # Offsets, the latest last, and until when (monotonic) each but the last one counts.
        self._offsets: list[float] = [wall - steady]
        self._counts_until: list[float] = []
        self._known: dict[str, tuple[float, float]] = {}  # as told, and by the monotonic clock

    @property
    def offset(self) -> float:
        """The wall clock less the monotonic clock, as last noted."""
        return self._offsets[-1]

    def note(self, wall: float, steady: float) -> None:
        """Take both clocks as they stand; a jump of one against the other is a step."""
        offset = wall - steady
        if abs(offset - self._offsets[-1]) <= STEP_MS:
            self._offsets[-1] = offset  # the clock is being slewed
            return
        self._offsets.append(offset)
        self._counts_until.append(steady + MEMORY_MS)
        del self._offsets[:-OFFSETS_KEPT], self._counts_until[: 1 - OFFSETS_KEPT]

    def started(self, worker: str, told: float, steady: float) -> float | None:
        """When a worker started, by the monotonic clock, which reads `steady` now; None if long ago."""
        if told <= 0:
            return None
        known = self._known.get(worker)
        if known is not None and known[0] == told:
            return known[1]
        started = self._latest_possible(told, steady)
        self._known.pop(worker, None)
        if len(self._known) >= MOST_STARTS:
            del self._known[next(iter(self._known))]
        self._known[worker] = told, started
        return started

    def _latest_possible(self, told: float, steady: float) -> float:
        earlier = [
            offset
            for offset, until in zip(self._offsets, self._counts_until, strict=False)
            if steady < until
        ]
        possible = [told - offset for offset in (*earlier, self._offsets[-1])]
        # It has started: a time that a clock puts a little ahead is now, as is one far ahead by all readings.
        past = [min(at, steady) for at in possible if at <= steady + AHEAD_MS]
        return max(past, default=steady)
