"""A directory in memory that can crash, and fail any call: what was synced apart from what was only written.

It counts its calls. `crash_at` ends the process before a call of that number (`Crashed`, and at every call
after it); `after_crash` then gives the directory as a power cut would leave it: of what was not synced,
each write is lost, kept or torn by the given generator, independently of the others, and each change of a
name is lost or kept. `fail` decides on a call before it is made: an errno, or SHORT for a write that takes
a part.

A sync that fails does what kernels do: the pages count as clean, so the next sync says yes and writes
nothing.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable

from yewrill.store.errors import StoreLocked

SHORT = -1
SECTOR = 512  # a torn write is kept to a multiple of this, in the disk's own order

Fault = Callable[[int, str, str], int | None]  # number of the call, its name, the file's name


class Crashed(BaseException):
    """The process is gone."""


class _Node:
    """A file: what readers see, what is on disk, and the writes between the two."""

    __slots__ = ("data", "durable", "pending")

    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)
        self.durable = bytearray(data)
        self.pending: list[tuple[int, bytes | None]] = []  # offset and data; None: cut there

    def after_crash(self, rng: random.Random) -> bytes:
        found = bytearray(self.durable)
        for offset, data in self.pending:
            fate = rng.random()
            if fate < 0.35:
                continue
            if data is None:
                del found[offset:]
                continue
            pieces = [(0, len(data))]
            if fate < 0.65:  # torn: any of its sectors, or cut at any byte
                if rng.random() < 0.5:
                    pieces = [(0, rng.randrange(len(data) + 1))]
                else:
                    pieces = [
                        (at, min(at + SECTOR, len(data)))
                        for at in range(0, len(data), SECTOR)
                        if rng.random() < 0.5
                    ]
            for start, end in pieces:
                if end > start:
                    found.extend(bytes(max(0, offset + start - len(found))))
                    found[offset + start : offset + end] = data[start:end]
        return bytes(found)


class _Handle:
    def __init__(self, disk: SimulatedDisk, name: str, node: _Node, write: bool):
        self._disk, self._name, self._node, self._write = disk, name, node, write

    def read(self, size: int, offset: int) -> bytes:
        self._disk.call("read", self._name)
        return bytes(self._node.data[offset : offset + size])

    def write(self, data: bytes, offset: int) -> int:
        data = bytes(data)
        if self._disk.call("write", self._name) == SHORT:
            data = data[: max(1, len(data) // 2)]
        node = self._node
        grown = max(0, offset + len(data) - len(node.data))
        if self._disk.capacity is not None:
            fits = max(0, self._disk.capacity - self._disk.used())
            if grown > fits:
                data = data[: len(data) - grown + fits]
                if not data:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        node.data.extend(bytes(max(0, offset - len(node.data))))
        node.data[offset : offset + len(data)] = data
        node.pending.append((offset, data))
        return len(data)

    def truncate(self, size: int) -> None:
        self._disk.call("truncate", self._name)
        del self._node.data[size:]
        self._node.pending.append((size, None))

    def sync(self) -> None:
        try:
            self._disk.call("sync", self._name)
        except OSError:
            self._node.pending.clear()
            raise
        self._node.durable = bytearray(self._node.data)
        self._node.pending.clear()

    def size(self) -> int:
        return len(self._node.data)


class SimulatedDisk:
    """A directory on the simulated disk. `capacity` in bytes; None: unlimited."""

    def __init__(self, fail: Fault | None = None, crash_at: int = 0, capacity: int | None = None):
        self.calls = 0
        self.fail = fail
        self.crash_at = crash_at
        self.capacity = capacity  # bytes that the disk has in all, None: no bound
        self.crashed = False
        self.read_only = False
        self.synced_names = True  # False: syncing names is forgotten, to see that it matters
        self._names: dict[str, _Node] = {}
        self._durable: dict[str, _Node] = {}
        self._changes: list[dict[str, _Node | None]] = []  # of names, not yet on disk
        self._locked = False

    def call(self, operation: str, name: str) -> int | None:
        """Count a call; die, fail or shorten it as planned."""
        if self.crashed:
            raise Crashed
        self.calls += 1
        if self.calls == self.crash_at:
            self.crashed = True
            raise Crashed
        fault = self.fail(self.calls, operation, name) if self.fail is not None else None
        if self.read_only and operation not in ("read", "open", "list"):
            fault = errno.EROFS
        if fault is not None and fault != SHORT:
            raise OSError(fault, os.strerror(fault))
        return fault

    def used(self) -> int:
        """Return the bytes of all files."""
        return sum(len(node.data) for node in self._names.values())

    # -- the calls of a directory

    def list(self) -> list[str]:
        """Return the names of all files, sorted."""
        self.call("list", "")
        return sorted(self._names)

    def open(self, name: str, *, write: bool = False, create: bool = False) -> _Handle:
        """Open a file; `create` makes it if it is absent. Raises OSError."""
        made = create and name not in self._names
        self.call("create" if made else "open", name)
        if made:
            self._change({name: _Node()})
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return _Handle(self, name, self._names[name], write)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over any of the new name."""
        self.call("rename", new)
        self._change({new: self._names[old], old: None})

    def remove(self, name: str) -> None:
        """Remove a file. Raises FileNotFoundError."""
        self.call("remove", name)
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        self._change({name: None})

    def sync_names(self) -> None:
        """Bring the directory's names to disk."""
        self.call("sync_names", "")
        if self.synced_names:
            self._durable = dict(self._names)
            self._changes.clear()

    def reserve(self, name: str, size: int) -> None:
        """Make a file of this size whose blocks are allocated. Raises OSError."""
        self.call("reserve", name)
        allocated = len(self._names[name].data) if name in self._names else 0
        if self.capacity is not None and size - allocated > self.capacity - self.used():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._change({name: _Node(bytes(size))})

    def lock(self) -> None:
        """Lock the directory for this process. Raises StoreLocked."""
        if self._locked:
            raise StoreLocked("held by another")
        self._locked = True

    def unlock(self) -> None:
        """Release the directory."""
        self._locked = False

    def _change(self, change: dict[str, _Node | None]) -> None:
        _apply(self._names, change)
        self._changes.append(change)

    # -- after the end

    def after_crash(self, rng: random.Random) -> SimulatedDisk:
        """The directory that the next process finds after a power cut."""
        names = dict(self._durable)
        for change in self._changes:
            if rng.random() < 0.5:
                _apply(names, change)
        found = SimulatedDisk()
        # Two names may mean one file, if only half of a rename came through.
        nodes = {id(node): _Node(node.after_crash(rng)) for node in names.values()}
        found._names = {name: nodes[id(node)] for name, node in names.items()}
        found._durable = dict(found._names)
        return found

    def after_kill(self) -> SimulatedDisk:
        """The directory that the next process finds if only this one died: all that was written."""
        found = SimulatedDisk()
        found._names = {name: _Node(bytes(node.data)) for name, node in self._names.items()}
        found._durable = dict(found._names)
        return found

    # -- files as bytes, for tests and tools

    def dump(self) -> dict[str, bytes]:
        """Return all files, as readers see them."""
        return {name: bytes(node.data) for name, node in self._names.items()}

    @classmethod
    def of(cls, contents: dict[str, bytes]) -> SimulatedDisk:
        """Return a disk with these files, all synced."""
        disk = cls()
        disk._names = {name: _Node(data) for name, data in contents.items()}
        disk._durable = dict(disk._names)
        return disk


def _apply(names: dict[str, _Node], change: dict[str, _Node | None]) -> None:
    for name, node in change.items():
        if node is None:
            names.pop(name, None)
        else:
            names[name] = node
