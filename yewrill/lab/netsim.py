"""A virtual network, and membership machines on it: seeded, in virtual time, with the faults of real ones.

Each pair of members has a link of its own in each direction: delay, loss, duplication, reordering, a cut.
Members may be killed, paused, restarted under the same name, or made to lie. Messages pass through the real
format, so its bytes are counted and its refusals at work. The same seed gives the same run, byte for byte.
Seconds.
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
class Path:
    """One direction between two members."""

    delay: float = 0.001
    jitter: float = 0.001
    loss: float = 0.0
    duplication: float = 0.0  # the part that comes twice
    cut: bool = False


@dataclass(eq=False)
class Node:
    """A member with its machine."""

    name: str
    address: tuple[str, int]
    machine: SwimMember
    codec: Codec
    paused_until: float = -1.0
    dead: bool = False
    sent: int = 0  # bytes
    armed: float = math.inf  # when its machine is looked at next
    inbox: list[tuple[bytes, tuple[str, int]]] = field(default_factory=list)
    lie: Callable[[Node, Message], Message] | None = None  # what it says in place of the truth


class VirtualNetwork:
    """Virtual time, and a path each way between any two parties."""

    def __init__(self, seed: int, path: Path | None = None):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.default = path or Path()
        self.paths: dict[tuple[str, str], Path] = {}
        self._number = count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def path(self, a: str, b: str) -> Path:
        return self.paths.get((a, b), self.default)

    def cut(
        self,
        one: Iterable[str],
        other: Iterable[str],
        *,
        both: bool = True,
        heal_after: float = 0.0,
    ) -> None:
        """Cut the ways from one group to another."""
        pairs = [(a, b) for a in one for b in other if a != b]
        pairs += [(b, a) for a, b in pairs] if both else []
        for pair in pairs:
            self.paths[pair] = Path(cut=True)
        if heal_after:
            self.at(self.now + heal_after, lambda: [self.paths.pop(pair, None) for pair in pairs])

    def at(self, when: float, what: Callable[[], None]) -> None:
        heappush(self._heap, (when, next(self._number), what))

    def run(self, span: float) -> Self:
        end = self.now + span
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = end
        return self

    def until(self, true: Callable[[], bool], most: float, step: float = 0.25) -> float | None:
        """Seconds until something holds; None: not within `most`."""
        began = self.now
        while not true():
            if self.now - began > most:
                return None
            self.run(step)
        return self.now - began

    def deliver(self, path: Path, arrive: Callable[[], None]) -> None:
        """Let something arrive over a path: once, twice, or not at all."""
        if path.cut or self.rng.random() < path.loss:
            return
        for _ in range(2 if self.rng.random() < path.duplication else 1):
            self.at(self.now + path.delay + path.jitter * self.rng.expovariate(1.0), arrive)


class PausableNetwork(VirtualNetwork):
    """Network between members (`nodes`, with `_tick` and `_take`) that may be stopped for a while."""

    def pause(self, name: str, span: float) -> None:
        """As SIGSTOP and SIGCONT: it neither looks nor answers, and then does both at once."""
        node = self.nodes[name]
        node.paused_until = self.now + span
        self.at(node.paused_until, lambda: self._wake(node))

    def _wake(self, node: Node) -> None:
        if node.dead or self.now < node.paused_until:
            return
        inbox, node.inbox = node.inbox, []
        if self.rng.random() < 0.5:  # its timer or its socket may come first
            self._tick(node)
        for datagram in inbox[-256:]:  # what a socket's buffer holds
            self._take(node, *datagram)
        self._tick(node)
        self._arm(node)


class MembershipNet(PausableNetwork):
    """Membership machines on such wires."""

    def __init__(
        self,
        seed: int,
        members: int,
        zones: int = 1,
        rules: SwimConfig | None = None,
        path: Path | None = None,
        known: int = 3,
    ):
        super().__init__(seed, path)
        self.rules = rules or SwimConfig()
        self.nodes: dict[str, Node] = {}
        self._at: dict[tuple[str, int], Node] = {}
        self.false_deaths: list[tuple[float, str, str]] = []  # when, who believed it, of whom
        addresses = [(f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 7000) for i in range(members)]
        for i, address in enumerate(addresses):
            seeds = self.rng.sample(addresses, min(known, members))
            self.start(f"m{i:04d}", address, f"z{i % zones}", seeds)

    # -- who is there

    def start(
        self, name: str, address: tuple[str, int], zone: str = "", seeds: Iterable = ()
    ) -> Node:
        """Start a member, or start it anew."""
        machine = SwimMember(
            Claim(name, address, zone),
            list(seeds),
            random.Random(self.rng.getrandbits(64)),
            self.now + self.rng.random() * self.rules.interval,
            self.rules,
        )
        node = Node(name, address, machine, Codec(name, self.rng.getrandbits(62) + 1, [KEY]))
        self.nodes[name] = self._at[address] = node
        self._arm(node)
        return node

    def kill(self, name: str) -> None:
        """It ends without a word."""
        self.nodes[name].dead = True

    def restart(self, name: str) -> Node:
        old = self.nodes[name]
        old.dead = True
        return self.start(name, old.address, old.machine.me.zone, old.machine.seeds)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        self._send(node, node.machine.leave(self.now))
        node.dead = True

    # -- the network

    def _arm(self, node: Node) -> None:
        due = max(node.machine.due, self.now + 1e-4)
        if due >= node.armed:
            return
        node.armed = due

        def tick() -> None:
            if self.nodes.get(node.name) is node and not node.dead and node.armed == due:
                node.armed = math.inf
                if self.now >= node.paused_until:
                    self._tick(node)
                    self._arm(node)

        self.at(due, tick)

    def _tick(self, node: Node) -> None:
        if self.now >= node.machine.due:
            self._send(node, node.machine.tick(self.now))
        self._watch(node)

    def _watch(self, node: Node) -> None:
        for claim in node.machine.changes:
            if claim.state == DEAD and claim.name in self.nodes:
                other = self.nodes[claim.name]
                if not other.dead and self.now >= other.paused_until:
                    self.false_deaths.append((self.now, node.name, claim.name))
        node.machine.changes.clear()

    def _send(self, node: Node, out: list[OutgoingMessage]) -> None:
        for address, message in out:
            if node.lie is not None:
                message = node.lie(node, message)
            self._put(node, address, node.codec.encode(message, address))

    def _put(self, node: Node, address: tuple[str, int], data: bytes) -> None:
        node.sent += len(data)
        to = self._at.get(address)
        if to is None:
            return
        self.deliver(
            self.path(node.name, to.name), lambda: self._arrive(address, data, node.address)
        )

    def _arrive(self, address: tuple[str, int], data: bytes, source: tuple[str, int]) -> None:
        node = self._at[address]
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
            self._put(node, source, node.codec.hello(source, unknown_run.run))
            return
        except DatagramRejected:
            return
        out = node.machine.receive(self.now, message, sender, source)
        if message.kind == "hello" and (said := node.codec.take_undelivered(source)) is not None:
            out.append((source, said))
        self._send(node, out)
        self._watch(node)
        self._arm(node)

    # -- what they think

    def living(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.dead]

    def sees(self, a: str, b: str) -> bool:
        return b in {claim.name for claim in self.nodes[a].machine.members()}

    def agreed(self, among: Iterable[str] | None = None) -> bool:
        """Whether all (of some) list just those that live (of these)."""
        names = {node.name for node in self.living()} if among is None else set(among)
        return all({c.name for c in self.nodes[name].machine.members()} == names for name in names)
