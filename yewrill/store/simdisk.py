"""A simulated directory in memory that can crash and fail any call. It tracks synced and unsynced data apart.

Calls are counted. The call with number `crash_at` and all later ones raise `Crashed`. `after_crash` then
returns the directory as a power failure leaves it: each unsynced write is independently lost, kept or torn,
and each unsynced change of a file name is lost or kept, as the given random generator decides. `fail` is
called before each call and returns the errno to fail with, SHORT for a short write, or None.

A failed sync behaves as in common kernels: the pages are marked clean, so the next sync succeeds without
writing them.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable

from yewrill.store.errors import StoreLocked

SHORT = -1
# Size of a disk sector; a torn write keeps some of its sectors and loses the others.
SECTOR_BYTES = 512

# Takes the number and the name of a call and the file name; returns an errno, SHORT or None.
Fault = Callable[[int, str, str], int | None]


class Crashed(BaseException):
    """The simulated process has crashed."""


class _Inode:
    """A file: its content as read, its synced content, and the unsynced writes."""

    __slots__ = ("data", "durable", "pending")

    def __init__(self, data: bytes = b""):
        self.data = bytearray(data)
        self.durable = bytearray(data)
        # Unsynced writes as offset and data; None instead of data is a truncation to the offset.
        self.pending: list[tuple[int, bytes | None]] = []

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
            if fate < 0.65:  # a torn write: only some of its sectors, or cut at any byte
                if rng.random() < 0.5:
                    pieces = [(0, rng.randrange(len(data) + 1))]
                else:
                    pieces = [
                        (at, min(at + SECTOR_BYTES, len(data)))
                        for at in range(0, len(data), SECTOR_BYTES)
                        if rng.random() < 0.5
                    ]
            for start, end in pieces:
                if end > start:
                    found.extend(bytes(max(0, offset + start - len(found))))
                    found[offset + start : offset + end] = data[start:end]
        return bytes(found)


class _Handle:
    def __init__(self, disk: SimulatedDisk, name: str, inode: _Inode, write: bool):
        self._disk, self._name, self._inode, self._write = disk, name, inode, write

    def read(self, size: int, offset: int) -> bytes:
        self._disk.call("read", self._name)
        return bytes(self._inode.data[offset : offset + size])

    def write(self, data: bytes, offset: int) -> int:
        data = bytes(data)
        if self._disk.call("write", self._name) == SHORT:
            data = data[: max(1, len(data) // 2)]
        inode = self._inode
        grown = max(0, offset + len(data) - len(inode.data))
        if self._disk.capacity is not None:
            fits = max(0, self._disk.capacity - self._disk.used())
            if grown > fits:
                data = data[: len(data) - grown + fits]
                if not data:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        inode.data.extend(bytes(max(0, offset - len(inode.data))))
        inode.data[offset : offset + len(data)] = data
        inode.pending.append((offset, data))
        return len(data)

    def truncate(self, size: int) -> None:
        self._disk.call("truncate", self._name)
        del self._inode.data[size:]
        self._inode.pending.append((size, None))

    def sync(self) -> None:
        try:
            self._disk.call("sync", self._name)
        except OSError:
            self._inode.pending.clear()
            raise
        self._inode.durable = bytearray(self._inode.data)
        self._inode.pending.clear()

    def size(self) -> int:
        return len(self._inode.data)


class SimulatedDisk:
    """A directory on the simulated disk. `capacity` in bytes; None: unlimited."""

    def __init__(self, fail: Fault | None = None, crash_at: int = 0, capacity: int | None = None):
        self.calls = 0
        self.fail = fail
        self.crash_at = crash_at
        self.capacity = capacity  # size of the disk in bytes; None: unlimited
        self.crashed = False
        self.read_only = False
        # False disables sync_names, so that tests can show that a store without it loses files in a crash.
        self.name_syncs_enabled = True
        self._names: dict[str, _Inode] = {}
        self._durable: dict[str, _Inode] = {}
        self._changes: list[dict[str, _Inode | None]] = []  # unsynced changes of file names
        self._locked = False

    def call(self, operation: str, name: str) -> int | None:
        """Counts a call and injects the planned crash or error; returns SHORT for a short write."""
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
        """Returns the total size of all files in bytes."""
        return sum(len(inode.data) for inode in self._names.values())

    # -- the calls of a directory

    def list(self) -> list[str]:
        """Returns the names of all files, sorted."""
        self.call("list", "")
        return sorted(self._names)

    def open(self, name: str, *, write: bool = False, create: bool = False) -> _Handle:
        """Opens a file; `create` creates it if it does not exist. Raises OSError."""
        creates = create and name not in self._names
        self.call("create" if creates else "open", name)
        if creates:
            self._change({name: _Inode()})
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return _Handle(self, name, self._names[name], write)

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces any file with the new name."""
        self.call("rename", new)
        self._change({new: self._names[old], old: None})

    def remove(self, name: str) -> None:
        """Removes a file. Raises FileNotFoundError."""
        self.call("remove", name)
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        self._change({name: None})

    def sync_names(self) -> None:
        """Syncs the directory: all creations, renames and removals so far are on disk."""
        self.call("sync_names", "")
        if self.name_syncs_enabled:
            self._durable = dict(self._names)
            self._changes.clear()

    def reserve(self, name: str, size: int) -> None:
        """Creates a file of `size` bytes whose disk blocks are allocated. Raises OSError."""
        self.call("reserve", name)
        allocated = len(self._names[name].data) if name in self._names else 0
        if self.capacity is not None and size - allocated > self.capacity - self.used():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._change({name: _Inode(bytes(size))})

    def lock(self) -> None:
        """Locks the directory for this process. Raises StoreLocked."""
        if self._locked:
            raise StoreLocked("the directory is locked by another process")
        self._locked = True

    def unlock(self) -> None:
        """Unlocks the directory."""
        self._locked = False

    def _change(self, change: dict[str, _Inode | None]) -> None:
        _apply(self._names, change)
        self._changes.append(change)

    # -- after a crash

    def after_crash(self, rng: random.Random) -> SimulatedDisk:
        """Returns the directory that the next process finds after a power failure."""
        names = dict(self._durable)
        for change in self._changes:
            if rng.random() < 0.5:
                _apply(names, change)
        found = SimulatedDisk()
        # Two names may refer to one file if only half of a rename is on disk.
        inodes = {id(inode): _Inode(inode.after_crash(rng)) for inode in names.values()}
        found._names = {name: inodes[id(inode)] for name, inode in names.items()}
        found._durable = dict(found._names)
        return found

    def after_kill(self) -> SimulatedDisk:
        """Returns the directory that the next process finds if only this process died: no write is lost."""
        found = SimulatedDisk()
        found._names = {name: _Inode(bytes(inode.data)) for name, inode in self._names.items()}
        found._durable = dict(found._names)
        return found

    # -- files as bytes, for tests and tools

    def dump(self) -> dict[str, bytes]:
        """Returns the content of all files by name, unsynced writes included."""
        return {name: bytes(inode.data) for name, inode in self._names.items()}

    @classmethod
    def of(cls, contents: dict[str, bytes]) -> SimulatedDisk:
        """Returns a disk with these files, all of them synced."""
        disk = cls()
        disk._names = {name: _Inode(data) for name, data in contents.items()}
        disk._durable = dict(disk._names)
        return disk


def _apply(names: dict[str, _Inode], change: dict[str, _Inode | None]) -> None:
    for name, inode in change.items():
        if inode is None:
            names.pop(name, None)
        else:
            names[name] = inode
