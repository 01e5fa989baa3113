"""The platform's protocol: requests to operations, answers to replies, route steps to destinations' words."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from typing import Any

import ujson

from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Attempt, Rejection, Request
from yewrill.net.http import MAX_BODY, BadRequest, HttpRequest, Reply
from yewrill.net.listener import Client
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage
from yewrill.policy.interface import Settings

Carried = Callable[[], Awaitable[Answer | None]]
Closing = Callable[[], bool]  # whether connections are to be closed after their answer

MAX_TARGET = 2048
MOST_SUBJECT = 128  # characters of the cookie `user`
# The headers that are passed on, and the form that each must have. A destination closes its connection on
# what it can't read, which would count against the destination: so nothing else gets there.
_ID = re.compile(r"[A-Za-z0-9._~:/+=@-]{1,128}")
_NAME = re.compile(r"[!-~]{1,128}")
_TEXT = re.compile(r"[ -~]{1,1024}")
_PASSED = {
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


# Python's own float() also takes spaces, underscores and words, which a destination may not.
_NUMBER = re.compile(r"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?")


def _number(text: str, what: str, low: float, high: float) -> float:
    value = float(text) if _NUMBER.fullmatch(text) else math.nan
    if not low <= value <= high:  # not a number fails too
        raise BadRequest(400, f"bad number in {what}")
    return value


class Reader:
    """Turns a request's headers into an operation; used by every front."""

    def __init__(self, settings: Settings, margin: float):
        self.reconfigure(settings, margin)

    def reconfigure(self, settings: Settings, margin: float) -> None:
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
        named = http_request.one(b"x-priority-class")
        if named is not None and named not in self._classes:
            raise BadRequest(400, "unknown class in X-Priority-Class")
        if named is not None and named != first:
            raise BadRequest(400, "X-Priority-Class and path name different classes")
        return self._classes[first]

    def read_request(self, http_request: HttpRequest, now: float) -> Request:
        """`now` is the time at which the request's first byte was read, on the module's clock."""
        request_class = self.request_class(http_request)
        http_request.passed = self._passed(http_request)
        id = http_request.one(b"x-request-id")
        if not id:
            raise BadRequest(400, "X-Request-ID is missing")
        tenant = 0
        if self._tenants:
            name = http_request.one(b"x-tenant-id")
            if name not in self._tenants:
                raise BadRequest(400, "unknown tenant in X-Tenant-Id")
            tenant = self._tenants[name]
        patience = http_request.one(b"x-timeout-ms")
        if patience is None:
            wait = self.settings.classes[request_class].deadline
        elif patience.isascii() and patience.isdigit():
            wait = _number(patience, "X-Timeout-Ms", 1, 86_400_000)
        else:
            raise BadRequest(400, "bad number in X-Timeout-Ms")
        retried = http_request.one(b"x-retried")
        if retried not in (None, "0", "1"):
            raise BadRequest(400, "X-Retried is neither 0 nor 1")
        attributes = self._attributes(http_request.one(b"x-attrs"))
        cost = http_request.one(b"x-cost")
        return Request(
            id,
            request_class,
            # Short patience keeps at least half of its time, however wide the margin.
            now + max(wait - self.margin, wait * 0.5),
            tenant,
            width=attributes.get("width", attributes.get("slots", 1.0)),
            memory=attributes.get("memory", 0.0),
            hint=_number(cost, "X-Cost", 0, 1e9)
            if cost is not None
            else attributes.get("expected", 0.0),
            retry=retried == "1",
            subject=self._subject(http_request.one(b"cookie")),
            payload=http_request,
        )

    @staticmethod
    def _passed(http_request: HttpRequest) -> list[tuple[bytes, bytes]]:
        """The headers that go on to a destination, each there once and of its form."""
        passed = []
        for name, form in _PASSED.items():
            value = http_request.one(name)
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
                return value if len(value) <= MOST_SUBJECT else ""
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
            else:  # a figure the module has no use for, but the destination may
                attributes[name] = _number(value, f"X-Attrs {name}", -1e18, 1e18)
        return attributes


def passed_on(
    attempt: Attempt, wait_ms: int, accept: str = ""
) -> tuple[str, str, list[tuple], bytes]:
    """The client's request as it goes to a destination: what was checked is as it came, the rest is new."""
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
    """One JSON object of a destination's."""
    try:
        said = ujson.loads(text)
        share = said.get("share", 0.0)
        state = said["state"]
        if (
            not isinstance(state, str)
            or isinstance(share, bool)
            or not isinstance(share, (int, float))
        ):
            raise MalformedResponse("fields of the wrong type")
        if not 0.0 <= share <= 1.0:  # not a number fails too
            raise MalformedResponse("share out of bounds")
        if state == "done":
            body_of(said["result"])  # a result that can't be written to a client is none
        return WorkerMessage(said["id"], state, float(share), said.get("result"), said.get("load"))
    except (ValueError, KeyError, AttributeError, TypeError, OverflowError) as error:
        raise MalformedResponse(f"not a job's line: {type(error).__name__}") from None


def body_of(result: Any) -> bytes:
    return (
        result.encode()
        if isinstance(result, str)
        else ujson.dumps(result, allow_nan=False).encode()
    )


def retry_after(answer: Rejection) -> str:
    return f"{answer.retry_after / 1000.0:.3f}".rstrip("0").rstrip(".")


class _Lines:
    """Destinations' lines of JSON, in whatever pieces they come."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[WorkerMessage]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_BODY:
            raise MalformedResponse("line too long")
        return [parse_worker_message(line) for line in lines if line.strip()]


class PlatformFront:
    """One job, one request, one reply."""

    content_type = ""
    takes_while_draining = True

    def __init__(self, reader: Reader):
        self.reader = reader

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        return passed_on(attempt, wait_ms)

    def decoder(self) -> _Lines:
        return _Lines()

    def turned_back(self, http_request: HttpRequest) -> Reply | None:
        """A reply to what is no job, though it looks like one."""
        return None

    async def respond(
        self, client: Client, request: Request, carried: Carried, closing: Closing
    ) -> bool:
        """Carry an operation and reply; whether the connection may carry another request."""
        answer = await carried()
        if answer is None or client.gone:
            return False
        close = closing()
        return await client.send(client.http.whole(self.reply(answer), close)) and not close

    def reply(self, answer: Answer) -> Reply:
        if isinstance(answer, Served):
            return Reply(200, body_of(answer.result), content_type="application/octet-stream")
        if isinstance(answer, Rejection):
            headers = [("Retry-After", retry_after(answer))] if answer.retry_after > 0 else []
            return Reply(503, b"busy\n", headers)
        return Reply(502, answer.text.encode() + b"\n")
