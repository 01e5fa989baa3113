"""Outlier ejection of a worker after consecutive failures, with exponential backoff.

Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_FAILURES = 5  # number of consecutive failures after which the backoff no longer grows
MAX_REJECTIONS = 6  # number of consecutive rejections after which the ejection time no longer grows
BACKOFF_MS = 125.0  # base of the backoff, doubled for each consecutive failure


@dataclass(eq=False, slots=True)
class Ejection:
    """Consecutive failures and rejections of a worker, and the end of its ejection."""

    until: float = 0.0
    failures: int = 0
    rejections: int = 0  # number of rejections since the worker last started or served a request
    connection_refused: bool = False  # whether one of the failures was a refused connection

    def record_failure(self, now: float, rng: random.Random, refused: bool) -> None:
        """Ejects the worker after a lost attempt or a refused connection, for longer each time.

        A single lost attempt does not show a faulty worker; the worker is ejected from the second consecutive
        one on."""
        if not refused and not self.failures:
            self.failures = 1
            return
        self.connection_refused = self.connection_refused or refused
        self.failures = min(self.failures + 1, MAX_FAILURES)
        self.until = now + BACKOFF_MS * 2**self.failures * (0.75 + 0.5 * rng.random())

    def record_rejection(self, now: float, slot_time: float) -> None:
        """Ejects the worker for the mean time until a slot is free, doubled for each further rejection."""
        self.rejections = min(self.rejections + 1, MAX_REJECTIONS)
        self.until = max(self.until, now + slot_time * 2.0 ** (self.rejections - 1))

    def end(self, now: float) -> None:
        """Ends the ejection, after the worker has started or served a request."""
        self.forget_failures()
        self.until = min(self.until, now)

    def forget_failures(self) -> None:
        """Resets the failure count; the end of a running ejection does not change."""
        self.failures, self.connection_refused = 0, False
