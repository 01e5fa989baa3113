"""One member's whole part in ownership, pure: voter or not, its requests, its grants, and what is to go out.

Events in, a `Step` out: what must be on disk first, then the messages. Seconds of a steady clock of its own.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from yewrill.leases.duties import (
    CLAIM,
    GIVE_UP,
    RENEW,
    Fence,
    HeldLease,
    LeaseCommand,
    LeaseResult,
    LeaseTable,
    pack_command,
    unpack_command,
)
from yewrill.leases.format import LeaseMessage, Reply, Request, Submit, Submitted
from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    COMMAND,
    FOLLOWER,
    LEADER,
    PersistentRaftState,
    RaftMessage,
    Ready,
)
from yewrill.leases.states import (
    STATE,
    StateMachine,
    pack_all,
    pack_entry,
    restore_all,
    unpack_entry,
)
from yewrill.leases.timing import Driver, Times

SNAPSHOT_AFTER_ENTRIES = 256  # entries of the log behind which it is made into a snapshot
REPLY_TIMEOUT_SECONDS = 0.4  # seconds for an answer before another voter is asked
MAX_PENDING_PROPOSALS = 1024  # requests that wait for their entries
MAX_PENDING_SUBMISSIONS = 256  # of ours that have no answer yet


@dataclass(slots=True)
class NodeOutput:
    save: PersistentRaftState | None = None
    messages: list[tuple[str, LeaseMessage]] = field(default_factory=list)


@dataclass(slots=True)
class _Asked:
    command: LeaseCommand
    first: float  # when it was sent first: a grant counts from there
    again: float
    target: str


@dataclass(slots=True)
class _Submitted:
    what: Submit
    again: float
    target: str


class LeaseNode:
    def __init__(
        self,
        me: str,
        voters: Iterable[str],
        disk: PersistentRaftState,
        incarnation: int,
        rng: random.Random,
        now: float,
        *,
        span: float = 3.0,
        trust_disk: bool = False,
        times: Times | None = None,
        machines: Mapping[str, StateMachine] | None = None,
    ):
        self.machines = dict(machines or {})
        self.results: dict[int, bytes | None] = {}  # of what was submitted; None: no such machine
        self.me, self.voters, self.span = me, tuple(voters), span
        self._rng = rng
        self.driver = (
            Driver(Raft(me, incarnation, disk, trust_disk=trust_disk), rng, now, times)
            if me in self.voters
            else None
        )
        self.duties = LeaseTable()
        self.fence = Fence()
        self.wanted: set[str] = set()
        self.grants: dict[str, HeldLease] = {}
        self.known: dict[str, tuple[str, int, float]] = {}  # owner, number, and when that was heard
        self.elected = 0  # times that this member came to lead the log
        self.failed = ""  # why its disk is of no use any more
        self._id = incarnation << 20
        self._asked: _Asked | None = None
        self._submitted: dict[int, _Submitted] = {}
        self._at: dict[str, float] = {}  # when each duty is to be asked for next
        self._leader = ""
        self._led: tuple[int, float, int] = (0, 0.0, 0)  # term, since when, the log's time then
        self._waiting: dict[
            int, tuple[int, str, int]
        ] = {}  # of an entry: its term, who asked, which request
        if self.driver is not None:
            self._apply(self.driver.raft.take(), NodeOutput(), now)

    # -- what others use

    def owns(self, duty: str, now: float) -> int:
        """The number of our grant while it is sure to hold, else 0."""
        grant = self.grants.get(duty)
        return grant.number if grant is not None and grant.holds(now) else 0

    def want(self, duty: str) -> None:
        self.wanted.add(duty)

    def give_up(self, duty: str, now: float) -> None:
        """Let another have it; from here on we act in it no more."""
        self.wanted.discard(duty)
        self._at[duty] = now + self.span  # should we want it again, others come first
        grant = self.grants.pop(duty, None)
        if grant is not None:
            self._ask(LeaseCommand(GIVE_UP, duty, self.me, self._next_id(), grant.number), now)

    @property
    def due(self) -> float:
        at = (
            [self._at.get(duty, 0.0) for duty in self.wanted]
            if self._asked is None
            else [self._asked.again]
        )
        at += [one.again for one in self._submitted.values()]
        if self.driver is not None and not self.failed:
            at.append(self.driver.due)
        return min(at, default=float("inf"))

    # -- events

    def tick(self, now: float) -> NodeOutput:
        step = NodeOutput()
        driver = self.driver
        if driver is not None and not self.failed and now >= driver.due:
            self._apply(driver.tick(now), step, now)
        for duty, grant in list(self.grants.items()):
            if not grant.holds(now):
                del self.grants[duty]
        if self._asked is None:
            for duty in sorted(self.wanted):
                if now >= self._at.get(duty, 0.0):
                    grant = self.grants.get(duty)
                    what, number = (CLAIM, 0) if grant is None else (RENEW, grant.number)
                    span = int(1000 * self.span)
                    self._ask(LeaseCommand(what, duty, self.me, self._next_id(), number, span), now)
                    break
        if self._asked is not None and now >= self._asked.again:
            asked = self._asked
            asked.target = self._leader or self._rng.choice(self.voters)
            self._leader = ""  # should it not answer, another is asked
            asked.again = now + REPLY_TIMEOUT_SECONDS
            self._to(step, asked.target, Request(asked.command), now)
        for one in [one for one in self._submitted.values() if now >= one.again]:
            one.target = self._leader or self._rng.choice(self.voters)
            one.again = now + REPLY_TIMEOUT_SECONDS
            self._to(step, one.target, one.what, now)
        return step

    def submit(self, machine: str, data: bytes, now: float) -> int:
        """Have a state machine of the log take something; the answer comes under this number in `results`.
        It is said until it is answered or withdrawn, so the machine may get it twice. 0: too much waits."""
        if len(self._submitted) >= MAX_PENDING_SUBMISSIONS:
            return 0
        what = Submit(machine, self._next_id(), data)
        self._submitted[what.id] = _Submitted(what, now, "")
        return what.id

    def withdraw(self, id: int) -> None:
        """Nobody waits for that answer any more; whether it took effect is not known."""
        self._submitted.pop(id, None)
        self.results.pop(id, None)

    def receive(self, now: float, what: LeaseMessage, sender: str) -> NodeOutput:
        """One message of an authenticated member."""
        step = NodeOutput()
        if isinstance(what, RaftMessage):
            if self.driver is not None and not self.failed and what.sender == sender:
                self._apply(self.driver.receive(now, what), step, now)
        elif isinstance(what, Request):
            if what.command.owner == sender:
                self._requested(what.command, step, now)
        elif isinstance(what, Submit):
            self._take_submit(what, sender, step, now)
        elif isinstance(what, Submitted):
            self._take_submitted(what, sender, now)
        else:
            self._replied(what, sender, now)
        return step

    def fail(self, why: str) -> None:
        """The disk can't be written: no voter any more, and no word goes out that would rest on it."""
        self.failed = why
        if self.driver is not None and self.driver.raft.role == LEADER:
            self.driver.raft.role = FOLLOWER
        self._waiting.clear()

    # -- a member that wants

    def _next_id(self) -> int:
        self._id += 1
        return self._id

    def _ask(self, command: LeaseCommand, now: float) -> None:
        self._asked = _Asked(command, now, now, "")

    def _replied(self, reply: Reply, sender: str, now: float) -> None:
        asked = self._asked
        if asked is None or reply.id != asked.command.id or sender not in self.voters:
            return
        if not reply.final:
            self._leader = reply.leader if reply.leader in self.voters else ""
            asked.again = min(asked.again, now + (0.0 if self._leader else 0.1))
            return
        self._leader = sender
        self._asked = None
        command, result = asked.command, reply.result
        duty = command.duty
        if result.owner:
            self.known[duty] = result.owner, result.number, now
        if command.what == GIVE_UP:
            return
        if result.ok and duty in self.wanted:
            self.grants[duty] = HeldLease.of(command, result, asked.first)
            self._at[duty] = asked.first + self.span / 3.0
        else:
            self.grants.pop(duty, None)
            left = min(result.left / 1000.0, self.span) if result.owner else 0.0
            # All who want it come back at its end; by chance not all at once.
            self._at[duty] = now + left + self.span * (0.02 + 0.08 * self._rng.random())

    def _take_submitted(self, reply: Submitted, sender: str, now: float) -> None:
        one = self._submitted.get(reply.id)
        if one is None or sender not in self.voters:
            return
        if reply.final:
            self._leader = sender
            del self._submitted[reply.id]
            self.results[reply.id] = reply.data if reply.ok else None
        else:
            self._leader = reply.leader if reply.leader in self.voters else ""
            one.again = min(one.again, now + (0.0 if self._leader else 0.1))

    # -- a voter

    def _take_submit(self, what: Submit, sender: str, step: NodeOutput, now: float) -> None:
        raft = None if self.driver is None or self.failed else self.driver.raft
        if raft is None or raft.role != LEADER:
            hint = "" if raft is None else raft.leader
            self._to(step, sender, Submitted(what.id, False, False, leader=hint), now)
            return
        if what.machine not in self.machines:
            self._to(step, sender, Submitted(what.id, True, False), now)
            return
        index = 0
        if len(self._waiting) < MAX_PENDING_PROPOSALS:
            index = raft.propose(STATE, pack_entry(self._log_time(now), what.machine, what.data))
        if index:
            self._waiting[index] = raft.term, sender, what.id
        self._apply(raft.take(), step, now)

    def _log_time(self, now: float) -> int:
        term, since, began = self._led
        at = began + int(1000 * (now - since))
        if (
            at < self.duties.clock
        ):  # entries applied since then are of a later time: go on from there
            at = self.duties.clock
            self._led = term, now, at
        return at

    def _requested(self, command: LeaseCommand, step: NodeOutput, now: float) -> None:
        raft = None if self.driver is None or self.failed else self.driver.raft
        if raft is None or raft.role != LEADER:
            hint = "" if raft is None else raft.leader
            self._to(step, command.owner, Reply(command.id, False, LeaseResult(False), hint), now)
            return
        at = self._log_time(now)
        view = self.duties.view(command.duty, at)
        if command.what == CLAIM and view.owner:  # no entry for what will be refused
            self._to(step, command.owner, Reply(command.id, True, view), now)
            return
        index = (
            raft.propose(COMMAND, pack_command(at, command))
            if len(self._waiting) < MAX_PENDING_PROPOSALS
            else 0
        )
        if index:
            self._waiting[index] = raft.term, command.owner, command.id
        self._apply(raft.take(), step, now)

    def _apply(self, out: Ready, step: NodeOutput, now: float) -> None:
        assert self.driver is not None
        raft = self.driver.raft
        if out.installed is not None:
            self.duties, unknown = restore_all(out.installed.data, self.machines)
            if unknown:
                self.fail(f"the log has a state that this version can't read: {unknown}")
                return
        if raft.role == LEADER and self._led[0] != raft.term:
            self._led = raft.term, now, self.duties.clock
            self.elected += 1
            self._waiting.clear()
        if out.save is not None:
            step.save = out.save
        for message in out.messages:
            self._to(step, message.to, message, now)
        for index, entry in out.committed:
            if entry.kind == STATE:
                at, name, data = unpack_entry(entry.data)
                if (
                    name not in self.machines
                ):  # never skipped: what came after it would rest on nothing
                    self.fail(f"the log has an entry that this version can't read: {name}")
                    return
                self.duties.clock = max(self.duties.clock, at)
                said = self.machines[name].apply(self.duties.clock, data)
                term, asker, id = self._waiting.pop(index, (0, "", 0))
                if asker and term == entry.term:
                    self._to(step, asker, Submitted(id, True, True, said), now)
            if entry.kind != COMMAND:
                continue
            at, command = unpack_command(entry.data)
            result = self.duties.apply(at, command)
            term, asker, id = self._waiting.pop(index, (0, "", 0))
            if asker and term == entry.term and id == command.id:
                self._to(step, asker, Reply(id, True, result), now)
        if raft.commit_index - raft.snapshot.index > SNAPSHOT_AFTER_ENTRIES:
            raft.compact(raft.commit_index, pack_all(self.duties, self.machines))
            step.save = raft.take().save or step.save

    def _to(self, step: NodeOutput, name: str, what: LeaseMessage, now: float) -> None:
        """Send, or take what is for ourselves."""
        if name == self.me:
            more = self.receive(now, what, self.me)
            step.save = more.save or step.save
            step.messages += more.messages
        else:
            step.messages.append((name, what))
