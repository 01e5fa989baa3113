"""The budgets: what may come in before it is looked at, and what may go out. Pure; bytes and seconds.

Checking a datagram's code costs processor time, so a flood must be turned away before that. All members
together may have as much looked at as an instance may send; one of them alone a part of it, and strange
addresses all together another part: a flood from either leaves the rest alone.

What goes out has a priority. Each class may spend the budget down to a level of its own, so heartbeats and
leases find room where gossip and lists wait for their next turn; all of it is said again by its sender.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BURST = 2.0  # seconds of a budget that may be saved up
PART_OF_ONE = 0.25  # of the budget, that one member may have looked at
PART_OF_STRANGERS = 0.25  # that all strange addresses together may have looked at


class Priority(Enum):
    """Classes of messages: the part of a full budget that one of them leaves to those before it."""

    HEARTBEAT = 0.0
    GOSSIP = 0.2
    LIST = 0.4


@dataclass(slots=True)
class Bucket:
    """So many units a second, saved up for BURST seconds."""

    rate: float
    held: float = -1.0  # -1: full
    at: float = 0.0

    def take(self, now: float, units: float, leave: float = 0.0) -> bool:
        """Spend units, if so many are there and `leave`, a part of a full bucket, remains."""
        full = self.rate * BURST
        self.held = full if self.held < 0 else min(full, self.held + (now - self.at) * self.rate)
        self.at = now
        if self.held < units + leave * full:
            return False
        self.held -= units
        return True


class Intake:
    """Which datagrams are looked at, by where they come from."""

    def __init__(self, bytes_per_s: float):
        self._rate = bytes_per_s
        self._members = Bucket(bytes_per_s)
        self._strangers = Bucket(bytes_per_s * PART_OF_STRANGERS)
        self._known: dict[tuple[str, int], Bucket] = {}
        self.refused = 0

    def know(self, addresses: list[tuple[str, int]]) -> None:
        """The members' addresses at present, as members tell them."""
        each = self._rate * PART_OF_ONE
        self._known = {a: self._known.get(a) or Bucket(each) for a in addresses}

    def admits(self, now: float, source: tuple[str, int], size: int) -> bool:
        """Whether a datagram of so many bytes is looked at."""
        known = self._known.get(source)
        if known is None:
            admitted = self._strangers.take(now, size)
        else:
            admitted = known.take(now, size) and self._members.take(now, size)
        self.refused += not admitted
        return admitted
