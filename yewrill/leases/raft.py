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
ABSTAINS = "~"  # voted for nobody, and votes for nobody any more in this term
NOTHING, ORDER, VOTERS = "nothing", "order", "voters"
BATCH = 64  # entries in one message


@dataclass(frozen=True, slots=True)
class Entry:
    term: int
    kind: str = NOTHING
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
class Disk:
    """What outlasts the process. `log[0]` has the index after the snapshot's."""

    term: int = 0
    vote: str = ""
    log: tuple[Entry, ...] = ()
    snapshot: Snapshot = field(default_factory=Snapshot)


@dataclass(frozen=True, slots=True)
class Message:
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
    of: int = 0  # that entry's term; remember: the term of what is remembered
    yes: bool = False  # voted, appended: granted, matched; remember: a vote
    counts: bool = True  # appended: the sender's word counts in a majority
    commit: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class Out:
    """What has come of the events since the last `take`."""

    save: Disk | None = None
    messages: list[Message] = field(default_factory=list)
    committed: list[tuple[int, Entry]] = field(default_factory=list)
    installed: Snapshot | None = None  # in place of all before
    readable: list[int] = field(default_factory=list)  # read requests whose state is sure now


class Raft:
    def __init__(self, me: str, incarnation: int, disk: Disk, *, trust_disk: bool = False):
        self.me, self.incarnation = me, incarnation
        self.term, self.vote = disk.term, disk.vote
        self.log, self.snapshot = list(disk.log), disk.snapshot
        self.role, self.leader = FOLLOWER, ""
        self.commit = self.snapshot.index
        self.out = Out(installed=self.snapshot if self.snapshot.index else None)
        # Of this incarnation: who has answered it, whether its word counts, whether its tail was lost.
        self.began = self.term, self.vote, self.last
        self.answered: set[str] = set()
        self.counts = trust_disk or len(self.voters()) <= 1
        self.lost = False
        # Of the others: their incarnations, and what each gave us as its word: term, index, a vote.
        self.known: dict[str, int] = {}
        self.memory: dict[str, tuple[int, int, bool]] = {}
        # A candidate's and a leader's.
        self.votes: set[str] = set()
        self.before = False  # these votes are for standing at all
        self.match: dict[str, int] = {}
        self.next: dict[str, int] = {}
        self.heard: set[str] = set()
        self.round = 0
        self.reads: list[tuple[int, int, set[str]]] = []  # number, round, who confirmed

    # -- the log

    @property
    def last(self) -> int:
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

    def disk(self) -> Disk:
        return Disk(self.term, self.vote, tuple(self.log), self.snapshot)

    def _save(self) -> None:
        self.out.save = self.disk()

    def take(self) -> Out:
        out, self.out = self.out, Out()
        return out

    def _say(self, kind: str, to: str, **more) -> None:
        message = Message(kind, self.me, to, self.incarnation, more.pop("term", self.term), **more)
        self.out.messages.append(message)

    # -- what the driver tells

    def beat(self) -> None:
        """Time to speak: the leader to all, one on probation to those who have not answered it."""
        if not self.counts:
            for name in self._others():
                if name not in self.answered:
                    self._say("ask", name, number=self.incarnation)
        if self.role == LEADER:
            self.round += 1
            for name in self._others():
                self._append(name)

    def campaign(self) -> None:
        """Nothing was heard of a leader for an election's time: ask whether it would be elected."""
        if self.role == LEADER or not self.counts or self.me not in self.voters():
            return
        self.role, self.before, self.votes, self.leader = CANDIDATE, True, {self.me}, ""
        if self._majority(self.votes):
            self._stand()
            return
        for name in self._others():
            self._say(
                "prevote", name, term=self.term + 1, index=self.last, of=self.term_at(self.last)
            )

    def check(self) -> None:
        """Once in an election's time: a leader that has not heard a majority steps down."""
        if self.role == LEADER:
            if not self._majority(self.heard | {self.me}):
                self._follow(self.term, "")
            self.heard = set()

    def propose(self, kind: str, data: bytes = b"", voters: tuple[str, ...] = ()) -> int:
        """A new entry; its index, 0 if this is not the leader or it may not be now."""
        if self.role != LEADER:
            return 0
        if kind == VOTERS:
            # One change at a time, by one voter, and only after an entry of this term is committed: else two
            # majorities could be formed that have nobody in common.
            pending = any(e.kind == VOTERS for e in self.log[self.commit - self.snapshot.index :])
            by_one = len(set(voters) ^ set(self.voters())) == 1
            if pending or not by_one or self.term_at(self.commit) != self.term:
                return 0
        self.log.append(Entry(self.term, kind, data, voters))
        self._save()
        for name in self._others():
            self.match.setdefault(name, 0)
            self.next.setdefault(name, self.last)
            self._append(name)
        self._advance()
        return self.last

    def read(self, number: int) -> bool:
        """Ask that what is committed now may be read; `readable` says so once a majority has confirmed us."""
        if self.role != LEADER or self.term_at(self.commit) != self.term:
            return False
        self.reads.append((number, self.round + 1, {self.me}))
        self.beat()
        self._confirm_reads("")
        return True

    def compact(self, index: int, data: bytes) -> None:
        """The entries up to an index, which were applied, are this state."""
        if self.snapshot.index < index <= self.commit:
            term, kept = self.term_at(index), self.log[index - self.snapshot.index :]
            voters = self.snapshot.voters
            for entry in self.log[: index - self.snapshot.index]:
                voters = entry.voters if entry.kind == VOTERS else voters
            self.snapshot, self.log = Snapshot(index, term, voters, data), kept
            self._save()

    # -- messages

    def receive(self, m: Message) -> None:
        if m.to != self.me or m.incarnation < self.known.get(m.sender, 0):
            return  # of an earlier incarnation, which may have lost what it says
        if m.incarnation > self.known.get(m.sender, 0):
            self.known[m.sender] = m.incarnation
            self.match.pop(
                m.sender, None
            )  # its word until now does not count any more for what is to come
            self.votes.discard(m.sender)
        if m.kind == "ask":
            term, index, voted = self.memory.get(m.sender, (0, 0, False))
            self._say("remember", m.sender, number=m.number, of=term, index=index, yes=voted)
            return
        if m.kind == "remember":
            self._remembered(m)
            return
        if m.kind == "prevote":
            # No promise: nothing is kept. Who hears a leader, or can't vote, does not help to unseat it.
            yes = (
                self.counts
                and m.term > self.term
                and self._newer(m)
                and (not self.leader or self.role == CANDIDATE)
            )
            self._say("voted", m.sender, term=m.term if yes else self.term, number=1, yes=yes)
            return
        if m.kind == "voted" and m.number == 1:
            if m.yes and self.role == CANDIDATE and self.before and m.term == self.term + 1:
                self.votes.add(m.sender)
                if self._majority(self.votes):
                    self._stand()
            elif m.term > self.term:
                self._follow(m.term, "")
            return
        if m.term > self.term:
            self._follow(m.term, "")
        elif m.term < self.term:
            if m.kind in ("append", "snapshot", "vote"):
                # So that an old leader hears of the newer term.
                kind = "voted" if m.kind == "vote" else "appended"
                self._say(kind, m.sender, yes=False, counts=False)
            return
        getattr(self, "_on_" + m.kind, lambda message: None)(m)

    # -- probation

    def _remembered(self, m: Message) -> None:
        if self.counts or m.number != self.incarnation or m.sender in self.answered:
            return
        self.answered.add(m.sender)
        term, vote, last = self.began
        if m.of > term or (m.of == term and (m.index > last or (m.yes and vote != m.sender))):
            self.lost = True
        if max(m.term, m.of) > self.term:
            self._follow(max(m.term, m.of), "")
        if self._all_answered():
            if not self.lost:
                self.counts = True
            elif not self.vote:
                self.vote = ABSTAINS
                self._save()

    def _all_answered(self) -> bool:
        return set(self._others()) <= self.answered

    def _on_confirm(self, m: Message) -> None:
        if m.number == self.incarnation and self._all_answered() and self.term_at(m.index) == m.of:
            self.counts = True

    # -- elections

    def _newer(self, m: Message) -> bool:
        """Whether a candidate's log is at least as new as ours."""
        return (m.of, m.index) >= (self.term_at(self.last), self.last)

    def _stand(self) -> None:
        self.term += 1
        self.vote, self.role, self.before, self.votes = self.me, CANDIDATE, False, {self.me}
        self._save()
        if self._majority(self.votes):
            self._lead()
            return
        for name in self._others():
            self._say("vote", name, index=self.last, of=self.term_at(self.last))

    def _on_vote(self, m: Message) -> None:
        yes = self.counts and self.vote in ("", m.sender) and self._newer(m)
        if yes and self.vote != m.sender:
            self.vote = m.sender
            self._save()
        self._say("voted", m.sender, yes=yes)

    def _on_voted(self, m: Message) -> None:
        if m.yes:
            self._note(m.sender, m.term, 0, True)
            if self.role == CANDIDATE and not self.before:
                self.votes.add(m.sender)
                if self._majority(self.votes):
                    self._lead()

    def _note(self, name: str, term: int, index: int, vote: bool) -> None:
        """Remember what another gave as its word: the highest term, and in it the furthest."""
        before = self.memory.get(name, (0, 0, False))
        if term > before[0]:
            self.memory[name] = term, index, vote
        elif term == before[0]:
            self.memory[name] = term, max(index, before[1]), vote or before[2]

    def _lead(self) -> None:
        self.role, self.leader = LEADER, self.me
        self.match, self.heard, self.reads = {}, set(), []
        self.next = dict.fromkeys(self._others(), self.last + 1)
        self.log.append(Entry(self.term))  # what came before is committed with it, never by itself
        self._save()
        self.beat()
        self._advance()

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._save()
        self.role, self.leader, self.votes, self.reads = FOLLOWER, leader, set(), []

    # -- replication

    def _append(self, name: str) -> None:
        before = self.next.get(name, self.last + 1) - 1
        if before < self.snapshot.index:
            self._say(
                "snapshot",
                name,
                number=self.round,
                index=self.snapshot.index,
                of=self.snapshot.term,
                snapshot=self.snapshot,
                commit=self.commit,
            )
            return
        at = before - self.snapshot.index
        entries = tuple(self.log[at : at + BATCH])
        self._say(
            "append",
            name,
            number=self.round,
            index=before,
            of=self.term_at(before),
            entries=entries,
            commit=self.commit,
        )

    def _on_append(self, m: Message) -> None:
        self._follow(m.term, m.sender)
        if m.index > self.last or (
            m.index >= self.snapshot.index and self.term_at(m.index) != m.of
        ):
            # Not the same up to there: the furthest that may be, the leader steps back no further.
            back = min(self.last, m.index - 1)
            while back > self.snapshot.index and self.term_at(back) > m.of:
                back -= 1
            index = max(back, self.snapshot.index)
            self._say(
                "appended", m.sender, number=m.number, index=index, yes=False, counts=self.counts
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
        self._commit_to(min(m.commit, upto))
        self._say("appended", m.sender, number=m.number, index=upto, yes=True, counts=self.counts)

    def _on_snapshot(self, m: Message) -> None:
        self._follow(m.term, m.sender)
        found = m.snapshot
        if found is not None and found.index > self.commit:
            same = self.term_at(found.index) == found.term
            kept = self.log[found.index - self.snapshot.index :] if same else []
            self.snapshot, self.log, self.commit = found, kept, found.index
            self.out.installed, self.out.committed = found, []
            self._save()
        index = max(self.commit, self.snapshot.index)
        self._say("appended", m.sender, number=m.number, index=index, yes=True, counts=self.counts)

    def _on_appended(self, m: Message) -> None:
        if self.role != LEADER:
            return
        name = m.sender
        if m.counts:
            self.heard.add(name)
        if not m.yes:
            self.next[name] = max(1, min(m.index + 1, self.next.get(name, 1) - 1))
            self._append(name)
            return
        self.next[name] = max(self.next.get(name, 1), m.index + 1)
        if m.counts:
            self._note(name, m.term, m.index, False)
            self.match[name] = max(self.match.get(name, 0), m.index)
            self._advance()
            self._confirm_reads(name, m.number)
        elif m.index >= self.commit and self.term_at(self.commit) == self.term:
            self._say(
                "confirm",
                name,
                number=m.incarnation,
                index=self.commit,
                of=self.term_at(self.commit),
            )
        if self.next[name] <= self.last:
            self._append(name)

    def _advance(self) -> None:
        """Commit what a majority has, if it is of our own term."""
        for index in range(self.last, self.commit, -1):
            if self.term_at(index) != self.term:
                return
            if self._majority(
                {self.me} | {name for name, upto in self.match.items() if upto >= index}
            ):
                self._commit_to(index)
                return

    def _commit_to(self, index: int) -> None:
        for i in range(self.commit + 1, min(index, self.last) + 1):
            entry = self.log[i - self.snapshot.index - 1]
            self.out.committed.append((i, entry))
            if entry.kind == VOTERS and self.me not in entry.voters and self.role == LEADER:
                self.role, self.leader = FOLLOWER, ""
            self.commit = i

    def _confirm_reads(self, name: str, number: int = 0) -> None:
        left = []
        for read in self.reads:
            if name and number >= read[1]:
                read[2].add(name)
            if self._majority(read[2]):
                self.out.readable.append(read[0])
            else:
                left.append(read)
        self.reads = left
