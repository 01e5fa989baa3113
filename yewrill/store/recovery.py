"""Recovery: rebuilds the state of an engine from a directory. It never fails because of damaged files.

A crash during any step is harmless, since the next recovery repeats it. The steps are:

1. *Manifest.* A valid manifest lists the segments of the store. A damaged one is moved to quarantine and
   rebuilt: all segments belong to the store except those that the header of another segment replaces.
2. *Leftovers.* A `.new` file is an unfinished write and is removed. A segment that the manifest does not list
   is removed if its number is lower than the manifest's next segment number (it was left out on purpose), if
   it is empty (a crash after its creation), or if it is an output of a compaction whose inputs are still
   listed. Any other unlisted segment holds records for no known reason: it is adopted and reported.
3. *Segments.* A segment with a valid hint file is loaded from that. Otherwise its frames are read: a tail
   that was cut short is truncated; damaged bytes before intact frames are copied to quarantine and skipped.
   The operation with the highest sequence number determines the value of a key.

If a repair can't be written (read-only or full disk), the file stays unchanged, and the next recovery tries
the same again.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from yewrill.store import format as fmt
from yewrill.store.files import QUARANTINE, Files, read_file, write_file
from yewrill.store.findings import Finding, FindingKind
from yewrill.store.frames import Frame, Gap, read_frames
from yewrill.store.segment import ENTRY, TOMBSTONE, Segment

MANIFEST = "MANIFEST"
NEW_SUFFIX = ".new"
MAX_HEADER_READ_BYTES = 1 << 20


@dataclass(slots=True)
class RecoveredState:
    """The state from which an engine starts."""

    index: SortedDict
    segments: dict[int, Segment]  # maps the slot in index entries to the segment
    next_segment: int
    next_seq: int
    findings: list[Finding]
    # Names of files in a later version of the format; the store never changes them.
    later_format: list[str]
    read_only: bool = False


# ------------------------------------------------------------------------------------- the steps of recovery


@dataclass(slots=True)
class _Recovery:
    files: Files
    findings: list[Finding] = field(default_factory=list)
    entries: dict[bytes, bytes] = field(default_factory=dict)
    read_only: bool = False
    highest_seq: int = 0  # highest sequence number found in the directory

    def add_finding(self, kind: FindingKind, file: str, *args, **more) -> None:
        self.findings.append(Finding(kind, file, *args, **more))

    def try_write(self, repair_file: Callable[[], None], file: str) -> bool:
        """Calls a repair that may fail; returns whether it succeeded, and reports an error.

        `file` is the name that the finding states.
        """
        try:
            repair_file()
            return True
        except FileNotFoundError:
            return True
        except OSError as error:
            self.read_only = self.read_only or error.errno in (
                errno.EROFS,
                errno.EACCES,
                errno.EPERM,
            )
            self.add_finding(FindingKind.UNWRITABLE, file, note=f"{error.strerror or error}")
            return False


def open_directory(files: Files, repair: bool = True) -> RecoveredState:
    """Returns the state of a directory. Without `repair`, no file is changed. Raises OSError."""
    recovery = _Recovery(files)
    present = files.list()
    names: dict[int, fmt.SegmentName] = {}
    for file in present:
        if file.endswith(".seg") and (name := fmt.segment_name(file)) is not None:
            names[name.number] = name
    numbers = [0, *names]
    headers, later_format = _read_headers(recovery, names)
    manifest = _read_manifest(recovery, present, repair)
    in_use, leftovers = _select_segments(recovery, manifest, names, headers)
    segments: dict[int, Segment] = {}
    for slot, name in enumerate(in_use):
        segment = Segment(name, files.open(name.file), slot)
        segment.size = segment.handle.size()
        header = headers.get(name.number)
        segment.frames_start = header[1] if header else _find_first_frame(segment)
        segment.from_compaction = bool(header and header[0])
        segment.damaged = header is None
        _load_segment(recovery, segment, name.hint in present, repair)
        segments[slot] = segment
    if repair:
        leftovers += [file for file in present if file.endswith(NEW_SUFFIX)]
        hints = {name.hint for name in names.values()}
        leftovers += [file for file in present if file.endswith(".hint") and file not in hints]
        for file in leftovers:
            recovery.try_write(lambda file=file: files.remove(file), file)
    numbers += [name.number for name in manifest.segments] if manifest else []
    index = _index(recovery.entries, segments)
    return RecoveredState(
        index,
        segments,
        max(max(numbers) + 1, manifest.next_segment if manifest else 1),
        max(recovery.highest_seq + 1, manifest.next_seq if manifest else 1),
        recovery.findings,
        later_format,
        recovery.read_only,
    )


def _read_headers(
    recovery: _Recovery, names: dict[int, fmt.SegmentName]
) -> tuple[dict[int, tuple[tuple[int, ...], int]], list[str]]:
    """Returns the segments' decoded headers by number, and the files in a later format.

    A segment in a later format is removed from `names`.
    """
    headers, later_format = {}, []
    for number, name in list(names.items()):
        handle = recovery.files.open(name.file)
        try:
            headers[number] = fmt.decode_segment_header(
                handle.read(min(handle.size(), MAX_HEADER_READ_BYTES), 0), name
            )
        except fmt.LaterFormat as error:
            recovery.add_finding(
                FindingKind.LATER_FORMAT, name.file, note=f"{error}: left unchanged"
            )
            later_format.append(name.file)
            del names[number]
        except fmt.Malformed as error:
            # A segment file that is shorter than a header never held a record.
            if handle.size() >= fmt.segment_header_size(0):
                recovery.add_finding(
                    FindingKind.HEADER, name.file, 0, fmt.segment_header_size(0), 0, note=str(error)
                )
    return headers, later_format


def _read_manifest(recovery: _Recovery, present: list[str], repair: bool) -> fmt.Manifest | None:
    if MANIFEST not in present:
        if any(file.endswith(".seg") for file in present):
            recovery.add_finding(
                FindingKind.MANIFEST, MANIFEST, note="missing: rebuilt from the segments"
            )
        return None
    try:
        return fmt.decode_manifest(read_file(recovery.files, MANIFEST))
    except (fmt.Malformed, fmt.LaterFormat) as error:
        recovery.add_finding(
            FindingKind.MANIFEST, MANIFEST, note=f"{error}: rebuilt from the segments"
        )
    if repair:
        quarantine_name = next(
            name for i in range(10**6) if (name := f"{QUARANTINE}{MANIFEST}.{i}") not in present
        )
        recovery.try_write(lambda: recovery.files.rename(MANIFEST, quarantine_name), MANIFEST)
    return None


def _select_segments(
    recovery: _Recovery,
    manifest: fmt.Manifest | None,
    names: dict[int, fmt.SegmentName],
    headers: dict[int, tuple[tuple[int, ...], int]],
) -> tuple[list[fmt.SegmentName], list[str]]:
    """Returns the segments of the store, oldest first, and the files of all other segments."""
    if manifest is None:
        replaced = {number for before, _ in headers.values() for number in before}
        in_use = names.keys() - replaced
    else:
        in_use = _find_listed_segments(recovery, manifest, names)
        in_use |= _find_adopted_segments(recovery, manifest, names, headers, in_use)
    leftovers = []
    for number in sorted(names.keys() - in_use):
        leftovers += [names[number].file, names[number].hint]
    return [names[number] for number in sorted(in_use)], leftovers


def _find_listed_segments(
    recovery: _Recovery, manifest: fmt.Manifest, names: dict[int, fmt.SegmentName]
) -> set[int]:
    """Returns the numbers of the manifest's segments that exist, and reports missing ones."""
    later_format = {f.file for f in recovery.findings if f.kind == FindingKind.LATER_FORMAT}
    for name in manifest.segments:
        if name.number not in names and name.file not in later_format:
            recovery.add_finding(FindingKind.MISSING, name.file, note="listed in the manifest")
    return {name.number for name in manifest.segments} & names.keys()


def _find_adopted_segments(
    recovery: _Recovery,
    manifest: fmt.Manifest,
    names: dict[int, fmt.SegmentName],
    headers: dict[int, tuple[tuple[int, ...], int]],
    in_use: set[int],
) -> set[int]:
    """Returns the numbers of segments that hold records and are newer than the manifest."""
    listed = {name.number for name in manifest.segments}
    replaced = {old for number in in_use for old in headers.get(number, ((), 0))[0]}
    adopted = set()
    for number in names.keys() - listed:
        output_of = set(headers.get(number, ((), 0))[0])
        if number in replaced or output_of & listed:
            continue
        # The segment existed when the manifest was written, and was left out on purpose.
        if number < manifest.next_segment:
            continue
        if _has_no_frames(recovery, names[number], headers.get(number)):
            continue
        note = "holds records but is not listed in the manifest"
        recovery.add_finding(FindingKind.ADOPTED, names[number].file, note=note)
        adopted.add(number)
    return adopted


def _has_no_frames(
    recovery: _Recovery, name: fmt.SegmentName, header: tuple[tuple[int, ...], int] | None
) -> bool:
    handle = recovery.files.open(name.file)
    size = handle.size()
    start = header[1] if header else 0
    return not any(
        isinstance(found, Frame) for found in read_frames(handle, start, size, name.salt)
    )


def _find_first_frame(segment: Segment) -> int:
    """Returns the offset of the first intact frame of a segment, its size if there is none."""
    for found in read_frames(segment.handle, 0, segment.size, segment.name.salt):
        if isinstance(found, Frame):
            return found.offset
    return segment.size


def _load_segment(recovery: _Recovery, segment: Segment, hinted: bool, repair: bool) -> None:
    if hinted:
        try:
            data = read_file(recovery.files, segment.name.hint)
            _apply_entries(recovery, segment, fmt.decode_hint(data, segment.size))
            segment.hinted = True
            return
        except (fmt.Malformed, OSError) as error:
            recovery.add_finding(FindingKind.HINT, segment.name.hint, note=f"{error}: hint ignored")
    _apply_entries(recovery, segment, _scan_segment(recovery, segment, repair))


def _scan_segment(recovery: _Recovery, segment: Segment, repair: bool) -> Iterator[fmt.HintEntry]:
    last: int | None = None
    gap: Gap | None = None
    cut = 0
    for found in read_frames(segment.handle, segment.frames_start, segment.size, segment.name.salt):
        if isinstance(found, Frame):
            if gap is not None:
                _quarantine_file(
                    recovery, segment, gap, _lost_operations(segment, last, found), repair
                )
                gap = None
            for op in found.ops:
                yield op.kind, op.key, len(op.value), op.offset, op.seq, op.expires
            last = found.ops[-1].seq if found.ops else last
        elif found.tail:
            cut = found.start
            if found.torn:
                recovery.add_finding(FindingKind.TORN, segment.name.file, found.start, found.end, 0)
            else:
                _quarantine_file(recovery, segment, found, None, repair)
        else:
            gap = found if gap is None else Gap(gap.start, found.end)
    if cut and gap is not None:
        _quarantine_file(recovery, segment, gap, None, repair)
    if cut:
        if repair:
            recovery.try_write(lambda: _truncate(recovery.files, segment, cut), segment.name.file)
        segment.size = cut


def _truncate(files: Files, segment: Segment, size: int) -> None:
    handle = files.open(segment.name.file, write=True)
    handle.truncate(size)
    handle.sync()


def _lost_operations(segment: Segment, last: int | None, frame: Frame) -> int | None:
    """Returns the number of operations lost in the gap before a frame, None if unknown.

    Sequence numbers are contiguous in segments that were not written by compaction.
    """
    if last is None or segment.from_compaction or not frame.ops:
        return None
    return max(0, frame.ops[0].seq - last - 1)


def _quarantine_file(
    recovery: _Recovery, segment: Segment, gap: Gap, records: int | None, repair: bool
) -> None:
    segment.damaged = segment.damaged or not gap.tail
    recovery.add_finding(FindingKind.DAMAGE, segment.name.file, gap.start, gap.end, records)
    if repair:
        recovery.try_write(
            lambda: quarantine(recovery.files, segment, gap.start, gap.end), segment.name.file
        )


def quarantine(files: Files, segment: Segment, start: int, end: int) -> None:
    """Copies a range of a segment to the quarantine, unless it is there already. Raises OSError."""
    name = f"{QUARANTINE}{segment.name.file}.{start}-{end}"
    if name in files.list():
        return
    write_file(files, name, segment.handle.read(min(end - start, 4 * fmt.MAX_VALUE_BYTES), start))
    files.sync_names()


def _apply_entries(recovery: _Recovery, segment: Segment, ops: Iterator[fmt.HintEntry]) -> None:
    """Adds a segment's operations to the entries, except where a newer one of the key is known."""
    entries, pack, unpack, slot = recovery.entries, ENTRY.pack, ENTRY.unpack, segment.slot
    get = entries.get
    highest_seq, lowest_seq = recovery.highest_seq, segment.lowest_seq
    for kind, key, size, offset, seq, expires in ops:
        lowest_seq = min(lowest_seq, seq)
        highest_seq = max(highest_seq, seq)
        old = get(key)
        if old is not None and unpack(old)[3] >= seq:
            continue
        entries[key] = pack(slot, offset, size if kind == fmt.PUT else TOMBSTONE, seq, expires)
    recovery.highest_seq, segment.lowest_seq = highest_seq, lowest_seq


def _index(entries: dict[bytes, bytes], segments: dict[int, Segment]) -> SortedDict:
    """Returns the ordered index without tombstones, and counts the live bytes of each segment."""
    unpack, header_bytes = ENTRY.unpack, fmt.OP_HEADER_BYTES
    deleted_keys = []
    live = dict.fromkeys(segments, 0)
    for key, entry in entries.items():
        slot, _, size, _, expires = unpack(entry)
        if size == TOMBSTONE:
            deleted_keys.append(key)
            segments[slot].deletions += header_bytes + len(key)
        else:
            live[slot] += header_bytes + len(key) + size
            if expires:
                segments[slot].add_expiring_bytes(expires, header_bytes + len(key) + size)
    for key in deleted_keys:
        del entries[key]
    for slot, size in live.items():
        segments[slot].live = size
    return SortedDict(entries)
