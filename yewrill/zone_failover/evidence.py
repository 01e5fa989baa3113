"""Attempts by zone that ended lately: how many, and how many of these came to nothing.

Numbers, not verdicts: what is told to others is what was counted, and each judges for itself. Pure.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Mapping

Counts = tuple[int, int]  # attempts ended, of these lost
RECENT, NEWEST = (
    2.5,
    8,
)  # seconds back, and at most so many: where much is sent, a failure shows sooner
LONG, MOST = 4.0, 64  # the same where little is sent


class Evidence:
    """The last endings in each zone. Seconds."""

    def __init__(self) -> None:
        self._ended: dict[str, deque[tuple[float, bool]]] = {}

    def record_attempt(self, now: float, zone: str, lost: bool) -> None:
        """One attempt in a zone has ended."""
        ended = self._ended.get(zone)
        if ended is None:
            ended = self._ended[zone] = deque(maxlen=MOST)
        ended.append((now, lost))

    def counts(self, now: float, thin: Container[str] = ()) -> Mapping[str, Counts]:
        """What was counted lately, by zone; of those that are `thin`, over a longer time."""
        total: dict[str, Counts] = {}
        for zone, ended in self._ended.items():
            span, most = (LONG, MOST) if zone in thin else (RECENT, NEWEST)
            count = losses = 0
            for at, lost in reversed(ended):
                if at < now - span or count == most:
                    break
                count += 1
                losses += lost
            if count:
                total[zone] = count, losses
        return total

    def clear(self, zone: str = "") -> None:
        """Drop what was counted of a zone, or of all."""
        if zone:
            self._ended.pop(zone, None)
        else:
            self._ended.clear()
