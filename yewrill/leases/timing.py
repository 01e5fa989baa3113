"""The timers of Raft: heartbeats, election timeout, quorum check. Pure; seconds of any monotonic clock.

Safety doesn't depend on these: a wrong time costs elections, never an entry.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    LEADER,
    MessageKind,
    RaftMessage,
    Ready,
)


@dataclass(frozen=True, slots=True)
class Times:
    """Durations in seconds."""

    beat: float = 0.1  # between two heartbeats of a leader
    election: float = 0.6  # the shortest election timeout; the longest is twice that


class Driver:
    """Drives a `Raft` by the time."""

    def __init__(self, raft: Raft, rng: random.Random, now: float, times: Times | None = None):
        self.raft, self._rng, self._times = raft, rng, times or Times()
        self._beat = now
        self._check = now + self._times.election
        self._wait(now)

    @property
    def due(self) -> float:
        """When `tick` is to be called next."""
        return min(self._beat, self._check if self.raft.role == LEADER else self._election)

    def tick(self, now: float) -> Ready:
        """Run the timers that are due."""
        raft = self.raft
        if now >= self._beat:
            self._beat = now + self._times.beat
            raft.beat()
        if raft.role == LEADER:
            if now >= self._check:
                self._check = now + self._times.election
                raft.check()
            self._wait(now)
        elif now >= self._election:
            raft.campaign()
            self._wait(now)
            self._check = now + 2 * self._times.election
        return raft.take()

    def receive(self, now: float, message: RaftMessage) -> Ready:
        """Handle one message. A leader's message, or a vote granted, restarts the election timeout."""
        raft = self.raft
        vote = raft.vote
        raft.receive(message)
        from_leader = (
            message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT)
            and raft.leader == message.sender
        )
        if from_leader or (raft.vote != vote and raft.vote == message.sender):
            self._wait(now)
        return raft.take()

    def _wait(self, now: float) -> None:
        self._election = now + self._times.election * (1.0 + self._rng.random())
