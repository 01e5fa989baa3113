"""A UDP socket that reads many datagrams per pass of the event loop."""

from __future__ import annotations

import socket
from collections import Counter

Address = tuple[str, int]
MAX_BATCH_DATAGRAMS = 256


class UdpSocket:
    """A bound socket. A datagram that cannot be sent at once is dropped and counted in `errors`."""

    def __init__(self, address: Address):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self.errors: Counter[str] = Counter()

    @property
    def address(self) -> Address:
        """Address that the socket is bound to."""
        return self._socket.getsockname()[:2]

    def receive(self, max_bytes: int) -> list[tuple[bytes, Address]]:
        """Returns the received datagrams, each truncated to `max_bytes`, with their source addresses."""
        datagrams: list[tuple[bytes, Address]] = []
        while len(datagrams) < MAX_BATCH_DATAGRAMS:
            try:
                data, source = self._socket.recvfrom(max_bytes)
            except BlockingIOError:
                break
            except OSError as error:
                # The kernel reports an error of an earlier datagram on the next call.
                self.errors[f"socket {error.errno}"] += 1
                break
            datagrams.append((data, source[:2]))
        return datagrams

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram, or drops and counts it if the kernel does not accept it now."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.errors[f"send {error.errno}"] += 1

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
