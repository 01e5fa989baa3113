"""The store without threads and clocks: commits, reads, snapshots, compaction and backup on one directory.

Concurrency: one thread at a time may commit (`commit`, `sync`, `close`); beside it one may do maintenance
(`compact`, `write_hints`, `restore_reserve`) and any number may read. The key directory's lock guards the
index and the table of segments and is held only briefly. The catalog's lock guards the manifest and is held
while the manifest is synced. Lock order: the catalog's lock is taken before the key directory's.

A commit appends frames to the active segment, syncs it, and only then adds the operations to the index, so
in mode `always` a reader sees only data that is on disk. compaction.py describes the order of a compaction.
After a crash, recovery.py decides by the manifest which segments belong to the store, and without a manifest
by the segments' headers.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress

from yewrill.store import format as fmt
from yewrill.store import policy
from yewrill.store.catalog import Catalog
from yewrill.store.compaction import Compactor
from yewrill.store.errors import (
    Conflict,
    StoreClosed,
    StoreError,
    StoreFull,
    StorePoisoned,
    StoreReadOnly,
)
from yewrill.store.files import Files, write_all, write_file
from yewrill.store.findings import FindingKind, Findings
from yewrill.store.key_directory import KeyDirectory
from yewrill.store.reader import Reader, Row, Snapshot, VersionedValue, is_expired
from yewrill.store.recovery import MANIFEST, open_directory
from yewrill.store.reserve import DISK_FULL_ERRNOS, SpaceReserve
from yewrill.store.segment import ENTRY, Segment

BACKUP_CHUNK_BYTES = 1 << 20
NOT_WRITABLE_ERRNOS = (errno.EROFS, errno.EACCES, errno.EPERM)

# One batch: the sequence number of its first operation, and its operations.
_NumberedOps = tuple[int, list[fmt.Op]]


class Engine:
    """One open store. All times are milliseconds of the caller's clock."""

    def __init__(
        self,
        files: Files,
        *,
        salt: Callable[[], int],
        rules: policy.CompactionRules | None = None,
        segment_size: int = 32 * 1024 * 1024,
        reserve: int = 0,
    ):
        """Opens the directory. `salt` returns 32 random bits for each new segment; sizes are in bytes.

        Raises StoreLocked if another process has the directory open, OSError.
        """
        self.files = files
        self.rules = rules or policy.CompactionRules()
        self.segment_size = segment_size
        files.lock()
        try:
            state = open_directory(files)
        except BaseException:
            files.unlock()
            raise
        self.findings = Findings(state.findings)
        self.directory = KeyDirectory(state.index, state.segments, state.next_seq)
        self._reserve = SpaceReserve(files, reserve)
        self._catalog = Catalog(
            files,
            self._reserve,
            salt=salt,
            next_segment=state.next_segment,
            later_format=state.later_format,
            read_only=state.read_only,
        )
        self._reader = Reader(self.directory, self.findings)
        self._compactor = Compactor(self._catalog, self.directory, self._reserve, self.findings)
        self.dirty = False  # something was written since the last sync
        self.syncs = self.bytes_written = 0
        self._active: Segment | None = None  # the segment that commits append to
        self._commit_lock = threading.RLock()
        if not self.read_only and self.findings.mentions(
            FindingKind.MANIFEST, FindingKind.ADOPTED, FindingKind.MISSING
        ):
            with suppress(OSError):  # the next write writes the manifest again
                self._write_manifest()
        self.restore_reserve()

    # -- state

    @property
    def last_seq(self) -> int:
        """The sequence number of the last operation that was written."""
        return self.directory.next_seq - 1

    @property
    def poisoned_by(self) -> Exception | None:
        """The disk error after which no write is accepted any more, None if there was none."""
        return self._catalog.poisoned_by

    @property
    def read_only(self) -> bool:
        """Whether the directory is not writable."""
        return self._catalog.read_only

    @property
    def closed(self) -> bool:
        """Whether the engine is closed."""
        return self._catalog.closed

    @property
    def low_on_space(self) -> bool:
        """Whether the disk was full: the space reserve is in use or could not be allocated."""
        return self._reserve.low

    @property
    def compactions(self) -> int:
        """The number of finished compactions."""
        return self._compactor.finished_count

    # -- commits

    def commit(
        self, batches: Sequence[fmt.Batch], now: int, sync: bool = True
    ) -> list[int | StoreError]:
        """Writes batches, each entirely or not at all.

        Returns for each batch the version of its first operation, or the error for which it was not written.
        """
        with self._commit_lock:
            return self._commit(batches, now, sync)

    def _commit(self, batches: Sequence[fmt.Batch], now: int, sync: bool) -> list[int | StoreError]:
        if (rejection := self._catalog.rejection()) is not None:
            return [rejection] * len(batches)
        results: list[int | StoreError] = []
        frames: list[_NumberedOps] = []
        # The version that each key has after the batches handled so far; 0: deleted or expired.
        pending: dict[bytes, int] = {}
        seq = self.directory.next_seq
        for batch in batches:
            if (conflict := self._find_conflict(batch, pending, now)) is not None:
                results.append(conflict)
                continue
            results.append(seq if batch.ops else seq - 1)
            if not batch.ops:
                continue
            for at, op in enumerate(batch.ops, seq):
                visible = op.kind == fmt.PUT and not is_expired(op.expires, now)
                pending[op.key] = at if visible else 0
            frames.append((seq, batch.ops))
            seq += len(batch.ops)
        if not frames:
            return results
        try:
            self._append(frames, now, sync)
        except StoreError as error:
            if isinstance(error, StoreFull) and len(batches) > 1:
                # Retried one by one: one large batch must not cause the rejection of smaller batches.
                return [result for batch in batches for result in self._commit([batch], now, sync)]
            return [error if isinstance(result, int) else result for result in results]
        return results

    def _find_conflict(
        self, batch: fmt.Batch, pending: dict[bytes, int], now: int
    ) -> Conflict | None:
        for key, expected in batch.conditions:
            version = pending.get(key)
            if version is None:
                version = self._current_version(key, now)
            if version != expected:
                return Conflict(key, expected, version)
        return None

    def _current_version(self, key: bytes, now: int) -> int:
        entry = self.directory.index.get(key)
        if entry is None:
            return 0
        _, _, _, seq, expires = ENTRY.unpack(entry)
        return 0 if is_expired(expires, now) else seq

    def _append(self, frames: list[_NumberedOps], now: int, sync: bool) -> None:
        try:
            segment = self._writable_segment()
        except OSError as error:
            raise self._write_error(error) from None
        encoded = [fmt.encode_frame(ops, segment.salt, now, first) for first, ops in frames]
        data = b"".join(encoded)
        try:
            self._write_frames(segment, data, frames)
        except OSError as error:
            self._truncate_failed_write(segment)
            raise self._write_error(error) from None
        if sync:
            self._sync(segment)
        self._index_frames(segment, frames, encoded)
        self.bytes_written += len(data)
        self.dirty = not sync
        if segment.size >= self.segment_size:
            self._seal(segment)

    def _write_frames(self, segment: Segment, data: bytes, frames: list[_NumberedOps]) -> None:
        try:
            write_all(segment.handle, data, segment.size)
        except OSError as error:
            # Deletions may use half of the space reserve, so that they can free space on a full disk.
            deletions = all(op.kind == fmt.DELETE for _, ops in frames for op in ops)
            if error.errno != errno.ENOSPC or not deletions or not self._reserve.release_half():
                raise
            write_all(segment.handle, data, segment.size)

    def _index_frames(
        self, segment: Segment, frames: list[_NumberedOps], encoded: list[bytes]
    ) -> None:
        """Adds frames that were appended to a segment to the index."""
        with self.directory.lock:
            at = segment.size
            for frame, (first, ops) in zip(encoded, frames, strict=True):
                offset = at + fmt.FRAME_HEADER_BYTES
                for seq, op in enumerate(ops, first):
                    self.directory.apply(segment, op, seq, offset)
                    offset += fmt.op_size(op.key, len(op.value))
                at += len(frame)
            segment.size = at
            self.directory.next_seq = frames[-1][0] + len(frames[-1][1])

    def _write_error(self, error: OSError) -> StoreError:
        if self.poisoned_by is not None:
            return StorePoisoned(f"writes are rejected after a disk error: {self.poisoned_by}")
        if error.errno in DISK_FULL_ERRNOS:
            self._reserve.low = True
            return StoreFull("the disk is full")
        if error.errno in NOT_WRITABLE_ERRNOS:
            self._catalog.read_only = True
            return StoreReadOnly(f"the directory is not writable: {error.strerror}")
        return StoreError(f"write failed: {error}")

    def _truncate_failed_write(self, segment: Segment) -> None:
        """Removes the partial data of a failed write. If that fails too, no further write is accepted."""
        try:
            segment.handle.truncate(segment.size)
            segment.handle.sync()
        except OSError as error:
            self._catalog.poisoned_by = error

    def _sync(self, segment: Segment) -> None:
        try:
            segment.handle.sync()
            self.syncs += 1
            self.dirty = False
        except OSError as error:
            # The kernel may have dropped the unsynced pages; a later sync would succeed without writing them.
            self._catalog.poisoned_by = error
            raise StorePoisoned(f"sync failed: {error}") from None

    def sync(self) -> None:
        """Syncs all data written so far. Raises StorePoisoned."""
        with self._commit_lock:
            if self.dirty and self._active is not None and self.poisoned_by is None:
                self._sync(self._active)

    # -- segments

    def _writable_segment(self) -> Segment:
        if self._active is None:
            name = self._catalog.new_name()
            header = fmt.encode_segment_header(name)
            write_file(self.files, name.file, header)
            # The file name must be on disk before a record in the file is acknowledged.
            self._catalog.sync_names()
            handle = self.files.open(name.file, write=True)
            segment = Segment(name, handle, self.directory.take_slot())
            segment.size = segment.frames_start = len(header)
            self._add_segment(segment)
            self._active = segment
        return self._active

    def _add_segment(self, segment: Segment) -> None:
        with self._catalog.lock:
            with self.directory.lock:
                self.directory.segments[segment.slot] = segment
            try:
                self._write_manifest()
            except BaseException:
                with self.directory.lock:
                    del self.directory.segments[segment.slot]
                raise

    def _write_manifest(self) -> None:
        with self._catalog.lock:
            names = [segment.name for segment in self.directory.segments.values()]
            self._catalog.write_manifest(names, self.directory.next_seq)

    def seal(self) -> None:
        """Seals the active segment, so that it can be compacted. The next write starts a new one."""
        with self._commit_lock:
            if self._active is not None:
                self._seal(self._active)

    def _seal(self, segment: Segment) -> None:
        # A failed sync is not raised here, since the writes so far keep the guarantees of the store's mode.
        # The next write is rejected with StorePoisoned.
        with suppress(StorePoisoned):
            self.sync()
        self._active = None

    def sealed(self) -> list[Segment]:
        """Returns the segments that are no longer written to."""
        with self.directory.lock:
            segments = self.directory.segments.values()
            return [segment for segment in segments if segment is not self._active]

    @property
    def sealed_count(self) -> int:
        """The number of segments that are no longer written to."""
        return len(self.directory.segments) - (self._active is not None)

    # -- reads

    def get(self, key: bytes, now: int) -> VersionedValue | None:
        """Returns the value of a key, None if it is absent or expired. Raises DamagedValue, StoreClosed."""
        if self.closed:
            raise StoreClosed("the store is closed")
        return self._reader.get(key, now)

    def scan(
        self,
        now: int,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, VersionedValue]]:
        """Yields the keys with this prefix from `start` up to, and without, `stop`, in order, with values.

        This is not a snapshot: each chunk of keys is read when the iteration reaches it. Raises DamagedValue.
        """
        for key, value, seq, expires in self.rows(now, prefix, start, stop, reverse):
            yield key, VersionedValue(value, seq, expires)

    def rows(
        self, now: int, prefix: bytes, start: bytes, stop: bytes | None, reverse: bool
    ) -> Iterator[Row]:
        """Like `scan`, but yields each key as a `Row`: a tuple of key, value, version and expiry."""
        return self._reader.rows(now, prefix, start, stop, reverse)

    def snapshot(self, now: int) -> Snapshot:
        """Returns a consistent view of the store at this moment; the caller closes it."""
        if self.closed:
            raise StoreClosed("the store is closed")
        return Snapshot(self.directory, self._reader, now)

    # -- maintenance

    def choose_segments(self, now: int, everything: bool = False) -> list[int]:
        """Returns the numbers of the segments to compact next.

        `everything` ignores the thresholds of the policy.
        """
        stats = [segment.stats(now) for segment in self.sealed()]
        if everything:
            return policy.choose_everything(stats, self.rules)
        return policy.choose(
            stats, self.rules, self._reserve.compaction_bytes if self.low_on_space else None
        )

    def compact(self, numbers: Sequence[int], now: int) -> Iterator[int]:
        """Compacts the sealed segments with these numbers into one; see `Compactor.compact`."""
        inputs = [segment for segment in self.sealed() if segment.name.number in set(numbers)]
        finished = self.compactions
        yield from self._compactor.compact(inputs, now)
        if self.compactions != finished:
            self.restore_reserve()

    def write_hints(self) -> Iterator[int]:
        """Writes the missing hint files of sealed segments. Yields bytes read. Raises OSError."""
        return self._compactor.write_hints(self.sealed())

    def restore_reserve(self) -> None:
        """Allocates the space reserve again if the disk has the space."""
        if not self.read_only and not self.closed:
            self._reserve.restore()

    # -- backup, statistics, closing

    def backup(self, target: Files) -> Iterator[int]:
        """Copies the store as of now to an empty directory, while writes go on. Yields bytes copied.

        Raises StoreError if the target is not empty, OSError.
        """
        if target.list():
            raise StoreError("backup: the target directory is not empty")
        with self._catalog.lock, self.directory.lock:
            parts = [(s.name, s.handle, s.size) for s in self.directory.segments.values()]
            manifest = fmt.Manifest(
                tuple(sorted(name for name, _, _ in parts)),
                self._catalog.next_segment,
                self.directory.next_seq,
            )
        for name, handle, size in parts:
            copy = target.open(name.file, write=True, create=True)
            for at in range(0, size, BACKUP_CHUNK_BYTES):
                piece = handle.read(min(BACKUP_CHUNK_BYTES, size - at), at)
                write_all(copy, piece, at)
                yield len(piece)
            copy.sync()
        write_file(target, MANIFEST, fmt.encode_manifest(manifest))
        target.sync_names()

    def stat(self, now: int) -> dict:
        """Returns figures and findings under the names that `yewrill store stat` prints; sizes in bytes."""
        with self.directory.lock:
            segments = [segment.stats(now) for segment in self.directory.segments.values()]
            keys = len(self.directory.index)
        return {
            "format": fmt.FORMAT_VERSION,
            "keys": keys,
            "segments": len(segments),
            "size": sum(s.size for s in segments),
            "live": sum(s.live for s in segments),
            "garbage": sum(s.garbage for s in segments),
            "last_version": self.last_seq,
            "snapshots": self.directory.snapshot_count,
            "syncs": self.syncs,
            "written": self.bytes_written,
            "compactions": self.compactions,
            "short": self.low_on_space,
            "read_only": self.read_only,
            "poisoned": str(self.poisoned_by) if self.poisoned_by is not None else "",
            "later_format": list(self._catalog.later_format),
            "quarantine": [name for name in self.files.list() if name.startswith("quarantine/")],
            "findings": [finding.as_dict() for finding in self.findings],
        }

    def close(self) -> None:
        """Syncs, writes hint files so that the next opening is fast, and unlocks the directory."""
        if self.closed:
            return
        self.seal()
        with suppress(OSError):
            for _ in self.write_hints():
                pass
        self._catalog.closed = True
        self.files.unlock()
