"""Stand-ins for the review's cases: discovery, workers, a client, and the start of real dispatchers.

Only the standard library is used. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Exit statuses of a case's program. `run.sh` turns BROKEN into 1 and all others but HELD into 2, since
# Python itself ends with 1 where a program can't be read.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class CouldNotRunError(Exception):
    """A case can't be judged: something other than the rule failed."""


def trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Returns a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, who: str, what: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {who:12} {what}\n")
        self._file.flush()


# -- HTTP, as little as the protocol page needs


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads the head of a message: its first line and its headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:size]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def plain_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Encodes an answer of known length."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


# -- discovery


class Discovery:
    """The agent: tells the whole list, or what has changed, as the protocol page has it."""

    def __init__(self, record: Record):
        self._record = record
        self.version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, **entry: Any) -> None:
        """Adds or changes an entry."""
        self.version += 1
        self._entries[entry["id"]] = entry
        self._changed_at[entry["id"]] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        kept = [e for e in self._entries.values() if e["state"] != "DELETED"]
        return {"version": self.version, "full": True, "servers": kept}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (head := await read_head(reader)) is not None:
                body = json.dumps(await self._answer(head[0].split(" ")[1])).encode()
                writer.write(plain_answer(200, body))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        if "from=" not in target:
            return self.whole()
        query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
        known, hold = int(query["from"]), float(query.get("hold_ms", "0")) / 1000.0
        if self.version <= known:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), hold)
        news = [self._entries[name] for name, at in self._changed_at.items() if at > known]
        return {"version": self.version, "full": False, "servers": news}


# -- workers


class Job:
    """One attempt at a worker."""

    def __init__(
        self,
        worker: Worker,
        target: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ):
        self.worker, self.target, self.headers = worker, target, headers
        self.id = headers.get("x-request-id", "")
        self.key = headers.get("idempotency-key", "")
        self.at = worker.record.now()
        self._writer, self.reader = writer, reader

    async def begin(self) -> None:
        """Answers 200; messages follow."""
        self._writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self._writer.drain()

    async def say(self, state: str, **more: Any) -> None:
        """Sends one message."""
        line = json.dumps({"id": self.id, "from": self.worker.name, "state": state, **more}) + "\n"
        self._writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        await self._writer.drain()

    async def end(self) -> None:
        """Ends the answer."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()

    async def done(self) -> None:
        """Sends the result, which names the worker, and ends the answer."""
        await self.say("done", result=f"result of {self.id} by {self.worker.name}")
        await self.end()

    def reset(self) -> None:
        """Resets the connection."""
        self._writer.transport.abort()


class Worker:
    """A profiler. `run` is called for each job that has arrived whole."""

    def __init__(self, name: str, record: Record, run: Callable[[Job], Awaitable[None]]):
        self.name, self.record, self._run = name, record, run
        self.jobs: list[Job] = []
        self.port = 0

    async def start(self, sock: socket.socket | None = None) -> None:
        """Begins to listen, on a free port or on a bound socket."""
        if sock is None:
            server = await asyncio.start_server(self._serve, HOST, 0)
        else:
            server = await asyncio.start_server(self._serve, sock=sock)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, **more: Any) -> dict[str, Any]:
        """Returns the entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "chur-keller",
            "kind": "std5",
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
            **more,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                target = head[0].split(" ")[1]
                if head[0].startswith("GET "):
                    writer.write(plain_answer(404))
                    await writer.drain()
                    continue
                job = Job(self, target, head[1], writer, reader)
                self.jobs.append(job)
                self.record.note(self.name, f"attempt {job.id} key={job.key or '-'} {target}")
                await self._run(job)
        writer.close()


# -- clients


class Answer:
    """What a client got: a status and a body, or 0 and how the connection ended."""

    def __init__(self, status: int, text: str, seconds: float):
        self.status, self.text, self.seconds = status, text, seconds

    def __str__(self) -> str:
        return f"{self.status} {self.text!r} after {self.seconds:.3f} s"


def encode_request(
    path: str, id: str, timeout_ms: int, *, key: str = "", tenant: str = "velotour-app"
) -> bytes:
    """Encodes a client's request."""
    head = f"POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\n"
    head += f"X-Tenant-Id: {tenant}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
    head += f"Idempotency-Key: {key}\r\n" if key else ""
    return (head + "Content-Length: 2\r\n\r\n{}").encode()


class Client:
    """A client that sends one request on a connection of its own."""

    def __init__(self, port: int, record: Record, name: str = "client"):
        self._port, self._record, self._name = port, record, name
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, path: str, id: str, timeout_ms: int, key: str = "") -> Answer:
        """Sends a request and waits for its answer, for half a second over its time."""
        record = self._record
        record.note(self._name, f"sends {id} {path} timeout_ms={timeout_ms} key={key or '-'}")
        began = time.monotonic()
        status, text = 0, "no answer in time"
        try:
            async with asyncio.timeout(timeout_ms / 1000.0 + 0.5):
                reader, self.writer = await asyncio.open_connection(HOST, self._port)
                self.writer.write(encode_request(path, id, timeout_ms, key=key))
                head = await read_head(reader)
                if head is None:
                    text = "connection ended without an answer"
                else:
                    body = await read_body(reader, head[1])
                    status, text = int(head[0].split(" ")[1]), body.decode(errors="replace")
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError) as error:
            text = f"connection failed: {type(error).__name__}"
        answer = Answer(status, text, time.monotonic() - began)
        record.note(self._name, f"got for {id}: {answer}")
        self.close()
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()


async def http_call(port: int, path: str, method: str = "GET") -> tuple[int, str]:
    """Makes one call; returns 0 if nobody answers."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
            )
            head = await read_head(reader)
            if head is None:
                return 0, ""
            body = await read_body(reader, head[1])
            writer.close()
            return int(head[0].split(" ")[1]), body.decode()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, ""


# -- dispatchers


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of the repository's sidecar example, with changed parts."""
    base = json.loads((ROOT / "deploy" / "sidecar.json").read_text())["settings"]
    for name, value in changes.items():
        base[name] = {**base.get(name, {}), **value} if isinstance(value, dict) else value
    return base


class Dispatcher:
    """A real dispatcher process, started with the line `run` of the deploy file.

    `label` names the process in the record. With `platform_socket` it inherits that listening socket, and
    `shared` is its `$TMPDIR`, for a hot restart.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        label: str,
        config: dict[str, Any],
        *,
        platform_socket: socket.socket | None = None,
        shared: Path | None = None,
    ):
        self._record, self._folder, self.label = record, folder, label
        self.config = {"name": "n0", "limits": LIMITS, **config}
        self.port = int(config["listen"].rpartition(":")[2])
        self.management = int(config.get("mgmt", ":0").rpartition(":")[2])
        self.path = folder / f"{label}.json"
        self._socket, self._shared = platform_socket, shared
        self._process: subprocess.Popen[bytes] | None = None
        self._log = (folder / f"{label}.log").open("ab")

    def write_config(self) -> None:
        """Writes the configuration file."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self.path)

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        self.config["seed"] = os.urandom(8).hex()  # new with each start
        self.write_config()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "YEWRILL_"))},
            "BALANCER_CONFIG": str(self.path),
            "TMPDIR": str(self._shared or tempfile.mkdtemp(dir=self._folder)),
        }
        if importlib.util.find_spec("google_crc32c") is None:
            environment["PYTHONPATH"] = str(ROOT / "review" / "fallback")
        inherited = []
        if self._socket is not None:
            inherited = [self._socket.fileno()]
            environment["BALANCER_INHERITED_FD"] = str(inherited[0])
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            pass_fds=inherited,
        )
        self._record.note(self.label, "started")
        await self._wait_ready()

    async def _wait_ready(self) -> None:
        """Waits for 200 at `/_ready` of the management listener, or at `/up` if there is none."""
        port, path = (self.management, "/_ready") if self.management else (self.port, "/up")
        for _ in range(300):
            if self._process is not None and self._process.poll() is not None:
                raise CouldNotRunError(f"{self.label} ended with {self._process.returncode}")
            if (await http_call(port, path))[0] == 200:
                self._record.note(self.label, "is ready")
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.label} is not ready after 30 s")

    async def order(self, path: str) -> tuple[int, str]:
        """Makes an operator's call at the management listener."""
        status, text = await http_call(self.management, path, "PUT")
        self._record.note("operator", f"PUT {path} at {self.label}: {status} {text.strip()!r}")
        return status, text

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._record.note(self.label, f"gets {number.name}")
        self._process.send_signal(number)

    async def wait_end(self, seconds: float) -> int | None:
        """Waits for the end of the process; returns its exit status, None if it still runs."""
        assert self._process is not None
        until = time.monotonic() + seconds
        while self._process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        status = self._process.poll()
        self._record.note(self.label, "still runs" if status is None else f"ended with {status}")
        return status

    def kill(self) -> None:
        """Ends the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log.flush()


def run_case(folder: Path, case: Callable[[Record, Path, list[Dispatcher]], Awaitable[int]]) -> int:
    """Runs a case in a temporary folder; ends all dispatchers and keeps their logs in the record."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    dispatchers: list[Dispatcher] = []

    # An end from outside ends the dispatchers too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, frame: sys.exit(COULD_NOT_RUN))
    status = COULD_NOT_RUN

    async def main() -> int:
        # Connections that are still open at the end of a case are no finding.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(110.0):
            return await case(record, temporary, dispatchers)

    try:
        status = asyncio.run(main())
    except Exception as error:  # a fault of the case is no finding
        record.note("case", f"could not run: {type(error).__name__} {error}")
    finally:
        for dispatcher in dispatchers:
            dispatcher.kill()
        for log in sorted(temporary.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                record.note(f"log of {log.stem}", line)
        shutil.rmtree(temporary, ignore_errors=True)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    record.note("case", words[status])
    print(words[status], file=sys.stderr)
    return status
