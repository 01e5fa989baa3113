"""Simulated clients whose requests cost a dispatcher much. None of the requests is complete and sound."""

from __future__ import annotations

import itertools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import trio

from yewrill.lab.soak.http import DISCONNECTED, reset

HEAVY_CLIENTS = 30  # number of such clients of one dispatcher
BODY_BYTES = 64 * 1024
# A slow body of this pace is not complete when the dispatcher's time limit for requests ends.
SLOW_PIECE_BYTES = 400
SLOW_INTERVAL_SECONDS = 0.02
RETRY_PAUSE_SECONDS = 0.05
SHORT_FIELDS = b"a:\r\n" * 3800  # just under the limit on the bytes of a head
TINY_CHUNKS = b"1\r\nx\r\n" * 20_000
_numbers = itertools.count()


def _head(*fields: bytes) -> bytes:
    lines = (
        b"POST /tour HTTP/1.1",
        b"Host: app",
        b"X-Request-ID: heavy-%d" % next(_numbers),
        b"X-Tenant-Id: acme",
        b"X-Timeout-Ms: 1000",
        *fields,
    )
    return b"\r\n".join(lines) + b"\r\n"


def _sized_head() -> bytes:
    return _head(b"Content-Length: %d" % BODY_BYTES) + b"\r\n"


async def _half_body() -> AsyncIterator[bytes]:
    yield _sized_head() + b"x" * (BODY_BYTES // 2)


async def _slow_body() -> AsyncIterator[bytes]:
    yield _sized_head()
    for _ in range(BODY_BYTES // SLOW_PIECE_BYTES):
        yield b"x" * SLOW_PIECE_BYTES
        await trio.sleep(SLOW_INTERVAL_SECONDS)


async def _many_fields() -> AsyncIterator[bytes]:
    yield _head() + SHORT_FIELDS


async def _tiny_chunks() -> AsyncIterator[bytes]:
    yield _head(b"Transfer-Encoding: chunked") + b"\r\n" + TINY_CHUNKS


async def _unsound_request() -> AsyncIterator[bytes]:
    yield b"no request\r\n\r\n"


REQUESTS: tuple[Callable[[], AsyncIterator[bytes]], ...] = (
    _half_body,
    _slow_body,
    _many_fields,
    _tiny_chunks,
    _unsound_request,
)


async def send_heavy_requests(
    address: tuple[str, int], rng: random.Random, duration: float
) -> None:
    """Runs HEAVY_CLIENTS clients of one kind; each begins its next request as soon as the last has ended."""
    request = rng.choice(REQUESTS)
    with trio.move_on_after(duration):
        async with trio.open_nursery() as nursery:
            for _ in range(HEAVY_CLIENTS):
                nursery.start_soon(_run_client, address, request)


async def _run_client(
    address: tuple[str, int], request: Callable[[], AsyncIterator[bytes]]
) -> None:
    while True:
        with suppress(*DISCONNECTED):
            await _send_one(await trio.open_tcp_stream(*address), request())
        await trio.sleep(RETRY_PAUSE_SECONDS)


async def _send_one(stream: trio.SocketStream, pieces: AsyncIterator[bytes]) -> None:
    """Sends a request, then reads until the dispatcher closes the connection."""
    try:
        async for piece in pieces:
            await stream.send_all(piece)
        while await stream.receive_some():
            pass
    finally:
        reset(stream)
