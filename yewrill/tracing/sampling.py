"""Decides which records are kept and which are dropped. Time and random bits are passed as arguments.

The threshold is OpenTelemetry's: with a sampling ratio p, a record is kept if its 56 random bits are at
least T = (1 - p) * 2^56. All hops compare the same bits, so a record kept at 1% is also kept at 10%.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

BITS = 56
# Causes for which a record is kept; their values are written to the trace files.
LATE, REFUSED, FAILED, RETRIED, LEFT = "late", "refused", "failed", "retried", "left"
BAD = (LATE, REFUSED, FAILED, RETRIED, LEFT)
# ASKED: kept for the caller's sampled flag. SAMPLED: kept by the sampling ratio.
ASKED, SAMPLED = "asked", "sampled"


def threshold(ratio: float) -> int:
    """Returns the threshold T for a ratio from 0 to 1; 2^56 keeps nothing."""
    return round((1.0 - min(1.0, max(0.0, ratio))) * (1 << BITS))


def threshold_text(value: int) -> str | None:
    """Returns the value of `th`: hexadecimal without trailing zeros; None if nothing is kept."""
    if value >= 1 << BITS:
        return None
    return f"{value:014x}".rstrip("0") or "0"


def ratio_of(text: str) -> float:
    """Returns the ratio of a `th` value. A kept record represents 1 / ratio records."""
    return 1.0 - int(text.ljust(14, "0"), 16) / (1 << BITS)


def bad_causes(record: Mapping[str, Any]) -> list[str]:
    """Returns the causes for which a finished record is always kept; empty for an ordinary record."""
    causes = []
    answer = record["answer"]
    if answer in (REFUSED, FAILED, LEFT):
        causes.append(answer)
    if record["late"]:
        causes.append(LATE)
    if len(record["attempts"]) > 1:
        causes.append(RETRIED)
    return causes


def late(
    answered: float, run: float | None, latency_objective: float, objective_run_factor: float
) -> bool:
    """Returns whether an answer missed its latency objective.

    `answered` is the time to the answer and `run` the run time, in ms. An unknown run time is replaced by
    the whole time to the answer, so that only requests that are certainly late count as late.
    """
    return answered > latency_objective + objective_run_factor * (
        run if run is not None else answered
    )


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: `rate` tokens a second, with a burst of one second's tokens, at least one."""

    rate: float
    tokens: float = 0.0
    refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Takes a token at `now`, in seconds of a monotonic clock. Returns whether there was one."""
        self.tokens = min(
            max(1.0, self.rate), self.tokens + max(0.0, now - self.refilled_at) * self.rate
        )
        self.refilled_at = now
        if self.rate <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def kept_causes(
    record: Mapping[str, Any], random: int, sampling_threshold: int, caller_sampled: bool
) -> list[str]:
    """Returns the causes for which a record is kept; empty if it is dropped.

    `random` are the trace's 56 random bits. `caller_sampled` says that the caller's sampled flag is set and
    within its rate limit.
    """
    if bad := bad_causes(record):
        return bad
    if random >= sampling_threshold:
        return [SAMPLED]
    return [ASKED] if caller_sampled else []


@dataclass(slots=True)
class Queue:
    """Finished records that wait for export, at most `capacity` of them.

    A full queue drops ordinary records before bad ones, the oldest first, and counts them by cause.
    """

    capacity: int
    bad: deque = field(default_factory=deque)
    ordinary: deque = field(default_factory=deque)
    dropped: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.bad) + len(self.ordinary)

    def put(self, record: Any, is_bad: bool) -> None:
        """Appends a record, dropping others if the queue is full."""
        (self.bad if is_bad else self.ordinary).append(record)
        while len(self) > self.capacity:
            if self.ordinary:
                self.ordinary.popleft()
                self.count("ordinary_full")
            else:
                self.bad.popleft()
                self.count("bad_full")

    def take(self, count: int) -> list[Any]:
        """Removes and returns up to `count` records, bad ones first."""
        taken = []
        for source in (self.bad, self.ordinary):
            while source and len(taken) < count:
                taken.append(source.popleft())
        return taken

    def count(self, cause: str, number: int = 1) -> None:
        """Counts `number` records as dropped for `cause`."""
        self.dropped[cause] = self.dropped.get(cause, 0) + number
