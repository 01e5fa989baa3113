"""Values of the replicated log: entries, snapshots, messages, and the results of an event.

The string values of the enums are on the wire and on disk, so they never change. A kind of message or entry
that this version doesn't know is kept as a plain string, since a newer peer may send one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class RaftRole(StrEnum):
    """The role of a voter in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(StrEnum):
    """The kind of a log entry."""

    NO_OP = "nothing"  # an empty entry, which a new leader appends
    COMMAND = "order"
    VOTERS = "voters"


class MessageKind(StrEnum):
    """The messages between voters, by their names on the wire."""

    RECOVERY_REQUEST = "ask"
    RECOVERY_REPLY = "remember"
    PRE_VOTE = "prevote"
    VOTE = "vote"
    VOTE_REPLY = "voted"
    APPEND = "append"
    APPEND_REPLY = "appended"
    SNAPSHOT = "snapshot"
    RECOVERY_CONFIRMED = "confirm"


FOLLOWER, CANDIDATE, LEADER = RaftRole.FOLLOWER, RaftRole.CANDIDATE, RaftRole.LEADER
NO_OP, COMMAND, VOTERS = EntryKind.NO_OP, EntryKind.COMMAND, EntryKind.VOTERS

ABSTAINED = "~"  # stored in place of a candidate's name: this voter grants no vote in this term
PRE_VOTE_NUMBER = 1  # `number` of a vote reply that answers a pre-vote


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log entry. `voters` is set only in entries of the kind VOTERS."""

    term: int
    kind: str = NO_OP
    data: bytes = b""
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state made by all entries up to `index`."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class PersistentRaftState:
    """The state that is kept on disk. `log[0]` is the entry that follows the snapshot."""

    term: int = 0
    vote: str = ""
    log: tuple[LogEntry, ...] = ()
    snapshot: Snapshot = field(default_factory=Snapshot)


class Acknowledged(NamedTuple):
    """What another voter has acknowledged to this one: its highest term, the last index in that term, and
    whether it voted for this one."""

    term: int = 0
    index: int = 0
    voted: bool = False


class StateAtStart(NamedTuple):
    """The term, vote and last index on a voter's disk when its process started."""

    term: int
    vote: str
    last_index: int


class PendingRead(NamedTuple):
    """A read that waits until a majority has answered the heartbeat of `heartbeat_round`, or a later one."""

    number: int
    heartbeat_round: int
    confirmed_by: set[str]


@dataclass(frozen=True, slots=True)
class RaftMessage:
    """One message between voters.

    `number`: in recovery messages the recovering voter's incarnation, in an append and its reply the
    heartbeat round, in a reply to a pre-vote PRE_VOTE_NUMBER. `index`: of a candidate's last entry, of the
    entry before those appended, or of the last entry that matches. `entry_term`: the term of the entry at
    `index`; in a recovery reply, the term that the recovering voter acknowledged.
    """

    kind: str  # a MessageKind, or a name that only a newer version knows
    sender: str
    to: str
    incarnation: int  # the incarnation of the sender
    term: int = 0
    number: int = 0
    index: int = 0
    entry_term: int = 0
    # In a vote reply: the vote is granted. In an append reply: the entries match.
    # In a recovery reply: the recovering voter had voted for the sender.
    accepted: bool = False
    is_voting: bool = True  # in an append reply: the sender counts towards a majority
    commit_index: int = 0
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class Ready:
    """The results of the events since the last `take`. `save` must be on disk before `messages` are sent."""

    save: PersistentRaftState | None = None
    messages: list[RaftMessage] = field(default_factory=list)
    # Newly committed entries, each with its index.
    committed: list[tuple[int, LogEntry]] = field(default_factory=list)
    installed: Snapshot | None = None  # a snapshot that replaces the applied state
    # Numbers of the reads that a majority has confirmed.
    readable: list[int] = field(default_factory=list)
