"""A UDP socket that reads many datagrams in a turn of the event loop."""

from __future__ import annotations

import socket
from collections import Counter

Address = tuple[str, int]
MAX_BATCH_DATAGRAMS = 256  # read at a time


class UdpSocket:
    """A bound socket. What can't be sent at once is lost, as on any network, and counted in `errors`."""

    def __init__(self, address: Address):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.errors: Counter[str] = Counter()

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._socket.getsockname()[:2]

    def receive(self, max_bytes: int) -> list[tuple[bytes, Address]]:
        """The datagrams that have come, each cut to `most` bytes, with their sources."""
        datagrams: list[tuple[bytes, Address]] = []
        while len(datagrams) < MAX_BATCH_DATAGRAMS:
            try:
                data, source = self._socket.recvfrom(max_bytes)
            except BlockingIOError:
                break
            except OSError as error:  # an earlier datagram's error, reported on the next call
                self.errors[f"socket {error.errno}"] += 1
                break
            datagrams.append((data, source[:2]))
        return datagrams

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, if the system takes it now."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.errors[f"send {error.errno}"] += 1

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
