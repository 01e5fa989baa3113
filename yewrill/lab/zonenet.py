"""Simulates a fleet of failover machines with traffic, in virtual time and from a seed.

Each member sends attempts to the zones by its plan's traffic weights; zones fail, are cut off, flap and
recover. Membership changes become visible with a delay: a member that died or can't be reached still counts
as alive for `detection_delay` seconds. Paths lose, delay and duplicate messages. Times are in seconds, rates
in attempts per second.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from yewrill.lab.netsim import NetworkPath, VirtualNetwork
from yewrill.zone_failover.machine import FailoverMachine, FailoverRules, Member


@dataclass(eq=False)
class Dispatcher:
    """One simulated member."""

    name: str
    address: tuple[str, int]
    zone: str
    machine: FailoverMachine
    rate: float  # attempts that end per second
    dead: bool = False
    paused_until: float = -1.0
    clock_offset: float = 0.0
    bytes_sent: int = 0
    next_step_at: float = 0.0
    # For each change of the member's plan: the time, the new plan's version, and the new traffic weights.
    changes: list[tuple[float, tuple[int, str], dict[str, float]]] = field(default_factory=list)
    # Replaces each message that the member sends, to simulate a faulty member.
    rewrite_message: Callable[[bytes], bytes] | None = None


class ZoneNet(VirtualNetwork):
    """The simulated fleet. `load`: fraction of all slots in use. `plan`: whether members follow plans."""

    def __init__(
        self,
        seed: int,
        members: int,
        zones: int,
        *,
        rate: float = 20.0,
        load: float = 0.6,
        path: NetworkPath | None = None,
        rules: FailoverRules | None = None,
        detection_delay: float = 9.0,
        plan: bool = True,
    ):
        super().__init__(seed, path or NetworkPath(delay=0.005, jitter=0.002))
        self.rules = rules or FailoverRules()
        self.detection_delay = detection_delay
        self.with_plan = plan
        self.zones = [f"z{i}" for i in range(zones)]
        # By zone: the fraction of its attempts that are lost.
        self.loss = dict.fromkeys(self.zones, 0.0)
        # By zone: the name of its region. Zones without a region have no entry.
        self.regions: dict[str, str] = {}
        # Pairs (zone of dispatchers, zone of workers) between which all attempts are lost.
        self.blocked_zone_pairs: set[tuple[str, str]] = set()
        self.unaffected: set[str] = set()  # names of members whose attempts are never lost
        self.capacity = dict.fromkeys(self.zones, members * rate * 0.2 / load / zones)
        # By zone: the times at which attempts ended.
        self.attempts: dict[str, list[float]] = {zone: [] for zone in self.zones}
        self._membership_version = 0
        self._dead_at: dict[str, float] = {}
        self._seen_members: dict[str, tuple[int, list[Member]]] = {}
        self.members: dict[str, Dispatcher] = {}
        self._by_address: dict[tuple[str, int], Dispatcher] = {}
        for i in range(members):
            self.start(f"m{i:04d}", ("10.0.0.1", 1024 + i), self.zones[i % zones], rate)

    # -- members

    def start(self, name: str, address: tuple[str, int], zone: str, rate: float) -> Dispatcher:
        """Starts a member, or restarts it without its earlier state."""
        machine = FailoverMachine(
            name,
            zone,
            lambda: self._members_seen_by(name),
            random.Random(self.rng.getrandbits(64)),
            self.now,
            self.rules,
        )
        machine.capacity = lambda: self.capacity
        machine.regions = lambda: self.regions
        machine.busy = rate * 0.2
        member = Dispatcher(name, address, zone, machine, rate)
        self.members[name] = self._by_address[address] = member
        self._dead_at.pop(name, None)
        self._membership_version += 1
        self._step(member)
        return member

    def kill(self, *names: str) -> None:
        """Stops members for good."""
        for name in names:
            self.members[name].dead = True
            self._dead_at[name] = self.now
        self.at(self.now + self.detection_delay, self._update_membership)

    def restart(self, name: str) -> Dispatcher:
        """Kills a member and starts it again at once, without its earlier state."""
        old = self.members[name]
        old.dead = True
        return self.start(name, old.address, old.zone, old.rate)

    def pause(self, name: str, span: float) -> None:
        """Suspends a member for `span` seconds."""
        self.members[name].paused_until = self.now + span

    def members_of(self, *zones: str) -> list[str]:
        """Returns the names of the members in the zones."""
        return [m.name for m in self.members.values() if m.zone in zones]

    def partition(self, group: list[str], other_group: list[str], heal_after: float = 0.0) -> None:
        """Cuts two groups of members off from each other; the membership detects it after its delay."""
        self.cut(group, other_group, heal_after=heal_after)
        self.at(self.now + self.detection_delay, self._update_membership)
        if heal_after:
            self.at(self.now + heal_after + 2.0, self._update_membership)

    def _update_membership(self) -> None:
        self._membership_version += 1

    def _members_seen_by(self, name: str) -> list[Member]:
        version, seen = self._seen_members.get(name, (-1, []))
        if version != self._membership_version:
            seen = [
                Member(m.name, m.address, m.zone, self._considers_alive(name, m))
                for m in self.members.values()
                if m.name != name
            ]
            self._seen_members[name] = (self._membership_version, seen)
        return seen

    def _considers_alive(self, name: str, other: Dispatcher) -> bool:
        if other.dead:
            return self.now - self._dead_at.get(other.name, self.now) < self.detection_delay
        return not (self.path(name, other.name).cut and self.path(other.name, name).cut)

    # -- time

    def _step(self, member: Dispatcher) -> None:
        if (
            self.members.get(member.name) is not member
            or member.dead
            or self.now < member.next_step_at
        ):
            return
        if self.now >= member.paused_until:
            machine = member.machine
            machine.now = max(machine.now, self.now + member.clock_offset)
            self._generate_attempts(member)
            self._send(member, machine.tick(self.now + member.clock_offset))
            self._record_plan_change(member)
            due = machine.due - member.clock_offset
        else:
            due = member.paused_until
        self._schedule(member, due)

    def _schedule(self, member: Dispatcher, due: float) -> None:
        member.next_step_at = max(due, self.now + 1e-3)
        self.at(member.next_step_at, lambda: self._step(member))

    def _generate_attempts(self, member: Dispatcher) -> None:
        """Generates a member's attempts since its last step, spread over the zones by traffic weight."""
        traffic_weights = member.machine.traffic_weights() if self.with_plan else {}
        weights = [traffic_weights.get(zone, 1.0) for zone in self.zones]
        if not sum(weights):
            weights = [1.0] * len(weights)
        expected_attempts = member.rate * self.rules.tick_interval
        count = int(expected_attempts) + (self.rng.random() < expected_attempts % 1.0)
        for zone in self.rng.choices(self.zones, weights, k=count):
            lost = (member.zone, zone) in self.blocked_zone_pairs or self.rng.random() < self.loss[
                zone
            ]
            lost = lost and member.name not in self.unaffected
            member.machine.record_attempt(self.now + member.clock_offset, zone, lost)
            self.attempts[zone].append(self.now)

    def _record_plan_change(self, member: Dispatcher) -> None:
        version = member.machine.plan.version
        if not member.changes or member.changes[-1][1] != version:
            member.changes.append((self.now, version, member.machine.traffic_weights()))

    def _send(self, member: Dispatcher, outgoing: list[tuple[tuple[str, int], bytes]]) -> None:
        for address, data in outgoing:
            if member.rewrite_message is not None:
                data = member.rewrite_message(data)
            # The sum includes the overhead of a membership datagram.
            member.bytes_sent += len(data) + 60
            to = self._by_address.get(address)
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
        self._send(
            to, to.machine.receive(self.now + to.clock_offset, data, member.name, member.address)
        )
        self._record_plan_change(to)
        self._reschedule_if_earlier(to)

    def _reschedule_if_earlier(self, member: Dispatcher) -> None:
        """Moves the member's next step forward if its machine has become due earlier."""
        if member.machine.due - member.clock_offset < member.next_step_at:
            self._schedule(member, member.machine.due - member.clock_offset)

    # -- what the members hold

    def living(self) -> list[Dispatcher]:
        """Returns the members that are neither dead nor suspended."""
        return [m for m in self.members.values() if not m.dead and self.now >= m.paused_until]

    def traffic_weight(self, zone: str) -> list[float]:
        """Returns the traffic weight of a zone at each living member."""
        return [m.machine.traffic_weights().get(zone, 1.0) for m in self.living()]

    def agreed(self) -> bool:
        """Returns whether all living members hold the same plan."""
        return len({m.machine.plan.version for m in self.living()}) == 1
