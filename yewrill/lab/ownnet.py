"""Members that want duties, in a virtual network: seeded, in virtual time. Seconds.

Each has a node with its disk; its messages go through the real format, in parts. Members are killed,
restarted with their disks or with the tails lost, paused, cut off, and have clocks that run fast or slow. All
the while it is looked at that no two act for one duty at once, and that each resource obeys growing numbers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import Path, VirtualNetwork
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
    name: str
    node: LeaseNode
    disk: PersistentRaftState
    past: list[PersistentRaftState] = field(default_factory=list)
    incarnation: int = 1
    up: bool = True
    paused_until: float = -1.0
    clock_rate: float = 1.0
    sent: int = 0
    fence: Fence = field(default_factory=Fence)  # on its disk
    joiner: FragmentAssembler = field(default_factory=FragmentAssembler)


class OwnNet(VirtualNetwork):
    def __init__(
        self,
        seed: int,
        members: int = 6,
        voters: int = 3,
        duty: str = "zones",
        span: float = 2.0,
        path: Path | None = None,
        wanting: int | None = None,
        drift: float = 0.0,
        machines: Callable[[], dict[str, StateMachine]] | None = None,
    ):
        super().__init__(seed, path or Path(delay=0.003, jitter=0.003))
        self.duty, self.span = duty, span
        self.voters = tuple(f"m{i}" for i in range(voters))
        self.members: dict[str, Member] = {}
        self.acquisitions: list[
            tuple[float, str, int]
        ] = []  # when, who began to own, with which number
        self.accepted_commands: list[tuple[float, str, int]] = []  # when, at whom, which number
        self.wanting, self.machines = wanting, machines
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.voters))
        for i in range(members):
            member = Member(f"m{i}", None, disk, [disk])  # type: ignore[arg-type]
            member.clock_rate = 1.0 + drift * self.rng.uniform(-1.0, 1.0)
            self.members[member.name] = member
            self._begin(member)

    def _begin(self, member: Member) -> None:
        member.node = LeaseNode(
            member.name,
            self.voters,
            member.disk,
            member.incarnation,
            random.Random(self.rng.getrandbits(64)),
            self.now * member.clock_rate,
            lease_seconds=self.span,
            machines=self.machines() if self.machines is not None else None,
        )
        member.joiner = FragmentAssembler()
        if self.wanting is None or int(member.name[1:]) < self.wanting:
            member.node.want(self.duty)
        self._arm(member, member.node)

    def _arm(self, member: Member, node: LeaseNode) -> None:
        def step() -> None:
            if member.node is not node or not member.up:
                return
            if self.now < member.paused_until:
                self.at(member.paused_until + 1e-4, step)
                return
            self._carry_out(member, node.tick(self.now * member.clock_rate))
            self.at(max(self.now + 2e-3, min(self.now + 0.05, node.due / member.clock_rate)), step)

        self.at(self.now, step)

    # -- faults

    def kill(self, name: str) -> None:
        self.members[name].up = False

    def restart(self, name: str, lose: int = 0) -> None:
        member = self.members[name]
        member.up, member.incarnation = True, member.incarnation + 1
        member.disk = member.past[max(0, len(member.past) - 1 - lose)]
        member.past = [member.disk]
        self._begin(member)

    def pause(self, name: str, span: float) -> None:
        self.members[name].paused_until = self.now + span

    def end_faults(self) -> None:
        """Nothing more befalls them, and all are there."""
        for name, member in self.members.items():
            if not member.up:
                self.restart(name)
        self.paths.clear()

    # -- messages

    def _carry_out(self, member: Member, step: NodeOutput) -> None:
        if step.save is not None:
            member.disk = step.save
            member.past = [*member.past, step.save][-5:]
        for to, what in step.messages:
            for part in split_payload(pack(what), self.rng.getrandbits(40)):
                member.sent += len(part)
                self.deliver(
                    self.path(member.name, to),
                    lambda to=to, part=part: self._arrive(member, to, part),
                )
        self._look(member)

    def _arrive(self, sender: Member, to: str, part: bytes) -> None:
        member = self.members[to]
        if not member.up:
            return
        if self.now < member.paused_until:
            self.at(member.paused_until + 1e-3, lambda: self._arrive(sender, to, part))
            return
        whole = member.joiner.take(sender.name, part)
        if whole is not None:
            self._carry_out(
                member,
                member.node.receive(self.now * member.clock_rate, unpack(whole), sender.name),
            )

    # -- what must hold

    def owners(self) -> list[tuple[str, int]]:
        """Who acts for the duty now, by its own clock."""
        return [
            (m.name, number)
            for m in self.members.values()
            if m.up
            and self.now >= m.paused_until
            and (number := m.node.owns(self.duty, self.now * m.clock_rate))
        ]

    def _look(self, member: Member) -> None:
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
        """An order of an owner's goes to all, and arrives some time."""
        for member in self.members.values():

            def obey(member: Member = member) -> None:
                if member.fence.admits(self.duty, number):
                    last = [n for _, who, n in self.accepted_commands if who == member.name]
                    if last and number < last[-1]:
                        raise InvariantViolation(f"{member.name} obeyed {number} after {last[-1]}")
                    self.accepted_commands.append((self.now, member.name, number))

            self.at(self.now + delay * self.rng.random(), obey)


def run_random_faults(seed: int, span: float = 25.0, members: int = 8) -> OwnNet:
    """Runs members that all want one duty under random faults. Raises InvariantViolation."""
    rng = random.Random(seed)
    path = Path(delay=0.004, jitter=0.01, loss=rng.choice((0.0, 0.05, 0.15)), duplication=0.1)
    net = OwnNet(seed, members, rng.choice((3, 5)), path=path, drift=0.04)
    end = net.now + span
    while net.now < end:
        net.run(0.1)
        owners = net.owners()
        if owners and rng.random() < 0.3:
            net.send_command(*owners[0], 6.0)
        who = owners[0][0] if owners and rng.random() < 0.5 else rng.choice(list(net.members))
        down = [name for name, member in net.members.items() if not member.up]
        chance = rng.random()
        if chance < 0.02 and not down:
            net.kill(who)
        elif chance < 0.06 and down:
            net.restart(down[0], rng.choice((0, 0, 1, 2)))
        elif chance < 0.08:
            net.pause(who, 5.0 * rng.random())
        elif chance < 0.10:
            rest = [name for name in net.members if name != who]
            net.cut([who], rest, both=rng.random() < 0.5, heal_after=5.0 * rng.random())
    return net
