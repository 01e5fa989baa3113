"""The replicated log as a state machine: it takes events and returns what to store and what to send.

It does no I/O, reads no clock and uses no random numbers.

Theory of operation. Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014) with pre-vote, check-quorum,
single-step changes of voters, reads that a quorum confirms, and snapshots sent whole. The machine has no
timers: its driver (`timing.py`) calls `campaign` when the election timeout expires, `send_heartbeats` when
a heartbeat is due, and `check_quorum` once per election timeout.

Beyond the published protocol there is *recovery*, for disks that lose synced data. Every start of a voter is
a new incarnation, numbered above the earlier ones. The voter asks all other voters what its earlier
incarnations acknowledged to them: votes granted, and how far its log matched theirs. Until all have answered
it is non-voting: it grants no vote, doesn't campaign and counts in no majority. A vote or acknowledgement of
an earlier incarnation that arrives late is ignored once the newer incarnation is known. If a peer holds more
acknowledgements than the voter's disk did at its start, the disk has lost the tail of the log. The voter then
adopts the highest term that a peer reported, grants no vote in any term up to that one, and remains
non-voting until a leader that has committed in its own term has replicated to it all committed entries
(recovery confirmed).

The state in `Ready.save` must be on disk before any of `Ready.messages` is sent. The machine handles one
event at a time; after each, `take` returns what it has produced.
"""

from __future__ import annotations

from collections.abc import Iterable

from yewrill.leases.raft_types import (
    ABSTAINED,
    CANDIDATE,
    FOLLOWER,
    LEADER,
    PRE_VOTE_NUMBER,
    VOTERS,
    Acknowledged,
    LogEntry,
    MessageKind,
    PendingRead,
    PersistentRaftState,
    RaftMessage,
    Ready,
    Snapshot,
    StateAtStart,
)

MAX_ENTRIES_PER_MESSAGE = 64


class Raft:
    """One voter. Call `take` after each event and store `Ready.save` before sending its messages."""

    def __init__(
        self, me: str, incarnation: int, disk: PersistentRaftState, *, trust_disk: bool = False
    ):
        self.me, self.incarnation = me, incarnation
        self.term, self.vote = disk.term, disk.vote
        self.log, self.snapshot = list(disk.log), disk.snapshot
        self.role, self.leader = FOLLOWER, ""
        self.commit_index = self.snapshot.index
        self.ready = Ready(installed=self.snapshot if self.snapshot.index else None)
        # State of this incarnation's recovery: the state on disk at its start, the voters that have answered,
        # whether this voter votes, and whether its disk lost the tail of the log.
        self.state_at_start = StateAtStart(self.term, self.vote, self.last_index)
        self.answered_by: set[str] = set()
        self.is_voting = trust_disk or len(self.voters()) <= 1
        self.lost_tail = False
        # The other voters' incarnations, and what each has acknowledged to this one.
        self.incarnations: dict[str, int] = {}
        self.acknowledged: dict[str, Acknowledged] = {}
        # State of a candidate or leader.
        self.votes: set[str] = set()
        self.pre_voting = False  # whether `votes` holds pre-votes
        self.match_index: dict[str, int] = {}
        self.next_index: dict[str, int] = {}
        self.active_followers: set[str] = set()
        self.heartbeat_round = 0
        self.pending_reads: list[PendingRead] = []

    # -- the log

    @property
    def last_index(self) -> int:
        """The index of the last entry; 0 for an empty log."""
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at an index; -1 if the log has no such entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else -1

    def voters(self) -> tuple[str, ...]:
        """Returns the voters by the last entry of kind VOTERS, committed or not, or else by the snapshot."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return entry.voters
        return self.snapshot.voters

    def _others(self) -> list[str]:
        return [name for name in self.voters() if name != self.me]

    def _majority(self, names: Iterable[str]) -> bool:
        voters = self.voters()
        return 2 * len(set(names) & set(voters)) > len(voters)

    def persistent_state(self) -> PersistentRaftState:
        """The current state as it must be stored."""
        return PersistentRaftState(self.term, self.vote, tuple(self.log), self.snapshot)

    def _save(self) -> None:
        self.ready.save = self.persistent_state()

    def take(self) -> Ready:
        """Returns what the events since the last call have produced, and starts a new `Ready`."""
        out, self.ready = self.ready, Ready()
        return out

    def _send(self, kind: MessageKind, to: str, **fields) -> None:
        message = RaftMessage(
            kind, self.me, to, self.incarnation, fields.pop("term", self.term), **fields
        )
        self.ready.messages.append(message)

    # -- calls by the driver

    def send_heartbeats(self) -> None:
        """Sends the messages that are due at each heartbeat.

        A leader sends entries or empty heartbeats to all; a non-voting voter repeats its recovery requests.
        """
        if not self.is_voting:
            for name in self._others():
                if name not in self.answered_by:
                    self._send(MessageKind.RECOVERY_REQUEST, name, number=self.incarnation)
        if self.role == LEADER:
            self.heartbeat_round += 1
            for name in self._others():
                self._send_entries(name)

    def campaign(self) -> None:
        """Starts a pre-vote, since no message of a leader has arrived within the election timeout."""
        if self.role == LEADER or not self.is_voting or self.me not in self.voters():
            return
        self.role, self.pre_voting, self.votes, self.leader = CANDIDATE, True, {self.me}, ""
        if self._majority(self.votes):
            self._start_election()
            return
        for name in self._others():
            self._send(
                MessageKind.PRE_VOTE,
                name,
                term=self.term + 1,
                index=self.last_index,
                entry_term=self.term_at(self.last_index),
            )

    def check_quorum(self) -> None:
        """Steps down as leader if no majority has answered since the last call."""
        if self.role == LEADER:
            if not self._majority(self.active_followers | {self.me}):
                self._become_follower(self.term, "")
            self.active_followers = set()

    def propose(self, kind: str, data: bytes = b"", voters: tuple[str, ...] = ()) -> int:
        """Appends a new entry. Returns its index, or 0 if this is not the leader or may not append it now."""
        if self.role != LEADER:
            return 0
        if kind == VOTERS:
            # Only one voter may change at a time, and only after an entry of this term is committed, because
            # otherwise two majorities without a common voter could form.
            pending = any(
                e.kind == VOTERS for e in self.log[self.commit_index - self.snapshot.index :]
            )
            is_single_change = len(set(voters) ^ set(self.voters())) == 1
            if pending or not is_single_change or self.term_at(self.commit_index) != self.term:
                return 0
        self.log.append(LogEntry(self.term, kind, data, voters))
        self._save()
        for name in self._others():
            self.match_index.setdefault(name, 0)
            self.next_index.setdefault(name, self.last_index)
            self._send_entries(name)
        self._advance_commit_index()
        return self.last_index

    def read(self, number: int) -> bool:
        """Starts a linearizable read of the state committed so far.

        The number appears in `Ready.readable` once a majority has confirmed this leader. Returns False unless
        this is a leader that has committed an entry of its term.
        """
        if self.role != LEADER or self.term_at(self.commit_index) != self.term:
            return False
        self.pending_reads.append(PendingRead(number, self.heartbeat_round + 1, {self.me}))
        self.send_heartbeats()
        self._confirm_reads("")
        return True

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the entries up to an applied index by a snapshot of the state that they made."""
        if self.snapshot.index < index <= self.commit_index:
            term, remaining_log = self.term_at(index), self.log[index - self.snapshot.index :]
            voters = self.snapshot.voters
            for entry in self.log[: index - self.snapshot.index]:
                voters = entry.voters if entry.kind == VOTERS else voters
            self.snapshot, self.log = Snapshot(index, term, voters, data), remaining_log
            self._save()

    # -- messages

    def receive(self, message: RaftMessage) -> None:
        """Handles one message. Messages of an earlier incarnation of the sender are ignored."""
        if message.to != self.me or message.incarnation < self.incarnations.get(message.sender, 0):
            # The disk of the earlier incarnation may have lost what the message acknowledges.
            return
        self._record_incarnation(message)
        match message.kind:
            case MessageKind.RECOVERY_REQUEST:
                self._on_recovery_request(message)
            case MessageKind.RECOVERY_REPLY:
                self._on_recovery_reply(message)
            case MessageKind.PRE_VOTE:
                self._on_pre_vote(message)
            case MessageKind.VOTE_REPLY if message.number == PRE_VOTE_NUMBER:
                self._on_pre_vote_reply(message)
            case _:
                self._receive_in_term(message)

    def _record_incarnation(self, message: RaftMessage) -> None:
        if message.incarnation > self.incarnations.get(message.sender, 0):
            self.incarnations[message.sender] = message.incarnation
            # What the earlier incarnation acknowledged no longer counts towards a majority.
            self.match_index.pop(message.sender, None)
            self.votes.discard(message.sender)

    def _receive_in_term(self, message: RaftMessage) -> None:
        """Adopts the term of a newer message, refuses a message of an older term, and handles the message."""
        if message.term > self.term:
            self._become_follower(message.term, "")
        elif message.term < self.term:
            self._refuse_older_term(message)
            return
        match message.kind:
            case MessageKind.VOTE:
                self._on_vote(message)
            case MessageKind.VOTE_REPLY:
                self._on_vote_reply(message)
            case MessageKind.APPEND:
                self._on_append(message)
            case MessageKind.APPEND_REPLY:
                self._on_append_reply(message)
            case MessageKind.SNAPSHOT:
                self._on_snapshot(message)
            case MessageKind.RECOVERY_CONFIRMED:
                self._on_recovery_confirmed(message)

    def _refuse_older_term(self, message: RaftMessage) -> None:
        """Answers a leader or candidate of an older term, so that it learns of the newer one."""
        if message.kind == MessageKind.VOTE:
            self._send(MessageKind.VOTE_REPLY, message.sender, accepted=False, is_voting=False)
        elif message.kind in (MessageKind.APPEND, MessageKind.SNAPSHOT):
            self._send(MessageKind.APPEND_REPLY, message.sender, accepted=False, is_voting=False)

    # -- recovery after a restart

    def _on_recovery_request(self, message: RaftMessage) -> None:
        acknowledged = self.acknowledged.get(message.sender, Acknowledged())
        self._send(
            MessageKind.RECOVERY_REPLY,
            message.sender,
            number=message.number,
            entry_term=acknowledged.term,
            index=acknowledged.index,
            accepted=acknowledged.voted,
        )

    def _on_recovery_reply(self, message: RaftMessage) -> None:
        if (
            self.is_voting
            or message.number != self.incarnation
            or message.sender in self.answered_by
        ):
            return
        self.answered_by.add(message.sender)
        if self._exceeds_state_at_start(message):
            self.lost_tail = True
        highest_term = max(message.term, message.entry_term)
        if highest_term > self.term:
            self._become_follower(highest_term, "")
        if self._all_answered():
            if not self.lost_tail:
                self.is_voting = True
            elif not self.vote:
                self.vote = ABSTAINED
                self._save()

    def _exceeds_state_at_start(self, reply: RaftMessage) -> bool:
        """Returns whether a peer holds an acknowledgement that this voter's disk had lost at the start."""
        start = self.state_at_start
        if reply.entry_term != start.term:
            return reply.entry_term > start.term
        lost_vote = reply.accepted and start.vote != reply.sender
        return reply.index > start.last_index or lost_vote

    def _all_answered(self) -> bool:
        return set(self._others()) <= self.answered_by

    def _on_recovery_confirmed(self, message: RaftMessage) -> None:
        has_all_committed = self.term_at(message.index) == message.entry_term
        if message.number == self.incarnation and self._all_answered() and has_all_committed:
            self.is_voting = True

    # -- pre-votes

    def _on_pre_vote(self, message: RaftMessage) -> None:
        """Answers without changing any state. A voter that has a leader doesn't help to replace it."""
        accepted = (
            self.is_voting
            and message.term > self.term
            and self._is_up_to_date(message)
            and (not self.leader or self.role == CANDIDATE)
        )
        self._send(
            MessageKind.VOTE_REPLY,
            message.sender,
            term=message.term if accepted else self.term,
            number=PRE_VOTE_NUMBER,
            accepted=accepted,
        )

    def _on_pre_vote_reply(self, message: RaftMessage) -> None:
        is_candidate = self.role == CANDIDATE and self.pre_voting
        if message.accepted and is_candidate and message.term == self.term + 1:
            self.votes.add(message.sender)
            if self._majority(self.votes):
                self._start_election()
        elif message.term > self.term:
            self._become_follower(message.term, "")

    # -- elections

    def _is_up_to_date(self, message: RaftMessage) -> bool:
        """Returns whether a candidate's log is at least as new as this voter's."""
        return (message.entry_term, message.index) >= (
            self.term_at(self.last_index),
            self.last_index,
        )

    def _start_election(self) -> None:
        self.term += 1
        self.vote, self.role, self.pre_voting, self.votes = self.me, CANDIDATE, False, {self.me}
        self._save()
        if self._majority(self.votes):
            self._become_leader()
            return
        for name in self._others():
            self._send(
                MessageKind.VOTE,
                name,
                index=self.last_index,
                entry_term=self.term_at(self.last_index),
            )

    def _on_vote(self, message: RaftMessage) -> None:
        accepted = (
            self.is_voting and self.vote in ("", message.sender) and self._is_up_to_date(message)
        )
        if accepted and self.vote != message.sender:
            self.vote = message.sender
            self._save()
        self._send(MessageKind.VOTE_REPLY, message.sender, accepted=accepted)

    def _on_vote_reply(self, message: RaftMessage) -> None:
        if message.accepted:
            self._record_acknowledgement(message.sender, message.term, 0, True)
            if self.role == CANDIDATE and not self.pre_voting:
                self.votes.add(message.sender)
                if self._majority(self.votes):
                    self._become_leader()

    def _record_acknowledgement(self, name: str, term: int, index: int, voted: bool) -> None:
        """Remembers the highest term that another voter acknowledged, and the furthest index in it."""
        before = self.acknowledged.get(name, Acknowledged())
        if term > before.term:
            self.acknowledged[name] = Acknowledged(term, index, voted)
        elif term == before.term:
            self.acknowledged[name] = Acknowledged(
                term, max(index, before.index), voted or before.voted
            )

    def _become_leader(self) -> None:
        self.role, self.leader = LEADER, self.me
        self.match_index, self.active_followers, self.pending_reads = {}, set(), []
        self.next_index = dict.fromkeys(self._others(), self.last_index + 1)
        # Entries of earlier terms are committed only together with this entry of the current term.
        self.log.append(LogEntry(self.term))
        self._save()
        self.send_heartbeats()
        self._advance_commit_index()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._save()
        self.role, self.leader, self.votes, self.pending_reads = FOLLOWER, leader, set(), []

    # -- replication

    def _send_entries(self, name: str) -> None:
        before = self.next_index.get(name, self.last_index + 1) - 1
        if before < self.snapshot.index:
            self._send(
                MessageKind.SNAPSHOT,
                name,
                number=self.heartbeat_round,
                index=self.snapshot.index,
                entry_term=self.snapshot.term,
                snapshot=self.snapshot,
                commit_index=self.commit_index,
            )
            return
        at = before - self.snapshot.index
        entries = tuple(self.log[at : at + MAX_ENTRIES_PER_MESSAGE])
        self._send(
            MessageKind.APPEND,
            name,
            number=self.heartbeat_round,
            index=before,
            entry_term=self.term_at(before),
            entries=entries,
            commit_index=self.commit_index,
        )

    def _on_append(self, message: RaftMessage) -> None:
        self._become_follower(message.term, message.sender)
        if message.index > self.last_index or (
            message.index >= self.snapshot.index
            and self.term_at(message.index) != message.entry_term
        ):
            # The logs differ at this index. The reply has the furthest index where they may match, so that
            # the leader steps back no further than needed.
            last_possible = min(self.last_index, message.index - 1)
            while (
                last_possible > self.snapshot.index
                and self.term_at(last_possible) > message.entry_term
            ):
                last_possible -= 1
            index = max(last_possible, self.snapshot.index)
            self._send(
                MessageKind.APPEND_REPLY,
                message.sender,
                number=message.number,
                index=index,
                accepted=False,
                is_voting=self.is_voting,
            )
            return
        changed = False
        for i, entry in enumerate(message.entries, message.index + 1):
            if i <= self.snapshot.index or self.term_at(i) == entry.term:
                continue
            del self.log[i - self.snapshot.index - 1 :]
            self.log.append(entry)
            changed = True
        if changed:
            self._save()
        last_matching = max(message.index + len(message.entries), self.snapshot.index)
        self._commit_to(min(message.commit_index, last_matching))
        self._send(
            MessageKind.APPEND_REPLY,
            message.sender,
            number=message.number,
            index=last_matching,
            accepted=True,
            is_voting=self.is_voting,
        )

    def _on_snapshot(self, message: RaftMessage) -> None:
        self._become_follower(message.term, message.sender)
        snapshot = message.snapshot
        if snapshot is not None and snapshot.index > self.commit_index:
            same = self.term_at(snapshot.index) == snapshot.term
            remaining_log = self.log[snapshot.index - self.snapshot.index :] if same else []
            self.snapshot, self.log, self.commit_index = snapshot, remaining_log, snapshot.index
            self.ready.installed, self.ready.committed = snapshot, []
            self._save()
        index = max(self.commit_index, self.snapshot.index)
        self._send(
            MessageKind.APPEND_REPLY,
            message.sender,
            number=message.number,
            index=index,
            accepted=True,
            is_voting=self.is_voting,
        )

    def _on_append_reply(self, message: RaftMessage) -> None:
        if self.role != LEADER:
            return
        name = message.sender
        if message.is_voting:
            self.active_followers.add(name)
        if not message.accepted:
            self.next_index[name] = max(1, min(message.index + 1, self.next_index.get(name, 1) - 1))
            self._send_entries(name)
            return
        self.next_index[name] = max(self.next_index.get(name, 1), message.index + 1)
        if message.is_voting:
            self._record_acknowledgement(name, message.term, message.index, False)
            self.match_index[name] = max(self.match_index.get(name, 0), message.index)
            self._advance_commit_index()
            self._confirm_reads(name, message.number)
        elif message.index >= self.commit_index and self.term_at(self.commit_index) == self.term:
            self._send(
                MessageKind.RECOVERY_CONFIRMED,
                name,
                number=message.incarnation,
                index=self.commit_index,
                entry_term=self.term_at(self.commit_index),
            )
        if self.next_index[name] <= self.last_index:
            self._send_entries(name)

    def _advance_commit_index(self) -> None:
        """Commits the last entry that a majority has stored, if it is of the current term."""
        for index in range(self.last_index, self.commit_index, -1):
            if self.term_at(index) != self.term:
                return
            if self._majority(
                {self.me}
                | {
                    name
                    for name, last_matching in self.match_index.items()
                    if last_matching >= index
                }
            ):
                self._commit_to(index)
                return

    def _commit_to(self, index: int) -> None:
        for i in range(self.commit_index + 1, min(index, self.last_index) + 1):
            entry = self.log[i - self.snapshot.index - 1]
            self.ready.committed.append((i, entry))
            if entry.kind == VOTERS and self.me not in entry.voters and self.role == LEADER:
                self.role, self.leader = FOLLOWER, ""
            self.commit_index = i

    def _confirm_reads(self, name: str, number: int = 0) -> None:
        still_pending = []
        for read in self.pending_reads:
            if name and number >= read.heartbeat_round:
                read.confirmed_by.add(name)
            if self._majority(read.confirmed_by):
                self.ready.readable.append(read.number)
            else:
                still_pending.append(read)
        self.pending_reads = still_pending
