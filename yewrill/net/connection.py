"""A TCP connection with one ring buffer for each direction."""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum

import trio

from yewrill.net.ring import RingBuffer

RING = 8192
_SCRATCH = bytearray(64 * 1024)  # where bytes go that nobody wants; shared, for nobody reads it
ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Quiet(Enum):
    """What a connection that should be idle shows."""

    IDLE = "idle"
    ENDED = "ended"
    STRAY = "stray bytes"


class Connection:
    __slots__ = ("sock", "inbound", "outbound", "closed", "unsent")

    def __init__(self, sock: socket.socket, ring: int = RING):
        sock.setblocking(False)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.inbound = RingBuffer(ring)
        self.outbound = RingBuffer(ring)
        self.closed = False
        self.unsent = 0  # bytes of the present `send` that the system has not taken

    @classmethod
    async def open(cls, address: tuple[str, int], ring: int = RING) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(sock, ring)
        try:
            try:
                sock.connect(address)
            except BlockingIOError:
                await connection._ready(trio.lowlevel.wait_writable)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise OSError(error, "connect failed") from None
        except BaseException:
            connection.close()
            raise
        return connection

    async def _ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait(self.sock)
        except trio.ClosedResourceError:
            # Another task closed it meanwhile: to whoever waits, that is one more way to lose it.
            raise OSError("connection closed here") from None

    async def fill(self) -> int:
        """Read what has come into the inbound ring; 0 at the end of the stream."""
        while True:
            count = self.fill_now()
            if count is not None:
                return count
            await self._ready(trio.lowlevel.wait_readable)

    def fill_now(self) -> int | None:
        """As `fill`, or None if nothing has come."""
        if self.closed:
            raise OSError("connection closed here")
        try:
            count = self.sock.recv_into(self.inbound.space())
        except (BlockingIOError, InterruptedError):
            return None
        self.inbound.filled(count)
        return count

    def drop_now(self) -> int | None:
        """Read and forget a bounded part of what has come: how much, 0 at the end; None if nothing has."""
        if self.closed:
            raise OSError("connection closed here")
        try:
            return self.sock.recv_into(_SCRATCH)
        except (BlockingIOError, InterruptedError):
            return None

    async def receive(self) -> bytes:
        """The next bytes, empty at the end of the stream."""
        if not len(self.inbound):
            await self.fill()
        return self.inbound.take()

    async def send(self, data: bytes) -> None:
        view = memoryview(data)
        done = 0
        self.unsent = len(data)
        while self.unsent:
            done += self.outbound.put(view[done:])
            if self.closed:
                raise OSError("connection closed here")
            try:
                count = self.sock.send(self.outbound.pending())
            except (BlockingIOError, InterruptedError):
                await self._ready(trio.lowlevel.wait_writable)
                # Given up in the same turn in which there was room again: then no more goes out.
                await trio.lowlevel.checkpoint_if_cancelled()
                continue
            self.outbound.used(count)
            self.unsent -= count

    def quiet(self) -> Quiet:
        """Whether an idle connection may be used again: never one with its end or stray bytes waiting."""
        if len(self.inbound):
            return Quiet.STRAY
        try:
            return Quiet.STRAY if self.sock.recv(1, socket.MSG_PEEK) else Quiet.ENDED
        except (BlockingIOError, InterruptedError):
            return Quiet.IDLE
        except OSError:
            return Quiet.ENDED

    def on_its_way(self) -> int:
        """Bytes that the system has taken and the peer's has not acknowledged."""
        try:
            return struct.unpack("i", fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(4)))[0]
        except OSError:
            return 0

    def ended(self) -> bool:
        """Whether the peer has closed or reset by now, also where that still lies behind unread bytes."""
        if self.closed:
            return True
        poll = select.poll()  # not select(), which knows no descriptor over 1023
        poll.register(self.sock, select.POLLRDHUP)
        return any(event & ENDS for _, event in poll.poll(0))

    def end(self) -> None:
        """Say that nothing more is sent; what was sent before goes on its way."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
