"""Log lines and metrics about retries: why an attempt was repeated, held back or given up.

At the default level only requests that may not simply be repeated are logged. All times are ms on the
engine's clock.
"""

from __future__ import annotations

import hashlib
import logging
from bisect import bisect_left
from collections import Counter

from yewrill.dispatch.attempt_register import idempotency_key
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.dispatch.safety import HeldBack
from yewrill.policy.interface import Idempotency

log = logging.getLogger("yewrill.attempts")

KEY_DIGEST_BYTES = 6
# Upper bounds of the buckets of the histogram of the time from the choice of an attempt to its first byte.
SEND_DELAY_BUCKETS_MS = (1, 10, 50, 100, 200, 500, 1000, 1500)
UNKNOWN_MS = -1.0  # logged in place of a time that is not known
RETRIED_OUTCOMES = tuple(o for o in AttemptOutcome if o is not AttemptOutcome.SERVED)


class AttemptLog:
    """Counts and logs what happens to attempts before their first byte."""

    def __init__(self) -> None:
        # Number of chosen attempts that were not sent, by reason.
        self.held_back: Counter[HeldBack] = Counter()
        # Number of attempts sent after an earlier one of the same request, by the outcome of that one.
        self._retries: Counter[AttemptOutcome] = Counter()
        self._send_delays = [0] * (len(SEND_DELAY_BUCKETS_MS) + 1)

    def sending(self, attempt: Attempt, now: float) -> None:
        """Notes that the first byte of an attempt is about to be written."""
        delay = now - attempt.chosen_at
        self._send_delays[bisect_left(SEND_DELAY_BUCKETS_MS, delay)] += 1
        request = attempt.request
        if request.last_outcome is None:
            return
        self._retries[request.last_outcome] += 1
        if must_be_logged(request):
            log.info(
                "attempt_repeated request=%s class=%s key=%s attempt=%d worker=%s last_outcome=%s "
                "since_first_ms=%.0f window_left_ms=%.0f send_delay_ms=%.0f connect_ms=%.0f",
                request.id,
                request.class_name,
                key_digest(request),
                attempt.number,
                attempt.worker,
                request.last_outcome.name.lower(),
                since_first_ms(request, now),
                window_left_ms(request, now),
                delay,
                attempt.connect_ms,
            )

    def not_sent(self, attempt: Attempt, reason: HeldBack, now: float) -> None:
        """Notes that a chosen attempt is not sent."""
        self.held_back[reason] += 1
        request = attempt.request
        level = logging.INFO if must_be_logged(request) else logging.DEBUG
        log.log(
            logging.WARNING if reason is HeldBack.RECORD_NOT_KEPT else level,
            "attempt_held_back request=%s class=%s attempt=%d worker=%s reason=%s "
            "since_first_ms=%.0f window_left_ms=%.0f send_delay_ms=%.0f connect_ms=%.0f",
            request.id,
            request.class_name,
            attempt.number,
            attempt.worker,
            reason.name.lower(),
            since_first_ms(request, now),
            window_left_ms(request, now),
            now - attempt.chosen_at,
            attempt.connect_ms,
        )

    def metrics(self) -> dict[str, int]:
        """Returns counters by metric name; the buckets of the histogram are cumulative."""
        counts = {f"held_back.{reason.name.lower()}": self.held_back[reason] for reason in HeldBack}
        for outcome in RETRIED_OUTCOMES:
            counts[f"retries.{outcome.name.lower()}"] = self._retries[outcome]
        total = 0
        names = [*(f"le_{bound}" for bound in SEND_DELAY_BUCKETS_MS), "all"]
        for name, count in zip(names, self._send_delays, strict=True):
            total += count
            counts[f"send_delay_ms.{name}"] = total
        return counts


def log_given_up(request: Request, answer: str, reason: str, now: float) -> None:
    """Logs the final answer of a request that was sent and not served. `answer`: "failed" or "rejected"."""
    if request.last_outcome is None or not must_be_logged(request):
        return
    log.info(
        "request_given_up request=%s class=%s key=%s attempts=%d last_outcome=%s since_first_ms=%.0f "
        "window_left_ms=%.0f answer=%s reason=%s",
        request.id,
        request.class_name,
        key_digest(request),
        request.attempt_count,
        request.last_outcome.name.lower(),
        since_first_ms(request, now),
        window_left_ms(request, now),
        answer,
        reason,
    )


def must_be_logged(request: Request) -> bool:
    """Returns whether a request may not simply be repeated."""
    return request.idempotency is not Idempotency.IDEMPOTENT


def key_digest(request: Request) -> str:
    """Returns a digest of a request's idempotency key, by which its repeats can be found in the log."""
    key = idempotency_key(request).encode()
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


def since_first_ms(request: Request, now: float) -> float:
    """Returns the time since the first attempt that may have run, UNKNOWN_MS if there was none."""
    return UNKNOWN_MS if request.ran_at is None else now - request.ran_at


def window_left_ms(request: Request, now: float) -> float:
    """Returns what is left of the deduplication window, UNKNOWN_MS if it has not begun or there is none."""
    if request.ran_at is None or request.idempotency is not Idempotency.IDEMPOTENT_BY_KEY:
        return UNKNOWN_MS
    return max(0.0, request.ran_at + request.window - now)
