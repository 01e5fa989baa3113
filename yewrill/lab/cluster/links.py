"""Links between parties on loopback, each direction with faults of its own: relays for TCP, a hub for UDP."""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, replace

import trio

Address = tuple[str, int]
CHUNK = 65536
HEAD = struct.Struct(
    "!4sH"
)  # of a datagram on its way to or from the hub: the other party's address


@dataclass(slots=True)
class Way:
    """One direction between two parties. Seconds, parts, bytes a second (0: as fast as it goes)."""

    delay: float = 0.0
    jitter: float = 0.0
    loss: float = 0.0  # datagrams only, as `twice`
    twice: float = 0.0
    rate: float = 0.0
    cut: bool = False
    stalled: bool = False


def pack(address: Address, data: bytes) -> bytes:
    return HEAD.pack(socket.inet_aton(address[0]), address[1]) + data


def unpack(data: bytes) -> tuple[Address, bytes]:
    host, port = HEAD.unpack_from(data)
    return (socket.inet_ntoa(host), port), data[HEAD.size :]


def reset(stream: trio.SocketStream) -> None:
    """Close a connection so that the other side sees it break."""
    with suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class Links:
    """All ways between the parties of one installation."""

    def __init__(self, nursery: trio.Nursery, seed: int = 0):
        self._nursery = nursery
        self._rng = random.Random(seed)
        self._ways: dict[tuple[str, str], Way] = {}
        self._changed = trio.Event()
        self._open: dict[tuple[str, str], set[trio.SocketStream]] = {}
        self._parties: dict[Address, str] = {}  # of datagrams
        self._hub: trio.socket.SocketType | None = None

    # -- faults

    def way(self, a: str, b: str) -> Way:
        return self._ways.get((a, b)) or Way()

    def set(
        self,
        ones: Iterable[str],
        others: Iterable[str],
        *,
        both: bool = True,
        **faults: float | bool,
    ) -> None:
        """Change the ways from some parties to others, and back."""
        others = list(others)
        for a in ones:
            for b in others:
                for pair in ((a, b), (b, a)) if both else ((a, b),):
                    if a != b:
                        self._ways[pair] = replace(self.way(*pair), **faults)
        self._changed.set()
        self._changed = trio.Event()

    def heal(self) -> None:
        """All ways are well again."""
        self._ways.clear()
        self._changed.set()
        self._changed = trio.Event()

    def reset(self, a: str, b: str) -> None:
        """Break the connections that are open from one party to another."""
        for stream in list(self._open.get((a, b), ())):
            reset(stream)

    # -- TCP

    async def relay(self, a: str, b: str, target: Address) -> Address:
        """Where `a` reaches `b` that listens at `target`."""

        async def join(near: trio.SocketStream) -> None:
            ends = self._open.setdefault((a, b), set())
            try:
                far = await trio.open_tcp_stream(*target)
            except OSError:
                reset(near)
                return
            ends |= {near, far}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, a, b, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, near, b, a, nursery.cancel_scope)
            ends -= {near, far}
            reset(near)
            reset(far)

        listeners = await self._nursery.start(
            lambda task_status: trio.serve_tcp(
                join, 0, host="127.0.0.1", handler_nursery=self._nursery, task_status=task_status
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
            while data := await source.receive_some(CHUNK):
                while (way := self.way(a, b)).stalled:
                    await self._changed.wait()
                if way.delay or way.rate:
                    await trio.sleep(way.delay + (len(data) / way.rate if way.rate else 0.0))
                if not way.cut:
                    await sink.send_all(data)
            if (way := self.way(a, b)).cut or way.stalled:
                return  # that it closed does not get through; the other direction ends both
            with suppress(trio.BrokenResourceError):
                await sink.send_eof()
        scope.cancel()

    # -- UDP

    async def open_hub(self) -> int:
        """The port to which `entry.py` sends every datagram."""
        self._hub = hub = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        hub.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        await hub.bind(("127.0.0.1", 0))
        self._nursery.start_soon(self._forward)
        return hub.getsockname()[1]

    def know(self, party: str, address: Address) -> None:
        self._parties[address] = party

    async def _forward(self) -> None:
        assert self._hub is not None
        while True:
            try:
                data, source = await self._hub.recvfrom(CHUNK)
            except OSError:
                continue  # what an earlier datagram met
            target, data = unpack(data)
            a, b = self._parties.get(source[:2]), self._parties.get(target)
            if a is None or b is None:
                continue
            way = self.way(a, b)
            if way.cut or self._rng.random() < way.loss:
                continue
            for _ in range(2 if self._rng.random() < way.twice else 1):
                delay = way.delay + way.jitter * self._rng.expovariate(1.0)
                if delay or way.stalled:
                    self._nursery.start_soon(
                        self._later, delay, a, b, target, pack(source[:2], data)
                    )
                else:
                    await self._send(target, pack(source[:2], data))

    async def _later(self, delay: float, a: str, b: str, target: Address, data: bytes) -> None:
        await trio.sleep(delay)
        while self.way(a, b).stalled:
            await self._changed.wait()
        await self._send(target, data)

    async def _send(self, target: Address, data: bytes) -> None:
        assert self._hub is not None
        with suppress(OSError):
            await self._hub.sendto(data, target)

    def close(self) -> None:
        if self._hub is not None:
            self._hub.close()
