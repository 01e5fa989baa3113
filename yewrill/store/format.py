"""Bytes to values and back: segments, frames, hints and manifests. No I/O; docs/store-format.md is its page.

A *segment* is a header and frames. A *frame* is one batch, with a checksum over its head and one over its
body, so a reader can tell three cases apart: a whole frame; a head that can be believed before a body that
can't (skip it exactly); and a head that can't (look for the next magic whose frame is whole). All checksums
of a segment begin from its salt. All numbers are little-endian.
"""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import google_crc32c

from yewrill.store.errors import StoreError

FORMAT = 1
MAX_KEY_BYTES = 4 * 1024
MAX_VALUE_BYTES = 16 * 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024  # of a batch, its operations' heads included

SEGMENT_MAGIC = b"YEWRSEG\n"
HINT_MAGIC = b"YEWRHNT\n"
MANIFEST_MAGIC = b"YEWRMAN\n"
FRAME_MAGIC = b"\xd7YR\xb1"

# Magic, format, (unused), salt, segment, number of replaced segments; then these, 8 bytes each, and a
# checksum.
_SEGMENT = struct.Struct("<8sHHIQI")
# Magic, length of the body, time written (ms), checksum of the body; then a checksum of these.
_FRAME = struct.Struct("<4sIqI")
_CRC = struct.Struct("<I")
FRAME_HEADER_BYTES = _FRAME.size + _CRC.size
# Kind, (unused), length of key, length of value, sequence number, expiry (ms, 0: none), checksum of key and
# value.
_OP = struct.Struct("<BBHIQqI")
OP_HEADER_BYTES = _OP.size
PUT, DELETE = 1, 2
# Magic, format, (unused), (unused), size of the segment; entries follow, then their number and a checksum
# of all.
_HINT = struct.Struct("<8sHHIQ")
# Kind, (unused), length of key, length of value, offset of the operation in the segment, sequence number,
# expiry.
_HINT_ENTRY = struct.Struct("<BBHIQQq")
_HINT_END = struct.Struct("<QI")
# Magic, format, (unused), length of the JSON that follows; then a checksum of all.
_MANIFEST = struct.Struct("<8sHHI")

_NAME = re.compile(r"([0-9a-f]{16})-([0-9a-f]{8})\.(seg|hint)")

crc32c = google_crc32c.value
extend = google_crc32c.extend


class Malformed(StoreError):
    """Bytes that are not the format's."""


class LaterFormat(StoreError):
    """A file of a format number that this program doesn't know."""


# ------------------------------------------------------------------------------------------------- batches


class Op(NamedTuple):
    """One operation as it stands in a segment."""

    kind: int
    key: bytes
    value: bytes
    seq: int = 0
    expires: int = 0  # milliseconds of the caller's clock, 0: never
    offset: int = 0  # of its head, in the segment


@dataclass(slots=True)
class Batch:
    """Operations that become visible together, or not at all, and the conditions that they stand under."""

    ops: list[Op] = field(default_factory=list)
    conditions: list[tuple[bytes, int]] = field(default_factory=list)
    size: int = 0  # of the frame's body, in bytes

    def put(self, key: bytes, value: bytes, expires: int = 0) -> Batch:
        """Set a key. `expires` is when it ends, in ms of the store's clock (0: never)."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(f"value: {len(value)} bytes, at most {MAX_VALUE_BYTES}")
        if not -(2**63) <= expires < 2**63:
            raise StoreError(f"expires: {expires} is no time in milliseconds")
        return self._add(Op(PUT, _key(key), bytes(value), 0, int(expires)))

    def delete(self, key: bytes) -> Batch:
        """Remove a key; one that is not there is no fault."""
        return self._add(Op(DELETE, _key(key), b""))

    def require(self, key: bytes, version: int) -> Batch:
        """Write only if the key is at this version (0: absent) when the batch's turn comes."""
        self.conditions.append((_key(key), version))
        return self

    def _add(self, op: Op) -> Batch:
        size = self.size + op_size(op.key, len(op.value))
        if size > MAX_BODY_BYTES:
            raise StoreError(f"batch: over {MAX_BODY_BYTES} bytes")
        self.ops.append(op)
        self.size = size
        return self


def _key(key: bytes) -> bytes:
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        raise StoreError(f"key: {len(key)} bytes, 1 to {MAX_KEY_BYTES} are possible")
    return bytes(key)


def op_size(key: bytes, value_size: int) -> int:
    """Return the bytes that an operation takes in a frame's body."""
    return OP_HEADER_BYTES + len(key) + value_size


# ------------------------------------------------------------------------------------------------ file names


class SegmentName(NamedTuple):
    """A segment's number and salt, which its file's name holds."""

    number: int
    salt: int

    @property
    def file(self) -> str:
        """The name of the segment's file."""
        return f"{self.number:016x}-{self.salt:08x}.seg"

    @property
    def hint(self) -> str:
        """The name of its hint file."""
        return f"{self.number:016x}-{self.salt:08x}.hint"


def segment_name(file: str) -> SegmentName | None:
    """The segment that a file's name means; None for any other name."""
    match = _NAME.fullmatch(file)
    return SegmentName(int(match[1], 16), int(match[2], 16)) if match else None


# -------------------------------------------------------------------------------------------------- segments


def encode_segment_header(name: SegmentName, replaces: tuple[int, ...] = ()) -> bytes:
    """Return a segment's header; `replaces` are the numbers of a compaction's inputs."""
    head = _SEGMENT.pack(SEGMENT_MAGIC, FORMAT, 0, name.salt, name.number, len(replaces))
    head += b"".join(struct.pack("<Q", number) for number in replaces)
    return head + _CRC.pack(crc32c(head))


def segment_header_size(replaced: int) -> int:
    """Return the bytes of a header that names this many replaced segments."""
    return _SEGMENT.size + 8 * replaced + _CRC.size


def decode_segment_header(data: bytes, name: SegmentName) -> tuple[tuple[int, ...], int]:
    """The numbers of the segments that this one replaces, and where its frames begin."""
    if len(data) < _SEGMENT.size:
        raise Malformed("header cut short")
    magic, form, _, salt, number, count = _SEGMENT.unpack_from(data)
    end = segment_header_size(count) - _CRC.size
    whole = len(data) >= end + _CRC.size and _CRC.unpack_from(data, end)[0] == crc32c(data[:end])
    if (
        magic == SEGMENT_MAGIC and form > FORMAT and whole
    ):  # no later format may change the header's layout
        raise LaterFormat(f"format {form}")
    if not whole or magic != SEGMENT_MAGIC or (number, salt) != (name.number, name.salt):
        raise Malformed("header damaged")
    return struct.unpack_from(f"<{count}Q", data, _SEGMENT.size), end + _CRC.size


def encode_frame(ops: list[Op], salt: int, time: int, first: int | None = None) -> bytes:
    """One batch. Its operations are numbered from `first` on; without it they have their numbers."""
    parts = []
    for at, op in enumerate(ops, first or 0):
        content = op.key + op.value
        seq = op.seq if first is None else at
        parts.append(
            _OP.pack(op.kind, 0, len(op.key), len(op.value), seq, op.expires, extend(salt, content))
        )
        parts.append(content)
    body = b"".join(parts)
    head = _FRAME.pack(FRAME_MAGIC, len(body), time, extend(salt, body))
    return head + _CRC.pack(extend(salt, head)) + body


class FrameHeader(NamedTuple):
    """A frame's head: length and checksum of its body, and when it was written (ms)."""

    length: int
    time: int
    crc: int


def decode_frame_header(data: bytes, at: int, salt: int) -> FrameHeader | None:
    """A frame's head, if it can be believed."""
    if at + FRAME_HEADER_BYTES > len(data) or data[at : at + 4] != FRAME_MAGIC:
        return None
    end = at + _FRAME.size
    if _CRC.unpack_from(data, end)[0] != extend(salt, data[at:end]):
        return None
    _, length, time, crc = _FRAME.unpack_from(data, at)
    return FrameHeader(length, time, crc) if length <= MAX_BODY_BYTES else None


def decode_body(body: bytes, head: FrameHeader, salt: int, base: int) -> list[Op]:
    """The operations of a frame's body, which begins at `base` in its segment. Raises Malformed."""
    if len(body) != head.length or extend(salt, body) != head.crc:
        raise Malformed("body damaged")
    ops, at = [], 0
    try:
        while at < len(body):
            kind, _, key_size, value_size, seq, expires, _ = _OP.unpack_from(body, at)
            value_at = at + OP_HEADER_BYTES + key_size
            end = value_at + value_size
            if end > len(body) or kind not in (PUT, DELETE) or not key_size:
                raise Malformed("operation out of bounds")
            ops.append(
                Op(
                    kind,
                    body[at + OP_HEADER_BYTES : value_at],
                    body[value_at:end],
                    seq,
                    expires,
                    base + at,
                )
            )
            at = end
    except struct.error:
        raise Malformed("operation cut short") from None
    return ops


def read_value(data: bytes, key: bytes, salt: int) -> bytes | None:
    """The value in one put's bytes, read for this key; None if they are not what was written."""
    if len(data) < OP_HEADER_BYTES:
        return None
    kind, _, key_size, value_size, _, _, crc = _OP.unpack_from(data)
    if (
        kind != PUT
        or len(data) != OP_HEADER_BYTES + key_size + value_size
        or key_size != len(key)
        or extend(salt, data[OP_HEADER_BYTES:]) != crc
        or not data.startswith(key, OP_HEADER_BYTES)
    ):
        return None
    return data[OP_HEADER_BYTES + key_size :]


def stored_op_crc(data: bytes, at: int) -> int:
    """The checksum that an operation's head names, for its key and value."""
    return _CRC.unpack_from(data, at + OP_HEADER_BYTES - _CRC.size)[0]


# ----------------------------------------------------------------------------------------------------- hints


# Kind, key, size of value, offset of the operation, sequence number, expiry.
HintEntry = tuple[int, bytes, int, int, int, int]


class HintWriter:
    """A hint file's bytes, piece by piece, so that a large one needs little memory."""

    def __init__(self, segment_size: int):
        self._count = 0
        self.head = _HINT.pack(HINT_MAGIC, FORMAT, 0, 0, segment_size)
        self._crc = crc32c(self.head)

    def add(self, entries: bytes, count: int) -> bytes:
        """Count in what `encode_hint_entries` made."""
        self._count += count
        self._crc = extend(self._crc, entries)
        return entries

    def end(self) -> bytes:
        """Return the end of the file: the number of entries and a checksum."""
        count = struct.pack("<Q", self._count)
        return count + _CRC.pack(extend(self._crc, count))


def encode_hint_entries(ops: Iterable[HintEntry]) -> bytes:
    """Return entries as they stand in a hint file."""
    pack = _HINT_ENTRY.pack
    parts = []
    for kind, key, value_size, offset, seq, expires in ops:
        parts.append(pack(kind, 0, len(key), value_size, offset, seq, expires))
        parts.append(key)
    return b"".join(parts)


def decode_hint(data: bytes, segment_size: int) -> Iterator[HintEntry]:
    """The entries of a hint file that belongs to a segment of this size. Raises Malformed before the
    first."""
    end = len(data) - _HINT_END.size
    if end < _HINT.size or _CRC.unpack_from(data, len(data) - _CRC.size)[0] != crc32c(
        data[: -_CRC.size]
    ):
        raise Malformed("hint damaged")
    magic, form, _, _, size = _HINT.unpack_from(data)
    if magic != HINT_MAGIC or form != FORMAT or size != segment_size:
        raise Malformed("hint of another segment or format")
    return _decode_hint_entries(data, end)


def _decode_hint_entries(data: bytes, end: int) -> Iterator[HintEntry]:
    at, size, unpack = _HINT.size, _HINT_ENTRY.size, _HINT_ENTRY.unpack_from
    while at < end:
        kind, _, key_size, value_size, offset, seq, expires = unpack(data, at)
        at += size
        yield kind, data[at : at + key_size], value_size, offset, seq, expires
        at += key_size


# -------------------------------------------------------------------------------------------------- manifest


@dataclass(frozen=True, slots=True)
class Manifest:
    """Which segments make up the store, and the numbers that must never be used again."""

    segments: tuple[SegmentName, ...] = ()
    next_segment: int = 1
    next_seq: int = 1


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest file."""
    text = json.dumps(
        {
            "segments": [name.file for name in manifest.segments],
            "next_segment": manifest.next_segment,
            "next_seq": manifest.next_seq,
        }
    ).encode()
    data = _MANIFEST.pack(MANIFEST_MAGIC, FORMAT, 0, len(text)) + text
    return data + _CRC.pack(crc32c(data))


def decode_manifest(data: bytes) -> Manifest:
    """Raises Malformed, or LaterFormat."""
    if len(data) < _MANIFEST.size + _CRC.size:
        raise Malformed("manifest cut short")
    magic, form, _, length = _MANIFEST.unpack_from(data)
    whole = len(data) == _MANIFEST.size + length + _CRC.size and _CRC.unpack_from(
        data, len(data) - _CRC.size
    )[0] == crc32c(data[: -_CRC.size])
    if magic == MANIFEST_MAGIC and form > FORMAT and whole:
        raise LaterFormat(f"format {form}")
    if not whole or magic != MANIFEST_MAGIC or form != FORMAT:
        raise Malformed("manifest damaged")
    try:
        raw = json.loads(data[_MANIFEST.size : -_CRC.size])
        names = [segment_name(file) for file in raw["segments"]]
        if None in names:
            raise Malformed("manifest names what is no segment")
        return Manifest(tuple(names), int(raw["next_segment"]), int(raw["next_seq"]))
    except (ValueError, KeyError, TypeError):
        raise Malformed("manifest of another form") from None
