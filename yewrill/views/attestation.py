"""Attestations: the joiners that each member attests, sent only to the members that propose next.

A member attests a joiner (a process that asks to join the view) when messages arrive in both directions
between them. This module does no I/O.

A list of joiners is long and changes often, and a proposal by one member is enough. The list therefore goes
directly to the few members that propose next, rather than along the edges to all members, as a member's
register (its report of faulty edges) does. If these members don't propose, further members receive the list
after a while.
"""

from __future__ import annotations

from yewrill.views.view import Entry, View

PROPOSERS = 3  # number of proposers that receive attestations at a time
SHIFT_SECONDS = 6.0  # time after which the next proposers receive attestations as well
REPEAT_HEARTBEATS = 3.0  # number of heartbeat intervals between two messages of equal content
MIN_GAP_HEARTBEATS = 1.0  # number of heartbeat intervals between any two messages


class Attestations:
    """The attestations that one member knows of in one view, its own included."""

    def __init__(self, view: View, rank: int, interval: float):
        self._view, self._rank, self._interval = view, rank, interval
        self._proposal_order = view.proposal_order()
        self._by_rank: dict[int, tuple[Entry, ...]] = {}
        self._last_sent: tuple[Entry, ...] = ()
        self._last_sent_at = -1e18
        self._attesting_since = -1e18  # time since when this member has had joiners to attest

    def record(self, rank: int, joiners: tuple[Entry, ...]) -> bool:
        """Records which joiners a member attests. Returns whether they have changed."""
        if self._by_rank.get(rank, ()) == joiners:
            return False
        self._by_rank[rank] = joiners
        return True

    def proposers(self, now: float, out: frozenset[int]) -> list[int]:
        """Returns the ranks of the present recipients: the first proposers, and later others as well.

        `out`: ranks of the faulty members, which receive nothing.
        """
        ranks = [rank for rank in self._proposal_order if rank not in out]
        shift = PROPOSERS * int((now - self._attesting_since) / SHIFT_SECONDS) % max(1, len(ranks))
        return list(dict.fromkeys([*ranks[:PROPOSERS], *ranks[shift : shift + PROPOSERS]]))

    def recipients(self, now: float, out: frozenset[int]) -> list[Entry]:
        """Returns the members to send this member's attestations to; none if that is not due."""
        ours = self._by_rank.get(self._rank, ())
        if not self._last_sent:
            self._attesting_since = now
        heartbeats = MIN_GAP_HEARTBEATS if ours != self._last_sent else REPEAT_HEARTBEATS
        if (
            not ours and not self._last_sent
        ) or now - self._last_sent_at < heartbeats * self._interval:
            return []
        self._last_sent, self._last_sent_at = ours, now
        ranks = self.proposers(now, out)
        return [self._view.entries[rank] for rank in ranks if rank != self._rank]

    @property
    def ours(self) -> tuple[Entry, ...]:
        """The joiners that this member attests."""
        return self._by_rank.get(self._rank, ())

    def attesters(self) -> dict[Entry, set[int]]:
        """Returns, for each joiner, the ranks of the members that are known to attest it."""
        found: dict[Entry, set[int]] = {}
        for rank, joiners in self._by_rank.items():
            for entry in joiners:
                found.setdefault(entry, set()).add(rank)
        return found
