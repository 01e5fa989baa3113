"""Who vouches for which joiners, told to those alone that are next to propose a view. Pure.

A list of joiners is long and changes often, and one member's proposal is enough: so it goes straight to the
few whose turn is next, over no edge, and not round to all as registers do. Should these not propose, others
are told in time.
"""

from __future__ import annotations

from yewrill.views.view import Entry, View

PROPOSERS = 3  # that are told at a time
SHIFT_S = 6.0  # until the next ones are told as well
REPEAT_BEATS = 3.0  # between two messages of the same
LEAST_GAP_BEATS = 1.0  # between two messages


class Vouching:
    """One member's part in one view."""

    def __init__(self, view: View, rank: int, interval: float):
        self._view, self._rank, self._interval = view, rank, interval
        self._turns = view.turns()
        self._by_rank: dict[int, tuple[Entry, ...]] = {}
        self._told: tuple[Entry, ...] = ()
        self._told_at = -1e18
        self._since = -1e18  # when we began to vouch for somebody

    def take(self, rank: int, joiners: tuple[Entry, ...]) -> bool:
        """Note whom a member vouches for. True: that has changed."""
        if self._by_rank.get(rank, ()) == joiners:
            return False
        self._by_rank[rank] = joiners
        return True

    def proposers(self, now: float, out: frozenset[int]) -> list[int]:
        """Ranks of those that are told now: whose turn is first, and after a while others beside them. `out`:
        ranks that are thought dead."""
        turns = [rank for rank in self._turns if rank not in out]
        later = PROPOSERS * int((now - self._since) / SHIFT_S) % max(1, len(turns))
        return list(dict.fromkeys([*turns[:PROPOSERS], *turns[later : later + PROPOSERS]]))

    def to_tell(self, now: float, out: frozenset[int]) -> list[Entry]:
        """Where our own list is to be sent now, if it is time."""
        ours = self._by_rank.get(self._rank, ())
        if not self._told:
            self._since = now
        gap = LEAST_GAP_BEATS if ours != self._told else REPEAT_BEATS
        if (not ours and not self._told) or now - self._told_at < gap * self._interval:
            return []
        self._told, self._told_at = ours, now
        ranks = self.proposers(now, out)
        return [self._view.entries[rank] for rank in ranks if rank != self._rank]

    @property
    def ours(self) -> tuple[Entry, ...]:
        """Whom we vouch for."""
        return self._by_rank.get(self._rank, ())

    def vouchers(self) -> dict[Entry, set[int]]:
        """The ranks of those that vouch for each joiner, as far as we were told."""
        found: dict[Entry, set[int]] = {}
        for rank, joiners in self._by_rank.items():
            for entry in joiners:
                found.setdefault(entry, set()).add(rank)
        return found
