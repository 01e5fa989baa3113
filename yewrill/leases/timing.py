"""When a voter stands, speaks and counts: the time of the replicated log. Pure; seconds of any steady clock.

Nothing that must hold rests on this: a time that is wrong costs elections, never an entry.
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
    beat: float = 0.1  # between two words of a leader
    election: float = (
        0.6  # at the least, without a leader, before standing; up to twice that by chance
    )


class Driver:
    """A machine and its time."""

    def __init__(self, raft: Raft, rng: random.Random, now: float, times: Times | None = None):
        self.raft, self._rng, self._times = raft, rng, times or Times()
        self._beat = now
        self._check = now + self._times.election
        self._wait(now)

    @property
    def due(self) -> float:
        return min(self._beat, self._check if self.raft.role == LEADER else self._election)

    def tick(self, now: float) -> Ready:
        """Whatever is due."""
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
        """One message; a leader's word, or a vote given, puts off our own standing."""
        raft = self.raft
        vote = raft.vote
        raft.receive(message)
        heard = (
            message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT)
            and raft.leader == message.sender
        )
        if heard or (raft.vote != vote and raft.vote == message.sender):
            self._wait(now)
        return raft.take()

    def _wait(self, now: float) -> None:
        self._election = now + self._times.election * (1.0 + self._rng.random())
