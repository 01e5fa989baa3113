"""The progress frontend: server-sent events (WHATWG event-stream format) with exactly one final event.

Requests are read as by the platform frontend. The reply is a stream of `progress` events that ends with one
`served`, `refused` or `failed` event, after which the connection closes. Workers answer in the same format;
the data of each event is one JSON object, as in the platform frontend.
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
from yewrill.net.http import MAX_BODY_BYTES, HttpRequest, Reply
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage

CONTENT_TYPE = "text/event-stream"
RESPONSE_HEADERS = [
    ("Content-Type", CONTENT_TYPE),
    ("Cache-Control", "no-store"),
    ("X-Accel-Buffering", "no"),
]


@dataclass(frozen=True, slots=True)
class Event:
    """One event of an event stream."""

    type: str
    data: str
    id: str = ""


def encode_event(type: str, data: object, id: str = "") -> bytes:
    """Encodes one event. Its data is JSON on a single line, so that it can't be mistaken for other fields."""
    head = f"event: {type}\n" + (f"id: {id}\n" if id else "")
    return f"{head}data: {ujson.dumps(data, escape_forward_slashes=False, allow_nan=False)}\n\n".encode()


class EventStreamParser:
    """Parses an event stream, however the bytes are split; an incomplete event at the end is dropped."""

    _LINE_ENDS = re.compile(rb"\r\n|\n|\r")

    def __init__(self, max_bytes: int = MAX_BODY_BYTES):
        self._max_bytes = max_bytes
        self._incomplete = b""
        self._bom_checked = False
        self._type = ""
        self._data: list[str] = []
        self._size = 0
        self._id = ""

    def feed(self, data: bytes) -> list[Event]:
        """Parses the next bytes; returns the events they complete. Raises MalformedResponse."""
        buffer = self._incomplete + data
        if not self._bom_checked:
            if len(buffer) < 3 and b"\xef\xbb\xbf".startswith(buffer):
                self._incomplete = buffer
                return []
            buffer = buffer.removeprefix(b"\xef\xbb\xbf")
            self._bom_checked = True
        events: list[Event] = []
        line_start = 0
        for end in self._LINE_ENDS.finditer(buffer):
            if end.group() == b"\r" and end.end() == len(buffer):
                break  # this CR may be the first byte of CR LF
            self._line(buffer[line_start : end.start()].decode("utf-8", "replace"), events)
            line_start = end.end()
        self._incomplete = buffer[line_start:]
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
        # Comments (no name), `retry` and unknown fields are ignored.


class _EventStreamDecoder:
    """Decodes a worker's event stream into worker messages."""

    __slots__ = ("_parser",)

    def __init__(self) -> None:
        self._parser = EventStreamParser()

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Decodes the next bytes; returns the messages they complete. Raises MalformedResponse."""
        return [parse_worker_message(event.data) for event in self._parser.feed(data)]


class _ProgressBuffer:
    """The latest progress to send to a client; older progress is dropped, so slow readers cost no memory."""

    def __init__(self, request: Request):
        self._request = request
        self._latest: tuple[Attempt, float] | None = None
        self._changed = trio.Event()
        self._ended = False
        self.answer: Answer | None = None

    def progress(self, attempt: Attempt, share: float) -> None:
        """Stores the share of an attempt's work that is done."""
        self._latest = (attempt, share)
        self._changed.set()

    def end(self, answer: Answer | None) -> None:
        """Stores the final answer, None if the client has left; progress ends."""
        self.answer = answer
        self._ended = True
        self._changed.set()

    async def next(self) -> tuple[int, float] | None:
        """Waits for the next progress; returns attempt number and share, or None at the end."""
        while not self._ended:
            latest, self._latest = self._latest, None
            # Progress of an attempt that has ended is out of date, even if it was never sent.
            if latest is not None and self._request.active_attempt is latest[0]:
                return latest[0].number, latest[1]
            self._changed = trio.Event()
            await self._changed.wait()
        return None


class ProgressFront:
    """The frontend that answers each request with an event stream."""

    content_type = CONTENT_TYPE
    takes_while_draining = False

    def __init__(self, reader: RequestReader):
        self.reader = reader

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """Returns method, target, headers and body of the request to a worker."""
        return forwarded_request(attempt, wait_ms, accept=CONTENT_TYPE)

    def decoder(self) -> _EventStreamDecoder:
        """Returns a new decoder for one answer."""
        return _EventStreamDecoder()

    def early_reply(self, http_request: HttpRequest) -> Reply | None:
        """Returns 204 for a reconnecting reader, else None.

        An EventSource reconnects by repeating its request; status 204 tells it to stop.
        """
        return Reply(204) if http_request.single_header(b"last-event-id") is not None else None

    async def respond(
        self,
        client: ClientConnection,
        request: Request,
        run_to_answer: RunToAnswer,
        closes_after_answer: ClosesAfterAnswer,
    ) -> bool:
        """Runs a request and streams its progress and final event. The connection closes after that."""
        head = client.http.encode_head(200, RESPONSE_HEADERS, close=True)
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
                # The client has disconnected or does not read: no event can follow one that was only partly
                # written.
                client.disconnect()
                return
        if buffer.answer is not None and not client.disconnected:
            final = client.http.encode_body_part(
                final_event(request, buffer.answer, f"{events_sent + 1}")
            )
            await client.send(final + client.http.encode_end())


def final_event(request: Request, answer: Answer, id: str) -> bytes:
    """Returns the final event of a stream."""
    if isinstance(answer, Served):
        return encode_event("served", {"id": request.id, "result": answer.result}, id)
    if isinstance(answer, Rejection):
        return encode_event(
            "refused", {"id": request.id, "retry_after": answer.retry_after / 1000.0}, id
        )
    return encode_event("failed", {"id": request.id, "reason": answer.text}, id)
