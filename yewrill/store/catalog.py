"""Which files are in force: the manifest, the numbers of segments, and whether the directory may be written.

`lock` is held over the manifest's sync. Whoever holds it may take the key directory's lock, never the other
way round.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Sequence

from yewrill.store import format as fmt
from yewrill.store.errors import StoreClosed, StoreError, StorePoisoned, StoreReadOnly
from yewrill.store.files import Files, write_file
from yewrill.store.recovery import MANIFEST, NEW
from yewrill.store.reserve import SpaceReserve

SALT_MASK = 0xFFFFFFFF


class Catalog:
    """The names on disk of one store."""

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
        self.later_format = later_format  # files of a later format, left alone
        self.read_only = read_only
        self.poison: Exception | None = (
            None  # a sync failed with this: no further write is accepted
        )
        self.closed = False
        self.next_segment = next_segment
        self._reserve = reserve
        self._salt = salt
        self._later_names = [
            name for file in later_format if (name := fmt.segment_name(file)) is not None
        ]

    @property
    def writable(self) -> bool:
        """Whether the directory can be written and no sync has failed."""
        return not self.read_only and self.poison is None

    def rejection(self) -> StoreError | None:
        """Return why no write is accepted, None if writes are."""
        if self.closed:
            return StoreClosed("the store is closed")
        if self.poison is not None:
            return StorePoisoned(f"writing ended: {self.poison}")
        if self.read_only:
            return StoreReadOnly("the directory can't be written")
        return None

    def new_name(self) -> fmt.SegmentName:
        """Return a name for a new segment; its number is never given again."""
        with self.lock:
            number = self.next_segment
            self.next_segment += 1
        return fmt.SegmentName(number, self._salt() & SALT_MASK)

    def write_manifest(self, names: Sequence[fmt.SegmentName], next_seq: int) -> None:
        """Put these segments in force. Raises OSError."""
        with self.lock:
            manifest = fmt.Manifest(
                tuple(sorted([*names, *self._later_names])), self.next_segment, next_seq
            )
            data = fmt.encode_manifest(manifest)
            try:
                write_file(self.files, MANIFEST + NEW, data)
            except OSError as error:
                if error.errno != errno.ENOSPC or not self._reserve.release():
                    raise
                write_file(self.files, MANIFEST + NEW, data)
            self.files.rename(MANIFEST + NEW, MANIFEST)
            self.sync_names()

    def sync_names(self) -> None:
        """Bring names of files to disk. Raises OSError, after which no write is accepted any more."""
        try:
            self.files.sync_names()
        except OSError as error:
            self.poison = error  # it is unknown which names are on disk, as after any failed sync
            raise
