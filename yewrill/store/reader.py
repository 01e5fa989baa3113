"""Reading values: one key, a range of keys, and both as of a snapshot. Safe beside writes and compaction."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from yewrill.store import format as fmt
from yewrill.store.errors import DamagedValue
from yewrill.store.findings import Finding, FindingKind, Findings
from yewrill.store.key_directory import KeyDirectory
from yewrill.store.segment import ENTRY, SLOT, Segment

SCAN_CHUNK_KEYS = 512  # looked up under the lock at a time
READ_AHEAD_BYTES = 64 * 1024
MAX_LOOKUPS = 8  # of a key whose segment is compacted away meanwhile


class Found(NamedTuple):
    """A value with its version (the number of the write that put it) and expiry (ms, 0: never)."""

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

    def get(self, key: bytes, now: int) -> Found | None:
        """Return the value of a key, None if it is absent or expired. Raises DamagedValue."""
        for _ in range(MAX_LOOKUPS):
            entry = self._directory.index.get(key)
            if entry is None:
                return None
            slot, offset, size, seq, expires = ENTRY.unpack(entry)
            if expires and expires <= now:
                return None
            segment = self._directory.segments.get(slot)
            if segment is not None:  # else it was compacted away this very moment
                return Found(self.read(segment, key, offset, size), seq, expires)
        raise DamagedValue(key, "no segment", 0)

    def read(self, segment: Segment, key: bytes, offset: int, size: int) -> bytes:
        """Read one value and check it. Raises DamagedValue."""
        data = segment.handle.read(fmt.OP_HEADER_BYTES + len(key) + size, offset)
        value = fmt.read_value(data, key, segment.name.salt)
        if value is None:
            end = offset + fmt.op_size(key, size)
            self._findings.add_damage(
                segment,
                Finding(FindingKind.DAMAGE, segment.name.file, offset, end, 1, "met by a reader"),
            )
            raise DamagedValue(key, segment.name.file, offset)
        return value

    def rows(
        self, now: int, prefix: bytes, start: bytes, stop: bytes | None, reverse: bool
    ) -> Iterator[Row]:
        """Yield the rows of a range of keys; each chunk is as of when the iteration gets there."""
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
        """Read the values of entries, with read-ahead while they are adjacent in their segment."""
        unpack, head, extend, crc_of = (
            ENTRY.unpack,
            fmt.OP_HEADER_BYTES,
            fmt.extend,
            fmt.stored_op_crc,
        )
        window, base, owner, after = b"", 0, None, -1
        for key, segment, entry in entries:
            _, offset, size, seq, expires = unpack(entry)
            if expires and expires <= now:
                continue
            whole = head + len(key) + size
            at = offset - base
            if segment is not owner or at < 0 or at + whole > len(window):
                near = segment is owner and 0 <= offset - after <= 4 * fmt.FRAME_HEADER_BYTES
                window = segment.handle.read(
                    max(whole, READ_AHEAD_BYTES if near else whole), offset
                )
                base, owner, at = offset, segment, 0
            after = offset + whole
            content = window[at + head : at + whole]  # the key, and the value
            if (
                len(content) != whole - head
                or crc_of(window, at) != extend(segment.salt, content)
                or not content.startswith(key)
            ):
                self.read(segment, key, offset, size)  # reports the damage and raises
            yield key, content[len(key) :], seq, expires


class Snapshot:
    """A consistent view; `close` it, or use it in a `with` statement: it keeps old files open."""

    def __init__(self, directory: KeyDirectory, reader: Reader, now: int):
        self._directory = directory
        self._reader = reader
        self._handle, self.seq = directory.open_snapshot()
        self.now = now

    def get(self, key: bytes) -> Found | None:
        """Return the value that the key had, None if it was absent or expired. Raises DamagedValue."""
        with self._directory.lock:
            found = self._directory.entry_at(key, self.seq)
        if found is None:
            return None
        segment, entry = found
        _, offset, size, seq, expires = ENTRY.unpack(entry)
        if is_expired(expires, self.now):
            return None
        return Found(self._reader.read(segment, key, offset, size), seq, expires)

    def scan(
        self,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, Found]]:
        """Yield keys and values as `Engine.scan`, all as of one moment."""
        low, high = key_range(prefix, start, stop)
        while True:
            with self._directory.lock:
                chunk, end = self._next_chunk(low, high, reverse)
            for key, value, seq, expires in self._reader.read_chunk(chunk, self.now):
                yield key, Found(value, seq, expires)
            if end is None:
                return
            if reverse:
                high = end
            else:
                low = end + b"\0"

    def _next_chunk(
        self, low: bytes, high: bytes | None, reverse: bool
    ) -> tuple[list[tuple[bytes, Segment, bytes]], bytes | None]:
        """Return entries, and the last key looked at if there may be more. Under the lock."""
        # Keys of both maps, merged; the second holds what was overwritten or deleted since.
        keys: set[bytes] = set()
        ends = []
        for source in (self._directory.index, self._directory.history):
            some = list(islice(source.irange(low, high, (True, False), reverse), SCAN_CHUNK_KEYS))
            if len(some) == SCAN_CHUNK_KEYS:
                ends.append(some[-1])
            keys.update(some)
        # Beyond the nearer end of the two, the other one may have keys that are not looked at yet.
        end = (max(ends) if reverse else min(ends)) if ends else None
        chunk = []
        for key in sorted(keys, reverse=reverse):
            if end is not None and (key < end if reverse else key > end):
                break
            if (found := self._directory.entry_at(key, self.seq)) is not None:
                chunk.append((key, *found))
        return chunk, end

    def close(self) -> None:
        """End the view. A second call has no effect."""
        self._directory.close_snapshot(self._handle)

    def __enter__(self) -> Snapshot:
        return self

    def __exit__(self, *exc) -> None:
        self.close()


def key_range(prefix: bytes, start: bytes, stop: bytes | None) -> tuple[bytes, bytes | None]:
    """Return the range of keys that a prefix and two ends leave: its first key, and the end that it
    excludes (None: no end)."""
    low = max(prefix, start)
    last = prefix.rstrip(b"\xff")
    after = last[:-1] + bytes([last[-1] + 1]) if last else None
    ends = [end for end in (after, stop) if end is not None]
    return low, min(ends) if ends else None
