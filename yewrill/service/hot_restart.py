"""The connection between the old and the new process of a hot restart.

Both processes send each other every change of their shared state, as JSON lines over a Unix socket.
`PeerState` defines the shared state; this module handles the socket's path, the connections (links) and
their ends.
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

# How long an old process that does not answer, or a leftover socket file, may delay a start.
PEER_TIMEOUT_SECONDS = 0.5
MAX_LINE_BYTES = 4 * 1024 * 1024
# A peer that does not read is disconnected when more than this number of bytes waits to be sent to it.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
MAX_LINKS = 4
# A Unix socket address holds at most 107 bytes.
MAX_PATH_BYTES = 100


def link_path(directory: str, name: str, address: tuple[str, int]) -> Path:
    """Returns the socket path that is common to all processes of one dispatcher, and unique to it."""
    key = hashlib.sha256(f"{name}\n{address[0]}:{address[1]}".encode()).hexdigest()[:16]
    return Path(directory) / f"yewrill-{key}.link"


@contextmanager
def _address_of(path: Path) -> Iterator[str]:
    """Yields a form of the path that fits in a Unix socket address, however long the path is."""
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def _file_identity(path: Path) -> tuple[int, ...]:
    """Returns a value that stays equal as long as the path refers to the same file."""
    found = os.stat(path)
    return found.st_dev, found.st_ino, found.st_mtime_ns


class _PendingReply:
    """The reply to a numbered message, which may not have arrived yet."""

    def __init__(self) -> None:
        self.event = trio.Event()
        self.answer: dict[str, Any] | None = None


class _Link:
    """A connection to another process of this dispatcher."""

    def __init__(self, connection: Connection, old_process: bool):
        self.connection = connection
        self.old_process = old_process  # whether the peer is the old process
        self.state_received = False  # whether the peer is an old process and has sent its state
        self.ready = False  # whether the peer is a new process that serves
        self.open_ids: set[str] = set()  # ids of the requests open at the peer
        # Replies awaited for numbered messages, by number.
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
        """Sends a message and waits for the reply; returns None if the link breaks before."""
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
        """Writes sent messages to the socket until cancelled. Raises OSError."""
        while True:
            await self._has_unsent.wait()
            await trio.lowlevel.checkpoint()  # further messages of this event loop iteration join
            self._has_unsent = trio.Event()
            data, self._unsent = bytes(self._unsent), bytearray()
            await self.connection.send(data)

    async def messages(self) -> AsyncIterator[dict[str, Any]]:
        """Yields received messages until the peer closes. Raises OSError, or ValueError for invalid ones."""
        incomplete = b""
        while data := await self.connection.receive():
            *lines, incomplete = (incomplete + data).split(b"\n")
            if len(incomplete) > MAX_LINE_BYTES:
                raise ValueError("message longer than MAX_LINE_BYTES")
            for line in lines:
                message = ujson.loads(line)
                if not isinstance(message, dict):
                    raise ValueError("message is not a JSON object")
                yield message


class PeerState(Protocol):
    """The state that the two processes share."""

    def attempt_messages(self) -> Iterator[dict[str, Any]]:
        """Yields the messages that tell of attempts that may have run, for any other process."""

    def snapshot(self) -> dict[str, Any]:
        """Returns the whole state, for a new process."""

    def receive(self, message: dict[str, Any]) -> None:
        """Applies a snapshot or a change from the other process."""

    def disconnected(self) -> None:
        """Handles the end of the last link: no other process is left."""


class HotRestart:
    """Connects to an old process, and accepts connections from new ones."""

    def __init__(
        self,
        path: Path,
        store_for_new_process: Callable[[str, str], Awaitable[bool]] | None,
    ):
        """`store_for_new_process` stores a record for a process that waits for the store.

        It returns whether the record was stored."""
        self._path = path
        self._store_for_new_process = store_for_new_process
        self._peer_state: PeerState  # assigned by `run`
        self._links: set[_Link] = set()
        self._own_file_identity: tuple[int, ...] = ()  # identity of the socket file of this process
        self._sock: socket.socket | None = None
        # Set when there is no old process, or when the old process has sent its state or timed out.
        self.joined = trio.Event()
        self._nursery: trio.Nursery

    @property
    def new_process_ready(self) -> bool:
        """Whether a new process serves."""
        return any(link.ready for link in self._links if not link.old_process)

    def open_elsewhere(self, id: str) -> bool:
        """Returns whether a request with this id is open in another process."""
        return any(id in link.open_ids for link in self._links)

    def send(self, message: dict[str, Any]) -> None:
        """Sends a change to all other processes."""
        for link in self._links:
            link.send(message)

    async def send_and_confirm(self, message: dict[str, Any]) -> None:
        """Sends a change and waits until the other processes have applied it, within the time-out."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            for link in list(self._links):
                await link.send_and_confirm(message)

    async def store_in_old_process(self, key: str, value: str) -> bool:
        """Lets the old process, which holds the store, store a record; returns whether it did in time."""
        with trio.move_on_after(PEER_TIMEOUT_SECONDS):
            for link in list(self._links):
                if link.old_process:
                    answer = await link.send_and_confirm({"keep": key, "value": value})
                    return bool(answer and answer.get("kept"))
        return False

    async def run(self, peer_state: PeerState) -> None:
        """Connects to the old process, if there is one, and handles links until cancelled.

        New processes can connect after `ready` or `claim_path`."""
        self._peer_state = peer_state
        async with trio.open_nursery() as self._nursery:
            if self.joined.is_set():
                # `run` was started again after an exception: a process that owns the socket path now is not
                # older than this one.
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
        except OSError:  # no old process uses the file, if any, or it is too busy
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
                self._greet(link)
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
            self.claim_path()  # the new process may have removed the socket file
        if not self._links:
            self._peer_state.disconnected()

    def _greet(self, link: _Link) -> None:
        """Sends the first messages. The attempts precede the state, with which a new process serves."""
        if link.old_process:
            link.send({"hello": 1})
        for message in self._peer_state.attempt_messages():
            link.send(message)
        if not link.old_process:
            link.send({"state": self._peer_state.snapshot()})

    def _receive(self, link: _Link, message: dict[str, Any]) -> None:
        if "open" in message:
            link.open_ids.add(str(message["open"]))
        elif "shut" in message:
            link.open_ids.discard(str(message["shut"]))
        elif "noted" in message:
            if (pending := link.pending.get(message["noted"])) is not None:
                pending.answer = message
                pending.event.set()
        elif "keep" in message:
            self._nursery.start_soon(self._store_record, link, message)
        else:
            self._receive_state(link, message)

    def _receive_state(self, link: _Link, message: dict[str, Any]) -> None:
        """Handles a snapshot, a change, or the message that a new process is ready."""
        try:
            if "ready" in message:
                link.ready = True
                log.info("new_process_ready")
            if "state" in message:
                link.open_ids.update(map(str, message["state"].get("ids", ())))
            self._peer_state.receive(message)
        except Exception:  # the message may be of another version: the link stays open
            log.exception("hot_restart_message_failed")
        if "number" in message:
            link.send({"noted": message["number"]})
        if "state" in message:
            link.state_received = True
            self.joined.set()

    async def _store_record(self, link: _Link, message: dict[str, Any]) -> None:
        kept = False
        try:
            if self._store_for_new_process is not None:
                kept = await self._store_for_new_process(
                    str(message["keep"]), str(message["value"])
                )
        except Exception:  # the message may be of another version
            log.exception("hot_restart_message_failed")
        link.send({"noted": message.get("number"), "kept": kept})

    async def ready(self) -> None:
        """Announces that this process serves.

        New processes can connect from then on. The call waits for the old process's confirmation, so that
        the old process knows of the new one before it is stopped.
        """
        self.claim_path()
        for link in list(self._links):
            if link.old_process and link.state_received:
                with trio.move_on_after(PEER_TIMEOUT_SECONDS):
                    await link.send_and_confirm({"ready": True})
            elif link.old_process:
                link.send({"ready": True})  # the old process did not answer before, so don't wait

    def claim_path(self) -> None:
        """Listens for new processes at the socket path, unless this process does already."""
        try:
            if self._sock is None:
                self._listen()
            else:
                with suppress(FileNotFoundError):
                    if _file_identity(self._path) == self._own_file_identity:
                        return
                self._close_socket()
                self._listen()
        except OSError as error:
            log.warning("hot_restart_unavailable %s: a new process starts without our state", error)

    def _listen(self) -> None:
        # The socket is bound to a temporary path, which is then renamed: the path always exists, and a file
        # that an old process left there is replaced.
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        with suppress(FileNotFoundError):
            temporary.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            with _address_of(temporary) as address:
                sock.bind(address)
            sock.listen(MAX_LINKS)
            self._own_file_identity = _file_identity(temporary)
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
            self._nursery.start_soon(self._await_hello, Connection(new_process))

    async def _await_hello(self, connection: Connection) -> None:
        """Waits for the first message of a new process within the time-out, then handles the link."""
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
        """Closes all links, and removes the path unless a new process has it."""
        if self._sock is not None:
            self._close_socket()
            with suppress(OSError):
                if _file_identity(self._path) == self._own_file_identity:
                    self._path.unlink()
        for link in self._links:
            link.connection.close()
