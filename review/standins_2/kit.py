"""Stand-ins for the cases of the second review: discovery, workers, clients, and the dispatcher's process.

Plain Python with the standard library. Everything listens on loopback addresses and on free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_SECONDS = 20.0
# The connections that are open, of clients and of servers; they are closed when a play ends.
_open: set[asyncio.StreamWriter] = set()


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start; written to `record.txt`."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self._file = self.path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{(time.monotonic() - self._start) * 1000.0:9.1f} ms  {text}\n")
        self._file.flush()


@dataclass
class Reply:
    """A reply to a client; status 0 if the connection ended without a whole one."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads one HTTP/1.1 message: its first line, its headers in lower case, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    return first, headers, body


def http_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message with its Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(
    port: int, first: str, headers: dict[str, str], body: bytes = b"", wait: float = 30.0
) -> Reply:
    """Sends one request on a new connection and reads the reply."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return Reply(-1)
    try:
        writer.write(http_message(first, {"Host": "app.svc", **headers}, body))
        await writer.drain()
        async with asyncio.timeout(wait):
            status, found, content = await read_message(reader)
        return Reply(int(status.split()[1]), content, found)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Reply(0)
    finally:
        writer.close()


class Server:
    """A TCP server on a free loopback port (or on a given one)."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        writer.close()
        _open.discard(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery: the whole list, and long polls for what has changed."""

    def __init__(self, record: Record):
        super().__init__()
        self._record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._news = asyncio.Event()

    def put(self, id: str, port: int, **fields: Any) -> None:
        """Lists a worker, or changes its entry."""
        self.version += 1
        entry = {"id": id, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "std", "cell": 1}
        self.entries[id] = entry | {"state": "SERVING", "weight": 1.0, "started_ms": 0} | fields
        self._changed_at[id] = self.version
        self._news.set()
        self._news = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers calls on one connection."""
        while True:
            first, _, _ = await read_message(reader)
            target = first.split()[1]
            query = dict(
                part.split("=") for part in target.partition("?")[2].split("&") if "=" in part
            )
            if "from" in query:
                known = int(query["from"])
                if self.version <= known:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(query.get("hold_ms", "0")) / 1000.0):
                            await self._news.wait()
                servers = [e for id, e in self.entries.items() if self._changed_at[id] > known]
            else:
                servers = list(self.entries.values())
            answer = {"version": self.version, "full": "from" not in query, "servers": servers}
            writer.write(
                http_message(
                    "HTTP/1.1 200 OK",
                    {"Content-Type": "application/json"},
                    json.dumps(answer).encode(),
                )
            )
            await writer.drain()


@dataclass
class Job:
    """One attempt that has arrived at a worker, its last byte included."""

    worker: str
    id: str
    key: str
    headers: dict[str, str]
    number: int  # counts the attempts of this request id at all workers of the fleet
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    at: float = field(default_factory=time.monotonic)

    @property
    def given_up(self) -> bool:
        """Whether the dispatcher has closed the connection, or ended its sending on it."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def start_answer(self) -> None:
        """Sends the head of the answer."""
        self.writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    def say(self, state: str, **fields: Any) -> None:
        """Sends one line of the answer."""
        line = json.dumps({"id": self.id, "from": self.worker, "state": state, **fields}).encode()
        self.writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def end_answer(self) -> None:
        """Sends the end of the answer."""
        self.writer.write(b"0\r\n\r\n")


class Fleet:
    """The attempts that arrived at any worker, and which of them ran."""

    def __init__(self, record: Record):
        self.record = record
        self.attempts: list[Job] = []
        self.runs: list[Job] = []

    def arrived(self, job: Job) -> None:
        """Notes an attempt that has arrived."""
        self.attempts.append(job)
        self.record.note(
            f"attempt {job.number} of {job.id} key={job.key or '-'} arrives at {job.worker}"
        )

    def runs_of(self, *, id: str = "", key: str = "") -> list[Job]:
        """Returns the runs of a request id or of a key."""
        return [j for j in self.runs if (id and j.id == id) or (key and j.key == key)]


Behaviour = Callable[[Job], Awaitable[None]]


class Worker(Server):
    """A worker: reads one request after another and lets `behaviour` answer each."""

    def __init__(self, name: str, fleet: Fleet, behaviour: Behaviour):
        super().__init__()
        self.name, self.fleet, self.behaviour = name, fleet, behaviour

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        while True:
            first, headers, _ = await read_message(reader)
            if first.startswith("GET"):
                writer.write(http_message("HTTP/1.1 404 Not Found", {}))
                continue
            id = headers.get("x-request-id", "")
            number = sum(1 for job in self.fleet.attempts if job.id == id)
            job = Job(
                self.name, id, headers.get("idempotency-key", ""), headers, number, reader, writer
            )
            self.fleet.arrived(job)
            await self.behaviour(job)
            if job.given_up:
                return
            await writer.drain()


async def run_job(fleet: Fleet, job: Job, seconds: float) -> None:
    """Runs a job as a sound worker does: started, and done after `seconds`."""
    fleet.runs.append(job)
    fleet.record.note(f"{job.worker} runs attempt {job.number} of {job.id} key={job.key or '-'}")
    job.start_answer()
    job.say("started")
    await asyncio.sleep(seconds)
    job.say("done", result=f"result of {job.id}")
    job.end_answer()
    fleet.record.note(f"{job.worker} has done attempt {job.number} of {job.id}")


def request_class(name: str, repeat: str, **fields: Any) -> dict[str, Any]:
    """Returns a class of the settings."""
    return {
        "name": name,
        "repeat": repeat,
        "value": 1.0,
        "deadline": 5000.0,
        "aim": 2000.0,
        "group": "all",
        "window": 5000.0,
        "late_value": 0.0,
        "stream": False,
    } | fields


def settings(*classes: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    return {
        "areas": ["a"],
        "kinds": ["std"],
        "instances": 1,
        "index": 0,
        "zone": 0,
        "tick": 2.0,
        "family": "jobs",
        "counted_by": "request",
        "registry_mode": "push",
        "request_classes": list(classes),
        "parties": [],
        "limits": {
            "try_limit": 6,
            "connect_timeout": 150.0,
            "idle_close": 10000.0,
            "max_retry_after": 2000.0,
            "retry_after": True,
            "may_probe": False,
            "cancel": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "rules": {
            "answer_slack": 8.0,
            "fall": 3000.0,
            "fall_multiple": 3.0,
            "start_capacity": 0.31,
            "stop_sending_within": 1000.0,
            "warm_after": 6200.0,
        },
        "specifics": {"tells_start": True, "progress": 1000.0, "queue_order": "fifo"},
    } | fields


def free_port() -> int:
    """Returns a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Dispatcher:
    """One run of the dispatcher, started with the command `run` of the deploy file."""

    def __init__(self, case: Case, config: dict[str, Any], name: str, inherited: int | None = None):
        self._case, self.name, self.config = case, name, config
        path = case.temporary / f"{name}.json"
        path.write_text(json.dumps(config))
        self.config_path = path
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(("BALANCER_", "YEWRILL_"))
        }
        environment |= {"BALANCER_CONFIG": str(path), "TMPDIR": str(case.shared)}
        if importlib.util.find_spec("google_crc32c") is None:
            environment["PYTHONPATH"] = str(Path(__file__).resolve().parent / "fallback")
        if inherited is not None:
            environment["BALANCER_INHERITED_FD"] = str(inherited)
        self._log = (case.temporary / f"{name}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            pass_fds=() if inherited is None else (inherited,),
        )
        case.dispatchers.append(self)
        case.record.note(f"dispatcher {name} started, pid {self.process.pid}")

    def log_text(self) -> str:
        """Returns what the process has logged."""
        return (self._case.temporary / f"{self.name}.log").read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        self._case.record.note(f"{number.name} to dispatcher {self.name}")
        self.process.send_signal(number)

    async def ready(self, path: str = "/up", port: int | None = None) -> None:
        """Waits until a readiness check says yes. Raises CouldNotRun."""
        port = int(self.config["listen"].rpartition(":")[2]) if port is None else port
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended at its start: {self.log_text()[-600:]}")
            if (await exchange(port, f"GET {path} HTTP/1.1", {}, wait=2.0)).status == 200:
                self._case.record.note(f"dispatcher {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} was not ready in {READY_SECONDS:g} s")

    async def ended(self, wait: float) -> int | None:
        """Waits for the end of the process; returns its exit status, None if it goes on."""
        until = time.monotonic() + wait
        while time.monotonic() < until and self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.poll()


class Case:
    """One play of a case, in a temporary folder of its own."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.record = Record(folder)
        self.dispatchers: list[Dispatcher] = []
        self._folder = tempfile.TemporaryDirectory()
        self.temporary = Path(self._folder.name)
        self.shared = self.temporary / "tmp"
        self.shared.mkdir()
        self.record.note(f"trouble={'yes' if TROUBLE else 'no'}")

    async def ask(
        self,
        port: int,
        name: str,
        id: str,
        *,
        key: str = "",
        timeout_ms: int = 5000,
        wait: float = 30.0,
        **headers: str,
    ) -> Reply:
        """Sends a client's request on a connection of its own and returns the reply."""
        fields = {"X-Request-ID": id, "X-Priority-Class": name, "X-Timeout-Ms": str(timeout_ms)}
        if key:
            fields["Idempotency-Key"] = key
        fields |= {k.replace("_", "-"): v for k, v in headers.items()}
        self.record.note(f"client sends {id} class={name} key={key or '-'}")
        reply = await exchange(port, f"POST /{name} HTTP/1.1", fields, b"data", wait)
        self.record.note(f"client gets {reply.status} for {id}: {reply.body[:60]!r}")
        return reply

    def close(self) -> None:
        """Ends every process that the case started."""
        for dispatcher in self.dispatchers:
            if dispatcher.process.poll() is None:
                dispatcher.process.send_signal(signal.SIGCONT)
                dispatcher.process.kill()
            dispatcher.process.wait()
            self.record.note(
                f"log of dispatcher {dispatcher.name}:\n{dispatcher.log_text()[-6000:]}"
            )
        self._folder.cleanup()


def play(folder: Path, scenario: Callable[[Case], Awaitable[int]], limit: float = 100.0) -> None:
    """Plays a scenario and exits with its result: 1 the rule was broken, 0 it held, 2 not run."""
    # SIGTERM to the script still ends every process that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    case = Case(folder)
    result = NOT_RUN

    async def main() -> int:
        try:
            async with asyncio.timeout(limit):
                return await scenario(case)
        finally:
            for writer in _open:
                writer.transport.abort()
            await asyncio.sleep(0.05)

    try:
        result = asyncio.run(main())
    except (CouldNotRun, TimeoutError) as error:
        case.record.note(f"could not run: {type(error).__name__} {error}")
    finally:
        case.close()
        words = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "could not run"}
        case.record.note(f"result: {words[result]}")
    sys.stdout.write(f"{words[result]}\n")
    sys.exit(result)
