"""A simulated network in virtual time, and membership state machines that exchange datagrams over it.

Each direction between two members has its own delay, loss, duplication, reordering and partition. Members
can be killed, paused, restarted under the same name, or made to send false messages. Messages pass through
the real datagram codec, so that bytes are counted and datagrams are rejected as in production. The same seed
gives the same run, byte for byte. Times are in seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import Self

from yewrill.membership.config import SwimConfig
from yewrill.membership.format import Codec, DatagramRejected, UnknownRun
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import DEAD, Claim, Message, OutgoingMessage

KEY = b"a key of the virtual network's own"


@dataclass
class NetworkPath:
    """The network path in one direction between two members."""

    delay: float = 0.001
    jitter: float = 0.001
    loss: float = 0.0
    duplication: float = 0.0  # fraction of the messages that are delivered twice
    cut: bool = False


@dataclass(eq=False)
class Node:
    """A member: its state machine, its codec and its process's state."""

    name: str
    address: tuple[str, int]
    machine: SwimMember
    codec: Codec
    paused_until: float = -1.0
    dead: bool = False
    sent: int = 0  # number of bytes that the member sent
    next_wakeup: float = math.inf  # time at which the member's machine is ticked next
    inbox: list[tuple[bytes, tuple[str, int]]] = field(default_factory=list)
    # Replaces each message that the member sends, to simulate a faulty member.
    falsify: Callable[[Node, Message], Message] | None = None


class VirtualNetwork:
    """Virtual time, a queue of timed callbacks, and a path in each direction between any two members."""

    def __init__(self, seed: int, path: NetworkPath | None = None):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.default_path = path or NetworkPath()
        self.paths: dict[tuple[str, str], NetworkPath] = {}
        self._number = count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def path(self, a: str, b: str) -> NetworkPath:
        """Returns the path from `a` to `b`."""
        return self.paths.get((a, b), self.default_path)

    def cut(
        self,
        group: Iterable[str],
        others: Iterable[str],
        *,
        both: bool = True,
        heal_after: float = 0.0,
    ) -> None:
        """Cuts the paths from one group to another, in both directions or one.

        The paths are healed after `heal_after` seconds, unless that is 0.

        """
        pairs = [(a, b) for a in group for b in others if a != b]
        pairs += [(b, a) for a, b in pairs] if both else []
        for pair in pairs:
            self.paths[pair] = NetworkPath(cut=True)
        if heal_after:
            self.at(self.now + heal_after, lambda: [self.paths.pop(pair, None) for pair in pairs])

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a virtual time."""
        heappush(self._heap, (when, next(self._number), callback))

    def run(self, duration: float) -> Self:
        """Advances the virtual time and runs the callbacks that become due; returns the network."""
        end = self.now + duration
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heappop(self._heap)
            callback()
        self.now = end
        return self

    def until(
        self, condition: Callable[[], bool], limit: float, step: float = 0.25
    ) -> float | None:
        """Runs until a condition holds; returns the seconds until then, None if more than `limit`."""
        began = self.now
        while not condition():
            if self.now - began > limit:
                return None
            self.run(step)
        return self.now - began

    def deliver(self, path: NetworkPath, arrive: Callable[[], None]) -> None:
        """Calls `arrive` after the delay of a path: once, twice, or not at all if the message is lost."""
        if path.cut or self.rng.random() < path.loss:
            return
        for _ in range(2 if self.rng.random() < path.duplication else 1):
            self.at(self.now + path.delay + path.jitter * self.rng.expovariate(1.0), arrive)


class PausableNetwork(VirtualNetwork):
    """A network whose members can be paused. Subclasses define `nodes`, `_tick`, `_take` and `_arm`."""

    def pause(self, name: str, duration: float) -> None:
        """Pauses a member as SIGSTOP and SIGCONT do: it processes its timers and messages only afterwards."""
        node = self.nodes[name]
        node.paused_until = self.now + duration
        self.at(node.paused_until, lambda: self._wake(node))

    def _wake(self, node: Node) -> None:
        if node.dead or self.now < node.paused_until:
            return
        inbox, node.inbox = node.inbox, []
        # A resumed process may serve its timer or its socket first.
        if self.rng.random() < 0.5:
            self._tick(node)
        # The socket buffer of a paused process holds a limited number of datagrams.
        for datagram in inbox[-256:]:
            self._take(node, *datagram)
        self._tick(node)
        self._arm(node)


class MembershipNet(PausableNetwork):
    """Membership state machines on a simulated network."""

    def __init__(
        self,
        seed: int,
        members: int,
        zones: int = 1,
        config: SwimConfig | None = None,
        path: NetworkPath | None = None,
        seeds_per_member: int = 3,
    ):
        super().__init__(seed, path)
        self.config = config or SwimConfig()
        self.nodes: dict[str, Node] = {}
        self._nodes_by_address: dict[tuple[str, int], Node] = {}
        # Wrong declarations of death: time, member that declared the death, running member declared dead.
        self.false_deaths: list[tuple[float, str, str]] = []
        addresses = [(f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 7000) for i in range(members)]
        for i, address in enumerate(addresses):
            seeds = self.rng.sample(addresses, min(seeds_per_member, members))
            self.start(f"m{i:04d}", address, f"z{i % zones}", seeds)

    # -- processes

    def start(
        self, name: str, address: tuple[str, int], zone: str = "", seeds: Iterable = ()
    ) -> Node:
        """Starts a member, or restarts it under the same name."""
        machine = SwimMember(
            Claim(name, address, zone),
            list(seeds),
            random.Random(self.rng.getrandbits(64)),
            self.now + self.rng.random() * self.config.interval,
            self.config,
        )
        node = Node(name, address, machine, Codec(name, self.rng.getrandbits(62) + 1, [KEY]))
        self.nodes[name] = self._nodes_by_address[address] = node
        self._arm(node)
        return node

    def kill(self, name: str) -> None:
        """Stops a member without an announcement."""
        self.nodes[name].dead = True

    def restart(self, name: str) -> Node:
        """Kills a member and starts it again with its address, zone and seeds, but without its state."""
        old = self.nodes[name]
        old.dead = True
        return self.start(name, old.address, old.machine.me.zone, old.machine.seeds)

    def leave(self, name: str) -> None:
        """Stops a member after it has announced its departure."""
        node = self.nodes[name]
        self._send(node, node.machine.leave(self.now))
        node.dead = True

    # -- the network

    def _arm(self, node: Node) -> None:
        due = max(node.machine.due, self.now + 1e-4)
        if due >= node.next_wakeup:
            return
        node.next_wakeup = due

        def tick() -> None:
            if self.nodes.get(node.name) is node and not node.dead and node.next_wakeup == due:
                node.next_wakeup = math.inf
                if self.now >= node.paused_until:
                    self._tick(node)
                    self._arm(node)

        self.at(due, tick)

    def _tick(self, node: Node) -> None:
        if self.now >= node.machine.due:
            self._send(node, node.machine.tick(self.now))
        self._record_false_deaths(node)

    def _record_false_deaths(self, node: Node) -> None:
        for claim in node.machine.changes:
            if claim.state == DEAD and claim.name in self.nodes:
                other = self.nodes[claim.name]
                if not other.dead and self.now >= other.paused_until:
                    self.false_deaths.append((self.now, node.name, claim.name))
        node.machine.changes.clear()

    def _send(self, node: Node, out: list[OutgoingMessage]) -> None:
        for address, message in out:
            if node.falsify is not None:
                message = node.falsify(node, message)
            self._transmit(node, address, node.codec.encode(message, address))

    def _transmit(self, node: Node, address: tuple[str, int], data: bytes) -> None:
        node.sent += len(data)
        to = self._nodes_by_address.get(address)
        if to is None:
            return
        self.deliver(
            self.path(node.name, to.name), lambda: self._arrive(address, data, node.address)
        )

    def _arrive(self, address: tuple[str, int], data: bytes, source: tuple[str, int]) -> None:
        node = self._nodes_by_address[address]
        if node.dead:
            return
        if self.now < node.paused_until:
            node.inbox.append((data, source))
        else:
            self._take(node, data, source)

    def _take(self, node: Node, data: bytes, source: tuple[str, int]) -> None:
        try:
            sender, message = node.codec.decode(data, source)
        except UnknownRun as unknown_run:
            self._transmit(node, source, node.codec.hello(source, unknown_run.run))
            return
        except DatagramRejected:
            return
        out = node.machine.receive(self.now, message, sender, source)
        if (
            message.kind == "hello"
            and (undelivered := node.codec.take_undelivered(source)) is not None
        ):
            out.append((source, undelivered))
        self._send(node, out)
        self._record_false_deaths(node)
        self._arm(node)

    # -- member lists

    def living(self) -> list[Node]:
        """Returns the members that run, including paused ones."""
        return [node for node in self.nodes.values() if not node.dead]

    def lists(self, a: str, b: str) -> bool:
        """Returns whether `a` lists `b` as alive or suspect."""
        return b in {claim.name for claim in self.nodes[a].machine.members()}

    def agreed(self, among: Iterable[str] | None = None) -> bool:
        """Returns whether the running members, or those of `among`, list exactly each other."""
        names = {node.name for node in self.living()} if among is None else set(among)
        return all({c.name for c in self.nodes[name].machine.members()} == names for name in names)
