"""Wire format of the views: messages between members, as msgpack payloads of the membership's datagrams.

A message that exceeds one datagram is fragmented. Messages that violate the schema or its bounds are
rejected.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yewrill.membership.intake import Priority
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.views.agreement import MAX_BALLOT_NUMBER, VoteState
from yewrill.views.lease_renewal import Round
from yewrill.views.view import MAX_CHANGE_BYTES, MAX_ENTRIES, Entry, Number, PersistedView, Rank

VERSION = 2  # version of the heartbeat format
# Limit on the joiners in one register, in format version 1; version 2 sends attestations instead.
MAX_JOINERS = 8
MAX_ATTESTED = 16  # limit on the joiners that one member attests at a time
PAGE_ENTRIES = 10  # number of entries of a view's list in one page

Digest = Annotated[bytes, Meta(min_length=8, max_length=8)]
Bits = Annotated[bytes, Meta(max_length=MAX_ENTRIES // 8 + 1)]
Value = Annotated[bytes, Meta(max_length=MAX_CHANGE_BYTES + 3 * MAX_ENTRIES)]
Opener = Annotated[int, Meta(ge=-1, lt=MAX_ENTRIES)]
Ballot = tuple[Annotated[int, Meta(ge=0, le=MAX_BALLOT_NUMBER)], Opener]
Millis = Annotated[int, Meta(ge=-1, le=3_600_000)]  # milliseconds; -1 stands for "never"


class Register(Struct, frozen=True, array_like=True):
    """Report of one member: its faulty edges, the joiners that it attests, and whether it leaves.

    `faulty` has a bit for each edge, in the order of ranks. A register with a higher number replaces one with
    a lower number.
    """

    rank: Rank
    number: Annotated[int, Meta(ge=0, le=2**40)] = 0
    faulty: Annotated[int, Meta(ge=0, lt=256)] = 0
    joiners: Annotated[tuple[Entry, ...], Meta(max_length=MAX_JOINERS)] = ()
    leaving: bool = False


class WireRound(Struct, frozen=True, array_like=True):
    """A renewal round of leases, with bitmaps as written by `encode_bitmap`."""

    number: Number
    opener: Opener
    opener_before: Opener
    bits_before: Bits
    bits: Bits


class WireVote(Struct, frozen=True, array_like=True):
    """The state of a vote. `proposal` is None if it equals `highest_value`."""

    ballot: Ballot
    promised: Bits
    highest_accepted: Ballot
    highest_value: Value
    proposal: Value | None
    accepted: Bits


class WireTally(Struct, frozen=True, array_like=True):
    """A tally: the state of a vote for a receiver that already holds the proposal.

    `proposal` is a digest of the proposal.
    """

    ballot: Ballot
    promised: Bits
    accepted: Bits
    proposal: Digest


class Heartbeat(Struct, frozen=True, array_like=True, tag=1):
    """A heartbeat along an edge, or a push between two heartbeats.

    `interval`: ms to the next heartbeat, 0 in a push. `received_ago_ms`: ms since the sender last received a
    message of the receiver. `registers_checksum`: checksum of all registers that the sender has.
    `last_change`: the change that led to this view, while the receiver may not have it. `version`: the format
    that the sender understands; version 1 ignores the fields after it. `attested`: joiners that the sender
    attests, in a message to the next proposers, which may come from a member without a common edge.
    """

    number: Number
    digest: Digest
    incarnation: Number
    interval: Millis
    received_ago_ms: Millis
    registers_checksum: Annotated[int, Meta(ge=0, lt=2**32)]
    round: WireRound | None = None
    registers: Annotated[tuple[Register, ...], Meta(max_length=64)] = ()
    vote: WireVote | None = None
    last_change: Value | None = None
    version: Annotated[int, Meta(ge=0, lt=256)] = 1
    tally: WireTally | None = None
    attested: Annotated[tuple[Entry, ...], Meta(max_length=MAX_ATTESTED)] | None = None


class JoinRequest(Struct, frozen=True, array_like=True, tag=2):
    """A request of a process that is in no view.

    `number`: the view that it knows of, or 0. `received_ago_ms`: ms since a join response of the receiver.
    `persisted`: number of the view that it persisted, or 0. `accepted_view`: the first view that it agrees
    to, as number and digest of the entries. `names`: the persisted view, for a founder that asked for its
    names. `wants_names`: whether the sender needs the names of the highest persisted view.
    """

    entry: Entry
    number: Number
    interval: Millis
    received_ago_ms: Millis
    persisted: Number
    accepted_view: tuple[Number, bytes] = (0, b"")
    names: PersistedView | None = None
    wants_names: bool = False


class JoinResponse(Struct, frozen=True, array_like=True, tag=3):
    """Response of a member of a view to a join request. `size`: number of members, 0 if not stated."""

    number: Number
    digest: Digest
    received_ago_ms: Millis
    refusal: Annotated[str, Meta(max_length=64)] = ""
    last_change: Value | None = None
    size: Annotated[int, Meta(ge=0, le=MAX_ENTRIES)] = 0


class PageRequest(Struct, frozen=True, array_like=True, tag=4):
    """Requests a page of a view's list."""

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
    """Returns the priority of a message in the sender's byte budget."""
    if isinstance(message, Heartbeat | JoinRequest):
        return Priority.HEARTBEAT
    return Priority.GOSSIP if isinstance(message, JoinResponse) else Priority.LIST


def pack(message: Message, number: int = 0) -> list[bytes]:
    """Encodes a message in fragments of under 999 bytes; `number` is unique among the sender's messages."""
    return split_payload(_ENCODER.encode(message), number)


def unpack(data: bytes) -> Message:
    """Decodes a message. Raises MalformedPayload."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedPayload(str(error)) from error


class MessageAssembler:
    """Reassembles messages from their fragments, in bounded memory."""

    def __init__(self) -> None:
        self._assembler = FragmentAssembler()

    def take(self, sender: str, payload: bytes) -> Message | None:
        """Takes a fragment; returns the message once it is complete. Raises MalformedPayload."""
        whole = self._assembler.take(sender, payload)
        return None if whole is None else unpack(whole)


def encode_bitmap(value: int, size: int) -> bytes:
    """Encodes a bitmap of ranks: as bits, or as a list of the ranks set or not set where that is shorter."""
    for encoding, listed in ((1, value), (2, value ^ (1 << size) - 1)):
        if 16 * listed.bit_count() < size:
            ranks = [rank for rank, bit in enumerate(reversed(f"{listed:b}")) if bit == "1"]
            return bytes((encoding,)) + b"".join(rank.to_bytes(2, "little") for rank in ranks)
    return b"\0" + value.to_bytes((size + 7) // 8, "little")


def decode_bitmap(data: bytes, size: int) -> int:
    """Decodes a bitmap of ranks. Raises MalformedPayload."""
    encoding, rest = data[:1], data[1:]
    if encoding == b"\0":
        value = int.from_bytes(rest, "little")
    elif encoding in (b"\1", b"\2") and len(rest) % 2 == 0:
        value = 0
        for offset in range(0, len(rest), 2):
            value |= 1 << min(int.from_bytes(rest[offset : offset + 2], "little"), size)
        if encoding == b"\2" and not value >> size:
            value ^= (1 << size) - 1
    else:
        raise MalformedPayload("malformed bitmap")
    if value >> size:
        raise MalformedPayload("rank is not in the view")
    return value


def encode_round(renewal_round: Round, size: int) -> WireRound:
    """Encodes a renewal round in a view of this size."""
    return WireRound(
        renewal_round.number,
        renewal_round.opener,
        renewal_round.opener_before,
        encode_bitmap(renewal_round.bits_before, size),
        encode_bitmap(renewal_round.bits, size),
    )


def decode_round(renewal_round: WireRound, size: int) -> Round:
    """Decodes a renewal round. Raises MalformedPayload if it does not fit a view of this size."""
    if renewal_round.opener >= size or renewal_round.opener_before >= size:
        raise MalformedPayload("rank is not in the view")
    return Round(
        renewal_round.number,
        renewal_round.opener,
        renewal_round.opener_before,
        decode_bitmap(renewal_round.bits_before, size),
        decode_bitmap(renewal_round.bits, size),
    )


def encode_vote(vote_state: VoteState, size: int) -> WireVote:
    """Encodes the state of a vote in a view of this size."""
    return WireVote(
        vote_state.ballot,
        encode_bitmap(vote_state.promised, size),
        vote_state.highest_accepted,
        vote_state.highest_value,
        None if vote_state.proposal == vote_state.highest_value else vote_state.proposal,
        encode_bitmap(vote_state.accepted, size),
    )


def decode_vote(vote: WireVote, size: int) -> VoteState:
    """Decodes the state of a vote; `Agreement.merge` validates its content.

    Raises MalformedPayload if a bitmap does not fit a view of this size.
    """
    return VoteState(
        vote.ballot,
        decode_bitmap(vote.promised, size),
        vote.highest_accepted,
        vote.highest_value,
        vote.highest_value if vote.proposal is None else vote.proposal,
        decode_bitmap(vote.accepted, size),
    )


def digest_of(proposal: bytes) -> bytes:
    """Returns the digest that stands for a proposal in a tally (`WireTally`)."""
    return hashlib.blake2b(proposal, digest_size=8, person=b"view-proposal").digest()


def encode_tally(vote_state: VoteState, size: int) -> WireTally:
    """Encodes the state of a vote as a tally, for a peer that already holds the proposal."""
    return WireTally(
        vote_state.ballot,
        encode_bitmap(vote_state.promised, size),
        encode_bitmap(vote_state.accepted, size),
        digest_of(vote_state.proposal),
    )


def decode_tally(tally: WireTally, ours: VoteState, size: int) -> VoteState | None:
    """Returns the vote state that a tally stands for, None if this member holds another proposal.

    Raises MalformedPayload if a bitmap does not fit a view of this size.
    """
    if (
        tally.ballot != ours.ballot
        or not ours.proposal
        or digest_of(ours.proposal) != tally.proposal
    ):
        return None
    promised, accepted = decode_bitmap(tally.promised, size), decode_bitmap(tally.accepted, size)
    return ours._replace(promised=promised, accepted=accepted)
