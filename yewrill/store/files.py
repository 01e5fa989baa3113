"""The few calls that a store makes on a directory, and the real ones.

A store's files are named flat, but for those under `quarantine/`. Errors are OSErrors. `simdisk.py` has the
same calls on a disk that crashes.
"""

from __future__ import annotations

import errno
import fcntl
import os
import socket
import time
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from yewrill.store.errors import StoreLocked

QUARANTINE = "quarantine/"
LOCK = "LOCK"


class Handle(Protocol):
    """An open file. It closes when nobody refers to it any more, so a reader never sees it close."""

    def read(self, size: int, offset: int) -> bytes:
        """Return up to `size` bytes from an offset, fewer only at the end of the file."""
        ...

    def write(self, data: bytes, offset: int) -> int:
        """The number of bytes written, which may be fewer than asked."""
        ...

    def truncate(self, size: int) -> None:
        """Set the file's size."""
        ...

    def sync(self) -> None:
        """All that was written to the file is on disk, its size included; its name need not be."""
        ...

    def size(self) -> int:
        """Return the file's size in bytes."""
        ...


class Files(Protocol):
    """One directory."""

    def list(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def open(self, name: str, *, write: bool = False, create: bool = False) -> Handle:
        """Open a file; `create` makes it if it is absent. Raises OSError."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over any of the new name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file. Raises FileNotFoundError."""
        ...

    def sync_names(self) -> None:
        """Names made, changed and removed so far are on disk."""
        ...

    def reserve(self, name: str, size: int) -> None:
        """Make a file of this size whose room is really taken."""
        ...

    def lock(self) -> None:
        """Take the directory for this process. Raises StoreLocked."""
        ...

    def unlock(self) -> None:
        """Release the directory."""
        ...


def write_all(handle: Handle, data: bytes, offset: int) -> None:
    """Write all of it, however short the single writes are. Raises OSError."""
    view = memoryview(data)
    while view:
        count = handle.write(view, offset)
        if count <= 0:
            raise OSError(errno.EIO, "a write that writes nothing")
        view = view[count:]
        offset += count


def read_file(files: Files, name: str) -> bytes:
    """Return a whole file. Raises OSError."""
    handle = files.open(name)
    return handle.read(handle.size(), 0)


def write_file(files: Files, name: str, data: bytes) -> None:
    """Write a file anew and bring it to disk; its name is not synced."""
    handle = files.open(name, write=True, create=True)
    handle.truncate(0)
    write_all(handle, data, 0)
    handle.sync()


class RealHandle:
    """An open file of the operating system."""

    __slots__ = ("_fd",)

    def __init__(self, path: Path, flags: int):
        self._fd = -1
        self._fd = os.open(path, flags | os.O_CLOEXEC, 0o600)

    def read(self, size: int, offset: int) -> bytes:
        """Return up to `size` bytes from an offset, fewer only at the end of the file."""
        data = os.pread(self._fd, size, offset)
        while len(data) < size and (
            more := os.pread(self._fd, size - len(data), offset + len(data))
        ):
            data += more
        return data

    def write(self, data: bytes, offset: int) -> int:
        """Write a part of the data; return how many bytes."""
        return os.pwrite(self._fd, data, offset)

    def truncate(self, size: int) -> None:
        """Set the file's size."""
        os.ftruncate(self._fd, size)

    def sync(self) -> None:
        """Bring the file's data and size to disk."""
        os.fdatasync(self._fd)  # a file's size is part of what it syncs

    def size(self) -> int:
        """Return the file's size in bytes."""
        return os.fstat(self._fd).st_size

    def __del__(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealFiles:
    """A directory of the system's. `make` creates it if it is absent."""

    def __init__(self, path: str | Path, make: bool = True):
        self.path = Path(path)
        self._lock = -1
        if make:
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def list(self) -> list[str]:
        """Return the names of all files, sorted."""
        names = [entry.name for entry in os.scandir(self.path) if entry.is_file()]
        with suppress(FileNotFoundError):
            names += [QUARANTINE + entry.name for entry in os.scandir(self.path / QUARANTINE)]
        return sorted(names)

    def open(self, name: str, *, write: bool = False, create: bool = False) -> RealHandle:
        """Open a file; `create` makes it if it is absent. Raises OSError."""
        path = self.path / name
        if create and name.startswith(QUARANTINE):
            path.parent.mkdir(mode=0o700, exist_ok=True)
        return RealHandle(
            path, (os.O_RDWR if write else os.O_RDONLY) | (os.O_CREAT if create else 0)
        )

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over any of the new name."""
        if new.startswith(QUARANTINE):
            (self.path / QUARANTINE).mkdir(mode=0o700, exist_ok=True)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file. Raises FileNotFoundError."""
        os.unlink(self.path / name)

    def sync_names(self) -> None:
        """Bring the directory's names to disk."""
        for path in (self.path / QUARANTINE, self.path):
            try:
                fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
            except FileNotFoundError:
                continue
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

    def reserve(self, name: str, size: int) -> None:
        """Make a file of this size whose blocks are allocated. Raises OSError."""
        fd = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, size)
        except OSError:
            self.remove(name)
            raise
        finally:
            os.close(fd)

    def lock(self) -> None:
        """Lock the directory for this process. Raises StoreLocked."""
        path = self.path / LOCK
        try:
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            if error.errno not in (errno.EROFS, errno.EACCES, errno.EPERM):
                raise
            try:  # a directory that can't be written can be read beside any other reader
                fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                return
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.pread(fd, 200, 0).decode(errors="replace").strip() or "an unnamed process"
            os.close(fd)
            raise StoreLocked(f"{self.path}: held by {holder}") from None
        self._lock = fd
        with suppress(OSError):  # who holds it is a kindness; that it is held is not
            os.ftruncate(fd, 0)
            since = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
            os.pwrite(
                fd, f"process {os.getpid()} on {socket.gethostname()} since {since}\n".encode(), 0
            )

    def unlock(self) -> None:
        """Release the directory."""
        if self._lock >= 0:
            with suppress(OSError):
                os.ftruncate(self._lock, 0)  # nobody has it: no name either
            os.close(self._lock)
            self._lock = -1
