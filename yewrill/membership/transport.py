"""The membership's datagrams without a socket: what goes out and what is looked at, within the budgets.

`Transport` joins a protocol machine, the authenticated format and both budgets. Bytes and the time come in,
datagrams come out; whoever has the socket (`link.py`), or a virtual network, carries them. Other parts send
their messages as payloads of it and are handed those that arrive.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from yewrill.membership.format import Codec, Refused, Stranger
from yewrill.membership.intake import Bucket, Intake, Priority
from yewrill.membership.machine import Claim, Machine, Message, Out

Address = tuple[str, int]
Payload = Callable[[bytes, str, Address], list[tuple[Address, bytes]]]
"""Takes data, its sender's name and address; returns what to send, and where to."""

ZONES, OWNERSHIP, VIEWS = 1, 2, 3  # whose payload it is: its first byte
PART_NAMES = {ZONES: "zones", OWNERSHIP: "ownership", VIEWS: "views"}
PRIORITIES = {
    "news": Priority.GOSSIP,
    "hello": Priority.GOSSIP,
    "list": Priority.LIST,
}  # others: heartbeats
HEADERS = 28  # bytes of IPv4 and UDP round a datagram
FORGET_INTERVAL = 30.0  # seconds between two looks at what may be forgotten


class Datagram(NamedTuple):
    """Bytes for an address."""

    address: Address
    data: bytes


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes (without headers of IP and UDP) sent, by kind of message."""

    count: Counter[str] = field(default_factory=Counter)
    size: Counter[str] = field(default_factory=Counter)

    def note(self, kind: str, size: int) -> None:
        """Count a datagram."""
        self.count[kind] += 1
        self.size[kind] += size


class Transport:
    """One member's datagrams. Times are seconds of one steady clock."""

    def __init__(self, machine: Machine, codec: Codec, bytes_per_s: float):
        self.machine, self.codec = machine, codec
        self._budget = Bucket(bytes_per_s)
        self._intake = Intake(bytes_per_s)
        self._intake.know(list(machine.seeds))
        self._forgot = machine.now
        self.handlers: dict[int, Payload] = {}  # who takes payloads, by their first byte
        self.refused: Counter[str] = Counter()  # datagrams that were not taken, by the reason
        self.sent = self.received = self.held_back = 0
        self.held_back_by: Counter[Priority] = Counter()
        self.traffic = Traffic()

    @property
    def flooded(self) -> int:
        """Datagrams that were not looked at."""
        return self._intake.refused

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        return self.machine.due

    # -- in

    def receive(self, now: float, data: bytes, source: Address) -> list[Datagram]:
        """Look at a datagram, if its source's budget allows; the datagrams to be sent for it."""
        self.received += len(data)
        if not self._intake.admits(now, source, len(data)):
            return []
        try:
            sender, message = self.codec.decode(data, source)
        except Stranger as stranger:
            hello = self.codec.hello(source, stranger.run)
            return self._within_budget(now, "hello", Priority.GOSSIP, source, hello)
        except Refused as refused:
            self.refused[str(refused)] += 1
            return []
        return self._handle(now, message, sender, source)

    def _handle(self, now: float, message: Message, sender: str, source: Address) -> list[Datagram]:
        out = self.machine.receive(now, message, sender, source)
        datagrams: list[Datagram] = []
        if message.kind == "cargo" and message.cargo and sender in self.machine.listed:
            part = message.cargo[0]
            handler = self.handlers.get(part)
            if handler is not None:
                datagrams += self.say(now, part, handler(message.cargo[1:], sender, source))
        if message.kind == "hello" and (again := self.codec.again(source)) is not None:
            out.append((source, again))
        return datagrams + self.send(now, out)

    # -- out

    def tick(self, now: float) -> list[Datagram]:
        """Do what is due; the datagrams to be sent for it."""
        return self.send(now, self.machine.tick(now)) if now >= self.machine.due else []

    def say(
        self,
        now: float,
        part: int,
        out: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> list[Datagram]:
        """Datagrams with what another part has to say to members."""
        mark, kind = bytes((part,)), PART_NAMES[part]
        datagrams: list[Datagram] = []
        for address, payload in out:
            data = self.codec.encode(Message("cargo", cargo=mark + payload), address)
            datagrams += self._within_budget(now, kind, priority, address, data)
        return datagrams

    def send(self, now: float, out: list[Out]) -> list[Datagram]:
        """The membership's messages as datagrams, as far as the budget allows."""
        datagrams: list[Datagram] = []
        for address, message in out:
            kind = PART_NAMES[message.cargo[0]] if message.kind == "cargo" else message.kind
            priority = PRIORITIES.get(message.kind, Priority.HEARTBEAT)
            data = self.codec.encode(message, address)
            datagrams += self._within_budget(now, kind, priority, address, data)
        return datagrams

    def _within_budget(
        self, now: float, kind: str, priority: Priority, address: Address, data: bytes
    ) -> list[Datagram]:
        if not self._budget.take(now, len(data), priority.value):
            self.held_back += 1
            self.held_back_by[priority] += 1
            return []
        self.sent += len(data)
        self.traffic.note(kind, len(data))
        return [Datagram(address, data)]

    # -- books

    def take_changes(self, now: float) -> list[Claim]:
        """What has changed in the list since the last call; the budgets and the codec go by it."""
        machine = self.machine
        changes = machine.changes[:]
        if changes:
            machine.changes.clear()
            self._intake.know(self._addresses())
        if now - self._forgot > FORGET_INTERVAL:
            self._forgot = now
            self.codec.forget(set(machine.listed), set(self._addresses()))
        return changes

    def _addresses(self) -> list[Address]:
        listed = [member.claim.address for member in self.machine.listed.values()]
        return [*listed, *self.machine.seeds]
