"""Voters of a replicated log in a virtual network: seeded, in virtual time, with every fault at once.

Messages are lost, late, doubled and out of order; ways are cut, one way or both; voters are killed and start
anew, with their disks or with the disks' tails lost, are paused, and have clocks that run fast. After each
step the invariants of `raftcheck.py` are looked at, and that what was acknowledged stays.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import Path, VirtualNetwork
from yewrill.lab.raftcheck import Broken
from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    COMMAND,
    LEADER,
    LogEntry,
    PersistentRaftState,
    RaftMessage,
    Ready,
    Snapshot,
)
from yewrill.leases.timing import Driver, Times


@dataclass(eq=False)
class Voter:
    name: str
    driver: Driver
    disk: PersistentRaftState
    past: list[PersistentRaftState] = field(default_factory=list)
    incarnation: int = 1
    up: bool = True
    paused_until: float = -1.0
    rate: float = 1.0  # of its clock
    applied: int = 0

    @property
    def raft(self) -> Raft:
        return self.driver.raft


class RaftNet(VirtualNetwork):
    def __init__(
        self,
        seed: int,
        voters: int = 3,
        path: Path | None = None,
        times: Times | None = None,
        make: Callable[..., Raft] = Raft,
    ):
        super().__init__(seed, path or Path(delay=0.005, jitter=0.005))
        self.times, self.make = times or Times(), make
        self.names = tuple(f"v{i}" for i in range(voters))
        self.committed: list[LogEntry] = []
        self.leaders: dict[int, str] = {}
        self.acknowledged: set[bytes] = set()
        self.elections = 0
        self.voters: dict[str, Voter] = {}
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.names))
        for name in self.names:
            raft = self.make(name, 1, disk)
            self.voters[name] = Voter(name, self._driver(raft), disk, [disk])
            self._arm(self.voters[name])

    def _driver(self, raft: Raft) -> Driver:
        return Driver(raft, random.Random(self.rng.getrandbits(64)), self.now, self.times)

    # -- faults

    def kill(self, name: str) -> None:
        self.voters[name].up = False

    def restart(self, name: str, lose: int = 0) -> None:
        """Start anew; the last `lose` states of the disk were never there."""
        voter = self.voters[name]
        voter.up = True
        voter.disk = voter.past[max(0, len(voter.past) - 1 - lose)]
        voter.past = [voter.disk]
        voter.incarnation += 1
        voter.applied = 0
        voter.driver = self._driver(self.make(name, voter.incarnation, voter.disk))
        self._out(voter, voter.raft.take())
        self._arm(voter)

    def pause(self, name: str, span: float) -> None:
        self.voters[name].paused_until = self.now + span

    # -- time

    def _arm(self, voter: Voter) -> None:
        driver = voter.driver

        def step() -> None:
            if voter.driver is not driver or not voter.up:
                return
            if self.now < voter.paused_until:
                self.at(voter.paused_until + 1e-4, step)
                return
            self._out(voter, driver.tick(self.now * voter.rate))
            self.at(max(self.now + 1e-3, driver.due / voter.rate), step)

        self.at(max(self.now, driver.due / voter.rate), step)

    def _out(self, voter: Voter, out: Ready) -> None:
        if out.save is not None:
            voter.disk = out.save
            voter.past = [*voter.past, out.save][-6:]
        for message in out.messages:
            self.deliver(self.path(voter.name, message.to), lambda m=message: self._arrive(m))
        if out.installed is not None:
            voter.applied = out.installed.index
        for index, entry in out.committed:
            if index <= len(self.committed):
                if self.committed[index - 1] != entry:
                    raise Broken(f"{voter.name} commits another entry at {index}")
            else:
                self.committed.append(entry)
            voter.applied = index
            if entry.kind == COMMAND and voter.raft.role == LEADER:
                self.acknowledged.add(entry.data)
        raft = voter.raft
        if raft.role == LEADER and self.leaders.get(raft.term) != voter.name:
            if raft.term in self.leaders:
                raise Broken(f"two leaders in term {raft.term}")
            self.leaders[raft.term] = voter.name
            self.elections += 1
            if raft.last_index < len(self.committed):
                raise Broken(f"{voter.name} leads in term {raft.term} without what was committed")

    def _arrive(self, message: RaftMessage) -> None:
        voter = self.voters[message.to]
        if not voter.up:
            return
        if self.now < voter.paused_until:
            self.at(voter.paused_until + 1e-3, lambda: self._arrive(message))
            return
        self._out(voter, voter.driver.receive(self.now * voter.rate, message))

    # -- what they do

    def leader(self) -> Voter | None:
        """The one of the highest term."""
        leading = [v for v in self.voters.values() if v.up and v.raft.role == LEADER]
        return max(leading, key=lambda v: v.raft.term, default=None)

    def propose(self, data: bytes) -> bool:
        voter = self.leader()
        if voter is None or self.now < voter.paused_until:
            return False
        index = voter.raft.propose(COMMAND, data)
        self._out(voter, voter.raft.take())
        return bool(index)

    def check(self) -> None:
        """All that was acknowledged is there, once each."""
        there = [e.data for e in self.committed if e.kind == COMMAND]
        if not self.acknowledged <= set(there) or len(there) != len(set(there)):
            raise Broken("an acknowledged order is gone, or there twice")
