"""The control stack of a fleet in virtual time: members and views over one transport, budgets included.

Every dispatcher has what a real one has between its socket and its subsystems: the protocol machine, the
authenticated format, the budget of what it sends and the limits on what it looks at. All start at one moment,
and know the same few peers. The same seed gives the same run, byte for byte. Seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from yewrill.lab.netsim import KEY, Path, VirtualNetwork
from yewrill.membership.config import SwimConfig
from yewrill.membership.format import Codec
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import DEAD, LEFT, Claim
from yewrill.membership.parts import MalformedPayload
from yewrill.membership.transport import IP_UDP_HEADER_BYTES, VIEWS, Address, Datagram, Transport
from yewrill.views.format import MessageAssembler, pack, priority_of
from yewrill.views.machine import Step
from yewrill.views.machine import ViewMachine as ViewsMachine
from yewrill.views.timing import ViewTiming as ViewsRules
from yewrill.views.view import Entry, PersistedView, View

SHIPPED_BYTES_PER_S = 20_000.0
PEERS = 8
LINGER_S = 0.5  # of one that leaves its view
LEAST_STEP = 1e-3  # between two looks at a machine's timer


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is started: how many dispatchers, in how many zones, and with which settings."""

    dispatchers: int
    zones: int = 11
    founders: int = 3
    peers: int = PEERS
    bytes_per_s: float = SHIPPED_BYTES_PER_S
    path: Path = field(default_factory=Path)
    members_rules: SwimConfig = field(default_factory=SwimConfig)
    views_rules: ViewsRules = field(default_factory=ViewsRules)


@dataclass(eq=False)
class Node:
    """One dispatcher's control."""

    name: str
    zone: str
    address: Address
    transport: Transport
    views: ViewsMachine
    parts: MessageAssembler = field(default_factory=MessageAssembler)
    disk: PersistedView | None = None
    dead: bool = False
    number: int = 0  # of its last message of views
    armed: float = math.inf
    known: int = -1  # changes of the list that its views were told of
    wakeups: int = 0

    @property
    def datagrams_out(self) -> int:
        """Datagrams sent so far."""
        return sum(self.transport.traffic.count.values())

    @property
    def bytes_out(self) -> int:
        """Bytes on the wire so far, with headers."""
        return self.transport.sent + IP_UDP_HEADER_BYTES * self.datagrams_out


class VirtualFleet(VirtualNetwork):
    """Dispatchers that all start at once."""

    def __init__(self, seed: int, fleet: Fleet):
        super().__init__(seed, fleet.path)
        self.fleet = fleet
        self.nodes: dict[str, Node] = {}
        self._at: dict[Address, Node] = {}
        self.digests: dict[int, bytes] = {}
        self.conflicts: list[str] = []  # two views of one number: what must never be
        self.lost_leases: dict[str, int] = {}
        self._held: set[str] = set()
        for index in range(fleet.dispatchers):
            self.start(index)

    # -- who is there

    def start(self, index: int, disk: PersistedView | None = None) -> Node:
        """Start the dispatcher of a number, or start it anew."""
        fleet = self.fleet
        name, address = f"d{index:03d}", self._address(index)
        zone = f"z{index % fleet.zones:02d}"
        seeds = [self._address(i) for i in range(min(fleet.peers, fleet.dispatchers))]
        members = SwimMember(
            Claim(name, address, zone),
            [seed for seed in seeds if seed != address],
            random.Random(self.rng.getrandbits(64)),
            self.now + self.rng.random() * 0.1,
            fleet.members_rules,
        )
        codec = Codec(name, self.rng.getrandbits(62) + 1, [KEY])
        transport = Transport(members, codec, fleet.bytes_per_s)
        entry = Entry(name, self.rng.getrandbits(47) + 1, address, zone)
        founders = tuple(f"d{i:03d}" for i in range(min(fleet.founders, fleet.dispatchers)))
        views = ViewsMachine(
            entry,
            founders,
            disk,
            random.Random(self.rng.getrandbits(64)),
            self.now,
            fleet.views_rules,
        )
        node = Node(name, zone, address, transport, views, disk=disk)
        transport.handlers[VIEWS] = lambda data, sender, source: self._take(
            node, data, sender, source
        )
        self.nodes[name] = self._at[address] = node
        self._arm(node)
        return node

    @staticmethod
    def _address(index: int) -> Address:
        return f"10.0.{index >> 8}.{index & 255}", 7400

    def kill(self, names: Iterable[str]) -> None:
        """End some without a word."""
        for name in names:
            self.nodes[name].dead = True

    def leave(self, name: str) -> None:
        """End one in good order: its views first, then its membership."""
        node = self.nodes[name]
        self._put(node, self._say(node, node.views.leave(self.now)))

        def end() -> None:
            self._put(node, node.transport.send(self.now, node.transport.machine.leave(self.now)))
            node.dead = True

        self.at(self.now + LINGER_S, end)

    def restart(self, names: Iterable[str]) -> None:
        """Start some anew, with what they kept."""
        for name in list(names):
            old = self.nodes[name]
            old.dead = True
            self.start(int(name[1:]), old.disk)

    # -- the network

    def _arm(self, node: Node) -> None:
        when = max(min(node.transport.due, node.views.due), self.now + LEAST_STEP)
        if when >= node.armed or when == math.inf:
            return
        node.armed = when

        def wake() -> None:
            if node.dead or node.armed != when:
                return
            node.armed = math.inf
            node.wakeups += 1
            self._put(node, node.transport.tick(self.now))
            if self.now >= node.views.due:
                self._put(node, self._say(node, node.views.tick(self.now)))
            self._settle(node)

        self.at(when, wake)

    def _put(self, node: Node, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            to = self._at.get(address)
            if to is not None:
                path = self.path(node.name, to.name)
                self.deliver(path, lambda to=to, data=data: self._arrive(to, data, node.address))

    def _arrive(self, node: Node, data: bytes, source: Address) -> None:
        if node.dead:
            return
        node.wakeups += 1
        self._put(node, node.transport.receive(self.now, data, source))
        self._settle(node)

    def _take(
        self, node: Node, data: bytes, sender: str, source: Address
    ) -> list[tuple[Address, bytes]]:
        try:
            message = node.parts.take(sender, data)
        except MalformedPayload:
            return []
        if message is not None:
            step = node.views.receive(self.now, message, sender, source)
            self._put(node, self._say(node, step))
        return []

    def _say(self, node: Node, step: Step) -> list[Datagram]:
        if step.persist is not None:
            node.disk = step.persist
        datagrams: list[Datagram] = []
        for address, message in step.messages:
            node.number += 1
            parts = [(address, part) for part in pack(message, node.number)]
            datagrams += node.transport.send_payloads(self.now, VIEWS, parts, priority_of(message))
        return datagrams

    def _settle(self, node: Node) -> None:
        if node.transport.take_changes(self.now) or node.known < 0:
            node.known = len(node.transport.machine.entries)
            node.views.set_known_members(
                {
                    name: member.claim.address
                    for name, member in node.transport.machine.entries.items()
                    if member.claim.state not in (DEAD, LEFT)
                },
                self.now,
            )
        self._check(node)
        self._arm(node)

    def _check(self, node: Node) -> None:
        for _, view in node.views.changes:
            if (
                view is not None
                and self.digests.setdefault(view.number, view.digest) != view.digest
            ):
                self.conflicts.append(f"{self.now:.2f}: two views {view.number}")
        node.views.changes.clear()
        if node.views.view(self.now) is not None:
            self._held.add(node.name)
        elif node.name in self._held:
            self._held.discard(node.name)
            self.lost_leases[node.name] = self.lost_leases.get(node.name, 0) + 1

    # -- what they have

    def living(self) -> list[Node]:
        """Those that run."""
        return [node for node in self.nodes.values() if not node.dead]

    def holds(self, name: str) -> View | None:
        """The view in which one holds a lease."""
        return self.nodes[name].views.view(self.now)

    def agreed(self, among: Iterable[str] | None = None) -> bool:
        """Whether all that live (or these) hold leases in one view of just them."""
        names = {node.name for node in self.living()} if among is None else set(among)
        views = [self.holds(name) for name in names]
        first = views[0]
        return first is not None and all(
            view is not None and view.digest == first.digest and set(view.names) == names
            for view in views
        )

    @property
    def held_back(self) -> int:
        """Datagrams that their senders' budgets did not allow."""
        return sum(node.transport.held_back for node in self.living())

    @property
    def flooded(self) -> int:
        """Datagrams that were not looked at."""
        return sum(node.transport.flooded for node in self.living())
