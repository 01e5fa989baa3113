"""The bytes of views: messages between members, as cargo of the members' datagrams, in parts where they are
longer than one. Whatever does not fit its form or its bounds is refused.
"""

from __future__ import annotations

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yewrill.membership.intake import Priority
from yewrill.membership.parts import FragmentAssembler, MalformedPayload, split_payload
from yewrill.views.agreement import MOST_TRY, Word
from yewrill.views.rollcall import Round
from yewrill.views.view import MOST_ENTRIES, MOST_VALUE, Entry, Kept, Number, Rank

VERSION = 2  # of what beats may hold
MOST_JOINERS = 8  # in one register; version 2 has none there
MOST_VOUCHED = 16  # joiners that one member vouches for at a time
PAGE = 10  # entries of a view's list in one page

Digest = Annotated[bytes, Meta(min_length=8, max_length=8)]
Bits = Annotated[bytes, Meta(max_length=MOST_ENTRIES // 8 + 1)]
Value = Annotated[bytes, Meta(max_length=MOST_VALUE + 3 * MOST_ENTRIES)]
Opener = Annotated[int, Meta(ge=-1, lt=MOST_ENTRIES)]
Ballot = tuple[Annotated[int, Meta(ge=0, le=MOST_TRY)], Opener]
Millis = Annotated[int, Meta(ge=-1, le=3_600_000)]  # -1: never


class Register(Struct, frozen=True, array_like=True):
    """What an observer says: which of its edges (bits, in the order of their ranks) are not well, whom it
    vouches for, and whether it leaves. The higher number replaces the lower."""

    rank: Rank
    number: Annotated[int, Meta(ge=0, le=2**40)] = 0
    bad: Annotated[int, Meta(ge=0, lt=256)] = 0
    joiners: Annotated[tuple[Entry, ...], Meta(max_length=MOST_JOINERS)] = ()
    leaving: bool = False


class WireRound(Struct, frozen=True, array_like=True):
    number: Number
    opener: Opener
    opener_before: Opener
    before: Bits
    bits: Bits


class WireWord(Struct, frozen=True, array_like=True):
    """`proposal` None: the same as `best_value`."""

    ballot: Ballot
    promised: Bits
    best: Ballot
    best_value: Value
    proposal: Value | None
    accepted: Bits


class WireTally(Struct, frozen=True, array_like=True):
    """A word to one that holds its proposal already: `proposal` is the digest of that."""

    ballot: Ballot
    promised: Bits
    accepted: Bits
    proposal: Digest


class Beat(Struct, frozen=True, array_like=True, tag=1):
    """Along an edge. `interval`: ms to the next beat, 0 where this is one out of turn. `heard`: ms since the
    other was heard last. `sum`: over all registers. `last`: the change that led to this view, while the other
    may not have it. `version`: what the sender understands; 1 ignores all that follows. `vouched`: joiners
    that the sender vouches for, in a message to those that propose; it may come along no edge."""

    number: Number
    digest: Digest
    incarnation: Number
    interval: Millis
    heard: Millis
    sum: Annotated[int, Meta(ge=0, lt=2**32)]
    round: WireRound | None = None
    registers: Annotated[tuple[Register, ...], Meta(max_length=64)] = ()
    word: WireWord | None = None
    last: Value | None = None
    version: Annotated[int, Meta(ge=0, lt=256)] = 1
    tally: WireTally | None = None
    vouched: Annotated[tuple[Entry, ...], Meta(max_length=MOST_VOUCHED)] | None = None


class Call(Struct, frozen=True, array_like=True, tag=2):
    """Of one that is in no view. `number`: the view it knows of, not in it. `kept`: the number that it kept.
    `accept`: the first view that it agrees to found: number, and digest of the entries."""

    entry: Entry
    number: Number
    interval: Millis
    heard: Millis
    kept: Number
    accept: tuple[Number, bytes] = (0, b"")
    names: Kept | None = None
    wants: bool = False


class Answer(Struct, frozen=True, array_like=True, tag=3):
    """To a call, by a member of a view. `size`: how many are in it, 0: not told."""

    number: Number
    digest: Digest
    heard: Millis
    why_not: Annotated[str, Meta(max_length=64)] = ""
    last: Value | None = None
    size: Annotated[int, Meta(ge=0, le=MOST_ENTRIES)] = 0


class Ask(Struct, frozen=True, array_like=True, tag=4):
    """For a page of a view's list."""

    number: Number
    page: Annotated[int, Meta(ge=0, lt=MOST_ENTRIES // PAGE + 1)]


class Page(Struct, frozen=True, array_like=True, tag=5):
    number: Number
    digest: Digest
    page: Annotated[int, Meta(ge=0, lt=MOST_ENTRIES // PAGE + 1)]
    pages: Annotated[int, Meta(ge=1, le=MOST_ENTRIES // PAGE + 1)]
    entries: Annotated[tuple[Entry, ...], Meta(min_length=1, max_length=PAGE)]


Message = Beat | Call | Answer | Ask | Page
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def priority_of(message: Message) -> Priority:
    """How it stands to others where the sender's budget is short."""
    if isinstance(message, Beat | Call):
        return Priority.HEARTBEAT
    return Priority.GOSSIP if isinstance(message, Answer) else Priority.LIST


def pack(message: Message, number: int = 0) -> list[bytes]:
    """A message as cargo, in parts of under 999 bytes; `number` tells a sender's messages apart."""
    return split_payload(_ENCODER.encode(message), number)


def unpack(data: bytes) -> Message:
    """A whole message. Raises Malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedPayload(str(error)) from error


class Parts:
    """Takes the parts of messages. Bounded."""

    def __init__(self) -> None:
        self._joiner = FragmentAssembler()

    def take(self, sender: str, cargo: bytes) -> Message | None:
        """A message, once its last part is there. Raises Malformed."""
        whole = self._joiner.take(sender, cargo)
        return None if whole is None else unpack(whole)


def bits(value: int, size: int) -> bytes:
    """A bitmap of ranks: as it is, or, where that is shorter, the ranks that are in it or are not."""
    for mark, listed in ((1, value), (2, value ^ (1 << size) - 1)):
        if 16 * listed.bit_count() < size:
            ranks = [at for at, bit in enumerate(reversed(f"{listed:b}")) if bit == "1"]
            return bytes((mark,)) + b"".join(rank.to_bytes(2, "little") for rank in ranks)
    return b"\0" + value.to_bytes((size + 7) // 8, "little")


def whole_of(data: bytes, size: int) -> int:
    """A bitmap from bytes. Raises Malformed."""
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


def wire_round(r: Round, size: int) -> WireRound:
    return WireRound(r.number, r.opener, r.opener_before, bits(r.before, size), bits(r.bits, size))


def round_of(r: WireRound, size: int) -> Round:
    """Raises Malformed where it is none of a view of this size."""
    if r.opener >= size or r.opener_before >= size:
        raise MalformedPayload("ranks")
    return Round(
        r.number, r.opener, r.opener_before, whole_of(r.before, size), whole_of(r.bits, size)
    )


def wire_word(w: Word, size: int) -> WireWord:
    return WireWord(
        w.ballot,
        bits(w.promised, size),
        w.best,
        w.best_value,
        None if w.proposal == w.best_value else w.proposal,
        bits(w.accepted, size),
    )


def word_of(w: WireWord, size: int) -> Word:
    """Raises Malformed where it is none of a view of this size; the vote looks at the rest."""
    return Word(
        w.ballot,
        whole_of(w.promised, size),
        w.best,
        w.best_value,
        w.best_value if w.proposal is None else w.proposal,
        whole_of(w.accepted, size),
    )


def digest_of(proposal: bytes) -> bytes:
    """What stands for a proposal in a tally."""
    return hashlib.blake2b(proposal, digest_size=8, person=b"view-proposal").digest()


def wire_tally(w: Word, size: int) -> WireTally:
    """A word of which the other holds the proposal."""
    return WireTally(
        w.ballot, bits(w.promised, size), bits(w.accepted, size), digest_of(w.proposal)
    )


def tally_of(tally: WireTally, ours: Word, size: int) -> Word | None:
    """The word that a tally stands for; None where ours is not of that proposal. Raises Malformed."""
    if (
        tally.ballot != ours.ballot
        or not ours.proposal
        or digest_of(ours.proposal) != tally.proposal
    ):
        return None
    promised, accepted = whole_of(tally.promised, size), whole_of(tally.accepted, size)
    return ours._replace(promised=promised, accepted=accepted)
