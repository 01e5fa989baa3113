"""The link of a hot restart: a new process of a dispatcher joins the old one.

Both send each other, as JSON lines over a Unix socket, every change of what must hold across the two. What
that is belongs to `PeerState`; this module knows the socket's path, the links and their ends.
"""

from __future__ import annotations

import hashlib
import logging
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, Protocol

import trio
import ujson

from yewrill.net.connection import Connection

log = logging.getLogger("yewrill.handover")

PEER_TIMEOUT_SECONDS = 0.5  # that a silent old process, or what is left of one, may cost a start
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # a peer that reads nothing is disconnected
MAX_LINKS = 4
MAX_PATH_BYTES = 100  # a Unix address holds 107


def link_path(directory: str, name: str, address: tuple[str, int]) -> Path:
    """One path for all processes of one dispatcher, and for no other that shares the directory."""
    key = hashlib.sha256(f"{name}\n{address[0]}:{address[1]}".encode()).hexdigest()[:16]
    return Path(directory) / f"yewrill-{key}.link"


@contextmanager
def _address_of(path: Path) -> Iterator[str]:
    """The path as a Unix address can hold it, however deep its directory lies."""
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _file_identity(path: Path) -> tuple[int, ...]:
    """What is equal as long as a path leads to the same file."""
    found = os.stat(path)
    return found.st_dev, found.st_ino, found.st_mtime_ns


class _PendingReply:
    """The reply to a numbered message."""

    def __init__(self) -> None:
        self.event = trio.Event()
        self.answer: dict[str, Any] | None = None


class _Link:
    """A connection to another process of this dispatcher."""

    def __init__(self, connection: Connection, old_process: bool):
        self.connection = connection
        self.old_process = old_process  # whether the other side is that
        self.state_received = False  # an old process's state
        self.ready = False  # a new process that serves
        self.ids: set[str] = set()  # of requests open there
        # Numbered messages that the other side is yet to answer.
        self.pending: dict[int, _PendingReply] = {}
        self._unsent = bytearray()
        self._has_unsent = trio.Event()
        self._count = 0

    def send(self, message: dict[str, Any]) -> None:
        self._unsent += ujson.dumps(message).encode() + b"\n"
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.connection.close()
        self._has_unsent.set()

    async def send_and_confirm(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Send, and wait for the reply; None if the link broke before."""
        self._count += 1
        number = self._count
        pending = self.pending[number] = _PendingReply()
        try:
            self.send({**message, "number": number})
            await pending.event.wait()
            return pending.answer
        finally:
            self.pending.pop(number, None)

    async def write(self) -> None:
        """Write what is sent until cancelled. Raises OSError."""
        while True:
            await self._has_unsent.wait()
            await trio.lowlevel.checkpoint()  # what else happens in this moment goes along
            self._has_unsent = trio.Event()
            data, self._unsent = bytes(self._unsent), bytearray()
            await self.connection.send(data)

    async def messages(self) -> AsyncIterator[dict[str, Any]]:
        """Messages until the other side closes. Raises OSError or ValueError."""
        incomplete = b""
        while data := await self.connection.receive():
            *lines, incomplete = (incomplete + data).split(b"\n")
            if len(incomplete) > MAX_LINE_BYTES:
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
    """Joins an old process, and serves new ones."""

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
        self._own_file: tuple[int, ...] = ()  # the socket's file that this process made
        self._sock: socket.socket | None = None
        self.joined = trio.Event()  # there is no old process, or it sent its state or timed out
        self._nursery: trio.Nursery

    @property
    def new_process_ready(self) -> bool:
        """Whether a new process serves."""
        return any(link.ready for link in self._links if not link.old_process)

    def open_elsewhere(self, id: str) -> bool:
        """Whether a request of this id is under way in another process."""
        return any(id in link.ids for link in self._links)

    def send(self, message: dict[str, Any]) -> None:
        """Send a change to all other processes."""
        for link in self._links:
            link.send(message)

    async def send_and_confirm(self, message: dict[str, Any]) -> None:
        """Send, and wait until the other processes have applied it, within the timeout."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            for link in list(self._links):
                await link.send_and_confirm(message)

    async def keep_elsewhere(self, key: str, value: str) -> bool:
        """Have the process that holds the store keep a record; whether it did within the timeout."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            for link in list(self._links):
                if link.old_process:
                    answer = await link.send_and_confirm({"keep": key, "value": value})
                    return bool(answer and answer.get("kept"))
        return False

    async def run(self, peer_state: PeerState) -> None:
        """Join the old process, if there is one, and serve new ones from `take_name` on."""
        self._peer_state = peer_state
        async with trio.open_nursery() as self._nursery:
            if (
                self.joined.is_set()
            ):  # started again after an exception: whoever has the path now is not older
                self._close_socket()
                self.claim_path()
            elif (connection := await self._connect_to_old_process()) is None:
                self.joined.set()
            else:
                self._nursery.start_soon(self._run_link, _Link(connection, old_process=True))
                with trio.move_on_after(PEER_TIMEOUT_SECONDS):
                    await self.joined.wait()
                if not self.joined.is_set():
                    log.warning("old_process_silent: started without its state")
                    self.joined.set()
            await trio.sleep_forever()

    async def _connect_to_old_process(self) -> Connection | None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection = Connection(sock)
        try:
            with _address_of(self._path) as address:
                sock.connect(address)
        except OSError:  # none, the file of one that is gone, or one that is too busy
            connection.close()
            return None
        return connection

    async def _run_link(self, link: _Link) -> None:
        if len(self._links) >= MAX_LINKS:
            link.connection.close()
            return
        self._links.add(link)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write)
                link.send(
                    {"hello": 1} if link.old_process else {"state": self._peer_state.snapshot()}
                )
                async for message in link.messages():
                    self._receive(link, message)
                nursery.cancel_scope.cancel()
        except* (OSError, ValueError, trio.BrokenResourceError) as errors:
            log.info("hot_restart_link_broken: %s", errors.exceptions[0])
        finally:
            link.connection.close()
            self._links.discard(link)
        log.info("%s_process_gone", "old" if link.old_process else "new")
        for pending in link.pending.values():
            pending.event.set()
        if link.old_process:
            self.joined.set()
        if not link.old_process and not any(not other.old_process for other in self._links):
            self.claim_path()  # it may have removed the path
        if not self._links:
            self._peer_state.disconnected()

    def _receive(self, link: _Link, message: dict[str, Any]) -> None:
        if "open" in message:
            link.ids.add(str(message["open"]))
        elif "shut" in message:
            link.ids.discard(str(message["shut"]))
        elif "noted" in message:
            if (pending := link.pending.get(message["noted"])) is not None:
                pending.answer = message
                pending.event.set()
        elif "keep" in message:
            self._nursery.start_soon(self._keep, link, message)
        else:
            self._receive_state(link, message)

    def _receive_state(self, link: _Link, message: dict[str, Any]) -> None:
        """Apply a state, a change, or that a new process is ready."""
        try:
            if "ready" in message:
                link.ready = True
                log.info("new_process_ready")
            if "state" in message:
                link.ids.update(map(str, message["state"].get("ids", ())))
            self._peer_state.receive(message)
        except Exception:  # another version may send what is unknown here: the link goes on
            log.exception("hot_restart_message_failed")
        if "number" in message:
            link.send({"noted": message["number"]})
        if "state" in message:
            link.state_received = True
            self.joined.set()

    async def _keep(self, link: _Link, message: dict[str, Any]) -> None:
        kept = False
        try:
            if self._keep_for_another is not None:
                kept = await self._keep_for_another(str(message["keep"]), str(message["value"]))
        except Exception:  # another version may send what is unknown here
            log.exception("hot_restart_message_failed")
        link.send({"noted": message.get("number"), "kept": kept})

    async def ready(self) -> None:
        """Announce that this process serves.

        New ones are to find it, and the old one is to know before it is stopped.
        """
        self.claim_path()
        for link in list(self._links):
            if link.old_process and link.state_received:
                with trio.move_on_after(PEER_TIMEOUT_SECONDS):
                    await link.send_and_confirm({"ready": True})
            elif link.old_process:
                link.send({"ready": True})  # one that timed out is not waited for twice

    def claim_path(self) -> None:
        """Listen for new processes, unless this one does already."""
        try:
            if self._sock is None:
                self._listen()
            else:
                with suppress(FileNotFoundError):
                    if _file_identity(self._path) == self._own_file:
                        return
                self._close_socket()
                self._listen()
        except OSError as error:
            log.warning("hot_restart_unavailable %s: a new process starts without our state", error)

    def _listen(self) -> None:
        # Bound beside and moved over the path: at no moment is there none, and what an old process left there
        # does not matter.
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with suppress(FileNotFoundError):
            temporary.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with _address_of(temporary) as address:
                sock.bind(address)
            sock.listen(MAX_LINKS)
            self._own_file = _file_identity(temporary)
            os.rename(temporary, self._path)
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
                log.warning("hot_restart_unavailable %s", error)
                await trio.sleep(PEER_TIMEOUT_SECONDS)
                continue
            self._nursery.start_soon(self._welcome, Connection(new_process))

    async def _welcome(self, connection: Connection) -> None:
        """A new process sends its hello first, within the timeout."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS), suppress(OSError):
            if (await connection.receive()).startswith(b'{"hello"'):
                log.info("new_process_connected")
                self._nursery.start_soon(self._run_link, _Link(connection, old_process=False))
                return
        connection.close()

    def _close_socket(self) -> None:
        if self._sock is not None:
            sock, self._sock = self._sock, None
            trio.lowlevel.notify_closing(sock)
            sock.close()

    def close(self) -> None:
        """Close all links. The path is removed too, unless a new process has it."""
        if self._sock is not None:
            self._close_socket()
            with suppress(OSError):
                if _file_identity(self._path) == self._own_file:
                    self._path.unlink()
        for link in self._links:
            link.connection.close()
