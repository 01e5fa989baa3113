"""The member table: every known member with its latest claim and the evidence about it.

No I/O and no clock; times are in seconds.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

from yewrill.membership.config import SwimConfig
from yewrill.membership.evidence import PeerLink
from yewrill.membership.messages import ALIVE, DEAD, LEFT, MAX_INCARNATION, SUSPECT, Claim
from yewrill.membership.suspicion import Suspicion, SuspicionProbe

DIGEST_BYTES = 7
NEVER = -1e18


@dataclass(slots=True)
class MemberEntry:
    """One other member."""

    claim: Claim
    since: float  # time at which the latest claim was applied
    last_received: float = NEVER  # time at which the member's last message arrived
    # `last_received`, moved forward by pauses of this process.
    last_received_adjusted: float = NEVER
    # Number of finished probes of the member, the unit of time of `link`.
    probes_ended: float = 0.0
    link: PeerLink | None = None
    relay: str = ""  # the other member that last relayed an ack of this one to the local member
    # Whether the member's messages arrive, but messages from this process do not reach it.
    has_outbound_loss: bool = False
    suspicion_probe: SuspicionProbe | None = None
    suspicion: Suspicion | None = None

    @property
    def name(self) -> str:
        """The member's name."""
        return self.claim.name

    @property
    def is_listed(self) -> bool:
        """Whether the member is listed: alive or suspect."""
        return self.claim.state in (ALIVE, SUSPECT)

    def apply(self, claim: Claim, now: float) -> None:
        """Applies a claim; a member that returns to life starts without earlier evidence."""
        if not self.is_listed and claim.state == ALIVE:
            self.probes_ended, self.link = 0.0, None
            self.relay, self.has_outbound_loss = "", False
        self.claim, self.since, self.suspicion = claim, now, None
        if claim.state != SUSPECT:
            self.suspicion_probe = None


class MemberTable:
    """The local member's claim about itself and the entries of all others."""

    def __init__(self, me: Claim, config: SwimConfig, now: float):
        self.me = me
        self.entries: dict[str, MemberEntry] = {}
        # Changes of state that the reader of this list has not taken yet.
        self.changes: list[Claim] = []
        self.changed_at = now
        # Time of the last message from any member, moved forward by pauses of this process.
        self.last_received = now
        self._config = config
        self._digest = 0  # digest of the listed members; 0 if it must be computed again

    def listed(self) -> Iterator[Claim]:
        """Returns the claims about other members that are alive or suspect."""
        return (entry.claim for entry in self.entries.values() if entry.is_listed)

    def reachable(self, now: float, except_name: str) -> list[Claim]:
        """Returns the claims about alive members that sent a message recently, except one."""
        since = now - self._config.recent_intervals * self._config.interval
        return [
            entry.claim
            for entry in self.entries.values()
            if entry.claim.state == ALIVE
            and entry.claim.name != except_name
            and entry.last_received_adjusted >= since
        ]

    def is_isolated(self, now: float) -> bool:
        """Returns whether several members are listed but none sends: probably a fault of the local member."""
        silence = now - self.last_received
        return (
            silence > self._config.isolated_after_intervals * self._config.interval
            and sum(1 for _ in itertools.islice(self.listed(), 2)) > 1
        )

    def apply(self, claim: Claim, now: float) -> None:
        """Applies a claim about another member and records a change of its state."""
        entry = self.entries.get(claim.name)
        previous = None if entry is None else entry.claim
        if entry is None:
            entry = self.entries[claim.name] = MemberEntry(claim, now)
        if previous is None or (previous.incarnation, previous.state) != (
            claim.incarnation,
            claim.state,
        ):
            self._digest, self.changed_at = 0, now
        entry.apply(claim, now)
        if previous is None or previous.state != claim.state:
            self.changes.append(claim)
            del self.changes[: -2 * self._config.max_members]

    def raise_incarnation(self, above: int) -> None:
        """Raises the local member's incarnation above that of a claim about it."""
        self.me = replace(self.me, incarnation=min(above + 1, MAX_INCARNATION))
        self._digest = 0

    def mark_self_left(self) -> None:
        """Marks the local member as departed, with a new incarnation."""
        self.me = replace(self.me, incarnation=self.me.incarnation + 1, state=LEFT)

    def expired(self, entry: MemberEntry, now: float) -> bool:
        """Returns whether a dead or departed member may be removed from the table."""
        return entry.claim.state in (DEAD, LEFT) and now - entry.since > self._config.forget_after

    @property
    def digest(self) -> int:
        """Digest of the names and incarnations of the listed members; never 0, which stands for no digest."""
        if self._digest == 0:
            claims = sorted((c.name, c.incarnation) for c in (self.me, *self.listed()))
            text = "".join(f"{name} {incarnation}\n" for name, incarnation in claims)
            found = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES, person=b"ym-list")
            self._digest = int.from_bytes(found.digest(), "big") | 1
        return self._digest

    def page(self, after: str) -> Iterator[Claim]:
        """Yields the local member's claim, then a page of claims in the order of names after `after`."""
        names = sorted(self.entries)
        start = next((i for i, name in enumerate(names) if name > after), 0)
        rotated = names[start:] + names[:start]
        yield self.me
        for name in rotated[: self._config.page_size - 1]:
            yield self.entries[name].claim

    def exclude_pause(self, duration: float) -> None:
        """Excludes a pause of this process from every measured silence."""
        self.last_received += duration
        for entry in self.entries.values():
            entry.last_received_adjusted += duration
            if entry.suspicion is not None:
                entry.suspicion.exclude_pause(duration)
