"""The worker client: runs attempts and health checks over connections of the pool.

Order matters: an attempt's record is on disk before its connection is opened, and the rules are checked again
directly before the first byte is written, because recording and connecting take time.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import h11
import trio
import ujson

from yewrill.dispatch import load_report
from yewrill.dispatch import safety as rules
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.connection import LOCAL_CONNECT_ERRORS
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import PeerEnded
from yewrill.net.worker_connections import WorkerConnection, WorkerConnectionPool
from yewrill.net.worker_protocol import MalformedResponse, WorkerCodec, WorkerMessage

log = logging.getLogger("yewrill.destinations")

PROBE_PATH = "/alive"
# The health check of workers that report load; its response body is a load report.
LOAD_PATH = "/metrics/load"
MAX_REPORT_BYTES = 4096
PROBE_TIMEOUT_SECONDS = 0.2
# A response without a request id may be sent twice, some milliseconds apart, and the second one would be
# taken for the answer to the next request: so its connection is not reused for this time.
UNNAMED_ANSWER_PAUSE_SECONDS = 0.05

_FINAL_STATES = {
    "done": AttemptOutcome.SERVED,
    "failed": AttemptOutcome.FAILED,
    "returned": AttemptOutcome.REJECTED,
    "lost": AttemptOutcome.RESET,
}
_PROBE_STATUSES = {200: AttemptOutcome.SERVED, 503: AttemptOutcome.REJECTED}
# Outcomes of well-formed answers; after any other outcome the connection is closed.
_REUSABLE_AFTER = frozenset({AttemptOutcome.SERVED, AttemptOutcome.FAILED, AttemptOutcome.REJECTED})


class _ConnectFailed(Exception):
    """No connection was available for an attempt; carries the attempt's outcome."""

    def __init__(self, outcome: AttemptOutcome):
        super().__init__(outcome)
        self.outcome = outcome


class WorkerClient:
    """Runs attempts and health checks on workers."""

    def __init__(
        self,
        engine: DecisionEngine,
        endpoints: EndpointList,
        codec: WorkerCodec,
        connections: WorkerConnectionPool,
        *,
        on_written: Callable[[], None],
        record_attempt: Callable[[Attempt], Awaitable[bool]] | None = None,
    ):
        """`on_written` is called after the last byte of an attempt was written.

        `record_attempt` waits until an attempt's record is on disk and returns whether it is; before that no
        byte of the attempt is sent.
        """
        self._engine = engine
        self._endpoints = endpoints
        self._codec = codec
        self._connections = connections
        self._on_written = on_written
        self.record_attempt = record_attempt
        # Number of chosen attempts that were not sent, by reason.
        self.held_back: Counter[rules.HeldBack] = Counter()

    async def run_attempt(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        """Runs an attempt to its outcome. Its connection is closed or back in the pool on return.

        Cancelling the attempt's own scope ends it with an outcome; other cancellations propagate.
        """
        scope = attempt.scope
        scope.deadline = min(scope.deadline, self._engine.loop_time(attempt.deadline))
        answer: tuple[AttemptOutcome, Any] | None = None
        with scope:
            answer = await self._connect_and_exchange(attempt)
        if answer is not None:
            return answer
        if attempt.written:
            return attempt.withdrawn or AttemptOutcome.TIMED_OUT, None
        # The attempt was cancelled before its last byte was written, so the worker does not run it. That
        # counts against the worker only if it was slow to read.
        if not attempt.sent or attempt.withdrawn is AttemptOutcome.NOT_SENT:
            return AttemptOutcome.NOT_SENT, None
        return AttemptOutcome.UNREACHABLE, None

    async def _connect_and_exchange(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        endpoint = self._endpoints.get(attempt.worker)
        if endpoint is None:
            return AttemptOutcome.NOT_SENT, None
        if attempt.trace is not None:
            attempt.trace.begin = trio.current_time()
        recorded = self.record_attempt is None or await self.record_attempt(attempt)
        if not recorded:
            return self._check_may_send(attempt, record_kept=False)
        try:
            connection = await self._connection(endpoint)
        except _ConnectFailed as failure:
            return failure.outcome, None
        if attempt.trace is not None:
            attempt.trace.connected = trio.current_time()
        reusable = False
        try:
            if attempt.request.settle_client_input is not None:
                await attempt.request.settle_client_input()
            # Connecting took time: the rules are checked again directly before the first byte.
            if (held_back := self._check_may_send(attempt)) is not None:
                reusable = True
                return held_back
            outcome, result = await self._exchange(attempt, connection)
            reusable = outcome in _REUSABLE_AFTER
            return outcome, result
        finally:
            if reusable:
                self._connections.release(attempt.worker, connection)
            else:
                self._connections.discard(connection)

    async def _connection(self, endpoint: Endpoint) -> WorkerConnection:
        """Returns an idle connection or opens one. Raises _ConnectFailed."""
        connection = self._connections.take_idle(endpoint)
        if connection is not None:
            return connection
        if not self._connections.make_room():
            log.warning(
                "worker_sockets_exhausted open=%d: attempt not sent", self._connections.open
            )
            raise _ConnectFailed(AttemptOutcome.NOT_SENT)
        try:
            return await self._connections.connect(endpoint)
        except trio.TooSlowError:
            raise _ConnectFailed(AttemptOutcome.UNREACHABLE) from None
        except OSError as error:
            if error.errno not in LOCAL_CONNECT_ERRORS:
                raise _ConnectFailed(AttemptOutcome.UNREACHABLE) from None
            # A local shortage of resources says nothing about the worker.
            log.warning(
                "worker_sockets_exhausted open=%d: %s", self._connections.open, error.strerror
            )
            raise _ConnectFailed(AttemptOutcome.NOT_SENT) from None

    async def _exchange(
        self, attempt: Attempt, connection: WorkerConnection
    ) -> tuple[AttemptOutcome, Any]:
        attempt.sent = self._engine.now()
        wait_ms = max(1, int(attempt.deadline - attempt.sent))
        self._check_stated_time(attempt, wait_ms)
        data = connection.http.encode(*self._codec.encode_request(attempt, wait_ms))
        try:
            await connection.http.connection.send(data)
        except OSError:
            return self._send_failed(attempt, connection), None
        del data  # the wait for the answer may be long
        self._mark_written(attempt)
        try:
            return await self._read_answer(attempt, connection)
        except (OSError, PeerEnded):
            return self._receive_failed(attempt, connection), None
        except (h11.RemoteProtocolError, MalformedResponse) as error:
            log.warning("worker_response_malformed worker=%s: %s", attempt.worker, error)
            return AttemptOutcome.MALFORMED_RESPONSE, None

    def _mark_written(self, attempt: Attempt) -> None:
        attempt.written = True
        if attempt.trace is not None:
            attempt.trace.written = trio.current_time()
        self._on_written()

    def _send_failed(self, attempt: Attempt, connection: WorkerConnection) -> AttemptOutcome:
        if connection.reused:
            self._connections.pause_reuse(attempt.worker)
        if connection.http.connection.unsent:
            if connection.reused:
                return AttemptOutcome.STALE_UNREACHABLE
            return AttemptOutcome.UNREACHABLE
        return AttemptOutcome.STALE_RESET if connection.reused else AttemptOutcome.RESET

    def _receive_failed(self, attempt: Attempt, connection: WorkerConnection) -> AttemptOutcome:
        if connection.reused and connection.http.parser.their_state is h11.SEND_RESPONSE:
            self._connections.pause_reuse(attempt.worker)
            return AttemptOutcome.STALE_RESET
        return AttemptOutcome.RESET

    def _check_may_send(
        self, attempt: Attempt, record_kept: bool = True
    ) -> tuple[AttemptOutcome, None] | None:
        """Returns None if the attempt may be sent now, else its outcome, which is counted and logged."""
        reason = rules.may_send(
            rules.SendFacts(
                self._engine.now(),
                attempt.deadline,
                self._endpoints.may_send(attempt.worker),
                record_kept and _client_left(attempt.request),
                record_kept,
            )
        )
        if reason is None:
            return None
        self.held_back[reason] += 1
        log.log(
            logging.WARNING if reason is rules.HeldBack.RECORD_NOT_KEPT else logging.DEBUG,
            "attempt_held_back request=%s attempt=%d worker=%s reason=%s",
            attempt.request.id,
            attempt.number,
            attempt.worker,
            reason.name.lower(),
        )
        return AttemptOutcome.NOT_SENT, None

    def _check_stated_time(self, attempt: Attempt, wait_ms: int) -> None:
        """Counts a violation if the worker is given more time than the client has."""
        broken = rules.check_timeout(wait_ms, attempt.sent, attempt.request.deadline)
        if broken is not None:
            self._engine.violations.note(
                broken, request=attempt.request.id, attempt=attempt.number, told_ms=wait_ms
            )

    async def _read_answer(
        self, attempt: Attempt, connection: WorkerConnection
    ) -> tuple[AttemptOutcome, Any]:
        response = await connection.http.response()
        if response.status_code != 200:
            connection.reusable_from = trio.current_time() + UNNAMED_ANSWER_PAUSE_SECONDS
            return _outcome_of_status(attempt, response), None
        self._check_content_type(response)
        decoder = self._codec.decoder()
        while True:
            event = await connection.http.event()
            if isinstance(event, h11.EndOfMessage):
                return AttemptOutcome.RESET, None  # the response ended before a final message
            for message in decoder.feed(bytes(event.data)):
                outcome = self._take_message(attempt, message)
                if outcome is not None:
                    attempt.load = message.load
                    return outcome, message.result

    def _check_content_type(self, response: h11.Response) -> None:
        if not self._codec.content_type:
            return
        types = [value for name, value in response.headers if name == b"content-type"]
        expected = self._codec.content_type.encode()
        if not types or types[0].split(b";")[0].strip().lower() != expected:
            raise MalformedResponse("unexpected Content-Type of the response")

    def _take_message(self, attempt: Attempt, message: WorkerMessage) -> AttemptOutcome | None:
        """Returns the attempt's outcome if a message is final, else None. Raises MalformedResponse."""
        if message.id != attempt.request.id:
            raise MalformedResponse(f"answer to another request: id {str(message.id)[:64]!r}")
        if message.state == "started":
            self._engine.started(attempt)
            return None
        if message.state == "running":
            self._engine.progress(attempt, message.share)
            return None
        outcome = _FINAL_STATES.get(message.state)
        if outcome is None:
            raise MalformedResponse(f"unknown state {message.state[:64]!r}")
        return outcome

    async def probe(self, worker: str) -> tuple[AttemptOutcome, Any]:
        """Checks a worker's health, and reads its load report if it sends one.

        A probe that was not sent counts as REJECTED, which the policy module treats as no information; any
        other failure would keep the worker ejected.
        """
        endpoint = self._endpoints.get(worker)
        if endpoint is None or not self._endpoints.may_send(worker):
            return AttemptOutcome.REJECTED, None
        # The check uses a new connection, because the state of an old one says little about the worker.
        connection: WorkerConnection | None = None
        reusable = False
        load = None
        try:
            with trio.fail_after(PROBE_TIMEOUT_SECONDS):
                if not self._connections.make_room():
                    return AttemptOutcome.REJECTED, None
                connection = await self._connections.connect(endpoint)
                if not self._endpoints.may_send(worker):  # the state may have changed meanwhile
                    return AttemptOutcome.REJECTED, None
                path = LOAD_PATH if self._engine.reports_load else PROBE_PATH
                await connection.http.connection.send(
                    connection.http.encode("GET", path, [("Host", "destination")])
                )
                response = await connection.http.response()
                connection.reusable_from = trio.current_time() + UNNAMED_ANSWER_PAUSE_SECONDS
                if self._engine.reports_load and response.status_code == 200:
                    with suppress(ValueError):
                        load = ujson.loads(await connection.http.body(MAX_REPORT_BYTES))
                reusable = True
        except (OSError, trio.TooSlowError, PeerEnded) as error:
            local_shortage = isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS
            return AttemptOutcome.REJECTED if local_shortage else AttemptOutcome.UNREACHABLE, None
        except h11.RemoteProtocolError:
            return AttemptOutcome.MALFORMED_RESPONSE, None
        finally:
            if connection is not None:
                if reusable:
                    self._connections.release(worker, connection)
                else:
                    self._connections.discard(connection)
        return _PROBE_STATUSES.get(response.status_code, AttemptOutcome.FAILED), load


def _client_left(request: Request) -> bool:
    return request.client_left or (
        request.poll_client_left is not None and request.poll_client_left()
    )


def _outcome_of_status(attempt: Attempt, response: h11.Response) -> AttemptOutcome:
    """Returns the outcome for a status other than 200; keeps a load report found in the headers."""
    for name, value in response.headers:
        if name == b"x-server-load":
            attempt.load = load_report.from_header(value.decode("latin-1"))
    if response.status_code in (503, 504) and (b"x-not-processed", b"1") in list(response.headers):
        return AttemptOutcome.REJECTED
    return AttemptOutcome.FAILED
