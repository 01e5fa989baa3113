"""The link between two runs of one dispatcher: a new version (the heir) joins the old one (the elder).

Both tell each other, as JSON lines over a Unix socket, every change of what must hold across the two. What
that is belongs to the service; this file knows names, links and their ends.
"""

from __future__ import annotations

import hashlib
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Protocol

import trio
import ujson

from yewrill.net.connection import Connection

log = logging.getLogger("yewrill.handover")

PATIENCE = 0.5  # seconds that a silent elder, or a leftover of one, may cost a start
MOST_LINE = 4 * 1024 * 1024
MOST_UNSENT = 8 * 1024 * 1024  # a peer that reads nothing is let go
MOST_LINKS = 4
MOST_PATH = 100  # bytes: a Unix address holds 107


def link_path(directory: str, name: str, address: tuple[str, int]) -> Path:
    """One name for all runs of one dispatcher, and for no other that shares the directory."""
    key = hashlib.sha256(f"{name}\n{address[0]}:{address[1]}".encode()).hexdigest()[:16]
    return Path(directory) / f"yewrill-{key}.link"


@contextmanager
def _short(path: Path) -> Iterator[str]:
    """The path as a Unix address can hold it, however deep its directory lies."""
    if len(os.fsencode(path)) <= MOST_PATH:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _file(path: Path) -> tuple[int, ...]:
    """Tells whether a path still leads to the same file."""
    found = os.stat(path)
    return found.st_dev, found.st_ino, found.st_mtime_ns


class _Awaited:
    """An answer that is waited for."""

    def __init__(self) -> None:
        self.event = trio.Event()
        self.answer: dict[str, Any] | None = None


class _Link:
    def __init__(self, connection: Connection, old_process: bool):
        self.connection = connection
        self.old_process = old_process  # whether the other side is the elder
        self.told = False  # an elder that has told what it knows
        self.ready = False  # an heir that serves
        self.ids: set[str] = set()  # open there
        # Numbered messages that the other side is yet to answer.
        self.awaited: dict[int, _Awaited] = {}
        self._pending = bytearray()
        self._news = trio.Event()
        self._count = 0

    def tell(self, message: dict[str, Any]) -> None:
        self._pending += ujson.dumps(message).encode() + b"\n"
        if len(self._pending) > MOST_UNSENT:
            self.connection.close()
        self._news.set()

    async def agree(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Tell, and wait for the answer; None if the link broke before."""
        self._count += 1
        number = self._count
        awaited = self.awaited[number] = _Awaited()
        try:
            self.tell({**message, "number": number})
            await awaited.event.wait()
            return awaited.answer
        finally:
            self.awaited.pop(number, None)

    async def write(self) -> None:
        while True:
            await self._news.wait()
            await trio.lowlevel.checkpoint()  # what else happens in this moment goes along
            self._news = trio.Event()
            data, self._pending = bytes(self._pending), bytearray()
            await self.connection.send(data)

    async def lines(self):
        rest = b""
        while data := await self.connection.receive():
            *lines, rest = (rest + data).split(b"\n")
            if len(rest) > MOST_LINE:
                raise ValueError("line too long")
            for line in lines:
                message = ujson.loads(line)
                if not isinstance(message, dict):
                    raise ValueError("not an object")
                yield message


class PeerState(Protocol):
    """What the two processes tell each other."""

    def snapshot(self) -> dict[str, Any]:
        """All that a new process needs to know."""

    def receive(self, message: dict[str, Any]) -> None:
        """Apply a snapshot or a change of the other process."""

    def disconnected(self) -> None:
        """No other process is left."""


class HotRestart:
    def __init__(
        self,
        path: Path,
        keep_for_another: Callable[[str, str], Awaitable[bool]] | None,
    ):
        """`keep_for_another` stores a record for a process that waits for the store; whether it did."""
        self._path = path
        self._keep_for_another = keep_for_another
        self._peer_state: PeerState  # set by `run`
        self._links: set[_Link] = set()
        self._named: tuple[int, ...] = ()  # the file that is our name for heirs
        self._sock: socket.socket | None = None
        self.joined = trio.Event()  # there is no elder, or it has told all, or it had its time
        self._nursery: trio.Nursery

    @property
    def new_process_ready(self) -> bool:
        return any(link.ready for link in self._links if not link.old_process)

    def open_elsewhere(self, id: str) -> bool:
        return any(id in link.ids for link in self._links)

    def tell(self, message: dict[str, Any]) -> None:
        for link in self._links:
            link.tell(message)

    async def agree(self, message: dict[str, Any]) -> None:
        """Tell, and wait a little until the other runs have taken it."""
        with trio.move_on_after(PATIENCE):
            for link in list(self._links):
                await link.agree(message)

    async def keep_elsewhere(self, key: str, value: str) -> bool:
        """Have the run that holds the store keep a record, and wait for that a little; whether it does."""
        with trio.move_on_after(PATIENCE):
            for link in list(self._links):
                if link.old_process:
                    answer = await link.agree({"keep": key, "value": value})
                    return bool(answer and answer.get("kept"))
        return False

    async def run(self, peer_state: PeerState) -> None:
        """Join the old process, if there is one, and serve new ones from `take_name` on."""
        self._peer_state = peer_state
        async with trio.open_nursery() as self._nursery:
            if (
                self.joined.is_set()
            ):  # anew after a fault: whoever has the name now is no elder of ours
                self._close_name()
                self.take_name()
            elif (connection := await self._find()) is None:
                self.joined.set()
            else:
                self._nursery.start_soon(self._follow, _Link(connection, old_process=True))
                with trio.move_on_after(PATIENCE):
                    await self.joined.wait()
                if not self.joined.is_set():
                    log.warning("elder-silent: started without what it knows")
                    self.joined.set()
            await trio.sleep_forever()

    async def _find(self) -> Connection | None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection = Connection(sock)
        try:
            with _short(self._path) as address:
                sock.connect(address)
        except OSError:  # none, a leftover, or one too busy to be asked
            connection.close()
            return None
        return connection

    async def _follow(self, link: _Link) -> None:
        if len(self._links) >= MOST_LINKS:
            link.connection.close()
            return
        self._links.add(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write)
                link.tell(
                    {"hello": 1} if link.old_process else {"state": self._peer_state.snapshot()}
                )
                async for message in link.lines():
                    self._take(link, message)
                nursery.cancel_scope.cancel()
        except* (OSError, ValueError, trio.BrokenResourceError) as errors:
            log.info("link-broken: %s", errors.exceptions[0])
        finally:
            link.connection.close()
            self._links.discard(link)
        log.info("%s-gone", "elder" if link.old_process else "heir")
        for awaited in link.awaited.values():
            awaited.event.set()
        if link.old_process:
            self.joined.set()
        if not link.old_process and not any(not other.old_process for other in self._links):
            self.take_name()  # it may have taken the name along
        if not self._links:
            self._peer_state.disconnected()

    def _take(self, link: _Link, message: dict[str, Any]) -> None:
        if "open" in message:
            link.ids.add(str(message["open"]))
        elif "shut" in message:
            link.ids.discard(str(message["shut"]))
        elif "noted" in message:
            if (awaited := link.awaited.get(message["noted"])) is not None:
                awaited.answer = message
                awaited.event.set()
        elif "keep" in message:
            self._nursery.start_soon(self._keep, link, message)
        else:
            self._take_news(link, message)

    def _take_news(self, link: _Link, message: dict[str, Any]) -> None:
        """A state, a change, or that an heir is ready."""
        try:
            if "ready" in message:
                link.ready = True
                log.info("heir-ready")
            if "state" in message:
                link.ids.update(map(str, message["state"].get("ids", ())))
            self._peer_state.receive(message)
        except Exception:  # another version may say what we can't read: the rest goes on
            log.exception("handover-fault")
        if "number" in message:
            link.tell({"noted": message["number"]})
        if "state" in message:
            link.told = True
            self.joined.set()

    async def _keep(self, link: _Link, message: dict[str, Any]) -> None:
        kept = False
        try:
            if self._keep_for_another is not None:
                kept = await self._keep_for_another(str(message["keep"]), str(message["value"]))
        except Exception:  # another version may say what we can't read
            log.exception("handover-fault")
        link.tell({"noted": message.get("number"), "kept": kept})

    # -- the name under which heirs find us

    async def ready(self) -> None:
        """We serve: a new run is to find this one, and the elder is to know it before anyone stops it."""
        self.take_name()
        for link in list(self._links):
            if link.old_process and link.told:
                with trio.move_on_after(PATIENCE):
                    await link.agree({"ready": True})
            elif link.old_process:
                link.tell({"ready": True})  # one that has been silent is not waited for twice

    def take_name(self) -> None:
        try:
            if self._sock is None:
                self._listen()
            else:
                with suppress(FileNotFoundError):
                    if _file(self._path) == self._named:
                        return
                self._close_name()
                self._listen()
        except OSError as error:
            log.warning("no-link %s: a new version will start without what this one knows", error)

    def _listen(self) -> None:
        # Bound beside and moved over the name: at no moment is there none, and a leftover doesn't matter.
        aside = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with suppress(FileNotFoundError):
            aside.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with _short(aside) as address:
                sock.bind(address)
            sock.listen(MOST_LINKS)
            self._named = _file(aside)
            os.rename(aside, self._path)
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        self._nursery.start_soon(self._accept, sock)

    async def _accept(self, sock: socket.socket) -> None:
        while self._sock is sock:
            try:
                await trio.lowlevel.wait_readable(sock)
                new_process, _ = sock.accept()
            except (trio.ClosedResourceError, BlockingIOError):
                continue
            except OSError as error:
                log.warning("no-link %s", error)
                await trio.sleep(PATIENCE)
                continue
            self._nursery.start_soon(self._greet, Connection(new_process))

    async def _greet(self, connection: Connection) -> None:
        """An heir says hello first, within its time."""
        with trio.move_on_after(PATIENCE), suppress(OSError):
            if (await connection.receive()).startswith(b'{"hello"'):
                log.info("heir-joins")
                self._nursery.start_soon(self._follow, _Link(connection, old_process=False))
                return
        connection.close()

    def _close_name(self) -> None:
        if self._sock is not None:
            sock, self._sock = self._sock, None
            trio.lowlevel.notify_closing(sock)
            sock.close()

    def close(self) -> None:
        """Leave: the name goes too, unless an heir has it."""
        if self._sock is not None:
            self._close_name()
            with suppress(OSError):
                if _file(self._path) == self._named:
                    self._path.unlink()
        for link in self._links:
            link.connection.close()
