"""Datagrams: messages to authenticated bytes and back, and the refusal of replays. docs/members.md has the
bytes.

A datagram is `YM`, the format's number, a key's mark, 16 bytes of code (keyed blake2b over all that follows
and the four bytes before), and a msgpack array. In it stand the sender's name and run (a random number of
this process), the run of the receiver that it was made for, and a counter. A receiver takes only what was
made for its present run, by the sender's present run, with a counter not seen yet: so nothing recorded
earlier, or elsewhere, can be played to it, and no clock is asked. Whoever does not know the receiver's run
is told it (`hello`) and says its message again later.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgpack

from yewrill.membership.machine import ALIVE, LEFT, MOST_INCARNATION, Claim, Message

MAGIC, FORMAT = b"YM", 1
CODE = 16  # bytes
HEAD = len(MAGIC) + 2
MOST = 1200  # bytes of a datagram
MOST_NAME = 64  # characters of a name, a zone, a region
KINDS = ("hello", "ping", "ack", "nack", "help", "list", "news", "cargo")
MOST_CARGO = 1000  # bytes that other parts may send in one datagram
WINDOW = 64  # counters that may arrive out of order
RUNS = 8  # earlier runs of a member that are remembered as over


class Refused(Exception):
    """A datagram that is not taken; the text says why, for the figures."""


def key_of(text: str) -> bytes:
    """A key as operators write it: at least 32 hexadecimal digits."""
    key = bytes.fromhex(text)
    if not 16 <= len(key) <= 64:
        raise ValueError("a key has 16 to 64 bytes, as hexadecimal digits")
    return key


def _mark(key: bytes) -> int:
    return hashlib.blake2b(key, digest_size=1, person=b"ym-mark").digest()[0]


def _code(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=CODE, key=key).digest()


@dataclass(slots=True)
class _Peer:
    """What is known of a sender: its run, and the counters seen of it."""

    run: int
    highest: int = 0
    seen: int = 0  # a bit for each of the WINDOW counters up to the highest
    over: deque[int] = field(default_factory=lambda: deque(maxlen=RUNS))

    def fresh(self, counter: int) -> bool:
        """Whether a counter is seen for the first time; it is noted."""
        if counter > self.highest:
            shift = counter - self.highest
            self.seen = (self.seen << shift | 1) & (1 << WINDOW) - 1 if shift < WINDOW else 1
            self.highest = counter
            return True
        back = self.highest - counter
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Stranger(Refused):
    """It does not know our present run: it is to be told it (`hello`), and to say its message again."""

    def __init__(self, run: int):
        super().__init__("stranger")
        self.run = run


class Codec:
    """One instance's side of the format."""

    def __init__(self, name: str, run: int, keys: list[bytes], most_peers: int = 4096):
        self.name, self.run = name, run
        self._keys = {_mark(key): key for key in reversed(keys)}  # the first one signs
        self._signing = keys[0]
        self._peers: dict[str, _Peer] = {}
        self._runs: dict[tuple[str, int], int] = {}  # of whoever listens at an address
        self._unheard: dict[
            tuple[str, int], Message
        ] = {}  # the last message to whoever's run we don't know
        self._counter = 0
        self._most_peers = most_peers

    # -- out

    def encode(self, message: Message, to: tuple[str, int]) -> bytes:
        """A datagram for an address. News that does not fit is left out."""
        self._counter += 1
        if (
            to not in self._runs
            and message.kind != "hello"
            and len(self._unheard) < self._most_peers
        ):
            self._unheard[to] = message
        news, cargo = list(message.news), [message.cargo] if message.cargo else []
        while True:
            body = msgpack.packb(
                [
                    self.name,
                    self.run,
                    self._runs.get(to, 0),
                    self._counter,
                    KINDS.index(message.kind),
                    message.number,
                    message.about,
                    [_plain(claim) for claim in news],
                    *cargo,
                ]
            )
            if HEAD + CODE + len(body) <= MOST or not news:
                break
            news.pop()
        head = MAGIC + bytes((FORMAT, _mark(self._signing)))
        return head + _code(self._signing, head + body) + body

    # -- in

    def decode(self, data: bytes, source: tuple[str, int]) -> tuple[str, Message]:
        """The sender's name and its message. Raises Refused; Stranger for one who must hear our run first."""
        head, code, body = data[:HEAD], data[HEAD : HEAD + CODE], data[HEAD + CODE :]
        if len(data) > MOST or head[:2] != MAGIC or len(code) < CODE:
            raise Refused("not ours")
        if head[2] != FORMAT:
            raise Refused("another format")
        key = self._keys.get(head[3])
        if key is None or not hmac.compare_digest(_code(key, head + body), code):
            raise Refused("code")
        try:
            name, run, for_run, counter, kind, number, about, news, *rest = msgpack.unpackb(body)
            sender = text(name)
            message = Message(
                KINDS[whole(kind, len(KINDS) - 1)],
                whole(number, 2**63),
                text(about, empty=True),
                tuple(_claim(entry) for entry in news),
                _cargo(rest),
            )
            run, for_run, counter = whole(run, 2**64), whole(for_run, 2**64), whole(counter, 2**63)
        except (ValueError, TypeError, msgpack.exceptions.UnpackException, RecursionError) as error:
            raise Refused("form") from error
        if sender == self.name:
            raise Refused("our own name")
        if for_run != self.run:  # made for another run of ours, or by one that knows none
            raise Refused("hello") if message.kind == "hello" else Stranger(run)
        peer = self._peers.get(sender)
        if peer is None:
            if len(self._peers) >= self._most_peers:
                raise Refused("too many peers")
            peer = self._peers[sender] = _Peer(run)
        elif run != peer.run:
            if run in peer.over:
                raise Refused("an earlier run")
            peer.over.append(peer.run)
            peer.run, peer.highest, peer.seen = run, 0, 0
        if not peer.fresh(counter):
            raise Refused("replay")
        self._runs[source] = run
        return sender, message

    def again(self, source: tuple[str, int]) -> Message | None:
        """After a hello from there: what was said in vain, to be said again."""
        return self._unheard.pop(source, None)

    def hello(self, to: tuple[str, int], run: int) -> bytes:
        """Our run, for a stranger of that run; nothing else. It may itself be a replay: so its run is taken
        for this one answer only, and whoever has another run by now refuses it."""
        known = self._runs.get(to)
        self._runs[to] = run
        try:
            return self.encode(Message("hello"), to)
        finally:
            if known is None:
                del self._runs[to]
            else:
                self._runs[to] = known

    def forget(self, names: set[str], addresses: set[tuple[str, int]]) -> None:
        """Keep what is known of these only."""
        self._peers = {name: peer for name, peer in self._peers.items() if name in names}
        self._runs = {address: run for address, run in self._runs.items() if address in addresses}
        self._unheard = {a: message for a, message in self._unheard.items() if a in addresses}


def _plain(c: Claim) -> list[Any]:
    return [c.name, c.address[0], c.address[1], c.zone, c.region, c.incarnation, c.state, c.by]


def _claim(entry: Any) -> Claim:
    name, host, port, zone, region, incarnation, state, by = entry
    return Claim(
        text(name),
        (text(host), whole(port, 65535)),
        text(zone, empty=True),
        text(region, empty=True),
        whole(incarnation, MOST_INCARNATION),
        whole(state, LEFT, ALIVE),
        text(by, empty=True),
    )


def _cargo(rest: list[Any]) -> bytes:
    if not rest:
        return b""
    if len(rest) > 1 or not isinstance(rest[0], bytes):
        raise ValueError("cargo")
    return rest[0]


def text(value: Any, *, empty: bool = False) -> str:
    """A decoded text of at most MOST_NAME characters. Raises ValueError."""
    if not isinstance(value, str) or len(value) > MOST_NAME or not (value or empty):
        raise ValueError("text")
    return value


def whole(value: Any, most: int, least: int = 0) -> int:
    """A decoded whole number within bounds. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise ValueError("number")
    return value
