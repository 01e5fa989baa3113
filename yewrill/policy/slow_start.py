"""Slow start of a worker: how far it has warmed up, and this dispatcher's part of its budget meanwhile.

A worker that has just started takes only a part of its load: a budget of work in a window of time,
summed over
all dispatchers, which agree on nothing. Times are milliseconds, work is slots times run time.
"""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.policy import interface as api

BUDGET_USED = 0.5  # the part of the budget that is used, for safety
SAVED_WINDOWS = 0.5  # of that, what may be saved up, in windows
NOT_WARMING = -1.0


@dataclass(eq=False, slots=True)
class SlowStart:
    """Warm-up of one worker; `started_at` is `NOT_WARMING` while there is none."""

    started_at: float = NOT_WARMING
    credit: float = 0.0  # of the budget, as worked out at `credit_at`
    credit_at: float = 0.0
    saved_since: float = 0.0

    def begin(self, now: float, started_at: float, credit: float) -> None:
        """Begin a warm-up, with a budget account that stands at `credit`."""
        self.started_at = started_at
        self.credit_at = self.saved_since = now
        self.credit = credit

    def progress(self, now: float, settings: api.Settings) -> float:
        """The part of its capacity that the worker has at least; at 1 the warm-up ends."""
        age = now - self.started_at
        if age >= settings.warm_after:
            self.started_at = NOT_WARMING
            return 1.0
        start = settings.start_capacity
        return max(start, start + (1.0 - start) * age / settings.warm_after)

    def has_budget(self, now: float, settings: api.Settings, work: float, rate: float) -> bool:
        """Whether this dispatcher's part of the budget, which grows by `rate` a millisecond, has room
        for `work`."""
        self.credit += (now - self.credit_at) * rate
        self.credit_at = now
        # What is over wraps: were it cut to one request, all dispatchers would hold one after a quiet time.
        # So the right number of them do, by the random start, and together hold what is kept, however many.
        kept = rate * SAVED_WINDOWS * min(settings.slow_start_window, now - self.saved_since)
        if self.credit > kept + work:
            self.credit = kept + (self.credit - kept) % work
        return self.credit >= work
