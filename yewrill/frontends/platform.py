"""The platform frontend: reads requests, encodes replies and attempts, decodes worker messages."""

from __future__ import annotations

import math
import re
from collections.abc import Awaitable, Callable
from typing import Any

import ujson

from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Attempt, Rejection, Request
from yewrill.net.client_connection import ClientConnection
from yewrill.net.http import MAX_BODY_BYTES, BadRequest, HttpRequest, Reply
from yewrill.net.worker_protocol import MalformedResponse, WorkerMessage
from yewrill.policy.interface import Settings

RunToAnswer = Callable[[], Awaitable[Answer | None]]
# Tells whether the connection is to be closed after its answer.
ClosesAfterAnswer = Callable[[], bool]

MAX_TARGET_CHARS = 2048
MAX_SUBJECT_CHARS = 128  # maximum length of the value of the cookie `user`
# The headers that are forwarded to workers, and the pattern that each must match. A worker closes the
# connection on input that it can't parse, which would count against the worker; so only these are sent.
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
# Path and query of RFC 3986, limited to ASCII.
_TARGET = re.compile(
    r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*"
    r"(?:\?(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*)?"
)


# Python's float() also accepts spaces, underscores and words such as `nan`, which a worker may not.
_NUMBER = re.compile(r"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]{1,3})?")


def _number(text: str, field: str, low: float, high: float) -> float:
    value = float(text) if _NUMBER.fullmatch(text) else math.nan
    if not low <= value <= high:  # a NaN fails this comparison too
        raise BadRequest(400, f"bad number in {field}")
    return value


class RequestReader:
    """Validates an HTTP request and builds the dispatcher's request from it; used by every frontend."""

    def __init__(self, settings: Settings, margin: float):
        self.reconfigure(settings, margin)

    def reconfigure(self, settings: Settings, margin: float) -> None:
        """Applies settings; `margin` is the part of a client's timeout reserved for the answer, in ms."""
        self.settings = settings
        self.margin = margin
        self._classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name: i for i, t in enumerate(settings.tenants)}

    def request_class(self, http_request: HttpRequest) -> int:
        """Returns the index of the request class in the path. Raises BadRequest.

        Unknown paths (404) and methods (405) are rejected before the headers are read.
        """
        path_class = http_request.target.partition("?")[0][1:].partition("/")[0]
        if path_class not in self._classes:
            raise BadRequest(404, "no such path")
        if len(http_request.target) > MAX_TARGET_CHARS:
            raise BadRequest(414, "target too long")
        if not _TARGET.fullmatch(http_request.target):
            raise BadRequest(400, "malformed target")
        if http_request.method != "POST":
            raise BadRequest(405, "POST only", (("Allow", "POST"),))
        stated = http_request.single_header(b"x-priority-class")
        if stated is not None and stated not in self._classes:
            raise BadRequest(400, "unknown class in X-Priority-Class")
        if stated is not None and stated != path_class:
            raise BadRequest(400, "X-Priority-Class and path name different classes")
        return self._classes[path_class]

    def read_request(self, http_request: HttpRequest, now: float) -> Request:
        """Validates an HTTP request and builds the dispatcher's request. Raises BadRequest.

        `now` is the time at which its first byte was read, in ms of the decision engine's clock.
        """
        request_class = self.request_class(http_request)
        http_request.forwarded_headers = self._forwarded_headers(http_request)
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
            timeout = self.settings.classes[request_class].deadline
        elif client_timeout.isascii() and client_timeout.isdigit():
            timeout = _number(client_timeout, "X-Timeout-Ms", 1, 86_400_000)
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
            # The margin for the answer takes at most half of the timeout.
            now + max(timeout - self.margin, timeout * 0.5),
            tenant,
            width=attributes.get("width", attributes.get("slots", 1.0)),
            memory=attributes.get("memory", 0.0),
            work_hint=_number(cost, "X-Cost", 0, 1e9)
            if cost is not None
            else attributes.get("expected", 0.0),
            retry=retried == "1",
            subject=self._subject(http_request.single_header(b"cookie")),
            payload=http_request,
        )

    @staticmethod
    def _forwarded_headers(http_request: HttpRequest) -> list[tuple[bytes, bytes]]:
        """Returns the headers to forward to a worker. Raises BadRequest if one is repeated or malformed."""
        forwarded = []
        for name, pattern in _FORWARDED_HEADERS.items():
            value = http_request.single_header(name)
            if value is not None:
                if not pattern.fullmatch(value):
                    raise BadRequest(400, f"malformed {name.decode()}")
                forwarded.append((name, value.encode()))
        return forwarded

    @staticmethod
    def _subject(cookies: str | None) -> str:
        """Returns the value of the cookie `user`, the request's affinity key; empty if absent or too long."""
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
            else:  # the dispatcher does not use it, but the worker may
                attributes[name] = _number(value, f"X-Attrs {name}", -1e18, 1e18)
        return attributes


def forwarded_request(
    attempt: Attempt, wait_ms: int, accept: str = ""
) -> tuple[str, str, list[tuple], bytes]:
    """Returns the request to a worker: validated client headers unchanged, the other headers are new."""
    http_request: HttpRequest = attempt.request.payload
    headers: list[tuple] = [("Host", "destination")]
    headers += http_request.forwarded_headers
    if attempt.trace is not None:
        headers += attempt.trace.headers
    headers.append(("X-Timeout-Ms", str(wait_ms)))
    if accept:
        headers.append(("Accept", accept))
    headers.append(("Content-Length", str(len(http_request.body))))
    return http_request.method, http_request.target, headers, http_request.body


def parse_worker_message(text: bytes | str) -> WorkerMessage:
    """Parses one JSON object of a worker's answer. Raises MalformedResponse."""
    try:
        message = ujson.loads(text)
        share = message.get("share", 0.0)
        state = message["state"]
        if (
            not isinstance(state, str)
            or isinstance(share, bool)
            or not isinstance(share, (int, float))
        ):
            raise MalformedResponse("field state or share of the wrong type")
        if not 0.0 <= share <= 1.0:  # a NaN fails this comparison too
            raise MalformedResponse("field share not between 0 and 1")
        if state == "done":
            encode_result(message["result"])  # raises if the result can't be encoded for the client
        return WorkerMessage(
            message["id"], state, float(share), message.get("result"), message.get("load")
        )
    except (ValueError, KeyError, AttributeError, TypeError, OverflowError) as error:
        raise MalformedResponse(f"not a valid message: {type(error).__name__}") from None


def encode_result(result: Any) -> bytes:
    """Encodes a result for the client. Raises ValueError or OverflowError if JSON can't represent it."""
    return (
        result.encode()
        if isinstance(result, str)
        else ujson.dumps(result, allow_nan=False).encode()
    )


def format_retry_after(answer: Rejection) -> str:
    """Returns the value of the header Retry-After, in seconds."""
    return f"{answer.retry_after / 1000.0:.3f}".rstrip("0").rstrip(".")


class _JsonLinesDecoder:
    """Decodes a worker's JSON lines, however the bytes are split."""

    __slots__ = ("_incomplete",)

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Decodes the next bytes; returns the messages they complete. Raises MalformedResponse."""
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_BODY_BYTES:
            raise MalformedResponse("line too long")
        return [parse_worker_message(line) for line in lines if line.strip()]


class PlatformFront:
    """The frontend that answers each request with one plain HTTP reply."""

    content_type = ""
    takes_while_draining = True

    def __init__(self, reader: RequestReader):
        self.reader = reader

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """Returns method, target, headers and body of the request to a worker."""
        return forwarded_request(attempt, wait_ms)

    def decoder(self) -> _JsonLinesDecoder:
        """Returns a new decoder for one answer."""
        return _JsonLinesDecoder()

    def early_reply(self, http_request: HttpRequest) -> Reply | None:
        """Returns None: every valid request is run."""
        return None

    async def respond(
        self,
        client: ClientConnection,
        request: Request,
        run_to_answer: RunToAnswer,
        closes_after_answer: ClosesAfterAnswer,
    ) -> bool:
        """Runs a request and sends the reply. Returns whether the connection may carry another request."""
        answer = await run_to_answer()
        if answer is None or client.disconnected:
            return False
        close = closes_after_answer()
        return await client.send(client.http.encode_reply(self.reply(answer), close)) and not close

    def reply(self, answer: Answer) -> Reply:
        """Returns the HTTP reply for a final answer."""
        if isinstance(answer, Served):
            return Reply(200, encode_result(answer.result), content_type="application/octet-stream")
        if isinstance(answer, Rejection):
            headers = (
                [("Retry-After", format_retry_after(answer))] if answer.retry_after > 0 else []
            )
            return Reply(503, b"busy\n", headers)
        return Reply(502, answer.text.encode() + b"\n")
