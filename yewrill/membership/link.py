"""The socket of the membership: carries a transport's datagrams, and ticks its machine in time."""

from __future__ import annotations

import logging
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from yewrill.membership.format import MOST, Codec
from yewrill.membership.intake import Priority
from yewrill.membership.machine import STATES, Machine, Out
from yewrill.membership.transport import (
    OWNERSHIP,
    VIEWS,
    ZONES,
    Address,
    Datagram,
    Payload,
    Transport,
)
from yewrill.membership.udp import UdpSocket

__all__ = ["OWNERSHIP", "VIEWS", "ZONES", "Address", "Link", "open_link"]

log = logging.getLogger("yewrill.members")

# All that is on a timer happens in turns, at the same moments for all parts: a wake-up of the process costs
# more than what is done in it. The socket is looked at in each turn, and not between them.
LONGEST_TURN = 0.075  # seconds
TURN_SHARE = 0.375  # of the time that an answer to a ping may take
LEAST_PAUSE = 1e-4


class Link:
    """A transport on a socket."""

    def __init__(self, transport: Transport, socket: UdpSocket):
        self.transport = transport
        self._socket = socket
        self._changed = trio.Event()
        self._looks_at = 0.0  # when the machine is ticked next
        self.news = trio.Event()  # set and replaced when the list has changed
        self._muted = False
        self._turn = min(LONGEST_TURN, self.machine.rules.timeout * TURN_SHARE)

    @property
    def machine(self) -> Machine:
        """The protocol's state."""
        return self.transport.machine

    @property
    def cargo(self) -> dict[int, Payload]:
        """Who takes other parts' payloads, by their first byte."""
        return self.transport.handlers

    @property
    def errors(self) -> Counter[str]:
        """Of the socket, by kind."""
        return self._socket.errors

    def turn(self, at: float) -> float:
        """The first turn at or after a moment, in trio's time."""
        return math.ceil(at / self._turn) * self._turn if at < math.inf else at

    async def run(self) -> None:
        """Receive and tick until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                self._looks_at = self.turn(self.transport.due)
                with trio.move_on_at(self._looks_at):
                    await self._changed.wait()
                self._changed = trio.Event()
                self._write(self.transport.tick(trio.current_time()))
                self._note()

    async def _receive(self) -> None:
        while True:
            await trio.sleep_until(self.turn(trio.current_time() + LEAST_PAUSE))
            for data, source in self._socket.receive(MOST + 1):
                self._write(self.transport.receive(trio.current_time(), data, source))
            if self.machine.changes or self.transport.due < self._looks_at:
                self._changed.set()

    async def say(
        self,
        part: int,
        out: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> None:
        """Send what another part has to say to members."""
        self._write(self.transport.say(trio.current_time(), part, out, priority))

    def send(self, out: list[Out]) -> None:
        """Send messages of the membership."""
        self._write(self.transport.send(trio.current_time(), out))

    def mute(self) -> None:
        """Send nothing from here on, not even that we leave: as one that is killed."""
        self._muted = True

    def _write(self, datagrams: list[Datagram]) -> None:
        if not self._muted:
            for address, data in datagrams:
                self._socket.send(data, address)

    def _note(self) -> None:
        """Tell of changes of the list."""
        changes = self.transport.take_changes(trio.current_time())
        for claim in changes:
            log.info(
                "member name=%s state=%s zone=%s incarnation=%d",
                claim.name,
                STATES[claim.state],
                claim.zone,
                claim.incarnation,
            )
        if changes:
            self.news.set()
            self.news = trio.Event()


@asynccontextmanager
async def open_link(
    address: Address,
    make: Callable[[Address, float], Machine],
    keys: list[bytes],
    bytes_per_s: float,
) -> AsyncIterator[Link]:
    """A link at an address; `make(address, now)` gives the machine once the port is known."""
    socket = UdpSocket(address)
    try:
        machine = make(socket.address, trio.current_time())
        run = random.SystemRandom().getrandbits(63) + 1
        codec = Codec(machine.me.name, run, keys, machine.rules.most_members)
        link = Link(Transport(machine, codec, bytes_per_s), socket)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            try:
                yield link
            finally:
                link.send(machine.leave(trio.current_time()))
                nursery.cancel_scope.cancel()
    finally:
        socket.close()
