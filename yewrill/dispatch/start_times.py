"""When workers started, by the monotonic clock, from what lists say by the wall clock. No I/O, no clock.

Lists give a worker's start as a wall clock time, and the wall clock may be set at any moment, by seconds
or by
an hour, here and there together. So each start is converted once, when it is first given: what was given
before
a step of the clock and is given again after it is still one start. A start that is given after a step
may have
been written down before it, so it is read by the clock as it stood on either side of every recent step,
and the
latest time that is not in the future counts: a slow start without need costs little, a worker overloaded
while it warms up is a fault.

Times are milliseconds; an offset is the wall clock less the monotonic clock.
"""

from __future__ import annotations

STEP_MS = 250.0  # offsets that differ by more are those before and after a step
MAX_OFFSETS = 4  # of the latest steps
MEMORY_MS = 60_000.0  # for so long after a step, what is given may have been written down before it
# A reading may be ahead by so much: clocks are slewed, and differ from each other.
MAX_AHEAD_MS = 10_000.0
MAX_STARTS = 20_000  # workers whose start is known


class StartTimes:
    """Converts starts of workers; keeps at most `MAX_STARTS` of them."""

    def __init__(self, wall: float, monotonic: float):
        # Offsets, the latest last, and until when (monotonic) each but the last one counts.
        self._offsets: list[float] = [wall - monotonic]
        self._counts_until: list[float] = []
        self._known: dict[str, tuple[float, float]] = {}  # as given, and by the monotonic clock

    @property
    def offset(self) -> float:
        """The wall clock less the monotonic clock, as last noted."""
        return self._offsets[-1]

    def note(self, wall: float, monotonic: float) -> None:
        """Take both clocks as they stand; a jump of one against the other is a step."""
        offset = wall - monotonic
        if abs(offset - self._offsets[-1]) <= STEP_MS:
            self._offsets[-1] = offset  # the clock is being slewed
            return
        self._offsets.append(offset)
        self._counts_until.append(monotonic + MEMORY_MS)
        del self._offsets[:-MAX_OFFSETS], self._counts_until[: 1 - MAX_OFFSETS]

    def started(self, worker: str, given: float, monotonic: float) -> float | None:
        """When a worker started, by the monotonic clock, which reads `monotonic` now; None if long ago."""
        if given <= 0:
            return None
        known = self._known.get(worker)
        if known is not None and known[0] == given:
            return known[1]
        started = self._latest_possible(given, monotonic)
        self._known.pop(worker, None)
        if len(self._known) >= MAX_STARTS:
            del self._known[next(iter(self._known))]
        self._known[worker] = given, started
        return started

    def _latest_possible(self, given: float, monotonic: float) -> float:
        earlier = [
            offset
            for offset, until in zip(self._offsets, self._counts_until, strict=False)
            if monotonic < until
        ]
        possible = [given - offset for offset in (*earlier, self._offsets[-1])]
        # It has started: a time that a clock puts a little ahead is now, as is one far ahead by all readings.
        past = [min(at, monotonic) for at in possible if at <= monotonic + MAX_AHEAD_MS]
        return max(past, default=monotonic)
