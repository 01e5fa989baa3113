"""A virtual fleet of zone machines with traffic: seeded, in virtual time.

Each member sends work to the zones by its plan's shares; zones fail, are cut off, flap, and come back. What
the membership would tell is told with its delay: whoever is dead, or out of reach, counts as living for
`detect` seconds yet. Messages cross paths that lose, delay and double them. Seconds, jobs a second.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import Path, VirtualNetwork
from yewrill.zone_failover.machine import FailoverMachine, FailoverRules, Member


@dataclass(eq=False)
class Dispatcher:
    name: str
    address: tuple[str, int]
    zone: str
    machine: FailoverMachine
    rate: float  # jobs a second it sends
    dead: bool = False
    paused_until: float = -1.0
    clock: float = 0.0  # how far its clock is off
    sent: int = 0  # bytes
    next: float = 0.0  # when it looks next
    changes: list[tuple[float, tuple[int, str], dict[str, float]]] = field(default_factory=list)
    lie: Callable[[bytes], bytes] | None = None


class ZoneNet(VirtualNetwork):
    def __init__(
        self,
        seed: int,
        members: int,
        zones: int,
        *,
        rate: float = 20.0,
        load: float = 0.6,
        path: Path | None = None,
        rules: FailoverRules | None = None,
        detect: float = 9.0,
        plan: bool = True,
    ):
        super().__init__(seed, path or Path(delay=0.005, jitter=0.002))
        self.rules = rules or FailoverRules()
        self.detect = detect
        self.with_plan = plan
        self.zones = [f"z{i}" for i in range(zones)]
        self.loss = dict.fromkeys(self.zones, 0.0)  # part of the attempts lost in each zone
        self.regions: dict[str, str] = {}  # of the zones, where they have any
        self.cuts: set[tuple[str, str]] = (
            set()
        )  # (a zone's dispatchers, a zone's workers): nothing passes
        self.spared: set[str] = set()  # members that meet no loss
        self.capacity = dict.fromkeys(self.zones, members * rate * 0.2 / load / zones)
        self.attempts: dict[str, list[float]] = {zone: [] for zone in self.zones}  # when they ended
        self._epoch = 0
        self._dead_at: dict[str, float] = {}
        self._views: dict[str, tuple[int, list[Member]]] = {}
        self.members: dict[str, Dispatcher] = {}
        self._at: dict[tuple[str, int], Dispatcher] = {}
        for i in range(members):
            self.start(f"m{i:04d}", ("10.0.0.1", 1024 + i), self.zones[i % zones], rate)

    # -- who is there

    def start(self, name: str, address: tuple[str, int], zone: str, rate: float) -> Dispatcher:
        """Start a member, or start it anew without what it knew."""
        machine = FailoverMachine(
            name,
            zone,
            lambda: self._view(name),
            random.Random(self.rng.getrandbits(64)),
            self.now,
            self.rules,
        )
        machine.capacity = lambda: self.capacity
        machine.regions = lambda: self.regions
        machine.busy = rate * 0.2
        member = Dispatcher(name, address, zone, machine, rate)
        self.members[name] = self._at[address] = member
        self._dead_at.pop(name, None)
        self._epoch += 1
        self._step(member)
        return member

    def kill(self, *names: str) -> None:
        for name in names:
            self.members[name].dead = True
            self._dead_at[name] = self.now
        self.at(self.now + self.detect, self._changed)

    def restart(self, name: str) -> Dispatcher:
        old = self.members[name]
        old.dead = True
        return self.start(name, old.address, old.zone, old.rate)

    def pause(self, name: str, span: float) -> None:
        self.members[name].paused_until = self.now + span

    def of(self, *zones: str) -> list[str]:
        return [m.name for m in self.members.values() if m.zone in zones]

    def part(self, one: list[str], other: list[str], heal_after: float = 0.0) -> None:
        """Cut two groups of members off from each other; the membership sees it after its time."""
        self.cut(one, other, heal_after=heal_after)
        self.at(self.now + self.detect, self._changed)
        if heal_after:
            self.at(self.now + heal_after + 2.0, self._changed)

    def _changed(self) -> None:
        self._epoch += 1

    def _view(self, name: str) -> list[Member]:
        epoch, view = self._views.get(name, (-1, []))
        if epoch != self._epoch:
            view = [
                Member(m.name, m.address, m.zone, self._sees(name, m))
                for m in self.members.values()
                if m.name != name
            ]
            self._views[name] = (self._epoch, view)
        return view

    def _sees(self, name: str, other: Dispatcher) -> bool:
        if other.dead:
            return self.now - self._dead_at.get(other.name, self.now) < self.detect
        return not (self.path(name, other.name).cut and self.path(other.name, name).cut)

    # -- time

    def _step(self, member: Dispatcher) -> None:
        if self.members.get(member.name) is not member or member.dead or self.now < member.next:
            return
        if self.now >= member.paused_until:
            machine = member.machine
            machine.now = max(machine.now, self.now + member.clock)
            self._work(member)
            self._send(member, machine.tick(self.now + member.clock))
            self._note(member)
            due = machine.due - member.clock
        else:
            due = member.paused_until
        self._arm(member, due)

    def _arm(self, member: Dispatcher, due: float) -> None:
        member.next = max(due, self.now + 1e-3)
        self.at(member.next, lambda: self._step(member))

    def _work(self, member: Dispatcher) -> None:
        """What it sent since its last look, ended: parted by its plan's shares."""
        shares = member.machine.traffic_weights() if self.with_plan else {}
        weights = [shares.get(zone, 1.0) for zone in self.zones]
        if not sum(weights):
            weights = [1.0] * len(weights)
        whole = member.rate * self.rules.tick
        jobs = int(whole) + (self.rng.random() < whole % 1.0)
        for zone in self.rng.choices(self.zones, weights, k=jobs):
            lost = (member.zone, zone) in self.cuts or self.rng.random() < self.loss[zone]
            lost = lost and member.name not in self.spared
            member.machine.note(self.now + member.clock, zone, lost)
            self.attempts[zone].append(self.now)

    def _note(self, member: Dispatcher) -> None:
        version = member.machine.plan.version
        if not member.changes or member.changes[-1][1] != version:
            member.changes.append((self.now, version, member.machine.traffic_weights()))

    def _send(self, member: Dispatcher, out: list[tuple[tuple[str, int], bytes]]) -> None:
        for address, data in out:
            if member.lie is not None:
                data = member.lie(data)
            member.sent += len(data) + 60  # what the members' datagram adds
            to = self._at.get(address)
            if to is not None:
                self.deliver(
                    self.path(member.name, to.name),
                    lambda to=to, data=data: self._arrive(to, data, member),
                )

    def _arrive(self, to: Dispatcher, data: bytes, member: Dispatcher) -> None:
        if to.dead or self.members.get(to.name) is not to:
            return
        if self.now < to.paused_until:
            self.at(to.paused_until + 1e-3, lambda: self._arrive(to, data, member))
            return
        self._send(to, to.machine.receive(self.now + to.clock, data, member.name, member.address))
        self._note(to)
        self._look_again(to)

    def _look_again(self, member: Dispatcher) -> None:
        """It may be due earlier than it was."""
        if member.machine.due - member.clock < member.next:
            self._arm(member, member.machine.due - member.clock)

    # -- what they think

    def living(self) -> list[Dispatcher]:
        return [m for m in self.members.values() if not m.dead and self.now >= m.paused_until]

    def traffic_weight(self, zone: str) -> list[float]:
        """The share of a zone that each living member goes by."""
        return [m.machine.traffic_weights().get(zone, 1.0) for m in self.living()]

    def agreed(self) -> bool:
        """Whether all living members hold the same plan."""
        return len({m.machine.plan.version for m in self.living()}) == 1
