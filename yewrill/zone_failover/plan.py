"""The failover plan: each zone's fraction of its normal traffic, and the capacity limits that bound it.

This module does no I/O and reads no clock. Traffic weights are integers in thousandths, so that all members
encode a plan to the same bytes. Capacities are in slots of any size, as long as it is the same for all zones.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property

FULL_WEIGHT = 1000
# Traffic weights of a recovering zone, one per step; the first is the trial.
RECOVERY_RAMP = (50, 200, 500, FULL_WEIGHT)
MAX_ZONES = 64
# Number of plan numbers that belong to one lease: the first is the fencing number times this.
PLANS_PER_EPOCH = 2**24
# The fraction of the other zones' capacity that may be in use once a zone is left.
MAX_UTILIZATION = 0.95


@dataclass(frozen=True, slots=True)
class ZoneEntry:
    """The plan's entry for one zone. A zone without an entry is healthy and gets all its traffic."""

    traffic_weight: int  # thousandths of the zone's normal traffic
    # Number of times that the zone was left in quick succession; each doubles the hold time before its trial.
    penalty_count: int = 1
    is_recovering: bool = False  # whether the zone's weight is being raised step by step


@dataclass(frozen=True, eq=False)
class FailoverPlan:
    """The entries of all zones that aren't healthy. Of two plans the one with the higher version is valid.

    Versions are ordered by number, and by digest among equal numbers.
    """

    number: int = 0
    zones: Mapping[str, ZoneEntry] = field(default_factory=dict)

    @cached_property
    def version(self) -> tuple[int, str]:
        """The plan's number, and a digest of the number and the entries; (0, "") for the initial plan."""
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
        """Returns the zone's traffic in thousandths of its normal traffic."""
        entry = self.zones.get(zone)
        return FULL_WEIGHT if entry is None else entry.traffic_weight

    def changed_zones(self, other: FailoverPlan) -> list[str]:
        """Returns the zones whose entries differ between the two plans."""
        return sorted(
            z for z in {*self.zones, *other.zones} if self.zones.get(z) != other.zones.get(z)
        )

    def with_entry(self, zone: str, entry: ZoneEntry | None, epoch: int = 0) -> FailoverPlan:
        """Returns the next plan, with a new entry for a zone; None removes the entry.

        `epoch` is the fencing number of the proposer's lease, 0 without leases.
        """
        zones = {name: e for name, e in self.zones.items() if name != zone}
        if entry is not None:
            zones[zone] = entry
        return FailoverPlan(max(self.number, epoch * PLANS_PER_EPOCH) + 1, zones)


def next_recovery_step(entry: ZoneEntry) -> ZoneEntry | None:
    """Returns the entry after the next recovery step; None once the zone gets its full traffic."""
    step = next((s for s in RECOVERY_RAMP if s > entry.traffic_weight), FULL_WEIGHT)
    return replace(entry, traffic_weight=step, is_recovering=True) if step < FULL_WEIGHT else None


def min_traffic_weight(
    plan: FailoverPlan,
    zone: str,
    capacity: Mapping[str, float],
    busy_slots: float,
    max_excluded_fraction: float,
) -> int:
    """Returns the lowest traffic weight that the capacity limits allow for a zone that is left.

    The weight is in thousandths; `busy_slots` is the number of slots in use fleet-wide. Traffic that the
    other zones have no capacity for stays with the zone, even if the zone serves nothing: each dispatcher's
    own worker estimates keep most of it off the failing workers, while moving it would make the other zones
    late (docs/measurements/zones.md). At most `max_excluded_fraction` of all capacity may be left at once.
    """
    own_capacity = capacity.get(zone, 0.0)
    total = sum(capacity.values())
    others = {z: c * plan.traffic_weight(z) / FULL_WEIGHT for z, c in capacity.items() if z != zone}
    if own_capacity <= 0 or not others or sum(others.values()) <= 0:
        return FULL_WEIGHT
    min_fraction = 0.0
    if busy_slots > 1e-9:
        min_fraction = (busy_slots - MAX_UTILIZATION * sum(others.values())) / (
            busy_slots * own_capacity / total
        )
    excluded_capacity = sum(capacity[z] - c for z, c in others.items())
    min_fraction = max(
        min_fraction,
        1.0 - max(0.0, max_excluded_fraction * total - excluded_capacity) / own_capacity,
    )
    return min(FULL_WEIGHT, max(0, round(FULL_WEIGHT * min_fraction)))
