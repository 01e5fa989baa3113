"""The wire format of views: messages between members, as payloads of the membership's datagrams, fragmented
where they exceed one. Whatever violates its form or its bounds is rejected.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yewrill.membership.intake import Priority
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.views.agreement import MAX_ROUND, VoteState
from yewrill.views.lease_renewal import Round
from yewrill.views.view import MAX_CHANGE_BYTES, MAX_ENTRIES, Entry, Number, PersistedView, Rank

VERSION = 2  # of what beats may hold
MAX_JOINERS = 8  # in one register; version 2 has none there
MAX_ATTESTED = 16  # joiners that one member vouches for at a time
PAGE_ENTRIES = 10  # entries of a view's list in one page

Digest = Annotated[bytes, Meta(min_length=8, max_length=8)]
Bits = Annotated[bytes, Meta(max_length=MAX_ENTRIES // 8 + 1)]
Value = Annotated[bytes, Meta(max_length=MAX_CHANGE_BYTES + 3 * MAX_ENTRIES)]
Opener = Annotated[int, Meta(ge=-1, lt=MAX_ENTRIES)]
Ballot = tuple[Annotated[int, Meta(ge=0, le=MAX_ROUND)], Opener]
Millis = Annotated[int, Meta(ge=-1, le=3_600_000)]  # -1: never


class Register(Struct, frozen=True, array_like=True):
    """What an observer reports: its faulty edges (bits, in the order of ranks), the joiners that it attests,
    and whether it leaves. The higher number replaces the lower.
    """

    rank: Rank
    number: Annotated[int, Meta(ge=0, le=2**40)] = 0
    faulty: Annotated[int, Meta(ge=0, lt=256)] = 0
    joiners: Annotated[tuple[Entry, ...], Meta(max_length=MAX_JOINERS)] = ()
    leaving: bool = False


class WireRound(Struct, frozen=True, array_like=True):
    """A renewal round; bitmaps as `encode_bitmap` makes them."""

    number: Number
    opener: Opener
    opener_before: Opener
    before: Bits
    bits: Bits


class WireVote(Struct, frozen=True, array_like=True):
    """`proposal` None: the same as `best_value`."""

    ballot: Ballot
    promised: Bits
    highest_accepted: Ballot
    highest_value: Value
    proposal: Value | None
    accepted: Bits


class WireTally(Struct, frozen=True, array_like=True):
    """A vote for a receiver that holds its proposal already: `proposal` is the digest of that."""

    ballot: Ballot
    promised: Bits
    accepted: Bits
    proposal: Digest


class Heartbeat(Struct, frozen=True, array_like=True, tag=1):
    """A heartbeat along an edge.

    `interval`: ms to the next one, 0 where this is one out of turn. `received_ago_ms`: since the last message
    of the other. `sum`: over all registers. `last`: the change that led to this view, while the other
    may not have it. `version`: what the sender understands; 1 ignores all that follows. `attested`: joiners
    that the sender attests, in a message to those that propose; such a one may come along no edge.
    """

    number: Number
    digest: Digest
    incarnation: Number
    interval: Millis
    received_ago_ms: Millis
    sum: Annotated[int, Meta(ge=0, lt=2**32)]
    round: WireRound | None = None
    registers: Annotated[tuple[Register, ...], Meta(max_length=64)] = ()
    vote: WireVote | None = None
    last: Value | None = None
    version: Annotated[int, Meta(ge=0, lt=256)] = 1
    tally: WireTally | None = None
    attested: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ATTESTED)] | None = None


class JoinRequest(Struct, frozen=True, array_like=True, tag=2):
    """From a process that is in no view.

    `number`: the view that it knows of. `persisted`: the number of the view that it persisted. `accept`: the
    first view that it agrees to: number, and digest of the entries.
    """

    entry: Entry
    number: Number
    interval: Millis
    received_ago_ms: Millis
    persisted: Number
    accept: tuple[Number, bytes] = (0, b"")
    names: PersistedView | None = None
    wants: bool = False


class JoinResponse(Struct, frozen=True, array_like=True, tag=3):
    """The response of a member of a view. `size`: how many are in it, 0: not stated."""

    number: Number
    digest: Digest
    received_ago_ms: Millis
    refusal: Annotated[str, Meta(max_length=64)] = ""
    last: Value | None = None
    size: Annotated[int, Meta(ge=0, le=MAX_ENTRIES)] = 0


class PageRequest(Struct, frozen=True, array_like=True, tag=4):
    """Asks for a page of a view's list."""

    number: Number
    page: Annotated[int, Meta(ge=0, lt=MAX_ENTRIES // PAGE_ENTRIES + 1)]


class Page(Struct, frozen=True, array_like=True, tag=5):
    """A page of a view's list."""

    number: Number
    digest: Digest
    page: Annotated[int, Meta(ge=0, lt=MAX_ENTRIES // PAGE_ENTRIES + 1)]
    pages: Annotated[int, Meta(ge=1, le=MAX_ENTRIES // PAGE_ENTRIES + 1)]
    entries: Annotated[tuple[Entry, ...], Meta(min_length=1, max_length=PAGE_ENTRIES)]


Message = Heartbeat | JoinRequest | JoinResponse | PageRequest | Page
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def priority_of(message: Message) -> Priority:
    """The class of a message in the sender's byte budget."""
    if isinstance(message, Heartbeat | JoinRequest):
        return Priority.HEARTBEAT
    return Priority.GOSSIP if isinstance(message, JoinResponse) else Priority.LIST


def pack(message: Message, number: int = 0) -> list[bytes]:
    """A message as cargo, in parts of under 999 bytes; `number` tells a sender's messages apart."""
    return split_payload(_ENCODER.encode(message), number)


def unpack(data: bytes) -> Message:
    """A whole message. Raises MalformedPayload."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedPayload(str(error)) from error


class MessageAssembler:
    """Takes the parts of messages. Bounded."""

    def __init__(self) -> None:
        self._joiner = FragmentAssembler()

    def take(self, sender: str, cargo: bytes) -> Message | None:
        """A message, once its last part is there. Raises MalformedPayload."""
        whole = self._joiner.take(sender, cargo)
        return None if whole is None else unpack(whole)


def encode_bitmap(value: int, size: int) -> bytes:
    """A bitmap of ranks: as it is, or, where that is shorter, the ranks that are in it or are not."""
    for mark, listed in ((1, value), (2, value ^ (1 << size) - 1)):
        if 16 * listed.bit_count() < size:
            ranks = [at for at, bit in enumerate(reversed(f"{listed:b}")) if bit == "1"]
            return bytes((mark,)) + b"".join(rank.to_bytes(2, "little") for rank in ranks)
    return b"\0" + value.to_bytes((size + 7) // 8, "little")


def decode_bitmap(data: bytes, size: int) -> int:
    """A bitmap from bytes. Raises MalformedPayload."""
    mark, rest = data[:1], data[1:]
    if mark == b"\0":
        value = int.from_bytes(rest, "little")
    elif mark in (b"\1", b"\2") and len(rest) % 2 == 0:
        value = 0
        for at in range(0, len(rest), 2):
            value |= 1 << min(int.from_bytes(rest[at : at + 2], "little"), size)
        if mark == b"\2" and not value >> size:
            value ^= (1 << size) - 1
    else:
        raise MalformedPayload("bitmap")
    if value >> size:
        raise MalformedPayload("ranks")
    return value


def encode_round(r: Round, size: int) -> WireRound:
    """The wire form of a round in a view of this size."""
    return WireRound(
        r.number,
        r.opener,
        r.opener_before,
        encode_bitmap(r.before, size),
        encode_bitmap(r.bits, size),
    )


def decode_round(r: WireRound, size: int) -> Round:
    """Raises MalformedPayload where it is none of a view of this size."""
    if r.opener >= size or r.opener_before >= size:
        raise MalformedPayload("ranks")
    return Round(
        r.number,
        r.opener,
        r.opener_before,
        decode_bitmap(r.before, size),
        decode_bitmap(r.bits, size),
    )


def encode_vote(w: VoteState, size: int) -> WireVote:
    """The wire form of a vote in a view of this size."""
    return WireVote(
        w.ballot,
        encode_bitmap(w.promised, size),
        w.highest_accepted,
        w.highest_value,
        None if w.proposal == w.highest_value else w.proposal,
        encode_bitmap(w.accepted, size),
    )


def decode_vote(w: WireVote, size: int) -> VoteState:
    """Raises MalformedPayload where it is none of a view of this size; the vote looks at the rest."""
    return VoteState(
        w.ballot,
        decode_bitmap(w.promised, size),
        w.highest_accepted,
        w.highest_value,
        w.highest_value if w.proposal is None else w.proposal,
        decode_bitmap(w.accepted, size),
    )


def digest_of(proposal: bytes) -> bytes:
    """What stands for a proposal in a tally."""
    return hashlib.blake2b(proposal, digest_size=8, person=b"view-proposal").digest()


def encode_tally(w: VoteState, size: int) -> WireTally:
    """A word of which the other holds the proposal."""
    return WireTally(
        w.ballot,
        encode_bitmap(w.promised, size),
        encode_bitmap(w.accepted, size),
        digest_of(w.proposal),
    )


def decode_tally(tally: WireTally, ours: VoteState, size: int) -> VoteState | None:
    """The word that a tally stands for; None where ours is not of that proposal. Raises MalformedPayload."""
    if (
        tally.ballot != ours.ballot
        or not ours.proposal
        or digest_of(ours.proposal) != tally.proposal
    ):
        return None
    promised, accepted = decode_bitmap(tally.promised, size), decode_bitmap(tally.accepted, size)
    return ours._replace(promised=promised, accepted=accepted)
