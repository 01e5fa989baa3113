"""The membership's datagrams without a socket: encodes and decodes them, and enforces the byte budgets.

`Transport` combines a protocol machine, the datagram codec and both byte budgets. It takes bytes and the time
and returns datagrams, which the owner of the socket (`link.py`) or a virtual network sends. Other subsystems
send their messages as payloads of these datagrams and receive payloads through handlers.
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
"""Takes a payload, its sender's name and address; returns payloads to send, with their addresses."""

# First byte of a payload, which names the subsystem that the payload belongs to.
ZONES, OWNERSHIP, VIEWS = 1, 2, 3
SUBSYSTEM_NAMES = {ZONES: "zones", OWNERSHIP: "ownership", VIEWS: "views"}
# Message kinds that are not listed have the priority of heartbeats.
PRIORITIES = {
    "news": Priority.GOSSIP,
    "hello": Priority.GOSSIP,
    "list": Priority.LIST,
}
# Headers of IPv4 and UDP, which the byte counts and budgets leave out.
IP_UDP_HEADER_BYTES = 28
# Time between two removals of the codec's state about peers that are no longer members.
FORGET_INTERVAL_SECONDS = 30.0


class Datagram(NamedTuple):
    """An encoded message and the address that it is sent to."""

    address: Address
    data: bytes


@dataclass(slots=True)
class Traffic:
    """Datagrams and bytes (without IP and UDP headers) sent, by kind of message."""

    count: Counter[str] = field(default_factory=Counter)
    size: Counter[str] = field(default_factory=Counter)

    def record(self, kind: str, size: int) -> None:
        """Counts a sent datagram."""
        self.count[kind] += 1
        self.size[kind] += size


class Transport:
    """Sends and receives the datagrams of one member. Times are seconds of one monotonic clock."""

    def __init__(self, machine: SwimMember, codec: Codec, bytes_per_s: float):
        self.machine, self.codec = machine, codec
        self._outbound = TokenBucket(bytes_per_s)
        self._inbound = InboundBudget(bytes_per_s)
        self._inbound.set_members(list(machine.seeds))
        self._forgot_at = machine.now
        # Handlers of payloads, by the first byte of the payload.
        self.handlers: dict[int, PayloadHandler] = {}
        self.refused: Counter[str] = Counter()  # number of rejected datagrams, by reason
        # Number of datagrams sent, received, and not sent for lack of outbound budget.
        self.sent = self.received = self.held_back = 0
        self.held_back_by: Counter[Priority] = Counter()
        self.traffic = Traffic()

    @property
    def flooded(self) -> int:
        """Number of datagrams that the inbound budget dropped."""
        return self._inbound.refused

    @property
    def due(self) -> float:
        """The time at which `tick` must be called next."""
        return self.machine.due

    # -- receiving

    def receive(self, now: float, data: bytes, source: Address) -> list[Datagram]:
        """Processes a datagram if the budget of its source allows; returns the datagrams to send."""
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
        if (
            message.kind == "hello"
            and (undelivered := self.codec.take_undelivered(source)) is not None
        ):
            outgoing.append((source, undelivered))
        return datagrams + self.send(now, outgoing)

    # -- sending

    def tick(self, now: float) -> list[Datagram]:
        """Ticks the protocol machine; returns the datagrams to send."""
        return self.send(now, self.machine.tick(now)) if now >= self.machine.due else []

    def send_payloads(
        self,
        now: float,
        subsystem: int,
        outgoing: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> list[Datagram]:
        """Returns datagrams with payloads of another subsystem, as far as the outbound budget allows."""
        prefix, kind = bytes((subsystem,)), SUBSYSTEM_NAMES[subsystem]
        datagrams: list[Datagram] = []
        for address, payload in outgoing:
            data = self.codec.encode(Message("cargo", payload=prefix + payload), address)
            datagrams += self._within_budget(now, kind, priority, address, data)
        return datagrams

    def send(self, now: float, outgoing: list[OutgoingMessage]) -> list[Datagram]:
        """Returns datagrams with messages of the membership, as far as the outbound budget allows."""
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
        self.traffic.record(kind, len(data))
        return [Datagram(address, data)]

    # -- bookkeeping

    def take_changes(self, now: float) -> list[Claim]:
        """Returns the changes of state since the last call; updates the inbound budget and the codec."""
        machine = self.machine
        changes = machine.changes[:]
        if changes:
            machine.changes.clear()
            self._inbound.set_members(self._addresses())
        if now - self._forgot_at > FORGET_INTERVAL_SECONDS:
            self._forgot_at = now
            self.codec.forget(set(machine.entries), set(self._addresses()))
        return changes

    def _addresses(self) -> list[Address]:
        listed = [member.claim.address for member in self.machine.entries.values()]
        return [*listed, *self.machine.seeds]
