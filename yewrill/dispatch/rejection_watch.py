"""Detects request classes of which every request is rejected.

The caller passes the time, in milliseconds; this module reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

# A class counts as shut out after this number of rejections in a row that span at least this time.
MIN_REJECTIONS = 10
SHUT_OUT_MS = 3000.0
# Least time between two reports of the same class.
REPEAT_MS = 10000.0


@dataclass(slots=True)
class _Streak:
    """An uninterrupted series of rejections of one class."""

    since: float
    count: int = 0
    reported_at: float | None = None


@dataclass(frozen=True, slots=True)
class ShutOut:
    """Report of a class that is shut out: the number of rejections in a row, and their duration in ms."""

    request_class: str
    rejections: int
    duration: float


class RejectionWatch:
    """Tracks the current series of rejections of each class, by class name."""

    def __init__(self) -> None:
        self._streaks: dict[str, _Streak] = {}

    def served(self, request_class: str) -> None:
        """Ends the series of a class, because one of its requests was served."""
        self._streaks.pop(request_class, None)

    def rejected(self, request_class: str, now: float) -> ShutOut | None:
        """Counts a rejection; returns a report if the class is shut out and a report is due."""
        streak = self._streaks.setdefault(request_class, _Streak(now))
        streak.count += 1
        duration = now - streak.since
        if streak.count < MIN_REJECTIONS or duration < SHUT_OUT_MS:
            return None
        if streak.reported_at is not None and now - streak.reported_at < REPEAT_MS:
            return None
        streak.reported_at = now
        return ShutOut(request_class, streak.count, duration)
