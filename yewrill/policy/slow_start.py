"""Slow start of a worker: its warm-up progress, and this dispatcher's part of its budget.

A worker that has just started may get only a limited amount of work in a time window, its budget. The budget
holds for the sum of all dispatchers, which do not coordinate with each other. Times are milliseconds, work is
slots times run time.
"""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.policy import interface as api

# Fraction of the allowed budget that is used; the rest is a safety margin.
BUDGET_FRACTION_USED = 0.5
# Unused budget that may be saved up, as a multiple of the budget of one time window.
MAX_SAVED_WINDOWS = 0.5
NOT_WARMING = -1.0


@dataclass(eq=False, slots=True)
class SlowStart:
    """Slow start of one worker; `started_at` is `NOT_WARMING` outside of a slow start."""

    started_at: float = NOT_WARMING
    credit: float = 0.0  # budget that may be spent, as of `credit_at`
    credit_at: float = 0.0
    saved_since: float = 0.0  # when the saving up of unused budget began

    def begin(self, now: float, started_at: float, credit: float) -> None:
        """Begins the slow start of a worker that started at `started_at`, with an initial credit."""
        self.started_at = started_at
        self.credit_at = self.saved_since = now
        self.credit = credit

    def progress(self, now: float, settings: api.Settings) -> float:
        """Returns the least fraction of its capacity that the worker has now; at 1 the slow start ends."""
        age = now - self.started_at
        if age >= settings.warm_after:
            self.started_at = NOT_WARMING
            return 1.0
        start = settings.start_capacity
        return max(start, start + (1.0 - start) * age / settings.warm_after)

    def has_budget(self, now: float, settings: api.Settings, work: float, rate: float) -> bool:
        """Returns whether `work` fits in this dispatcher's part of the budget.

        The part grows by `rate`, in work per millisecond."""
        self.credit += (now - self.credit_at) * rate
        self.credit_at = now
        # Credit above the limit wraps around instead of being cut off. With a cut-off, every dispatcher would
        # hold credit for one request after an idle time, however small its part of the budget. With the wrap
        # and the random initial credit, only some of them do, and what all of them together may send is, on
        # average, the budget that may be saved up, however many dispatchers there are.
        saved = rate * MAX_SAVED_WINDOWS * min(settings.slow_start_window, now - self.saved_since)
        if self.credit > saved + work:
            self.credit = saved + (self.credit - saved) % work
        return self.credit >= work
