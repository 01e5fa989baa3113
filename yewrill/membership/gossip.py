"""The gossip queue: updates that are piggybacked on the next messages, those sent least often first."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from yewrill.membership.config import SwimConfig
from yewrill.membership.messages import ALIVE, Claim, Message
from yewrill.membership.table import MemberTable

MAX_UPDATES_PER_MESSAGE = 8


@dataclass(slots=True)
class _Update:
    claim: Claim
    # Order of publication: of updates sent equally often, the one published last goes first.
    sequence: int
    sent: int = 0


class GossipQueue:
    """At most one pending update per member, sent more often the larger the group is."""

    def __init__(self, table: MemberTable, config: SwimConfig):
        self._table = table
        self._config = config
        self._updates: dict[str, _Update] = {}
        self._last_sequence = 0

    def publish(self, claim: Claim) -> None:
        """Queues a claim, which replaces an earlier one about the same member."""
        self._last_sequence += 1
        self._updates[claim.name] = _Update(claim, self._last_sequence)

    def discard(self, name: str) -> None:
        """Removes the pending update about a member."""
        self._updates.pop(name, None)

    def clear(self) -> None:
        """Removes all pending updates."""
        self._updates.clear()

    def message(
        self, kind: str, number: int = 0, to: Claim | None = None, about: str = ""
    ) -> Message:
        """Composes a message and piggybacks pending updates on it.

        A ping holds the sender's claim about itself. A receiver that is listed as suspect or dead gets that
        claim first, so that it can refute it.
        """
        first: list[Claim] = []
        if to is not None and to.state != ALIVE:
            first.append(to)
        if kind == "ping":
            first.append(self._table.me)
        updates = [
            *first,
            *self._take(MAX_UPDATES_PER_MESSAGE - len(first), {c.name for c in first}),
        ]
        if not about and to is not None and kind == "ping":
            about = to.name
        return Message(kind, number, about, tuple(updates))

    def _take(self, maximum: int, except_names: set[str]) -> Iterator[Claim]:
        limit = math.ceil(
            self._config.retransmit_multiplier * math.log10(len(self._table.entries) + 2)
        )
        candidates = [u for name, u in self._updates.items() if name not in except_names]
        candidates.sort(key=lambda update: (update.sent, -update.sequence))
        for update in candidates[:maximum]:
            update.sent += 1
            if update.sent >= limit:
                del self._updates[update.claim.name]
            yield update.claim
