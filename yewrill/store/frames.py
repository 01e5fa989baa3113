"""Reads a segment as intact frames and gaps between them. It never fails because of damaged bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yewrill.store import format as fmt
from yewrill.store.files import Handle

READ_CHUNK_BYTES = 1 << 20


@dataclass(slots=True)
class Frame:
    """An intact frame: its offsets in the segment, when it was written (ms), its operations."""

    offset: int
    end: int
    time: int
    ops: list[fmt.Op]


@dataclass(slots=True)
class Gap:
    """Bytes that are not an intact frame, between frames or at the end of the file (`tail`)."""

    start: int
    end: int
    tail: bool = False
    torn: bool = False  # the gap looks like a write that was cut short, not like damage


class _DamagedBody(NamedTuple):
    """A valid header whose body is damaged; the next frame begins at `end`."""

    end: int


class _Incomplete(NamedTuple):
    """A valid header whose body extends beyond the end of the file."""


def read_frames(handle: Handle, start: int, size: int, salt: int) -> Iterator[Frame | Gap]:
    """Yields the frames and gaps of a segment from offset `start` to `size`, in order.

    Memory use is bounded by the largest frame.
    """
    window, base = b"", start  # bytes read ahead, and their offset in the segment

    def read_at(at: int, count: int) -> bytes:
        nonlocal window, base
        if not base <= at or at + count > base + len(window):
            window, base = handle.read(min(max(count, READ_CHUNK_BYTES), size - at), at), at
        return window[at - base : at - base + count]

    at = start
    while at < size:
        frame = _frame_at(read_at, at, size, salt)
        if isinstance(frame, Frame):
            yield frame
            at = frame.end
            continue
        if isinstance(frame, _DamagedBody):
            gap = Gap(at, frame.end, tail=frame.end >= size)
        else:
            gap = _gap_at(read_at, at, size, salt, incomplete=frame is not None)
        yield gap
        at = gap.end


def _gap_at(
    read_at: Callable[[int, int], bytes], at: int, size: int, salt: int, incomplete: bool
) -> Gap:
    """Returns the gap up to the next intact frame, or to the end of the file."""
    end = size if incomplete else _next_frame(read_at, at + 1, size, salt)
    if end < size:
        return Gap(at, end)
    cut_short = incomplete or size - at < fmt.FRAME_HEADER_BYTES
    torn = cut_short or not any(read_at(at, min(size - at, READ_CHUNK_BYTES)))
    return Gap(at, end, tail=True, torn=torn)


def _frame_at(
    read_at: Callable[[int, int], bytes], at: int, size: int, salt: int
) -> Frame | _DamagedBody | _Incomplete | None:
    """Returns the frame at an offset, whether intact or not; None if no valid frame header begins there."""
    header = fmt.decode_frame_header(read_at(at, min(fmt.FRAME_HEADER_BYTES, size - at)), 0, salt)
    if header is None:
        return None
    begin = at + fmt.FRAME_HEADER_BYTES
    if begin + header.length > size:
        return _Incomplete()
    try:
        ops = fmt.decode_body(read_at(begin, header.length), header, salt, begin)
    except fmt.Malformed:
        return _DamagedBody(begin + header.length)
    return Frame(at, begin + header.length, header.time, ops)


def _next_frame(read_at: Callable[[int, int], bytes], at: int, size: int, salt: int) -> int:
    """Returns the offset of the next intact frame, or the end of the file if there is none."""
    while at < size:
        chunk = read_at(at, min(READ_CHUNK_BYTES // 2, size - at))
        position = chunk.find(fmt.FRAME_MAGIC)
        if position < 0:
            # The magic number of a frame may span two chunks.
            at += max(1, len(chunk) - len(fmt.FRAME_MAGIC) + 1)
            continue
        at += position
        if isinstance(_frame_at(read_at, at, size, salt), Frame):
            return at
        at += 1
    return size
