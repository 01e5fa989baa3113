"""The pool config as this dispatcher holds it, and the watch that keeps it fresh."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import h11
import trio
import ujson

from yewrill.config.reading import STATE_WORDS, ConfigError, TopologyNames, read_endpoints
from yewrill.dispatch.endpoint import Endpoint
from yewrill.dispatch.engine import DecisionEngine
from yewrill.net.connection import Connection
from yewrill.net.http import ClientSide, PeerEnded
from yewrill.policy import interface as api

log = logging.getLogger("yewrill.discovery")

PATH = "/discovery/hosts"
MOST_OUT = 10_000  # destinations taken out by hand
REMEMBERED = 60.0  # seconds for which an heir is told that a destination was put back
# A change counts as told 6 s after discovery had it and could be reached, whatever befell the calls before.
# So between two chances to hear of it there is never more than that: a watch that has fallen silent is given
# up after HOLD_MS and PATIENCE, one turned away is asked again within RETRY and MOST_PAUSE, and the call that
# follows any such end is answered or given up within ANEW.
HOLD_MS = 4000
PATIENCE = 0.8  # seconds past the hold before discovery counts as silent
ANEW = 3.0  # seconds for such a call: given up early, it still takes its turn in discovery's queue
ANEW_HOLD_MS = (
    1000  # it is answered soon with or without news, so that contact is known to be there
)
CONNECT = (
    0.5  # seconds for a connection to come up: a SYN that was swallowed is sent again late, 1 s on
)
RETRY = (
    0.1  # seconds before the next try after a failed one: within the 200 ms that keep a watch whole
)
# One that turns calls away has too many of them: those of a whole fleet at once. So they spread, each
# dispatcher's at random over as many of these seconds as there are callers, and grow rarer. One that many
# call may end what it has no time for by a reset too: there only the first pause in a row is short.
TURNED_AWAY, RARER, MOST_PAUSE = 0.3, 1.5, 2.7
MOST = 4 * 1024 * 1024  # a list of some ten thousand destinations


class EndpointList:
    """The destinations known now; every change goes to the module too."""

    def __init__(self, engine: DecisionEngine, topology: TopologyNames):
        self._engine = engine
        self.topology = topology
        self._known: dict[str, Endpoint] = {}
        self._out: set[str] = set()  # taken out by hand, listed or not
        self._back: dict[str, float] = {}  # put back lately, and when by the module's clock, in ms
        self.version = 0
        self.on_change: Callable[[Endpoint | None, str], None] = lambda endpoint, name: None
        self.on_applied: Callable[[], None] = lambda: None  # the list is another one

    def __len__(self) -> int:
        return len(self._known)

    @property
    def names(self) -> list[str]:
        return list(self._known)

    def get(self, name: str) -> Endpoint | None:
        return self._known.get(name)

    def may_send(self, name: str) -> bool:
        """Whether new work may still go there: not once it drains, is gone or was taken out by hand."""
        endpoint = self._known.get(name)
        return (
            endpoint is not None
            and endpoint.state == api.WorkerState.RUNNING
            and name not in self._out
        )

    # -- taken out and put back by hand

    @property
    def out(self) -> list[str]:
        return sorted(self._out)

    @property
    def back(self) -> dict[str, float]:
        """What was put back lately, and how long ago, in ms: whoever sends there for the first time must take
        it for cold."""
        now = self._engine.now()
        oldest = now - REMEMBERED * 1000.0
        self._back = {name: at for name, at in self._back.items() if at > oldest}
        return {name: now - at for name, at in self._back.items()}

    def take_out(self, name: str, listed: bool = True) -> bool:
        """Nothing more goes there, whatever lists say, until it is put back. False if nobody has it."""
        if name not in self._out:
            if (listed and name not in self._known) or len(self._out) >= MOST_OUT:
                return False
            self._out.add(name)
            self._back.pop(name, None)
            self._tell(name)
        return True

    def put_back(self, name: str, ago: float = 0.0) -> bool:
        """End that, so many ms ago; it may have been restarted meanwhile. False if nobody has this name."""
        if name in self._out:
            self._out.discard(name)
            self._back[name] = self._engine.now() - ago
            self._tell(name)
            self._engine.returned(name, ago)
            return True
        return name in self._known

    def _tell(self, name: str) -> None:
        endpoint = self._known.get(name)
        if endpoint is not None:
            self.on_change(endpoint, name)
            self._engine.update_endpoints([self._laid_over(endpoint)], full=False)

    def _laid_over(self, endpoint: Endpoint) -> Endpoint:
        """A line of the list as the module is to see it."""
        if endpoint.id in self._out and endpoint.state == api.WorkerState.RUNNING:
            return replace(endpoint, state=api.WorkerState.DRAINING)
        return endpoint

    def snapshot(self) -> dict[str, Any]:
        """The list in discovery's form, for another run of this dispatcher."""
        return {
            "version": self.version,
            "full": True,
            "servers": [
                {
                    "id": d.id,
                    "addr": f"{d.address[0]}:{d.address[1]}",
                    "zone": d.zone,
                    "kind": d.kind,
                    "cell": d.cell,
                    "state": STATE_WORDS[d.state],
                    "weight": d.weight,
                    "started_ms": d.started_ms,
                }
                for d in self._known.values()
            ],
        }

    def apply(self, answer: dict[str, Any], cached: bool = False) -> None:
        """Take an answer of discovery's. Raises ConfigError on nonsense, leaving the list as it was."""
        endpoints = read_endpoints(answer, "discovery", self.topology)
        version, full = answer["version"], cached or bool(answer.get("full"))
        before = dict(self._known)
        if full:
            self._known = {}
        for endpoint in endpoints:
            if endpoint.state == api.WorkerState.REMOVED:
                self._known.pop(endpoint.id, None)
            else:
                self._known[endpoint.id] = endpoint
        self.version = version
        for name in before.keys() | self._known.keys():
            now = self._known.get(name)
            if now != before.get(name):
                self.on_change(now, name)
        if self._known != before:
            self.on_applied()
        if full or endpoints:
            self._engine.update_endpoints(map(self._laid_over, endpoints), full=full, cached=cached)


class TurnedAway(Exception):
    """Discovery has not taken the call. It says nothing against what is known of the list."""


def pause_after(failures: int, callers: int, chance: float) -> float:
    """Seconds until a discovery that so many dispatchers call is asked again, after a call that failed and so
    many others before it in a row; `chance` from 0 to 1. A fleet that asked again at once would keep a queue
    full in which all fail."""
    return RETRY + chance * min(MOST_PAUSE, TURNED_AWAY * callers * RARER**failures)


class Watch:
    """Keeps the pool config fresh for good, whether discovery is silent, gone, talks nonsense or moves."""

    def __init__(
        self, address: tuple[str, int], endpoints: EndpointList, seed: int = 0, callers: int = 1
    ):
        self.address = address
        self.callers = callers  # how many dispatchers call this discovery, ours among them
        self._endpoints = endpoints
        self._counted_by = address  # whose versions the list's is one of
        self._rng = random.Random(seed)
        self._scope = trio.CancelScope()
        self.heard = trio.Event()  # discovery has told something

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address at once, even from within a held call, and take the whole list there."""
        if address != self.address:
            self.address = address
            self._scope.cancel()

    async def run(self) -> None:
        while True:
            self._scope = trio.CancelScope()
            with self._scope:
                await self._follow(self.address)

    async def _follow(self, address: tuple[str, int]) -> None:
        endpoints = self._endpoints
        side: ClientSide | None = None
        whole = True  # the list known before may be old: begin with all of it
        anew = True  # the call before did not get its answer
        quiet = False
        failures = 0  # in a row
        try:
            while True:
                pause = RETRY
                try:
                    with trio.fail_after(ANEW if anew else HOLD_MS / 1000.0 + PATIENCE):
                        if side is None:
                            with trio.fail_after(CONNECT):
                                side = ClientSide(await Connection.open(address, ring=65536))
                        response, body = await self._call(
                            side, whole, ANEW_HOLD_MS if anew else HOLD_MS
                        )
                    self._take(response, body, whole)
                    self._counted_by = address
                    self.heard.set()
                    whole = anew = False
                    failures = 0
                    if quiet:
                        log.info(
                            "discovery-back version=%d destinations=%d",
                            endpoints.version,
                            len(endpoints),
                        )
                        quiet = False
                    if not side.settled():
                        side.connection.close()
                        side = None
                except (
                    OSError,
                    PeerEnded,
                    h11.ProtocolError,
                    ConfigError,
                    ValueError,
                    TurnedAway,
                    trio.TooSlowError,
                ) as error:
                    anew = True
                    if not quiet:
                        log.warning(
                            "discovery-lost version=%d: %s %s",
                            endpoints.version,
                            type(error).__name__,
                            error,
                        )
                        quiet = True
                    if isinstance(error, TurnedAway) or (failures and self.callers > 1):
                        pause = pause_after(failures, self.callers, self._rng.random())
                    failures = min(failures + 1, 10)
                    if isinstance(error, TurnedAway):
                        whole = whole and not (len(endpoints) and self._counted_by == address)
                    elif isinstance(error, (ConfigError, ValueError)):
                        whole = True  # nonsense among the changes: only the whole list can be trusted again
                    if side is not None:
                        side.connection.close()
                        side = None
                    await trio.sleep(pause)
        finally:
            if side is not None:
                side.connection.close()

    async def _call(self, side: ClientSide, whole: bool, hold: int) -> tuple[h11.Response, bytes]:
        """Ask for the whole list, or for changes that may take so many milliseconds to come."""
        target = PATH if whole else f"{PATH}?from={self._endpoints.version}&hold_ms={hold}"
        await side.connection.send(side.encode("GET", target, [("Host", "discovery")]))
        response = await side.response()
        return response, await side.body(MOST)

    def _take(self, response: h11.Response, body: bytes, whole: bool) -> None:
        """Take an answer to the list, or raise what it is instead of one."""
        if response.status_code in (429, 503):
            raise TurnedAway(f"status {response.status_code}")
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
            # It counts anew, so it would not tell of a change until it had counted up to where we are.
            raise ConfigError(f"discovery.version: {version}, after {known}")
        self._endpoints.apply(answer)
