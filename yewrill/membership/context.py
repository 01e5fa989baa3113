"""State of one member that its probing and its suspicion tracking share."""

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
    """Event counts since the process started, for metrics."""

    suspected: int = 0  # number of suspicions raised by probes of this member
    refuted: int = 0
    attested: int = 0  # number of suspicion probes ended by an ack of a third member
    died: int = 0  # number of members that this member declared dead
    late: int = 0  # number of pauses of this process that delayed the protocol
    dropped: int = 0  # number of claims that were invalid, or beyond the limit on the table's size
    isolated: int = 0  # number of periods in which no message arrived from any member


@dataclass(slots=True)
class SwimContext:
    """Member table, gossip queue, local health score and request numbers of one member."""

    config: SwimConfig
    rng: random.Random
    table: MemberTable
    gossip: GossipQueue
    health: LocalHealth = field(default_factory=LocalHealth)
    counts: MembershipCounters = field(default_factory=MembershipCounters)
    request_numbers: Iterator[int] = field(default_factory=itertools.count)

    def timeout(self) -> float:
        """Returns the seconds to wait for an answer; a poor local health score makes them longer."""
        return self.config.timeout * self.health.timeout_multiplier()

    def spread(self, claim: Claim, now: float, out: list[OutgoingMessage]) -> set[Address]:
        """Sends a claim to a few reachable members at once; returns their addresses."""
        reachable = self.table.reachable(now, claim.name)
        count = min(self.config.suspicion_fanout, len(reachable))
        chosen = self.rng.sample(reachable, count)
        out += [(c.address, Message("news", updates=(claim,))) for c in chosen]
        return {c.address for c in chosen}
