"""Ejection of a worker after failures in a row (outlier ejection), with a backoff that grows.
Milliseconds."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_FAILURES = 5  # more in a row make the backoff no longer
MAX_REJECTIONS = 6
BACKOFF_MS = 125.0  # doubled for each failure


@dataclass(eq=False, slots=True)
class Ejection:
    """Failures and rejections in a row, and until when nothing is sent."""

    until: float = 0.0
    failures: int = 0
    rejections: int = 0  # in a row, without a sign of life between
    connection_refused: bool = False  # among the failures was a connection that did not come up

    def record_failure(self, now: float, rng: random.Random, refused: bool) -> None:
        """Eject after an attempt was lost, or its connection refused; for longer each time.

        One lost connection is not a faulty worker: only a second loss in a row counts."""
        if not refused and not self.failures:
            self.failures = 1
            return
        self.connection_refused = self.connection_refused or refused
        self.failures = min(self.failures + 1, MAX_FAILURES)
        self.until = now + BACKOFF_MS * 2**self.failures * (0.75 + 0.5 * rng.random())

    def record_rejection(self, now: float, slot_time: float) -> None:
        """Eject for the mean time until one of its slots is free; for twice as long each time."""
        self.rejections = min(self.rejections + 1, MAX_REJECTIONS)
        self.until = max(self.until, now + slot_time * 2.0 ** (self.rejections - 1))

    def end(self, now: float) -> None:
        """The worker has shown that it works."""
        self.forget_failures()
        self.until = min(self.until, now)

    def forget_failures(self) -> None:
        """Nothing known of failures holds any more."""
        self.failures, self.connection_refused = 0, False
