"""The store without threads and clocks: commits, reads, snapshots, compaction and backup on one directory.

Who may call what at once: one committer (`commit`, `sync`, `close`), one maintainer (`compact`,
`write_hints`, `restore_reserve`) beside it, and any number of readers. `_lock` guards the index and the
table of segments and is held for short moments only; `_switch` guards the manifest and is held over its
sync, never while `_lock` is wanted.

Order of a commit: frames are written behind the newest segment, synced, and only then entered in the index:
what a reader sees is on disk (in mode `always`). Order of a compaction: output written and synced as
`.new`, renamed, names synced, manifest switched, index entries moved, inputs removed. Before the manifest
the inputs count, after it the output does; recovery.py tells the two apart by the manifest, and without one
by the output's header.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Generator, Iterator, Sequence
from contextlib import suppress
from itertools import islice
from typing import NamedTuple

from sortedcontainers import SortedDict

from yewrill.store import format as fmt
from yewrill.store import policy
from yewrill.store.errors import (
    Conflict,
    DamagedValue,
    StoreClosed,
    StoreError,
    StoreFull,
    StorePoisoned,
    StoreReadOnly,
)
from yewrill.store.files import Files, write_all, write_file
from yewrill.store.recovery import (
    MANIFEST,
    NEW,
    RESERVE,
    Finding,
    Frame,
    Gap,
    open_directory,
    quarantine,
    read_frames,
)
from yewrill.store.segment import ENTRY, SLOT, Segment

SCAN_CHUNK = 512  # keys looked up under the lock at a time
OUTPUT_FRAME = 128 * 1024  # bytes gathered into a frame by compaction
READ_AHEAD = 64 * 1024
MOST_FINDINGS = 1000
ROOM_FOR_NAMES = 4096  # bytes of the room aside, for manifests and directory entries


class Found(NamedTuple):
    """A value with its version (the number of the write that put it) and expiry (ms, 0: never)."""

    value: bytes
    version: int
    expires: int


Row = tuple[bytes, bytes, int, int]  # key, value, version, expiry


_Numbered = tuple[int, list[fmt.Op]]  # a batch's operations, and the number of the first one


class _Old(NamedTuple):
    """An entry that a snapshot may still want: in force from its own number until this one."""

    until: int
    entry: bytes
    segment: Segment


class Engine:
    """`salt` gives 32 random bits for each new segment; times are milliseconds of the caller's clock."""

    def __init__(
        self,
        files: Files,
        *,
        salt: Callable[[], int],
        rules: policy.Rules | None = None,
        segment_size: int = 32 * 1024 * 1024,
        reserve: int = 0,
    ):
        self.files = files
        self.rules = rules or policy.Rules()
        self.segment_size = segment_size
        self.reserve = reserve
        self._salt = salt
        files.lock()
        try:
            state = open_directory(files)
        except BaseException:
            files.unlock()
            raise
        self._index: SortedDict = state.index
        self._segments: dict[int, Segment] = state.segments
        self._next_slot = max(state.segments, default=-1) + 1
        self._next_segment, self._next_seq = state.next_segment, state.next_seq
        self.findings: list[Finding] = state.findings
        self.foreign = state.foreign
        self._foreign_names = [
            name for file in state.foreign if (name := fmt.segment_name(file)) is not None
        ]
        self.read_only = state.read_only
        self.poison: Exception | None = None
        self.short = False  # the room aside is in use, or could not be had
        self.closed = False
        self.dirty = False  # written and not synced
        self.syncs = self.written = self.compactions = 0
        self._active: Segment | None = None
        self._snapshots: dict[int, Snapshot] = {}
        self._history: SortedDict = SortedDict()  # key: list of _Old
        self._lock = threading.RLock()
        self._switch = threading.RLock()
        self._committing = threading.RLock()
        if (
            any(finding.what in ("manifest", "adopted", "missing") for finding in self.findings)
            and not self.read_only
        ):
            with suppress(OSError):  # if not now, then with the next write
                self._write_manifest()
        self.restore_reserve()

    # ----------------------------------------------------------------------------------------------- writing

    @property
    def last_seq(self) -> int:
        return self._next_seq - 1

    def commit(
        self, batches: Sequence[fmt.Batch], now: int, sync: bool = True
    ) -> list[int | StoreError]:
        """Write batches, each whole or not at all; for each the version of its first operation, or why
        not."""
        with self._committing:
            return self._commit(batches, now, sync)

    def _commit(self, batches: Sequence[fmt.Batch], now: int, sync: bool) -> list[int | StoreError]:
        if (refused := self._refused()) is not None:
            return [refused] * len(batches)
        results: list[int | StoreError] = []
        frames: list[_Numbered] = []
        pending: dict[bytes, int] = {}  # versions as they will be, 0: gone
        seq = self._next_seq
        for batch in batches:
            if (conflict := self._conflict(batch, pending, now)) is not None:
                results.append(conflict)
                continue
            results.append(seq if batch.ops else seq - 1)
            if not batch.ops:
                continue
            for at, op in enumerate(batch.ops, seq):
                pending[op.key] = at if op.kind == fmt.PUT and not _over(op.expires, now) else 0
            frames.append((seq, batch.ops))
            seq += len(batch.ops)
        if not frames:
            return results
        try:
            self._append(frames, now, sync)
        except StoreError as error:
            if isinstance(error, StoreFull) and len(batches) > 1:
                # One large batch must not have the small ones beside it refused.
                return [result for batch in batches for result in self._commit([batch], now, sync)]
            return [error if isinstance(result, int) else result for result in results]
        return results

    def _refused(self) -> StoreError | None:
        if self.closed:
            return StoreClosed("the store is closed")
        if self.poison is not None:
            return StorePoisoned(f"writing ended: {self.poison}")
        if self.read_only:
            return StoreReadOnly("the directory can't be written")
        return None

    def _conflict(self, batch: fmt.Batch, pending: dict[bytes, int], now: int) -> Conflict | None:
        for key, expected in batch.conditions:
            found = pending.get(key)
            if found is None:
                entry = self._index.get(key)
                _, _, _, seq, expires = (
                    ENTRY.unpack(entry) if entry is not None else (0, 0, 0, 0, 0)
                )
                found = 0 if _over(expires, now) else seq
            if found != expected:
                return Conflict(key, expected, found)
        return None

    def _append(self, frames: list[_Numbered], now: int, sync: bool) -> None:
        try:
            segment = self._writable()
        except OSError as error:
            raise self._trouble(error) from None
        encoded = [fmt.encode_frame(ops, segment.salt, now, first) for first, ops in frames]
        data = b"".join(encoded)
        deletions = all(op.kind == fmt.DELETE for _, ops in frames for op in ops)
        try:
            try:
                write_all(segment.handle, data, segment.size)
            except OSError as error:
                # A full store must be possible to empty: deletions may use the room kept aside.
                if error.errno != errno.ENOSPC or not deletions or not self._halve_reserve():
                    raise
                write_all(segment.handle, data, segment.size)
        except OSError as error:
            self._cut_back(segment)
            raise self._trouble(error) from None
        if sync:
            self._sync(segment)
        with self._lock:
            at = segment.size
            for frame, (first, ops) in zip(encoded, frames, strict=True):
                base = at + fmt.FRAME_HEAD
                for seq, op in enumerate(ops, first):
                    self._enter(segment, op, seq, base)
                    base += fmt.op_size(op.key, len(op.value))
                at += len(frame)
            segment.size = at
            self._next_seq = frames[-1][0] + len(frames[-1][1])
        self.written += len(data)
        self.dirty = not sync
        if segment.size >= self.segment_size:
            self._seal(segment)

    def _trouble(self, error: OSError) -> StoreError:
        if self.poison is not None:
            return StorePoisoned(f"writing ended: {self.poison}")
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            self.short = True
            return StoreFull("no room left on the disk")
        if error.errno in (errno.EROFS, errno.EACCES, errno.EPERM):
            self.read_only = True
            return StoreReadOnly(f"the directory can't be written: {error.strerror}")
        return StoreError(f"not written: {error}")

    def _cut_back(self, segment: Segment) -> None:
        """Take back a write that failed. If that can't be made sure, nothing can be written behind it."""
        try:
            segment.handle.truncate(segment.size)
            segment.handle.sync()
        except OSError as error:
            self.poison = error

    def _sync(self, segment: Segment) -> None:
        try:
            segment.handle.sync()
            self.syncs += 1
            self.dirty = False
        except OSError as error:
            # The kernel may have dropped the pages: a later sync would say yes to what is not on disk.
            self.poison = error
            raise StorePoisoned(f"a sync failed: {error}") from None

    def sync(self) -> None:
        """Bring what was written to disk. Raises StorePoisoned."""
        with self._committing:
            if self.dirty and self._active is not None and self.poison is None:
                self._sync(self._active)

    def _writable(self) -> Segment:
        if self._active is None:
            name = fmt.SegmentName(self._take_number(), self._salt() & 0xFFFFFFFF)
            header = fmt.encode_header(name)
            write_file(self.files, name.file, header)
            # The name must be on disk before any record in the file counts as written.
            self._sync_names()
            segment = Segment(name, self.files.open(name.file, write=True), self._take_slot())
            segment.size = segment.start = len(header)
            with self._switch:
                with self._lock:
                    self._segments[segment.slot] = segment
                try:
                    self._write_manifest()
                except BaseException:
                    with self._lock:
                        del self._segments[segment.slot]
                    raise
            self._active = segment
        return self._active

    def _seal(self, segment: Segment) -> None:
        with suppress(
            StorePoisoned
        ):  # told at the next write; this one was acknowledged in its own mode
            self.sync()
        self._active = None

    def _write_manifest(self, segments: Sequence[Segment] | None = None) -> None:
        with self._switch:
            names = [s.name for s in (self._segments.values() if segments is None else segments)]
            names += self._foreign_names
            data = fmt.encode_manifest(
                fmt.Manifest(tuple(sorted(names)), self._next_segment, self._next_seq)
            )
            try:
                write_file(self.files, MANIFEST + NEW, data)
            except OSError as error:
                if error.errno != errno.ENOSPC or not self._release_reserve():
                    raise
                write_file(self.files, MANIFEST + NEW, data)
            self.files.rename(MANIFEST + NEW, MANIFEST)
            self._sync_names()

    def _sync_names(self) -> None:
        try:
            self.files.sync_names()
        except OSError as error:
            self.poison = error  # which names are on disk is anybody's guess: as with any sync
            raise

    def _enter(self, segment: Segment, op: fmt.Op, seq: int, offset: int) -> None:
        size = fmt.op_size(op.key, len(op.value))
        segment.lowest = min(segment.lowest, seq)
        self._forget(op.key, seq)
        if op.kind == fmt.PUT:
            self._index[op.key] = ENTRY.pack(segment.slot, offset, len(op.value), seq, op.expires)
            segment.live += size
            if op.expires:
                segment.note_expiry(op.expires, size)
        else:
            self._index.pop(op.key, None)
            segment.deletions += size

    def _forget(self, key: bytes, until: int) -> None:
        """An entry is about to leave the index: its bytes are garbage, but a snapshot may still want it."""
        entry = self._index.get(key)
        if entry is None:
            return
        slot, _, value_size, seq, expires = ENTRY.unpack(entry)
        segment = self._segments[slot]
        size = fmt.op_size(key, value_size)
        segment.live -= size
        if expires:
            segment.note_expiry(expires, -size)
        if self._snapshots and any(
            seq <= snapshot.seq < until for snapshot in self._snapshots.values()
        ):
            self._history.setdefault(key, []).append(_Old(until, entry, segment))

    # ----------------------------------------------------------------------------------------------- reading

    def get(self, key: bytes, now: int) -> Found | None:
        """The value of a key, None if it is absent or its time is over. Raises DamagedValue."""
        if self.closed:
            raise StoreClosed("the store is closed")
        for _ in range(8):
            entry = self._index.get(key)
            if entry is None:
                return None
            slot, offset, size, seq, expires = ENTRY.unpack(entry)
            if expires and expires <= now:
                return None
            segment = self._segments.get(slot)
            if segment is not None:  # else it was compacted away this very moment
                return Found(self._read(segment, key, offset, size), seq, expires)
        raise DamagedValue(key, "no segment", 0)

    def _read(self, segment: Segment, key: bytes, offset: int, size: int) -> bytes:
        data = segment.handle.read(fmt.OP_HEAD + len(key) + size, offset)
        value = fmt.read_value(data, key, segment.name.salt)
        if value is None:
            self._damaged(
                segment,
                Finding(
                    "damage",
                    segment.name.file,
                    offset,
                    offset + fmt.op_size(key, size),
                    1,
                    "met by a reader",
                ),
            )
            raise DamagedValue(key, segment.name.file, offset)
        return value

    def _damaged(self, segment: Segment, finding: Finding) -> None:
        segment.damaged = True
        if finding not in self.findings and len(self.findings) < MOST_FINDINGS:
            self.findings.append(finding)

    def scan(
        self,
        now: int,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, Found]]:
        """Keys from `start` up to, and without, `stop` that have this prefix, in order, with what they have.
        Without a snapshot, each part is as it is when the iteration gets there."""
        for key, value, seq, expires in self.rows(now, prefix, start, stop, reverse):
            yield key, Found(value, seq, expires)

    def rows(
        self, now: int, prefix: bytes, start: bytes, stop: bytes | None, reverse: bool
    ) -> Iterator[Row]:
        """As `scan`, with plain tuples."""
        low, high = _bounds(prefix, start, stop)
        index, segments = self._index, self._segments
        while True:
            with self._lock:
                chunk = []
                for key in islice(index.irange(low, high, (True, False), reverse), SCAN_CHUNK):
                    entry = index[key]
                    chunk.append((key, segments[SLOT.unpack_from(entry)[0]], entry))
            yield from self._read_chunk(chunk, now)
            if len(chunk) < SCAN_CHUNK:
                return
            if reverse:
                high = chunk[-1][0]
            else:
                low = chunk[-1][0] + b"\0"

    def _read_chunk(self, entries: list[tuple[bytes, Segment, bytes]], now: int) -> Iterator[Row]:
        """Read values, ahead while they lie one behind the other."""
        unpack, head, extend, crc_of = ENTRY.unpack, fmt.OP_HEAD, fmt.extend, fmt.op_crc
        window, base, owner, after = b"", 0, None, -1
        for key, segment, entry in entries:
            _, offset, size, seq, expires = unpack(entry)
            if expires and expires <= now:
                continue
            whole = head + len(key) + size
            at = offset - base
            if segment is not owner or at < 0 or at + whole > len(window):
                near = segment is owner and 0 <= offset - after <= 4 * fmt.FRAME_HEAD
                window = segment.handle.read(max(whole, READ_AHEAD if near else whole), offset)
                base, owner, at = offset, segment, 0
            after = offset + whole
            content = window[at + head : at + whole]  # the key, and the value
            if (
                len(content) != whole - head
                or crc_of(window, at) != extend(segment.salt, content)
                or not content.startswith(key)
            ):
                self._read(segment, key, offset, size)  # told, and raised, there
            yield key, content[len(key) :], seq, expires

    def snapshot(self, now: int) -> Snapshot:
        """The store as it is at this moment, for as long as the snapshot is open."""
        if self.closed:
            raise StoreClosed("the store is closed")
        with self._lock:
            snapshot = Snapshot(self, self.last_seq, now)
            self._snapshots[id(snapshot)] = snapshot
            return snapshot

    def _end_snapshot(self, snapshot: Snapshot) -> None:
        with self._lock:
            self._snapshots.pop(id(snapshot), None)
            if not self._snapshots:
                self._history.clear()
                return
            held = [other.seq for other in self._snapshots.values()]
            for key, olds in list(self._history.items()):
                olds[:] = [
                    old
                    for old in olds
                    if any(ENTRY.unpack(old.entry)[3] <= seq < old.until for seq in held)
                ]
                if not olds:
                    del self._history[key]

    def _entry_at(self, key: bytes, seq: int) -> tuple[Segment, bytes] | None:
        """A key's entry as it was at a number. Under the lock."""
        entry = self._index.get(key)
        if entry is not None and ENTRY.unpack(entry)[3] <= seq:
            return self._segments[ENTRY.unpack(entry)[0]], entry
        for old in self._history.get(key, ()):
            if ENTRY.unpack(old.entry)[3] <= seq < old.until:
                return old.segment, old.entry
        return None

    # -------------------------------------------------------------------------------------------- compaction

    def sealed(self) -> list[Segment]:
        with self._lock:
            return [segment for segment in self._segments.values() if segment is not self._active]

    @property
    def sealed_count(self) -> int:
        return len(self._segments) - (self._active is not None)

    def seal(self) -> None:
        """Have the next write begin a new segment, so that the present one can be compacted."""
        with self._committing:
            if self._active is not None:
                self._seal(self._active)

    def choose(self, now: int, everything: bool = False) -> list[int]:
        """The segments whose compaction is worth it now."""
        facts = [segment.facts(now) for segment in self.sealed()]
        if everything:
            return policy.everything(facts, self.rules)
        room = max(0, self.reserve // 2 - ROOM_FOR_NAMES) if self.short else None
        return policy.choose(facts, self.rules, room)

    def compact(self, numbers: Sequence[int], now: int) -> Iterator[int]:
        """Bring what lives in some sealed segments into one new one. Yields bytes read or written, piece by
        piece, so that the caller can pace it; a caller that stops in the middle leaves all as it was.
        Raises OSError."""
        inputs = [segment for segment in self.sealed() if segment.name.number in set(numbers)]
        if not inputs or self.read_only or self.poison is not None:
            return
        name = fmt.SegmentName(self._take_number(), self._salt() & 0xFFFFFFFF)
        output: Segment | None = None
        try:
            output, hints = yield from self._write_output(name, inputs, now)
            if output is not None:
                if not self.short:
                    self._reserved(lambda: write_file(self.files, name.hint, hints))
                self.files.rename(name.file + NEW, name.file)
                self._sync_names()
            with self._switch:
                with self._lock:
                    staying = [s for s in self._segments.values() if s not in inputs]
                    if output is not None:
                        staying.append(output)
                self._write_manifest(staying)
                if output is not None:
                    with self._lock:
                        self._segments[output.slot] = output
        except BaseException:  # a stop in the middle is one too
            if self.poison is None:  # else the manifest on disk may name the output
                for file in (name.file + NEW, name.file, name.hint):
                    with suppress(OSError):
                        self.files.remove(file)
            raise
        if output is not None:
            yield from self._move(output)
        self._retire(inputs)
        self.compactions += 1
        self.restore_reserve()

    def _take_number(self) -> int:
        with self._switch:
            self._next_segment += 1
            return self._next_segment - 1

    def _write_output(
        self, name: fmt.SegmentName, inputs: list[Segment], now: int
    ) -> Generator[int, None, tuple[Segment | None, bytes]]:
        """The output under its `.new` name and its hint's bytes; None if nothing lives."""
        with self._lock:
            others = [s.lowest for s in self._segments.values() if s not in inputs]
        if self.foreign or any(f.what == "missing" for f in self.findings):
            others.append(0)  # who knows what is in there
        file = name.file + NEW
        handle = self.files.open(file, write=True, create=True)
        segment = Segment(name, handle, self._take_slot())
        segment.output = True
        header = fmt.encode_header(name, tuple(s.name.number for s in inputs))
        self._reserved(lambda: write_all(handle, header, 0))
        segment.size = segment.start = len(header)
        entries: list[tuple[bytes, int]] = []  # of the hint
        gathered: list[fmt.Op] = []
        size = 0

        def flush() -> int:
            nonlocal size
            if not gathered:
                return 0
            frame = fmt.encode_frame(gathered, name.salt, now)
            self._reserved(lambda: write_all(handle, frame, segment.size))
            base, rows = segment.size + fmt.FRAME_HEAD, []
            for op in gathered:
                rows.append((op.kind, op.key, len(op.value), base, op.seq, op.expires))
                base += fmt.op_size(op.key, len(op.value))
            entries.append((fmt.hint_entries(rows), len(rows)))
            segment.size += len(frame)
            gathered.clear()
            size = 0
            return len(frame)

        for source in inputs:
            for found in read_frames(source.handle, source.start, source.size, source.name.salt):
                if isinstance(found, Gap):
                    self._met(source, found)
                    continue
                for op in found.ops:
                    kept = self._kept(source, op, others, now)
                    if kept is None:
                        continue
                    gathered.append(kept)
                    size += fmt.op_size(kept.key, len(kept.value))
                    segment.lowest = min(segment.lowest, kept.seq)
                    if kept.kind == fmt.DELETE:
                        segment.deletions += fmt.op_size(kept.key, 0)
                    if size >= OUTPUT_FRAME:
                        yield flush()
                yield found.end - found.offset
        yield flush()
        if segment.size == segment.start:
            self.files.remove(file)
            return None, b""
        handle.sync()
        # The hint's head holds the segment's size, which is only known now.
        hint = fmt.HintWriter(segment.size)
        parts = [hint.head, *(hint.add(piece, count) for piece, count in entries), hint.end()]
        segment.hinted = True
        return segment, b"".join(parts)

    def _take_slot(self) -> int:
        with self._lock:
            self._next_slot += 1
            return self._next_slot - 1

    def _met(self, segment: Segment, gap: Gap) -> None:
        with suppress(OSError):
            quarantine(self.files, segment, gap.start, gap.end)
        self._damaged(
            segment,
            Finding("damage", segment.name.file, gap.start, gap.end, note="met by compaction"),
        )

    def _kept(self, source: Segment, op: fmt.Op, others: list[int], now: int) -> fmt.Op | None:
        """What the output gets of an operation."""
        with self._lock:
            entry = self._index.get(op.key)
            if op.kind == fmt.PUT:
                if entry is None:
                    return None
                slot, offset, *_ = ENTRY.unpack(entry)
                if slot != source.slot or offset != op.offset:
                    return None
                if not _over(op.expires, now):
                    return op
                self._forget(op.key, self._next_seq)
                del self._index[op.key]
            elif entry is not None and ENTRY.unpack(entry)[3] > op.seq:
                return None
        # What is over is as good as deleted: an older record of its key must not come back.
        if policy.may_drop_deletion(op.seq, others):
            return None
        return fmt.Op(fmt.DELETE, op.key, b"", op.seq)

    def _move(self, output: Segment) -> Iterator[int]:
        """Turn index entries to the output, a frame at a time."""
        for found in read_frames(output.handle, output.start, output.size, output.name.salt):
            if not isinstance(found, Frame):
                continue
            with self._lock:
                for op in found.ops:
                    entry = self._index.get(op.key)
                    if op.kind != fmt.PUT or entry is None:
                        continue
                    slot, _, value_size, seq, expires = ENTRY.unpack(entry)
                    if seq != op.seq or slot == output.slot:
                        continue
                    size = fmt.op_size(op.key, value_size)
                    self._index[op.key] = ENTRY.pack(
                        output.slot, op.offset, value_size, seq, expires
                    )
                    self._segments[slot].live -= size
                    output.live += size
                    if expires:
                        self._segments[slot].note_expiry(expires, -size)
                        output.note_expiry(expires, size)
            yield found.end - found.offset

    def _retire(self, inputs: list[Segment]) -> None:
        with self._lock:
            lost = []
            if any(
                segment.live > 0 for segment in inputs
            ):  # entries that no whole frame answers for
                slots = {segment.slot for segment in inputs}
                lost = [
                    key for key, entry in self._index.items() if ENTRY.unpack(entry)[0] in slots
                ]
                for key in lost:
                    del self._index[key]
            for segment in inputs:
                del self._segments[segment.slot]
        if lost:
            self.findings.append(
                Finding(
                    "damage",
                    inputs[0].name.file,
                    records=len(lost),
                    note="values that could not be read are gone from the index",
                )
            )
        for segment in inputs:
            for file in (segment.name.file, segment.name.hint):
                with suppress(OSError):  # left over: the next opening sees to it
                    self.files.remove(file)

    def write_hints(self) -> Iterator[int]:
        """Hint files for sealed segments that have none. Yields bytes read. Raises OSError."""
        for segment in self.sealed():
            if segment.hinted or segment.damaged or self.read_only or self.poison is not None:
                continue
            yield from self._write_hint(segment)

    def _write_hint(self, segment: Segment) -> Iterator[int]:
        writer = fmt.HintWriter(segment.size)
        parts = [writer.head]
        for found in read_frames(segment.handle, segment.start, segment.size, segment.name.salt):
            if isinstance(found, Gap):
                self._met(segment, found)
                return
            rows = [
                (op.kind, op.key, len(op.value), op.offset, op.seq, op.expires) for op in found.ops
            ]
            parts.append(writer.add(fmt.hint_entries(rows), len(rows)))
            yield found.end - found.offset
        parts.append(writer.end())
        with self._lock:
            if segment.slot not in self._segments:
                return
        write_file(self.files, segment.name.hint, b"".join(parts))
        segment.hinted = True

    # ------------------------------------------------------------------------------------------ the room
    # aside

    def _reserved(self, write: Callable[[], None]) -> None:
        """Write for compaction, if need be in the room kept aside."""
        try:
            write()
        except OSError as error:
            if error.errno != errno.ENOSPC or not self._release_reserve():
                raise
            write()

    def _halve_reserve(self) -> bool:
        """Half of it may be used for deletions; the other is for compaction, or they would free nothing."""
        self.short = True
        try:
            handle = self.files.open(RESERVE, write=True)
            if handle.size() <= self.reserve // 2:
                return False
            handle.truncate(self.reserve // 2)
        except OSError:
            return False
        return True

    def _release_reserve(self) -> bool:
        self.short = True
        try:
            self.files.remove(RESERVE)
        except OSError:
            return False
        return True

    def restore_reserve(self) -> None:
        """Set room aside again, as soon as there is some."""
        if not self.reserve or self.read_only or self.closed:
            return
        try:
            present = RESERVE in self.files.list()
            if not present or self.files.open(RESERVE).size() < self.reserve:
                self.files.reserve(RESERVE, self.reserve)
            self.short = False
        except OSError as error:
            self.short = error.errno in (errno.ENOSPC, errno.EDQUOT)

    # -------------------------------------------------------------------------------------- backup,
    # figures, end

    def backup(self, target: Files) -> Iterator[int]:
        """Copy the store as it is now to an empty directory, while it goes on. Yields bytes copied."""
        if target.list():
            raise StoreError("backup: the target is not empty")
        with self._switch, self._lock:
            parts = [
                (segment.name, segment.handle, segment.size) for segment in self._segments.values()
            ]
            manifest = fmt.Manifest(
                tuple(sorted(name for name, _, _ in parts)), self._next_segment, self._next_seq
            )
        for name, handle, size in parts:
            copy = target.open(name.file, write=True, create=True)
            for at in range(0, size, 1 << 20):
                piece = handle.read(min(1 << 20, size - at), at)
                write_all(copy, piece, at)
                yield len(piece)
            copy.sync()
        write_file(target, MANIFEST, fmt.encode_manifest(manifest))
        target.sync_names()

    def stat(self, now: int) -> dict:
        """How the store stands; sizes in bytes."""
        with self._lock:
            segments = [segment.facts(now) for segment in self._segments.values()]
            keys = len(self._index)
        return {
            "format": fmt.FORMAT,
            "keys": keys,
            "segments": len(segments),
            "size": sum(s.size for s in segments),
            "live": sum(s.live for s in segments),
            "garbage": sum(s.garbage for s in segments),
            "last_version": self.last_seq,
            "snapshots": len(self._snapshots),
            "syncs": self.syncs,
            "written": self.written,
            "compactions": self.compactions,
            "short": self.short,
            "read_only": self.read_only,
            "poisoned": str(self.poison) if self.poison is not None else "",
            "later_format": list(self.foreign),
            "quarantine": [name for name in self.files.list() if name.startswith("quarantine/")],
            "findings": [finding.as_dict() for finding in self.findings],
        }

    def close(self) -> None:
        """Sync, leave hints for a quick opening, and let the directory go."""
        if self.closed:
            return
        self.seal()
        with suppress(OSError):
            for _ in self.write_hints():
                pass
        self.closed = True
        self.files.unlock()


class Snapshot:
    """A consistent view; `close` it, or use it in a `with` statement: it keeps old files open."""

    def __init__(self, engine: Engine, seq: int, now: int):
        self._engine = engine
        self.seq = seq
        self.now = now

    def get(self, key: bytes) -> Found | None:
        with self._engine._lock:
            at = self._engine._entry_at(key, self.seq)
        if at is None:
            return None
        segment, entry = at
        _, offset, size, seq, expires = ENTRY.unpack(entry)
        if _over(expires, self.now):
            return None
        return Found(self._engine._read(segment, key, offset, size), seq, expires)

    def scan(
        self,
        *,
        prefix: bytes = b"",
        start: bytes = b"",
        stop: bytes | None = None,
        reverse: bool = False,
    ) -> Iterator[tuple[bytes, Found]]:
        """As the engine's, all of one moment."""
        engine = self._engine
        low, high = _bounds(prefix, start, stop)
        while True:
            with engine._lock:
                # Keys of both maps, merged; the second holds what was overwritten or deleted since.
                keys = set()
                ends = []
                for source in (engine._index, engine._history):
                    some = []
                    for key in source.irange(low, high, (True, False), reverse):
                        some.append(key)
                        if len(some) == SCAN_CHUNK:
                            ends.append(key)
                            break
                    keys.update(some)
                # Beyond the nearer end of the two, the other one may have keys that are not looked at yet.
                end = (max(ends) if reverse else min(ends)) if ends else None
                chunk = []
                for key in sorted(keys, reverse=reverse):
                    if end is not None and (key < end if reverse else key > end):
                        break
                    if (at := engine._entry_at(key, self.seq)) is not None:
                        chunk.append((key, *at))
            for key, value, seq, expires in engine._read_chunk(chunk, self.now):
                yield key, Found(value, seq, expires)
            if end is None:
                return
            if reverse:
                high = end
            else:
                low = end + b"\0"

    def close(self) -> None:
        self._engine._end_snapshot(self)

    def __enter__(self) -> Snapshot:
        return self

    def __exit__(self, *exc) -> None:
        self.close()


def _over(expires: int, now: int) -> bool:
    return bool(expires) and expires <= now


def _bounds(prefix: bytes, start: bytes, stop: bytes | None) -> tuple[bytes, bytes | None]:
    """The range of keys that a prefix and two ends leave."""
    low = max(prefix, start)
    last = prefix.rstrip(b"\xff")
    after = last[:-1] + bytes([last[-1] + 1]) if last else None
    ends = [end for end in (after, stop) if end is not None]
    return low, min(ends) if ends else None
