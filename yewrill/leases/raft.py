"""The replicated log as a pure machine: events in, what must be on disk and then be sent out. No I/O, clock
or randomness.

Theory of operation. Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014) with pre-vote, check-quorum,
single-step changes of voters, reads that a quorum confirms, and snapshots sent whole. Time is not here: who
drives the machine says when an election's time is up (`campaign`), when to speak (`beat`) and when to count
who was heard (`check`).

Beyond the published protocol, *probation*, for disks that lie. Every start of a voter is a new incarnation,
numbered above the earlier ones. It asks all other voters what they remember of those: votes they had from it,
how far it had acknowledged their log. Until all have answered it votes in nothing, stands for nothing and
counts in no majority; a vote or acknowledgement of an earlier incarnation that arrives late counts nowhere
once the newer one is known. If somebody remembers more than it had at its start, its disk lost its tail: it
takes the highest term it was told of, and stays as it is until a leader that has committed in its own term
has brought it past all that is committed (`confirm`). It votes in no term up to the one it was told of.

Order, where it matters: what `Out.save` holds is on disk before any of `Out.messages` goes out. A machine is
driven by one event at a time; after each, `take` gives what has come of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
ABSTAINED = "~"  # voted for nobody, and votes for nobody any more in this term
NO_OP, COMMAND, VOTERS = "nothing", "order", "voters"
MAX_ENTRIES_PER_MESSAGE = 64  # entries in one message


@dataclass(frozen=True, slots=True)
class LogEntry:
    term: int
    kind: str = NO_OP
    data: bytes = b""
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries up to `index`, as the state that they made."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PersistentRaftState:
    """What outlasts the process. `log[0]` has the index after the snapshot's."""

    term: int = 0
    vote: str = ""
    log: tuple[LogEntry, ...] = ()
    snapshot: Snapshot = field(default_factory=Snapshot)


@dataclass(frozen=True, slots=True)
class RaftMessage:
    """One message. What a field means to which kind stands beside it."""

    kind: str  # ask, remember, prevote, vote, voted, append, appended, snapshot, confirm
    sender: str
    to: str
    incarnation: int  # the sender's
    term: int = 0
    number: int = (
        0  # ask, remember: the asker's incarnation; append, appended: the beat; prevote: 1
    )
    index: int = (
        0  # prevote, vote: the last entry's; append: the one before; appended: up to here; snapshot
    )
    entry_term: int = 0  # that entry's term; remember: the term of what is remembered
    accepted: bool = False  # voted, appended: granted, matched; remember: a vote
    is_voting: bool = True  # appended: the sender's word counts in a majority
    commit_index: int = 0
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class Ready:
    """What has come of the events since the last `take`."""

    save: PersistentRaftState | None = None
    messages: list[RaftMessage] = field(default_factory=list)
    committed: list[tuple[int, LogEntry]] = field(default_factory=list)
    installed: Snapshot | None = None  # in place of all before
    readable: list[int] = field(default_factory=list)  # read requests whose state is sure now


class Raft:
    def __init__(
        self, me: str, incarnation: int, disk: PersistentRaftState, *, trust_disk: bool = False
    ):
        self.me, self.incarnation = me, incarnation
        self.term, self.vote = disk.term, disk.vote
        self.log, self.snapshot = list(disk.log), disk.snapshot
        self.role, self.leader = FOLLOWER, ""
        self.commit_index = self.snapshot.index
        self.ready = Ready(installed=self.snapshot if self.snapshot.index else None)
        # Of this incarnation: who has answered it, whether its word counts, whether its tail was lost.
        self.state_at_start = self.term, self.vote, self.last_index
        self.answered_by: set[str] = set()
        self.is_voting = trust_disk or len(self.voters()) <= 1
        self.lost_tail = False
        # Of the others: their incarnations, and what each gave us as its word: term, index, a vote.
        self.incarnations: dict[str, int] = {}
        self.acknowledged: dict[str, tuple[int, int, bool]] = {}
        # A candidate's and a leader's.
        self.votes: set[str] = set()
        self.pre_voting = False  # these votes are for standing at all
        self.match_index: dict[str, int] = {}
        self.next_index: dict[str, int] = {}
        self.active_followers: set[str] = set()
        self.heartbeat_round = 0
        self.pending_reads: list[tuple[int, int, set[str]]] = []  # number, round, who confirmed

    # -- the log

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int:
        """The term of the entry at an index; -1 where it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.log[at].term if 0 <= at < len(self.log) else -1

    def voters(self) -> tuple[str, ...]:
        """Those of the last entry that names them, committed or not."""
        for entry in reversed(self.log):
            if entry.kind == VOTERS:
                return entry.voters
        return self.snapshot.voters

    def _others(self) -> list[str]:
        return [name for name in self.voters() if name != self.me]

    def _majority(self, names: Iterable[str]) -> bool:
        voters = self.voters()
        return 2 * len(set(names) & set(voters)) > len(voters)

    def disk(self) -> PersistentRaftState:
        return PersistentRaftState(self.term, self.vote, tuple(self.log), self.snapshot)

    def _save(self) -> None:
        self.ready.save = self.disk()

    def take(self) -> Ready:
        out, self.ready = self.ready, Ready()
        return out

    def _send(self, kind: str, to: str, **more) -> None:
        message = RaftMessage(
            kind, self.me, to, self.incarnation, more.pop("term", self.term), **more
        )
        self.ready.messages.append(message)

    # -- what the driver tells

    def beat(self) -> None:
        """Time to speak: the leader to all, one on probation to those who have not answered it."""
        if not self.is_voting:
            for name in self._others():
                if name not in self.answered_by:
                    self._send("ask", name, number=self.incarnation)
        if self.role == LEADER:
            self.heartbeat_round += 1
            for name in self._others():
                self._append(name)

    def campaign(self) -> None:
        """Nothing was heard of a leader for an election's time: ask whether it would be elected."""
        if self.role == LEADER or not self.is_voting or self.me not in self.voters():
            return
        self.role, self.pre_voting, self.votes, self.leader = CANDIDATE, True, {self.me}, ""
        if self._majority(self.votes):
            self._start_election()
            return
        for name in self._others():
            self._send(
                "prevote",
                name,
                term=self.term + 1,
                index=self.last_index,
                entry_term=self.term_at(self.last_index),
            )

    def check(self) -> None:
        """Once in an election's time: a leader that has not heard a majority steps down."""
        if self.role == LEADER:
            if not self._majority(self.active_followers | {self.me}):
                self._become_follower(self.term, "")
            self.active_followers = set()

    def propose(self, kind: str, data: bytes = b"", voters: tuple[str, ...] = ()) -> int:
        """A new entry; its index, 0 if this is not the leader or it may not be now."""
        if self.role != LEADER:
            return 0
        if kind == VOTERS:
            # One change at a time, by one voter, and only after an entry of this term is committed: else two
            # majorities could be formed that have nobody in common.
            pending = any(
                e.kind == VOTERS for e in self.log[self.commit_index - self.snapshot.index :]
            )
            by_one = len(set(voters) ^ set(self.voters())) == 1
            if pending or not by_one or self.term_at(self.commit_index) != self.term:
                return 0
        self.log.append(LogEntry(self.term, kind, data, voters))
        self._save()
        for name in self._others():
            self.match_index.setdefault(name, 0)
            self.next_index.setdefault(name, self.last_index)
            self._append(name)
        self._advance()
        return self.last_index

    def read(self, number: int) -> bool:
        """Ask that what is committed now may be read; `readable` says so once a majority has confirmed us."""
        if self.role != LEADER or self.term_at(self.commit_index) != self.term:
            return False
        self.pending_reads.append((number, self.heartbeat_round + 1, {self.me}))
        self.beat()
        self._confirm_reads("")
        return True

    def compact(self, index: int, data: bytes) -> None:
        """The entries up to an index, which were applied, are this state."""
        if self.snapshot.index < index <= self.commit_index:
            term, remaining_log = self.term_at(index), self.log[index - self.snapshot.index :]
            voters = self.snapshot.voters
            for entry in self.log[: index - self.snapshot.index]:
                voters = entry.voters if entry.kind == VOTERS else voters
            self.snapshot, self.log = Snapshot(index, term, voters, data), remaining_log
            self._save()

    # -- messages

    def receive(self, m: RaftMessage) -> None:
        if m.to != self.me or m.incarnation < self.incarnations.get(m.sender, 0):
            return  # of an earlier incarnation, which may have lost what it says
        if m.incarnation > self.incarnations.get(m.sender, 0):
            self.incarnations[m.sender] = m.incarnation
            self.match_index.pop(
                m.sender, None
            )  # its word until now does not count any more for what is to come
            self.votes.discard(m.sender)
        if m.kind == "ask":
            term, index, voted = self.acknowledged.get(m.sender, (0, 0, False))
            self._send(
                "remember", m.sender, number=m.number, entry_term=term, index=index, accepted=voted
            )
            return
        if m.kind == "remember":
            self._on_remember(m)
            return
        if m.kind == "prevote":
            # No promise: nothing is kept. Who hears a leader, or can't vote, does not help to unseat it.
            accepted = (
                self.is_voting
                and m.term > self.term
                and self._is_up_to_date(m)
                and (not self.leader or self.role == CANDIDATE)
            )
            self._send(
                "voted",
                m.sender,
                term=m.term if accepted else self.term,
                number=1,
                accepted=accepted,
            )
            return
        if m.kind == "voted" and m.number == 1:
            if (
                m.accepted
                and self.role == CANDIDATE
                and self.pre_voting
                and m.term == self.term + 1
            ):
                self.votes.add(m.sender)
                if self._majority(self.votes):
                    self._start_election()
            elif m.term > self.term:
                self._become_follower(m.term, "")
            return
        if m.term > self.term:
            self._become_follower(m.term, "")
        elif m.term < self.term:
            if m.kind in ("append", "snapshot", "vote"):
                # So that an old leader hears of the newer term.
                kind = "voted" if m.kind == "vote" else "appended"
                self._send(kind, m.sender, accepted=False, is_voting=False)
            return
        getattr(self, "_on_" + m.kind, lambda message: None)(m)

    # -- probation

    def _on_remember(self, m: RaftMessage) -> None:
        if self.is_voting or m.number != self.incarnation or m.sender in self.answered_by:
            return
        self.answered_by.add(m.sender)
        term, vote, last_index = self.state_at_start
        if m.entry_term > term or (
            m.entry_term == term and (m.index > last_index or (m.accepted and vote != m.sender))
        ):
            self.lost_tail = True
        if max(m.term, m.entry_term) > self.term:
            self._become_follower(max(m.term, m.entry_term), "")
        if self._all_answered():
            if not self.lost_tail:
                self.is_voting = True
            elif not self.vote:
                self.vote = ABSTAINED
                self._save()

    def _all_answered(self) -> bool:
        return set(self._others()) <= self.answered_by

    def _on_confirm(self, m: RaftMessage) -> None:
        if (
            m.number == self.incarnation
            and self._all_answered()
            and self.term_at(m.index) == m.entry_term
        ):
            self.is_voting = True

    # -- elections

    def _is_up_to_date(self, m: RaftMessage) -> bool:
        """Whether a candidate's log is at least as new as ours."""
        return (m.entry_term, m.index) >= (self.term_at(self.last_index), self.last_index)

    def _start_election(self) -> None:
        self.term += 1
        self.vote, self.role, self.pre_voting, self.votes = self.me, CANDIDATE, False, {self.me}
        self._save()
        if self._majority(self.votes):
            self._become_leader()
            return
        for name in self._others():
            self._send(
                "vote", name, index=self.last_index, entry_term=self.term_at(self.last_index)
            )

    def _on_vote(self, m: RaftMessage) -> None:
        accepted = self.is_voting and self.vote in ("", m.sender) and self._is_up_to_date(m)
        if accepted and self.vote != m.sender:
            self.vote = m.sender
            self._save()
        self._send("voted", m.sender, accepted=accepted)

    def _on_voted(self, m: RaftMessage) -> None:
        if m.accepted:
            self._record_acknowledgement(m.sender, m.term, 0, True)
            if self.role == CANDIDATE and not self.pre_voting:
                self.votes.add(m.sender)
                if self._majority(self.votes):
                    self._become_leader()

    def _record_acknowledgement(self, name: str, term: int, index: int, vote: bool) -> None:
        """Remember what another gave as its word: the highest term, and in it the furthest."""
        before = self.acknowledged.get(name, (0, 0, False))
        if term > before[0]:
            self.acknowledged[name] = term, index, vote
        elif term == before[0]:
            self.acknowledged[name] = term, max(index, before[1]), vote or before[2]

    def _become_leader(self) -> None:
        self.role, self.leader = LEADER, self.me
        self.match_index, self.active_followers, self.pending_reads = {}, set(), []
        self.next_index = dict.fromkeys(self._others(), self.last_index + 1)
        self.log.append(
            LogEntry(self.term)
        )  # what came before is committed with it, never by itself
        self._save()
        self.beat()
        self._advance()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._save()
        self.role, self.leader, self.votes, self.pending_reads = FOLLOWER, leader, set(), []

    # -- replication

    def _append(self, name: str) -> None:
        before = self.next_index.get(name, self.last_index + 1) - 1
        if before < self.snapshot.index:
            self._send(
                "snapshot",
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
            "append",
            name,
            number=self.heartbeat_round,
            index=before,
            entry_term=self.term_at(before),
            entries=entries,
            commit_index=self.commit_index,
        )

    def _on_append(self, m: RaftMessage) -> None:
        self._become_follower(m.term, m.sender)
        if m.index > self.last_index or (
            m.index >= self.snapshot.index and self.term_at(m.index) != m.entry_term
        ):
            # Not the same up to there: the furthest that may be, the leader steps back no further.
            back = min(self.last_index, m.index - 1)
            while back > self.snapshot.index and self.term_at(back) > m.entry_term:
                back -= 1
            index = max(back, self.snapshot.index)
            self._send(
                "appended",
                m.sender,
                number=m.number,
                index=index,
                accepted=False,
                is_voting=self.is_voting,
            )
            return
        changed = False
        for i, entry in enumerate(m.entries, m.index + 1):
            if i <= self.snapshot.index or self.term_at(i) == entry.term:
                continue
            del self.log[i - self.snapshot.index - 1 :]
            self.log.append(entry)
            changed = True
        if changed:
            self._save()
        upto = max(m.index + len(m.entries), self.snapshot.index)
        self._commit_to(min(m.commit_index, upto))
        self._send(
            "appended",
            m.sender,
            number=m.number,
            index=upto,
            accepted=True,
            is_voting=self.is_voting,
        )

    def _on_snapshot(self, m: RaftMessage) -> None:
        self._become_follower(m.term, m.sender)
        found = m.snapshot
        if found is not None and found.index > self.commit_index:
            same = self.term_at(found.index) == found.term
            remaining_log = self.log[found.index - self.snapshot.index :] if same else []
            self.snapshot, self.log, self.commit_index = found, remaining_log, found.index
            self.ready.installed, self.ready.committed = found, []
            self._save()
        index = max(self.commit_index, self.snapshot.index)
        self._send(
            "appended",
            m.sender,
            number=m.number,
            index=index,
            accepted=True,
            is_voting=self.is_voting,
        )

    def _on_appended(self, m: RaftMessage) -> None:
        if self.role != LEADER:
            return
        name = m.sender
        if m.is_voting:
            self.active_followers.add(name)
        if not m.accepted:
            self.next_index[name] = max(1, min(m.index + 1, self.next_index.get(name, 1) - 1))
            self._append(name)
            return
        self.next_index[name] = max(self.next_index.get(name, 1), m.index + 1)
        if m.is_voting:
            self._record_acknowledgement(name, m.term, m.index, False)
            self.match_index[name] = max(self.match_index.get(name, 0), m.index)
            self._advance()
            self._confirm_reads(name, m.number)
        elif m.index >= self.commit_index and self.term_at(self.commit_index) == self.term:
            self._send(
                "confirm",
                name,
                number=m.incarnation,
                index=self.commit_index,
                entry_term=self.term_at(self.commit_index),
            )
        if self.next_index[name] <= self.last_index:
            self._append(name)

    def _advance(self) -> None:
        """Commit what a majority has, if it is of our own term."""
        for index in range(self.last_index, self.commit_index, -1):
            if self.term_at(index) != self.term:
                return
            if self._majority(
                {self.me} | {name for name, upto in self.match_index.items() if upto >= index}
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
        left = []
        for read in self.pending_reads:
            if name and number >= read[1]:
                read[2].add(name)
            if self._majority(read[2]):
                self.ready.readable.append(read[0])
            else:
                left.append(read)
        self.pending_reads = left
