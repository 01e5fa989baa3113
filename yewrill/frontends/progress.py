"""Server-sent events (WHATWG event-stream format): progress to the client, and exactly one final event.

Requests are the platform's. The reply is a stream of `progress` events and then one `served`, `refused` or
`failed`, after which it closes. Destinations are asked for the same format; each event's data is one of the
platform's JSON objects.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio
import ujson

from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Attempt, Rejection, Request
from yewrill.frontends.platform import Carried, Closing, Reader, parse_worker_message, passed_on
from yewrill.net.http import MAX_BODY, HttpRequest, Reply
from yewrill.net.listener import Client
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage

CONTENT_TYPE = "text/event-stream"
HEADERS = [
    ("Content-Type", CONTENT_TYPE),
    ("Cache-Control", "no-store"),
    ("X-Accel-Buffering", "no"),
]


@dataclass(frozen=True, slots=True)
class Event:
    type: str
    data: str
    id: str = ""


def encode_event(type: str, data: object, id: str = "") -> bytes:
    """One event. The data is JSON on a single line, so no line of it can be taken for a field."""
    head = f"event: {type}\n" + (f"id: {id}\n" if id else "")
    return f"{head}data: {ujson.dumps(data, escape_forward_slashes=False, allow_nan=False)}\n\n".encode()


class EventStreamParser:
    """Reads an event stream in whatever pieces it comes; an event cut off at the end is never told."""

    _ENDS = re.compile(rb"\r\n|\n|\r")

    def __init__(self, most: int = MAX_BODY):
        self._most = most
        self._rest = b""
        self._begun = False
        self._type = ""
        self._data: list[str] = []
        self._size = 0
        self._id = ""

    def feed(self, data: bytes) -> list[Event]:
        buffer = self._rest + data
        if not self._begun:
            if len(buffer) < 3 and b"\xef\xbb\xbf".startswith(buffer):
                self._rest = buffer
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
        self._rest = buffer[at:]
        if len(self._rest) + self._size > self._most:
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
            if self._size > self._most:
                raise MalformedResponse("event too long")
        elif name == "event":
            self._type = value
        elif name == "id" and "\0" not in value:
            self._id = value
        # A comment (no name), `retry` and unknown fields say nothing about a job.


class _Events:
    """A destination's event stream as words on a job."""

    __slots__ = ("_parser",)

    def __init__(self) -> None:
        self._parser = EventStreamParser()

    def feed(self, data: bytes) -> list[WorkerMessage]:
        return [parse_worker_message(event.data) for event in self._parser.feed(data)]


class _Outlet:
    """What waits to be written to a client: the latest progress only, so a slow reader holds up no memory."""

    def __init__(self, request: Request):
        self._request = request
        self._latest: tuple[Attempt, float] | None = None
        self._news = trio.Event()
        self._ended = False
        self.answer: Answer | None = None

    def progress(self, attempt: Attempt, share: float) -> None:
        self._latest = (attempt, share)
        self._news.set()

    def end(self, answer: Answer | None) -> None:
        self.answer = answer
        self._ended = True
        self._news.set()

    async def next(self) -> tuple[int, float] | None:
        """The next progress worth telling, as attempt number and share; None at the end."""
        while not self._ended:
            latest, self._latest = self._latest, None
            # What an attempt said before it died is stale, even if it was never passed on.
            if latest is not None and self._request.live is latest[0]:
                return latest[0].number, latest[1]
            self._news = trio.Event()
            await self._news.wait()
        return None


class ProgressFront:
    content_type = CONTENT_TYPE
    takes_while_draining = False

    def __init__(self, reader: Reader):
        self.reader = reader

    # -- towards destinations

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        return passed_on(attempt, wait_ms, accept=CONTENT_TYPE)

    def decoder(self) -> _Events:
        return _Events()

    # -- towards clients

    def turned_back(self, http_request: HttpRequest) -> Reply | None:
        """A reader that reconnects by itself would submit its job again: 204 tells it to stop."""
        return Reply(204) if http_request.one(b"last-event-id") is not None else None

    async def respond(
        self, client: Client, request: Request, carried: Carried, closing: Closing
    ) -> bool:
        """Open the stream, pass progress on, write the one final event. The connection ends with it."""
        head = client.http.head(200, HEADERS, close=True)
        if not await client.send(head + client.http.part(b": taken\n\n")):
            client.leave()
        outlet = _Outlet(request)
        request.on_progress = outlet.progress
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write, client, request, outlet)
            answer: Answer | None = None
            try:
                answer = await carried()
            finally:
                request.on_progress = None
                outlet.end(answer)
        return False

    async def _write(self, client: Client, request: Request, outlet: _Outlet) -> None:
        told = 0
        while (progress := await outlet.next()) is not None:
            number, share = progress
            told += 1
            event = encode_event(
                "progress", {"id": request.id, "attempt": number, "share": share}, f"{told}"
            )
            if not await client.send(client.http.part(event)):
                # Gone, or not reading: an event that is half written can't be followed by another.
                client.leave()
                return
        if outlet.answer is not None and not client.gone:
            final = client.http.part(final_event(request, outlet.answer, f"{told + 1}"))
            await client.send(final + client.http.end())


def final_event(request: Request, answer: Answer, id: str) -> bytes:
    if isinstance(answer, Served):
        return encode_event("served", {"id": request.id, "result": answer.result}, id)
    if isinstance(answer, Rejection):
        return encode_event(
            "refused", {"id": request.id, "retry_after": answer.retry_after / 1000.0}, id
        )
    return encode_event("failed", {"id": request.id, "reason": answer.text}, id)
