"""Simulates the voters of a replicated log, in virtual time and from a seed, with many faults at once.

Messages are lost, delayed, duplicated and reordered; paths are cut in one or both directions; voters are
killed and restarted, with their disk intact or with its tail lost, are paused, and have clocks that run fast.
Each step checks the invariants of `raftcheck.py`; `check` checks that acknowledged entries are kept.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import NetworkPath, VirtualNetwork
from yewrill.lab.raftcheck import InvariantViolation
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
from yewrill.leases.timing import RaftDriver, RaftTiming


@dataclass(eq=False)
class Voter:
    """One simulated voter, with its disk."""

    name: str
    driver: RaftDriver
    disk: PersistentRaftState
    saved_states: list[PersistentRaftState] = field(default_factory=list)
    incarnation: int = 1
    up: bool = True
    paused_until: float = -1.0
    clock_rate: float = 1.0
    applied_index: int = 0

    @property
    def raft(self) -> Raft:
        """The Raft state machine of the voter's current incarnation."""
        return self.driver.raft


class RaftNet(VirtualNetwork):
    """The simulated voters and the network between them. Raises InvariantViolation if an invariant fails."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        path: NetworkPath | None = None,
        times: RaftTiming | None = None,
        create_raft: Callable[..., Raft] = Raft,
    ):
        super().__init__(seed, path or NetworkPath(delay=0.005, jitter=0.005))
        self.times, self.create_raft = times or RaftTiming(), create_raft
        self.names = tuple(f"v{i}" for i in range(voters))
        self.committed: list[LogEntry] = []
        self.leaders: dict[int, str] = {}
        self.acknowledged: set[bytes] = set()
        self.elections = 0
        self.voters: dict[str, Voter] = {}
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.names))
        for name in self.names:
            raft = self.create_raft(name, 1, disk)
            self.voters[name] = Voter(name, self._driver(raft), disk, [disk])
            self._schedule(self.voters[name])

    def _driver(self, raft: Raft) -> RaftDriver:
        return RaftDriver(raft, random.Random(self.rng.getrandbits(64)), self.now, self.times)

    # -- faults

    def kill(self, name: str) -> None:
        """Stops a voter's process; its disk stays."""
        self.voters[name].up = False

    def restart(self, name: str, lose: int = 0) -> None:
        """Starts a voter again. Its disk loses the last `lose` states that were saved."""
        voter = self.voters[name]
        voter.up = True
        voter.disk = voter.saved_states[max(0, len(voter.saved_states) - 1 - lose)]
        voter.saved_states = [voter.disk]
        voter.incarnation += 1
        voter.applied_index = 0
        voter.driver = self._driver(self.create_raft(name, voter.incarnation, voter.disk))
        self._process_output(voter, voter.raft.take())
        self._schedule(voter)

    def pause(self, name: str, span: float) -> None:
        """Suspends a voter for `span` seconds."""
        self.voters[name].paused_until = self.now + span

    # -- time

    def _schedule(self, voter: Voter) -> None:
        driver = voter.driver

        def step() -> None:
            if voter.driver is not driver or not voter.up:
                return
            if self.now < voter.paused_until:
                self.at(voter.paused_until + 1e-4, step)
                return
            self._process_output(voter, driver.tick(self.now * voter.clock_rate))
            self.at(max(self.now + 1e-3, driver.due / voter.clock_rate), step)

        self.at(max(self.now, driver.due / voter.clock_rate), step)

    def _process_output(self, voter: Voter, output: Ready) -> None:
        if output.save is not None:
            voter.disk = output.save
            voter.saved_states = [*voter.saved_states, output.save][-6:]
        for message in output.messages:
            self.deliver(self.path(voter.name, message.to), lambda m=message: self._arrive(m))
        if output.installed is not None:
            voter.applied_index = output.installed.index
        for index, entry in output.committed:
            if index <= len(self.committed):
                if self.committed[index - 1] != entry:
                    raise InvariantViolation(
                        f"{voter.name} commits an entry that differs from the one committed before "
                        f"at index {index}"
                    )
            else:
                self.committed.append(entry)
            voter.applied_index = index
            if entry.kind == COMMAND and voter.raft.role == LEADER:
                self.acknowledged.add(entry.data)
        raft = voter.raft
        if raft.role == LEADER and self.leaders.get(raft.term) != voter.name:
            if raft.term in self.leaders:
                raise InvariantViolation(f"two leaders in term {raft.term}")
            self.leaders[raft.term] = voter.name
            self.elections += 1
            if raft.last_index < len(self.committed):
                raise InvariantViolation(
                    f"{voter.name} leads in term {raft.term} without all committed entries"
                )

    def _arrive(self, message: RaftMessage) -> None:
        voter = self.voters[message.to]
        if not voter.up:
            return
        if self.now < voter.paused_until:
            self.at(voter.paused_until + 1e-3, lambda: self._arrive(message))
            return
        self._process_output(voter, voter.driver.receive(self.now * voter.clock_rate, message))

    # -- the log

    def leader(self) -> Voter | None:
        """Returns the leader of the highest term, None if there is no leader."""
        leading = [v for v in self.voters.values() if v.up and v.raft.role == LEADER]
        return max(leading, key=lambda v: v.raft.term, default=None)

    def propose(self, data: bytes) -> bool:
        """Proposes a command to the leader; returns whether it was appended."""
        voter = self.leader()
        if voter is None or self.now < voter.paused_until:
            return False
        index = voter.raft.propose(COMMAND, data)
        self._process_output(voter, voter.raft.take())
        return bool(index)

    def check(self) -> None:
        """Raises InvariantViolation unless each acknowledged command is committed exactly once."""
        committed_data = [e.data for e in self.committed if e.kind == COMMAND]
        if not self.acknowledged <= set(committed_data) or len(committed_data) != len(
            set(committed_data)
        ):
            raise InvariantViolation("an acknowledged command is missing, or committed twice")
