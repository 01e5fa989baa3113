"""Reading a segment frame by frame, whatever its bytes are: whole frames, and gaps that are none."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yewrill.store import format as fmt
from yewrill.store.files import Handle

READ_CHUNK_BYTES = 1 << 20


@dataclass(slots=True)
class Frame:
    """A whole frame: where it begins and ends, when it was written (ms), its operations."""

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


class _DamagedBody(NamedTuple):
    """A valid head whose body is damaged; the next frame begins at `end`."""

    end: int


class _Incomplete(NamedTuple):
    """A valid head whose body was never wholly written."""


def read_frames(handle: Handle, start: int, size: int, salt: int) -> Iterator[Frame | Gap]:
    """Yield all of a segment from `start` to `size`, in order, in memory bounded by the largest frame."""
    window, base = b"", start  # bytes read ahead, and where they begin

    def take(at: int, count: int) -> bytes:
        nonlocal window, base
        if not base <= at or at + count > base + len(window):
            window, base = handle.read(min(max(count, READ_CHUNK_BYTES), size - at), at), at
        return window[at - base : at - base + count]

    at = start
    while at < size:
        frame = _frame_at(take, at, size, salt)
        if isinstance(frame, Frame):
            yield frame
            at = frame.end
            continue
        if isinstance(frame, _DamagedBody):
            gap = Gap(at, frame.end, tail=frame.end >= size)
        else:
            gap = _gap_at(take, at, size, salt, incomplete=frame is not None)
        yield gap
        at = gap.end


def _gap_at(
    take: Callable[[int, int], bytes], at: int, size: int, salt: int, incomplete: bool
) -> Gap:
    """Return the gap up to the next whole frame, or to the end of the file."""
    end = size if incomplete else _next_frame(take, at + 1, size, salt)
    if end < size:
        return Gap(at, end)
    cut_short = incomplete or size - at < fmt.FRAME_HEADER_BYTES
    explained = cut_short or not any(take(at, min(size - at, READ_CHUNK_BYTES)))
    return Gap(at, end, tail=True, explained=explained)


def _frame_at(
    take: Callable[[int, int], bytes], at: int, size: int, salt: int
) -> Frame | _DamagedBody | _Incomplete | None:
    """Return what begins there; None if it is no valid head."""
    head = fmt.decode_frame_header(take(at, min(fmt.FRAME_HEADER_BYTES, size - at)), 0, salt)
    if head is None:
        return None
    begin = at + fmt.FRAME_HEADER_BYTES
    if begin + head.length > size:
        return _Incomplete()
    try:
        ops = fmt.decode_body(take(begin, head.length), head, salt, begin)
    except fmt.Malformed:
        return _DamagedBody(begin + head.length)
    return Frame(at, begin + head.length, head.time, ops)


def _next_frame(take: Callable[[int, int], bytes], at: int, size: int, salt: int) -> int:
    """Return where the next whole frame begins; the end of the file if there is none."""
    while at < size:
        chunk = take(at, min(READ_CHUNK_BYTES // 2, size - at))
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
