"""Trial requests: they update a run time estimate that causes the requests of its class to be rejected.

A request that is late only by its estimated run time is rejected without being sent. Without an exception the
class would not be served at all, its estimate would never change, and a temporary slowdown would become a
permanent outage. Therefore one such request at a time is sent nevertheless, like the trial request of a
half-open circuit breaker. While trials show runs as slow as estimated, a pause after each one limits the
trials to a small part of the available slots; once a trial shows a faster run, there is no pause. Times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Length of a series of rejections whose last request is sent as a trial instead, while run times are still
# being measured.
MIN_REJECTIONS = 3
# After this time without a measured run time, the first request of such a series is sent as a trial.
STALE_EVIDENCE_MS = 1000.0
# Largest fraction of the available slots that the trials of one estimate may take.
MAX_CAPACITY_FRACTION = 0.1
MIN_PAUSE_MS = 100.0
MAX_PAUSE_MS = 500.0
# Number of measured run times that the estimate counts for when a trial's run time is averaged in. With 3,
# three trials with short runs reduce the estimate to less than half.
CONFIDENCE = 3
# Like CONFIDENCE, for an estimate without a measured run time for STALE_EVIDENCE_MS.
STALE_CONFIDENCE = 1


@dataclass(eq=False, slots=True)
class TrialRequests:
    """State of the trials of one run time estimate."""

    consecutive_rejections: int = 0
    in_progress: bool = False
    next_at: float = 0.0
    evidence_at: float = 0.0  # when a run time was last measured

    def admitted(self) -> None:
        """Records that a request was not rejected for its estimated run time."""
        self.consecutive_rejections = 0

    def may_begin(self, now: float) -> bool:
        """Returns whether a request is sent as a trial; otherwise counts its rejection.

        To be called for a request that would be rejected for its estimated run time."""
        self.consecutive_rejections += 1
        if self.in_progress or now < self.next_at:
            return False
        if self.consecutive_rejections < MIN_REJECTIONS and not self._is_stale(now):
            return False
        self.in_progress = True
        return True

    def confidence(self, now: float) -> int:
        """Returns how many measured run times the estimate counts for when a trial's is averaged in."""
        return STALE_CONFIDENCE if self._is_stale(now) else CONFIDENCE

    def record_evidence(self, now: float) -> None:
        """Records that a run time was measured."""
        self.evidence_at = now

    def end(self, now: float, duration: float, slots: float, faster: bool) -> None:
        """Records the end of the trial after `duration`.

        `slots` are the available slots; `faster` tells whether the run was shorter than estimated."""
        self.in_progress = False
        if faster:
            return
        pause = duration * (1.0 / (MAX_CAPACITY_FRACTION * slots) - 1.0)
        self.next_at = now + min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, pause))

    def _is_stale(self, now: float) -> bool:
        return now - self.evidence_at > STALE_EVIDENCE_MS
