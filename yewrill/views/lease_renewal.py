"""Lease renewal by rounds (as a quorum read): a majority has recently received from us, and we from it. Pure.

Rounds follow each other; each member adds its bit to the present one and passes it on. Whoever holds a
majority's bits opens the next, which carries the bitmap of the one before as it then was. A member's lease
runs from the moment it put its bit into a round, once it sees the round after it with its bit in the bitmap
before *and a majority's bits in its own*: each of these was put after the opener had ours. So a majority has
heard us after that moment, and we them, over whatever path; an old datagram read after a pause proves
nothing. (A majority in the bitmap before is not enough: who wakes up with the others' old bits in its
inbox would add its own, open the next round itself, and find its lease in it.)
"""

from __future__ import annotations

from typing import NamedTuple

NEVER = -1e18
MAX_SIGNED_ROUNDS = 16  # rounds of which the time of our bit is remembered


class Round(NamedTuple):
    """A round: its number, openers as ranks (-1: nobody) and the bitmap of the members in it.

    `before` is the bitmap of the previous round, as the opener of this one had it.
    """

    number: int = 0
    opener: int = -1
    opener_before: int = -1
    before: int = 0
    bits: int = 0


class LeaseRenewal:
    """One member's part in the rounds of a view.

    A round lasts two beats and at least `shortest` seconds once all are in it, and waits up to `patience`
    seconds for all.
    """

    def __init__(
        self,
        rank: int,
        size: int,
        now: float,
        beat: float,
        patience: float,
        shortest: float = 0.0,
    ):
        self._me, self._rank = 1 << rank, rank
        self.size, self.majority = size, size // 2 + 1
        self._beat = beat
        self._shortest = max(2.0 * beat, shortest)
        self._patience = max(patience, shortest)
        self.frozen = False  # we accepted the next view, and add no more bits in this one
        self.round = Round()
        self.since = now
        self.complete = False  # a round had all members: so all have installed this view
        self.proven_at = NEVER  # the time of our last bit that a majority has confirmed
        self._signed_at: dict[tuple[int, int], float] = {}
        self._sign(now)
        self._update_proof()

    def merge(self, now: float, other: Round) -> bool:
        """Merge another member's round. Returns whether ours has changed."""
        mine = self.round
        if other[:2] > mine[:2]:
            self.round, self.since = other, now
            self._sign(now)
            self._update_proof()
        elif other[:2] == mine[:2] and other.bits | mine.bits != mine.bits:
            self.round = mine._replace(bits=mine.bits | other.bits)
            self._update_proof()
        else:
            return False
        return True

    def tick(self, now: float) -> bool:
        """Open the next round if it is time. Returns whether it was opened."""
        r, age = self.round, now - self.since
        if self.frozen or r.bits.bit_count() < self.majority:
            return False
        # Whoever opened this one goes first. It waits for all, but not for long: were those left alone
        # that missed the round before, who is far from the opener would never be in one.
        # The lease that came from the view before is to be renewed soon.
        shortest = self._shortest if self.proven_at > NEVER else 2.0 * self._beat
        wait = shortest if r.bits.bit_count() == self.size else self._patience
        if age < wait + (0.0 if r.opener in (self._rank, -1) else 2.0 * self._beat):
            return False
        self.round = Round(r.number + 1, self._rank, r.opener, r.bits, 0)
        self.since = now
        self._sign(now)
        self._update_proof()
        return True

    def _sign(self, now: float) -> None:
        if self.frozen:
            return
        self.round = self.round._replace(bits=self.round.bits | self._me)
        self._signed_at[self.round[:2]] = now
        if len(self._signed_at) > MAX_SIGNED_ROUNDS:
            del self._signed_at[min(self._signed_at)]

    def _update_proof(self) -> None:
        r = self.round
        self.complete |= r.bits.bit_count() == self.size
        put = self._signed_at.get((r.number - 1, r.opener_before))
        if put is not None and r.before & self._me and r.bits.bit_count() >= self.majority:
            self.proven_at = max(self.proven_at, put)
