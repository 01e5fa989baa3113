"""HTTP/1.1 on a connection, parsed by h11: the server side for clients, the client side for other peers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import h11

from yewrill.net.connection import Connection
from yewrill.net.input_turns import InputWork, wait_for_turn
from yewrill.net.message_limits import MessageMeter, MessageTooCostly

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
# A request's head, its body, and as much framing.
MAX_REQUEST_BYTES = 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES)


class BadRequest(Exception):
    """A request that is rejected with an HTTP status before it reaches the policy module."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()):
        super().__init__(text)
        self.status = status
        self.text = text
        self.headers = headers


class PeerEnded(Exception):
    """The peer closed the connection before the end of its response."""


@dataclass(slots=True)
class HttpRequest:
    """A parsed request."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    arrived: float = 0.0  # time at which the first byte was read, in event loop time
    # The validated headers that are forwarded to the worker.
    forwarded_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    _values: dict[bytes, bytes] = field(init=False)
    _repeated: set[bytes] = field(init=False)

    def __post_init__(self) -> None:
        self._values = dict(self.headers)
        self._repeated = set()
        if len(self._values) < len(self.headers):
            counts = Counter(name for name, _ in self.headers)
            self._repeated = {name for name, count in counts.items() if count > 1}

    def single_header(self, name: bytes) -> str | None:
        """Returns a header's value, None if absent. Raises BadRequest if it is repeated or not ASCII."""
        if name in self._repeated:
            raise BadRequest(400, f"duplicate header {name.decode()}")
        value = self._values.get(name)
        if value is None:
            return None
        try:
            return value.decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest(400, f"header {name.decode()} is not plain ASCII") from None

    def header_values(self, name: bytes) -> list[str]:
        """Returns all values of a header. Never raises, whatever bytes they hold."""
        return [value.decode("latin-1") for key, value in self.headers if key == name]


@dataclass(slots=True)
class Reply:
    """A reply of known length."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "text/plain; charset=utf-8"


# h11 ignores a misspelt framing header such as Content_Length; another HTTP implementation might act on it.
_FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}


def check_framing(http_version: bytes, headers: list[tuple[bytes, bytes]]) -> None:
    """Rejects ambiguous framing (raises BadRequest), which could smuggle a second request in the body."""
    if http_version not in (b"1.0", b"1.1"):
        raise BadRequest(505, "unsupported HTTP version")
    names = {name for name, _ in headers}
    if names >= _FRAMING_HEADERS:
        raise BadRequest(400, "Content-Length with Transfer-Encoding")
    if b"transfer-encoding" in names and http_version == b"1.0":
        raise BadRequest(400, "Transfer-Encoding in HTTP/1.0")
    if any(b"_" in name and name.replace(b"_", b"-") in _FRAMING_HEADERS for name in names):
        raise BadRequest(400, "misspelt framing header")


class RequestBuilder:
    """Builds one request from the parser's events."""

    def __init__(self) -> None:
        self.request: HttpRequest | None = None  # None before the head
        self._body = bytearray()

    def begin(self, event: h11.Request, arrived: float) -> None:
        """Takes the head; `arrived` is when its first byte was read. Raises BadRequest."""
        headers = list(event.headers)  # iterating over the parser's own type is slow
        check_framing(event.http_version, headers)
        self.request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("ascii"),
            headers,
            arrived=arrived,
        )
        lengths = [value for name, value in headers if name == b"content-length"]
        if lengths:
            self._check_length(int(lengths[0]))

    def add(self, data: bytes) -> None:
        """Adds a part of the body. Raises BadRequest."""
        self._body += data
        self._check_length(len(self._body))

    def discard_body(self) -> None:
        """Frees the body; the request is not going to be finished."""
        self._body = bytearray()

    @staticmethod
    def _check_length(length: int) -> None:
        if length > MAX_BODY_BYTES:
            raise BadRequest(413, "body over 64 KiB")

    def finish(self) -> HttpRequest:
        """Returns the request with its whole body."""
        self.request.body = bytes(self._body)
        return self.request


class MeteredParser(h11.Connection):
    """A parser whose input is checked against the limits on messages before objects are built of it.

    Its methods raise h11.RemoteProtocolError, of which MessageTooCostly is a subclass.
    """

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER]):
        """`role`: this side of the connection."""
        super().__init__(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._meter = MessageMeter()

    def receive_data(self, data: bytes) -> None:
        """Takes received bytes; empty at the end of the stream."""
        self._meter.receive(data, self._unparsed)
        super().receive_data(data)

    def next_event(self):
        """Returns the next event, h11.NEED_DATA or h11.PAUSED."""
        if self._meter.must_check_trailer:
            self._meter.check_trailer(self._unparsed())
        event = super().next_event()
        if event is not h11.NEED_DATA:
            self._meter.parsed(event)
        return event

    def start_next_cycle(self) -> None:
        """Prepares for the next exchange, after both sides of this one are complete."""
        super().start_next_cycle()
        self._meter.next_message()

    def _unparsed(self) -> bytes:
        return self.trailing_data[0]


def _rejection(error: h11.RemoteProtocolError) -> BadRequest:
    """Returns the reply to a request that the parser has rejected."""
    hint = error.error_status_hint
    status = hint if hint in (413, 431, 501) else 400
    text = str(error) if isinstance(error, MessageTooCostly) else f"malformed HTTP: {error}"
    return BadRequest(status, text)


class ServerSide:
    """The server side of HTTP on one client connection: parses requests, encodes replies."""

    __slots__ = ("parser",)

    def __init__(self) -> None:
        self.parser = MeteredParser(h11.SERVER)

    def feed(self, data: bytes) -> None:
        """Passes received bytes to the parser. Raises BadRequest."""
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise _rejection(error) from None

    def next_event(self):
        """Returns the next event of the request, h11.NEED_DATA or h11.PAUSED. Raises BadRequest."""
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise _rejection(error) from None

    def encode_reply(self, reply: Reply, close: bool) -> bytes:
        """Encodes a complete reply with its Content-Length."""
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        head = self.encode_head(reply.status, headers + reply.headers, close)
        return head + self.encode_body_part(reply.body) + self.encode_end()

    def encode_head(self, status: int, headers: list[tuple[str, str]], close: bool) -> bytes:
        """Encodes the head of a reply."""
        if close:
            headers = [*headers, ("Connection", "close")]
        return self.parser.send(h11.Response(status_code=status, headers=headers))

    def encode_body_part(self, data: bytes) -> bytes:
        """Encodes one chunk of a reply's body."""
        return self.parser.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Encodes the end of a reply's body."""
        return self.parser.send(h11.EndOfMessage()) or b""

    @property
    def reusable(self) -> bool:
        """Whether both sides of the exchange are complete, so that the connection can carry another."""
        return self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE

    @property
    def can_answer(self) -> bool:
        """Whether a reply can still be sent."""
        return self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE)


class ClientSide:
    """The client side of HTTP on a connection to a worker or to discovery: one exchange at a time."""

    __slots__ = ("_work", "connection", "parser")

    def __init__(self, connection: Connection):
        self.connection = connection
        self.parser = MeteredParser(h11.CLIENT)
        self._work = InputWork()

    def encode(self, method: str, target: str, headers: list[tuple], body: bytes = b"") -> bytes:
        """Encodes a whole request."""
        if self.parser.our_state is h11.DONE:
            self.parser.start_next_cycle()
            self._work = InputWork()
        send = self.parser.send
        data = send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += send(h11.Data(data=body))
        return data + (send(h11.EndOfMessage()) or b"")

    async def event(self):
        """Returns the next event of the response. Raises h11.RemoteProtocolError, OSError or PeerEnded."""
        if self._work.event_needs_turn():
            await wait_for_turn()
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                data = await self.connection.receive()
                if not data and not self._body_ends_at_close():
                    raise PeerEnded
                self.parser.receive_data(data)
            elif isinstance(event, h11.ConnectionClosed):
                raise PeerEnded
            else:
                return event

    def _body_ends_at_close(self) -> bool:
        """Whether the end of the stream may end the body, as in HTTP/1.0; h11 checks the framing itself."""
        return self.parser.their_state is h11.SEND_BODY and self.parser.their_http_version == b"1.0"

    async def response(self) -> h11.Response:
        """Waits for the head of the response. Raises the errors of `event`."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Response):
                return event

    async def body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Reads the body. Raises the errors of `event`, h11.RemoteProtocolError also over `max_bytes`."""
        parts = bytearray()
        while True:
            event = await self.event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(parts)
            parts += event.data
            if len(parts) > max_bytes:
                raise h11.RemoteProtocolError("response body too long")

    def exchange_complete(self) -> bool:
        """Returns whether both sides of the exchange are complete, so that the connection can be reused.

        Reads the rest of the response as far as it is available. Raises OSError or h11.RemoteProtocolError.
        """
        parser = self.parser
        read = 0
        work = InputWork()
        while parser.their_state is h11.SEND_BODY:
            if work.event_needs_turn():
                return False  # the caller asks again later
            event = parser.next_event()
            if event is h11.NEED_DATA:
                # A worker that keeps sending after its answer must not block the event loop.
                if (
                    self.connection.closed
                    or read > MAX_BODY_BYTES
                    or not self.connection.fill_now()
                ):
                    return False
                data = self.connection.inbound.take()
                read += len(data)
                parser.receive_data(data)
        return (
            parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
