"""Reserved disk space that lets a store on a full disk still delete records and compact.

Deletions may use half of the reserve. The other half is for compaction, without which deletions free nothing.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from yewrill.store.files import Files

RESERVE = "RESERVE"  # name of the file that occupies the reserved space
METADATA_BYTES = 4096  # share of the reserve for manifests and directory entries
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class SpaceReserve:
    """The space reserve of one store, a file of `size` bytes; 0 for no reserve."""

    def __init__(self, files: Files, size: int):
        self._files = files
        self.size = size
        self.low = False  # the disk was full: the reserve is in use or could not be allocated

    @property
    def compaction_bytes(self) -> int:
        """The bytes that one compaction may write while the disk is full."""
        return max(0, self.size // 2 - METADATA_BYTES)

    def restore(self) -> None:
        """Allocates the reserve (again) if the disk has the space."""
        if not self.size:
            return
        try:
            present = RESERVE in self._files.list()
            if not present or self._files.open(RESERVE).size() < self.size:
                self._files.reserve(RESERVE, self.size)
            self.low = False
        except OSError as error:
            self.low = error.errno in DISK_FULL_ERRNOS

    def release_half(self) -> bool:
        """Frees the half of the reserve that deletions may use; returns whether that freed any space."""
        self.low = True
        try:
            handle = self._files.open(RESERVE, write=True)
            if handle.size() <= self.size // 2:
                return False
            handle.truncate(self.size // 2)
        except OSError:
            return False
        return True

    def release(self) -> bool:
        """Frees the whole reserve; returns whether there was any."""
        self.low = True
        try:
            self._files.remove(RESERVE)
        except OSError:
            return False
        return True

    def write(self, write: Callable[[], None]) -> None:
        """Calls `write`, and once more after freeing the reserve if the disk is full. Raises OSError."""
        try:
            write()
        except OSError as error:
            if error.errno != errno.ENOSPC or not self.release():
                raise
            write()
