"""One member's side of the vote on the change that follows a view, as a mergeable state. It does no I/O.

Single-decree Paxos (Lamport, "The part-time parliament", 1998) among the members of the view, each identified
by its rank. The whole vote is one `VoteState`, for the highest known ballot: the members that have promised
it, the highest ballot that any of them had accepted before, the opener's proposal, and the members that have
accepted that proposal. States merge (bitmaps are united, a higher ballot replaces a lower one), so any member
may pass a state on, over any path and in any order, and a state received twice changes nothing.

A member sets its promise bit and adds what it accepted last in one step. A state with promises of a majority
therefore has the highest value that any of them accepted. Votes are kept in memory only: a process that
restarts is another entry of the view and does not vote in the old view again.
"""

from __future__ import annotations

from typing import NamedTuple

Ballot = tuple[int, int]  # number of the ballot, and rank of the member that opened it
NO_BALLOT: Ballot = (0, -1)
# Ballots with higher numbers are rejected: after an arbitrarily high one, nobody could open a higher ballot.
MAX_BALLOT_NUMBER = 1_000_000


class VoteState(NamedTuple):
    """The known state of the vote. Sets of members are bitmaps of ranks."""

    ballot: Ballot = NO_BALLOT
    promised: int = 0
    # The highest ballot that a member had accepted when it promised `ballot`; its value is `highest_value`.
    highest_accepted: Ballot = NO_BALLOT
    highest_value: bytes = b""
    proposal: bytes = b""  # the value that the opener proposes; b"" while there is none
    accepted: int = 0


class Agreement:
    """The vote as one member knows it, with its own promises and acceptances."""

    def __init__(self, rank: int, size: int):
        self.rank, self.size = rank, size
        self.state = VoteState()
        # Ballot and value that this member accepted last; persisted before they are sent.
        self.accepted: tuple[Ballot, bytes] | None = None
        self.decided: bytes | None = None
        self._own_proposal = b""

    @property
    def majority(self) -> int:
        """Number of members in a majority."""
        return self.size // 2 + 1

    def open_ballot(self) -> None:
        """Opens a ballot with a higher number than all known ones."""
        self._promise(VoteState((self.state.ballot[0] + 1, self.rank)))
        self._advance()

    def set_proposal(self, value: bytes) -> None:
        """Sets the value to propose if no member has accepted one before. Raises ValueError if empty."""
        if not value:
            raise ValueError("a proposal can't be empty")
        self._own_proposal = value
        self._advance()

    def merge(self, other: VoteState) -> bool:
        """Merges another member's state; returns whether this member's state has changed.

        A changed state must be passed on.

        Raises ValueError for a state that no correct member can send.
        """
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
        """Raises ValueError if a state is invalid, or has another proposal for this member's ballot."""
        ours = self.state
        conflicting_proposal = (
            vote_state.ballot == ours.ballot
            and vote_state.proposal
            and ours.proposal not in (b"", vote_state.proposal)
        )
        if (
            not 0 <= vote_state.ballot[0] <= MAX_BALLOT_NUMBER
            or not -1 <= vote_state.ballot[1] < self.size
            or (vote_state.promised | vote_state.accepted) >> self.size
            or vote_state.highest_accepted >= vote_state.ballot > NO_BALLOT
            or (vote_state.highest_accepted == NO_BALLOT) != (vote_state.highest_value == b"")
            or (vote_state.accepted and not vote_state.proposal)
            or conflicting_proposal
        ):
            raise ValueError("invalid vote state")

    def _promise(self, vote_state: VoteState) -> None:
        """Adopts a higher ballot and promises it, adding what this member accepted before."""
        ballot, value = self.accepted or (NO_BALLOT, b"")
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
            vote_state = vote_state._replace(
                proposal=vote_state.highest_value or self._own_proposal
            )
        if vote_state.proposal and not vote_state.accepted >> self.rank & 1:
            vote_state = vote_state._replace(accepted=vote_state.accepted | 1 << self.rank)
            self.accepted = vote_state.ballot, vote_state.proposal
        if vote_state.proposal and vote_state.accepted.bit_count() >= self.majority:
            self.decided = vote_state.proposal
        self.state = vote_state
