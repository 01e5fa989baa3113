"""The discovery watch: keeps the endpoint list up to date by long polls."""

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

HOSTS_PATH = "/discovery/hosts"
# A change must be known to this dispatcher within 6 s of the time when discovery has it and is reachable,
# whatever happened to earlier calls. So the time between two chances to learn of a change never exceeds 6 s:
# a call without an answer is given up after the hold time and the grace; a rejected call is repeated after
# RETRY_PAUSE_SECONDS plus at most MAX_PAUSE_SECONDS; the next call after such an end, the recovery call, is
# answered or given up within RECOVERY_TIMEOUT_SECONDS. The hold time is the time for which discovery waits
# for a change before it answers.
HOLD_MS = 4000
# Time beyond the hold time after which a call without an answer is given up.
ANSWER_GRACE_SECONDS = 0.8
# The time limit of a recovery call is not shorter, since a call that was given up still takes its turn in
# discovery's queue.
RECOVERY_TIMEOUT_SECONDS = 3.0
# The hold time of a recovery call is short, so that an answer soon shows that discovery is reachable, with or
# without a change.
RECOVERY_HOLD_MS = 1000
CONNECT_TIMEOUT_SECONDS = 0.5  # shorter than 1 s, after which the kernel retransmits a lost SYN
# Pause after a failed call; a gap of up to 200 ms between calls does not interrupt a watch.
RETRY_PAUSE_SECONDS = 0.1
# Discovery rejects calls when a whole fleet calls at once. So each dispatcher retries at a random time within
# a range of REJECTED_PAUSE_SECONDS times the number of dispatchers that call; the range grows with each
# rejection. An overloaded discovery that many dispatchers call may also reset connections: then only the
# first of several consecutive pauses is short.
REJECTED_PAUSE_SECONDS = 0.3
PAUSE_GROWTH = 1.5
MAX_PAUSE_SECONDS = 2.7  # upper bound of the random part of a pause
# Number of consecutive failures that are counted; by then the pause has reached its maximum.
MAX_COUNTED_FAILURES = 10
MAX_LIST_BYTES = 4 * 1024 * 1024  # size limit of a list, enough for about ten thousand endpoints
INPUT_BUFFER_BYTES = 65536


class CallRejected(Exception):
    """Discovery rejected the call (429 or 503). The known endpoint list remains valid."""


def retry_pause(failures: int, callers: int, jitter: float) -> float:
    """Returns the seconds to wait before the next call, after `failures` earlier consecutive failures.

    `callers` is the number of dispatchers that call this discovery, `jitter` a random number from 0 to 1. If
    a whole fleet retried at once, it would keep discovery's queue full and all calls would fail.
    """
    spread = REJECTED_PAUSE_SECONDS * callers * PAUSE_GROWTH**failures
    return RETRY_PAUSE_SECONDS + jitter * min(MAX_PAUSE_SECONDS, spread)


@dataclass(slots=True)
class _Session:
    """The state of the watch at one address of discovery."""

    address: tuple[str, int]
    http: ClientSide | None = None
    needs_full_list: bool = True  # whether a known list, if any, may be out of date
    recovering: bool = True  # whether the previous call was not answered
    unavailable: bool = False  # whether discovery has been logged as unavailable
    failures: int = 0  # number of consecutive failed calls

    def close(self) -> None:
        if self.http is not None:
            self.http.connection.close()
            self.http = None


class DiscoveryWatch:
    """Keeps the endpoint list up to date.

    Discovery may be silent or unreachable, give malformed answers, or move to another address."""

    def __init__(
        self, address: tuple[str, int], endpoints: EndpointList, seed: int = 0, callers: int = 1
    ):
        """`callers`: the number of dispatchers that call this discovery, including this one."""
        self.address = address
        self.callers = callers
        self._endpoints = endpoints
        # Address of the discovery whose version numbers apply to the list.
        self._list_source = address
        self._rng = random.Random(seed)
        self._scope = trio.CancelScope()
        self.answered = trio.Event()  # set when discovery has returned a list

    def change_address(self, address: tuple[str, int]) -> None:
        """Switches to another address immediately, even during a call, and fetches the full list there."""
        if address != self.address:
            self.address = address
            self._scope.cancel()

    async def run(self) -> None:
        """Polls discovery until cancelled."""
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                await self._poll_forever(_Session(self.address))

    async def _poll_forever(self, session: _Session) -> None:
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
        """Makes one call and applies its answer. Raises on any failure."""
        full = session.needs_full_list
        timeout = HOLD_MS / 1000.0 + ANSWER_GRACE_SECONDS
        with trio.fail_after(RECOVERY_TIMEOUT_SECONDS if session.recovering else timeout):
            if session.http is None:
                with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    session.http = ClientSide(
                        await Connection.open(session.address, ring_bytes=INPUT_BUFFER_BYTES)
                    )
            response, body = await self._call(
                session.http, full, RECOVERY_HOLD_MS if session.recovering else HOLD_MS
            )
        self._apply(response, body, full)
        self._note_success(session)
        if not session.http.exchange_complete():
            session.close()

    def _note_success(self, session: _Session) -> None:
        self._list_source = session.address
        self.answered.set()
        session.needs_full_list = session.recovering = False
        session.failures = 0
        if session.unavailable:
            log.info(
                "discovery_recovered version=%d endpoints=%d",
                self._endpoints.version,
                len(self._endpoints),
            )
            session.unavailable = False

    def _note_failure(self, session: _Session, error: Exception) -> float:
        """Records a failed call; returns the seconds to wait before the next one."""
        session.recovering = True
        if not session.unavailable:
            log.warning(
                "discovery_unavailable version=%d: %s %s",
                self._endpoints.version,
                type(error).__name__,
                error,
            )
            session.unavailable = True
        pause = RETRY_PAUSE_SECONDS
        rejected = isinstance(error, CallRejected)
        if rejected or (session.failures and self.callers > 1):
            pause = retry_pause(session.failures, self.callers, self._rng.random())
        session.failures = min(session.failures + 1, MAX_COUNTED_FAILURES)
        if rejected:
            list_is_current = len(self._endpoints) and self._list_source == session.address
            session.needs_full_list = session.needs_full_list and not list_is_current
        elif isinstance(error, (ConfigError, ValueError)):
            session.needs_full_list = True  # after malformed changes only the full list is reliable
        return pause

    async def _call(self, http: ClientSide, full: bool, hold_ms: int) -> tuple[h11.Response, bytes]:
        """Requests the full list, or changes, for which discovery waits up to `hold_ms`."""
        target = (
            HOSTS_PATH if full else f"{HOSTS_PATH}?from={self._endpoints.version}&hold_ms={hold_ms}"
        )
        await http.connection.send(http.encode("GET", target, [("Host", "discovery")]))
        response = await http.response()
        return response, await http.body(MAX_LIST_BYTES)

    def _apply(self, response: h11.Response, body: bytes, full: bool) -> None:
        """Applies an answer to the endpoint list. Raises CallRejected, ConfigError or ValueError."""
        if response.status_code in (429, 503):
            raise CallRejected(f"status {response.status_code}")
        if response.status_code != 200:
            raise ConfigError(f"discovery: expected status 200, found {response.status_code}")
        answer = ujson.loads(body)
        known = self._endpoints.version
        if (
            not full
            and isinstance(answer, dict)
            and not answer.get("full")
            and isinstance(version := answer.get("version"), int)
            and version < known
        ):
            # Discovery has restarted its version numbers: changes would be missed until they exceed ours.
            raise ConfigError(f"discovery.version: {version}, lower than the known {known}")
        self._endpoints.apply(answer)
