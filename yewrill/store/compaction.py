"""Compaction, which copies the live records of some sealed segments to one new segment, and hint files.

A sealed segment is one that is no longer written to. A hint file lists the keys and offsets of a sealed
segment, so that the store can be opened without reading the segment itself.

Steps of a compaction: the output is written under a name ending in `.new` and synced, the file is renamed,
the directory is synced, the manifest is replaced, index entries are moved to the output, and the inputs are
removed. After a crash the inputs are in use if the manifest was not replaced yet, else the output.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from yewrill.store import format as fmt
from yewrill.store import policy
from yewrill.store.catalog import Catalog
from yewrill.store.files import write_all, write_file
from yewrill.store.findings import Finding, FindingKind, Findings
from yewrill.store.frames import Frame, Gap, read_frames
from yewrill.store.key_directory import KeyDirectory
from yewrill.store.reader import is_expired
from yewrill.store.recovery import NEW_SUFFIX, quarantine
from yewrill.store.reserve import SpaceReserve
from yewrill.store.segment import ENTRY, Segment

# Operations are collected into one frame of the output until they reach this size.
OUTPUT_FRAME_BYTES = 128 * 1024


@dataclass(slots=True)
class _Output:
    """The output segment of a compaction while it is written."""

    segment: Segment
    # Time of the compaction in ms, written in the headers of the output's frames.
    time: int
    # Parts of the hint file: the encoded entries of a part, and their number.
    hint_parts: list[tuple[bytes, int]] = field(default_factory=list)
    pending_ops: list[fmt.Op] = field(default_factory=list)
    pending_bytes: int = 0

    def add(self, op: fmt.Op) -> None:
        """Adds an operation to the next frame."""
        size = fmt.op_size(op.key, len(op.value))
        self.pending_ops.append(op)
        self.pending_bytes += size
        self.segment.lowest_seq = min(self.segment.lowest_seq, op.seq)
        if op.kind == fmt.DELETE:
            self.segment.deletions += size

    def flush(self, reserve: SpaceReserve) -> int:
        """Writes the pending operations as one frame; returns its size in bytes. Raises OSError."""
        if not self.pending_ops:
            return 0
        segment = self.segment
        frame = fmt.encode_frame(self.pending_ops, segment.salt, self.time)
        reserve.write(lambda: write_all(segment.handle, frame, segment.size))
        offset, rows = segment.size + fmt.FRAME_HEADER_BYTES, []
        for op in self.pending_ops:
            rows.append((op.kind, op.key, len(op.value), offset, op.seq, op.expires))
            offset += fmt.op_size(op.key, len(op.value))
        self.hint_parts.append((fmt.encode_hint_entries(rows), len(rows)))
        segment.size += len(frame)
        self.pending_ops.clear()
        self.pending_bytes = 0
        return len(frame)

    def hint(self) -> bytes:
        """Returns the hint file's content. It states the segment's size, so all frames must be written."""
        writer = fmt.HintWriter(self.segment.size)
        entries = [writer.add(piece, count) for piece, count in self.hint_parts]
        return b"".join([writer.header, *entries, writer.end()])


class Compactor:
    """Compacts sealed segments and writes their hints. One call at a time; commits and reads may go on."""

    def __init__(
        self,
        catalog: Catalog,
        directory: KeyDirectory,
        reserve: SpaceReserve,
        findings: Findings,
    ):
        self._catalog = catalog
        self._files = catalog.files
        self._directory = directory
        self._reserve = reserve
        self._findings = findings
        self.finished_count = 0  # number of compactions finished since the store was opened

    def compact(self, inputs: list[Segment], now: int) -> Iterator[int]:
        """Compacts sealed segments into one, or into none if no record of theirs is live.

        Yields the bytes read or written after each step, so that the caller can limit the rate. A caller that
        closes the iterator before the manifest is replaced leaves the store unchanged. Raises OSError.
        """
        if not inputs or not self._catalog.writable:
            return
        name = self._catalog.new_name()
        output: Segment | None = None
        try:
            output = yield from self._write_output(name, inputs, now)
            self._switch_manifest(inputs, output)
        except BaseException:  # also GeneratorExit, raised when the caller closes the iterator
            # After a failed sync the manifest on disk may list the output, so the files have to stay.
            if self._catalog.poisoned_by is None:
                for file in (name.file + NEW_SUFFIX, name.file, name.hint):
                    with suppress(OSError):
                        self._files.remove(file)
            raise
        if output is not None:
            yield from self._move_entries(output)
        self._remove_inputs(inputs)
        self.finished_count += 1

    def _write_output(
        self, name: fmt.SegmentName, inputs: list[Segment], now: int
    ) -> Generator[int, None, Segment | None]:
        """Writes and syncs the output segment and its hint file, and syncs their names in the directory.

        Returns the output segment, None if no record is live.
        """
        with self._directory.lock:
            others = [s.lowest_seq for s in self._directory.segments.values() if s not in inputs]
        if self._catalog.later_format or self._findings.mentions(FindingKind.MISSING):
            # Segments that are missing or in a later format may hold records with any sequence number.
            others.append(0)
        output = self._create_output(name, inputs, now)
        for source in inputs:
            yield from self._copy(source, output, others, now)
        yield output.flush(self._reserve)
        segment = output.segment
        if segment.size == segment.frames_start:
            self._files.remove(name.file + NEW_SUFFIX)
            return None
        segment.handle.sync()
        hint = output.hint()
        segment.hinted = True
        if not self._reserve.low:
            self._reserve.write(lambda: write_file(self._files, name.hint, hint))
        self._files.rename(name.file + NEW_SUFFIX, name.file)
        self._catalog.sync_names()
        return segment

    def _create_output(self, name: fmt.SegmentName, inputs: list[Segment], now: int) -> _Output:
        handle = self._files.open(name.file + NEW_SUFFIX, write=True, create=True)
        segment = Segment(name, handle, self._directory.take_slot())
        segment.from_compaction = True
        header = fmt.encode_segment_header(name, tuple(s.name.number for s in inputs))
        self._reserve.write(lambda: write_all(handle, header, 0))
        segment.size = segment.frames_start = len(header)
        return _Output(segment, now)

    def _copy(self, source: Segment, output: _Output, others: list[int], now: int) -> Iterator[int]:
        for found in read_frames(source.handle, source.frames_start, source.size, source.salt):
            if isinstance(found, Gap):
                self._record_gap(source, found)
                continue
            for op in found.ops:
                surviving = self._surviving(source, op, others, now)
                if surviving is None:
                    continue
                output.add(surviving)
                if output.pending_bytes >= OUTPUT_FRAME_BYTES:
                    yield output.flush(self._reserve)
            yield found.end - found.offset

    def _surviving(
        self, source: Segment, op: fmt.Op, others: Sequence[int], now: int
    ) -> fmt.Op | None:
        """Returns the operation that the output gets in place of this one, None if it is dropped."""
        with self._directory.lock:
            entry = self._directory.index.get(op.key)
            if op.kind == fmt.PUT:
                if entry is None:
                    return None
                slot, offset, *_ = ENTRY.unpack(entry)
                if slot != source.slot or offset != op.offset:
                    return None
                if not is_expired(op.expires, now):
                    return op
                self._directory.remove_expired(op.key)
            elif entry is not None and ENTRY.unpack(entry)[3] > op.seq:
                return None
        # An expired value is replaced by a tombstone, so that no older record of its key becomes visible.
        if policy.may_drop_tombstone(op.seq, others):
            return None
        return fmt.Op(fmt.DELETE, op.key, b"", op.seq)

    def _switch_manifest(self, inputs: list[Segment], output: Segment | None) -> None:
        directory = self._directory
        with self._catalog.lock:
            with directory.lock:
                staying = [s for s in directory.segments.values() if s not in inputs]
                if output is not None:
                    staying.append(output)
            self._catalog.write_manifest([s.name for s in staying], directory.next_seq)
            if output is not None:
                with directory.lock:
                    directory.segments[output.slot] = output

    def _move_entries(self, output: Segment) -> Iterator[int]:
        """Makes index entries refer to the output, one frame at a time."""
        for found in read_frames(output.handle, output.frames_start, output.size, output.salt):
            if not isinstance(found, Frame):
                continue
            with self._directory.lock:
                for op in found.ops:
                    self._directory.move(op, output)
            yield found.end - found.offset

    def _remove_inputs(self, inputs: list[Segment]) -> None:
        lost = self._directory.remove_segments(inputs)
        if lost:
            note = "unreadable values were removed from the index"
            self._findings.append(
                Finding(FindingKind.DAMAGE, inputs[0].name.file, records=lost, note=note)
            )
        for segment in inputs:
            for file in (segment.name.file, segment.name.hint):
                # Files that can't be removed now are removed when the store is next opened.
                with suppress(OSError):
                    self._files.remove(file)

    def _record_gap(self, segment: Segment, gap: Gap) -> None:
        with suppress(OSError):
            quarantine(self._files, segment, gap.start, gap.end)
        self._findings.add_damage(
            segment,
            Finding(
                FindingKind.DAMAGE,
                segment.name.file,
                gap.start,
                gap.end,
                note="detected by compaction",
            ),
        )

    # -- hint files

    def write_hints(self, segments: list[Segment]) -> Iterator[int]:
        """Writes the missing hint files of sealed segments. Yields bytes read. Raises OSError."""
        for segment in segments:
            if segment.hinted or segment.damaged or not self._catalog.writable:
                continue
            yield from self._write_hint(segment)

    def _write_hint(self, segment: Segment) -> Iterator[int]:
        writer = fmt.HintWriter(segment.size)
        parts = [writer.header]
        for found in read_frames(segment.handle, segment.frames_start, segment.size, segment.salt):
            if isinstance(found, Gap):
                self._record_gap(segment, found)
                return
            rows = [
                (op.kind, op.key, len(op.value), op.offset, op.seq, op.expires) for op in found.ops
            ]
            parts.append(writer.add(fmt.encode_hint_entries(rows), len(rows)))
            yield found.end - found.offset
        parts.append(writer.end())
        with self._directory.lock:
            if segment.slot not in self._directory.segments:
                return
        write_file(self._files, segment.name.hint, b"".join(parts))
        segment.hinted = True
