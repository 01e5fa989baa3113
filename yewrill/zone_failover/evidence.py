"""Counts of recent attempts by zone: the number that ended, and the number of these that were lost.

Members exchange these counts, not verdicts, and each member judges them itself. This module does no I/O and
reads no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Mapping

Counts = tuple[int, int]  # number of attempts that ended, and the number of these that were lost
# The window of a zone with its normal traffic is short, so that a failure shows soon.
RECENT_WINDOW_SECONDS = 2.5
RECENT_MAX_ATTEMPTS = 8
# The window of a zone with little traffic is longer, so that it contains enough attempts.
LONG_WINDOW_SECONDS = 4.0
LONG_MAX_ATTEMPTS = 64


class Evidence:
    """The recent attempts that ended in each zone. Times are in seconds."""

    def __init__(self) -> None:
        self._ended: dict[str, deque[tuple[float, bool]]] = {}

    def record_attempt(self, now: float, zone: str, lost: bool) -> None:
        """Counts an attempt that ended in a zone."""
        endings = self._ended.get(zone)
        if endings is None:
            endings = self._ended[zone] = deque(maxlen=LONG_MAX_ATTEMPTS)
        endings.append((now, lost))

    def counts(self, now: float, low_traffic_zones: Container[str] = ()) -> Mapping[str, Counts]:
        """Returns the counts by zone within the window; zones in `low_traffic_zones` have a longer window."""
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
        """Drops the counts of a zone, or of all zones."""
        if zone:
            self._ended.pop(zone, None)
        else:
            self._ended.clear()
