"""Byte budgets of the membership's inbound and outbound datagrams. No I/O and no clock; bytes and seconds.

Verifying a datagram's MAC costs processor time, so a flood is dropped before that step. Inbound, all members
together may use as many bytes per second as a process may send. A single member may use a fraction of that,
and all unknown addresses together another fraction, so that a flood from either does not starve the others.

Outbound, each priority leaves a part of the budget to the higher ones: gossip and list pages are held back
while heartbeats and leases can still be sent. A dropped message does no harm, since its sender repeats it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Seconds of an unused budget that may accumulate for a burst.
BURST_SECONDS = 2.0
# Fraction of the inbound budget that one member may use.
MEMBER_FRACTION = 0.25
# Fraction of the inbound budget that all unknown addresses together may use.
UNKNOWN_SOURCES_FRACTION = 0.25


class Priority(Enum):
    """Priorities of outbound messages; the value is the fraction of a full bucket kept for higher ones."""

    HEARTBEAT = 0.0
    GOSSIP = 0.2
    LIST = 0.4


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that gains `rate` units per second and holds at most BURST_SECONDS of them."""

    rate: float
    tokens: float = -1.0  # present content of the bucket; -1 stands for a full one
    updated_at: float = 0.0

    def take(self, now: float, units: float, reserve: float = 0.0) -> bool:
        """Spends `units` and returns True, if the fraction `reserve` of a full bucket remains afterwards."""
        capacity = self.rate * BURST_SECONDS
        self.tokens = (
            capacity
            if self.tokens < 0
            else min(capacity, self.tokens + (now - self.updated_at) * self.rate)
        )
        self.updated_at = now
        if self.tokens < units + reserve * capacity:
            return False
        self.tokens -= units
        return True


class InboundBudget:
    """Decides by the source address whether a datagram is processed."""

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._members = TokenBucket(bytes_per_s)
        self._unknown_sources = TokenBucket(bytes_per_s * UNKNOWN_SOURCES_FRACTION)
        self._by_address: dict[tuple[str, int], TokenBucket] = {}
        self.refused = 0

    def set_members(self, addresses: list[tuple[str, int]]) -> None:
        """Sets the addresses of the known members and seeds."""
        member_rate = self._rate * MEMBER_FRACTION
        self._by_address = {
            a: self._by_address.get(a) or TokenBucket(member_rate) for a in addresses
        }

    def admits(self, now: float, source: tuple[str, int], size: int) -> bool:
        """Returns whether a datagram of `size` bytes is processed, and charges the budgets of its source."""
        bucket = self._by_address.get(source)
        if bucket is None:
            admitted = self._unknown_sources.take(now, size)
        else:
            admitted = bucket.take(now, size) and self._members.take(now, size)
        self.refused += not admitted
        return admitted
