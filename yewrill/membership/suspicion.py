"""Duration of a suspicion, the suspicion probes, and the local health score.

After Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: local health awareness for more accurate failure
detection", 2018): a suspicion starts with a long timeout, which shortens as other members confirm it
independently; a member whose own health is in doubt probes more slowly and waits longer for answers. No I/O
and no clock; times are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from yewrill.membership.messages import Address, Claim

# Worst local health score; timeouts grow with the score, by a factor of up to nine.
MAX_HEALTH_SCORE = 8
# Number of independent confirmations after which a suspicion has its shortest duration.
CONFIRMATIONS_FOR_MINIMUM = 3


def min_suspicion_seconds(members: int, interval: float, factor: float) -> float:
    """Returns the shortest duration of a suspicion: its update must reach all, and the refutation return."""
    return factor * max(1.0, math.log10(max(1, members))) * interval


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member at one incarnation."""

    since: float
    minimum: float
    maximum: float
    # Members whose own probes raised the suspicion.
    accusers: set[str] = field(default_factory=set)

    def expires_at(self) -> float:
        """Returns the time at which the suspicion ends, unless it is refuted before."""
        confirmations = min(CONFIRMATIONS_FOR_MINIMUM, max(0, len(self.accusers) - 1))
        fraction = math.log(confirmations + 1) / math.log(CONFIRMATIONS_FOR_MINIMUM + 1)
        range_seconds = self.maximum - self.minimum
        return self.since + max(self.minimum, self.maximum - range_seconds * fraction)

    def exclude_pause(self, duration: float) -> None:
        """Excludes a pause of this process from the duration of the suspicion."""
        self.since += duration


@dataclass(slots=True)
class SuspicionProbe:
    """Repeated pings to a member that did not answer, or that others suspect, until the case is decided."""

    number: int  # request number of the pings and of the indirect probes
    since: float
    next_at: float  # time at which the member is pinged again
    # The suspicion, reported by another member, that this probe checks.
    reported: Claim | None = None
    # By reporter: the member whose probes found the probed member silent.
    findings: dict[str, str] = field(default_factory=dict)
    death_reporters: set[str] = field(default_factory=set)
    # Members that receive messages from the probed member, although it does not answer their pings.
    receivers: set[str] = field(default_factory=set)
    # Addresses that are notified if the member turns out to be alive.
    subscribers: set[Address] = field(default_factory=set)
    forwarded: bool = False  # whether the reported suspicion was passed on


class SuspicionProbes:
    """Suspicion probes under way, by the name of the member."""

    def __init__(self) -> None:
        self._by_name: dict[str, SuspicionProbe] = {}

    def __len__(self) -> int:
        """Number of probes under way."""
        return len(self._by_name)

    def names(self) -> set[str]:
        """Returns the names of the probed members."""
        return set(self._by_name)

    def get(self, name: str) -> SuspicionProbe | None:
        """Returns the probe of a member, or None."""
        return self._by_name.get(name)

    def add(self, name: str, probe: SuspicionProbe) -> None:
        """Adds the probe of a member."""
        self._by_name[name] = probe

    def discard(self, name: str) -> None:
        """Removes the probe of a member, if there is one."""
        self._by_name.pop(name, None)

    def due(self, now: float) -> list[tuple[str, SuspicionProbe]]:
        """Returns the members and probes whose next ping is due."""
        return [(name, probe) for name, probe in self._by_name.items() if now >= probe.next_at]

    def due_times(self) -> list[float]:
        """Returns the time of each probe's next ping."""
        return [probe.next_at for probe in self._by_name.values()]

    def member_probed_by(self, number: int) -> str | None:
        """Returns the member that requests with this number are about, or None."""
        return next((n for n, probe in self._by_name.items() if probe.number == number), None)

    def exclude_pause(self, duration: float) -> None:
        """Postpones every deadline by the duration of a pause of this process."""
        for probe in self._by_name.values():
            probe.next_at += duration
            probe.since += duration


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health score: 0 is healthy, MAX_HEALTH_SCORE is the worst."""

    score: int = 0

    def timeout_multiplier(self) -> float:
        """Returns the factor by which probe intervals and timeouts grow."""
        return 1.0 + self.score

    def adjust(self, change: int) -> None:
        """Worsens the score (positive change) or improves it (negative change), within its bounds."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))
