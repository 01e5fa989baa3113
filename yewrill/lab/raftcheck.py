"""Explores the replicated log exhaustively within bounds, and checks what must hold in every state.

Breadth first over all orders of events of a few voters: an election's time is up, a leader speaks, an order
is proposed, a message arrives (any of those under way, in any order; what is never chosen is lost), a voter
is killed and starts anew, with its disk as it was or with its tail lost. States are told apart by a hash of
all that decides what follows, names of the same standing being interchangeable; each is visited once.

Within what the machine promises: a tail is lost only while nobody who remembers has restarted.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from itertools import chain, permutations, product

from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    COMMAND,
    LEADER,
    LogEntry,
    PersistentRaftState,
    RaftMessage,
    Ready,
    Snapshot,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    voters: int = 3
    term: int = 2
    log: int = 3  # entries, those that a new leader adds included
    messages: int = 4  # under way; an older one gives way
    commands: int = 1
    crashes: int = 1
    lost_tails: int = 0  # of the crashes, those that lose the disk's tail
    states: int = 2_000_000


@dataclass(slots=True)
class World:
    nodes: dict[str, Raft]
    saved_states: dict[
        str, tuple[PersistentRaftState, ...]
    ]  # what each disk held since its process began, oldest first
    wire: tuple[RaftMessage, ...] = ()
    crashes: int = 0
    lost_tails: int = 0
    restarted: frozenset[str] = frozenset()
    commands: int = 0
    leaders: tuple[tuple[int, str], ...] = ()
    committed: tuple[LogEntry, ...] = ()


@dataclass(slots=True)
class Found:
    states: int
    steps: int
    complete: bool  # nothing was left out within the bounds
    violation: str = ""  # the first invariant that failed, and where
    path: tuple[str, ...] = ()


class InvariantViolation(Exception):
    pass


class Checker:
    def __init__(
        self, bounds: Bounds, create_raft: Callable[..., Raft] = Raft, *, trust_disk: bool = False
    ):
        self.bounds, self.create_raft, self.trust_disk = bounds, create_raft, trust_disk
        self.names = tuple("abcdefg"[: bounds.voters])

    def start(self) -> World:
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.names))
        nodes = {
            name: self.create_raft(name, 1, disk, trust_disk=self.trust_disk) for name in self.names
        }
        for raft in nodes.values():  # the first start of all: nobody has given any word
            raft.is_voting = True
        return World(nodes, dict.fromkeys(self.names, (disk,)))

    # -- all that may happen next

    def steps(self, world: World) -> Iterator[tuple[str, Callable[[], World]]]:
        bounds = self.bounds
        for name, raft in world.nodes.items():
            if raft.role != LEADER and raft.term < bounds.term:
                yield f"{name} stands", partial(self._after, world, name, _stands)
            if raft.role == LEADER or not raft.is_voting:
                yield (
                    f"{name} speaks",
                    partial(self._after, world, name, lambda r: r.send_heartbeats()),
                )
            if (
                raft.role == LEADER
                and world.commands < bounds.commands
                and raft.last_index < bounds.log
            ):
                order = b"%d" % world.commands
                yield (
                    f"{name} is given an order",
                    partial(
                        self._after,
                        replace(world, commands=world.commands + 1),
                        name,
                        lambda r, order=order: r.propose(COMMAND, order),
                    ),
                )
            if world.crashes < bounds.crashes:
                yield (
                    f"{name} restarts",
                    partial(self._restart, world, name, world.saved_states[name][-1], False),
                )
                if world.lost_tails < bounds.lost_tails and not world.restarted - {name}:
                    for disk in world.saved_states[name][:-1]:
                        yield (
                            f"{name} restarts, its tail lost",
                            partial(self._restart, world, name, disk, True),
                        )
        for at, message in enumerate(world.wire):
            rest = world.wire[:at] + world.wire[at + 1 :]
            yield (
                f"{message.kind} {message.sender}>{message.to}",
                partial(
                    self._after,
                    replace(world, wire=rest),
                    message.to,
                    lambda r, m=message: r.receive(m),
                ),
            )

    def _restart(self, world: World, name: str, disk: PersistentRaftState, lost: bool) -> World:
        raft = self.create_raft(
            name, world.nodes[name].incarnation + 1, disk, trust_disk=self.trust_disk
        )
        raft.take()
        return replace(
            world,
            nodes={**world.nodes, name: raft},
            saved_states={**world.saved_states, name: (disk,)},
            crashes=world.crashes + 1,
            lost_tails=world.lost_tails + lost,
            restarted=world.restarted | {name},
        )

    def _after(self, world: World, name: str, act: Callable[[Raft], object]) -> World:
        raft = clone(world.nodes[name])
        act(raft)
        raft.heartbeat_round = 0
        out = raft.take()
        after = replace(world, nodes={**world.nodes, name: raft})
        if out.save is not None and out.save != after.saved_states[name][-1]:
            after.saved_states = {
                **after.saved_states,
                name: (*after.saved_states[name], out.save)[-4:],
            }
        for message in out.messages:
            message = (
                replace(message, number=0) if message.kind in ("append", "appended") else message
            )
            if message not in after.wire and len(raft.log) <= self.bounds.log:
                after.wire = (*after.wire, message)[-self.bounds.messages :]
        if raft.role == LEADER and (raft.term, name) not in after.leaders:
            if any(term == raft.term for term, _ in after.leaders):
                raise InvariantViolation(f"two leaders in term {raft.term}")
            if tuple(raft.log[: len(after.committed)]) != after.committed:
                raise InvariantViolation(
                    f"{name} leads in term {raft.term} without what was committed"
                )
            after.leaders = (*after.leaders, (raft.term, name))
        for index, entry in out.committed:
            if index <= len(after.committed):
                if after.committed[index - 1] != entry:
                    raise InvariantViolation(f"{name} commits another entry at {index}")
            else:
                after.committed = (*after.committed, entry)
        return after

    # -- exploring

    def key(self, world: World) -> object:
        """All that decides what may follow, the same for worlds that differ in names only."""
        alike: dict[tuple, list[str]] = {}
        for name, r in world.nodes.items():  # whoever differs in this has its place by it
            mark = (
                r.term,
                r.role,
                len(r.log),
                r.commit_index,
                r.incarnation,
                r.is_voting,
                r.pre_voting,
                len(r.votes),
                r.vote == name,
                sum(m.to == name for m in world.wire),
            )
            alike.setdefault(mark, []).append(name)
        groups = [alike[mark] for mark in sorted(alike)]
        return min(
            self._named(world, {name: at for at, name in enumerate(chain(*order))})
            for order in product(*map(permutations, groups))
        )

    def _named(self, world: World, name: dict[str, int]) -> tuple:
        def other(text: str) -> int:
            return name.get(text, -1 if not text else -2)

        nodes = [()] * len(self.names)
        for who, r in world.nodes.items():
            nodes[name[who]] = (
                r.term,
                other(r.vote),
                tuple((e.term, e.data) for e in r.log),
                r.role,
                other(r.leader),
                r.commit_index,
                r.is_voting,
                r.lost_tail,
                r.pre_voting,
                r.incarnation,
                (r.state_at_start[0], other(r.state_at_start[1]), r.state_at_start[2]),
                tuple(sorted(map(other, r.votes))),
                tuple(sorted(map(other, r.answered_by))),
                tuple(sorted((other(k), v) for k, v in r.match_index.items())),
                tuple(sorted((other(k), v) for k, v in r.next_index.items())),
                tuple(sorted((other(k), v) for k, v in r.incarnations.items())),
                tuple(sorted((other(k), v) for k, v in r.acknowledged.items())),
            )
        wire = tuple(
            (
                m.kind,
                other(m.sender),
                other(m.to),
                m.incarnation,
                m.term,
                m.number,
                m.index,
                m.entry_term,
                m.accepted,
                m.is_voting,
                m.commit_index,
                tuple((e.term, e.data) for e in m.entries),
            )
            for m in world.wire
        )
        past = (
            tuple(
                sorted(
                    (
                        name[who],
                        tuple(
                            (d.term, other(d.vote), tuple((e.term, e.data) for e in d.log))
                            for d in disks
                        ),
                    )
                    for who, disks in world.saved_states.items()
                )
            )
            if self.bounds.lost_tails > world.lost_tails
            else ()
        )
        return (
            tuple(nodes),
            wire,
            past,
            world.crashes,
            world.lost_tails,
            tuple(sorted(map(other, world.restarted))),
            world.commands,
            tuple((e.term, e.data) for e in world.committed),
            tuple(sorted((term, other(who)) for term, who in world.leaders)),
        )

    def run(self) -> Found:
        start = self.start()
        seen = {hash(self.key(start))}
        waiting: deque[tuple[World, tuple]] = deque([(start, ())])
        steps = 0
        while waiting:
            world, path = waiting.popleft()
            taken = ""
            try:
                for taken, step in self.steps(world):
                    after = step()
                    steps += 1
                    mark = hash(self.key(after))
                    if mark not in seen:
                        if len(seen) >= self.bounds.states:
                            return Found(len(seen), steps, False)
                        seen.add(mark)
                        waiting.append((after, (path, taken)))
            except InvariantViolation as broken:
                return Found(len(seen), steps, False, str(broken), (*unrolled(path), taken))
        return Found(len(seen), steps, True)


def _stands(raft: Raft) -> None:
    """Its election's time is up, and whoever it asked before would vote for it: pre-votes promise nothing, so
    standing without them is the more that may happen."""
    raft.campaign()
    if raft.pre_voting:
        raft.take()
        raft._start_election()


def unrolled(path: tuple) -> list[str]:
    """The steps of a path that was kept as (the path before, the last step)."""
    told: list[str] = []
    while path:
        path, step = path
        told.append(step)
    return told[::-1]


def clone(raft: Raft) -> Raft:
    """A copy that shares what never changes."""
    other = copy.copy(raft)
    other.ready = Ready()
    other.log = list(raft.log)
    other.answered_by, other.votes, other.active_followers = (
        set(raft.answered_by),
        set(raft.votes),
        set(raft.active_followers),
    )
    other.incarnations, other.acknowledged = dict(raft.incarnations), dict(raft.acknowledged)
    other.match_index, other.next_index, other.pending_reads = (
        dict(raft.match_index),
        dict(raft.next_index),
        list(raft.pending_reads),
    )
    return other
