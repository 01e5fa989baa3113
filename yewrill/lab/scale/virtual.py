"""Simulates the control plane of a fleet in virtual time: membership and views over one transport.

Each dispatcher runs the production state machines, the authenticated codec, the send budget and the limits on
received datagrams; only the sockets are simulated. All dispatchers start at once and know the same few peers.
The same seed gives the same run, byte for byte. Times are in seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from yewrill.lab.netsim import KEY, NetworkPath, VirtualNetwork
from yewrill.membership.config import SwimConfig
from yewrill.membership.format import Codec
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import DEAD, LEFT, Claim
from yewrill.membership.parts import MalformedPayload
from yewrill.membership.transport import IP_UDP_HEADER_BYTES, VIEWS, Address, Datagram, Transport
from yewrill.views.format import MessageAssembler, pack, priority_of
from yewrill.views.machine import Step, ViewMachine
from yewrill.views.timing import ViewTiming
from yewrill.views.view import Entry, PersistedView, View

SHIPPED_BYTES_PER_S = 20_000.0
PEERS = 8
# Time from when a stopping dispatcher leaves its view until it leaves the membership.
LEAVE_LINGER_S = 0.5
MIN_TIMER_STEP_S = 1e-3


@dataclass(frozen=True, slots=True)
class FleetParameters:
    """Size and settings of a simulated fleet."""

    dispatchers: int
    zones: int = 11
    founders: int = 3
    peers: int = PEERS
    bytes_per_s: float = SHIPPED_BYTES_PER_S
    path: NetworkPath = field(default_factory=NetworkPath)
    swim_config: SwimConfig = field(default_factory=SwimConfig)
    view_timing: ViewTiming = field(default_factory=ViewTiming)


@dataclass(eq=False)
class Node:
    """The control plane of one dispatcher."""

    name: str
    zone: str
    address: Address
    transport: Transport
    views: ViewMachine
    assembler: MessageAssembler = field(default_factory=MessageAssembler)
    disk: PersistedView | None = None
    dead: bool = False
    number: int = 0  # number of the last message that `views` sent
    next_wakeup: float = math.inf  # when the dispatcher's timers are checked next
    # Number of members last passed to `views`; -1 before the first time.
    known_members: int = -1
    wakeups: int = 0

    @property
    def datagrams_out(self) -> int:
        """Datagrams sent so far."""
        return sum(self.transport.traffic.count.values())

    @property
    def bytes_out(self) -> int:
        """Bytes sent so far, including IP and UDP headers."""
        return self.transport.sent + IP_UDP_HEADER_BYTES * self.datagrams_out


class VirtualFleet(VirtualNetwork):
    """Dispatchers that all start at once, and the network between them."""

    def __init__(self, seed: int, parameters: FleetParameters):
        super().__init__(seed, parameters.path)
        self.parameters = parameters
        self.nodes: dict[str, Node] = {}
        self._by_address: dict[Address, Node] = {}
        self.digests: dict[int, bytes] = {}
        self.conflicts: list[
            str
        ] = []  # different views with the same number, which must never exist
        self.lost_leases: dict[str, int] = {}
        self._lease_holders: set[str] = set()
        for index in range(parameters.dispatchers):
            self.start(index)

    # -- starts and stops

    def start(self, index: int, disk: PersistedView | None = None) -> Node:
        """Starts or restarts a dispatcher, with the view that it had persisted, if any."""
        parameters = self.parameters
        name, address = f"d{index:03d}", self._address(index)
        zone = f"z{index % parameters.zones:02d}"
        seeds = [self._address(i) for i in range(min(parameters.peers, parameters.dispatchers))]
        members = SwimMember(
            Claim(name, address, zone),
            [seed for seed in seeds if seed != address],
            random.Random(self.rng.getrandbits(64)),
            self.now + self.rng.random() * 0.1,
            parameters.swim_config,
        )
        codec = Codec(name, self.rng.getrandbits(62) + 1, [KEY])
        transport = Transport(members, codec, parameters.bytes_per_s)
        entry = Entry(name, self.rng.getrandbits(47) + 1, address, zone)
        founders = tuple(
            f"d{i:03d}" for i in range(min(parameters.founders, parameters.dispatchers))
        )
        views = ViewMachine(
            entry,
            founders,
            disk,
            random.Random(self.rng.getrandbits(64)),
            self.now,
            parameters.view_timing,
        )
        node = Node(name, zone, address, transport, views, disk=disk)
        transport.handlers[VIEWS] = lambda data, sender, source: self._receive_payload(
            node, data, sender, source
        )
        self.nodes[name] = self._by_address[address] = node
        self._schedule(node)
        return node

    @staticmethod
    def _address(index: int) -> Address:
        return f"10.0.{index >> 8}.{index & 255}", 7400

    def kill(self, names: Iterable[str]) -> None:
        """Stops dispatchers at once, as a crash does."""
        for name in names:
            self.nodes[name].dead = True

    def leave(self, name: str) -> None:
        """Stops a dispatcher gracefully: it leaves its view first, then the membership."""
        node = self.nodes[name]
        self._send(node, self._process_step(node, node.views.leave(self.now)))

        def end() -> None:
            self._send(node, node.transport.send(self.now, node.transport.machine.leave(self.now)))
            node.dead = True

        self.at(self.now + LEAVE_LINGER_S, end)

    def restart(self, names: Iterable[str]) -> None:
        """Restarts dispatchers with the views that they had persisted."""
        for name in list(names):
            old = self.nodes[name]
            old.dead = True
            self.start(int(name[1:]), old.disk)

    # -- the network

    def _schedule(self, node: Node) -> None:
        when = max(min(node.transport.due, node.views.due), self.now + MIN_TIMER_STEP_S)
        if when >= node.next_wakeup or when == math.inf:
            return
        node.next_wakeup = when

        def wake() -> None:
            if node.dead or node.next_wakeup != when:
                return
            node.next_wakeup = math.inf
            node.wakeups += 1
            self._send(node, node.transport.tick(self.now))
            if self.now >= node.views.due:
                self._send(node, self._process_step(node, node.views.tick(self.now)))
            self._after_event(node)

        self.at(when, wake)

    def _send(self, node: Node, datagrams: list[Datagram]) -> None:
        for address, data in datagrams:
            to = self._by_address.get(address)
            if to is not None:
                path = self.path(node.name, to.name)
                self.deliver(path, lambda to=to, data=data: self._arrive(to, data, node.address))

    def _arrive(self, node: Node, data: bytes, source: Address) -> None:
        if node.dead:
            return
        node.wakeups += 1
        self._send(node, node.transport.receive(self.now, data, source))
        self._after_event(node)

    def _receive_payload(
        self, node: Node, data: bytes, sender: str, source: Address
    ) -> list[tuple[Address, bytes]]:
        try:
            message = node.assembler.take(sender, data)
        except MalformedPayload:
            return []
        if message is not None:
            step = node.views.receive(self.now, message, sender, source)
            self._send(node, self._process_step(node, step))
        return []

    def _process_step(self, node: Node, step: Step) -> list[Datagram]:
        if step.persist is not None:
            node.disk = step.persist
        datagrams: list[Datagram] = []
        for address, message in step.messages:
            node.number += 1
            parts = [(address, part) for part in pack(message, node.number)]
            datagrams += node.transport.send_payloads(self.now, VIEWS, parts, priority_of(message))
        return datagrams

    def _after_event(self, node: Node) -> None:
        if node.transport.take_changes(self.now) or node.known_members < 0:
            node.known_members = len(node.transport.machine.entries)
            node.views.set_known_members(
                {
                    name: member.claim.address
                    for name, member in node.transport.machine.entries.items()
                    if member.claim.state not in (DEAD, LEFT)
                },
                self.now,
            )
        self._check_views(node)
        self._schedule(node)

    def _check_views(self, node: Node) -> None:
        for _, view in node.views.changes:
            if (
                view is not None
                and self.digests.setdefault(view.number, view.digest) != view.digest
            ):
                self.conflicts.append(f"{self.now:.2f}: two different views {view.number}")
        node.views.changes.clear()
        if node.views.view(self.now) is not None:
            self._lease_holders.add(node.name)
        elif node.name in self._lease_holders:
            self._lease_holders.discard(node.name)
            self.lost_leases[node.name] = self.lost_leases.get(node.name, 0) + 1

    # -- queries

    def living(self) -> list[Node]:
        """Returns the dispatchers that run."""
        return [node for node in self.nodes.values() if not node.dead]

    def holds(self, name: str) -> View | None:
        """Returns the view in which a dispatcher holds a lease, if any."""
        return self.nodes[name].views.view(self.now)

    def agreed(self, among: Iterable[str] | None = None) -> bool:
        """Returns whether all running dispatchers (or `among`) hold leases in one view without others."""
        names = {node.name for node in self.living()} if among is None else set(among)
        views = [self.holds(name) for name in names]
        first = views[0]
        return first is not None and all(
            view is not None and view.digest == first.digest and set(view.names) == names
            for view in views
        )

    @property
    def held_back(self) -> int:
        """Datagrams that were not sent because the send budget was used up."""
        return sum(node.transport.held_back for node in self.living())

    @property
    def flooded(self) -> int:
        """Received datagrams that were dropped unread because they exceeded the receive limits."""
        return sum(node.transport.flooded for node in self.living())
