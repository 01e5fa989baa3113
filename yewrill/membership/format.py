"""The datagram codec: encodes messages as authenticated bytes and decodes them, with replay protection.

docs/members.md describes the layout. A datagram consists of `YM`, the format number, the key's id, a MAC of
16 bytes (keyed blake2b over the four bytes before it and everything after it) and a msgpack array. The array
holds, among others, the sender's name, the sender's run (a random number chosen when the process starts), the
run of the receiver that the datagram was made for, and a counter.

A receiver accepts only datagrams made for its own run, by the sender's latest run, with a counter that the
receiver has not seen. Datagrams recorded earlier or elsewhere can therefore not be replayed to it, and no
clock is needed. A sender that does not know the receiver's run is told by a `hello` and sends its message
again.
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
MAC_BYTES = 16
HEADER_BYTES = len(MAGIC) + 2
MAX_DATAGRAM_BYTES = 1200
# Limit on the length of a name, zone, region or host.
MAX_NAME_CHARACTERS = 64
KINDS = ("hello", "ping", "ack", "nack", "help", "list", "news", "cargo")
# Limit on another subsystem's payload in one datagram.
MAX_PAYLOAD_BYTES = 1000
# A counter this far below the highest one seen can't be told from a replay and is rejected.
REPLAY_WINDOW_COUNTERS = 64
# Number of earlier runs of a member whose datagrams are recognised and rejected.
MAX_EARLIER_RUNS = 8


class DatagramRejected(Exception):
    """A datagram that is rejected. Its text is the reason, by which rejected datagrams are counted."""


def parse_key(text: str) -> bytes:
    """Decodes a key of 32 to 128 hexadecimal digits. Raises ValueError."""
    key = bytes.fromhex(text)
    if not 16 <= len(key) <= 64:
        raise ValueError("a key must have 32 to 128 hexadecimal digits")
    return key


def _key_id(key: bytes) -> int:
    return hashlib.blake2b(key, digest_size=1, person=b"ym-mark").digest()[0]


def _mac(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=MAC_BYTES, key=key).digest()


@dataclass(slots=True)
class _Peer:
    """The latest run of a sender and the counters received from it."""

    run: int
    highest: int = 0
    # One bit per counter of the replay window, the lowest bit for the highest counter.
    seen_bits: int = 0
    earlier_runs: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_EARLIER_RUNS))

    def accept(self, counter: int) -> bool:
        """Records a counter; returns whether it is new."""
        if counter > self.highest:
            shift = counter - self.highest
            self.seen_bits = (
                (self.seen_bits << shift | 1) & (1 << REPLAY_WINDOW_COUNTERS) - 1
                if shift < REPLAY_WINDOW_COUNTERS
                else 1
            )
            self.highest = counter
            return True
        age = self.highest - counter
        if age >= REPLAY_WINDOW_COUNTERS or self.seen_bits >> age & 1:
            return False
        self.seen_bits |= 1 << age
        return True


class UnknownRun(DatagramRejected):
    """The sender does not know the receiver's run: a `hello` tells it, and it sends its message again."""

    def __init__(self, run: int):
        super().__init__("sender does not know the receiver's run")
        self.run = run


class Codec:
    """Encodes and decodes the datagrams of one process."""

    def __init__(self, name: str, run: int, keys: list[bytes], max_peers: int = 4096):
        self.name, self.run = name, run
        # The keys are reversed so that, of two keys with the same id, the first one counts.
        self._keys = {_key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]
        self._peers: dict[str, _Peer] = {}
        # By address: the run (random number) of the process.
        self._runs: dict[Address, int] = {}
        # By address whose run is not known yet: the last message to it.
        self._undelivered: dict[Address, Message] = {}
        self._counter = 0
        self._max_peers = max_peers

    # -- encoding

    def encode(self, message: Message, to: Address) -> bytes:
        """Returns the datagram of a message to an address, without the last updates if they do not fit."""
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
        header = MAGIC + bytes((FORMAT, _key_id(self._signing_key)))
        return header + _mac(self._signing_key, header + body) + body

    # -- decoding

    def decode(self, data: bytes, source: Address) -> tuple[str, Message]:
        """Returns the sender's name and its message.

        Raises DatagramRejected, in particular UnknownRun if the sender must be told this process's run first.
        """
        envelope = _parse(self._authenticate(data))
        if envelope.sender == self.name:
            raise DatagramRejected("sender has the receiver's name")
        # The datagram was made for an earlier run of this process, or by a sender that knows no run of it.
        if envelope.receiver_run != self.run:
            is_hello = envelope.message.kind == "hello"
            raise (
                DatagramRejected("hello for another run") if is_hello else UnknownRun(envelope.run)
            )
        if not self._peer(envelope.sender, envelope.run).accept(envelope.counter):
            raise DatagramRejected("replay")
        self._runs[source] = envelope.run
        return envelope.sender, envelope.message

    def _authenticate(self, data: bytes) -> bytes:
        """Returns the body of a datagram whose MAC is valid. Raises DatagramRejected."""
        header, body = data[:HEADER_BYTES], data[HEADER_BYTES + MAC_BYTES :]
        mac = data[HEADER_BYTES : HEADER_BYTES + MAC_BYTES]
        if len(data) > MAX_DATAGRAM_BYTES or header[:2] != MAGIC or len(mac) < MAC_BYTES:
            raise DatagramRejected("not a membership datagram")
        if header[2] != FORMAT:
            raise DatagramRejected("unknown format number")
        key = self._keys.get(header[3])
        if key is None or not hmac.compare_digest(_mac(key, header + body), mac):
            raise DatagramRejected("unknown key or wrong authentication code")
        return body

    def _peer(self, sender: str, run: int) -> _Peer:
        """Returns the state of a sender in the given run. Raises DatagramRejected."""
        peer = self._peers.get(sender)
        if peer is None:
            if len(self._peers) >= self._max_peers:
                raise DatagramRejected("too many peers")
            peer = self._peers[sender] = _Peer(run)
        elif run != peer.run:
            if run in peer.earlier_runs:
                raise DatagramRejected("datagram of an earlier run of the sender")
            peer.earlier_runs.append(peer.run)
            peer.run, peer.highest, peer.seen_bits = run, 0, 0
        return peer

    def take_undelivered(self, source: Address) -> Message | None:
        """Returns the message to send again to an address after its hello, or None."""
        return self._undelivered.pop(source, None)

    def hello(self, to: Address, run: int) -> bytes:
        """Returns a datagram that only tells this process's run to a sender of the given run.

        The datagram that is answered may be a replay. The run in it is therefore used for this one answer
        only, and a sender that has another run by now rejects the answer.
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
        """Discards the state of all peers and addresses except these."""
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
    """Decodes an authenticated body. Raises DatagramRejected."""
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
        raise DatagramRejected("malformed body") from error


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
        raise ValueError("more than one payload, or a payload that is not bytes")
    return remainder[0]


def bounded_text(value: Any, *, empty: bool = False) -> str:
    """Returns a decoded text of at most MAX_NAME_CHARACTERS. Raises ValueError."""
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS or not (value or empty):
        raise ValueError("not a text, empty or too long")
    return value


def bounded_int(value: Any, maximum: int, minimum: int = 0) -> int:
    """Returns a decoded integer within bounds. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError("not an integer, or out of range")
    return value
