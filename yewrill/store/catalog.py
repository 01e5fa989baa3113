"""The catalog of a store: its manifest, the next segment number, and whether the directory may be written.

`lock` is held while the manifest is synced. Lock order: the catalog's lock is taken before the key
directory's, never after it.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Sequence

from yewrill.store import format as fmt
from yewrill.store.errors import StoreClosed, StoreError, StorePoisoned, StoreReadOnly
from yewrill.store.files import Files, write_file
from yewrill.store.recovery import MANIFEST, NEW_SUFFIX
from yewrill.store.reserve import SpaceReserve

SALT_MASK = 0xFFFFFFFF


class Catalog:
    """Writes the manifest of one store, assigns segment names, and knows why writes are rejected."""

    def __init__(
        self,
        files: Files,
        reserve: SpaceReserve,
        *,
        salt: Callable[[], int],
        next_segment: int,
        later_format: list[str],
        read_only: bool,
    ):
        self.lock = threading.RLock()
        self.files = files
        # Names of files in a later version of the format; the store never changes them.
        self.later_format = later_format
        self.read_only = read_only
        # The disk error, such as a failed sync, that made the store reject all further writes.
        self.poisoned_by: Exception | None = None
        self.closed = False
        self.next_segment = next_segment
        self._reserve = reserve
        self._salt = salt
        self._later_names = [
            name for file in later_format if (name := fmt.segment_name(file)) is not None
        ]

    @property
    def writable(self) -> bool:
        """Whether writes are accepted: the directory is writable and no disk error forbids them."""
        return not self.read_only and self.poisoned_by is None

    def rejection(self) -> StoreError | None:
        """Returns the error with which writes are rejected, None while they are accepted."""
        if self.closed:
            return StoreClosed("the store is closed")
        if self.poisoned_by is not None:
            return StorePoisoned(f"writes are rejected after a disk error: {self.poisoned_by}")
        if self.read_only:
            return StoreReadOnly("the directory is not writable")
        return None

    def new_name(self) -> fmt.SegmentName:
        """Returns a name for a new segment. Segment numbers are never reused."""
        with self.lock:
            number = self.next_segment
            self.next_segment += 1
        return fmt.SegmentName(number, self._salt() & SALT_MASK)

    def write_manifest(self, names: Sequence[fmt.SegmentName], next_seq: int) -> None:
        """Replaces the manifest: the store then consists of the segments with these names. Raises OSError."""
        with self.lock:
            manifest = fmt.Manifest(
                tuple(sorted([*names, *self._later_names])), self.next_segment, next_seq
            )
            data = fmt.encode_manifest(manifest)
            try:
                write_file(self.files, MANIFEST + NEW_SUFFIX, data)
            except OSError as error:
                if error.errno != errno.ENOSPC or not self._reserve.release():
                    raise
                write_file(self.files, MANIFEST + NEW_SUFFIX, data)
            self.files.rename(MANIFEST + NEW_SUFFIX, MANIFEST)
            self.sync_names()

    def sync_names(self) -> None:
        """Syncs the directory. Raises OSError, after which no write is accepted any more."""
        try:
            self.files.sync_names()
        except OSError as error:
            # After a failed sync of the directory it is unknown which file names are on disk.
            self.poisoned_by = error
            raise
