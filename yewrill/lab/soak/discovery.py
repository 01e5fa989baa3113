"""Simulated discovery: endpoint lists, long polls and faults. Two instances may serve one fleet's list."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress

import h11
import trio
import ujson

from yewrill.lab.soak.http import DISCONNECTED, next_event, reset
from yewrill.lab.soak.plan import Kind
from yewrill.lab.soak.workers import Worker

MAX_HOLD_SECONDS = 4.0
SLOW_ANSWER_SECONDS = 1.0


class Discovery:
    """Publishes the list of workers, with version numbers of its own from `first_version` on."""

    def __init__(self, workers: Sequence[Worker], first_version: int):
        self._workers = workers
        self._version = first_version
        self._changed = trio.Event()
        self.active_faults: list[Kind] = []
        self.address: tuple[str, int] = ("", 0)

    def publish(self) -> None:
        """Publishes a new version of the list."""
        self._version += 1
        self._changed.set()
        self._changed = trio.Event()

    def full_list(self) -> dict[str, object]:
        """Returns the body of an answer with the whole list."""
        servers = [worker.endpoint_entry() for worker in self._workers]
        return {"version": self._version, "full": True, "servers": servers}

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves a connection."""
        parser = h11.Connection(h11.SERVER)
        with suppress(*DISCONNECTED):
            while isinstance(event := await next_event(stream, parser), h11.Request):
                while not isinstance(await next_event(stream, parser), h11.EndOfMessage):
                    pass
                await self._answer(stream, event.target.decode())
                parser = h11.Connection(h11.SERVER)
        reset(stream)

    async def _answer(self, stream: trio.SocketStream, target: str) -> None:
        if "from=" in target:
            known = int(target.partition("from=")[2].partition("&")[0])
            hold = min(MAX_HOLD_SECONDS, float(target.partition("hold_ms=")[2] or 0) / 1000.0)
            with trio.move_on_after(hold):
                while known == self._version:
                    await self._changed.wait()
        if Kind.DISCOVERY_GONE in self.active_faults:
            raise trio.BrokenResourceError
        while Kind.DISCOVERY_SILENT in self.active_faults:
            await trio.sleep(0.05)
        if Kind.DISCOVERY_SLOW in self.active_faults:
            await trio.sleep(SLOW_ANSWER_SECONDS)
        body = ujson.dumps(self.full_list()).encode()
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
