"""One member of the lease protocol: its requests, its leases and, if it is a voter, its replica of the log.

It does no I/O. Every event returns a `NodeOutput`: the state to store first, then the messages to send. Times
are in seconds of the member's own monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from yewrill.leases.format import LeaseMessage, Reply, Request, Submit, Submitted
from yewrill.leases.lease_table import (
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
from yewrill.leases.raft import Raft
from yewrill.leases.raft_types import (
    COMMAND,
    FOLLOWER,
    LEADER,
    LogEntry,
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
from yewrill.leases.timing import RaftDriver, RaftTiming

SNAPSHOT_AFTER_ENTRIES = 256
REPLY_TIMEOUT_SECONDS = 0.4  # time without a reply after which another voter is asked
# Limit on lease requests and submissions whose log entries are not committed yet.
MAX_PENDING_PROPOSALS = 1024
MAX_PENDING_SUBMISSIONS = 256  # limit on this member's submissions that have no reply yet


@dataclass(slots=True)
class NodeOutput:
    """The result of one event. `save` must be on disk before `messages` (receiver, message) are sent."""

    save: PersistentRaftState | None = None
    messages: list[tuple[str, LeaseMessage]] = field(default_factory=list)


@dataclass(slots=True)
class _PendingRequest:
    """The lease request that waits for a reply; there is at most one."""

    command: LeaseCommand
    first_sent_at: float  # the holder measures its lease from this time on
    retry_at: float
    target: str


class KnownHolder(NamedTuple):
    """The holder of a role as a voter last reported it, and the time of that report."""

    holder: str
    number: int
    reported_at: float


class _Leadership(NamedTuple):
    """The term that this member leads, its start by this member's clock, and by the log's time in ms."""

    term: int = 0
    since: float = 0.0
    log_time_ms: int = 0


class _PendingReply(NamedTuple):
    """The requester that a log entry is for. It gets a reply only if the entry is committed in this term."""

    term: int
    requester: str
    request_id: int


@dataclass(slots=True)
class _PendingSubmission:
    """A submission of this member that has no reply yet."""

    message: Submit
    retry_at: float
    target: str


class LeaseNode:
    """One member: holds leases on roles, and as a voter replicates the log that grants them."""

    def __init__(
        self,
        me: str,
        voters: Iterable[str],
        disk: PersistentRaftState,
        incarnation: int,
        rng: random.Random,
        now: float,
        *,
        lease_seconds: float = 3.0,
        trust_disk: bool = False,
        times: RaftTiming | None = None,
        machines: Mapping[str, StateMachine] | None = None,
    ):
        self.machines = dict(machines or {})
        # Replies to submissions by their number; None if the voters have no such state machine.
        self.results: dict[int, bytes | None] = {}
        self.me, self.voters, self.lease_seconds = me, tuple(voters), lease_seconds
        self._rng = rng
        self.driver = (
            RaftDriver(Raft(me, incarnation, disk, trust_disk=trust_disk), rng, now, times)
            if me in self.voters
            else None
        )
        self.lease_table = LeaseTable()
        self.fence = Fence()
        self.wanted_roles: set[str] = set()
        self.held_leases: dict[str, HeldLease] = {}
        self.known_holders: dict[str, KnownHolder] = {}
        self.elected = 0  # number of times that this member became leader of the log
        self.failed = ""  # why this member stopped being a voter; "" while it is one
        self._id = incarnation << 20
        self._pending_request: _PendingRequest | None = None
        self._pending_submissions: dict[int, _PendingSubmission] = {}
        self._next_request_at: dict[str, float] = {}  # time of the next lease request, by role
        self._leader = ""
        self._leadership = _Leadership()
        # Replies that wait for the commit of a log entry, by the index of the entry.
        self._pending_replies: dict[int, _PendingReply] = {}
        if self.driver is not None:
            self._apply(self.driver.raft.take(), NodeOutput(), now)

    # -- leases

    def owns(self, role: str, now: float) -> int:
        """Returns the fencing number of this member's lease while the lease is certain to hold, else 0."""
        lease = self.held_leases.get(role)
        return lease.number if lease is not None and lease.holds(now) else 0

    def request_lease(self, role: str) -> None:
        """Requests the lease on a role from now on, whenever no other member holds it."""
        self.wanted_roles.add(role)

    def give_up(self, role: str, now: float) -> None:
        """Releases a role. The lease ends with this call, even if the message to the log is lost."""
        self.wanted_roles.discard(role)
        # If this member wants the role again, other members get it first.
        self._next_request_at[role] = now + self.lease_seconds
        lease = self.held_leases.pop(role, None)
        if lease is not None:
            self._start_request(
                LeaseCommand(GIVE_UP, role, self.me, self._next_id(), lease.number), now
            )

    @property
    def due(self) -> float:
        """Returns the time at which `tick` must be called next; infinity if there is nothing to do."""
        at = (
            [self._next_request_at.get(role, 0.0) for role in self.wanted_roles]
            if self._pending_request is None
            else [self._pending_request.retry_at]
        )
        at += [submission.retry_at for submission in self._pending_submissions.values()]
        if self.driver is not None and not self.failed:
            at.append(self.driver.due)
        return min(at, default=float("inf"))

    # -- events

    def tick(self, now: float) -> NodeOutput:
        """Does what is due: log timers, expired leases, requests and their retries."""
        output = NodeOutput()
        driver = self.driver
        if driver is not None and not self.failed and now >= driver.due:
            self._apply(driver.tick(now), output, now)
        for role, lease in list(self.held_leases.items()):
            if not lease.holds(now):
                del self.held_leases[role]
        if self._pending_request is None:
            for role in sorted(self.wanted_roles):
                if now >= self._next_request_at.get(role, 0.0):
                    lease = self.held_leases.get(role)
                    action, number = (CLAIM, 0) if lease is None else (RENEW, lease.number)
                    duration_ms = int(1000 * self.lease_seconds)
                    self._start_request(
                        LeaseCommand(action, role, self.me, self._next_id(), number, duration_ms),
                        now,
                    )
                    break
        if self._pending_request is not None and now >= self._pending_request.retry_at:
            pending = self._pending_request
            pending.target = self._leader or self._rng.choice(self.voters)
            # The leader is taken for down if it doesn't reply; another voter is asked.
            self._leader = ""
            pending.retry_at = now + REPLY_TIMEOUT_SECONDS
            self._deliver(output, pending.target, Request(pending.command), now)
        for submission in [
            submission
            for submission in self._pending_submissions.values()
            if now >= submission.retry_at
        ]:
            submission.target = self._leader or self._rng.choice(self.voters)
            submission.retry_at = now + REPLY_TIMEOUT_SECONDS
            self._deliver(output, submission.target, submission.message, now)
        return output

    def submit(self, machine: str, data: bytes, now: float) -> int:
        """Submits data to a state machine of the log; returns a number, 0 if too many are pending.

        The reply appears in `results` under that number. The data is sent again until it is answered or
        withdrawn, so the machine may apply it twice."""
        if len(self._pending_submissions) >= MAX_PENDING_SUBMISSIONS:
            return 0
        message = Submit(machine, self._next_id(), data)
        self._pending_submissions[message.id] = _PendingSubmission(message, now, "")
        return message.id

    def withdraw(self, id: int) -> None:
        """Stops waiting for a reply; whether the submission took effect is not known."""
        self._pending_submissions.pop(id, None)
        self.results.pop(id, None)

    def receive(self, now: float, message: LeaseMessage, sender: str) -> NodeOutput:
        """Handles one message of an authenticated member."""
        output = NodeOutput()
        if isinstance(message, RaftMessage):
            if self.driver is not None and not self.failed and message.sender == sender:
                self._apply(self.driver.receive(now, message), output, now)
        elif isinstance(message, Request):
            if message.command.holder == sender:
                self._on_request(message.command, output, now)
        elif isinstance(message, Submit):
            self._on_submit(message, sender, output, now)
        elif isinstance(message, Submitted):
            self._on_submitted(message, sender, now)
        else:
            self._on_reply(message, sender, now)
        return output

    def fail(self, reason: str) -> None:
        """Stops being a voter, since the disk can't be written or the log can't be read."""
        self.failed = reason
        if self.driver is not None and self.driver.raft.role == LEADER:
            self.driver.raft.role = FOLLOWER
        self._pending_replies.clear()

    # -- requests

    def _next_id(self) -> int:
        self._id += 1
        return self._id

    def _start_request(self, command: LeaseCommand, now: float) -> None:
        self._pending_request = _PendingRequest(command, now, now, "")

    def _on_reply(self, reply: Reply, sender: str, now: float) -> None:
        pending = self._pending_request
        if pending is None or reply.id != pending.command.id or sender not in self.voters:
            return
        if not reply.final:
            self._leader = reply.leader if reply.leader in self.voters else ""
            pending.retry_at = min(pending.retry_at, now + (0.0 if self._leader else 0.1))
            return
        self._leader = sender
        self._pending_request = None
        command, result = pending.command, reply.result
        role = command.role
        if result.holder:
            self.known_holders[role] = KnownHolder(result.holder, result.number, now)
        if command.action == GIVE_UP:
            return
        if result.ok and role in self.wanted_roles:
            self.held_leases[role] = HeldLease.from_result(command, result, pending.first_sent_at)
            self._next_request_at[role] = pending.first_sent_at + self.lease_seconds / 3.0
        else:
            self.held_leases.pop(role, None)
            remaining_seconds = (
                min(result.remaining_ms / 1000.0, self.lease_seconds) if result.holder else 0.0
            )
            # All members that want the role retry when the lease ends; a random delay spreads them.
            self._next_request_at[role] = (
                now + remaining_seconds + self.lease_seconds * (0.02 + 0.08 * self._rng.random())
            )

    def _on_submitted(self, reply: Submitted, sender: str, now: float) -> None:
        submission = self._pending_submissions.get(reply.id)
        if submission is None or sender not in self.voters:
            return
        if reply.final:
            self._leader = sender
            del self._pending_submissions[reply.id]
            self.results[reply.id] = reply.data if reply.ok else None
        else:
            self._leader = reply.leader if reply.leader in self.voters else ""
            submission.retry_at = min(submission.retry_at, now + (0.0 if self._leader else 0.1))

    # -- voter

    def _on_submit(self, message: Submit, sender: str, output: NodeOutput, now: float) -> None:
        raft = None if self.driver is None or self.failed else self.driver.raft
        if raft is None or raft.role != LEADER:
            hint = "" if raft is None else raft.leader
            self._deliver(output, sender, Submitted(message.id, False, False, leader=hint), now)
            return
        if message.machine not in self.machines:
            self._deliver(output, sender, Submitted(message.id, True, False), now)
            return
        index = 0
        if len(self._pending_replies) < MAX_PENDING_PROPOSALS:
            index = raft.propose(
                STATE, pack_entry(self._log_time(now), message.machine, message.data)
            )
        if index:
            self._pending_replies[index] = _PendingReply(raft.term, sender, message.id)
        self._apply(raft.take(), output, now)

    def _log_time(self, now: float) -> int:
        term, since, began = self._leadership
        at = began + int(1000 * (now - since))
        # The log's time never decreases: it continues from the last entry applied.
        if at < self.lease_table.clock:
            at = self.lease_table.clock
            self._leadership = _Leadership(term, now, at)
        return at

    def _on_request(self, command: LeaseCommand, output: NodeOutput, now: float) -> None:
        raft = None if self.driver is None or self.failed else self.driver.raft
        if raft is None or raft.role != LEADER:
            hint = "" if raft is None else raft.leader
            self._deliver(
                output, command.holder, Reply(command.id, False, LeaseResult(False), hint), now
            )
            return
        at = self._log_time(now)
        view = self.lease_table.view(command.role, at)
        # The lease is held, so the claim is refused without a log entry.
        if command.action == CLAIM and view.holder:
            self._deliver(output, command.holder, Reply(command.id, True, view), now)
            return
        index = (
            raft.propose(COMMAND, pack_command(at, command))
            if len(self._pending_replies) < MAX_PENDING_PROPOSALS
            else 0
        )
        if index:
            self._pending_replies[index] = _PendingReply(raft.term, command.holder, command.id)
        self._apply(raft.take(), output, now)

    def _apply(self, ready: Ready, output: NodeOutput, now: float) -> None:
        """Processes what `Raft` has produced: state to store, messages and committed entries."""
        assert self.driver is not None
        raft = self.driver.raft
        if ready.installed is not None:
            self.lease_table, unknown = restore_all(ready.installed.data, self.machines)
            if unknown:
                self.fail(f"the log has a state that this version can't read: {unknown}")
                return
        if raft.role == LEADER and self._leadership.term != raft.term:
            self._leadership = _Leadership(raft.term, now, self.lease_table.clock)
            self.elected += 1
            self._pending_replies.clear()
        if ready.save is not None:
            output.save = ready.save
        for message in ready.messages:
            self._deliver(output, message.to, message, now)
        for index, entry in ready.committed:
            if entry.kind == STATE and not self._apply_state_entry(index, entry, output, now):
                return
            if entry.kind == COMMAND:
                self._apply_command(index, entry, output, now)
        if raft.commit_index - raft.snapshot.index > SNAPSHOT_AFTER_ENTRIES:
            raft.compact(raft.commit_index, pack_all(self.lease_table, self.machines))
            output.save = raft.take().save or output.save

    def _apply_state_entry(
        self, index: int, entry: LogEntry, output: NodeOutput, now: float
    ) -> bool:
        """Applies an entry of a state machine.

        Returns False if this voter has no such machine; it then stops being a voter, since it must not skip
        an entry.
        """
        at, name, data = unpack_entry(entry.data)
        if name not in self.machines:
            self.fail(f"the log has an entry that this version can't read: {name}")
            return False
        self.lease_table.clock = max(self.lease_table.clock, at)
        data = self.machines[name].apply(self.lease_table.clock, data)
        pending = self._pending_replies.pop(index, None)
        if pending is not None and pending.term == entry.term:
            reply = Submitted(pending.request_id, True, True, data)
            self._deliver(output, pending.requester, reply, now)
        return True

    def _apply_command(self, index: int, entry: LogEntry, output: NodeOutput, now: float) -> None:
        at, command = unpack_command(entry.data)
        result = self.lease_table.apply(at, command)
        pending = self._pending_replies.pop(index, None)
        if pending is None or pending.term != entry.term:
            return
        if pending.request_id == command.id:
            self._deliver(output, pending.requester, Reply(command.id, True, result), now)

    def _deliver(self, output: NodeOutput, name: str, message: LeaseMessage, now: float) -> None:
        """Queues a message for its receiver; a message to this member is handled at once."""
        if name == self.me:
            nested = self.receive(now, message, self.me)
            output.save = nested.save or output.save
            output.messages += nested.messages
        else:
            output.messages.append((name, message))
