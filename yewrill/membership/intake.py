"""Byte budgets of the membership's traffic, inbound and outbound. Pure; bytes and seconds.

Verifying a datagram's MAC costs processor time, so a flood is dropped before that. All members together may
have as many bytes processed as an instance may send; a single member a fraction of that, and all unknown
addresses together another fraction, so that a flood from either does not starve the rest.

Outbound messages have a priority. Each class may spend the budget down to a level of its own, so heartbeats
and leases find room where gossip and list pages are held back; their senders repeat all of them anyway.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BURST_SECONDS = 2.0  # of a budget that may accumulate
MEMBER_FRACTION = 0.25  # of the budget: what one member may use
STRANGERS_FRACTION = 0.25  # of the budget: what all unknown addresses together may use


class Priority(Enum):
    """Classes of outbound messages; the value is the fraction of a full budget left to higher ones."""

    HEARTBEAT = 0.0
    GOSSIP = 0.2
    LIST = 0.4


@dataclass(slots=True)
class TokenBucket:
    """A token bucket of `rate` units a second that holds BURST_SECONDS of them."""

    rate: float
    tokens: float = -1.0  # -1: full
    updated_at: float = 0.0

    def take(self, now: float, units: float, reserve: float = 0.0) -> bool:
        """Spend units if they are there and `reserve`, a fraction of a full bucket, remains."""
        full = self.rate * BURST_SECONDS
        self.tokens = (
            full
            if self.tokens < 0
            else min(full, self.tokens + (now - self.updated_at) * self.rate)
        )
        self.updated_at = now
        if self.tokens < units + reserve * full:
            return False
        self.tokens -= units
        return True


class InboundBudget:
    """Decides by source address which datagrams are processed."""

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._members = TokenBucket(bytes_per_s)
        self._strangers = TokenBucket(bytes_per_s * STRANGERS_FRACTION)
        self._by_address: dict[tuple[str, int], TokenBucket] = {}
        self.refused = 0

    def set_members(self, addresses: list[tuple[str, int]]) -> None:
        """Set the present addresses of members and seeds."""
        each = self._rate * MEMBER_FRACTION
        self._by_address = {a: self._by_address.get(a) or TokenBucket(each) for a in addresses}

    def admits(self, now: float, source: tuple[str, int], size: int) -> bool:
        """Whether a datagram of `size` bytes is processed."""
        bucket = self._by_address.get(source)
        if bucket is None:
            admitted = self._strangers.take(now, size)
        else:
            admitted = bucket.take(now, size) and self._members.take(now, size)
        self.refused += not admitted
        return admitted
