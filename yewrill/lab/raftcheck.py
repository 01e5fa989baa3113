"""Bounded model checker for the replicated log: explores all states and checks Raft's invariants in each.

The search is breadth first over all orders of events of a few voters: an election timeout, a round of
heartbeats, a proposed command, the arrival of any message in flight (in any order; a message that is never
picked is lost), and a restart of a voter, with its disk intact or with a lost tail: the last states that it
saved are gone. Two states count as equal if the hashes of everything that decides their future are equal; an
exchange of the voters' names makes no difference. Each state is visited once.

The log tolerates a lost tail only as long as no other voter has restarted, so only such losses are explored.
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
    """Limits of the exploration, each inclusive."""

    voters: int = 3
    term: int = 2
    # Entries in a voter's log, including those that a new leader appends.
    log: int = 3
    # Messages in flight; when there are more, the oldest is dropped.
    messages: int = 4
    commands: int = 1
    crashes: int = 1
    lost_tails: int = 0  # crashes after which the last saved states are lost
    states: int = 2_000_000


@dataclass(slots=True)
class World:
    """One state of the whole system: the voters, their disks, the messages in flight, and the history that
    the invariants are about."""

    nodes: dict[str, Raft]
    # The last states saved by each voter since its process started, oldest first.
    saved_states: dict[str, tuple[PersistentRaftState, ...]]
    in_flight: tuple[RaftMessage, ...] = ()
    crashes: int = 0
    lost_tails: int = 0
    restarted: frozenset[str] = frozenset()
    commands: int = 0
    leaders: tuple[tuple[int, str], ...] = ()
    committed: tuple[LogEntry, ...] = ()


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration. `path` lists the steps that led to the violation."""

    states: int
    steps: int
    complete: bool  # whether every state within the bounds was visited
    violation: str = ""  # the first invariant that failed
    path: tuple[str, ...] = ()


class InvariantViolation(Exception):
    """An invariant failed; the text says which, and at which voter."""


class Checker:
    """Explores the states of the log's voters. `trust_disk` is passed to each voter that it creates."""

    def __init__(
        self, bounds: Bounds, create_raft: Callable[..., Raft] = Raft, *, trust_disk: bool = False
    ):
        self.bounds, self.create_raft, self.trust_disk = bounds, create_raft, trust_disk
        self.names = tuple("abcdefg"[: bounds.voters])

    def start(self) -> World:
        """Returns the initial state: all voters started for the first time, with empty disks."""
        disk = PersistentRaftState(snapshot=Snapshot(0, 0, self.names))
        nodes = {
            name: self.create_raft(name, 1, disk, trust_disk=self.trust_disk) for name in self.names
        }
        # When all voters start for the first time, none can have forgotten a vote, so none has to recover.
        for raft in nodes.values():
            raft.is_voting = True
        return World(nodes, dict.fromkeys(self.names, (disk,)))

    # -- steps

    def steps(self, world: World) -> Iterator[tuple[str, Callable[[], World]]]:
        """Yields the name of each possible next step and a function that returns the state after it."""
        bounds = self.bounds
        for name, raft in world.nodes.items():
            if raft.role != LEADER and raft.term < bounds.term:
                yield (
                    f"{name} starts an election",
                    partial(self._after, world, name, _start_election_at_once),
                )
            if raft.role == LEADER or not raft.is_voting:
                yield (
                    f"{name} sends heartbeats",
                    partial(self._after, world, name, lambda r: r.send_heartbeats()),
                )
            if (
                raft.role == LEADER
                and world.commands < bounds.commands
                and raft.last_index < bounds.log
            ):
                order = b"%d" % world.commands
                yield (
                    f"{name} is given a command",
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
                            f"{name} restarts, the tail of its disk lost",
                            partial(self._restart, world, name, disk, True),
                        )
        for position, message in enumerate(world.in_flight):
            remaining = world.in_flight[:position] + world.in_flight[position + 1 :]
            yield (
                f"{message.kind} {message.sender}>{message.to}",
                partial(
                    self._after,
                    replace(world, in_flight=remaining),
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

    def _after(self, world: World, name: str, action: Callable[[Raft], object]) -> World:
        raft = clone(world.nodes[name])
        action(raft)
        raft.heartbeat_round = 0
        output = raft.take()
        after = replace(world, nodes={**world.nodes, name: raft})
        if output.save is not None and output.save != after.saved_states[name][-1]:
            after.saved_states = {
                **after.saved_states,
                name: (*after.saved_states[name], output.save)[-4:],
            }
        for message in output.messages:
            message = (
                replace(message, number=0) if message.kind in ("append", "appended") else message
            )
            if message not in after.in_flight and len(raft.log) <= self.bounds.log:
                after.in_flight = (*after.in_flight, message)[-self.bounds.messages :]
        if raft.role == LEADER and (raft.term, name) not in after.leaders:
            if any(term == raft.term for term, _ in after.leaders):
                raise InvariantViolation(f"two leaders in term {raft.term}")
            if tuple(raft.log[: len(after.committed)]) != after.committed:
                raise InvariantViolation(
                    f"{name} leads in term {raft.term} without all committed entries"
                )
            after.leaders = (*after.leaders, (raft.term, name))
        for index, entry in output.committed:
            if index <= len(after.committed):
                if after.committed[index - 1] != entry:
                    raise InvariantViolation(f"{name} commits another entry at {index}")
            else:
                after.committed = (*after.committed, entry)
        return after

    # -- exploration

    def key(self, world: World) -> object:
        """Returns what decides a state's future, equal for states that differ only in voters' names."""
        by_signature: dict[tuple, list[str]] = {}
        # Voters are ordered by their signatures; only voters with equal signatures are permuted.
        for name, r in world.nodes.items():
            signature = (
                r.term,
                r.role,
                len(r.log),
                r.commit_index,
                r.incarnation,
                r.is_voting,
                r.pre_voting,
                len(r.votes),
                r.vote == name,
                sum(m.to == name for m in world.in_flight),
            )
            by_signature.setdefault(signature, []).append(name)
        groups = [by_signature[signature] for signature in sorted(by_signature)]
        return min(
            self._canonical(world, {name: number for number, name in enumerate(chain(*order))})
            for order in product(*map(permutations, groups))
        )

    def _canonical(self, world: World, numbers: dict[str, int]) -> tuple:
        """Returns the state as a tuple in which each voter's name is replaced by its number."""

        def number_of(voter: str) -> int:
            return numbers.get(voter, -1 if not voter else -2)

        nodes = [()] * len(self.names)
        for who, r in world.nodes.items():
            nodes[numbers[who]] = (
                r.term,
                number_of(r.vote),
                tuple((e.term, e.data) for e in r.log),
                r.role,
                number_of(r.leader),
                r.commit_index,
                r.is_voting,
                r.lost_tail,
                r.pre_voting,
                r.incarnation,
                (r.state_at_start[0], number_of(r.state_at_start[1]), r.state_at_start[2]),
                tuple(sorted(map(number_of, r.votes))),
                tuple(sorted(map(number_of, r.answered_by))),
                tuple(sorted((number_of(k), v) for k, v in r.match_index.items())),
                tuple(sorted((number_of(k), v) for k, v in r.next_index.items())),
                tuple(sorted((number_of(k), v) for k, v in r.incarnations.items())),
                tuple(sorted((number_of(k), v) for k, v in r.acknowledged.items())),
            )
        in_flight = tuple(
            (
                m.kind,
                number_of(m.sender),
                number_of(m.to),
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
            for m in world.in_flight
        )
        saved_states = (
            tuple(
                sorted(
                    (
                        numbers[who],
                        tuple(
                            (d.term, number_of(d.vote), tuple((e.term, e.data) for e in d.log))
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
            in_flight,
            saved_states,
            world.crashes,
            world.lost_tails,
            tuple(sorted(map(number_of, world.restarted))),
            world.commands,
            tuple((e.term, e.data) for e in world.committed),
            tuple(sorted((term, number_of(who)) for term, who in world.leaders)),
        )

    def run(self) -> ExplorationResult:
        """Explores until every state is visited, an invariant fails or the bound on states is reached."""
        start = self.start()
        seen = {hash(self.key(start))}
        queue: deque[tuple[World, tuple]] = deque([(start, ())])
        steps = 0
        while queue:
            world, path = queue.popleft()
            step_name = ""
            try:
                for step_name, step in self.steps(world):
                    after = step()
                    steps += 1
                    state_hash = hash(self.key(after))
                    if state_hash not in seen:
                        if len(seen) >= self.bounds.states:
                            return ExplorationResult(len(seen), steps, False)
                        seen.add(state_hash)
                        queue.append((after, (path, step_name)))
            except InvariantViolation as error:
                return ExplorationResult(
                    len(seen), steps, False, str(error), (*list_steps(path), step_name)
                )
        return ExplorationResult(len(seen), steps, True)


def _start_election_at_once(raft: Raft) -> None:
    """Starts an election without waiting for pre-votes: pre-votes bind no voter, so skipping them allows more
    behaviours than counting them."""
    raft.campaign()
    if raft.pre_voting:
        raft.take()
        raft._start_election()


def list_steps(path: tuple) -> list[str]:
    """Returns the list of steps of a path that is stored as nested pairs (earlier path, last step)."""
    steps: list[str] = []
    while path:
        path, step = path
        steps.append(step)
    return steps[::-1]


def clone(raft: Raft) -> Raft:
    """Returns a copy of a voter that shares its immutable values, for use in another state."""
    copied = copy.copy(raft)
    copied.ready = Ready()
    copied.log = list(raft.log)
    copied.answered_by, copied.votes, copied.active_followers = (
        set(raft.answered_by),
        set(raft.votes),
        set(raft.active_followers),
    )
    copied.incarnations, copied.acknowledged = dict(raft.incarnations), dict(raft.acknowledged)
    copied.match_index, copied.next_index, copied.pending_reads = (
        dict(raft.match_index),
        dict(raft.next_index),
        list(raft.pending_reads),
    )
    return copied
