"""The file operations of a store, as protocols, and their implementation by the operating system.

A store's files are all in one directory, except those under `quarantine/`. Operations raise OSError.
`simdisk.py` implements the same protocols on a simulated disk.
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
    """An open file. It is closed once it is no longer referenced, so never during a read."""

    def read(self, size: int, offset: int) -> bytes:
        """Returns up to `size` bytes from an offset, fewer only at the end of the file."""
        ...

    def write(self, data: bytes, offset: int) -> int:
        """Writes at an offset; returns the number of bytes written, which may be fewer than given."""
        ...

    def truncate(self, size: int) -> None:
        """Sets the file's size."""
        ...

    def sync(self) -> None:
        """Syncs the file's data and size to disk, not its name."""
        ...

    def size(self) -> int:
        """Returns the file's size in bytes."""
        ...


class Files(Protocol):
    """One directory."""

    def list(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def open(self, name: str, *, write: bool = False, create: bool = False) -> Handle:
        """Opens a file; `create` creates it if it does not exist. Raises OSError."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces any file with the new name."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file. Raises FileNotFoundError."""
        ...

    def sync_names(self) -> None:
        """Syncs the directory: all creations, renames and removals so far are on disk."""
        ...

    def reserve(self, name: str, size: int) -> None:
        """Creates a file of `size` bytes whose disk blocks are allocated. Raises OSError."""
        ...

    def lock(self) -> None:
        """Locks the directory for this process. Raises StoreLocked."""
        ...

    def unlock(self) -> None:
        """Unlocks the directory."""
        ...


def write_all(handle: Handle, data: bytes, offset: int) -> None:
    """Writes all data, with several writes if some are short. Raises OSError."""
    view = memoryview(data)
    while view:
        count = handle.write(view, offset)
        if count <= 0:
            raise OSError(errno.EIO, "write returned 0 bytes")
        view = view[count:]
        offset += count


def read_file(files: Files, name: str) -> bytes:
    """Returns the content of a file. Raises OSError."""
    handle = files.open(name)
    return handle.read(handle.size(), 0)


def write_file(files: Files, name: str, data: bytes) -> None:
    """Creates or overwrites a file and syncs its data, but not its name. Raises OSError."""
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
        """Returns up to `size` bytes from an offset, fewer only at the end of the file."""
        data = os.pread(self._fd, size, offset)
        while len(data) < size and (
            more := os.pread(self._fd, size - len(data), offset + len(data))
        ):
            data += more
        return data

    def write(self, data: bytes, offset: int) -> int:
        """Writes at an offset; returns the number of bytes written, which may be fewer than given."""
        return os.pwrite(self._fd, data, offset)

    def truncate(self, size: int) -> None:
        """Sets the file's size."""
        os.ftruncate(self._fd, size)

    def sync(self) -> None:
        """Syncs the file's data and size to disk."""
        os.fdatasync(self._fd)  # fdatasync also syncs the file's size

    def size(self) -> int:
        """Returns the file's size in bytes."""
        return os.fstat(self._fd).st_size

    def __del__(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealFiles:
    """A directory in the file system. `make` creates it if it does not exist."""

    def __init__(self, path: str | Path, make: bool = True):
        self.path = Path(path)
        self._lock = -1
        if make:
            self.path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def list(self) -> list[str]:
        """Returns the names of all files, sorted."""
        names = [entry.name for entry in os.scandir(self.path) if entry.is_file()]
        with suppress(FileNotFoundError):
            names += [QUARANTINE + entry.name for entry in os.scandir(self.path / QUARANTINE)]
        return sorted(names)

    def open(self, name: str, *, write: bool = False, create: bool = False) -> RealHandle:
        """Opens a file; `create` creates it if it does not exist. Raises OSError."""
        path = self.path / name
        if create and name.startswith(QUARANTINE):
            path.parent.mkdir(mode=0o700, exist_ok=True)
        return RealHandle(
            path, (os.O_RDWR if write else os.O_RDONLY) | (os.O_CREAT if create else 0)
        )

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces any file with the new name."""
        if new.startswith(QUARANTINE):
            (self.path / QUARANTINE).mkdir(mode=0o700, exist_ok=True)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file. Raises FileNotFoundError."""
        os.unlink(self.path / name)

    def sync_names(self) -> None:
        """Syncs the directory: all creations, renames and removals so far are on disk."""
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
        """Creates a file of `size` bytes whose disk blocks are allocated. Raises OSError."""
        fd = os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, size)
        except OSError:
            self.remove(name)
            raise
        finally:
            os.close(fd)

    def lock(self) -> None:
        """Locks the directory for this process. Raises StoreLocked."""
        path = self.path / LOCK
        try:
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            if error.errno not in (errno.EROFS, errno.EACCES, errno.EPERM):
                raise
            # In a directory that is not writable, an existing lock file is locked. If there is none, several
            # processes may read the directory.
            try:
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
        # The directory stays locked even if the name of the lock's holder can't be written.
        with suppress(OSError):
            os.ftruncate(fd, 0)
            since = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
            os.pwrite(
                fd, f"process {os.getpid()} on {socket.gethostname()} since {since}\n".encode(), 0
            )

    def unlock(self) -> None:
        """Unlocks the directory."""
        if self._lock >= 0:
            with suppress(OSError):
                os.ftruncate(self._lock, 0)  # removes the name of the lock's holder
            os.close(self._lock)
            self._lock = -1
