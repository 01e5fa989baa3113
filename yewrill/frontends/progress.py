"""Server-sent events (WHATWG event-stream format): progress to the client, and exactly one final event.

Requests are the platform's. The reply is a stream of `progress` events and then one `served`, `refused` or
`failed`, after which it closes. Workers are asked for the same format; each event's data is one of the
platform's JSON objects.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio
import ujson

from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Attempt, Rejection, Request
from yewrill.frontends.platform import (
    ClosesAfterAnswer,
    RequestReader,
    RunToAnswer,
    forwarded_request,
    parse_worker_message,
)
from yewrill.net.client_connection import ClientConnection
from yewrill.net.http import MAX_BODY, HttpRequest, Reply
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage

CONTENT_TYPE = "text/event-stream"
HEADERS = [
    ("Content-Type", CONTENT_TYPE),
    ("Cache-Control", "no-store"),
    ("X-Accel-Buffering", "no"),
]


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream."""

    type: str
    data: str
    id: str = ""


def encode_event(type: str, data: object, id: str = "") -> bytes:
    """One event. The data is JSON on a single line, so no line of it can be taken for a field."""
    head = f"event: {type}\n" + (f"id: {id}\n" if id else "")
    return f"{head}data: {ujson.dumps(data, escape_forward_slashes=False, allow_nan=False)}\n\n".encode()


class EventStreamParser:
    """Reads an event stream in whatever pieces it comes; an event cut off at the end is dropped."""

    _ENDS = re.compile(rb"\r\n|\n|\r")

    def __init__(self, max_bytes: int = MAX_BODY):
        self._max_bytes = max_bytes
        self._incomplete = b""
        self._begun = False
        self._type = ""
        self._data: list[str] = []
        self._size = 0
        self._id = ""

    def feed(self, data: bytes) -> list[Event]:
        """Take the next bytes; returns the events that are whole. Raises MalformedResponse."""
        buffer = self._incomplete + data
        if not self._begun:
            if len(buffer) < 3 and b"\xef\xbb\xbf".startswith(buffer):
                self._incomplete = buffer
                return []
            buffer = buffer.removeprefix(b"\xef\xbb\xbf")
            self._begun = True
        events: list[Event] = []
        at = 0
        for end in self._ENDS.finditer(buffer):
            if end.group() == b"\r" and end.end() == len(buffer):
                break  # it may be the first half of CR LF
            self._line(buffer[at : end.start()].decode("utf-8", "replace"), events)
            at = end.end()
        self._incomplete = buffer[at:]
        if len(self._incomplete) + self._size > self._max_bytes:
            raise MalformedResponse("event too long")
        return events

    def _line(self, line: str, events: list[Event]) -> None:
        if not line:
            if self._data:
                events.append(Event(self._type or "message", "\n".join(self._data), self._id))
            self._type, self._data, self._size = "", [], 0
            return
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
            self._size += len(value) + 1
            if self._size > self._max_bytes:
                raise MalformedResponse("event too long")
        elif name == "event":
            self._type = value
        elif name == "id" and "\0" not in value:
            self._id = value
        # A comment (no name), `retry` and unknown fields say nothing about a request.


class _EventStreamDecoder:
    """A worker's event stream as its messages on a request."""

    __slots__ = ("_parser",)

    def __init__(self) -> None:
        self._parser = EventStreamParser()

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Take the next bytes. Raises MalformedResponse."""
        return [parse_worker_message(event.data) for event in self._parser.feed(data)]


class _ProgressBuffer:
    """What waits to be written to a client: the latest progress only, so a slow reader holds up no memory."""

    def __init__(self, request: Request):
        self._request = request
        self._latest: tuple[Attempt, float] | None = None
        self._changed = trio.Event()
        self._ended = False
        self.answer: Answer | None = None

    def progress(self, attempt: Attempt, share: float) -> None:
        """Note the share of an attempt's work that is done."""
        self._latest = (attempt, share)
        self._changed.set()

    def end(self, answer: Answer | None) -> None:
        """There is no more progress; None if the client has left."""
        self.answer = answer
        self._ended = True
        self._changed.set()

    async def next(self) -> tuple[int, float] | None:
        """The next progress to send, as attempt number and share; None at the end."""
        while not self._ended:
            latest, self._latest = self._latest, None
            # Progress of an attempt that has ended is stale, even if it was never sent on.
            if latest is not None and self._request.live is latest[0]:
                return latest[0].number, latest[1]
            self._changed = trio.Event()
            await self._changed.wait()
        return None


class ProgressFront:
    """One request, one event stream."""

    content_type = CONTENT_TYPE
    takes_while_draining = False

    def __init__(self, reader: RequestReader):
        self.reader = reader

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """The request as it goes to a worker."""
        return forwarded_request(attempt, wait_ms, accept=CONTENT_TYPE)

    def decoder(self) -> _EventStreamDecoder:
        """A decoder for one answer."""
        return _EventStreamDecoder()

    def early_reply(self, http_request: HttpRequest) -> Reply | None:
        """A reader that reconnects by itself would send its request again: 204 tells it to stop."""
        return Reply(204) if http_request.single_header(b"last-event-id") is not None else None

    async def respond(
        self,
        client: ClientConnection,
        request: Request,
        run_to_answer: RunToAnswer,
        closes_after_answer: ClosesAfterAnswer,
    ) -> bool:
        """Open the stream, send progress on, write the one final event. The connection ends with it."""
        head = client.http.encode_head(200, HEADERS, close=True)
        if not await client.send(head + client.http.encode_body_part(b": taken\n\n")):
            client.disconnect()
        buffer = _ProgressBuffer(request)
        request.on_progress = buffer.progress
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, client, request, buffer)
            answer: Answer | None = None
            try:
                answer = await run_to_answer()
            finally:
                request.on_progress = None
                buffer.end(answer)
        return False

    async def _write(
        self, client: ClientConnection, request: Request, buffer: _ProgressBuffer
    ) -> None:
        events_sent = 0
        while (progress := await buffer.next()) is not None:
            number, share = progress
            events_sent += 1
            event = encode_event(
                "progress", {"id": request.id, "attempt": number, "share": share}, f"{events_sent}"
            )
            if not await client.send(client.http.encode_body_part(event)):
                # Gone, or not reading: an event that is half written can't be followed by another.
                client.disconnect()
                return
        if buffer.answer is not None and not client.disconnected:
            final = client.http.encode_body_part(
                final_event(request, buffer.answer, f"{events_sent + 1}")
            )
            await client.send(final + client.http.encode_end())


def final_event(request: Request, answer: Answer, id: str) -> bytes:
    """The event that ends a stream."""
    if isinstance(answer, Served):
        return encode_event("served", {"id": request.id, "result": answer.result}, id)
    if isinstance(answer, Rejection):
        return encode_event(
            "refused", {"id": request.id, "retry_after": answer.retry_after / 1000.0}, id
        )
    return encode_event("failed", {"id": request.id, "reason": answer.text}, id)
