"""What the parts of one member share."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from yewrill.membership.config import SwimConfig
from yewrill.membership.gossip import GossipQueue
from yewrill.membership.messages import Address, Claim, Message, OutgoingMessage
from yewrill.membership.suspicion import LocalHealth
from yewrill.membership.table import MemberTable


@dataclass(slots=True)
class MembershipCounters:
    """Counts since the start, for metrics."""

    suspected: int = 0  # suspicions raised by our own probes
    refuted: int = 0
    attested: int = 0  # another member's ack ended a suspicion probe
    died: int = 0  # deaths believed
    late: int = 0  # ticks that came too late
    dropped: int = 0  # claims that were invalid or beyond the size limit
    isolated: int = 0  # times that nobody was heard from


@dataclass(slots=True)
class SwimContext:
    """Table, gossip queue, local health and the rest that probing and suspicion both use."""

    config: SwimConfig
    rng: random.Random
    table: MemberTable
    gossip: GossipQueue
    health: LocalHealth = field(default_factory=LocalHealth)
    counts: MembershipCounters = field(default_factory=MembershipCounters)
    request_numbers: Iterator[int] = field(default_factory=itertools.count)

    def timeout(self) -> float:
        """Seconds to wait for an answer, as the local health allows."""
        return self.config.timeout * self.health.timeout_multiplier()

    def spread(self, claim: Claim, now: float, out: list[OutgoingMessage]) -> set[Address]:
        """Send a claim to a few reachable members at once; returns their addresses."""
        reachable = self.table.reachable(now, claim.name)
        count = min(self.config.suspicion_fanout, len(reachable))
        chosen = self.rng.sample(reachable, count)
        out += [(c.address, Message("news", updates=(claim,))) for c in chosen]
        return {c.address for c in chosen}
