"""What an exporter does after each answer of a collector. Pure.

After OTLP's specification, "OTLP/HTTP response" and "retryable response codes": 429, 502, 503 and 504 are
retried, with `Retry-After` where it is given; every other status from 400 on is final. A failure to
connect, or an answer that breaks off, is retried too: the collector drops what it has seen already by the
spans' ids, if it cares.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

RETRIED = frozenset({429, 502, 503, 504})
LOST = 0  # as a status: no answer came


@dataclass(frozen=True, slots=True)
class Rules:
    """Seconds; `tries` for one batch before it is given up."""

    first: float = 0.5
    most: float = 30.0
    factor: float = 2.0
    jitter: float = 0.5  # of the pause, up and down
    tries: int = 8
    most_asked: float = 120.0  # of Retry-After that is honoured


@dataclass(frozen=True, slots=True)
class Sent:
    """The collector has it; so many records it has turned down."""

    rejected: int = 0


@dataclass(frozen=True, slots=True)
class Again:
    after: float


@dataclass(frozen=True, slots=True)
class GivenUp:
    cause: str


def decide(
    status: int,
    tries: int,
    asked: float | None,
    rejected: int,
    rules: Rules,
    random: Callable[[], float],
) -> Sent | Again | GivenUp:
    """After the `tries`-th try of a batch, from 1. `asked`: Retry-After in seconds; `random` gives 0 to 1."""
    if 200 <= status < 300:
        return Sent(rejected)
    if status != LOST and status not in RETRIED:
        return GivenUp(f"status_{status}")
    if tries >= rules.tries:
        return GivenUp("tries")
    pause = min(rules.most, rules.first * rules.factor ** (tries - 1))
    pause *= 1.0 + rules.jitter * (2.0 * random() - 1.0)
    if asked is not None:
        pause = max(pause, min(asked, rules.most_asked))
    return Again(pause)
