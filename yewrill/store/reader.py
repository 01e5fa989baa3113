"""Reads of single keys and ranges of keys, now or as of a snapshot.

They are safe while writes and compaction go on.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from yewrill.store import format as fmt
from yewrill.store.errors import DamagedValue
from yewrill.store.findings import Finding, FindingKind, Findings
from yewrill.store.key_directory import KeyDirectory
from yewrill.store.segment import ENTRY, SLOT, Segment

# Number of keys that a scan looks up at a time, during which it holds the key directory's lock.
SCAN_CHUNK_KEYS = 512
READ_AHEAD_BYTES = 64 * 1024
# Limit on the lookups of one key: compaction may remove the segment between a lookup and the read.
MAX_LOOKUPS = 8


class VersionedValue(NamedTuple):
    """A value, its version (the sequence number of its put) and its expiry (ms, 0: never)."""

    value: bytes
    version: int
    expires: int


Row = tuple[bytes, bytes, int, int]  # key, value, version, expiry


def is_expired(expires: int, now: int) -> bool:
    """Whether an expiry (ms, 0: never) has passed."""
    return bool(expires) and expires <= now


class Reader:
    """Reads the values that a key directory refers to."""

    def __init__(self, directory: KeyDirectory, findings: Findings):
        self._directory = directory
        self._findings = findings

    def get(self, key: bytes, now: int) -> VersionedValue | None:
        """Returns the value of a key, None if it is absent or expired. Raises DamagedValue."""
        for _ in range(MAX_LOOKUPS):
            entry = self._directory.index.get(key)
            if entry is None:
                return None
            slot, offset, size, seq, expires = ENTRY.unpack(entry)
            if expires and expires <= now:
                return None
            segment = self._directory.segments.get(slot)
            if segment is not None:  # else it was compacted after the index lookup
                return VersionedValue(self.read(segment, key, offset, size), seq, expires)
        raise DamagedValue(key, "no segment", 0)

    def read(self, segment: Segment, key: bytes, offset: int, size: int) -> bytes:
        """Reads one value and verifies its checksum. Raises DamagedValue."""
        data = segment.handle.read(fmt.OP_HEADER_BYTES + len(key) + size, offset)
        value = fmt.read_value(data, key, segment.name.salt)
        if value is None:
            end = offset + fmt.op_size(key, size)
            self._findings.add_damage(
                segment,
                Finding(
                    FindingKind.DAMAGE, segment.name.file, offset, end, 1, "detected by a read"
                ),
            )
            raise DamagedValue(key, segment.name.file, offset)
        return value

    def rows(
        self, now: int, prefix: bytes, start: bytes, stop: bytes | None, reverse: bool
    ) -> Iterator[Row]:
        """Yields the rows of a range of keys. Each chunk is read when the iteration reaches it."""
        low, high = key_range(prefix, start, stop)
        index, segments = self._directory.index, self._directory.segments
        while True:
            with self._directory.lock:
                chunk = []
                for key in islice(index.irange(low, high, (True, False), reverse), SCAN_CHUNK_KEYS):
                    entry = index[key]
                    chunk.append((key, segments[SLOT.unpack_from(entry)[0]], entry))
            yield from self.read_chunk(chunk, now)
            if len(chunk) < SCAN_CHUNK_KEYS:
                return
            if reverse:
                high = chunk[-1][0]
            else:
                low = chunk[-1][0] + b"\0"

    def read_chunk(self, entries: list[tuple[bytes, Segment, bytes]], now: int) -> Iterator[Row]:
        """Yields the rows of index entries, with read-ahead while they are adjacent in a segment."""
        unpack, head, extend_crc32c, crc_of = (
            ENTRY.unpack,
            fmt.OP_HEADER_BYTES,
            fmt.extend_crc32c,
            fmt.stored_op_crc,
        )
        window, base, window_segment, previous_end = b"", 0, None, -1
        for key, segment, entry in entries:
            _, offset, size, seq, expires = unpack(entry)
            if expires and expires <= now:
                continue
            total_size = head + len(key) + size
            at = offset - base
            if segment is not window_segment or at < 0 or at + total_size > len(window):
                adjacent = (
                    segment is window_segment
                    and 0 <= offset - previous_end <= 4 * fmt.FRAME_HEADER_BYTES
                )
                window = segment.handle.read(
                    max(total_size, READ_AHEAD_BYTES if adjacent else total_size), offset
                )
                base, window_segment, at = offset, segment, 0
            previous_end = offset + total_size
            content = window[at + head : at + total_size]  # the key followed by the value
            if (
                len(content) != total_size - head
                or crc_of(window, at) != extend_crc32c(segment.salt, content)
                or not content.startswith(key)
            ):
                self.read(segment, key, offset, size)  # reports the damage and raises DamagedValue
            yield key, content[len(key) :], seq, expires


class Snapshot:
    """A consistent view of the store. It keeps old segment files open until it is closed."""

    def __init__(self, directory: KeyDirectory, reader: Reader, now: int):
        self._directory = directory
        self._reader = reader
        self._handle, self.seq = directory.open_snapshot()
        self.now = now

    def get(self, key: bytes) -> VersionedValue | None:
        """Returns the value of a key in this view, None if absent or expired. Raises DamagedValue."""
        with self._directory.lock:
            found = self._directory.entry_at(key, self.seq)
        if found is None:
            return None
        segment, entry = found
        _, offset, size, seq, expires = ENTRY.unpack(entry)
        if is_expired(expires, self.now):
            return None
        return VersionedValue(self._reader.read(segment, key, offset, size), seq, expires)

    def scan(
        self,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, VersionedValue]]:
        """Yields keys and values like `Engine.scan`, all as of the snapshot."""
        low, high = key_range(prefix, start, stop)
        while True:
            with self._directory.lock:
                chunk, end = self._next_chunk(low, high, reverse)
            for key, value, seq, expires in self._reader.read_chunk(chunk, self.now):
                yield key, VersionedValue(value, seq, expires)
            if end is None:
                return
            if reverse:
                high = end
            else:
                low = end + b"\0"

    def _next_chunk(
        self, low: bytes, high: bytes | None, reverse: bool
    ) -> tuple[list[tuple[bytes, Segment, bytes]], bytes | None]:
        """Returns the next entries of the range, and the last key that they cover, None if no entries follow.

        The caller holds the lock.
        """
        # Merges the keys of `index` (newest entries) and `history` (entries replaced since the snapshot).
        keys: set[bytes] = set()
        ends = []
        for source in (self._directory.index, self._directory.history):
            listed = list(islice(source.irange(low, high, (True, False), reverse), SCAN_CHUNK_KEYS))
            if len(listed) == SCAN_CHUNK_KEYS:
                ends.append(listed[-1])
            keys.update(listed)
        # A source cut off at SCAN_CHUNK_KEYS may have more keys after its last one, so the chunk ends there.
        end = (max(ends) if reverse else min(ends)) if ends else None
        chunk = []
        for key in sorted(keys, reverse=reverse):
            if end is not None and (key < end if reverse else key > end):
                break
            if (found := self._directory.entry_at(key, self.seq)) is not None:
                chunk.append((key, *found))
        return chunk, end

    def close(self) -> None:
        """Closes the view. A second call has no effect."""
        self._directory.close_snapshot(self._handle)

    def __enter__(self) -> Snapshot:
        return self

    def __exit__(self, *exc) -> None:
        self.close()


def key_range(prefix: bytes, start: bytes, stop: bytes | None) -> tuple[bytes, bytes | None]:
    """Returns the first key and the excluded end (None: no end) of a range of keys with a prefix."""
    low = max(prefix, start)
    last = prefix.rstrip(b"\xff")
    prefix_end = last[:-1] + bytes([last[-1] + 1]) if last else None
    ends = [end for end in (prefix_end, stop) if end is not None]
    return low, min(ends) if ends else None
