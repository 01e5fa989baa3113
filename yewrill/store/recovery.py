"""From whatever lies in a directory to the state of an engine. It never refuses.

The order of steps, and why a crash at any of them does no harm:

1. *Manifest.* If it can be read, it says which segments are in force. If not, it is moved to quarantine and
   made up from the segments: all of them are, but those that another whole segment's header replaces.
2. *Leftovers.* A `.new` file is work that never came into force: removed. A segment that isn't in the
   manifest is removed too if its number is lower than the manifest's next one (it was left out on purpose),
   if it is empty (a crash between making and naming it), or if it is an output whose inputs are still in
   force. Anything else holds records and can't be explained: taken in, and told.
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
from yewrill.store.files import QUARANTINE, Files, Handle, read_file, write_file
from yewrill.store.segment import ENTRY, TOMB, Segment

MANIFEST, NEW = "MANIFEST", ".new"
RESERVE = "RESERVE"
CHUNK = 1 << 20  # bytes read at a time


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that an opening, a verification or a compaction met and did not expect."""

    what: (
        str  # damage, torn, header, manifest, leftover, adopted, missing, later-format, unwritable
    )
    file: str
    start: int = 0
    end: int = 0
    records: int | None = None  # lost there; None: can't be told
    note: str = ""

    def __str__(self) -> str:
        lost = "" if self.records is None else f" records={self.records}"
        span = f" bytes={self.start}-{self.end}" if self.end else ""
        return f"{self.what} file={self.file}{span}{lost}{' ' + self.note if self.note else ''}"

    def as_dict(self) -> dict:
        return {
            "what": self.what,
            "file": self.file,
            "start": self.start,
            "end": self.end,
            "records": self.records,
            "note": self.note,
        }


@dataclass(slots=True)
class State:
    """What an engine begins with."""

    index: SortedDict
    segments: dict[int, Segment]  # by slot
    next_segment: int
    next_seq: int
    findings: list[Finding]
    foreign: list[str]  # files of a later format, left alone
    read_only: bool = False


# ------------------------------------------------------------------------------------------- reading frames


@dataclass(slots=True)
class Frame:
    offset: int
    end: int
    time: int
    ops: list[fmt.Op]


@dataclass(slots=True)
class Gap:
    """Bytes that are no frame: in the middle, or up to the end of the file."""

    start: int
    end: int
    tail: bool = False
    explained: bool = False  # a tail that a write cut short leaves behind


def read_frames(handle: Handle, start: int, size: int, salt: int) -> Iterator[Frame | Gap]:
    """All of a segment from `start` to `size`, in order, in memory bounded by the largest frame."""
    window, base = b"", start  # bytes read ahead, and where they begin

    def take(at: int, count: int) -> bytes:
        nonlocal window, base
        if not base <= at or at + count > base + len(window):
            window, base = handle.read(min(max(count, CHUNK), size - at), at), at
        return window[at - base : at - base + count]

    at = start
    while at < size:
        frame = _frame_at(take, at, size, salt)
        if isinstance(frame, Frame):
            yield frame
            at = frame.end
            continue
        if isinstance(frame, int):  # a head that can be believed, with a body that can't
            yield Gap(at, frame, tail=frame >= size)
            at = frame
            continue
        found = _next_frame(take, at + 1, size, salt) if frame is None else size
        rest = take(at, min(size - at, CHUNK)) if found >= size else b""
        yield Gap(
            at,
            found,
            tail=found >= size,
            explained=found >= size
            and (frame is not None or size - at < fmt.FRAME_HEAD or not any(rest)),
        )
        at = found


def _frame_at(
    take: Callable[[int, int], bytes], at: int, size: int, salt: int
) -> Frame | int | str | None:
    """The frame; where the next one begins if only the body is bad; "short" if the body never was
    whole; None if nothing can be said."""
    head = fmt.decode_head(take(at, min(fmt.FRAME_HEAD, size - at)), 0, salt)
    if head is None:
        return None
    begin = at + fmt.FRAME_HEAD
    if begin + head.length > size:
        return "short"
    try:
        ops = fmt.decode_body(take(begin, head.length), head, salt, begin)
    except fmt.Malformed:
        return begin + head.length
    return Frame(at, begin + head.length, head.time, ops)


def _next_frame(take: Callable[[int, int], bytes], at: int, size: int, salt: int) -> int:
    """Where the next whole frame begins; the end of the file if there is none."""
    while at < size:
        chunk = take(at, min(CHUNK // 2, size - at))
        hit = chunk.find(fmt.FRAME_MAGIC)
        if hit < 0:
            # The magic may lie across two chunks.
            at += max(1, len(chunk) - len(fmt.FRAME_MAGIC) + 1)
            continue
        at += hit
        if isinstance(_frame_at(take, at, size, salt), Frame):
            return at
        at += 1
    return size


# ----------------------------------------------------------------------------------------------- one opening


@dataclass(slots=True)
class _Opening:
    files: Files
    findings: list[Finding] = field(default_factory=list)
    table: dict[bytes, bytes] = field(default_factory=dict)
    read_only: bool = False
    highest: int = 0  # sequence number met

    def tell(self, what: str, file: str, *args, **more) -> None:
        self.findings.append(Finding(what, file, *args, **more))

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
            self.tell("unwritable", what, note=f"{error.strerror or error}")
            return False


def open_directory(files: Files, mend: bool = True) -> State:
    """The state of a directory. Without `mend`, nothing in it is changed."""
    opening = _Opening(files)
    present = files.list()
    names: dict[int, fmt.SegmentName] = {}
    for file in present:
        if file.endswith(".seg") and (name := fmt.segment_name(file)) is not None:
            names[name.number] = name
    numbers = [0, *names]
    headers, foreign = _headers(opening, names)
    manifest = _manifest(opening, present, mend)
    chosen, leftovers = _in_force(opening, manifest, names, headers)
    segments: dict[int, Segment] = {}
    for slot, name in enumerate(chosen):
        segment = Segment(name, files.open(name.file), slot)
        segment.size = segment.handle.size()
        header = headers.get(name.number)
        segment.start = header[1] if header else _first_frame(segment)
        segment.output = bool(header and header[0])
        segment.damaged = header is None
        _load(opening, segment, name.hint in present, mend)
        segments[slot] = segment
    if mend:
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
        foreign,
        opening.read_only,
    )


def _headers(
    opening: _Opening, names: dict[int, fmt.SegmentName]
) -> tuple[dict[int, tuple[tuple[int, ...], int]], list[str]]:
    """Each segment's header: what it replaces and where its frames begin. Later formats leave `names`."""
    headers, foreign = {}, []
    for number, name in list(names.items()):
        handle = opening.files.open(name.file)
        try:
            headers[number] = fmt.decode_header(handle.read(min(handle.size(), CHUNK), 0), name)
        except fmt.LaterFormat as error:
            opening.tell("later-format", name.file, note=f"{error}: left alone")
            foreign.append(name.file)
            del names[number]
        except fmt.Malformed as error:
            if handle.size() >= fmt.header_size(0):  # else it never held a record
                opening.tell("header", name.file, 0, fmt.header_size(0), 0, note=str(error))
    return headers, foreign


def _manifest(opening: _Opening, present: list[str], mend: bool) -> fmt.Manifest | None:
    if MANIFEST not in present:
        if any(file.endswith(".seg") for file in present):
            opening.tell("manifest", MANIFEST, note="missing: made up from the segments")
        return None
    try:
        return fmt.decode_manifest(read_file(opening.files, MANIFEST))
    except (fmt.Malformed, fmt.LaterFormat) as error:
        opening.tell("manifest", MANIFEST, note=f"{error}: made up from the segments")
    if mend:
        aside = next(
            name for i in range(10**6) if (name := f"{QUARANTINE}{MANIFEST}.{i}") not in present
        )
        opening.try_write(lambda: opening.files.rename(MANIFEST, aside), MANIFEST)
    return None


def _in_force(
    opening: _Opening,
    manifest: fmt.Manifest | None,
    names: dict[int, fmt.SegmentName],
    headers: dict[int, tuple[tuple[int, ...], int]],
) -> tuple[list[fmt.SegmentName], list[str]]:
    """The segments to serve, oldest first, and the files of those that are not in force any more, or not
    yet."""
    replaced: set[int] = set()
    if manifest is None:
        for before, _ in headers.values():
            replaced.update(before)
        chosen = {number for number in names if number not in replaced}
    else:
        listed = {name.number for name in manifest.segments}
        for name in manifest.segments:
            if name.number not in names and name.file not in (
                f.file for f in opening.findings if f.what == "later-format"
            ):
                opening.tell("missing", name.file, note="named in the manifest")
        chosen = listed & names.keys()
        for number in chosen:
            replaced.update(headers.get(number, ((), 0))[0])
        for number in names.keys() - listed:
            output_of = set(headers.get(number, ((), 0))[0])
            if number in replaced or output_of & listed:
                continue
            if (
                number < manifest.next_segment
            ):  # whoever wrote the manifest knew it, and left it out
                continue
            if _empty(opening, names[number], headers.get(number)):
                continue
            opening.tell("adopted", names[number].file, note="holds records, not in the manifest")
            chosen.add(number)
    leftovers = []
    for number in sorted(names.keys() - chosen):
        leftovers += [names[number].file, names[number].hint]
    return [names[number] for number in sorted(chosen)], leftovers


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


def _load(opening: _Opening, segment: Segment, hinted: bool, mend: bool) -> None:
    if hinted:
        try:
            data = read_file(opening.files, segment.name.hint)
            _take(opening, segment, fmt.decode_hint(data, segment.size))
            segment.hinted = True
            return
        except (fmt.Malformed, OSError) as error:
            opening.tell("hint", segment.name.hint, note=f"{error}: not used")
    _take(opening, segment, _scanned(opening, segment, mend))


def _scanned(opening: _Opening, segment: Segment, mend: bool) -> Iterator[fmt.HintEntry]:
    last: int | None = None
    gap: Gap | None = None
    cut = 0
    for found in read_frames(segment.handle, segment.start, segment.size, segment.name.salt):
        if isinstance(found, Frame):
            if gap is not None:
                _set_aside(opening, segment, gap, _lost(segment, last, found), mend)
                gap = None
            for op in found.ops:
                yield op.kind, op.key, len(op.value), op.offset, op.seq, op.expires
            last = found.ops[-1].seq if found.ops else last
        elif found.tail:
            cut = found.start
            if found.explained:
                opening.tell("torn", segment.name.file, found.start, found.end, 0)
            else:
                _set_aside(opening, segment, found, None, mend)
        else:
            gap = found if gap is None else Gap(gap.start, found.end)
    if cut and gap is not None:
        _set_aside(opening, segment, gap, None, mend)
    if cut:
        if mend:

            def shorten() -> None:
                handle = opening.files.open(segment.name.file, write=True)
                handle.truncate(cut)
                handle.sync()

            opening.try_write(shorten, segment.name.file)
        segment.size = cut


def _lost(segment: Segment, last: int | None, frame: Frame) -> int | None:
    """How many operations a gap swallowed: numbers run without holes where nothing was compacted."""
    if last is None or segment.output or not frame.ops:
        return None
    return max(0, frame.ops[0].seq - last - 1)


def _set_aside(
    opening: _Opening, segment: Segment, gap: Gap, records: int | None, mend: bool
) -> None:
    segment.damaged = segment.damaged or not gap.tail
    opening.tell("damage", segment.name.file, gap.start, gap.end, records)
    if mend:
        opening.try_write(
            lambda: quarantine(opening.files, segment, gap.start, gap.end), segment.name.file
        )


def quarantine(files: Files, segment: Segment, start: int, end: int) -> None:
    """Copy bytes aside, once."""
    name = f"{QUARANTINE}{segment.name.file}.{start}-{end}"
    if name in files.list():
        return
    write_file(files, name, segment.handle.read(min(end - start, 4 * fmt.MOST_VALUE), start))
    files.sync_names()


def _take(opening: _Opening, segment: Segment, ops: Iterator[fmt.HintEntry]) -> None:
    """Enter a segment's operations, each unless a later one of its key is known."""
    table, pack, unpack, slot = opening.table, ENTRY.pack, ENTRY.unpack, segment.slot
    get = table.get
    highest, lowest = opening.highest, segment.lowest
    for kind, key, size, offset, seq, expires in ops:
        lowest = min(lowest, seq)
        highest = max(highest, seq)
        old = get(key)
        if old is not None and unpack(old)[3] >= seq:
            continue
        table[key] = pack(slot, offset, size if kind == fmt.PUT else TOMB, seq, expires)
    opening.highest, segment.lowest = highest, lowest


def _index(table: dict[bytes, bytes], segments: dict[int, Segment]) -> SortedDict:
    """The ordered index, without deletions; what is live of each segment is counted."""
    unpack, head = ENTRY.unpack, fmt.OP_HEAD
    gone = []
    live = dict.fromkeys(segments, 0)
    for key, entry in table.items():
        slot, _, size, _, expires = unpack(entry)
        if size == TOMB:
            gone.append(key)
            segments[slot].deletions += head + len(key)
        else:
            live[slot] += head + len(key) + size
            if expires:
                segments[slot].note_expiry(expires, head + len(key) + size)
    for key in gone:
        del table[key]
    for slot, size in live.items():
        segments[slot].live = size
    return SortedDict(table)
