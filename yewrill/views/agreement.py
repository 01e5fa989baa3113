"""One member's side of the vote on what follows a view: one decree, ballots of two phases, as a state that
merges. Pure.

Paxos (Lamport, "The part-time parliament", 1998) among the members of the view, each known by its rank.
The whole vote is one `Word`, for the highest ballot that anybody told of: who has promised it, the highest
that any of them had accepted before, what its opener proposes, who has accepted that. Words merge (bits are
joined, the higher ballot replaces the lower), so whoever has one may pass it on, over any path and in any
order, and a word heard twice changes nothing.

A member promises by putting its bit in together with what it accepted last, in one step; so a word with a
majority's promises has the highest value that any of them accepted. Votes are in memory only: whoever
restarts is another entry, and votes no more in this view.
"""

from __future__ import annotations

from typing import NamedTuple

Ballot = tuple[int, int]  # the try, and the rank of whoever opened it
NONE: Ballot = (0, -1)
MOST_TRY = 1_000_000  # a try above is nonsense: nobody could open a higher one for ever


class Word(NamedTuple):
    """All that is known of the vote. Bitmaps of ranks are whole numbers."""

    ballot: Ballot = NONE
    promised: int = 0
    best: Ballot = NONE  # the highest ballot that one of them had accepted
    best_value: bytes = b""
    proposal: bytes = b""  # b"": nothing yet
    accepted: int = 0


class Agreement:
    """The vote as the member of one rank sees it, and its own promises."""

    def __init__(self, rank: int, size: int):
        self.rank, self.size = rank, size
        self.word = Word()
        self.accepted: tuple[Ballot, bytes] | None = None  # by us: kept before it is told
        self.decided: bytes | None = None
        self._offered = b""

    @property
    def majority(self) -> int:
        return self.size // 2 + 1

    def open(self) -> None:
        """Begin a ballot of ours above all that we know of."""
        self._promise(Word((self.word.ballot[0] + 1, self.rank)))
        self._go_on()

    def offer(self, value: bytes) -> None:
        """What we propose where nothing is to be taken over. Raises ValueError if it is empty."""
        if not value:
            raise ValueError("a proposal can't be empty")
        self._offered = value
        self._go_on()

    def merge(self, other: Word) -> bool:
        """Take what another knows. True: we know more by it, or said something ourselves, so pass it on.
        Raises ValueError for what no member could say."""
        self._check(other)
        before = self.word
        if other.ballot > before.ballot:
            self._promise(other)
        elif other.ballot == before.ballot:
            best, best_value = max((before.best, before.best_value), (other.best, other.best_value))
            self.word = before._replace(
                promised=before.promised | other.promised,
                best=best,
                best_value=best_value,
                proposal=before.proposal or other.proposal,
                accepted=before.accepted | other.accepted,
            )
        self._go_on()
        return self.word != before

    def _check(self, word: Word) -> None:
        """Raises ValueError. Two proposals under one ballot can't be."""
        ours = self.word
        other = (
            word.ballot == ours.ballot
            and word.proposal
            and ours.proposal not in (b"", word.proposal)
        )
        if (
            not 0 <= word.ballot[0] <= MOST_TRY
            or not -1 <= word.ballot[1] < self.size
            or (word.promised | word.accepted) >> self.size
            or word.best >= word.ballot > NONE
            or (word.best == NONE) != (word.best_value == b"")
            or (word.accepted and not word.proposal)
            or other
        ):
            raise ValueError("no word of this vote")

    def _promise(self, word: Word) -> None:
        """Take a higher ballot, and promise it with what we accepted before."""
        ballot, value = self.accepted or (NONE, b"")
        best, best_value = max((word.best, word.best_value), (ballot, value))
        self.word = word._replace(
            promised=word.promised | 1 << self.rank, best=best, best_value=best_value
        )

    def _go_on(self) -> None:
        word = self.word
        if (
            word.ballot[1] == self.rank
            and not word.proposal
            and word.promised.bit_count() >= self.majority
        ):
            word = word._replace(proposal=word.best_value or self._offered)
        if word.proposal and not word.accepted >> self.rank & 1:
            word = word._replace(accepted=word.accepted | 1 << self.rank)
            self.accepted = word.ballot, word.proposal
        if word.proposal and word.accepted.bit_count() >= self.majority:
            self.decided = word.proposal
        self.word = word
