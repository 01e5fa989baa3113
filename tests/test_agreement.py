"""The vote on the next view: no two values are decided, whatever the order of messages, losses and crashes.

Two decisions would give two different views with the same number. The rules that prevent it are each shown to
be needed: without one of them, an exhaustive search finds two decisions.
"""

import random

import pytest

from yewrill.lab.viewcheck import Bounds, explore
from yewrill.views.agreement import NO_BALLOT, Agreement, VoteState

BOUNDS = Bounds(members=3, ballots=2, messages=2, crashes=1)


def test_vote_of_three_members_explored_in_all_orders_never_decides_two_values():
    found = explore(BOUNDS)
    assert found.violation == "" and found.exhaustive and found.states > 5_000


class IgnoresAcceptedValue(Agreement):
    """Faulty variant: the opener proposes its own value even if a member has accepted another one."""

    def _advance(self):
        vote_state = self.state
        if (
            vote_state.ballot[1] == self.rank
            and not vote_state.proposal
            and self._own_proposal
            and vote_state.promised.bit_count() >= self.majority
        ):
            self.state = vote_state._replace(proposal=self._own_proposal)
        super()._advance()


class ForgetsAcceptedValue(Agreement):
    """Faulty variant: a promise leaves out what was accepted before."""

    def _promise(self, vote_state):
        self.accepted = None
        super()._promise(vote_state)


class ProposesWithoutMajority(Agreement):
    """Faulty variant: the opener does not wait for promises of a majority."""

    def _advance(self):
        vote_state = self.state
        if vote_state.ballot[1] == self.rank and not vote_state.proposal:
            self.state = vote_state._replace(
                proposal=vote_state.highest_value or self._own_proposal
            )
        super()._advance()


class AcceptsLessThanMajority(Agreement):
    """Faulty variant: one member less than a majority is enough."""

    @property
    def majority(self):
        return self.size // 2


class AcceptsLowerBallot(Agreement):
    """Faulty variant: a member accepts under a lower ballot than the promised one."""

    def merge(self, other):
        if other.ballot < self.state.ballot and other.proposal:
            accepted = other.accepted | 1 << self.rank
            if accepted.bit_count() >= self.majority:
                self.decided = other.proposal
        return super().merge(other)


@pytest.mark.parametrize(
    "faulty_agreement",
    [
        IgnoresAcceptedValue,
        ForgetsAcceptedValue,
        ProposesWithoutMajority,
        AcceptsLessThanMajority,
        AcceptsLowerBallot,
    ],
)
def test_vote_without_one_of_its_rules_decides_two_values(faulty_agreement):
    found = explore(BOUNDS, faulty_agreement)
    assert found.violation.startswith("decided") and found.trace


@pytest.mark.parametrize("seed", range(20))
def test_thirty_members_with_a_third_crashed_decide_one_value_by_gossip_with_loss(seed):
    rng = random.Random(seed)
    votes = [Agreement(rank, 30) for rank in range(30)]
    running = rng.sample(range(30), 20)
    decided = set()
    for step in range(4000):
        if step % 400 == 0:
            opener = votes[rng.choice(running)]
            opener.set_proposal(b"by %d" % opener.rank)
            opener.open_ballot()
        sender, receiver = rng.sample(running, 2)
        if rng.random() > 0.3:
            votes[receiver].merge(votes[sender].state)
        decided |= {vote.decided for vote in votes if vote.decided}
    assert len(decided) == 1 and all(votes[rank].decided for rank in running)


@pytest.mark.parametrize(
    "vote_state",
    [
        VoteState((1, 9)),
        VoteState((-1, 0)),
        VoteState((10**7, 0)),
        VoteState((1, 0), 1 << 5),
        VoteState((1, 0), 1, (1, 0), b"x"),
        VoteState((1, 0), 1, NO_BALLOT, b"x"),
        VoteState((1, 0), 1, NO_BALLOT, b"", b"", 1),
    ],
)
def test_merge_rejects_a_state_that_no_member_can_send(vote_state):
    vote = Agreement(0, 5)
    with pytest.raises(ValueError):
        vote.merge(vote_state)
    assert vote.state == VoteState()


def test_merge_of_a_repeated_or_outdated_state_changes_nothing():
    a, b = Agreement(0, 3), Agreement(1, 3)
    a.set_proposal(b"a")
    a.open_ballot()
    first = a.state
    assert b.merge(first) and not b.merge(first)
    b.open_ballot()
    assert a.merge(b.state) and not b.merge(first) and a.state.ballot == (2, 1)
