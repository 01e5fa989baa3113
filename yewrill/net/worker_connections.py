"""Connections to destinations, and one route step carried over one of them."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Protocol

import h11
import trio
import ujson

from yewrill.dispatch import load_report
from yewrill.dispatch import safety as rules
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt, Request
from yewrill.net.connection import OWN_SHORTAGE, Connection, Quiet
from yewrill.net.discovery import EndpointList
from yewrill.net.http import ClientSide, PeerEnded

log = logging.getLogger("yewrill.destinations")

PROBE_PATH = "/alive"
LOAD_PATH = "/metrics/load"  # the same, with a load report as its body, where destinations report
MOST_REPORT = 4096  # bytes of such a body
PROBE_TIMEOUT = 0.2
IDLE_PART = 0.7  # connections are retired after this part of the settings' idle limit
# After a kept connection has proved worn, a destination gets only new ones for this long, longer each time.
DISTRUST, MOST_DISTRUST = 5.0, 60.0
SETTLE = 0.25  # how long an answered exchange may take to end before its connection is given up
# An answer that names no job may come a second time some milliseconds later, and nothing would tell it from
# the next job's: so its connection carries none until then.
REST = 0.05


class MalformedResponse(Exception):
    """A destination's answer that is not the protocol's."""


@dataclass(slots=True)
class Word:
    """What a destination says of a job: started, running, done, failed, returned or lost."""

    id: Any
    state: str
    share: float = 0.0
    result: Any = None
    load: Any = None  # a load report, not yet checked


class Decoder(Protocol):
    """A front's reader of a destination's answer."""

    def feed(self, data: bytes) -> list[Word]: ...


class WorkerCodec(Protocol):
    """How a front speaks with destinations."""

    content_type: str  # what a 200 must be; empty: anything

    def encode_request(
        self, attempt: Attempt, wait_ms: int
    ) -> tuple[str, str, list[tuple], bytes]: ...

    def decoder(self) -> Decoder: ...


_WORD_ENDINGS = {
    "done": AttemptOutcome.SERVED,
    "failed": AttemptOutcome.FAILED,
    "returned": AttemptOutcome.REJECTED,
    "lost": AttemptOutcome.RESET,
}


@dataclass(slots=True)
class _Line:
    """A connection to a destination."""

    http: ClientSide
    address: tuple[str, int]
    idle_since: float = 0.0
    kept: bool = False  # it has carried an exchange before
    rests_until: float = 0.0


def _client_gone(request: Request) -> bool:
    return request.client_left or (request.has_left is not None and request.has_left())


class WorkerConnectionPool:
    def __init__(
        self,
        engine: DecisionEngine,
        endpoints: EndpointList,
        codec: WorkerCodec,
        *,
        most: int,
        connect_timeout: float,
        idle_limit: float,
    ):
        self._engine = engine
        self._endpoints = endpoints
        self._codec = codec
        self._most = most
        self.reconfigure(connect_timeout, idle_limit)
        self._idle: dict[str, list[_Line]] = {}
        self.open = 0
        # Attempts whose first byte was not written.
        self.held_back: Counter[rules.HeldBack] = Counter()
        self._settling: list[tuple[str, _Line, float]] = []
        self._distrust: dict[str, tuple[float, float]] = {}  # until when, and for how long that was
        endpoints.on_change = self._changed
        self.on_written: Callable[[], None] = lambda: None  # an attempt's last byte is written
        # Where something must be on disk before an attempt's first byte: waits for that, says whether it is.
        self.record_attempt: Callable[[Attempt], Awaitable[bool]] | None = None

    def reconfigure(self, connect_timeout: float, idle_limit: float) -> None:
        """In seconds: how long a connection may take to come up, and how long it may stand idle there."""
        self._connect_timeout = connect_timeout
        self._keep = idle_limit * IDLE_PART

    # -- one route step

    async def run_attempt(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        """Carry a route step to its end. Its connection is closed or back in the pool on return."""
        scope = attempt.scope
        scope.deadline = min(scope.deadline, self._engine.loop_time(attempt.until))

        def on_sent() -> None:
            attempt.written = True
            if attempt.trace is not None:
                attempt.trace.written = trio.current_time()
            self.on_written()

        answer: tuple[AttemptOutcome, Any] | None = None
        with scope:
            answer = await self._try(attempt, on_sent)
        if answer is not None:
            return answer
        if (
            not attempt.written
        ):  # given up before its last byte went out: the destination never starts on it
            ours = (
                not attempt.sent or attempt.withdrawn is AttemptOutcome.NOT_SENT
            )  # which says nothing against it
            return AttemptOutcome.NOT_SENT if ours else AttemptOutcome.UNREACHABLE, None
        return attempt.withdrawn or AttemptOutcome.TIMED_OUT, None

    async def _try(
        self, attempt: Attempt, on_sent: Callable[[], None]
    ) -> tuple[AttemptOutcome, Any]:
        endpoint = self._endpoints.get(attempt.worker)
        if endpoint is None:
            return AttemptOutcome.NOT_SENT, None
        trace = attempt.trace
        if trace is not None:
            trace.begin = trio.current_time()
        kept = self.record_attempt is None or await self.record_attempt(attempt)
        if not kept:
            return self._held_back(attempt, record_kept=False)
        line = self._take(endpoint)
        if line is None:
            if not self._make_room():
                log.warning("sockets-short open=%d: route step not sent", self.open)
                return AttemptOutcome.NOT_SENT, None
            try:
                line = await self._open(endpoint)
            except trio.TooSlowError:
                return AttemptOutcome.UNREACHABLE, None
            except OSError as error:
                if error.errno not in OWN_SHORTAGE:
                    return AttemptOutcome.UNREACHABLE, None
                # Our own shortage says nothing against the destination.
                log.warning("sockets-short open=%d: %s", self.open, error.strerror)
                return AttemptOutcome.NOT_SENT, None
        if trace is not None:
            trace.connected = trio.current_time()
        keep = False
        try:
            # Opening took time: the last look before the first byte.
            if (held := self._held_back(attempt)) is not None:
                keep = True
                return held
            attempt.sent = self._engine.now()
            wait = max(1, int(attempt.until - attempt.sent))
            self._check_told(attempt, wait)
            data = line.http.encode(*self._codec.encode_request(attempt, wait))
            try:
                await line.http.connection.send(data)
            except OSError:
                if line.kept:
                    self._worn(attempt.worker)
                if line.http.connection.unsent:
                    return (
                        AttemptOutcome.STALE_UNREACHABLE
                        if line.kept
                        else AttemptOutcome.UNREACHABLE
                    ), None
                return (AttemptOutcome.STALE_RESET if line.kept else AttemptOutcome.RESET), None
            on_sent()
            try:
                outcome, result = await self._answer(attempt, line)
            except (OSError, PeerEnded):
                if line.kept and line.http.parser.their_state is h11.SEND_RESPONSE:
                    self._worn(attempt.worker)
                    return AttemptOutcome.STALE_RESET, None
                return AttemptOutcome.RESET, None
            except (h11.RemoteProtocolError, MalformedResponse) as error:
                log.warning("garbled worker=%s: %s", attempt.worker, error)
                return AttemptOutcome.MALFORMED_RESPONSE, None
            keep = outcome is not AttemptOutcome.RESET
            return outcome, result
        finally:
            if keep:
                self._give_back(attempt.worker, line)
            else:
                self._drop(line)

    def _held_back(
        self, attempt: Attempt, record_kept: bool = True
    ) -> tuple[AttemptOutcome, None] | None:
        """None if a step's first byte may be written now; else its ending, counted and told."""
        reason = rules.may_send(
            rules.SendFacts(
                self._engine.now(),
                attempt.until,
                self._endpoints.may_send(attempt.worker),
                record_kept and _client_gone(attempt.request),
                record_kept,
            )
        )
        if reason is None:
            return None
        self.held_back[reason] += 1
        log.log(
            logging.WARNING if reason is rules.HeldBack.RECORD_NOT_KEPT else logging.DEBUG,
            "held-back request=%s attempt=%d worker=%s reason=%s",
            attempt.request.id,
            attempt.number,
            attempt.worker,
            reason.name.lower(),
        )
        return AttemptOutcome.NOT_SENT, None

    def _check_told(self, attempt: Attempt, wait: int) -> None:
        broken = rules.check_timeout(wait, attempt.sent, attempt.request.deadline)
        if broken is not None:
            self._engine.violations.note(
                broken, request=attempt.request.id, attempt=attempt.number, told_ms=wait
            )

    async def _answer(self, attempt: Attempt, line: _Line) -> tuple[AttemptOutcome, Any]:
        response = await line.http.response()
        status = response.status_code
        if status != 200:
            line.rests_until = trio.current_time() + REST
            for name, value in response.headers:
                if name == b"x-server-load":
                    attempt.load = load_report.from_header(value.decode("latin-1"))
            if status in (503, 504) and (b"x-not-processed", b"1") in list(response.headers):
                return AttemptOutcome.REJECTED, None
            return AttemptOutcome.FAILED, None
        if self._codec.content_type:
            kinds = [value for name, value in response.headers if name == b"content-type"]
            if (
                not kinds
                or kinds[0].split(b";")[0].strip().lower() != self._codec.content_type.encode()
            ):
                raise MalformedResponse("wrong content type")
        decoder = self._codec.decoder()
        while True:
            event = await line.http.event()
            if isinstance(event, h11.EndOfMessage):
                return AttemptOutcome.RESET, None  # the answer ended before its last line
            for word in decoder.feed(bytes(event.data)):
                if word.id != attempt.request.id:
                    raise MalformedResponse(f"answer for {str(word.id)[:64]!r}")
                if word.state == "started":
                    self._engine.started(attempt)
                elif word.state == "running":
                    self._engine.progress(attempt, word.share)
                else:
                    outcome = _WORD_ENDINGS.get(word.state)
                    if outcome is None:
                        raise MalformedResponse(f"state {word.state[:64]!r}")
                    attempt.load = word.load
                    return outcome, word.result

    # -- probes

    async def probe(self, name: str) -> tuple[AttemptOutcome, Any]:
        """Ask a destination whether it is alive, and for its load where it reports one. What was not asked
        counts as turned away, which the module takes for no news; any other ending would have it leave the
        destination alone for a while."""
        endpoint = self._endpoints.get(name)
        if endpoint is None or not self._endpoints.may_send(name):
            return AttemptOutcome.REJECTED, None
        # On a new connection: how an old one fares says little of the destination.
        line: _Line | None = None
        keep = False
        load = None
        try:
            with trio.fail_after(PROBE_TIMEOUT):
                if not self._make_room():
                    return AttemptOutcome.REJECTED, None
                line = await self._open(endpoint)
                if not self._endpoints.may_send(name):  # opening took time
                    return AttemptOutcome.REJECTED, None
                path = LOAD_PATH if self._engine.reports_load else PROBE_PATH
                await line.http.connection.send(
                    line.http.encode("GET", path, [("Host", "destination")])
                )
                response = await line.http.response()
                line.rests_until = trio.current_time() + REST
                if self._engine.reports_load and response.status_code == 200:
                    with suppress(ValueError):
                        load = ujson.loads(await line.http.body(MOST_REPORT))
                keep = True
        except (OSError, trio.TooSlowError, PeerEnded) as error:
            short = isinstance(error, OSError) and error.errno in OWN_SHORTAGE
            return AttemptOutcome.REJECTED if short else AttemptOutcome.UNREACHABLE, None
        except h11.RemoteProtocolError:
            return AttemptOutcome.MALFORMED_RESPONSE, None
        finally:
            if line is not None:
                if keep:
                    self._give_back(name, line)
                else:
                    self._drop(line)
        endings = {200: AttemptOutcome.SERVED, 503: AttemptOutcome.REJECTED}
        return endings.get(response.status_code, AttemptOutcome.FAILED), load

    # -- the pool

    async def _open(self, endpoint: Endpoint) -> _Line:
        self.open += 1
        try:
            with trio.fail_after(self._connect_timeout):
                connection = await Connection.open(endpoint.address)
        except BaseException:
            self.open -= 1
            raise
        return _Line(ClientSide(connection), endpoint.address)

    def _take(self, endpoint: Endpoint) -> _Line | None:
        """An idle connection that is young, quiet and leads to the present address; the latest used first."""
        if self._settling and not self._idle.get(endpoint.id):
            self._settle()
        now, resting = trio.current_time(), []
        idle = self._idle.get(endpoint.id, [])
        while idle:
            line = idle.pop()
            fresh = now - line.idle_since < self._keep
            usable = fresh and line.address == endpoint.address
            if not usable or line.http.connection.quiet() is not Quiet.IDLE:
                self._drop(line)
            elif line.rests_until > now:
                resting.append(line)
            else:
                idle += reversed(resting)
                return line
        idle += reversed(resting)
        return None

    def _worn(self, name: str) -> None:
        """A connection kept for this destination broke under its next request, so the others may too."""
        now = trio.current_time()
        until, span = self._distrust.get(name, (0.0, 0.0))
        if now >= until:
            span = min(max(2.0 * span, DISTRUST), MOST_DISTRUST)
            self._distrust[name] = now + span, span
            log.info("worn worker=%s: only new connections for %g s", name, span)
        for line in self._idle.pop(name, ()):
            self._drop(line)

    def _distrusted(self, name: str) -> bool:
        return name in self._distrust and trio.current_time() < self._distrust[name][0]

    def _give_back(self, name: str, line: _Line) -> None:
        try:
            settled = line.http.settled()
        except (OSError, h11.RemoteProtocolError):
            self._drop(line)
            return
        if settled or line.http.parser.our_state is h11.IDLE:
            if not self._endpoints.may_send(name) or self._distrusted(name):
                self._drop(line)
                return
            line.idle_since, line.kept = trio.current_time(), True
            self._idle.setdefault(name, []).append(line)
        elif line.http.parser.their_state is h11.SEND_BODY and not line.http.connection.closed:
            # The last line came without the end of the message: most often that is one read away.
            self._settling.append((name, line, trio.current_time() + SETTLE))
        else:
            self._drop(line)

    def _drop(self, line: _Line) -> None:
        if not line.http.connection.closed:
            line.http.connection.close()
            self.open -= 1

    def limit(self, most: int) -> None:
        """Another bound; idle connections beyond it go."""
        self._most = most
        while self.open > most and self._make_room():
            pass

    def _make_room(self) -> bool:
        """Whether one more connection may be opened; an idle one gives way if need be."""
        if self.open < self._most:
            return True
        oldest = min(
            (lines for lines in self._idle.values() if lines),
            key=lambda lines: lines[0].idle_since,
            default=None,
        )
        if oldest is None:
            return False
        self._drop(oldest.pop(0))
        return True

    def _changed(self, endpoint: Endpoint | None, name: str) -> None:
        """The pool config has changed: idle connections to what is gone, drains or has moved are no use."""
        if endpoint is None:
            self._distrust.pop(name, None)
        for line in self._idle.get(name, ()):
            if (
                endpoint is None
                or line.address != endpoint.address
                or not self._endpoints.may_send(name)
            ):
                self._drop(line)
        if name in self._idle:
            self._idle[name] = [
                line for line in self._idle[name] if not line.http.connection.closed
            ]
            if not self._idle[name]:
                del self._idle[name]

    def sweep(self) -> None:
        """Retire idle connections before the other side does, and settle the answered ones."""
        self._settle()
        now = trio.current_time()
        for name, lines in list(self._idle.items()):
            kept = []
            for line in lines:
                if (
                    now - line.idle_since < self._keep
                    and line.http.connection.quiet() is Quiet.IDLE
                ):
                    kept.append(line)
                else:
                    self._drop(line)
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def _settle(self) -> None:
        """Look whether answered exchanges have ended by now."""
        now = trio.current_time()
        settling, self._settling = self._settling, []
        for name, line, until in settling:
            if now >= until:
                self._drop(line)
                continue
            with suppress(OSError, h11.RemoteProtocolError):
                if line.http.settled():
                    self._give_back(name, line)
                    continue
                self._settling.append((name, line, until))
                continue
            self._drop(line)

    async def keep_tidy(self, every: float = 0.1) -> None:
        while True:
            await trio.sleep(every)
            self.sweep()

    def close(self) -> None:
        for lines in self._idle.values():
            for line in lines:
                self._drop(line)
        for _, line, _ in self._settling:
            self._drop(line)
        self._idle, self._settling = {}, []
