"""A UDP socket that takes and sends many datagrams a turn of the event loop."""

from __future__ import annotations

import socket
from collections import Counter

Address = tuple[str, int]
MOST_BATCH = 256  # datagrams that are read at a time


class UdpSocket:
    """Bound to an address. What can't be sent at once is lost, as on any network, and counted in `errors`."""

    def __init__(self, address: Address):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.errors: Counter[str] = Counter()

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._socket.getsockname()[:2]

    def receive(self, most: int) -> list[tuple[bytes, Address]]:
        """The datagrams that have come, each cut to `most` bytes, with their sources."""
        found: list[tuple[bytes, Address]] = []
        while len(found) < MOST_BATCH:
            try:
                data, source = self._socket.recvfrom(most)
            except BlockingIOError:
                break
            except OSError as error:  # what an earlier datagram met, told on the next call
                self.errors[f"socket {error.errno}"] += 1
                break
            found.append((data, source[:2]))
        return found

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, if the system takes it now."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.errors[f"send {error.errno}"] += 1

    def close(self) -> None:
        """Give the address back."""
        self._socket.close()
