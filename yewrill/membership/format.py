"""The datagram codec: messages to authenticated bytes and back, with replay protection. docs/members.md has
the layout.

A datagram is `YM`, the format's number, a key's id, a MAC of 16 bytes (keyed blake2b over all that follows
and the four bytes before), and a msgpack array. The array holds the sender's name and run (a random number of
the process), the run of the receiver that it was made for, and a counter. A receiver takes only what was made
for its present run, by the sender's present run, with a counter not seen yet: nothing recorded earlier or
elsewhere can be replayed to it, and no clock is needed. A sender that does not know the receiver's run is
told it (`hello`) and sends its message again.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgpack

from yewrill.membership.messages import ALIVE, LEFT, MAX_INCARNATION, Address, Claim, Message

MAGIC, FORMAT = b"YM", 1
MAC_BYTES = 16  # bytes
HEADER_BYTES = len(MAGIC) + 2
MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram
MAX_NAME_CHARACTERS = 64  # characters of a name, a zone, a region
KINDS = ("hello", "ping", "ack", "nack", "help", "list", "news", "cargo")
MAX_PAYLOAD_BYTES = 1000  # bytes that other parts may send in one datagram
REPLAY_WINDOW = 64  # counters that may arrive out of order
MAX_EARLIER_RUNS = 8  # earlier runs of a member that are remembered as over


class DatagramRejected(Exception):
    """A datagram that is not accepted; the text is the reason, which metrics count."""


def parse_key(text: str) -> bytes:
    """A key as operators write it: at least 32 hexadecimal digits."""
    key = bytes.fromhex(text)
    if not 16 <= len(key) <= 64:
        raise ValueError("a key has 16 to 64 bytes, as hexadecimal digits")
    return key


def _key_id(key: bytes) -> int:
    return hashlib.blake2b(key, digest_size=1, person=b"ym-mark").digest()[0]


def _mac(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MAC_BYTES, key=key).digest()


@dataclass(slots=True)
class _Peer:
    """What is known of a sender: its present run, and the counters seen of it."""

    run: int
    highest: int = 0
    seen_bits: int = 0  # a bit for each of the WINDOW counters up to the highest
    earlier_runs: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_EARLIER_RUNS))

    def accept(self, counter: int) -> bool:
        """Whether a counter is seen for the first time; it is recorded."""
        if counter > self.highest:
            shift = counter - self.highest
            self.seen_bits = (
                (self.seen_bits << shift | 1) & (1 << REPLAY_WINDOW) - 1
                if shift < REPLAY_WINDOW
                else 1
            )
            self.highest = counter
            return True
        age = self.highest - counter
        if age >= REPLAY_WINDOW or self.seen_bits >> age & 1:
            return False
        self.seen_bits |= 1 << age
        return True


class UnknownRun(DatagramRejected):
    """The sender does not know our present run: it is told it (`hello`) and sends its message again."""

    def __init__(self, run: int):
        super().__init__("stranger")
        self.run = run


class Codec:
    """Encodes and decodes the datagrams of one process."""

    def __init__(self, name: str, run: int, keys: list[bytes], max_peers: int = 4096):
        self.name, self.run = name, run
        self._keys = {_key_id(key): key for key in reversed(keys)}  # the first one signs
        self._signing = keys[0]
        self._peers: dict[str, _Peer] = {}
        self._runs: dict[Address, int] = {}  # of the process at an address
        # The last message to each address whose run is not known yet.
        self._undelivered: dict[Address, Message] = {}
        self._counter = 0
        self._max_peers = max_peers

    # -- out

    def encode(self, message: Message, to: Address) -> bytes:
        """A datagram for an address. Updates that do not fit are left out."""
        self._counter += 1
        if (
            to not in self._runs
            and message.kind != "hello"
            and len(self._undelivered) < self._max_peers
        ):
            self._undelivered[to] = message
        updates, payload = list(message.updates), [message.payload] if message.payload else []
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
                    [_encode_claim(claim) for claim in updates],
                    *payload,
                ]
            )
            if HEADER_BYTES + MAC_BYTES + len(body) <= MAX_DATAGRAM_BYTES or not updates:
                break
            updates.pop()
        header = MAGIC + bytes((FORMAT, _key_id(self._signing)))
        return header + _mac(self._signing, header + body) + body

    # -- in

    def decode(self, data: bytes, source: Address) -> tuple[str, Message]:
        """The sender's name and its message.

        Raises DatagramRejected; UnknownRun for a sender that must be told our run first.
        """
        envelope = _parse(self._authenticate(data))
        if envelope.sender == self.name:
            raise DatagramRejected("our own name")
        if (
            envelope.receiver_run != self.run
        ):  # made for another run of ours, or by one that knows none
            is_hello = envelope.message.kind == "hello"
            raise DatagramRejected("hello") if is_hello else UnknownRun(envelope.run)
        if not self._peer(envelope.sender, envelope.run).accept(envelope.counter):
            raise DatagramRejected("replay")
        self._runs[source] = envelope.run
        return envelope.sender, envelope.message

    def _authenticate(self, data: bytes) -> bytes:
        """The body of a datagram whose MAC is right. Raises DatagramRejected."""
        header, body = data[:HEADER_BYTES], data[HEADER_BYTES + MAC_BYTES :]
        mac = data[HEADER_BYTES : HEADER_BYTES + MAC_BYTES]
        if len(data) > MAX_DATAGRAM_BYTES or header[:2] != MAGIC or len(mac) < MAC_BYTES:
            raise DatagramRejected("not ours")
        if header[2] != FORMAT:
            raise DatagramRejected("another format")
        key = self._keys.get(header[3])
        if key is None or not hmac.compare_digest(_mac(key, header + body), mac):
            raise DatagramRejected("code")
        return body

    def _peer(self, sender: str, run: int) -> _Peer:
        """What is known of a sender in its present run. Raises DatagramRejected."""
        peer = self._peers.get(sender)
        if peer is None:
            if len(self._peers) >= self._max_peers:
                raise DatagramRejected("too many peers")
            peer = self._peers[sender] = _Peer(run)
        elif run != peer.run:
            if run in peer.earlier_runs:
                raise DatagramRejected("an earlier run")
            peer.earlier_runs.append(peer.run)
            peer.run, peer.highest, peer.seen_bits = run, 0, 0
        return peer

    def take_undelivered(self, source: Address) -> Message | None:
        """After a hello from an address: the last message that it could not accept, to be sent again."""
        return self._undelivered.pop(source, None)

    def hello(self, to: Address, run: int) -> bytes:
        """A datagram that tells our run to a sender of the given run, and nothing else.

        What we answer may be a replay: so its run is taken for this one answer only, and a sender that has
        another run by now rejects it.
        """
        known = self._runs.get(to)
        self._runs[to] = run
        try:
            return self.encode(Message("hello"), to)
        finally:
            if known is None:
                del self._runs[to]
            else:
                self._runs[to] = known

    def forget(self, names: set[str], addresses: set[Address]) -> None:
        """Forget all peers and addresses except these."""
        self._peers = {name: peer for name, peer in self._peers.items() if name in names}
        self._runs = {address: run for address, run in self._runs.items() if address in addresses}
        self._undelivered = {
            a: message for a, message in self._undelivered.items() if a in addresses
        }


class _Envelope(NamedTuple):
    sender: str
    run: int
    receiver_run: int
    counter: int
    message: Message


def _parse(body: bytes) -> _Envelope:
    """An authenticated body. Raises DatagramRejected."""
    try:
        fields = msgpack.unpackb(body)
        name, run, receiver_run, counter, kind, number, about, updates, *remainder = fields
        sender = bounded_text(name)
        message = Message(
            KINDS[bounded_int(kind, len(KINDS) - 1)],
            bounded_int(number, 2**63),
            bounded_text(about, empty=True),
            tuple(_decode_claim(entry) for entry in updates),
            _decode_payload(remainder),
        )
        return _Envelope(
            sender,
            bounded_int(run, 2**64),
            bounded_int(receiver_run, 2**64),
            bounded_int(counter, 2**63),
            message,
        )
    except (ValueError, TypeError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise DatagramRejected("form") from error


def _encode_claim(c: Claim) -> list[Any]:
    return [c.name, c.address[0], c.address[1], c.zone, c.region, c.incarnation, c.state, c.by]


def _decode_claim(entry: Any) -> Claim:
    name, host, port, zone, region, incarnation, state, by = entry
    return Claim(
        bounded_text(name),
        (bounded_text(host), bounded_int(port, 65535)),
        bounded_text(zone, empty=True),
        bounded_text(region, empty=True),
        bounded_int(incarnation, MAX_INCARNATION),
        bounded_int(state, LEFT, ALIVE),
        bounded_text(by, empty=True),
    )


def _decode_payload(remainder: list[Any]) -> bytes:
    if not remainder:
        return b""
    if len(remainder) > 1 or not isinstance(remainder[0], bytes):
        raise ValueError("payload")
    return remainder[0]


def bounded_text(value: Any, *, empty: bool = False) -> str:
    """A decoded text of at most MOST_NAME characters. Raises ValueError."""
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS or not (value or empty):
        raise ValueError("text")
    return value


def bounded_int(value: Any, maximum: int, minimum: int = 0) -> int:
    """A decoded whole number within bounds. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError("number")
    return value
