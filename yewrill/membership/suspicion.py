"""How long a suspicion lasts before it is believed, and how far a member trusts its own observations.

Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: local health awareness for more accurate failure
detection", 2018): a suspicion starts long and shortens as others confirm it independently, and a member
that has reason to distrust itself probes more slowly and waits for longer. Pure. Seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from yewrill.membership.messages import Address, Claim

MAX_HEALTH_SCORE = 8  # timeouts grow up to nine times
CONFIRMATIONS = 3  # independent ones after which a suspicion is as short as it gets


def min_suspicion_seconds(members: int, interval: float, factor: float) -> float:
    """The shortest suspicion: long enough for its update to spread and for the refutation to return."""
    return factor * max(1.0, math.log10(max(1, members))) * interval


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member at one incarnation."""

    since: float
    minimum: float
    maximum: float
    accusers: set[str] = field(default_factory=set)  # the members whose own probes raised it

    def expires_at(self) -> float:
        """When the suspicion has lasted, unless it is refuted before."""
        confirmations = min(CONFIRMATIONS, max(0, len(self.accusers) - 1))
        fraction = math.log(confirmations + 1) / math.log(CONFIRMATIONS + 1)
        spread = self.maximum - self.minimum
        return self.since + max(self.minimum, self.maximum - spread * fraction)

    def exclude_pause(self, duration: float) -> None:
        """Leave a local pause out: that time does not count against anyone."""
        self.since += duration


@dataclass(slots=True)
class SuspicionProbe:
    """Repeated pings to a member that did not answer, or that others suspect, until something is known."""

    number: int  # of its requests
    since: float
    next_at: float  # when it is pinged again
    reported: Claim | None = None  # the suspicion of others that is followed up
    findings: dict[str, str] = field(default_factory=dict)  # who reported it; by whose own finding
    death_reporters: set[str] = field(default_factory=set)  # who reported it dead already
    receivers: set[str] = field(
        default_factory=set
    )  # who receives from it, though it is not answering
    subscribers: set[Address] = field(default_factory=set)  # who is to learn that it lives
    forwarded: bool = False  # whether the reported suspicion was passed on


class SuspicionProbes:
    """The suspicion probes under way, by member."""

    def __init__(self) -> None:
        self._by_name: dict[str, SuspicionProbe] = {}

    def __len__(self) -> int:
        """How many are under way."""
        return len(self._by_name)

    def names(self) -> set[str]:
        """The members that are probed."""
        return set(self._by_name)

    def get(self, name: str) -> SuspicionProbe | None:
        """The probe of a member, if it has one."""
        return self._by_name.get(name)

    def add(self, name: str, probe: SuspicionProbe) -> None:
        """Begin a probe."""
        self._by_name[name] = probe

    def discard(self, name: str) -> None:
        """End a probe, if there is one."""
        self._by_name.pop(name, None)

    def due(self, now: float) -> list[tuple[str, SuspicionProbe]]:
        """Those whose next ping is due."""
        return [(name, probe) for name, probe in self._by_name.items() if now >= probe.next_at]

    def due_times(self) -> list[float]:
        """When each of them is due."""
        return [probe.next_at for probe in self._by_name.values()]

    def member_probed_by(self, number: int) -> str | None:
        """The member that requests of a number are about."""
        return next((n for n, probe in self._by_name.items() if probe.number == number), None)

    def exclude_pause(self, duration: float) -> None:
        """Leave a local pause out of every deadline."""
        for probe in self._by_name.values():
            probe.next_at += duration
            probe.since += duration


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health score: 0 is healthy, MAX_HEALTH_SCORE the worst."""

    score: int = 0

    def timeout_multiplier(self) -> float:
        """The factor by which intervals and timeouts grow."""
        return 1.0 + self.score

    def adjust(self, change: int) -> None:
        """Worsen (positive) or better (negative) the score, within its bounds."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))
