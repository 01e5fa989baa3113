"""The socket of the membership: carries a transport's datagrams, and ticks its machine in time."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from yewrill.members.format import MOST, Codec
from yewrill.members.intake import Priority
from yewrill.members.machine import STATES, Machine, Out
from yewrill.members.transport import (
    OWNERSHIP,
    VIEWS,
    ZONES,
    Address,
    Datagram,
    Payload,
    Transport,
)

__all__ = ["OWNERSHIP", "VIEWS", "ZONES", "Address", "Link", "open_link"]

log = logging.getLogger("yewrill.members")

GOODBYE = 0.5  # seconds at the end for saying that we leave


class Link:
    """A transport on a socket."""

    def __init__(self, transport: Transport, socket: trio.socket.SocketType):
        self.transport = transport
        self._socket = socket
        self._changed = trio.Event()
        self.news = trio.Event()  # set and replaced when the list has changed
        self.errors: Counter[str] = Counter()  # of the socket
        self._muted = False

    @property
    def machine(self) -> Machine:
        """The protocol's state."""
        return self.transport.machine

    @property
    def cargo(self) -> dict[int, Payload]:
        """Who takes other parts' payloads, by their first byte."""
        return self.transport.handlers

    async def run(self) -> None:
        """Receive and tick until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                with trio.move_on_at(self.transport.due):
                    await self._changed.wait()
                self._changed = trio.Event()
                await self._write(self.transport.tick(trio.current_time()))
                self._note()

    async def _receive(self) -> None:
        while True:
            try:
                data, source = await self._socket.recvfrom(MOST + 1)
            except OSError as error:  # what an earlier datagram met, told on the next call
                self.errors[f"socket {error.errno}"] += 1
                continue
            await self._write(self.transport.receive(trio.current_time(), data, source[:2]))
            self._changed.set()

    async def say(
        self,
        part: int,
        out: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> None:
        """Send what another part has to say to members."""
        await self._write(self.transport.say(trio.current_time(), part, out, priority))

    async def send(self, out: list[Out]) -> None:
        """Send messages of the membership."""
        await self._write(self.transport.send(trio.current_time(), out))

    def mute(self) -> None:
        """Send nothing from here on, not even that we leave: as one that is killed."""
        self._muted = True

    async def _write(self, datagrams: list[Datagram]) -> None:
        if self._muted:
            return
        for address, data in datagrams:
            try:
                await self._socket.sendto(data, address)
            except OSError as error:
                self.errors[f"send {error.errno}"] += 1

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
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
        await socket.bind(address)
        machine = make(socket.getsockname()[:2], trio.current_time())
        run = random.SystemRandom().getrandbits(63) + 1
        codec = Codec(machine.me.name, run, keys, machine.rules.most_members)
        link = Link(Transport(machine, codec, bytes_per_s), socket)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            try:
                yield link
            finally:
                with trio.CancelScope(shield=True, deadline=trio.current_time() + GOODBYE):
                    await link.send(machine.leave(trio.current_time()))
                nursery.cancel_scope.cancel()
