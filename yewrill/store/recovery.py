"""Recovery: from whatever lies in a directory to the state of an engine. It never fails for what it finds.

The order of steps, and why a crash at any of them does no harm:

1. *Manifest.* If it can be read, it says which segments are in force. If not, it is moved to quarantine and
   rebuilt from the segments: all of them are, but those that another whole segment's header replaces.
2. *Leftovers.* A `.new` file is work that never came into force: removed. A segment that isn't in the
   manifest is removed too if its number is lower than the manifest's next one (it was left out on purpose),
   if it is empty (a crash between making and naming it), or if it is an output whose inputs are still in
   force. Anything else holds records and has no explanation: adopted, and reported.
3. *Segments.* One with a sound hint is taken from that. Else its frames are read: a tail that never was
   whole is cut off; what is damaged before whole frames is copied to quarantine and skipped. Of each key
   the highest sequence number counts.

What can't be written (a read-only or full disk) is left as it is: the same steps find the same things next
time.
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

MANIFEST, NEW = "MANIFEST", ".new"
MAX_HEADER_READ_BYTES = 1 << 20


@dataclass(slots=True)
class State:
    """What an engine starts from."""

    index: SortedDict
    segments: dict[int, Segment]  # by slot
    next_segment: int
    next_seq: int
    findings: list[Finding]
    later_format: list[str]  # names of files of a later format, which are left alone
    read_only: bool = False


# ----------------------------------------------------------------------------------------------- one opening


@dataclass(slots=True)
class _Opening:
    files: Files
    findings: list[Finding] = field(default_factory=list)
    table: dict[bytes, bytes] = field(default_factory=dict)
    read_only: bool = False
    highest: int = 0  # sequence number met

    def add_finding(self, kind: FindingKind, file: str, *args, **more) -> None:
        self.findings.append(Finding(kind, file, *args, **more))

    def try_write(self, act: Callable[[], None], what: str) -> bool:
        """Do what can be left undone: a directory that can't be written is served as it is."""
        try:
            act()
            return True
        except FileNotFoundError:
            return True
        except OSError as error:
            self.read_only = self.read_only or error.errno in (
                errno.EROFS,
                errno.EACCES,
                errno.EPERM,
            )
            self.add_finding(FindingKind.UNWRITABLE, what, note=f"{error.strerror or error}")
            return False


def open_directory(files: Files, repair: bool = True) -> State:
    """The state of a directory. Without `repair`, nothing in it is changed."""
    opening = _Opening(files)
    present = files.list()
    names: dict[int, fmt.SegmentName] = {}
    for file in present:
        if file.endswith(".seg") and (name := fmt.segment_name(file)) is not None:
            names[name.number] = name
    numbers = [0, *names]
    headers, later_format = _headers(opening, names)
    manifest = _manifest(opening, present, repair)
    chosen, leftovers = _segments_in_force(opening, manifest, names, headers)
    segments: dict[int, Segment] = {}
    for slot, name in enumerate(chosen):
        segment = Segment(name, files.open(name.file), slot)
        segment.size = segment.handle.size()
        header = headers.get(name.number)
        segment.start = header[1] if header else _first_frame(segment)
        segment.output = bool(header and header[0])
        segment.damaged = header is None
        _load(opening, segment, name.hint in present, repair)
        segments[slot] = segment
    if repair:
        leftovers += [file for file in present if file.endswith(NEW)]
        hints = {name.hint for name in names.values()}
        leftovers += [file for file in present if file.endswith(".hint") and file not in hints]
        for file in leftovers:
            opening.try_write(lambda file=file: files.remove(file), file)
    numbers += [name.number for name in manifest.segments] if manifest else []
    index = _index(opening.table, segments)
    return State(
        index,
        segments,
        max(max(numbers) + 1, manifest.next_segment if manifest else 1),
        max(opening.highest + 1, manifest.next_seq if manifest else 1),
        opening.findings,
        later_format,
        opening.read_only,
    )


def _headers(
    opening: _Opening, names: dict[int, fmt.SegmentName]
) -> tuple[dict[int, tuple[tuple[int, ...], int]], list[str]]:
    """Each segment's header: what it replaces and where its frames begin. Later formats leave `names`."""
    headers, later_format = {}, []
    for number, name in list(names.items()):
        handle = opening.files.open(name.file)
        try:
            headers[number] = fmt.decode_segment_header(
                handle.read(min(handle.size(), MAX_HEADER_READ_BYTES), 0), name
            )
        except fmt.LaterFormat as error:
            opening.add_finding(FindingKind.LATER_FORMAT, name.file, note=f"{error}: left alone")
            later_format.append(name.file)
            del names[number]
        except fmt.Malformed as error:
            if handle.size() >= fmt.segment_header_size(0):  # else it never held a record
                opening.add_finding(
                    FindingKind.HEADER, name.file, 0, fmt.segment_header_size(0), 0, note=str(error)
                )
    return headers, later_format


def _manifest(opening: _Opening, present: list[str], repair: bool) -> fmt.Manifest | None:
    if MANIFEST not in present:
        if any(file.endswith(".seg") for file in present):
            opening.add_finding(
                FindingKind.MANIFEST, MANIFEST, note="missing: made up from the segments"
            )
        return None
    try:
        return fmt.decode_manifest(read_file(opening.files, MANIFEST))
    except (fmt.Malformed, fmt.LaterFormat) as error:
        opening.add_finding(
            FindingKind.MANIFEST, MANIFEST, note=f"{error}: made up from the segments"
        )
    if repair:
        quarantine_name = next(
            name for i in range(10**6) if (name := f"{QUARANTINE}{MANIFEST}.{i}") not in present
        )
        opening.try_write(lambda: opening.files.rename(MANIFEST, quarantine_name), MANIFEST)
    return None


def _segments_in_force(
    opening: _Opening,
    manifest: fmt.Manifest | None,
    names: dict[int, fmt.SegmentName],
    headers: dict[int, tuple[tuple[int, ...], int]],
) -> tuple[list[fmt.SegmentName], list[str]]:
    """Return the segments to serve, oldest first, and the files of those that are not in force."""
    if manifest is None:
        replaced = {number for before, _ in headers.values() for number in before}
        chosen = names.keys() - replaced
    else:
        chosen = _listed_segments(opening, manifest, names)
        chosen |= _adopted_segments(opening, manifest, names, headers, chosen)
    leftovers = []
    for number in sorted(names.keys() - chosen):
        leftovers += [names[number].file, names[number].hint]
    return [names[number] for number in sorted(chosen)], leftovers


def _listed_segments(
    opening: _Opening, manifest: fmt.Manifest, names: dict[int, fmt.SegmentName]
) -> set[int]:
    """Return the numbers of the manifest's segments that are there, and report the others."""
    later_format = {f.file for f in opening.findings if f.kind == FindingKind.LATER_FORMAT}
    for name in manifest.segments:
        if name.number not in names and name.file not in later_format:
            opening.add_finding(FindingKind.MISSING, name.file, note="named in the manifest")
    return {name.number for name in manifest.segments} & names.keys()


def _adopted_segments(
    opening: _Opening,
    manifest: fmt.Manifest,
    names: dict[int, fmt.SegmentName],
    headers: dict[int, tuple[tuple[int, ...], int]],
    in_force: set[int],
) -> set[int]:
    """Return the numbers of segments with records that the manifest's writer did not know of."""
    listed = {name.number for name in manifest.segments}
    replaced = {old for number in in_force for old in headers.get(number, ((), 0))[0]}
    adopted = set()
    for number in names.keys() - listed:
        output_of = set(headers.get(number, ((), 0))[0])
        if number in replaced or output_of & listed:
            continue
        if number < manifest.next_segment:  # the manifest's writer left it out on purpose
            continue
        if _empty(opening, names[number], headers.get(number)):
            continue
        note = "holds records, not in the manifest"
        opening.add_finding(FindingKind.ADOPTED, names[number].file, note=note)
        adopted.add(number)
    return adopted


def _empty(
    opening: _Opening, name: fmt.SegmentName, header: tuple[tuple[int, ...], int] | None
) -> bool:
    handle = opening.files.open(name.file)
    size = handle.size()
    start = header[1] if header else 0
    return not any(
        isinstance(found, Frame) for found in read_frames(handle, start, size, name.salt)
    )


def _first_frame(segment: Segment) -> int:
    """Where the frames of a segment with a damaged header begin, as far as can be told."""
    for found in read_frames(segment.handle, 0, segment.size, segment.name.salt):
        if isinstance(found, Frame):
            return found.offset
    return segment.size


def _load(opening: _Opening, segment: Segment, hinted: bool, repair: bool) -> None:
    if hinted:
        try:
            data = read_file(opening.files, segment.name.hint)
            _apply_entries(opening, segment, fmt.decode_hint(data, segment.size))
            segment.hinted = True
            return
        except (fmt.Malformed, OSError) as error:
            opening.add_finding(FindingKind.HINT, segment.name.hint, note=f"{error}: not used")
    _apply_entries(opening, segment, _scan_segment(opening, segment, repair))


def _scan_segment(opening: _Opening, segment: Segment, repair: bool) -> Iterator[fmt.HintEntry]:
    last: int | None = None
    gap: Gap | None = None
    cut = 0
    for found in read_frames(segment.handle, segment.start, segment.size, segment.name.salt):
        if isinstance(found, Frame):
            if gap is not None:
                _quarantine_file(
                    opening, segment, gap, _lost_operations(segment, last, found), repair
                )
                gap = None
            for op in found.ops:
                yield op.kind, op.key, len(op.value), op.offset, op.seq, op.expires
            last = found.ops[-1].seq if found.ops else last
        elif found.tail:
            cut = found.start
            if found.explained:
                opening.add_finding(FindingKind.TORN, segment.name.file, found.start, found.end, 0)
            else:
                _quarantine_file(opening, segment, found, None, repair)
        else:
            gap = found if gap is None else Gap(gap.start, found.end)
    if cut and gap is not None:
        _quarantine_file(opening, segment, gap, None, repair)
    if cut:
        if repair:
            opening.try_write(lambda: _truncate(opening.files, segment, cut), segment.name.file)
        segment.size = cut


def _truncate(files: Files, segment: Segment, size: int) -> None:
    handle = files.open(segment.name.file, write=True)
    handle.truncate(size)
    handle.sync()


def _lost_operations(segment: Segment, last: int | None, frame: Frame) -> int | None:
    """Return how many operations a gap has lost: numbers are contiguous where nothing was compacted."""
    if last is None or segment.output or not frame.ops:
        return None
    return max(0, frame.ops[0].seq - last - 1)


def _quarantine_file(
    opening: _Opening, segment: Segment, gap: Gap, records: int | None, repair: bool
) -> None:
    segment.damaged = segment.damaged or not gap.tail
    opening.add_finding(FindingKind.DAMAGE, segment.name.file, gap.start, gap.end, records)
    if repair:
        opening.try_write(
            lambda: quarantine(opening.files, segment, gap.start, gap.end), segment.name.file
        )


def quarantine(files: Files, segment: Segment, start: int, end: int) -> None:
    """Copy bytes to the quarantine, once."""
    name = f"{QUARANTINE}{segment.name.file}.{start}-{end}"
    if name in files.list():
        return
    write_file(files, name, segment.handle.read(min(end - start, 4 * fmt.MAX_VALUE_BYTES), start))
    files.sync_names()


def _apply_entries(opening: _Opening, segment: Segment, ops: Iterator[fmt.HintEntry]) -> None:
    """Apply a segment's operations, each unless a later one of its key was seen."""
    table, pack, unpack, slot = opening.table, ENTRY.pack, ENTRY.unpack, segment.slot
    get = table.get
    highest, lowest = opening.highest, segment.lowest
    for kind, key, size, offset, seq, expires in ops:
        lowest = min(lowest, seq)
        highest = max(highest, seq)
        old = get(key)
        if old is not None and unpack(old)[3] >= seq:
            continue
        table[key] = pack(slot, offset, size if kind == fmt.PUT else TOMBSTONE, seq, expires)
    opening.highest, segment.lowest = highest, lowest


def _index(table: dict[bytes, bytes], segments: dict[int, Segment]) -> SortedDict:
    """Return the ordered index, without tombstones, and count the live bytes of each segment."""
    unpack, head = ENTRY.unpack, fmt.OP_HEADER_BYTES
    deleted_keys = []
    live = dict.fromkeys(segments, 0)
    for key, entry in table.items():
        slot, _, size, _, expires = unpack(entry)
        if size == TOMBSTONE:
            deleted_keys.append(key)
            segments[slot].deletions += head + len(key)
        else:
            live[slot] += head + len(key) + size
            if expires:
                segments[slot].note_expiry(expires, head + len(key) + size)
    for key in deleted_keys:
        del table[key]
    for slot, size in live.items():
        segments[slot].live = size
    return SortedDict(table)
