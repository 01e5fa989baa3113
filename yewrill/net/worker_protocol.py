"""What the frontends and the exchange with workers share: a worker's messages, and how they are read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from yewrill.dispatch.request import Attempt


class MalformedResponse(Exception):
    """A worker's answer that is not of the protocol's form."""


@dataclass(slots=True)
class WorkerMessage:
    """What a worker states about a request: started, running, done, failed, returned or lost."""

    id: Any
    state: str
    share: float = 0.0  # of the work that is done, from 0 to 1
    result: Any = None
    load: Any = None  # a load report, not yet checked


class Decoder(Protocol):
    """A frontend's reader of a worker's answer."""

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Take the next bytes; returns the messages that are whole. Raises MalformedResponse."""


class WorkerCodec(Protocol):
    """How a frontend speaks with workers."""

    content_type: str  # what a 200 must be; empty: anything

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """Method, target, headers and body of an attempt, which may take so many milliseconds."""

    def decoder(self) -> Decoder:
        """A decoder for one answer."""
