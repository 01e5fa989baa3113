"""A whole service with every part: what its management listener, its link to another run and its
configuration file are made of."""

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
from helper import Client, Peer, World, done, world

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
    """A JSON value with its keys in their order, and in place of each plain value its type."""
    if isinstance(value, dict):
        return [[key, shape_of(below)] for key, below in value.items()]
    if isinstance(value, list):
        return ["list", *map(shape_of, value)]
    if isinstance(value, bool) or value is None:
        return "truth" if value is not None else "none"
    return "text" if isinstance(value, str) else "number"


# -- the management listener

PARTS = ("members", "views", "ownership", "zones")
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


def _every_part(path: Path) -> dict[str, Any]:
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


async def _told(here: World, call: str) -> list[Any]:
    """A call, its status, and its answer's text."""
    reply = await here.call(call)
    return [call, reply.status, reply.body.decode()]


def _owned(here: World) -> bool:
    """Whether the service is in a view and owns the zones."""
    parts = {subsystem.name: subsystem for subsystem in here.service.subsystems}
    owns = any(duty["ours"] for duty in parts["ownership"].status()["duties"])
    return owns and bool(parts["zones"].status()["zones"]) and bool(parts["views"].number)


async def management(path: Path) -> list[Any]:
    """Names of all metrics in their order with their kind, the statuses' keys, and the calls' answers."""
    async with world(Peer("d1", done), **_every_part(path)) as here:
        await here.nursery.start(await _other_member(here))
        await here.until(lambda: _owned(here))
        assert (await here.ask()).status == 200
        paths = [
            f"{call.method} {path}{' named' if call.named else ''}"
            for path, call in here.service.create_management_calls().by_path().items()
        ]
        text = (await here.call("GET /_vars")).body.decode()
        metrics = [[line.split(":")[0], line.split("|")[1]] for line in text.splitlines()]
        statuses = [await _status(here, part) for part in PARTS]
        return [sorted(paths), metrics, statuses, [await _told(here, call) for call in CALLS]]


async def _other_member(here: World) -> Callable:
    """Another member of the first's, so that it is listed."""
    members = here.service.subsystems[0]
    await here.until(members.opened.is_set)
    address = "{}:{}".format(*members.address)
    raw = {**here.raw, "members": {**MEMBERS, "name": "d9", "peers": [address]}}
    other = Members(read_config(raw).members)
    return other.run


async def _status(here: World, part: str) -> list[Any]:
    reply = await here.call(f"GET /_{part}")
    said = ujson.loads(reply.body)
    if part == "members":  # by kind of datagram, as far as any was sent
        said["sent"] = {"ping": said["sent"]["ping"]}
    indented = ujson.dumps(ujson.loads(reply.body), indent=1).encode() + b"\n" == reply.body
    return [part, reply.status, reply.headers["content-type"], indented, shape_of(said)]


# -- the link between two runs

# As an heir says it, and as an elder does; the pause between is for the other's answers.
HEIR_SAYS = (
    b'{"hello":1}\n',
    b'{"ready":true,"number":1}\n',
    b'{"open":"heirs-job"}\n',
    b'{"keep":"sent/00ff/ffeeddccbbaa/1","value":"{\\"class\\":\\"once\\",\\"tenant\\":\\"acme\\",'
    b'\\"key\\":\\"k3\\",\\"to\\":\\"d1\\",\\"zone\\":0,\\"cell\\":0,\\"wall\\":4102444800000.0,'
    b'\\"steady\\":5.0,\\"boot\\":\\"b\\"}","number":2}\n',
    b'{"keep":"sent/00ff/ffeeddccbbaa/2","value":"nonsense","number":3}\n',
    b'{"out":"unlisted","number":4}\n',
)
ELDER_STATE = (
    b'{"state":{"ids":["elders-job"],"lame":true,"out":["d2"],"back":{"d3":%d},"list":{"version":7,'
    b'"full":true,"servers":[{"id":"d1","addr":"127.0.0.1:%d","zone":0,"kind":0,"cell":0,'
    b'"state":"SERVING","weight":1.0,"started_ms":0.0}]},"sockets":300}}\n'
)
ELDER_SAYS = (
    b'{"open":"another-job"}\n',
    b'{"shut":"elders-job"}\n',
    b'{"out":"d4","number":1}\n',
    b'{"back":"d2","at":%d,"number":2}\n',
    b'{"lame":false,"number":3}\n',
)
_VARYING = (
    (re.compile(rb'("at":)[0-9.e+]+'), rb"\g<1>0"),
    (re.compile(rb'("addr":"127.0.0.1:)[0-9]+'), rb"\g<1>0"),
    (re.compile(rb'("sockets":)[0-9]+'), rb"\g<1>0"),
    (re.compile(rb'("keep":"sent)\\/[0-9a-f]{32}\\/[0-9a-f]{12}'), rb"\g<1>/0/0"),
    (re.compile(rb'(wall|steady)(\\":)[0-9.e+]+'), rb"\g<1>\g<2>0"),
    (re.compile(rb'(boot\\":\\")[0-9a-f-]+'), rb"\g<1>0"),
)


class Line:
    """One end of a link, told and read by lines."""

    def __init__(self, stream: trio.SocketStream):
        self._stream, self._rest = stream, b""

    async def say(self, *lines: bytes) -> None:
        await self._stream.send_all(b"".join(lines))

    async def hear(self, count: int) -> list[bytes]:
        """So many lines, as they came."""
        while self._rest.count(b"\n") < count:
            data = await self._stream.receive_some()
            assert data, "the link was closed"
            self._rest += data
        *lines, self._rest = self._rest.split(b"\n", count)
        return [line + b"\n" for line in lines]

    async def close(self) -> None:
        await self._stream.aclose()


def _alike(lines: list[bytes]) -> list[str]:
    """Lines without what is another in each run: times, ports, random names."""
    found = []
    for line in lines:
        for pattern, put in _VARYING:
            line = pattern.sub(put, line)  # noqa: PLW2901 - each pattern on what the one before left
        found.append(line.decode())
    return found


@asynccontextmanager
async def _shared(path: Path, **config: Any) -> AsyncIterator[World]:
    """A service that may have another run beside it, with a state and a management listener."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        path.mkdir(exist_ok=True)
        environment = {"BALANCER_INHERITED_FD": str(os.dup(sock.fileno())), "TMPDIR": str(path)}
        peer = Peer("d1", done)
        state = {"state_dir": str(path / "state"), "state": {"patience_ms": 5000}}
        options = {"mgmt": "127.0.0.1:0", **state, **config}
        async with world(peer, environment=environment, **options) as here:
            here.address = sock.getsockname()
            yield here


def _link(path: Path) -> Path:
    return link_path(str(path), "yewrill", ("127.0.0.1", 0))


async def _job(here: World, target: str, id: str) -> int:
    client = Client(await trio.open_tcp_stream(*here.address))
    reply = await client.ask(target, X_Request_ID=id)
    await client.stream.aclose()
    return reply.status


async def as_elder(path: Path) -> list[Any]:
    """What a service tells an heir, and what it makes of what that one tells."""
    async with _shared(path) as here:
        service, heard = here.service, []
        new_process = Line(await trio.open_unix_socket(str(_link(path))))
        await new_process.say(HEIR_SAYS[0])
        heard += await new_process.hear(1)
        assert await _job(here, "/tour", "r1") == 200
        heard += await new_process.hear(2)
        for number, call in enumerate(ORDERS, 1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(here.call, call)
                heard += await new_process.hear(1)
                await new_process.say(b'{"noted":%d}\n' % number)
        await new_process.say(HEIR_SAYS[1])
        heard += await new_process.hear(1)
        ready = service.hot_restart.new_process_ready
        await new_process.say(*HEIR_SAYS[2:])
        heard += await new_process.hear(3)
        known = [ready, service.hot_restart.open_elsewhere("heirs-job"), service.endpoints.detached]
        await new_process.close()
        # Kept and refused records are answered as they get there, which may be in another order.
        return [_alike(heard[:-3]) + sorted(_alike(heard[-3:])), known]


async def as_heir(path: Path) -> list[Any]:
    """What a service tells its elder, and what it makes of what that one tells. The elder has the store."""
    path.mkdir(exist_ok=True)
    with socket.socket(socket.AF_UNIX) as listening, Store(path / "state"):
        listening.bind(str(_link(path)))
        listening.listen()
        listening.setblocking(False)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(listening))
        async with trio.open_nursery() as nursery:
            old_process, heard = Elder(), []
            nursery.start_soon(old_process.greet, listener, heard)
            async with _shared(path) as here:
                pool, hot_restart = here.service.endpoints, here.service.hot_restart
                first = [
                    hot_restart.open_elsewhere("elders-job"),
                    here.service.operator_drain.active,
                    pool.detached,
                    sorted(pool.recently_attached),
                    pool.names,
                ]
                await old_process.line.say(*[_now(line) for line in ELDER_SAYS])
                heard += await old_process.line.hear(3)
                then = [
                    [hot_restart.open_elsewhere(id) for id in ("elders-job", "another-job")],
                    here.service.operator_drain.active,
                    pool.detached,
                    sorted(pool.recently_attached),
                ]
                async with trio.open_nursery() as asking:
                    asking.start_soon(_job, here, "/once", "r1")
                    heard += await old_process.line.hear(2)
                    await old_process.line.say(b'{"noted":2,"kept":true}\n')
                    heard += await old_process.line.hear(1)
                await old_process.line.close()
            nursery.cancel_scope.cancel()
        return [_alike(heard), first, then]


class Elder:
    """The run before: it tells all that it knows, and notes that the heir is ready."""

    line: Line

    async def greet(self, listener: trio.SocketListener, heard: list[bytes]) -> None:
        self.line = Line(await listener.accept())
        heard += await self.line.hear(1)
        await self.line.say(ELDER_STATE % (time.time() * 1000.0 - 1000.0, 9))
        heard += await self.line.hear(1)
        await self.line.say(b'{"noted":1}\n')


def _now(line: bytes) -> bytes:
    return line % (time.time() * 1000.0) if b"%d" in line else line


def link_names() -> list[str]:
    """The file under which runs of a dispatcher find each other."""
    places = (("yewrill", ("127.0.0.1", 8080)), ("another", ("0.0.0.0", 0)))
    return [str(link_path("/run", name, address)) for name, address in places]
