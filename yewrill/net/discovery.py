"""The watch that keeps the endpoint list fresh by long polls at discovery."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass

import h11
import trio
import ujson

from yewrill.config.errors import ConfigError
from yewrill.net.connection import Connection
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import ClientSide, PeerEnded

log = logging.getLogger("yewrill.discovery")

PATH = "/discovery/hosts"
# A change must be known here 6 s after discovery had it and could be reached, whatever became of the calls
# before. So between two chances to learn of it there is never more than that: a call without an answer is
# given up after the hold and its grace, a rejected one is repeated within the first and the longest pause,
# and the call that follows any such end, a recovery call, is answered or given up within its timeout.
HOLD_MS = 4000
ANSWER_GRACE_SECONDS = 0.8  # past the hold before discovery counts as silent
RECOVERY_TIMEOUT_SECONDS = 3.0  # given up early, a call still takes its turn in discovery's queue
RECOVERY_HOLD_MS = (
    1000  # answered soon with or without a change, so that contact is known to be there
)
CONNECT_TIMEOUT_SECONDS = 0.5  # a SYN that was lost is sent again late, 1 s on
RETRY_PAUSE_SECONDS = 0.1  # after a failed call: within the 200 ms that keep a watch whole
# A discovery that rejects calls has too many of them: those of a whole fleet at once. So they spread, each
# dispatcher's at random over as many of these seconds as there are callers, and grow rarer. One that many
# call may end what it has no time for by a reset too: there only the first pause in a row is short.
REJECTED_PAUSE_SECONDS, PAUSE_GROWTH, MAX_PAUSE_SECONDS = 0.3, 1.5, 2.7
MAX_COUNTED_FAILURES = 10  # in a row; the pause grows no more by then
MAX_LIST_BYTES = 4 * 1024 * 1024  # a list of some ten thousand endpoints
INPUT_BUFFER_BYTES = 65536


class CallRejected(Exception):
    """Discovery has not taken the call. It says nothing against what is known of the list."""


def pause_after(failures: int, callers: int, chance: float) -> float:
    """Seconds until a discovery that so many dispatchers call is asked again, after a call that failed and so
    many others before it in a row; `chance` from 0 to 1. A fleet that asked again at once would keep a queue
    full in which all fail."""
    spread = REJECTED_PAUSE_SECONDS * callers * PAUSE_GROWTH**failures
    return RETRY_PAUSE_SECONDS + chance * min(MAX_PAUSE_SECONDS, spread)


@dataclass(slots=True)
class _Session:
    """Where the watch stands with the discovery at one address."""

    address: tuple[str, int]
    side: ClientSide | None = None
    needs_whole_list: bool = True  # the list known before may be old: begin with all of it
    recovering: bool = True  # the call before did not get its answer
    lost: bool = False  # that has been logged
    failures: int = 0  # in a row

    def close(self) -> None:
        if self.side is not None:
            self.side.connection.close()
            self.side = None


class DiscoveryWatch:
    """Keeps the endpoint list fresh for good, also when discovery is silent, gone, malformed or moves."""

    def __init__(
        self, address: tuple[str, int], endpoints: EndpointList, seed: int = 0, callers: int = 1
    ):
        """`callers`: how many dispatchers call this discovery, this one among them."""
        self.address = address
        self.callers = callers
        self._endpoints = endpoints
        self._list_source = address  # the discovery whose version numbers the list has
        self._rng = random.Random(seed)
        self._scope = trio.CancelScope()
        self.answered = trio.Event()  # discovery has given a list

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address at once, even from within a held call, and take the whole list there."""
        if address != self.address:
            self.address = address
            self._scope.cancel()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                await self._follow(_Session(self.address))

    async def _follow(self, session: _Session) -> None:
        try:
            while True:
                try:
                    await self._poll(session)
                except (
                    OSError,
                    PeerEnded,
                    h11.ProtocolError,
                    ConfigError,
                    ValueError,
                    CallRejected,
                    trio.TooSlowError,
                ) as error:
                    pause = self._note_failure(session, error)
                    session.close()
                    await trio.sleep(pause)
        finally:
            session.close()

    async def _poll(self, session: _Session) -> None:
        """One call and its answer."""
        whole = session.needs_whole_list
        timeout = HOLD_MS / 1000.0 + ANSWER_GRACE_SECONDS
        with trio.fail_after(RECOVERY_TIMEOUT_SECONDS if session.recovering else timeout):
            if session.side is None:
                with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    session.side = ClientSide(
                        await Connection.open(session.address, ring=INPUT_BUFFER_BYTES)
                    )
            response, body = await self._call(
                session.side, whole, RECOVERY_HOLD_MS if session.recovering else HOLD_MS
            )
        self._apply(response, body, whole)
        self._note_success(session)
        if not session.side.settled():
            session.close()

    def _note_success(self, session: _Session) -> None:
        self._list_source = session.address
        self.answered.set()
        session.needs_whole_list = session.recovering = False
        session.failures = 0
        if session.lost:
            log.info(
                "discovery_recovered version=%d endpoints=%d",
                self._endpoints.version,
                len(self._endpoints),
            )
            session.lost = False

    def _note_failure(self, session: _Session, error: Exception) -> float:
        """Take a failed call into account; returns the seconds to the next one."""
        session.recovering = True
        if not session.lost:
            log.warning(
                "discovery_unavailable version=%d: %s %s",
                self._endpoints.version,
                type(error).__name__,
                error,
            )
            session.lost = True
        pause = RETRY_PAUSE_SECONDS
        rejected = isinstance(error, CallRejected)
        if rejected or (session.failures and self.callers > 1):
            pause = pause_after(session.failures, self.callers, self._rng.random())
        session.failures = min(session.failures + 1, MAX_COUNTED_FAILURES)
        if rejected:
            current = len(self._endpoints) and self._list_source == session.address
            session.needs_whole_list = session.needs_whole_list and not current
        elif isinstance(error, (ConfigError, ValueError)):
            session.needs_whole_list = True  # after malformed changes only the whole list is safe
        return pause

    async def _call(
        self, side: ClientSide, whole: bool, hold_ms: int
    ) -> tuple[h11.Response, bytes]:
        """Ask for the whole list, or for changes that may take so long to come."""
        target = PATH if whole else f"{PATH}?from={self._endpoints.version}&hold_ms={hold_ms}"
        await side.connection.send(side.encode("GET", target, [("Host", "discovery")]))
        response = await side.response()
        return response, await side.body(MAX_LIST_BYTES)

    def _apply(self, response: h11.Response, body: bytes, whole: bool) -> None:
        """Apply an answer to the list. Raises CallRejected, ConfigError or ValueError."""
        if response.status_code in (429, 503):
            raise CallRejected(f"status {response.status_code}")
        if response.status_code != 200:
            raise ConfigError(f"discovery: status {response.status_code}")
        answer = ujson.loads(body)
        known = self._endpoints.version
        if (
            not whole
            and isinstance(answer, dict)
            and not answer.get("full")
            and isinstance(version := answer.get("version"), int)
            and version < known
        ):
            # Its versions begin anew, so a change would be missed until they had come up to ours.
            raise ConfigError(f"discovery.version: {version}, after {known}")
        self._endpoints.apply(answer)
