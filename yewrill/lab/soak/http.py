"""HTTP connections of the simulated workers, discovery and clients."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import h11
import trio

CHUNK = 65536
DISCONNECTED = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection with a TCP reset."""
    with suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def next_event(stream: trio.SocketStream, parser: h11.Connection) -> h11.Event | type:
    """Returns the next event of a connection, reading as much as it takes. Raises one of DISCONNECTED."""
    while (event := parser.next_event()) is h11.NEED_DATA:
        parser.receive_data(await stream.receive_some(CHUNK))
    return event
