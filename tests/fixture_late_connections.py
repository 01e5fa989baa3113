"""A real dispatcher process between workers whose connections can be made to come up late.

A worker notes the times of the first and the last byte of every attempt.
"""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NoReturn

import trio
import ujson
from helper import SETTINGS, Client, Discovery, Reply

from yewrill.lab.soak.http import reset
from yewrill.lab.soak.late_listener import LateListener
from yewrill.lab.soak.workers import LAST_CHUNK, REJECTION, RESPONSE_HEAD, progress_line

READY_SECONDS = 20.0
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


@dataclass
class WorkerAttempt:
    """One attempt as its worker saw it. Times in seconds of the monotonic clock."""

    worker: QueueWorker
    stream: trio.SocketStream
    id: str
    key: str
    target: str
    first_byte: float
    last_byte: float
    number: int  # counts the attempts of this key at all workers

    async def send_line(self, state: str, **more) -> None:
        """Sends a line of the answer, in a chunk of its own."""
        await self.stream.send_all(progress_line(self.id, state, **more))

    async def send_head(self) -> None:
        """Sends the head of the answer."""
        await self.stream.send_all(RESPONSE_HEAD)

    async def done(self) -> None:
        """Sends a whole answer with a result."""
        await self.send_head()
        await self.send_line("done", result="saved")
        await self.stream.send_all(LAST_CHUNK)

    async def reject(self) -> None:
        """Returns the request unprocessed, and keeps the connection."""
        await self.stream.send_all(REJECTION)

    def reset(self) -> NoReturn:
        """Resets the connection and ends its conversation."""
        reset(self.stream)
        raise trio.BrokenResourceError


Behavior = Callable[[WorkerAttempt], Awaitable[None]]


@dataclass
class QueueWorker:
    """A worker that answers attempts by `behavior`; `attempts` is shared by all workers of a fleet."""

    name: str
    attempts: list[WorkerAttempt]
    behavior: Behavior
    cell: int = 0
    # Size of the receive buffers of its connections in bytes, 0 for the system's default.
    receive_buffer: int = 0
    listener: LateListener | None = None
    reading: trio.Event = field(default_factory=trio.Event)  # set while input is read
    _streams: set = field(default_factory=set)
    _forgotten: set = field(default_factory=set)

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listens and serves connections until cancelled."""
        self.reading.set()
        self.listener = LateListener(self._converse)
        await self.listener.serve(self.receive_buffer, task_status=task_status)

    async def hold(self, seconds: float) -> None:
        """Lets no connection come up for some seconds."""
        await self.listener.hold(seconds)

    @property
    def open_connections(self) -> int:
        """The number of connections that are open."""
        return len(self._streams)

    def forget_connections(self) -> None:
        """Lets every open connection break under its next byte, as after a machine has forgotten it."""
        self._forgotten |= self._streams

    async def _converse(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            while attempt := await self._receive(stream):
                self.attempts.append(attempt)
                await self.behavior(attempt)
        self._streams.discard(stream)
        await trio.aclose_forcefully(stream)

    async def _receive(self, stream: trio.SocketStream) -> WorkerAttempt | None:
        """Returns the next request with the times of its bytes, None at the end of the connection."""
        await trio.lowlevel.wait_readable(stream.socket)
        first_byte = time.monotonic()
        if stream in self._forgotten:
            return None  # with its input unread, so that the close is a reset
        await self.reading.wait()
        data = b""
        while b"\r\n\r\n" not in data:
            if not (part := await stream.receive_some(65536)):
                return None
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(found[1]) if (found := _LENGTH.search(head)) else 0
        while len(body) < length:
            if not (part := await stream.receive_some(65536)):
                return None
            body += part
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines[1:])
        }
        key = headers.get("idempotency-key", "")
        number = sum(1 for attempt in self.attempts if attempt.key == key)
        return WorkerAttempt(
            self,
            stream,
            headers.get("x-request-id", ""),
            key,
            lines[0].split()[1],
            first_byte,
            time.monotonic(),
            number,
        )

    def entry(self) -> dict:
        """Returns the worker's entry in the endpoint list."""
        return {
            "id": self.name,
            "addr": "{}:{}".format(*self.listener.address),
            "zone": "room",
            "kind": "std",
            "cell": self.cell,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }


def keyed_settings(window_ms: float, **save) -> dict:
    """Returns settings with an idempotent-by-key class `save`, and connections that may come up late."""
    classes = [
        {"name": "tour", "aim": 2000.0, "deadline": 5000.0, "repeat": "pure", "value": 1.0},
        {
            "name": "save",
            "aim": 4000.0,
            "deadline": 5000.0,
            "repeat": "token",
            "group": "cell",
            "window": window_ms,
            "value": 1.0,
            **save,
        },
    ]
    limits = {**SETTINGS["limits"], "connect_timeout": 1500.0}
    return {**SETTINGS, "request_classes": classes, "limits": limits}


class DispatcherProcess:
    """One process of the dispatcher."""

    def __init__(self, folder: Path, name: str, config: dict, listening: socket.socket):
        self.folder, self.name, self.config = folder, name, config
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.write_config()
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(folder),
            "BALANCER_INHERITED_FD": str(listening.fileno()),
            "YEWRILL_LOG": "INFO",
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "yewrill"],
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=(listening.fileno(),),
                cwd=os.environ.get("YEWRILL_TEST_PROGRAM") or None,
            )

    def write_config(self) -> None:
        """Writes the configuration file, from `config`."""
        self.config_path.write_text(ujson.dumps(self.config))

    def log(self) -> str:
        """Returns what the process has logged so far."""
        return self.log_path.read_text(errors="replace")

    async def ready(self) -> None:
        """Waits until the process listens."""
        with trio.fail_after(READY_SECONDS):
            while " ready name=" not in self.log():
                assert self.process.poll() is None, self.log()
                await trio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """Kills the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@dataclass
class Play:
    """A dispatcher process with its workers and its discovery."""

    folder: Path
    listening: socket.socket
    config: dict
    discovery: Discovery
    nursery: trio.Nursery
    processes: list[DispatcherProcess] = field(default_factory=list)

    async def start_dispatcher(self, **config) -> DispatcherProcess:
        """Starts a process on the socket that all processes of the play share, and waits until it listens."""
        name = f"n{len(self.processes)}"
        process = DispatcherProcess(self.folder, name, {**self.config, **config}, self.listening)
        self.processes.append(process)
        await process.ready()
        return process

    async def client(self) -> Client:
        """Opens a client connection."""
        return Client(await trio.open_tcp_stream(*self.listening.getsockname()))

    async def ask(self, target: str, id: str, key: str = "", **more) -> Reply:
        """Sends a request on a connection of its own and returns the reply."""
        client = await self.client()
        try:
            return await client.ask(target, **{**self.headers(id, key), **more})
        finally:
            await client.stream.aclose()

    @staticmethod
    def headers(id: str, key: str) -> dict:
        """Returns the headers of a request with 5 s of time."""
        return {"X_Request_ID": id, "Idempotency_Key": key or None, "X_Timeout_Ms": "5000"}


@asynccontextmanager
async def play(
    folder: Path, workers: list[QueueWorker], settings: dict, **config
) -> AsyncIterator[Play]:
    """Runs the workers, a discovery and one dispatcher process."""
    async with trio.open_nursery() as nursery:
        for worker in workers:
            await nursery.start(worker.serve)
        discovery = Discovery(workers)
        with socket.create_server(("127.0.0.1", 0)) as listening:
            host, port = listening.getsockname()
            raw = {
                "name": "n",
                "listen": f"{host}:{port}",
                "discovery": await discovery.serve(nursery),
                "known": {"version": 1, "full": True, "servers": [w.entry() for w in workers]},
                "settings": settings,
                "seed": "5",
                **config,
            }
            running = Play(folder, listening, raw, discovery, nursery)
            try:
                await running.start_dispatcher()
                while not any("from=" in target for _, target in discovery.calls):
                    await trio.sleep(0.01)
                yield running
            finally:
                for process in running.processes:
                    process.close()
                nursery.cancel_scope.cancel()
