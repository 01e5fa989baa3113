"""The backlog of a listening socket: accepts its connections one at a time and handles failing calls.

`accept` can fail although connections are waiting: descriptors or memory are exhausted, the next client has
disconnected, or its connection has a network error. After such a failure the listener goes on accepting,
with a pause that grows while calls keep failing.

The requests of connections that waited in the backlog may have arrived long before they are read. The kernel
reports how long ago the last data arrived; the wait counted is at most the time since the backlog was last
known to be empty.
"""

from __future__ import annotations

import math
import select
import socket
import struct
from dataclasses import dataclass
from typing import Protocol

import trio

from yewrill.net.connection import poll_events

# Bounds and growth of the pause after a failed accept.
INITIAL_PAUSE_SECONDS = 0.002
MAX_PAUSE_SECONDS = 0.05
PAUSE_GROWTH = 2.0
# One iteration of the event loop can take this long; a shorter time in the backlog is counted as no wait.
MIN_COUNTED_WAIT_SECONDS = 0.005
# struct tcp_info of linux/tcp.h: eight bytes of flags, then 32-bit words; tcpi_last_data_recv is the twelfth
# word, in milliseconds.
_LAST_DATA_RECEIVED_OFFSET = 8 + 4 * 11
_TCP_INFO_BYTES = _LAST_DATA_RECEIVED_OFFSET + 4


@dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted connection, and the earliest time its data may have arrived, in event loop time."""

    sock: socket.socket
    earliest_arrival: float


class HasListeningSocket(Protocol):
    """An object with a listening socket."""

    sock: socket.socket


class Backlog:
    """Accepts connections from a non-blocking listening socket."""

    def __init__(self, listener: HasListeningSocket, already_listening: bool = False):
        """`already_listening`: the socket was listening before this process received it."""
        self._listener = listener
        # A connection cannot have waited for longer than the socket has been listening.
        self._waiting_since: float | None = -math.inf if already_listening else trio.current_time()
        self.pause = INITIAL_PAUSE_SECONDS  # pause after a failed accept, in seconds

    def note_readable(self) -> None:
        """Notes that the event loop has reported the socket as readable."""
        if self._waiting_since is None:
            self._waiting_since = trio.current_time()

    def has_waiting(self) -> bool:
        """Returns whether a connection is waiting now; another process on the socket may still accept it."""
        is_waiting = bool(poll_events(self._listener.sock, select.POLLIN))
        if not is_waiting:
            self._waiting_since = None
        return is_waiting

    def accept(self) -> Accepted | None:
        """Returns the next connection, or None if the backlog is empty.

        Raises OSError if `accept` fails for another reason; `pause` has then been lengthened.
        """
        self.note_readable()
        try:
            sock, _ = self._listener.sock.accept()
        except BlockingIOError:
            self._waiting_since = None
            self.pause = INITIAL_PAUSE_SECONDS
            return None
        except OSError:
            self.pause = min(MAX_PAUSE_SECONDS, self.pause * PAUSE_GROWTH)
            raise
        self.pause = INITIAL_PAUSE_SECONDS
        return Accepted(sock, self._earliest_arrival(sock))

    def _earliest_arrival(self, sock: socket.socket) -> float:
        now = trio.current_time()
        waited = 0.0 if self._waiting_since is None else now - self._waiting_since
        if waited < MIN_COUNTED_WAIT_SECONDS:
            return now
        data_age = min(waited, seconds_since_last_data(sock))
        return now - data_age if math.isfinite(data_age) else now


def seconds_since_last_data(sock: socket.socket) -> float:
    """Returns the seconds since a connection last received data or was opened; infinite if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        return struct.unpack_from("=I", info, _LAST_DATA_RECEIVED_OFFSET)[0] / 1000.0
    except (OSError, struct.error):
        return float("inf")
