"""The gossip queue: updates that wait to be sent with the next messages, the least sent first."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from yewrill.membership.config import SwimConfig
from yewrill.membership.messages import ALIVE, Claim, Message
from yewrill.membership.table import MemberTable

MAX_UPDATES = 8  # in a message


@dataclass(slots=True)
class _Update:
    claim: Claim
    order: int  # of two sent equally often the newer one goes first
    sent: int = 0


class GossipQueue:
    """One pending update a member, each sent a few times the logarithm of the group's size."""

    def __init__(self, table: MemberTable, config: SwimConfig):
        self._table = table
        self._config = config
        self._updates: dict[str, _Update] = {}
        self._order = 0

    def publish(self, claim: Claim) -> None:
        """Queue a claim in place of an earlier one about the same member."""
        self._order += 1
        self._updates[claim.name] = _Update(claim, self._order)

    def discard(self, name: str) -> None:
        """Send no update about a member."""
        self._updates.pop(name, None)

    def clear(self) -> None:
        """Drop all updates."""
        self._updates.clear()

    def message(
        self, kind: str, number: int = 0, to: Claim | None = None, about: str = ""
    ) -> Message:
        """Compose a message with the updates that are due.

        A ping says who pings; a member that we take for suspect or dead is told so first.
        """
        first: list[Claim] = []
        if to is not None and to.state != ALIVE:
            first.append(to)
        if kind == "ping":
            first.append(self._table.me)
        updates = [*first, *self._take(MAX_UPDATES - len(first), {c.name for c in first})]
        if not about and to is not None and kind == "ping":
            about = to.name
        return Message(kind, number, about, tuple(updates))

    def _take(self, maximum: int, except_names: set[str]) -> Iterator[Claim]:
        limit = math.ceil(
            self._config.retransmit_multiplier * math.log10(len(self._table.entries) + 2)
        )
        candidates = [u for name, u in self._updates.items() if name not in except_names]
        candidates.sort(key=lambda update: (update.sent, -update.order))
        for update in candidates[:maximum]:
            update.sent += 1
            if update.sent >= limit:
                del self._updates[update.claim.name]
            yield update.claim
