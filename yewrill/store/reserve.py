"""Disk space set aside, so that a full store can still delete and compact.

Half of it may be used for deletions; the other half is for compaction, without which deletions would free
nothing.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from yewrill.store.files import Files

RESERVE = "RESERVE"  # the file that occupies the space
METADATA_BYTES = 4096  # of the reserve, for manifests and directory entries
DISK_FULL = (errno.ENOSPC, errno.EDQUOT)


class SpaceReserve:
    """The reserve of one store; `size` in bytes, 0 for none."""

    def __init__(self, files: Files, size: int):
        self._files = files
        self.size = size
        self.low = False  # the disk was full: the reserve is in use, or could not be had

    @property
    def compaction_bytes(self) -> int:
        """What one compaction may write while the disk is full."""
        return max(0, self.size // 2 - METADATA_BYTES)

    def restore(self) -> None:
        """Set the space aside (again), if the disk has it."""
        if not self.size:
            return
        try:
            present = RESERVE in self._files.list()
            if not present or self._files.open(RESERVE).size() < self.size:
                self._files.reserve(RESERVE, self.size)
            self.low = False
        except OSError as error:
            self.low = error.errno in DISK_FULL

    def release_half(self) -> bool:
        """Give up the half that deletions may use; whether that has freed anything."""
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
        """Give up all of it; whether there was any."""
        self.low = True
        try:
            self._files.remove(RESERVE)
        except OSError:
            return False
        return True

    def write(self, write: Callable[[], None]) -> None:
        """Write what compaction needs, if need be into the reserve. Raises OSError."""
        try:
            write()
        except OSError as error:
            if error.errno != errno.ENOSPC or not self.release():
                raise
            write()
