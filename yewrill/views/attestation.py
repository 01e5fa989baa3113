"""Attestations: who attests which joiners, sent only to the members that propose next. Pure.

A list of joiners is long and changes often, and one member's proposal is enough: so it goes straight to the
few whose turn is next, over no edge, and not round to all as registers do. Should these not propose, others
are told in time.
"""

from __future__ import annotations

from yewrill.views.view import Entry, View

PROPOSERS = 3  # that receive them at a time
SHIFT_SECONDS = 6.0  # until the next ones receive them as well
REPEAT_BEATS = 3.0  # between two messages of the same content
MIN_GAP_BEATS = 1.0  # between two messages


class Attestations:
    """The attestations that one member knows of in one view."""

    def __init__(self, view: View, rank: int, interval: float):
        self._view, self._rank, self._interval = view, rank, interval
        self._turns = view.proposal_order()
        self._by_rank: dict[int, tuple[Entry, ...]] = {}
        self._notified: tuple[Entry, ...] = ()
        self._told_at = -1e18
        self._since = -1e18  # when we began to vouch for somebody

    def record(self, rank: int, joiners: tuple[Entry, ...]) -> bool:
        """Record whom a member attests. Returns whether that has changed."""
        if self._by_rank.get(rank, ()) == joiners:
            return False
        self._by_rank[rank] = joiners
        return True

    def proposers(self, now: float, out: frozenset[int]) -> list[int]:
        """Ranks of those that are told now: whose turn is first, and after a while others beside them. `out`:
        ranks that are thought dead."""
        turns = [rank for rank in self._turns if rank not in out]
        later = PROPOSERS * int((now - self._since) / SHIFT_SECONDS) % max(1, len(turns))
        return list(dict.fromkeys([*turns[:PROPOSERS], *turns[later : later + PROPOSERS]]))

    def recipients(self, now: float, out: frozenset[int]) -> list[Entry]:
        """Where our own list is to be sent now, if it is time."""
        ours = self._by_rank.get(self._rank, ())
        if not self._notified:
            self._since = now
        gap = MIN_GAP_BEATS if ours != self._notified else REPEAT_BEATS
        if (not ours and not self._notified) or now - self._told_at < gap * self._interval:
            return []
        self._notified, self._told_at = ours, now
        ranks = self.proposers(now, out)
        return [self._view.entries[rank] for rank in ranks if rank != self._rank]

    @property
    def ours(self) -> tuple[Entry, ...]:
        """The joiners that we attest."""
        return self._by_rank.get(self._rank, ())

    def attesters(self) -> dict[Entry, set[int]]:
        """The ranks of those that vouch for each joiner, as far as we were told."""
        found: dict[Entry, set[int]] = {}
        for rank, joiners in self._by_rank.items():
            for entry in joiners:
                found.setdefault(entry, set()).add(rank)
        return found
