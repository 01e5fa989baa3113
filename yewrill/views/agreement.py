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
MAX_ROUND = 1_000_000  # a try above is nonsense: nobody could open a higher one for ever


class VoteState(NamedTuple):
    """All that is known of the vote. Bitmaps of ranks are whole numbers."""

    ballot: Ballot = NONE
    promised: int = 0
    highest_accepted: Ballot = NONE  # the highest ballot that one of them had accepted
    highest_value: bytes = b""
    proposal: bytes = b""  # b"": nothing yet
    accepted: int = 0


class Agreement:
    """The vote as the member of one rank sees it, and its own promises."""

    def __init__(self, rank: int, size: int):
        self.rank, self.size = rank, size
        self.state = VoteState()
        self.accepted: tuple[Ballot, bytes] | None = None  # by us: kept before it is told
        self.decided: bytes | None = None
        self._proposed = b""

    @property
    def majority(self) -> int:
        """How many members a majority has."""
        return self.size // 2 + 1

    def open(self) -> None:
        """Begin a ballot of ours above all that we know of."""
        self._promise(VoteState((self.state.ballot[0] + 1, self.rank)))
        self._advance()

    def offer(self, value: bytes) -> None:
        """What we propose where nothing is to be taken over. Raises ValueError if it is empty."""
        if not value:
            raise ValueError("a proposal can't be empty")
        self._proposed = value
        self._advance()

    def merge(self, other: VoteState) -> bool:
        """Take what another knows. True: we know more by it, or said something ourselves, so pass it on.
        Raises ValueError for what no member could say."""
        self._check(other)
        before = self.state
        if other.ballot > before.ballot:
            self._promise(other)
        elif other.ballot == before.ballot:
            highest_accepted, highest_value = max(
                (before.highest_accepted, before.highest_value),
                (other.highest_accepted, other.highest_value),
            )
            self.state = before._replace(
                promised=before.promised | other.promised,
                highest_accepted=highest_accepted,
                highest_value=highest_value,
                proposal=before.proposal or other.proposal,
                accepted=before.accepted | other.accepted,
            )
        self._advance()
        return self.state != before

    def _check(self, vote_state: VoteState) -> None:
        """Raises ValueError. Two proposals under one ballot can't be."""
        ours = self.state
        other = (
            vote_state.ballot == ours.ballot
            and vote_state.proposal
            and ours.proposal not in (b"", vote_state.proposal)
        )
        if (
            not 0 <= vote_state.ballot[0] <= MAX_ROUND
            or not -1 <= vote_state.ballot[1] < self.size
            or (vote_state.promised | vote_state.accepted) >> self.size
            or vote_state.highest_accepted >= vote_state.ballot > NONE
            or (vote_state.highest_accepted == NONE) != (vote_state.highest_value == b"")
            or (vote_state.accepted and not vote_state.proposal)
            or other
        ):
            raise ValueError("no word of this vote")

    def _promise(self, vote_state: VoteState) -> None:
        """Take a higher ballot, and promise it with what we accepted before."""
        ballot, value = self.accepted or (NONE, b"")
        highest_accepted, highest_value = max(
            (vote_state.highest_accepted, vote_state.highest_value), (ballot, value)
        )
        self.state = vote_state._replace(
            promised=vote_state.promised | 1 << self.rank,
            highest_accepted=highest_accepted,
            highest_value=highest_value,
        )

    def _advance(self) -> None:
        vote_state = self.state
        if (
            vote_state.ballot[1] == self.rank
            and not vote_state.proposal
            and vote_state.promised.bit_count() >= self.majority
        ):
            vote_state = vote_state._replace(proposal=vote_state.highest_value or self._proposed)
        if vote_state.proposal and not vote_state.accepted >> self.rank & 1:
            vote_state = vote_state._replace(accepted=vote_state.accepted | 1 << self.rank)
            self.accepted = vote_state.ballot, vote_state.proposal
        if vote_state.proposal and vote_state.accepted.bit_count() >= self.majority:
            self.decided = vote_state.proposal
        self.state = vote_state
