"""The membership's socket: carries a transport's datagrams, and ticks its protocol machine in time."""

from __future__ import annotations

import logging
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio

from yewrill.membership.format import MAX_DATAGRAM_BYTES, Codec
from yewrill.membership.intake import Priority
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import STATE_NAMES, OutgoingMessage
from yewrill.membership.transport import (
    OWNERSHIP,
    VIEWS,
    ZONES,
    Address,
    Datagram,
    PayloadHandler,
    Transport,
)
from yewrill.membership.udp import UdpSocket

__all__ = ["OWNERSHIP", "VIEWS", "ZONES", "Address", "MembershipLink", "open_link"]

log = logging.getLogger("yewrill.members")

# All timers fire in turns, at the same moments for all subsystems: a wake-up of the process costs more than
# the work done in it. The socket is read once a turn, and not between turns.
MAX_TURN_SECONDS = 0.075
TURN_FRACTION_OF_TIMEOUT = 0.375  # of the time that an answer to a ping may take
MIN_PAUSE_SECONDS = 1e-4


class MembershipLink:
    """A transport on a socket."""

    def __init__(self, transport: Transport, socket: UdpSocket):
        self.transport = transport
        self._socket = socket
        self._changed = trio.Event()
        self._next_tick = 0.0  # when the machine is ticked again
        self.list_changed = trio.Event()  # set and replaced when the list has changed
        self._stopped = False
        self._turn_seconds = min(
            MAX_TURN_SECONDS, self.machine.config.timeout * TURN_FRACTION_OF_TIMEOUT
        )

    @property
    def machine(self) -> SwimMember:
        """The protocol's state."""
        return self.transport.machine

    @property
    def payload_handlers(self) -> dict[int, PayloadHandler]:
        """The handlers of other subsystems' payloads, by the payload's first byte."""
        return self.transport.handlers

    @property
    def errors(self) -> Counter[str]:
        """Errors of the socket, by kind."""
        return self._socket.errors

    def next_turn(self, at: float) -> float:
        """The first turn at or after a moment, in trio's time."""
        return math.ceil(at / self._turn_seconds) * self._turn_seconds if at < math.inf else at

    async def run(self) -> None:
        """Receive and tick until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                self._next_tick = self.next_turn(self.transport.due)
                with trio.move_on_at(self._next_tick):
                    await self._changed.wait()
                self._changed = trio.Event()
                self._write(self.transport.tick(trio.current_time()))
                self._publish_changes()

    async def _receive(self) -> None:
        while True:
            await trio.sleep_until(self.next_turn(trio.current_time() + MIN_PAUSE_SECONDS))
            for data, source in self._socket.receive(MAX_DATAGRAM_BYTES + 1):
                self._write(self.transport.receive(trio.current_time(), data, source))
            if self.machine.changes or self.transport.due < self._next_tick:
                self._changed.set()

    async def send_payloads(
        self,
        subsystem: int,
        outgoing: list[tuple[Address, bytes]],
        priority: Priority = Priority.HEARTBEAT,
    ) -> None:
        """Send payloads of another subsystem to members."""
        self._write(
            self.transport.send_payloads(trio.current_time(), subsystem, outgoing, priority)
        )

    def send(self, outgoing: list[OutgoingMessage]) -> None:
        """Send messages of the membership."""
        self._write(self.transport.send(trio.current_time(), outgoing))

    def stop_sending(self) -> None:
        """Send nothing from here on, not even our departure: as a process that is killed."""
        self._stopped = True

    def _write(self, datagrams: list[Datagram]) -> None:
        if not self._stopped:
            for address, data in datagrams:
                self._socket.send(data, address)

    def _publish_changes(self) -> None:
        """Log changes of the list and wake those that wait for one."""
        changes = self.transport.take_changes(trio.current_time())
        for claim in changes:
            log.info(
                "member_state_changed member=%s state=%s zone=%s incarnation=%d",
                claim.name,
                STATE_NAMES[claim.state],
                claim.zone,
                claim.incarnation,
            )
        if changes:
            self.list_changed.set()
            self.list_changed = trio.Event()


@asynccontextmanager
async def open_link(
    address: Address,
    create_member: Callable[[Address, float], SwimMember],
    keys: list[bytes],
    bytes_per_s: float,
) -> AsyncIterator[MembershipLink]:
    """Open a link at an address; its departure is announced when the context ends.

    `create_member(address, now)` is called once the port is known. Raises OSError if the address is taken.
    """
    socket = UdpSocket(address)
    try:
        machine = create_member(socket.address, trio.current_time())
        run = random.SystemRandom().getrandbits(63) + 1
        codec = Codec(machine.me.name, run, keys, machine.config.max_members)
        link = MembershipLink(Transport(machine, codec, bytes_per_s), socket)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            try:
                yield link
            finally:
                link.send(machine.leave(trio.current_time()))
                nursery.cancel_scope.cancel()
    finally:
        socket.close()
