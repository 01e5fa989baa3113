"""Counts of recent attempts by zone: how many ended, and how many of these were lost.

Members exchange these counts, not verdicts, and each member judges them itself. No I/O or clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Mapping

Counts = tuple[int, int]  # attempts ended, of these lost
# A zone with its normal traffic: a short window, so that a failure shows soon.
RECENT_WINDOW_SECONDS = 2.5
RECENT_MAX_ATTEMPTS = 8
# A zone with little traffic needs a longer window to have enough attempts.
LONG_WINDOW_SECONDS = 4.0
LONG_MAX_ATTEMPTS = 64


class Evidence:
    """The last attempts that ended in each zone. Times are in seconds."""

    def __init__(self) -> None:
        self._ended: dict[str, deque[tuple[float, bool]]] = {}

    def record_attempt(self, now: float, zone: str, lost: bool) -> None:
        """Count an attempt that ended in a zone."""
        endings = self._ended.get(zone)
        if endings is None:
            endings = self._ended[zone] = deque(maxlen=LONG_MAX_ATTEMPTS)
        endings.append((now, lost))

    def counts(self, now: float, low_traffic_zones: Container[str] = ()) -> Mapping[str, Counts]:
        """The counts by zone within the window; `low_traffic_zones` have a longer one."""
        counts: dict[str, Counts] = {}
        for zone, endings in self._ended.items():
            window, max_count = (
                (LONG_WINDOW_SECONDS, LONG_MAX_ATTEMPTS)
                if zone in low_traffic_zones
                else (RECENT_WINDOW_SECONDS, RECENT_MAX_ATTEMPTS)
            )
            ended = lost_count = 0
            for at, lost in reversed(endings):
                if at < now - window or ended == max_count:
                    break
                ended += 1
                lost_count += lost
            if ended:
                counts[zone] = ended, lost_count
        return counts

    def clear(self, zone: str = "") -> None:
        """Drop the counts of a zone, or of all zones."""
        if zone:
            self._ended.pop(zone, None)
        else:
            self._ended.clear()
