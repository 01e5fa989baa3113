"""A TCP connection with one ring buffer for each direction."""

from __future__ import annotations

import errno
import fcntl
import logging
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum

import trio

from yewrill.net.ring import RingBuffer

log = logging.getLogger("yewrill.connections")

RING = 8192
_SCRATCH = bytearray(64 * 1024)  # where bytes go that nobody wants; shared, for nobody reads it
ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# For want of descriptors or memory here: who gives a connection up makes room for another.
NO_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# A new connection failed for a reason of this machine's: that tells nothing of its peer.
OWN_SHORTAGE = NO_DESCRIPTORS | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETDOWN}
# A read or write of a connection failed for want of memory: the connection is as it was.
TRANSIENT = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
# A wait for a socket could not be set up (epoll_ctl): the socket is as it was.
NO_WAIT = frozenset({errno.ENOMEM, errno.ENOSPC})
FIRST_PAUSE, PAUSE_FACTOR, MOST_PAUSE = 0.002, 2.0, 0.02  # seconds before it is tried again
MOST_RETRIED = 1.0  # seconds in a row


class Quiet(Enum):
    """What a connection that should be idle shows."""

    IDLE = "idle"
    ENDED = "ended"
    STRAY = "stray bytes"


def events_now(sock: socket.socket, wanted: int) -> int:
    """Which of the wanted events of `select.poll` a socket has at this moment, and any error or hang-up."""
    poll = select.poll()  # not select(), which knows no descriptor over 1023
    poll.register(sock, wanted)
    return next((events for _, events in poll.poll(0)), 0)


class Retries:
    """Tries again a read or a write that failed for want of memory: after a growing pause, for a while."""

    total = 0  # of all connections

    def __init__(self) -> None:
        self._pause = FIRST_PAUSE
        self._since: float | None = None

    async def pause_after(self, error: OSError) -> None:
        """Wait until it may be tried again. Raises the error if it is another one, or has lasted too long."""
        now = trio.current_time()
        if self._since is None:
            self._since = now
        if error.errno not in TRANSIENT or now - self._since >= MOST_RETRIED:
            raise error
        Retries.total += 1
        if Retries.total == 1:
            log.warning(
                "socket_call_retried errno=%s: %s", errno.errorcode[error.errno], error.strerror
            )
        await trio.sleep(self._pause)
        self._pause = min(MOST_PAUSE, self._pause * PAUSE_FACTOR)

    def lasted(self) -> float:
        """Seconds since the first failure, 0 if there was none."""
        return 0.0 if self._since is None else trio.current_time() - self._since


class Connection:
    """A non-blocking TCP socket with its buffers. Not closed by cancellation: its user closes it."""

    __slots__ = ("sock", "inbound", "outbound", "closed", "unsent", "retried_for")

    def __init__(self, sock: socket.socket, ring: int = RING):
        sock.setblocking(False)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.inbound = RingBuffer(ring)
        self.outbound = RingBuffer(ring)
        self.closed = False
        self.unsent = 0  # bytes of the present `send` that the system has not taken
        self.retried_for = 0.0  # seconds for which the last read failed before it succeeded

    @classmethod
    async def open(cls, address: tuple[str, int], ring: int = RING) -> Connection:
        """Connect to an address. Raises OSError; on cancellation the socket is closed."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(sock, ring)
        try:
            try:
                sock.connect(address)
            except (BlockingIOError, InterruptedError) as waits:
                if waits.errno == errno.EAGAIN:
                    raise  # no port is free here: nothing is under way
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
        except OSError as error:
            if error.errno not in NO_WAIT:
                raise
            await trio.sleep(MOST_PAUSE)  # the wait could not be set up: whoever waits looks again

    async def fill(self) -> int:
        """Read what has come into the inbound ring; 0 at the end of the stream."""
        retries: Retries | None = None
        while True:
            try:
                count = self.fill_now()
            except OSError as error:
                retries = retries or Retries()
                await retries.pause_after(error)
                continue
            if count is not None:
                self.retried_for = 0.0 if retries is None else retries.lasted()
                return count
            await self._ready(trio.lowlevel.wait_readable)

    def fill_now(self) -> int | None:
        """As `fill`, or None if nothing has come."""
        if self.closed:
            raise OSError("connection closed here")
        try:
            count = self.sock.recv_into(self.inbound.space())
        except BlockingIOError:
            return None
        self.inbound.filled(count)
        return count

    def drop_now(self) -> int | None:
        """Read and forget a bounded part of what has come: how much, 0 at the end; None if nothing has."""
        if self.closed:
            raise OSError("connection closed here")
        try:
            return self.sock.recv_into(_SCRATCH)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in TRANSIENT:
                return None
            raise

    async def receive(self) -> bytes:
        """The next bytes, empty at the end of the stream."""
        if not len(self.inbound):
            await self.fill()
        return self.inbound.take()

    async def send(self, data: bytes) -> None:
        """Send all of `data`. Raises OSError; `unsent` tells how much the system had not taken."""
        view = memoryview(data)
        done = 0
        retries: Retries | None = None
        self.unsent = len(data)
        while self.unsent:
            done += self.outbound.put(view[done:])
            if self.closed:
                raise OSError("connection closed here")
            try:
                count = self.sock.send(self.outbound.pending())
            except BlockingIOError:
                await self._ready(trio.lowlevel.wait_writable)
                # Given up in the same turn in which there was room again: then no more goes out.
                await trio.lowlevel.checkpoint_if_cancelled()
                continue
            except OSError as error:
                retries = retries or Retries()
                await retries.pause_after(error)
                continue
            retries = None
            self.outbound.used(count)
            self.unsent -= count

    def quiet(self) -> Quiet:
        """Whether an idle connection may be used again: never one with its end or stray bytes waiting."""
        if len(self.inbound):
            return Quiet.STRAY
        try:
            return Quiet.STRAY if self.sock.recv(1, socket.MSG_PEEK) else Quiet.ENDED
        except BlockingIOError:
            return Quiet.IDLE
        except OSError as error:
            # If it can't be told, it is not to be used, and nobody is to be sent away.
            return Quiet.STRAY if error.errno in TRANSIENT else Quiet.ENDED

    def has_unread(self) -> bool:
        """Whether bytes, or the end, wait in the system."""
        return bool(events_now(self.sock, select.POLLIN))

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
        return bool(events_now(self.sock, select.POLLRDHUP) & ENDS)

    def end(self) -> None:
        """Say that nothing more is sent; what was sent before goes on its way."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket, at once and without an error."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
