"""Limits on what one HTTP message costs, checked before the parser builds objects of it. No I/O.

The parser builds several objects for each header field, so that a head of very short fields, within the
limit on bytes, takes sixty times its size. It builds an event for each chunk of a body, so that a body in
chunks of one byte takes thousands of them. A `MessageMeter` sees the received bytes before the parser does.
It counts the lines of a head and of the trailer fields, and the bytes of a body that are not its data.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import h11

# Number of header fields of a head, or of trailer fields of a chunked body.
MAX_FIELDS = 100
# Number of bytes of framing that a body may have beyond the number of bytes of its data.
MAX_EXCESS_FRAMING_BYTES = 4096

_CHUNKED = b"chunked"
# The header of a chunk; the end of the chunk before may precede it. Trailer fields follow one of size 0.
_CHUNK_HEADER = re.compile(rb"(?:\r\n)?([0-9A-Fa-f]+)[ \t]*(?:;[^\n]*)?\r\n")


class MessageTooCostly(h11.RemoteProtocolError):
    """A message that exceeds a limit; the base of the classes below."""


class TooManyFields(MessageTooCostly):
    """A head, or the trailer fields of a body, has more than MAX_FIELDS lines."""

    def __init__(self) -> None:
        super().__init__(f"more than {MAX_FIELDS} fields", error_status_hint=431)


class TooMuchFraming(MessageTooCostly):
    """The framing of a chunked body far outweighs its data."""


class MessageMeter:
    """Counts the fields and the framing of one message at a time, as its bytes arrive."""

    __slots__ = (
        "_behind_head",
        "_between_chunks",
        "_body_bytes",
        "_data_bytes",
        "_in_head",
        "_in_trailer",
        "_lines",
        "_may_be_chunked",
        "_previous",
        "must_check_trailer",
    )

    def __init__(self) -> None:
        self.next_message()

    def next_message(self) -> None:
        """Prepares for the next message. All bytes of the previous one have been parsed."""
        self._behind_head = b""
        self._begin_head()

    def _begin_head(self) -> None:
        self._in_head = True
        self._lines = 0
        self._previous = b""  # the last bytes of the head so far
        self._may_be_chunked = False  # whether the word occurs in the head
        # Whether the next chunk of a chunked body may be the last one, and whether it has been found.
        self._between_chunks = self._in_trailer = False
        # Whether the unparsed bytes have yet to be searched for the last chunk.
        self.must_check_trailer = False
        self._body_bytes = self._data_bytes = 0  # of the body: received, and found to be data

    def receive(self, data: bytes, unparsed: Callable[[], bytes]) -> None:
        """Counts received bytes before they are passed to the parser. Raises MessageTooCostly.

        `unparsed` returns the earlier bytes that the parser has not consumed yet. It has consumed all others.
        """
        if self._in_head:
            self._receive_head(data)
            return
        if self._in_trailer:
            self._count_lines(data)
            return
        if self._between_chunks:
            self.check_trailer(unparsed() + data)
        self._check_framing()
        self._body_bytes += len(data)

    def _check_framing(self) -> None:
        framing_bytes = self._body_bytes - self._data_bytes
        if framing_bytes > self._data_bytes + MAX_EXCESS_FRAMING_BYTES:
            raise TooMuchFraming("body with far more framing than data")

    def _receive_head(self, data: bytes) -> None:
        joined = self._previous + data if self._previous else data
        end = _head_end(joined)
        head = joined if end is None else joined[:end]
        if self._previous:
            self._lines -= self._previous.count(b"\n")
        # The request or status line and the empty line are not fields.
        self._count_lines(head, MAX_FIELDS + 2)
        self._may_be_chunked = self._may_be_chunked or _CHUNKED in head.lower()
        if end is None:
            self._previous = head[-len(_CHUNKED) :]
            return
        self._in_head = False
        self._behind_head = joined[end:]
        self._body_bytes = len(self._behind_head)

    def _count_lines(self, data: bytes, limit: int = MAX_FIELDS + 1) -> None:
        self._lines += data.count(b"\n")
        if self._lines > limit:
            raise TooManyFields

    def check_trailer(self, unparsed: bytes) -> None:
        """Counts the trailer fields that the unparsed bytes contain, if any. Raises TooManyFields."""
        self.must_check_trailer = False
        header = _CHUNK_HEADER.match(unparsed)
        if header is None:
            return  # it is not complete yet
        # The parser consumes the header at once, even if none of the chunk's data has arrived.
        self._between_chunks = False
        if not header[1].strip(b"0"):
            self._in_trailer = True
            self._lines = 0
            self._count_lines(unparsed[header.end() :])

    def parsed(self, event: object) -> None:
        """Notes an event that the parser has returned. Raises TooManyFields."""
        kind = type(event)  # isinstance is slow for the parser's classes
        if kind is h11.Data:
            self._between_chunks = self.must_check_trailer = event.chunk_end
            self._data_bytes += len(event.data)
        elif kind is h11.InformationalResponse:
            behind_head = self._behind_head
            self._begin_head()
            self._receive_head(behind_head)
        elif kind is h11.Request or kind is h11.Response:
            self._behind_head = b""
            if self._may_be_chunked:
                chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
                self._between_chunks = self.must_check_trailer = chunked


def _head_end(data: bytes) -> int | None:
    """Returns the position behind the first empty line, None if there is none."""
    end = data.find(b"\n\r\n")
    bare_end = data.find(b"\n\n", 0, len(data) if end < 0 else end)
    if bare_end >= 0:
        return bare_end + 2
    return None if end < 0 else end + 3
