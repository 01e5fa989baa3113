"""How long the clients of a class usually wait for their answer. No I/O, no clock, no randomness.

Where clients do not mark their retries, a retry still shows itself: its client gives up at the same moment as
at its first try, so it states less time than the class's first tries do. In a storm of retries, every client
still has its first try, so the longest timeouts among recent requests are those of first tries. A high
quantile
stands for them, not the longest one: a single client's timeout, however long, says nothing of the others.
Times are milliseconds.
"""

from __future__ import annotations

from collections import deque

RECENT_REQUESTS = 64
MIN_REQUESTS = 8  # before so many are seen, the settings alone count
QUANTILE = 0.8  # more than a fifth of the requests are first tries, however often clients retry


class ClientTimeoutEstimate:
    """The usual timeout of a class's first tries; never more than its deadline in the settings."""

    __slots__ = ("_recent", "usual")

    def __init__(self, deadline: float) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT_REQUESTS)
        self.usual = deadline

    def record(self, timeout: float) -> None:
        """Count a request with this timeout."""
        self._recent.append(timeout)

    def refresh(self, deadline: float) -> None:
        """Work out the usual timeout anew from what was recorded."""
        self.usual = deadline
        if len(self._recent) >= MIN_REQUESTS:
            first_tries = sorted(self._recent)[int(QUANTILE * len(self._recent))]
            self.usual = min(deadline, first_tries)
