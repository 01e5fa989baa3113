"""How long a doubt lasts before it is believed, and how far a member trusts its own eyes.

Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: local health awareness for more accurate failure
detection", 2018): a suspicion starts long and shortens as others tell of it independently, and a member
that has reason to doubt itself probes more slowly and waits for longer. Pure. Seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MOST_DOUBT = 8  # of itself: waits are up to this many and one times as long
CONFIRMATIONS = 3  # independent ones after which a suspicion is as short as it gets


def shortest(members: int, interval: float, factor: float) -> float:
    """How long a suspicion lasts at least: long enough for its news to go round and for the answer to it."""
    return factor * max(1.0, math.log10(max(1, members))) * interval


@dataclass(slots=True)
class Suspicion:
    """A doubt about one member at one incarnation."""

    since: float
    least: float
    most: float
    by: set[str] = field(default_factory=set)  # the members whose own probes raised it

    def until(self) -> float:
        """When it becomes certainty, unless it is refuted before."""
        others = min(CONFIRMATIONS, max(0, len(self.by) - 1))
        part = math.log(others + 1) / math.log(CONFIRMATIONS + 1)
        return self.since + max(self.least, self.most - (self.most - self.least) * part)

    def delay(self, span: float) -> None:
        """We did not look for so long: that time does not count against anyone."""
        self.since += span


@dataclass(slots=True)
class Health:
    """A member's doubt of itself: 0 is well."""

    doubt: int = 0

    def scale(self) -> float:
        return 1.0 + self.doubt

    def note(self, change: int) -> None:
        self.doubt = min(MOST_DOUBT, max(0, self.doubt + change))
