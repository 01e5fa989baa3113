"""Lease renewal by rounds, which prove recent contact with a majority in both directions.

Rounds are numbered; each member adds its bit to the current round and passes it on. A member that has the
bits of a majority opens the next round, which includes the bitmap of the previous one as the opener knew it.

A member's lease starts when it added its bit to a round. It is proven once the member sees the next round
with its bit in the previous bitmap *and with the bits of a majority in the new bitmap*: each of these was
added after the opener had received this member's bit. So a majority has heard this member since then, and
this member has heard them, over whatever path. An old datagram that is read after a pause proves nothing.

A majority in the previous bitmap alone is not enough: a member that resumes after a pause with old bits of
the others in its socket buffer could add its own bit, open the next round itself, and take that for a lease.

This module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

NEVER = -1e18
# Number of recent rounds for which the time at which this member added its bit is kept.
MAX_SIGNED_ROUNDS = 16


class Round(NamedTuple):
    """A round: its number, the ranks of its opener and of the previous opener (-1: none), and its members.

    `bits` is the bitmap of the members in this round, `bits_before` that of the previous round as this opener
    knew it.
    """

    number: int = 0
    opener: int = -1
    opener_before: int = -1
    bits_before: int = 0
    bits: int = 0


class LeaseRenewal:
    """One member's part in the rounds of a view.

    A round with all members lasts two heartbeat intervals, and at least `min_round_seconds`. A round that
    lacks members waits for them for up to `max_round_seconds`.
    """

    def __init__(
        self,
        rank: int,
        size: int,
        now: float,
        interval: float,
        max_round_seconds: float,
        min_round_seconds: float = 0.0,
    ):
        self._own_bit, self._rank = 1 << rank, rank
        self.size, self.majority = size, size // 2 + 1
        self._interval = interval
        self._min_round_seconds = max(2.0 * interval, min_round_seconds)
        self._max_round_seconds = max(max_round_seconds, min_round_seconds)
        # Set once this member has accepted the next view: it adds its bit to no further round.
        self.frozen = False
        self.round = Round()
        self.round_since = now
        # Set once a round had the bits of all members: then all have installed this view.
        self.complete = False
        # The latest time at which this member added a bit that a majority has confirmed.
        self.proven_at = NEVER
        self._signed_at: dict[tuple[int, int], float] = {}
        self._sign(now)
        self._update_proof()

    def merge(self, now: float, other: Round) -> bool:
        """Merges another member's round. Returns whether this member's round has changed."""
        ours = self.round
        if other[:2] > ours[:2]:
            self.round, self.round_since = other, now
            self._sign(now)
            self._update_proof()
        elif other[:2] == ours[:2] and other.bits | ours.bits != ours.bits:
            self.round = ours._replace(bits=ours.bits | other.bits)
            self._update_proof()
        else:
            return False
        return True

    def tick(self, now: float) -> bool:
        """Opens the next round if it is due. Returns whether it was opened."""
        r, age = self.round, now - self.round_since
        if self.frozen or r.bits.bit_count() < self.majority:
            return False
        # The opener of this round opens the next one; other members do so later if it does not. The opener
        # waits for all members for a while, since otherwise a member many hops away would never be in a
        # round. Until a majority has confirmed a bit of this member in this view, rounds are short, so that
        # the lease carried over from the previous view is renewed soon.
        min_round_seconds = (
            self._min_round_seconds if self.proven_at > NEVER else 2.0 * self._interval
        )
        wait = min_round_seconds if r.bits.bit_count() == self.size else self._max_round_seconds
        if age < wait + (0.0 if r.opener in (self._rank, -1) else 2.0 * self._interval):
            return False
        self.round = Round(r.number + 1, self._rank, r.opener, r.bits, 0)
        self.round_since = now
        self._sign(now)
        self._update_proof()
        return True

    def _sign(self, now: float) -> None:
        if self.frozen:
            return
        self.round = self.round._replace(bits=self.round.bits | self._own_bit)
        self._signed_at[self.round[:2]] = now
        if len(self._signed_at) > MAX_SIGNED_ROUNDS:
            del self._signed_at[min(self._signed_at)]

    def _update_proof(self) -> None:
        r = self.round
        self.complete |= r.bits.bit_count() == self.size
        signed_at = self._signed_at.get((r.number - 1, r.opener_before))
        if (
            signed_at is not None
            and r.bits_before & self._own_bit
            and r.bits.bit_count() >= self.majority
        ):
            self.proven_at = max(self.proven_at, signed_at)
