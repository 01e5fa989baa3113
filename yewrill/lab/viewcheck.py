"""Explores the vote on the change of a view exhaustively within bounds, and checks that all decide one value.

The search is breadth-first over all orders of these events: a member opens a ballot with a value of its own;
a vote state that a member had at any time reaches another member (late, again, or never); a member crashes,
and stays so, since a restarted process never takes up its old rank. Global states are identified by what each
member knows, and states that differ only in the ranks of the members count as one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import permutations

from yewrill.lab.raftcheck import list_steps
from yewrill.views.agreement import Agreement, VoteState

# One member: vote state, accepted ballot with its value, decided value, own proposal.
MemberState = tuple[VoteState, tuple | None, bytes | None, bytes]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the exploration."""

    members: int = 3
    ballot_numbers: int = 2  # highest number of a ballot
    ballots: int = 2  # number of ballots opened in total
    messages: int = 4  # number of distinct messages in flight; the oldest is dropped beyond it
    crashes: int = 1
    states: int = 400_000


@dataclass(frozen=True, slots=True)
class GlobalState:
    """The states of all members and the messages in flight."""

    members: tuple[MemberState, ...]
    messages: tuple[VoteState, ...] = ()
    opened_ballots: int = 0
    crashed: int = 0  # bitmap of the ranks of crashed members
    decided: frozenset[bytes] = frozenset()


@dataclass(slots=True)
class ExplorationResult:
    """The outcome of an exploration; `trace` holds the events that lead to a violation."""

    states: int
    exhaustive: bool  # whether all states within the bounds were visited
    violation: str = ""
    trace: tuple[str, ...] = ()


def _load(
    new_agreement: Callable[[int, int], Agreement], rank: int, size: int, state: MemberState
) -> Agreement:
    vote = new_agreement(rank, size)
    vote.state, vote.accepted, vote.decided, vote._own_proposal = state
    return vote


def _save(vote: Agreement) -> MemberState:
    return vote.state, vote.accepted, vote.decided, vote._own_proposal


def explore(
    bounds: Bounds, new_agreement: Callable[[int, int], Agreement] = Agreement
) -> ExplorationResult:
    """Visits all states within the bounds, up to the first one in which two values are decided."""
    size = bounds.members
    initial = GlobalState(tuple(_save(new_agreement(rank, size)) for rank in range(size)))
    permuted_ranks = list(permutations(range(size)))
    seen = {_canonical_key(initial, permuted_ranks)}
    queue: deque[tuple[GlobalState, tuple]] = deque([(initial, ())])
    while queue:
        current, path = queue.popleft()
        for event, following in _steps(current, bounds, new_agreement):
            if len(following.decided) > 1:
                return ExplorationResult(
                    len(seen),
                    False,
                    f"decided {sorted(following.decided)}",
                    (*list_steps(path), event),
                )
            key = _canonical_key(following, permuted_ranks)
            if key not in seen:
                if len(seen) >= bounds.states:
                    return ExplorationResult(len(seen), False)
                seen.add(key)
                queue.append((following, (path, event)))
    return ExplorationResult(len(seen), True)


def _steps(
    current: GlobalState, bounds: Bounds, new_agreement: Callable[[int, int], Agreement]
) -> Iterator[tuple[str, GlobalState]]:
    size = bounds.members
    for rank in range(size):
        if current.crashed >> rank & 1:
            continue
        state = current.members[rank]
        if (
            current.opened_ballots < bounds.ballots
            and state[0].ballot[0] < bounds.ballot_numbers
            and state[2] is None
        ):
            vote = _load(new_agreement, rank, size, state)
            vote.set_proposal(b"%d" % rank)
            vote.open_ballot()
            yield (
                f"{rank} opens {vote.state.ballot}",
                _after(current, bounds, rank, vote, opened_ballots=1),
            )
        for vote_state in current.messages:
            vote = _load(new_agreement, rank, size, state)
            vote.merge(vote_state)
            if _save(vote) != state:
                yield f"{rank} receives {vote_state}", _after(current, bounds, rank, vote)
        if current.crashed.bit_count() < bounds.crashes:
            yield (
                f"{rank} crashes",
                GlobalState(
                    current.members,
                    current.messages,
                    current.opened_ballots,
                    current.crashed | 1 << rank,
                    current.decided,
                ),
            )


def _after(
    current: GlobalState, bounds: Bounds, rank: int, vote: Agreement, opened_ballots: int = 0
) -> GlobalState:
    members = (*current.members[:rank], _save(vote), *current.members[rank + 1 :])
    messages = tuple(message for message in current.messages if message != vote.state)
    messages = (*messages, vote.state)[-bounds.messages :]
    decided = current.decided if vote.decided is None else current.decided | {vote.decided}
    return GlobalState(
        members, messages, current.opened_ballots + opened_ballots, current.crashed, decided
    )


def _canonical_key(current: GlobalState, permuted_ranks: list[tuple[int, ...]]) -> int:
    """Returns a hash that is the same for states that differ only in the ranks of the members.

    It is the hash of the smallest of the states that the permutations of the ranks give.
    """
    return hash(min(_renamed(current, new_ranks) for new_ranks in permuted_ranks))


def _renamed(current: GlobalState, new_ranks: tuple[int, ...]) -> tuple:
    """Returns the state with rank r replaced by new_ranks[r]; a value is identified by who proposes it."""

    def bits(mask: int) -> int:
        return sum(1 << new_rank for rank, new_rank in enumerate(new_ranks) if mask >> rank & 1)

    def ballot(old: tuple[int, int]) -> tuple[int, int]:
        return old if old[1] < 0 else (old[0], new_ranks[old[1]])

    def value(data: bytes | None) -> int:
        return -1 if not data else new_ranks[int(data)]

    def vote(vote_state: VoteState) -> tuple:
        return (
            ballot(vote_state.ballot),
            bits(vote_state.promised),
            ballot(vote_state.highest_accepted),
            value(vote_state.highest_value),
            value(vote_state.proposal),
            bits(vote_state.accepted),
        )

    members: list[tuple] = [()] * len(new_ranks)
    for rank, (state, accepted, decided, proposal) in enumerate(current.members):
        members[new_ranks[rank]] = (
            vote(state),
            ((0, -1), -1) if accepted is None else (ballot(accepted[0]), value(accepted[1])),
            value(decided),
            value(proposal),
        )
    return (
        tuple(members),
        tuple(map(vote, current.messages)),
        current.opened_ballots,
        bits(current.crashed),
        tuple(sorted(map(value, current.decided))),
    )
