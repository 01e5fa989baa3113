"""Decides what an exporter does after each response of a collector. Pure.

After OTLP's specification, "OTLP/HTTP response" and "retryable response codes": 429, 502, 503 and 504 are
retried, with `Retry-After` where it is given; every other status from 400 on is final. A failure to
connect, or an incomplete response, is retried too; the collector may recognise duplicates by span id.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

RETRIED = frozenset({429, 502, 503, 504})
LOST = 0  # in place of a status: no response


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Exponential backoff with jitter; pauses in seconds. `tries`: for one batch before it is dropped."""

    initial_pause: float = 0.5
    max_pause: float = 30.0
    factor: float = 2.0
    jitter: float = 0.5  # of the pause, up and down
    tries: int = 8
    max_retry_after: float = 120.0  # of Retry-After that is honoured


@dataclass(frozen=True, slots=True)
class Delivered:
    """The collector has accepted the batch, but for `rejected` spans."""

    rejected: int = 0


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Send the batch again `after` seconds."""

    after: float


@dataclass(frozen=True, slots=True)
class Dropped:
    """The batch will never be accepted."""

    cause: str


def decide(
    status: int,
    tries: int,
    retry_after: float | None,
    rejected: int,
    policy: RetryPolicy,
    random: Callable[[], float],
) -> Delivered | RetryLater | Dropped:
    """Decide after the `tries`-th try of a batch, counted from 1.

    `status` is LOST without a response, `retry_after` in seconds, `random` returns values from 0 to 1.
    """
    if 200 <= status < 300:
        return Delivered(rejected)
    if status != LOST and status not in RETRIED:
        return Dropped(f"status_{status}")
    if tries >= policy.tries:
        return Dropped("tries")
    pause = min(policy.max_pause, policy.initial_pause * policy.factor ** (tries - 1))
    pause *= 1.0 + policy.jitter * (2.0 * random() - 1.0)
    if retry_after is not None:
        pause = max(pause, min(retry_after, policy.max_retry_after))
    return RetryLater(pause)
