"""Encoding and decoding of segments, frames, hint files and manifests. No I/O. See docs/store-format.md.

A *segment* is a segment header followed by frames. A *frame* is one batch, with a checksum of its header and
one of its body. A reader can therefore distinguish three cases: an intact frame; a valid header with a
damaged body, which can be skipped exactly; and a damaged header, after which the reader searches for the
magic number of the next intact frame. The checksums of a segment start from the segment's salt. All numbers
are little-endian.
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

FORMAT_VERSION = 1
MAX_KEY_BYTES = 4 * 1024
MAX_VALUE_BYTES = 16 * 1024 * 1024
# Largest body of a frame, including the headers of its operations.
MAX_BODY_BYTES = 64 * 1024 * 1024

SEGMENT_MAGIC = b"YEWRSEG\n"
HINT_MAGIC = b"YEWRHNT\n"
MANIFEST_MAGIC = b"YEWRMAN\n"
FRAME_MAGIC = b"\xd7YR\xb1"

# Segment header: magic number, format version, (unused), salt, segment number, count of replaced segments.
# The numbers of the replaced segments follow, 8 bytes each, then a checksum of the header.
_SEGMENT = struct.Struct("<8sHHIQI")
# Frame header: magic number, length of the body, time written (ms), checksum of the body. A checksum of these
# fields follows.
_FRAME = struct.Struct("<4sIqI")
_CRC = struct.Struct("<I")
FRAME_HEADER_BYTES = _FRAME.size + _CRC.size
# Operation header: kind, (unused), length of key, length of value, sequence number, expiry (ms, 0: none),
# checksum of key and value. The key and the value follow.
_OP = struct.Struct("<BBHIQqI")
OP_HEADER_BYTES = _OP.size
PUT = 1
DELETE = 2
# Header of a hint file: magic number, format version, (unused), (unused), size of the segment. The entries
# follow, then their count and a checksum of everything before it.
_HINT = struct.Struct("<8sHHIQ")
# Entry of a hint file: kind, (unused), length of key, length of value, offset of the operation in the
# segment, sequence number, expiry. The key follows.
_HINT_ENTRY = struct.Struct("<BBHIQQq")
_HINT_END = struct.Struct("<QI")
# Manifest header: magic number, format version, (unused), length of the JSON. The JSON follows, then a
# checksum of everything before it.
_MANIFEST = struct.Struct("<8sHHI")

_NAME = re.compile(r"([0-9a-f]{16})-([0-9a-f]{8})\.(seg|hint)")

crc32c = google_crc32c.value
extend_crc32c = google_crc32c.extend


class Malformed(StoreError):
    """Bytes that are not valid in this format."""


class LaterFormat(StoreError):
    """A file with a format number that this program does not know yet."""


# ------------------------------------------------------------------------------------------------- batches


class Op(NamedTuple):
    """One operation in a segment: a put or a deletion."""

    kind: int
    key: bytes
    value: bytes
    seq: int = 0
    expires: int = 0  # expiry in ms of the store's clock; 0: never
    offset: int = 0  # where the operation's header begins in its segment


@dataclass(slots=True)
class Batch:
    """Operations that are written together or not at all, and the versions that they require."""

    ops: list[Op] = field(default_factory=list)
    conditions: list[tuple[bytes, int]] = field(default_factory=list)
    size: int = 0  # size in bytes of the frame body that holds `ops`

    def put(self, key: bytes, value: bytes, expires: int = 0) -> Batch:
        """Sets a key. It expires at `expires`, in ms of the store's clock (0: never). Raises StoreError."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreError(f"value: {len(value)} bytes, at most {MAX_VALUE_BYTES}")
        if not -(2**63) <= expires < 2**63:
            raise StoreError(f"expires: {expires} does not fit into 64 bits")
        return self._add(Op(PUT, _checked_key(key), bytes(value), 0, int(expires)))

    def delete(self, key: bytes) -> Batch:
        """Deletes a key, which need not exist. Raises StoreError."""
        return self._add(Op(DELETE, _checked_key(key), b""))

    def require(self, key: bytes, version: int) -> Batch:
        """Requires that the key's version is `version` (0: absent) when the batch is committed."""
        self.conditions.append((_checked_key(key), version))
        return self

    def _add(self, op: Op) -> Batch:
        size = self.size + op_size(op.key, len(op.value))
        if size > MAX_BODY_BYTES:
            raise StoreError(f"batch: larger than {MAX_BODY_BYTES} bytes")
        self.ops.append(op)
        self.size = size
        return self


def _checked_key(key: bytes) -> bytes:
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        raise StoreError(f"key: {len(key)} bytes, 1 to {MAX_KEY_BYTES} are allowed")
    return bytes(key)


def op_size(key: bytes, value_size: int) -> int:
    """Returns the bytes that an operation occupies in a frame's body, including its header."""
    return OP_HEADER_BYTES + len(key) + value_size


# ------------------------------------------------------------------------------------------------ file names


class SegmentName(NamedTuple):
    """The number and the salt of a segment. They make up its file name."""

    number: int
    salt: int

    @property
    def file(self) -> str:
        """The name of the segment file."""
        return f"{self.number:016x}-{self.salt:08x}.seg"

    @property
    def hint(self) -> str:
        """The name of the segment's hint file."""
        return f"{self.number:016x}-{self.salt:08x}.hint"


def segment_name(file: str) -> SegmentName | None:
    """Parses the name of a segment or hint file; returns None for any other name."""
    match = _NAME.fullmatch(file)
    return SegmentName(int(match[1], 16), int(match[2], 16)) if match else None


# -------------------------------------------------------------------------------------------------- segments


def encode_segment_header(name: SegmentName, replaces: tuple[int, ...] = ()) -> bytes:
    """Returns a segment's header. `replaces` are the numbers of the segments compacted into it."""
    header = _SEGMENT.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, name.salt, name.number, len(replaces))
    header += b"".join(struct.pack("<Q", number) for number in replaces)
    return header + _CRC.pack(crc32c(header))


def segment_header_size(replaced: int) -> int:
    """Returns the size in bytes of a segment header that lists this many replaced segments."""
    return _SEGMENT.size + 8 * replaced + _CRC.size


def decode_segment_header(data: bytes, name: SegmentName) -> tuple[tuple[int, ...], int]:
    """Returns the numbers of the replaced segments, and the offset of the first frame.

    Raises Malformed, LaterFormat.
    """
    if len(data) < _SEGMENT.size:
        raise Malformed("header truncated")
    magic, format_version, _, salt, number, count = _SEGMENT.unpack_from(data)
    end = segment_header_size(count) - _CRC.size
    intact = len(data) >= end + _CRC.size and _CRC.unpack_from(data, end)[0] == crc32c(data[:end])
    # The layout of the header is the same in all later formats.
    if magic == SEGMENT_MAGIC and format_version > FORMAT_VERSION and intact:
        raise LaterFormat(f"format {format_version}")
    if not intact or magic != SEGMENT_MAGIC or (number, salt) != (name.number, name.salt):
        raise Malformed("header damaged")
    return struct.unpack_from(f"<{count}Q", data, _SEGMENT.size), end + _CRC.size


def encode_frame(ops: list[Op], salt: int, time: int, first: int | None = None) -> bytes:
    """Returns the frame of one batch, written at `time` (ms).

    Operations are numbered from `first` on; without it they keep their own sequence numbers.
    """
    parts = []
    for at, op in enumerate(ops, first or 0):
        content = op.key + op.value
        seq = op.seq if first is None else at
        parts.append(
            _OP.pack(
                op.kind,
                0,
                len(op.key),
                len(op.value),
                seq,
                op.expires,
                extend_crc32c(salt, content),
            )
        )
        parts.append(content)
    body = b"".join(parts)
    header = _FRAME.pack(FRAME_MAGIC, len(body), time, extend_crc32c(salt, body))
    return header + _CRC.pack(extend_crc32c(salt, header)) + body


class FrameHeader(NamedTuple):
    """The header of a frame: length and checksum of its body, and the time of its write (ms)."""

    length: int
    time: int
    crc: int


def decode_frame_header(data: bytes, at: int, salt: int) -> FrameHeader | None:
    """Returns the frame header at an offset, None if its checksum or length is invalid."""
    if at + FRAME_HEADER_BYTES > len(data) or data[at : at + 4] != FRAME_MAGIC:
        return None
    end = at + _FRAME.size
    if _CRC.unpack_from(data, end)[0] != extend_crc32c(salt, data[at:end]):
        return None
    _, length, time, crc = _FRAME.unpack_from(data, at)
    return FrameHeader(length, time, crc) if length <= MAX_BODY_BYTES else None


def decode_body(body: bytes, header: FrameHeader, salt: int, base: int) -> list[Op]:
    """Returns the operations of a frame body, which begins at `base` in its segment. Raises Malformed."""
    if len(body) != header.length or extend_crc32c(salt, body) != header.crc:
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
        raise Malformed("operation truncated") from None
    return ops


def read_value(data: bytes, key: bytes, salt: int) -> bytes | None:
    """Returns the value of an encoded put of this key, None if the bytes are damaged."""
    if len(data) < OP_HEADER_BYTES:
        return None
    kind, _, key_size, value_size, _, _, crc = _OP.unpack_from(data)
    if (
        kind != PUT
        or len(data) != OP_HEADER_BYTES + key_size + value_size
        or key_size != len(key)
        or extend_crc32c(salt, data[OP_HEADER_BYTES:]) != crc
        or not data.startswith(key, OP_HEADER_BYTES)
    ):
        return None
    return data[OP_HEADER_BYTES + key_size :]


def stored_op_crc(data: bytes, at: int) -> int:
    """Returns the checksum of key and value that an operation's header states."""
    return _CRC.unpack_from(data, at + OP_HEADER_BYTES - _CRC.size)[0]


# ----------------------------------------------------------------------------------------------------- hints


# Decoded entry of a hint file: kind, key, size of value, offset of the operation, sequence number, expiry.
HintEntry = tuple[int, bytes, int, int, int, int]


class HintWriter:
    """Builds a hint file in parts, so that a large one needs little memory."""

    def __init__(self, segment_size: int):
        self._count = 0
        self.header = _HINT.pack(HINT_MAGIC, FORMAT_VERSION, 0, 0, segment_size)
        self._crc = crc32c(self.header)

    def add(self, entries: bytes, count: int) -> bytes:
        """Adds encoded entries to the count and the checksum of the hint file, and returns the entries."""
        self._count += count
        self._crc = extend_crc32c(self._crc, entries)
        return entries

    def end(self) -> bytes:
        """Returns the end of the hint file: the count of entries and the checksum."""
        count = struct.pack("<Q", self._count)
        return count + _CRC.pack(extend_crc32c(self._crc, count))


def encode_hint_entries(ops: Iterable[HintEntry]) -> bytes:
    """Returns the encoded entries of a hint file."""
    pack = _HINT_ENTRY.pack
    parts = []
    for kind, key, value_size, offset, seq, expires in ops:
        parts.append(pack(kind, 0, len(key), value_size, offset, seq, expires))
        parts.append(key)
    return b"".join(parts)


def decode_hint(data: bytes, segment_size: int) -> Iterator[HintEntry]:
    """Returns the entries of the hint file of a segment of this size.

    Raises Malformed when it is called, not while the entries are iterated.
    """
    end = len(data) - _HINT_END.size
    if end < _HINT.size or _CRC.unpack_from(data, len(data) - _CRC.size)[0] != crc32c(
        data[: -_CRC.size]
    ):
        raise Malformed("hint damaged")
    magic, format_version, _, _, size = _HINT.unpack_from(data)
    if magic != HINT_MAGIC or format_version != FORMAT_VERSION or size != segment_size:
        raise Malformed("hint file belongs to another segment or format")
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
    """The list of a store's segments, and the next unused segment and sequence numbers."""

    segments: tuple[SegmentName, ...] = ()
    next_segment: int = 1
    next_seq: int = 1


def encode_manifest(manifest: Manifest) -> bytes:
    """Returns the content of the manifest file."""
    text = json.dumps(
        {
            "segments": [name.file for name in manifest.segments],
            "next_segment": manifest.next_segment,
            "next_seq": manifest.next_seq,
        }
    ).encode()
    data = _MANIFEST.pack(MANIFEST_MAGIC, FORMAT_VERSION, 0, len(text)) + text
    return data + _CRC.pack(crc32c(data))


def decode_manifest(data: bytes) -> Manifest:
    """Decodes a manifest file. Raises Malformed, LaterFormat."""
    if len(data) < _MANIFEST.size + _CRC.size:
        raise Malformed("manifest truncated")
    magic, format_version, _, length = _MANIFEST.unpack_from(data)
    intact = len(data) == _MANIFEST.size + length + _CRC.size and _CRC.unpack_from(
        data, len(data) - _CRC.size
    )[0] == crc32c(data[: -_CRC.size])
    if magic == MANIFEST_MAGIC and format_version > FORMAT_VERSION and intact:
        raise LaterFormat(f"format {format_version}")
    if not intact or magic != MANIFEST_MAGIC or format_version != FORMAT_VERSION:
        raise Malformed("manifest damaged")
    try:
        raw = json.loads(data[_MANIFEST.size : -_CRC.size])
        names = [segment_name(file) for file in raw["segments"]]
        if None in names:
            raise Malformed("manifest lists an invalid segment name")
        return Manifest(tuple(names), int(raw["next_segment"]), int(raw["next_seq"]))
    except (ValueError, KeyError, TypeError):
        raise Malformed("manifest has unexpected fields") from None
