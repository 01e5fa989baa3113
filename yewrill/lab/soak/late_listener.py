"""A listening socket whose connections can be made to come up late.

While it is held, nothing is accepted and its queue is full, so the kernel drops every SYN. The kernel of the
other side sends it again after about a second.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

FILLING_CONNECTIONS = 2  # enough to fill a queue of length 0


class LateListener:
    """Accepts connections and serves each by `handler`, as a task of its own."""

    def __init__(self, handler: Callable[[trio.SocketStream], Awaitable[None]]):
        self._handler = handler
        self._socket: socket.socket | None = None
        self._accepts = trio.Event()  # set unless the listener is held
        self._accepts.set()
        self.address: tuple[str, int] = ("", 0)

    async def serve(
        self, receive_buffer: int = 0, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens on a free loopback port until cancelled.

        `receive_buffer`: size of the receive buffers of its connections in bytes, 0 for the system's default.
        """
        with socket.socket() as listening:
            if receive_buffer:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            listening.setblocking(False)
            self._socket, self.address = listening, listening.getsockname()
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    await trio.lowlevel.wait_readable(listening)
                    await self._accepts.wait()
                    with suppress(BlockingIOError, ConnectionAbortedError):
                        accepted = trio.socket.from_stdlib_socket(listening.accept()[0])
                        nursery.start_soon(self._handler, trio.SocketStream(accepted))

    async def hold(self, seconds: float) -> None:
        """Lets no connection come up for some seconds; does nothing if it is held already."""
        if not self._accepts.is_set():
            return
        self._accepts = trio.Event()
        self._socket.listen(0)
        filling = [socket.socket() for _ in range(FILLING_CONNECTIONS)]
        try:
            for sock in filling:
                sock.setblocking(False)
                sock.connect_ex(self.address)
            await trio.sleep(seconds)
        finally:
            for sock in filling:
                sock.close()
            self._socket.listen()
            self._accepts.set()
