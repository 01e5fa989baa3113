"""Estimate of the usual client timeout of a request class. Times are milliseconds.

Where clients do not mark their retries, a retry can be recognized by its timeout: the client gives up at the
same time as it would have for its first try, so a retry has less time left than the first tries of its class.
Even in a retry storm each client sends a first try, so the longest timeouts among the recent requests are
those of first tries. The estimate is a high quantile and not the maximum, because a single client with a long
timeout says nothing about the others.
"""

from __future__ import annotations

from collections import deque

RECENT_REQUESTS = 64
MIN_REQUESTS = 8  # with fewer recent requests the configured deadline is the estimate
QUANTILE = 0.8  # even in a retry storm more than a fifth of the requests are first tries


class ClientTimeoutEstimate:
    """Usual timeout of the first tries of a class; at most the configured deadline of the class."""

    __slots__ = ("_recent", "usual")

    def __init__(self, deadline: float) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT_REQUESTS)
        self.usual = deadline

    def record(self, timeout: float) -> None:
        """Records the timeout of one request."""
        self._recent.append(timeout)

    def refresh(self, deadline: float) -> None:
        """Recomputes the usual timeout from the recent requests."""
        self.usual = deadline
        if len(self._recent) >= MIN_REQUESTS:
            first_tries = sorted(self._recent)[int(QUANTILE * len(self._recent))]
            self.usual = min(deadline, first_tries)
