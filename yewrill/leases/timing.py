"""The timers of Raft: heartbeats, election timeout, quorum check. Times are seconds of any monotonic clock.

Safety doesn't depend on these timers: a wrong clock can cause elections, but never the loss of an entry.
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
class RaftTiming:
    """Durations in seconds."""

    heartbeat_interval: float = 0.1
    election_timeout: float = 0.6  # shortest election timeout; the longest is twice as long


class RaftDriver:
    """Calls a `Raft` when its timers are due."""

    def __init__(self, raft: Raft, rng: random.Random, now: float, times: RaftTiming | None = None):
        self.raft, self._rng, self._times = raft, rng, times or RaftTiming()
        self._next_heartbeat_at = now
        self._next_quorum_check_at = now + self._times.election_timeout
        self._restart_election_timeout(now)

    @property
    def due(self) -> float:
        """The time at which `tick` must be called next."""
        return min(
            self._next_heartbeat_at,
            self._next_quorum_check_at if self.raft.role == LEADER else self._election_timeout_at,
        )

    def tick(self, now: float) -> Ready:
        """Runs the timers that are due."""
        raft = self.raft
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._times.heartbeat_interval
            raft.send_heartbeats()
        if raft.role == LEADER:
            if now >= self._next_quorum_check_at:
                self._next_quorum_check_at = now + self._times.election_timeout
                raft.check_quorum()
            self._restart_election_timeout(now)
        elif now >= self._election_timeout_at:
            raft.campaign()
            self._restart_election_timeout(now)
            self._next_quorum_check_at = now + 2 * self._times.election_timeout
        return raft.take()

    def receive(self, now: float, message: RaftMessage) -> Ready:
        """Handles one message. A leader's message, or a vote granted, restarts the election timeout."""
        raft = self.raft
        vote = raft.vote
        raft.receive(message)
        from_leader = (
            message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT)
            and raft.leader == message.sender
        )
        if from_leader or (raft.vote != vote and raft.vote == message.sender):
            self._restart_election_timeout(now)
        return raft.take()

    def _restart_election_timeout(self, now: float) -> None:
        self._election_timeout_at = now + self._times.election_timeout * (1.0 + self._rng.random())
