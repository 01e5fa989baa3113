"""The interface between frontends and the worker client: worker messages and the codec that reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from yewrill.dispatch.request import Attempt


class MalformedResponse(Exception):
    """A worker's answer that violates the protocol."""


@dataclass(slots=True)
class WorkerMessage:
    """A worker's message about a request; `state` is started, running, done, failed, returned or lost."""

    id: Any
    state: str
    share: float = 0.0  # fraction of the work that is done, from 0 to 1
    result: Any = None
    load: Any = None  # the worker's load report, not yet validated


class Decoder(Protocol):
    """Decodes one worker answer for a frontend."""

    def feed(self, data: bytes) -> list[WorkerMessage]:
        """Decodes the next bytes; returns the messages they complete. Raises MalformedResponse."""


class WorkerCodec(Protocol):
    """Encodes requests to workers and decodes their answers for a frontend."""

    content_type: str  # Content-Type required of responses with status 200; empty: any is accepted

    def encode_request(self, attempt: Attempt, wait_ms: int) -> tuple[str, str, list[tuple], bytes]:
        """Returns method, target, headers and body of an attempt whose time limit is `wait_ms`."""

    def decoder(self) -> Decoder:
        """Returns a new decoder for one answer."""
