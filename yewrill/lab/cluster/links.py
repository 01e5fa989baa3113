"""Links between parties on loopback, with faults per direction: TCP passes through relays, UDP through a hub.

A party is a dispatcher or a simulated worker, known by its name.
"""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, replace

import trio

Address = tuple[str, int]
CHUNK_BYTES = 65536
# Precedes each datagram to and from the hub: address and port of its receiver or of its sender.
ADDRESS_HEADER = struct.Struct("!4sH")


@dataclass(slots=True)
class LinkFaults:
    """The faults of one direction between two parties."""

    # The delay in seconds, and the mean of a random (exponential) further delay of datagrams.
    delay: float = 0.0
    jitter: float = 0.0
    # The fractions of the datagrams that are lost or duplicated; connections are not affected.
    loss: float = 0.0
    duplication: float = 0.0
    # Limit on a connection in bytes per second; 0 is unlimited.
    rate: float = 0.0
    # Whether all data is discarded.
    cut: bool = False
    # Whether all data is held until the fault is cleared.
    stalled: bool = False


def wrap_datagram(address: Address, data: bytes) -> bytes:
    """Puts an address before a datagram that goes through the hub."""
    return ADDRESS_HEADER.pack(socket.inet_aton(address[0]), address[1]) + data


def unwrap_datagram(data: bytes) -> tuple[Address, bytes]:
    """Returns the address before a datagram that went through the hub, and the datagram."""
    host, port = ADDRESS_HEADER.unpack_from(data)
    return (socket.inet_ntoa(host), port), data[ADDRESS_HEADER.size :]


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection with a TCP reset."""
    with suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class Links:
    """All links between the parties of one test cluster."""

    def __init__(self, nursery: trio.Nursery, seed: int = 0):
        self._nursery = nursery
        self._rng = random.Random(seed)
        self._faults: dict[tuple[str, str], LinkFaults] = {}
        self._changed = trio.Event()
        self._open_streams: dict[tuple[str, str], set[trio.SocketStream]] = {}
        # For datagrams: the party that sends from an address.
        self._party_at: dict[Address, str] = {}
        self._hub: trio.socket.SocketType | None = None

    # -- faults

    def faults_of(self, a: str, b: str) -> LinkFaults:
        """Returns the faults of the direction from `a` to `b`."""
        return self._faults.get((a, b)) or LinkFaults()

    def set_faults(
        self,
        sources: Iterable[str],
        targets: Iterable[str],
        *,
        both_directions: bool = True,
        **faults: float | bool,
    ) -> None:
        """Sets the given faults on the links from some parties to others, by default in both directions."""
        targets = list(targets)
        for a in sources:
            for b in targets:
                for pair in ((a, b), (b, a)) if both_directions else ((a, b),):
                    if a != b:
                        self._faults[pair] = replace(self.faults_of(*pair), **faults)
        self._changed.set()
        self._changed = trio.Event()

    def heal(self) -> None:
        """Clears all faults."""
        self._faults.clear()
        self._changed.set()
        self._changed = trio.Event()

    def reset(self, a: str, b: str) -> None:
        """Resets the connections that are open from `a` to `b`."""
        for stream in list(self._open_streams.get((a, b), ())):
            reset(stream)

    # -- TCP

    async def relay(self, a: str, b: str, target: Address) -> Address:
        """Starts a relay from `a` to `b`, which listens at `target`; returns the relay's address."""

        async def forward(incoming: trio.SocketStream) -> None:
            streams = self._open_streams.setdefault((a, b), set())
            try:
                outgoing = await trio.open_tcp_stream(*target)
            except OSError:
                reset(incoming)
                return
            streams |= {incoming, outgoing}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, incoming, outgoing, a, b, nursery.cancel_scope)
                nursery.start_soon(self._pump, outgoing, incoming, b, a, nursery.cancel_scope)
            streams -= {incoming, outgoing}
            reset(incoming)
            reset(outgoing)

        listeners = await self._nursery.start(
            lambda task_status: trio.serve_tcp(
                forward, 0, host="127.0.0.1", handler_nursery=self._nursery, task_status=task_status
            )
        )
        return listeners[0].socket.getsockname()[:2]

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        a: str,
        b: str,
        scope: trio.CancelScope,
    ) -> None:
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(CHUNK_BYTES):
                while (faults := self.faults_of(a, b)).stalled:
                    await self._changed.wait()
                if faults.delay or faults.rate:
                    await trio.sleep(
                        faults.delay + (len(data) / faults.rate if faults.rate else 0.0)
                    )
                if not faults.cut:
                    await sink.send_all(data)
            if (faults := self.faults_of(a, b)).cut or faults.stalled:
                # The end of the stream is not passed on; the other direction's relay closes both connections.
                return
            with suppress(trio.BrokenResourceError):
                await sink.send_eof()
        scope.cancel()

    # -- UDP

    async def open_hub(self) -> int:
        """Opens the hub; returns the port to which `entry.py` has to send every datagram."""
        self._hub = hub = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        hub.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        await hub.bind(("127.0.0.1", 0))
        self._nursery.start_soon(self._forward)
        return hub.getsockname()[1]

    def register(self, party: str, address: Address) -> None:
        """Tells the hub which party sends from an address."""
        self._party_at[address] = party

    async def _forward(self) -> None:
        assert self._hub is not None
        while True:
            try:
                data, source = await self._hub.recvfrom(CHUNK_BYTES)
            except OSError:
                continue  # the exception is an ICMP error caused by an earlier datagram
            target, data = unwrap_datagram(data)
            a, b = self._party_at.get(source[:2]), self._party_at.get(target)
            if a is None or b is None:
                continue
            faults = self.faults_of(a, b)
            if faults.cut or self._rng.random() < faults.loss:
                continue
            for _ in range(2 if self._rng.random() < faults.duplication else 1):
                delay = faults.delay + faults.jitter * self._rng.expovariate(1.0)
                if delay or faults.stalled:
                    self._nursery.start_soon(
                        self._send_delayed, delay, a, b, target, wrap_datagram(source[:2], data)
                    )
                else:
                    await self._send(target, wrap_datagram(source[:2], data))

    async def _send_delayed(
        self, delay: float, a: str, b: str, target: Address, data: bytes
    ) -> None:
        await trio.sleep(delay)
        while self.faults_of(a, b).stalled:
            await self._changed.wait()
        await self._send(target, data)

    async def _send(self, target: Address, data: bytes) -> None:
        assert self._hub is not None
        with suppress(OSError):
            await self._hub.sendto(data, target)

    def close(self) -> None:
        """Closes the hub."""
        if self._hub is not None:
            self._hub.close()
