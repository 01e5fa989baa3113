"""The membership's datagrams without a socket: what is sent and what is processed, within the budgets.

`Transport` joins a protocol machine, the datagram codec and both budgets. Bytes and the time come in,
datagrams come out; the owner of the socket (`link.py`), or a virtual network, carries them. Other subsystems
send their messages as payloads of these datagrams and are handed those that arrive.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from yewrill.membership.format import Codec, DatagramRejected, UnknownRun
from yewrill.membership.intake import InboundBudget, Priority, TokenBucket
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import Claim, Message, OutgoingMessage

Address = tuple[str, int]
PayloadHandler = Callable[[bytes, str, Address], list[tuple[Address, bytes]]]
"""Takes data, its sender's name and address; returns what to send, and where to."""

ZONES, OWNERSHIP, VIEWS = 1, 2, 3  # the first byte of a payload: its subsystem
SUBSYSTEM_NAMES = {ZONES: "zones", OWNERSHIP: "ownership", VIEWS: "views"}
PRIORITIES = {
    "news": Priority.GOSSIP,
    "hello": Priority.GOSSIP,
    "list": Priority.LIST,
}  # others: heartbeats
IP_UDP_HEADER_BYTES = 28  # bytes of IPv4 and UDP round a datagram
FORGET_INTERVAL_SECONDS = 30.0  # between two removals of what the codec need not remember


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

    def __init__(self, machine: SwimMember, codec: Codec, bytes_per_s: float):
        self.machine, self.codec = machine, codec
        self._outbound = TokenBucket(bytes_per_s)
        self._inbound = InboundBudget(bytes_per_s)
        self._inbound.set_members(list(machine.seeds))
        self._last_forget = machine.now
        self.handlers: dict[int, PayloadHandler] = {}  # of payloads, by their first byte
        self.refused: Counter[str] = Counter()  # rejected datagrams, by the reason
        self.sent = self.received = self.held_back = 0
        self.held_back_by: Counter[Priority] = Counter()
        self.traffic = Traffic()

    @property
    def flooded(self) -> int:
        """Datagrams that the inbound budget dropped."""
        return self._inbound.refused

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        return self.machine.due

    # -- in

    def receive(self, now: float, data: bytes, source: Address) -> list[Datagram]:
        """Process a datagram, if its source's budget allows; the datagrams to be sent for it."""
        self.received += len(data)
        if not self._inbound.admits(now, source, len(data)):
            return []
        try:
            sender, message = self.codec.decode(data, source)
        except UnknownRun as error:
            hello = self.codec.hello(source, error.run)
            return self._within_budget(now, "hello", Priority.GOSSIP, source, hello)
        except DatagramRejected as error:
            self.refused[str(error)] += 1
            return []
        return self._handle(now, message, sender, source)

    def _handle(self, now: float, message: Message, sender: str, source: Address) -> list[Datagram]:
        outgoing = self.machine.receive(now, message, sender, source)
        datagrams: list[Datagram] = []
        if message.kind == "cargo" and message.payload and sender in self.machine.entries:
            subsystem = message.payload[0]
            handler = self.handlers.get(subsystem)
            if handler is not None:
                datagrams += self.send_payloads(
                    now, subsystem, handler(message.payload[1:], sender, source)
                )
        if message.kind == "hello" and (again := self.codec.take_undelivered(source)) is not None:
            outgoing.append((source, again))
        return datagrams + self.send(now, outgoing)

    # -- out

    def tick(self, now: float) -> list[Datagram]:
        """Do what is due; the datagrams to be sent for it."""
        return self.send(now, self.machine.tick(now)) if now >= self.machine.due else []

    def send_payloads(
        self,
        now: float,
        subsystem: int,
        outgoing: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> list[Datagram]:
        """The datagrams for payloads of another subsystem, as far as the budget allows."""
        prefix, kind = bytes((subsystem,)), SUBSYSTEM_NAMES[subsystem]
        datagrams: list[Datagram] = []
        for address, payload in outgoing:
            data = self.codec.encode(Message("cargo", payload=prefix + payload), address)
            datagrams += self._within_budget(now, kind, priority, address, data)
        return datagrams

    def send(self, now: float, outgoing: list[OutgoingMessage]) -> list[Datagram]:
        """The membership's messages as datagrams, as far as the budget allows."""
        datagrams: list[Datagram] = []
        for address, message in outgoing:
            kind = SUBSYSTEM_NAMES[message.payload[0]] if message.kind == "cargo" else message.kind
            priority = PRIORITIES.get(message.kind, Priority.HEARTBEAT)
            data = self.codec.encode(message, address)
            datagrams += self._within_budget(now, kind, priority, address, data)
        return datagrams

    def _within_budget(
        self, now: float, kind: str, priority: Priority, address: Address, data: bytes
    ) -> list[Datagram]:
        if not self._outbound.take(now, len(data), priority.value):
            self.held_back += 1
            self.held_back_by[priority] += 1
            return []
        self.sent += len(data)
        self.traffic.note(kind, len(data))
        return [Datagram(address, data)]

    # -- bookkeeping

    def take_changes(self, now: float) -> list[Claim]:
        """What has changed in the list since the last call; the budgets and the codec go by it."""
        machine = self.machine
        changes = machine.changes[:]
        if changes:
            machine.changes.clear()
            self._inbound.set_members(self._addresses())
        if now - self._last_forget > FORGET_INTERVAL_SECONDS:
            self._last_forget = now
            self.codec.forget(set(machine.entries), set(self._addresses()))
        return changes

    def _addresses(self) -> list[Address]:
        listed = [member.claim.address for member in self.machine.entries.values()]
        return [*listed, *self.machine.seeds]
