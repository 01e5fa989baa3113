"""A service with every subsystem: responses of its management listener, and its messages of a hot restart."""

from __future__ import annotations

import os
import re
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio
import ujson
from helper import Client, ScriptedWorker, ServiceHarness, done, running_service

from yewrill.config.reading import read_config
from yewrill.membership import Members
from yewrill.service.hot_restart import link_path
from yewrill.store import Store

MEMBERS = {
    "listen": "127.0.0.1:0",
    "peers": ["127.0.0.1:9"],
    "keys": ["ab" * 16],
    "zone": "room",
    "region": "upper",
}


def shape_of(value: Any) -> Any:
    """Replaces each scalar of a JSON value by the name of its type; keys stay in their order."""
    if isinstance(value, dict):
        return [[key, shape_of(below)] for key, below in value.items()]
    if isinstance(value, list):
        return ["list", *map(shape_of, value)]
    if isinstance(value, bool) or value is None:
        return "truth" if value is not None else "none"
    return "text" if isinstance(value, str) else "number"


# -- the management listener

SUBSYSTEMS = ("members", "views", "ownership", "zones")
ORDERS = (
    "PUT /_profilers/detach?name=d1",
    "PUT /_profilers/attach?name=d1",
    "PUT /_lameduck/on",
    "PUT /_lameduck/off",
)
CALLS = (
    "GET /_ready",
    *ORDERS,
    "PUT /_profilers/attach?name=nobody",
    "PUT /_profilers/detach",
    "PUT /_zones/leave?name=room",
    "PUT /_zones/pin?name=room",
    "PUT /_zones/return?name=room",
    "PUT /_zones/leave?name=nowhere",
    "PUT /_ownership/release?name=zones",
    "PUT /_ownership/release?name=nothing",
    "POST /_vars",
    "GET /_nothing",
)


def _all_sections(path: Path) -> dict[str, Any]:
    return {
        "mgmt": "127.0.0.1:0",
        "name": "d0",
        "members": {**MEMBERS, "name": "d0"},
        "views": {"founders": ["d0"], "dir": str(path / "views"), "can": ["voter"]},
        "ownership": {"voters": ["d0"], "dir": str(path / "ownership")},
        "zones": {},
        "state_dir": str(path / "state"),
        "tracing": {"file": str(path / "traces.jsonl")},
    }


async def _call_result(harness: ServiceHarness, call: str) -> list[Any]:
    """Makes a management call. Returns the call, the status and the text of the response."""
    reply = await harness.call(call)
    return [call, reply.status, reply.body.decode()]


def _is_ready(harness: ServiceHarness) -> bool:
    """Returns whether the service is in a view, holds a lease, and has a zone failover plan."""
    parts = {subsystem.name: subsystem for subsystem in harness.service.subsystems}
    owns = any(duty["ours"] for duty in parts["ownership"].status()["duties"])
    return owns and bool(parts["zones"].status()["zones"]) and bool(parts["views"].number)


async def management(path: Path) -> list[Any]:
    """Returns paths, metrics with their types in order, shapes of the statuses, and results of the calls."""
    async with running_service(ScriptedWorker("d1", done), **_all_sections(path)) as harness:
        await harness.nursery.start(await _other_member(harness))
        await harness.wait_until(lambda: _is_ready(harness))
        assert (await harness.ask()).status == 200
        paths = [
            f"{call.method} {path}{' named' if call.named else ''}"
            for path, call in harness.service.create_management_calls().by_path().items()
        ]
        text = (await harness.call("GET /_vars")).body.decode()
        metrics = [[line.split(":")[0], line.split("|")[1]] for line in text.splitlines()]
        statuses = [await _status(harness, part) for part in SUBSYSTEMS]
        return [
            sorted(paths),
            metrics,
            statuses,
            [await _call_result(harness, call) for call in CALLS],
        ]


async def _other_member(harness: ServiceHarness) -> Callable:
    """Returns the task of a second member, so that the status of the first one lists another member."""
    members = harness.service.subsystems[0]
    await harness.wait_until(members.opened.is_set)
    address = "{}:{}".format(*members.address)
    raw = {**harness.raw, "members": {**MEMBERS, "name": "d9", "peers": [address]}}
    other = Members(read_config(raw).members)
    return other.run


async def _status(harness: ServiceHarness, part: str) -> list[Any]:
    reply = await harness.call(f"GET /_{part}")
    status = ujson.loads(reply.body)
    if part == "members":  # the other kinds of datagrams depend on the timing of the run
        status["sent"] = {"ping": status["sent"]["ping"]}
    indented = ujson.dumps(ujson.loads(reply.body), indent=1).encode() + b"\n" == reply.body
    return [part, reply.status, reply.headers["content-type"], indented, shape_of(status)]


# -- the link between the two processes of a hot restart

# Lines that the new process sends, then those that the old one sends. Responses of the other process come in
# between.
NEW_PROCESS_LINES = (
    b'{"hello":1}\n',
    b'{"ready":true,"number":1}\n',
    b'{"open":"heirs-job"}\n',
    b'{"keep":"sent/00ff/ffeeddccbbaa/1","value":"{\\"class\\":\\"once\\",\\"tenant\\":\\"acme\\",'
    b'\\"key\\":\\"k3\\",\\"to\\":\\"d1\\",\\"zone\\":0,\\"cell\\":0,\\"wall\\":4102444800000.0,'
    b'\\"steady\\":5.0,\\"boot\\":\\"b\\"}","number":2}\n',
    b'{"keep":"sent/00ff/ffeeddccbbaa/2","value":"nonsense","number":3}\n',
    b'{"out":"unlisted","number":4}\n',
)
OLD_PROCESS_STATE = (
    b'{"state":{"ids":["elders-job"],"lame":true,"out":["d2"],"back":{"d3":%d},"list":{"version":7,'
    b'"full":true,"servers":[{"id":"d1","addr":"127.0.0.1:%d","zone":0,"kind":0,"cell":0,'
    b'"state":"SERVING","weight":1.0,"started_ms":0.0}]},"sockets":300}}\n'
)
OLD_PROCESS_LINES = (
    b'{"open":"another-job"}\n',
    b'{"shut":"elders-job"}\n',
    b'{"out":"d4","number":1}\n',
    b'{"back":"d2","at":%d,"number":2}\n',
    b'{"lame":false,"number":3}\n',
)
_VARYING_VALUES = (
    (re.compile(rb'("at":)[0-9.e+]+'), rb"\g<1>0"),
    (re.compile(rb'("addr":"127.0.0.1:)[0-9]+'), rb"\g<1>0"),
    (re.compile(rb'("sockets":)[0-9]+'), rb"\g<1>0"),
    (re.compile(rb'("keep":"sent)\\/[0-9a-f]{32}\\/[0-9a-f]{12}'), rb"\g<1>/0/0"),
    (re.compile(rb'(wall|steady)(\\":)[0-9.e+]+'), rb"\g<1>\g<2>0"),
    (re.compile(rb'(boot\\":\\")[0-9a-f-]+'), rb"\g<1>0"),
)


ADDED_LINES = (b'{"attempts":', b'{"unsent":')


class LinkEnd:
    """One end of the link, which sends and receives lines."""

    def __init__(self, stream: trio.SocketStream):
        self._stream, self._rest = stream, b""
        self.added: list[bytes] = []  # received lines that the version of the fixture did not send

    async def send(self, *lines: bytes) -> None:
        await self._stream.send_all(b"".join(lines))

    async def receive(self, count: int) -> list[bytes]:
        """Receives `count` lines, in their order of arrival, without added ones."""
        while self._rest.count(b"\n") < count:
            data = await self._stream.receive_some()
            assert data, "the link was closed"
            self._rest += data
        *lines, self._rest = self._rest.split(b"\n", count)
        known = [line + b"\n" for line in lines if not line.startswith(ADDED_LINES)]
        self.added += [line + b"\n" for line in lines if line.startswith(ADDED_LINES)]
        return known + (await self.receive(count - len(known)) if len(known) < count else [])

    async def close(self) -> None:
        await self._stream.aclose()


def _normalized(lines: list[bytes]) -> list[str]:
    """Replaces the values that vary between runs (times, ports, random names) by 0."""
    found = []
    for line in lines:
        for pattern, replacement in _VARYING_VALUES:
            line = pattern.sub(replacement, line)  # noqa: PLW2901 - patterns apply one after another
        found.append(line.decode())
    return found


@asynccontextmanager
async def _restartable_service(path: Path, **config: Any) -> AsyncIterator[ServiceHarness]:
    """Runs a service that supports a hot restart, with persistent state and a management listener."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        path.mkdir(exist_ok=True)
        environment = {"BALANCER_INHERITED_FD": str(os.dup(sock.fileno())), "TMPDIR": str(path)}
        worker = ScriptedWorker("d1", done)
        state = {"state_dir": str(path / "state"), "state": {"patience_ms": 5000}}
        options = {"mgmt": "127.0.0.1:0", **state, **config}
        async with running_service(worker, environment=environment, **options) as harness:
            harness.address = sock.getsockname()
            yield harness


def _link(path: Path) -> Path:
    return link_path(str(path), "yewrill", ("127.0.0.1", 0))


async def _request_status(harness: ServiceHarness, target: str, id: str) -> int:
    client = Client(await trio.open_tcp_stream(*harness.address))
    reply = await client.ask(target, X_Request_ID=id)
    await client.stream.aclose()
    return reply.status


async def run_as_old_process(path: Path) -> list[Any]:
    """Runs a service as the old process. Returns the lines that it sends, and its state at the end."""
    async with _restartable_service(path) as harness:
        service, received = harness.service, []
        new_process = LinkEnd(await trio.open_unix_socket(str(_link(path))))
        await new_process.send(NEW_PROCESS_LINES[0])
        received += await new_process.receive(1)
        assert await _request_status(harness, "/tour", "r1") == 200
        received += await new_process.receive(2)
        for number, call in enumerate(ORDERS, 1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.call, call)
                received += await new_process.receive(1)
                await new_process.send(b'{"noted":%d}\n' % number)
        await new_process.send(NEW_PROCESS_LINES[1])
        received += await new_process.receive(1)
        ready = service.hot_restart.new_process_ready
        await new_process.send(*NEW_PROCESS_LINES[2:])
        received += await new_process.receive(3)
        known = [ready, service.hot_restart.open_elsewhere("heirs-job"), service.endpoints.detached]
        await new_process.close()
        # Responses to stored and to rejected records may arrive in any order.
        return [_normalized(received[:-3]) + sorted(_normalized(received[-3:])), known]


async def run_as_new_process(path: Path) -> list[Any]:
    """Runs a service as the new process, while the old one holds the store.

    Returns the lines that it sends, and its state before and after the lines that it receives.
    """
    path.mkdir(exist_ok=True)
    with socket.socket(socket.AF_UNIX) as listening, Store(path / "state"):
        listening.bind(str(_link(path)))
        listening.listen()
        listening.setblocking(False)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(listening))
        async with trio.open_nursery() as nursery:
            old_process, received = OldProcess(), []
            nursery.start_soon(old_process.serve, listener, received)
            async with _restartable_service(path) as harness:
                pool, hot_restart = harness.service.endpoints, harness.service.hot_restart
                first = [
                    hot_restart.open_elsewhere("elders-job"),
                    harness.service.operator_drain.active,
                    pool.detached,
                    sorted(pool.recently_attached),
                    pool.names,
                ]
                await old_process.line.send(
                    *[_with_current_time(line) for line in OLD_PROCESS_LINES]
                )
                received += await old_process.line.receive(3)
                then = [
                    [hot_restart.open_elsewhere(id) for id in ("elders-job", "another-job")],
                    harness.service.operator_drain.active,
                    pool.detached,
                    sorted(pool.recently_attached),
                ]
                async with trio.open_nursery() as waiting_request:
                    waiting_request.start_soon(_request_status, harness, "/once", "r1")
                    received += await old_process.line.receive(2)
                    await old_process.line.send(b'{"noted":2,"kept":true}\n')
                    received += await old_process.line.receive(1)
                await old_process.line.close()
            [sent] = old_process.line.added
            assert sent.startswith(b'{"attempts":[["once","acme","r1",0,0,')
            nursery.cancel_scope.cancel()
        return [_normalized(received), first, then]


class OldProcess:
    """The old process: sends its state, and acknowledges that the new process is ready."""

    line: LinkEnd

    async def serve(self, listener: trio.SocketListener, received: list[bytes]) -> None:
        self.line = LinkEnd(await listener.accept())
        received += await self.line.receive(1)
        await self.line.send(OLD_PROCESS_STATE % (time.time() * 1000.0 - 1000.0, 9))
        received += await self.line.receive(1)
        await self.line.send(b'{"noted":1}\n')


def _with_current_time(line: bytes) -> bytes:
    return line % (time.time() * 1000.0) if b"%d" in line else line


def link_names() -> list[str]:
    """Returns the paths of the socket of a hot restart, by the dispatcher's name and address."""
    places = (("yewrill", ("127.0.0.1", 8080)), ("another", ("0.0.0.0", 0)))
    return [str(link_path("/run", name, address)) for name, address in places]
