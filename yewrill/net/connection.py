"""A non-blocking TCP connection with a ring buffer for its input."""

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

RING_BYTES = 8192
# Receives input that is discarded; it is never read, so all connections share it.
_DISCARD_BUFFER = bytearray(64 * 1024)
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Descriptors or memory are exhausted on this machine; closing a connection makes room for another.
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Opening a connection failed for a local reason, which says nothing about the peer.
LOCAL_CONNECT_ERRORS = OUT_OF_RESOURCES | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETDOWN}
# A read or write failed for lack of memory or was interrupted; the connection itself is unchanged.
TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
# Waiting for a socket could not be set up (epoll_ctl failed); the socket itself is unchanged.
WAIT_SETUP_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC})
# Bounds and growth of the pause before a failed read or write is retried.
INITIAL_PAUSE_SECONDS = 0.002
MAX_PAUSE_SECONDS = 0.02
PAUSE_GROWTH = 2.0
MAX_RETRY_SECONDS = 1.0  # duration of uninterrupted failures after which the error is raised


class IdleCheck(Enum):
    """The state of a connection that is expected to be idle."""

    IDLE = "idle"
    ENDED = "ended"
    STRAY = "stray bytes"


def poll_events(sock: socket.socket, wanted: int) -> int:
    """Returns the wanted `select.poll` events that a socket has now, with any error or hang-up."""
    poll = select.poll()  # select() does not support descriptors above 1023
    poll.register(sock, wanted)
    return next((events for _, events in poll.poll(0)), 0)


class Retries:
    """Retries a read or write that fails with a transient error, with growing pauses, for a limited time."""

    total = 0  # number of retries over all connections of the process

    def __init__(self) -> None:
        self._pause = INITIAL_PAUSE_SECONDS
        self._since: float | None = None

    async def pause_after(self, error: OSError) -> None:
        """Waits before the next try. Raises the error if it is not transient or has lasted too long."""
        now = trio.current_time()
        if self._since is None:
            self._since = now
        if error.errno not in TRANSIENT_ERRORS or now - self._since >= MAX_RETRY_SECONDS:
            raise error
        Retries.total += 1
        if Retries.total == 1:
            log.warning(
                "socket_call_retried errno=%s: %s", errno.errorcode[error.errno], error.strerror
            )
        await trio.sleep(self._pause)
        self._pause = min(MAX_PAUSE_SECONDS, self._pause * PAUSE_GROWTH)

    def elapsed(self) -> float:
        """Returns the seconds since the first failure, 0 if there was none."""
        return 0.0 if self._since is None else trio.current_time() - self._since


class Connection:
    """A non-blocking TCP socket with its input buffer. Cancellation does not close it; its owner does."""

    __slots__ = ("sock", "inbound", "closed", "unsent", "retried_for", "waited")

    def __init__(self, sock: socket.socket, ring_bytes: int = RING_BYTES):
        sock.setblocking(False)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.inbound = RingBuffer(ring_bytes)
        self.closed = False
        self.unsent = 0  # number of bytes of the current `send` that the kernel has not accepted
        # Seconds for which the last read was retried before it succeeded.
        self.retried_for = 0.0
        self.waited = False  # whether the last read had to wait for its data

    @classmethod
    async def open(cls, address: tuple[str, int], ring_bytes: int = RING_BYTES) -> Connection:
        """Connects to an address. Raises OSError; on cancellation the socket is closed."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection = cls(sock, ring_bytes)
        try:
            try:
                sock.connect(address)
            except (BlockingIOError, InterruptedError) as pending:
                if pending.errno == errno.EAGAIN:
                    raise  # no local port is free, so no connect is in progress
                await connection._wait_ready(trio.lowlevel.wait_writable)
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error:
                    raise OSError(error, "connect failed") from None
        except BaseException:
            connection.close()
            raise
        return connection

    async def _wait_ready(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait(self.sock)
        except trio.ClosedResourceError:
            # Another task closed the socket meanwhile: the waiting task handles that like any lost
            # connection.
            raise OSError("connection closed locally") from None
        except OSError as error:
            if error.errno not in WAIT_SETUP_ERRORS:
                raise
            # A pause takes the place of the wait; the caller then tries its call again.
            await trio.sleep(MAX_PAUSE_SECONDS)

    async def fill(self) -> int:
        """Reads available data into the inbound buffer; returns the byte count, 0 at the stream's end."""
        retries: Retries | None = None
        self.waited = False
        while True:
            try:
                count = self.fill_now()
            except OSError as error:
                retries = retries or Retries()
                await retries.pause_after(error)
                continue
            if count is not None:
                self.retried_for = 0.0 if retries is None else retries.elapsed()
                return count
            self.waited = True
            await self._wait_ready(trio.lowlevel.wait_readable)

    def fill_now(self) -> int | None:
        """Reads like `fill`, but without waiting; returns None if no data is available."""
        if self.closed:
            raise OSError("connection closed locally")
        count = 0
        try:
            count = self.sock.recv_into(self.inbound.space())
        except BlockingIOError:
            return None
        finally:
            self.inbound.filled(count)
        return count

    def discard_now(self) -> int | None:
        """Reads and discards up to 64 KiB; returns the byte count, 0 at the end, None without data."""
        if self.closed:
            raise OSError("connection closed locally")
        try:
            return self.sock.recv_into(_DISCARD_BUFFER)
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in TRANSIENT_ERRORS:
                return None
            raise

    async def receive(self) -> bytes:
        """Returns the next bytes, empty at the end of the stream."""
        if not len(self.inbound):
            await self.fill()
        return self.inbound.take()

    def send_now(self, data: bytes) -> int:
        """Sends like `send`, but without waiting; returns the number of bytes that the kernel accepted."""
        if self.closed:
            raise OSError("connection closed locally")
        try:
            count = self.sock.send(data)
        except BlockingIOError:
            count = 0
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            count = 0
        self.unsent = len(data) - count
        return count

    async def send(self, data: bytes) -> None:
        """Sends all of `data`. Raises OSError; `unsent` then counts the bytes not handed to the kernel."""
        rest = memoryview(data)
        retries: Retries | None = None
        self.unsent = len(data)
        while self.unsent:
            if self.closed:
                raise OSError("connection closed locally")
            try:
                count = self.sock.send(rest)
            except BlockingIOError:
                await self._wait_ready(trio.lowlevel.wait_writable)
                # If the send was cancelled in the event loop iteration in which the socket became writable,
                # no more bytes are written.
                await trio.lowlevel.checkpoint_if_cancelled()
                continue
            except OSError as error:
                retries = retries or Retries()
                await retries.pause_after(error)
                continue
            retries = None
            rest = rest[count:]
            self.unsent -= count

    def check_idle(self) -> IdleCheck:
        """Returns whether an idle connection is still usable, has been closed, or has unexpected input."""
        if len(self.inbound):
            return IdleCheck.STRAY
        try:
            return IdleCheck.STRAY if self.sock.recv(1, socket.MSG_PEEK) else IdleCheck.ENDED
        except BlockingIOError:
            return IdleCheck.IDLE
        except OSError as error:
            # The state of the connection is unknown: STRAY prevents both its reuse and its eviction.
            return IdleCheck.STRAY if error.errno in TRANSIENT_ERRORS else IdleCheck.ENDED

    def has_unread(self) -> bool:
        """Returns whether the kernel holds unread bytes or the end of the stream."""
        return bool(poll_events(self.sock, select.POLLIN))

    def unacknowledged_bytes(self) -> int:
        """Returns the number of bytes handed to the kernel that the peer has not acknowledged."""
        try:
            return struct.unpack("i", fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(4)))[0]
        except OSError:
            return 0

    def ended(self) -> bool:
        """Returns whether the peer has closed or reset the connection, even if unread bytes precede that."""
        if self.closed:
            return True
        return bool(poll_events(self.sock, select.POLLRDHUP) & HANGUP_EVENTS)

    def shutdown_write(self) -> None:
        """Shuts down the sending side; data sent before is still delivered."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the socket immediately; never raises."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
