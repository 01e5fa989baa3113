"""Simulates members that compete for a lease, in virtual time and from a seed. Times are in seconds.

Each member has a lease node and a simulated disk; messages pass through the real codec, split into datagrams.
Members are killed, restarted with the disk intact or with its tail lost, paused and cut off, and their clocks
run fast or slow. After each step the simulation checks that at most one member holds the lease of the duty
(the work for which the lease is needed), and that each member accepts commands with fencing numbers that
never fall.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import NetworkPath, VirtualNetwork
from yewrill.lab.raftcheck import InvariantViolation
from yewrill.leases.format import pack, unpack
from yewrill.leases.lease_table import Fence
from yewrill.leases.node import LeaseNode, NodeOutput
from yewrill.leases.raft_types import (
    PersistentRaftState,
    Snapshot,
)
from yewrill.leases.states import StateMachine
from yewrill.membership.parts import FragmentAssembler, split_payload


@dataclass(eq=False)
class Member:
    """One simulated member, with its lease node, its disk and its clock."""

    name: str
    node: LeaseNode
    disk: PersistentRaftState
    saved_states: list[PersistentRaftState] = field(default_factory=list)
    incarnation: int = 1
    up: bool = True
    paused_until: float = -1.0
    clock_rate: float = 1.0
    bytes_sent: int = 0
    fence: Fence = field(default_factory=Fence)  # survives restarts, as if it were on disk
    assembler: FragmentAssembler = field(default_factory=FragmentAssembler)


class OwnNet(VirtualNetwork):
    """The simulated members and the network between them. Raises InvariantViolation if an invariant fails.

    `wanting`: only the first `wanting` members ask for the lease (default: all). `drift`: the rate of each
    member's clock is off by up to this fraction.
    """

    def __init__(
        self,
        seed: int,
        members: int = 6,
        voters: int = 3,
        duty: str = "zones",
        lease_seconds: float = 2.0,
        path: NetworkPath | None = None,
        wanting: int | None = None,
        drift: float = 0.0,
        machines: Callable[[], dict[str, StateMachine]] | None = None,
    ):
        super().__init__(seed, path or NetworkPath(delay=0.003, jitter=0.003))
        self.duty, self.lease_seconds = duty, lease_seconds
        self.voters = tuple(f"m{i}" for i in range(voters))
        self.members: dict[str, Member] = {}
        # Time, new owner and fencing number of each acquisition of the lease.
        self.acquisitions: list[tuple[float, str, int]] = []
        # Time, member and fencing number of each command that a member accepted.
        self.accepted_commands: list[tuple[float, str, int]] = []
        self.wanting, self.machines = wanting, machines
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.voters))
        for i in range(members):
            member = Member(f"m{i}", None, disk, [disk])  # type: ignore[arg-type]
            member.clock_rate = 1.0 + drift * self.rng.uniform(-1.0, 1.0)
            self.members[member.name] = member
            self._start(member)

    def _start(self, member: Member) -> None:
        member.node = LeaseNode(
            member.name,
            self.voters,
            member.disk,
            member.incarnation,
            random.Random(self.rng.getrandbits(64)),
            self.now * member.clock_rate,
            lease_seconds=self.lease_seconds,
            machines=self.machines() if self.machines is not None else None,
        )
        member.assembler = FragmentAssembler()
        if self.wanting is None or int(member.name[1:]) < self.wanting:
            member.node.request_lease(self.duty)
        self._schedule(member, member.node)

    def _schedule(self, member: Member, node: LeaseNode) -> None:
        def step() -> None:
            if member.node is not node or not member.up:
                return
            if self.now < member.paused_until:
                self.at(member.paused_until + 1e-4, step)
                return
            self._process_output(member, node.tick(self.now * member.clock_rate))
            self.at(max(self.now + 2e-3, min(self.now + 0.05, node.due / member.clock_rate)), step)

        self.at(self.now, step)

    # -- faults

    def kill(self, name: str) -> None:
        """Stops a member's process; its disk stays."""
        self.members[name].up = False

    def restart(self, name: str, lose: int = 0) -> None:
        """Starts a member again. Its disk loses the last `lose` states that were saved."""
        member = self.members[name]
        member.up, member.incarnation = True, member.incarnation + 1
        member.disk = member.saved_states[max(0, len(member.saved_states) - 1 - lose)]
        member.saved_states = [member.disk]
        self._start(member)

    def pause(self, name: str, duration: float) -> None:
        """Suspends a member's process for `duration` seconds."""
        self.members[name].paused_until = self.now + duration

    def end_faults(self) -> None:
        """Restarts the members that are down and heals all paths."""
        for name, member in self.members.items():
            if not member.up:
                self.restart(name)
        self.paths.clear()

    # -- messages

    def _process_output(self, member: Member, output: NodeOutput) -> None:
        if output.save is not None:
            member.disk = output.save
            member.saved_states = [*member.saved_states, output.save][-5:]
        for to, message in output.messages:
            for fragment in split_payload(pack(message), self.rng.getrandbits(40)):
                member.bytes_sent += len(fragment)
                self.deliver(
                    self.path(member.name, to),
                    lambda to=to, fragment=fragment: self._arrive(member, to, fragment),
                )
        self._check_owners(member)

    def _arrive(self, sender: Member, to: str, fragment: bytes) -> None:
        member = self.members[to]
        if not member.up:
            return
        if self.now < member.paused_until:
            self.at(member.paused_until + 1e-3, lambda: self._arrive(sender, to, fragment))
            return
        payload = member.assembler.take(sender.name, fragment)
        if payload is not None:
            self._process_output(
                member,
                member.node.receive(self.now * member.clock_rate, unpack(payload), sender.name),
            )

    # -- invariants

    def owners(self) -> list[tuple[str, int]]:
        """Returns the members that hold the duty's lease by their own clocks, with their fencing numbers."""
        return [
            (m.name, number)
            for m in self.members.values()
            if m.up
            and self.now >= m.paused_until
            and (number := m.node.owns(self.duty, self.now * m.clock_rate))
        ]

    def _check_owners(self, member: Member) -> None:
        owners = self.owners()
        if len(owners) > 1:
            raise InvariantViolation(f"{owners} act at once")
        for name, number in owners:
            if not self.acquisitions or self.acquisitions[-1][1:] != (name, number):
                if self.acquisitions and number <= self.acquisitions[-1][2]:
                    raise InvariantViolation(
                        f"{name} owns with {number} after {self.acquisitions[-1]}"
                    )
                self.acquisitions.append((self.now, name, number))

    def send_command(self, name: str, number: int, delay: float) -> None:
        """Sends a command of the lease's owner to all members; each receives it within `delay` seconds."""
        for member in self.members.values():

            def receive(member: Member = member) -> None:
                if member.fence.admits(self.duty, number):
                    last = [n for _, name, n in self.accepted_commands if name == member.name]
                    if last and number < last[-1]:
                        raise InvariantViolation(f"{member.name} obeyed {number} after {last[-1]}")
                    self.accepted_commands.append((self.now, member.name, number))

            self.at(self.now + delay * self.rng.random(), receive)


def run_random_faults(seed: int, duration: float = 25.0, members: int = 8) -> OwnNet:
    """Runs members that all compete for one duty for `duration` seconds of random faults, and returns the
    network. Commands of owners arrive up to 6 s late. Raises InvariantViolation.
    """
    rng = random.Random(seed)
    path = NetworkPath(
        delay=0.004, jitter=0.01, loss=rng.choice((0.0, 0.05, 0.15)), duplication=0.1
    )
    net = OwnNet(seed, members, rng.choice((3, 5)), path=path, drift=0.04)
    end = net.now + duration
    while net.now < end:
        net.run(0.1)
        owners = net.owners()
        if owners and rng.random() < 0.3:
            net.send_command(*owners[0], 6.0)
        target = owners[0][0] if owners and rng.random() < 0.5 else rng.choice(list(net.members))
        down = [name for name, member in net.members.items() if not member.up]
        chance = rng.random()
        if chance < 0.02 and not down:
            net.kill(target)
        elif chance < 0.06 and down:
            net.restart(down[0], rng.choice((0, 0, 1, 2)))
        elif chance < 0.08:
            net.pause(target, 5.0 * rng.random())
        elif chance < 0.10:
            others = [name for name in net.members if name != target]
            net.cut([target], others, both=rng.random() < 0.5, heal_after=5.0 * rng.random())
    return net
