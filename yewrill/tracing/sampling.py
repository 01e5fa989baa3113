"""Which records are kept, and which give way. No I/O, no clock, no randomness: time and bits come in.

The threshold is OpenTelemetry's: with a share p kept, a record is kept if its 56 random bits are at least
T = (1 - p) * 2^56. All hops compare the same bits, so what one keeps at 1% another keeps at 10% too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

BITS = 56
LATE, REFUSED, FAILED, RETRIED, LEFT = "late", "refused", "failed", "retried", "left"
BAD = (LATE, REFUSED, FAILED, RETRIED, LEFT)
ASKED, SAMPLED = "asked", "sampled"  # kept for the caller's flag, or by chance


def threshold(share: float) -> int:
    """T for a share between 0 and 1; 2^56 keeps nothing."""
    return round((1.0 - min(1.0, max(0.0, share))) * (1 << BITS))


def threshold_text(value: int) -> str | None:
    """As `th` has it: hexadecimal without trailing zeros; None where nothing is kept."""
    if value >= 1 << BITS:
        return None
    return f"{value:014x}".rstrip("0") or "0"


def share_of(text: str) -> float:
    """The share that a `th` stands for: 1 over it is what a kept record counts for."""
    return 1.0 - int(text.ljust(14, "0"), 16) / (1 << BITS)


def causes(record: Mapping[str, Any]) -> list[str]:
    """Why a finished record is bad; empty for an ordinary one."""
    found = []
    answer = record["answer"]
    if answer in (REFUSED, FAILED, LEFT):
        found.append(answer)
    if record["late"]:
        found.append(LATE)
    if len(record["attempts"]) > 1:
        found.append(RETRIED)
    return found


def late(
    answered: float, run: float | None, latency_objective: float, objective_run_factor: float
) -> bool:
    """Whether an answer came after the wanted time: `answered` and `run`, its own running time, in ms.
    Where nobody told how long it ran, only what is late whatever it ran counts."""
    return answered > latency_objective + objective_run_factor * (
        run if run is not None else answered
    )


@dataclass(slots=True)
class Allowance:
    """How many a second of what callers ask for is granted."""

    rate: float
    tokens: float = 0.0
    at: float = 0.0

    def take(self, now: float) -> bool:
        """At this time, in seconds of any steady clock."""
        self.tokens = min(max(1.0, self.rate), self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.rate <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def keep(record: Mapping[str, Any], random: int, limit: int, asked: bool) -> list[str]:
    """Why a record is kept; empty: it is not."""
    if bad := causes(record):
        return bad
    if random >= limit:
        return [SAMPLED]
    return [ASKED] if asked else []


@dataclass(slots=True)
class Queue:
    """Finished records that wait for their way out, at most so many: ordinary ones give way first, the
    oldest of each sort before the others. Whatever gives way is counted by its cause."""

    most: int
    bad: deque = field(default_factory=deque)
    ordinary: deque = field(default_factory=deque)
    dropped: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.bad) + len(self.ordinary)

    def put(self, record: Any, is_bad: bool) -> None:
        (self.bad if is_bad else self.ordinary).append(record)
        while len(self) > self.most:
            if self.ordinary:
                self.ordinary.popleft()
                self.count("ordinary_full")
            else:
                self.bad.popleft()
                self.count("bad_full")

    def take(self, count: int) -> list[Any]:
        """The next records to go out, the bad ones first."""
        taken = []
        for source in (self.bad, self.ordinary):
            while source and len(taken) < count:
                taken.append(source.popleft())
        return taken

    def count(self, cause: str, number: int = 1) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + number
