"""The fleet's plan: each zone's share of the new work that would go there, and the guards that bound it.

Pure. Shares are in thousandths, so that all members hold the same bytes; capacities are in slots, of whatever
size, as long as one unit serves for all.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property

FULL_WEIGHT = 1000
RECOVERY_RAMP = (50, 200, 500, FULL_WEIGHT)  # the way back; the first is the trial
MAX_ZONES = 64
EPOCH = 2**24  # plans of one owner; its grant's number counts in these
FILL = 0.95  # the part of the other zones' capacity that may be spoken for


@dataclass(frozen=True, slots=True)
class ZoneEntry:
    """One zone. A zone without an entry is well."""

    traffic_weight: int  # thousandths
    penalty_count: int = (
        1  # how often it was left in short order: each doubles the time until it is tried
    )
    is_recovering: bool = False  # it is being taken back, step by step


@dataclass(frozen=True, eq=False)
class FailoverPlan:
    """Versions are ordered by number, and by digest among equal numbers; the higher one stands."""

    number: int = 0
    zones: Mapping[str, ZoneEntry] = field(default_factory=dict)

    @cached_property
    def version(self) -> tuple[int, str]:
        if not self.number:
            return 0, ""
        text = ";".join(
            f"{name}={e.traffic_weight},{e.penalty_count},{e.is_recovering}"
            for name, e in sorted(self.zones.items())
        )
        return self.number, hashlib.blake2b(
            f"{self.number};{text}".encode(), digest_size=8
        ).hexdigest()

    def traffic_weight(self, zone: str) -> int:
        entry = self.zones.get(zone)
        return FULL_WEIGHT if entry is None else entry.traffic_weight

    def differs(self, other: FailoverPlan) -> list[str]:
        """The zones whose entries are not the same in both."""
        return sorted(
            z for z in {*self.zones, *other.zones} if self.zones.get(z) != other.zones.get(z)
        )

    def with_entry(self, zone: str, entry: ZoneEntry | None, epoch: int = 0) -> FailoverPlan:
        """The next plan, with another entry of a zone; None: it is well. `epoch`: its maker's grant."""
        zones = {name: e for name, e in self.zones.items() if name != zone}
        if entry is not None:
            zones[zone] = entry
        return FailoverPlan(max(self.number, epoch * EPOCH) + 1, zones)


def next_recovery_step(entry: ZoneEntry) -> ZoneEntry | None:
    """The next step of the way back; None: there it is well."""
    step = next((s for s in RECOVERY_RAMP if s > entry.traffic_weight), FULL_WEIGHT)
    return replace(entry, traffic_weight=step, is_recovering=True) if step < FULL_WEIGHT else None


def min_traffic_weight(
    plan: FailoverPlan, zone: str, capacity: Mapping[str, float], busy: float, most_out: float
) -> int:
    """The least share at which a zone may be left, in thousandths: what the guards leave there.

    `busy`: slots of the whole fleet's running work. What the others can't carry stays, even where nothing
    comes back from there: each dispatcher's own beliefs hold it off those workers, and moved it would make
    the others late (docs/measurements/zones.md).
    """
    own = capacity.get(zone, 0.0)
    total = sum(capacity.values())
    others = {z: c * plan.traffic_weight(z) / FULL_WEIGHT for z, c in capacity.items() if z != zone}
    if own <= 0 or not others or sum(others.values()) <= 0:
        return FULL_WEIGHT
    keep = 0.0
    if busy > 1e-9:
        keep = (busy - FILL * sum(others.values())) / (busy * own / total)
    out = sum(capacity[z] - c for z, c in others.items())
    keep = max(keep, 1.0 - max(0.0, most_out * total - out) / own)
    return min(FULL_WEIGHT, max(0, round(FULL_WEIGHT * keep)))
