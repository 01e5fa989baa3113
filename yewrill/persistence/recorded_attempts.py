"""Recorded attempts of requests that have ended, by request, until their retention windows are over."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from yewrill.dispatch.attempt_register import EarlierAttempt, RequestIdentity
from yewrill.persistence.attempts import (
    AttemptRecord,
    Clocks,
    estimate_earlier_attempt,
    min_age_ms,
)

# Number of requests that one call of `expire` checks.
EXPIRY_CHECKS_PER_ROUND = 64


@dataclass(frozen=True, slots=True)
class RecordedAttempt:
    """An attempt of a request that has ended, its retention window in ms, and the key of its record."""

    record: AttemptRecord
    window_ms: float
    key: bytes


class RecordedAttempts:
    """Attempts that may have run, by the identity of their request. Not thread-safe."""

    def __init__(self, max_attempts: int):
        self._max_attempts = max_attempts
        self._attempts: dict[RequestIdentity, list[RecordedAttempt]] = {}
        self._count = 0

    def __len__(self) -> int:
        """The number of attempts."""
        return self._count

    def add(self, attempt: RecordedAttempt) -> bool:
        """Adds an attempt; returns False, and adds nothing, if there is no room."""
        if self._count >= self._max_attempts:
            return False
        self._attempts.setdefault(attempt.record.identity, []).append(attempt)
        self._count += 1
        return True

    def add_first(self, attempt: RecordedAttempt) -> bool:
        """Adds an attempt like `add`, unless an earlier one of the request in the same cell still counts."""
        known = self.find(attempt.record.identity)
        return any(_covers(earlier, attempt) for earlier in known) or self.add(attempt)

    def find(self, identity: RequestIdentity) -> Sequence[RecordedAttempt]:
        """Returns the attempts of a request."""
        return self._attempts.get(identity, ())

    def remove(self, identity: RequestIdentity) -> list[bytes]:
        """Removes the attempts of a request; returns the keys of their records."""
        attempts = self._attempts.pop(identity, [])
        self._count -= len(attempts)
        return [attempt.key for attempt in attempts]

    def expire(self, now: Clocks) -> list[bytes]:
        """Removes attempts that are older than their windows; returns the keys of their records.

        Each call checks up to EXPIRY_CHECKS_PER_ROUND requests.
        """
        expired: list[bytes] = []
        for identity in list(itertools.islice(self._attempts, EXPIRY_CHECKS_PER_ROUND)):
            attempts = self._attempts[identity]
            if any(min_age_ms(attempt.record.at, now) <= attempt.window_ms for attempt in attempts):
                # Moves the request to the end, so that the next call checks other requests first.
                self._attempts[identity] = self._attempts.pop(identity)
            else:
                expired.extend(self.remove(identity))
        return expired


def _covers(earlier: RecordedAttempt, later: RecordedAttempt) -> bool:
    """Returns whether the later attempt of a request went to the cell of an earlier one, in its window."""
    same_cell = (earlier.record.zone, earlier.record.cell) == (later.record.zone, later.record.cell)
    return same_cell and min_age_ms(earlier.record.at, later.record.at) <= earlier.window_ms


def combine_attempts(attempts: Sequence[RecordedAttempt], now: Clocks) -> EarlierAttempt | None:
    """Combines attempts of one request; returns None if there are none or all are past their windows."""
    if not attempts:
        return None
    return estimate_earlier_attempt(
        [attempt.record for attempt in attempts],
        now,
        max(attempt.window_ms for attempt in attempts),
    )
