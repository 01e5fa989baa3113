"""Runs a transport on a UDP socket: receives and sends its datagrams, and ticks its protocol machine."""

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

# Timers of all subsystems fire at common wake-up times, because waking the process costs more than the work
# done then. The socket is read once per wake-up.
MAX_WAKEUP_INTERVAL_SECONDS = 0.075
# Longest interval between wake-ups as a fraction of the time in which a ping must be answered.
WAKEUP_INTERVAL_FRACTION_OF_TIMEOUT = 0.375
MIN_PAUSE_SECONDS = 1e-4


class MembershipLink:
    """A transport and the socket that it runs on."""

    def __init__(self, transport: Transport, socket: UdpSocket):
        self.transport = transport
        self._socket = socket
        self._changed = trio.Event()
        self._next_tick = 0.0
        # Set, and replaced by a new event, when the member list changes.
        self.list_changed = trio.Event()
        self._stopped = False
        self._wakeup_interval_seconds = min(
            MAX_WAKEUP_INTERVAL_SECONDS,
            self.machine.config.timeout * WAKEUP_INTERVAL_FRACTION_OF_TIMEOUT,
        )

    @property
    def machine(self) -> SwimMember:
        """The protocol machine."""
        return self.transport.machine

    @property
    def payload_handlers(self) -> dict[int, PayloadHandler]:
        """Handlers of other subsystems' payloads, by the first byte of the payload."""
        return self.transport.handlers

    @property
    def errors(self) -> Counter[str]:
        """Socket errors, by call and errno."""
        return self._socket.errors

    def next_wakeup(self, at: float) -> float:
        """Returns the first wake-up time at or after a time, on trio's clock."""
        return (
            math.ceil(at / self._wakeup_interval_seconds) * self._wakeup_interval_seconds
            if at < math.inf
            else at
        )

    async def run(self) -> None:
        """Receives datagrams and ticks the protocol machine until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            while True:
                self._next_tick = self.next_wakeup(self.transport.due)
                with trio.move_on_at(self._next_tick):
                    await self._changed.wait()
                self._changed = trio.Event()
                self._write(self.transport.tick(trio.current_time()))
                self._publish_changes()

    async def _receive(self) -> None:
        while True:
            await trio.sleep_until(self.next_wakeup(trio.current_time() + MIN_PAUSE_SECONDS))
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
        """Sends payloads of another subsystem to members."""
        self._write(
            self.transport.send_payloads(trio.current_time(), subsystem, outgoing, priority)
        )

    def send(self, outgoing: list[OutgoingMessage]) -> None:
        """Sends messages of the membership."""
        self._write(self.transport.send(trio.current_time(), outgoing))

    def stop_sending(self) -> None:
        """Stops sending, including the announcement of the departure, as if the process were killed."""
        self._stopped = True

    def _write(self, datagrams: list[Datagram]) -> None:
        if not self._stopped:
            for address, data in datagrams:
                self._socket.send(data, address)

    def _publish_changes(self) -> None:
        """Logs changes of the member list and wakes the tasks that wait for one."""
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
    """Opens a link bound to an address; announces the departure when the context ends.

    `create_member(address, now)` is called once the port is known. Raises OSError if the address can't be
    bound.
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
