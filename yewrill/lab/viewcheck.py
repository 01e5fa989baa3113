"""Explores the vote on what follows a view exhaustively within bounds, and checks its one promise in every
state: no two values are ever decided.

Breadth first over all orders of: a member opens a ballot (and offers a value of its own), any member's word
as it was at any time reaches any other (words once said may arrive late, again, or never), a member dies (its
votes and its seat go together: nobody comes back under its rank). States are told apart by what each member
holds; worlds that differ only in members' names are one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import permutations

from yewrill.lab.raftcheck import unrolled
from yewrill.views.agreement import Agreement, VoteState

State = tuple[VoteState, tuple | None, bytes | None, bytes]  # word, accepted, decided, offered


@dataclass(frozen=True, slots=True)
class Bounds:
    members: int = 3
    tries: int = 2  # the highest try of a ballot
    opened: int = 2  # ballots opened in all
    words: int = 4  # different words under way; the oldest gives way
    deaths: int = 1
    states: int = 400_000


@dataclass(frozen=True, slots=True)
class World:
    members: tuple[State, ...]
    words: tuple[VoteState, ...] = ()
    opened: int = 0
    dead: int = 0  # bits
    decided: frozenset[bytes] = frozenset()


@dataclass(slots=True)
class Found:
    states: int
    whole: bool  # nothing was left out within the bounds
    broken: str = ""
    path: tuple[str, ...] = ()


def _load(make: Callable[[int, int], Agreement], rank: int, size: int, state: State) -> Agreement:
    vote = make(rank, size)
    vote.state, vote.accepted, vote.decided, vote._own_proposal = state
    return vote


def _save(vote: Agreement) -> State:
    return vote.state, vote.accepted, vote.decided, vote._own_proposal


def explore(bounds: Bounds, make: Callable[[int, int], Agreement] = Agreement) -> Found:
    """All that can happen within the bounds; the first state in which two values are decided, if any."""
    size = bounds.members
    start = World(tuple(_save(make(rank, size)) for rank in range(size)))
    orders = list(permutations(range(size)))
    seen = {_key(start, orders)}
    waiting: deque[tuple[World, tuple]] = deque([(start, ())])
    while waiting:
        world, path = waiting.popleft()
        for told, after in _steps(world, bounds, make):
            if len(after.decided) > 1:
                return Found(
                    len(seen), False, f"decided {sorted(after.decided)}", (*unrolled(path), told)
                )
            key = _key(after, orders)
            if key not in seen:
                if len(seen) >= bounds.states:
                    return Found(len(seen), False)
                seen.add(key)
                waiting.append((after, (path, told)))
    return Found(len(seen), True)


def _steps(
    world: World, bounds: Bounds, make: Callable[[int, int], Agreement]
) -> Iterator[tuple[str, World]]:
    size = bounds.members
    for rank in range(size):
        if world.dead >> rank & 1:
            continue
        state = world.members[rank]
        if world.opened < bounds.opened and state[0].ballot[0] < bounds.tries and state[2] is None:
            vote = _load(make, rank, size, state)
            vote.set_proposal(b"%d" % rank)
            vote.open_ballot()
            yield f"{rank} opens {vote.state.ballot}", _after(world, bounds, rank, vote, opened=1)
        for word in world.words:
            vote = _load(make, rank, size, state)
            vote.merge(word)
            if _save(vote) != state:
                yield f"{rank} hears {word}", _after(world, bounds, rank, vote)
        if world.dead.bit_count() < bounds.deaths:
            yield (
                f"{rank} dies",
                World(
                    world.members, world.words, world.opened, world.dead | 1 << rank, world.decided
                ),
            )


def _after(world: World, bounds: Bounds, rank: int, vote: Agreement, opened: int = 0) -> World:
    members = (*world.members[:rank], _save(vote), *world.members[rank + 1 :])
    words = tuple(w for w in world.words if w != vote.state)
    words = (*words, vote.state)[-bounds.words :]
    decided = world.decided if vote.decided is None else world.decided | {vote.decided}
    return World(members, words, world.opened + opened, world.dead, decided)


def _key(world: World, orders: list[tuple[int, ...]]) -> int:
    """A number that is the same for worlds that differ in the members' names only: rank r is called order[r].
    Which of the orders: the one that gives the least picture; values are named after whoever offered them."""
    return hash(min(_picture(world, order) for order in orders))


def _picture(world: World, to: tuple[int, ...]) -> tuple:
    def bits(mask: int) -> int:
        return sum(1 << name for rank, name in enumerate(to) if mask >> rank & 1)

    def ballot(at: tuple[int, int]) -> tuple[int, int]:
        return at if at[1] < 0 else (at[0], to[at[1]])

    def value(text: bytes | None) -> int:
        return -1 if not text else to[int(text)]

    def word(w: VoteState) -> tuple:
        return (
            ballot(w.ballot),
            bits(w.promised),
            ballot(w.highest_accepted),
            value(w.highest_value),
            value(w.proposal),
            bits(w.accepted),
        )

    members: list[tuple] = [()] * len(to)
    for rank, (said, accepted, decided, offered) in enumerate(world.members):
        members[to[rank]] = (
            word(said),
            ((0, -1), -1) if accepted is None else (ballot(accepted[0]), value(accepted[1])),
            value(decided),
            value(offered),
        )
    return (
        tuple(members),
        tuple(map(word, world.words)),
        world.opened,
        bits(world.dead),
        tuple(sorted(map(value, world.decided))),
    )
