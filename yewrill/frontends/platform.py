"""The platform's protocol: HTTP requests, replies to clients, attempts and the messages of workers."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from typing import Any

import ujson

from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Attempt, Rejection, Request
from yewrill.net.client_connection import ClientConnection
from yewrill.net.http import MAX_BODY, BadRequest, HttpRequest, Reply
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage
from yewrill.policy.interface import Settings

RunToAnswer = Callable[[], Awaitable[Answer | None]]
ClosesAfterAnswer = Callable[[], bool]  # whether connections are to be closed after their answer

MAX_TARGET = 2048
MAX_SUBJECT_CHARS = 128  # characters of the cookie `user`
# The headers that are passed on, and the form that each must have. A worker closes its connection on
# what it can't read, which would count against the worker: so nothing else gets there.
_ID = re.compile(r"[A-Za-z0-9._~:/+=@-]{1,128}")
_NAME = re.compile(r"[!-~]{1,128}")
_TEXT = re.compile(r"[ -~]{1,1024}")
_FORWARDED_HEADERS = {
    b"x-request-id": _ID,
    b"idempotency-key": _ID,
    b"x-priority-class": _NAME,
    b"x-tenant-id": _TEXT,
    b"x-retried": _NAME,
    b"x-attrs": _TEXT,
    b"x-cost": _NAME,
    b"cookie": _TEXT,
    b"content-type": _TEXT,
}
# RFC 3986: a path and a query of plain characters.
_TARGET = re.compile(
    r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*"
    r"(?:\?(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*)?"
)


# Python's own float() also takes spaces, underscores and words, which a worker may not.
_NUMBER = re.compile(r"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?")


def _number(text: str, what: str, low: float, high: float) -> float:
    value = float(text) if _NUMBER.fullmatch(text) else math.nan
    if not low <= value <= high:  # not a number fails too
        raise BadRequest(400, f"bad number in {what}")
    return value


class RequestReader:
    """Turns an HTTP request into a request; used by every frontend."""

    def __init__(self, settings: Settings, margin: float):
        self.reconfigure(settings, margin)

    def reconfigure(self, settings: Settings, margin: float) -> None:
        """Take up settings; `margin`: ms of the client's timeout that are kept for the answer."""
        self.settings = settings
        self.margin = margin
        self._classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name: i for i, t in enumerate(settings.tenants)}

    def request_class(self, http_request: HttpRequest) -> int:
        """The class; 404 and 405 come before any look at the headers."""
        first = http_request.target.partition("?")[0][1:].partition("/")[0]
        if first not in self._classes:
            raise BadRequest(404, "no such path")
        if len(http_request.target) > MAX_TARGET:
            raise BadRequest(414, "target too long")
        if not _TARGET.fullmatch(http_request.target):
            raise BadRequest(400, "malformed target")
        if http_request.method != "POST":
            raise BadRequest(405, "POST only", (("Allow", "POST"),))
        named = http_request.single_header(b"x-priority-class")
        if named is not None and named not in self._classes:
            raise BadRequest(400, "unknown class in X-Priority-Class")
        if named is not None and named != first:
            raise BadRequest(400, "X-Priority-Class and path name different classes")
        return self._classes[first]

    def read_request(self, http_request: HttpRequest, now: float) -> Request:
        """`now`: when the request's first byte was read, by the decision engine's clock, in ms.

        Raises BadRequest.
        """
        request_class = self.request_class(http_request)
        http_request.passed = self._forwarded_headers(http_request)
        id = http_request.single_header(b"x-request-id")
        if not id:
            raise BadRequest(400, "X-Request-ID is missing")
        tenant = 0
        if self._tenants:
            name = http_request.single_header(b"x-tenant-id")
            if name not in self._tenants:
                raise BadRequest(400, "unknown tenant in X-Tenant-Id")
            tenant = self._tenants[name]
        client_timeout = http_request.single_header(b"x-timeout-ms")
        if client_timeout is None:
            wait = self.settings.classes[request_class].deadline
        elif client_timeout.isascii() and client_timeout.isdigit():
            wait = _number(client_timeout, "X-Timeout-Ms", 1, 86_400_000)
        else:
            raise BadRequest(400, "bad number in X-Timeout-Ms")
        retried = http_request.single_header(b"x-retried")
        if retried not in (None, "0", "1"):
            raise BadRequest(400, "X-Retried is neither 0 nor 1")
        attributes = self._attributes(http_request.single_header(b"x-attrs"))
        cost = http_request.single_header(b"x-cost")
        return Request(
            id,
            request_class,
            # A short timeout keeps at least half of its time, however wide the margin.
            now + max(wait - self.margin, wait * 0.5),
            tenant,
            width=attributes.get("width", attributes.get("slots", 1.0)),
            memory=attributes.get("memory", 0.0),
            hint=_number(cost, "X-Cost", 0, 1e9)
            if cost is not None
            else attributes.get("expected", 0.0),
            retry=retried == "1",
            subject=self._subject(http_request.single_header(b"cookie")),
            payload=http_request,
        )

    @staticmethod
    def _forwarded_headers(http_request: HttpRequest) -> list[tuple[bytes, bytes]]:
        """The headers that go on to a worker, each there once and well-formed."""
        passed = []
        for name, form in _FORWARDED_HEADERS.items():
            value = http_request.single_header(name)
            if value is not None:
                if not form.fullmatch(value):
                    raise BadRequest(400, f"malformed {name.decode()}")
                passed.append((name, value.encode()))
        return passed

    @staticmethod
    def _subject(cookies: str | None) -> str:
        """What the request concerns, by its cookie `user`; a cookie of another form says nothing of it."""
        for cookie in (cookies or "").split(";"):
            name, _, value = cookie.strip().partition("=")
            if name == "user":
                return value if len(value) <= MAX_SUBJECT_CHARS else ""
        return ""

    @staticmethod
    def _attributes(text: str | None) -> dict[str, float]:
        attributes: dict[str, float] = {}
        for part in (text or "").split(","):
            name, equals, value = part.strip().partition("=")
            if not name:
                continue
            if not equals or name in attributes:
                raise BadRequest(400, "malformed X-Attrs")
            if name in ("width", "slots", "memory", "expected"):
                attributes[name] = _number(value, f"X-Attrs {name}", 0, 1e9)
            else:  # a number that the policy has no use for, but the worker may
                attributes[name] = _number(value, f"X-Attrs {name}", -1e18, 1e18)
        return attributes


def forwarded_request(
    attempt: Attempt, wait_ms: int, accept: str = ""
) -> tuple[str, str, list[tuple], bytes]:
    """The client's request as it goes to a worker: what was checked is as it came, the rest is new."""
    http_request: HttpRequest = attempt.request.payload
    headers: list[tuple] = [("Host", "destination")]
    headers += http_request.passed
    if attempt.trace is not None:
        headers += attempt.trace.headers
    headers.append(("X-Timeout-Ms", str(wait_ms)))
    if accept:
        headers.append(("Accept", accept))
    headers.append(("Content-Length", str(len(http_request.body))))
    return http_request.method, http_request.target, headers, http_request.body


def parse_worker_message(text: bytes | str) -> WorkerMessage:
    """One JSON object of a worker's answer. Raises MalformedResponse."""
    try:
        message = ujson.loads(text)
        share = message.get("share", 0.0)
        state = message["state"]
        if (
            not isinstance(state, str)
            or isinstance(share, bool)
            or not isinstance(share, (int, float))
        ):
            raise MalformedResponse("fields of the wrong type")
        if not 0.0 <= share <= 1.0:  # not a number fails too
            raise MalformedResponse("share out of bounds")
        if state == "done":
            body_of(message["result"])  # a result that can't be written to a client is none
        return WorkerMessage(
            message["id"], state, float(share), message.get("result"), message.get("load")
        )
    except (ValueError, KeyError, AttributeError, TypeError, OverflowError) as error:
        raise MalformedResponse(f"not a job's line: {type(error).__name__}") from None


def body_of(result: Any) -> bytes:
    """A result as the client gets it. Raises ValueError or OverflowError for what JSON can't hold."""
    return (
        result.encode()
        if isinstance(result, str)
        else ujson.dumps(result, allow_nan=False).encode()
    )


def retry_after(answer: Rejection) -> str:
    """The value of Retry-After, in seconds."""
    return f"{answer.retry_after / 1000.0:.3f}".rstrip("0").rstrip(".")


class _JsonLinesDecoder:
    """A worker's lines of JSON, in whatever pieces they come."""

    __slots__ = ("_incomplete",)

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Take the next bytes. Raises MalformedResponse."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_BODY:
            raise MalformedResponse("line too long")
        return [parse_worker_message(line) for line in lines if line.strip()]


class PlatformFront:
    """One request, one reply."""

    content_type = ""
    takes_while_draining = True

    def __init__(self, reader: RequestReader):
        self.reader = reader

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """The request as it goes to a worker."""
        return forwarded_request(attempt, wait_ms)

    def decoder(self) -> _JsonLinesDecoder:
        """A decoder for one answer."""
        return _JsonLinesDecoder()

    def early_reply(self, http_request: HttpRequest) -> Reply | None:
        """A reply to what is no request, though it looks like one; here there is none."""
        return None

    async def respond(
        self,
        client: ClientConnection,
        request: Request,
        run_to_answer: RunToAnswer,
        closes_after_answer: ClosesAfterAnswer,
    ) -> bool:
        """Run a request and reply. Returns whether the connection may carry another."""
        answer = await run_to_answer()
        if answer is None or client.disconnected:
            return False
        close = closes_after_answer()
        return await client.send(client.http.encode_reply(self.reply(answer), close)) and not close

    def reply(self, answer: Answer) -> Reply:
        """The HTTP reply to a final answer."""
        if isinstance(answer, Served):
            return Reply(200, body_of(answer.result), content_type="application/octet-stream")
        if isinstance(answer, Rejection):
            headers = [("Retry-After", retry_after(answer))] if answer.retry_after > 0 else []
            return Reply(503, b"busy\n", headers)
        return Reply(502, answer.text.encode() + b"\n")
