"""The attempts that may have run and must not simply be repeated. No I/O, no clock: times are passed in.

The entry of an attempt belongs to the identity of its request, not to its connection. It is added before
the attempt's first byte is sent and stays after the request has ended, until the window of its class is over.
It is removed before only if the attempt provably never ran. Times are ms on one clock of the process.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from yewrill.dispatch.request import Request
from yewrill.policy import interface as api

# An age that is longer than every window in which workers detect duplicates.
LONG_AGO_MS = 1e12
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_IDEMPOTENT, _IDEMPOTENT_BY_KEY, _NON_IDEMPOTENT = api.Idempotency
# Some 500 bytes each.
MAX_ENTRIES = 20_000


class RequestIdentity(NamedTuple):
    """Identifies all repeats of a request. `key` is the idempotency key, else the request id."""

    request_class: str
    tenant: str
    key: str


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """Age, zone and cell of the first attempt of a request that may have run."""

    age_ms: float
    zone: int
    cell: int


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt that may have run: when it was sent, until when it counts, and where its worker is."""

    sent_at: float
    until: float
    zone: int
    cell: int


@dataclass(eq=False, slots=True)
class _Entry:
    attempt: SentAttempt
    sequence: int
    # The requests whose attempts are in flight, or a peer process that has sent one.
    senders: set[object] = field(default_factory=set)
    may_have_run: bool = False  # whether an attempt has ended that may have run
    # Whether processes sent attempts to several cells, so that no single one detects all duplicates.
    spread: bool = False


def retention_window_ms(request_class: api.RequestClass, non_idempotent_window_ms: float) -> float:
    """Returns how long (ms) attempts of a request class are remembered; 0: they may simply be repeated."""
    if request_class.idempotency == _IDEMPOTENT:
        return 0.0
    if request_class.idempotency == _IDEMPOTENT_BY_KEY:
        return request_class.window
    return non_idempotent_window_ms


def idempotency_key(request: Request) -> str:
    """Returns what identifies a client's repeats of a request: the idempotency key, else the request id."""
    return request.payload.single_header(b"idempotency-key") or request.id


class AttemptRegister:
    """Attempts by the identity of their request. Not thread-safe."""

    def __init__(self, max_entries: int = MAX_ENTRIES):
        self.forgotten = (
            0  # number of entries that were dropped before their time, for lack of room
        )
        self._max_entries = max_entries
        self._entries: dict[RequestIdentity, _Entry] = {}
        # Heap of the times at which entries end; items of removed entries stay until they are due.
        self._ends: list[tuple[float, int, RequestIdentity]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, identity: RequestIdentity, now: float) -> EarlierAttempt | None:
        """Returns the first attempt of a request that may have run, None if there is none."""
        self._expire(now)
        entry = self._entries.get(identity)
        if entry is None:
            return None
        attempt = entry.attempt
        age_ms = LONG_AGO_MS if entry.spread else max(0.0, now - attempt.sent_at)
        return EarlierAttempt(age_ms, attempt.zone, attempt.cell)

    def may_send(
        self,
        identity: RequestIdentity,
        request: object,
        spec: api.RequestClass,
        zone: int,
        cell: int,
    ) -> bool:
        """Returns whether an attempt may be sent, for all that other requests of the identity have sent.

        What a request itself has sent is judged by the policy module.
        """
        entry = self._entries.get(identity)
        if entry is None or not (entry.may_have_run or entry.senders - {request}):
            return True
        if spec.idempotency == _NON_IDEMPOTENT:
            return False
        if spec.group == "all":
            return True
        if spec.group == "zone":
            return zone == entry.attempt.zone
        return cell == entry.attempt.cell

    def add(self, identity: RequestIdentity, sender: object, attempt: SentAttempt) -> None:
        """Adds an attempt that is about to be sent. The first one of an identity that may have run counts."""
        entry = self._entries.get(identity)
        if entry is None or not (entry.may_have_run or entry.senders - {sender}):
            entry = self._put(identity, attempt)
        entry.senders.add(sender)

    def merge(self, identity: RequestIdentity, peer: object, attempt: SentAttempt) -> None:
        """Adds an attempt that another process of this dispatcher sends."""
        entry = self._entries.get(identity) or self._put(identity, attempt)
        entry.senders.add(peer)
        entry.spread = entry.spread or attempt.cell != entry.attempt.cell

    def ended(self, identity: RequestIdentity, sender: object, *, ran: bool) -> bool:
        """Notes the end of an attempt; `ran`: it may have run.

        Returns whether the entry was removed, since no attempt of the identity has run.
        """
        entry = self._entries.get(identity)
        if entry is None or sender not in entry.senders:
            return False
        entry.senders.discard(sender)
        entry.may_have_run = entry.may_have_run or ran
        if entry.may_have_run or entry.senders:
            return False
        del self._entries[identity]
        return True

    def items(self, now: float) -> Iterator[tuple[RequestIdentity, SentAttempt]]:
        """Yields all attempts that still count."""
        self._expire(now)
        for identity, entry in self._entries.items():
            yield identity, entry.attempt

    def _put(self, identity: RequestIdentity, attempt: SentAttempt) -> _Entry:
        self._expire(attempt.sent_at)
        self._entries.pop(identity, None)
        while len(self._entries) >= self._max_entries:
            self.forgotten += self._drop_next()
        self._sequence += 1
        entry = self._entries[identity] = _Entry(attempt, self._sequence)
        heapq.heappush(self._ends, (attempt.until, self._sequence, identity))
        if len(self._ends) > 2 * self._max_entries:
            self._ends = [
                (entry.attempt.until, entry.sequence, identity)
                for identity, entry in self._entries.items()
            ]
            heapq.heapify(self._ends)
        return entry

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] < now:
            self._drop_next()

    def _drop_next(self) -> bool:
        """Drops the entry that ends next; returns False if it had been removed before."""
        _, sequence, identity = heapq.heappop(self._ends)
        entry = self._entries.get(identity)
        if entry is None or entry.sequence != sequence:
            return False
        del self._entries[identity]
        return True
