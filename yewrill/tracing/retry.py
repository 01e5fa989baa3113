"""Decides what the exporter does after each response of a collector. Pure functions.

Follows OTLP's specification, "OTLP/HTTP response" and "retryable response codes": 429, 502, 503 and 504 are
retried, honouring `Retry-After`; every other status that is not 2xx is final. A failed connection or an
incomplete response is retried too; the collector can recognise duplicates by span id.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
NO_RESPONSE = 0  # status of a try without a response


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Exponential backoff with jitter; pauses in seconds."""

    initial_pause: float = 0.5
    max_pause: float = 30.0
    factor: float = 2.0
    jitter: float = 0.5  # maximum change of a pause in either direction, as a fraction of it
    max_tries: int = 8  # number of tries after which a batch is dropped
    # Longest pause that a Retry-After can cause; a longer one is shortened to it.
    max_retry_after: float = 120.0


@dataclass(frozen=True, slots=True)
class Delivered:
    """The collector has accepted the batch, except for `rejected` spans."""

    rejected: int = 0


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The batch is to be sent again after `after` seconds."""

    after: float


@dataclass(frozen=True, slots=True)
class Dropped:
    """The batch is given up: the collector has refused it, or all tries have failed."""

    cause: str


def decide(
    status: int,
    tries: int,
    retry_after: float | None,
    rejected: int,
    policy: RetryPolicy,
    random: Callable[[], float],
) -> Delivered | RetryLater | Dropped:
    """Decides what follows the `tries`-th try of a batch, counted from 1.

    `status` is an HTTP status or NO_RESPONSE, `retry_after` the value of Retry-After in seconds, `rejected`
    the number of spans that a 2xx response rejects; `random` returns values from 0 to 1.
    """
    if 200 <= status < 300:
        return Delivered(rejected)
    if status != NO_RESPONSE and status not in RETRYABLE_STATUSES:
        return Dropped(f"status_{status}")
    if tries >= policy.max_tries:
        return Dropped("tries")
    pause = min(policy.max_pause, policy.initial_pause * policy.factor ** (tries - 1))
    pause *= 1.0 + policy.jitter * (2.0 * random() - 1.0)
    if retry_after is not None:
        pause = max(pause, min(retry_after, policy.max_retry_after))
    return RetryLater(pause)
