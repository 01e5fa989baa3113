"""The vote on what follows a view: no two values are ever decided, whatever the order, loss and deaths."""

import random

import pytest

from yewrill.lab.viewcheck import Bounds, explore
from yewrill.views.agreement import NO_BALLOT, Agreement, VoteState

SMALL = Bounds(members=3, ballots=2, messages=2, crashes=1)


def test_three_members_explored_in_all_orders_never_decide_two_values():
    found = explore(SMALL)
    assert found.violation == "" and found.exhaustive and found.states > 5_000


class OwnValue(Agreement):
    """The opener proposes its own value, whatever a majority had accepted."""

    def _advance(self):
        word = self.state
        if (
            word.ballot[1] == self.rank
            and not word.proposal
            and self._own_proposal
            and word.promised.bit_count() >= self.majority
        ):
            self.state = word._replace(proposal=self._own_proposal)
        super()._advance()


class Forgets(Agreement):
    """A promise does not tell what was accepted before."""

    def _promise(self, word):
        self.accepted = None
        super()._promise(word)


class Hasty(Agreement):
    """The opener does not wait for a majority's promises."""

    def _advance(self):
        word = self.state
        if word.ballot[1] == self.rank and not word.proposal:
            self.state = word._replace(proposal=word.highest_value or self._own_proposal)
        super()._advance()


class Half(Agreement):
    """One less than a majority will do."""

    @property
    def majority(self):
        return self.size // 2


class LooksBack(Agreement):
    """Accepts under a lower ballot than it has promised."""

    def merge(self, other):
        if other.ballot < self.state.ballot and other.proposal:
            accepted = other.accepted | 1 << self.rank
            if accepted.bit_count() >= self.majority:
                self.decided = other.proposal
        return super().merge(other)


@pytest.mark.parametrize("mutant", [OwnValue, Forgets, Hasty, Half, LooksBack])
def test_each_rule_of_the_vote_is_needed(mutant):
    found = explore(SMALL, mutant)
    assert found.violation.startswith("decided") and found.trace


@pytest.mark.parametrize("seed", range(20))
def test_thirty_members_of_whom_a_third_die_decide_one_value_by_gossip_with_loss(seed):
    rng = random.Random(seed)
    votes = [Agreement(rank, 30) for rank in range(30)]
    alive = rng.sample(range(30), 20)
    decided = set()
    for turn in range(4000):
        if turn % 400 == 0:
            opener = votes[rng.choice(alive)]
            opener.set_proposal(b"by %d" % opener.rank)
            opener.open_ballot()
        a, b = rng.sample(alive, 2)
        if rng.random() > 0.3:
            votes[b].merge(votes[a].state)
        decided |= {vote.decided for vote in votes if vote.decided}
    assert len(decided) == 1 and all(votes[rank].decided for rank in alive)


@pytest.mark.parametrize(
    "word",
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
def test_what_no_member_could_say_is_refused(word):
    vote = Agreement(0, 5)
    with pytest.raises(ValueError):
        vote.merge(word)
    assert vote.state == VoteState()


def test_a_word_heard_twice_or_late_changes_nothing():
    a, b = Agreement(0, 3), Agreement(1, 3)
    a.set_proposal(b"a")
    a.open_ballot()
    first = a.state
    assert b.merge(first) and not b.merge(first)
    b.open_ballot()
    assert a.merge(b.state) and not b.merge(first) and a.state.ballot == (2, 1)
