"""One member's part in one view: its edges, its register (report of faulty edges), its vote and its lease.

This module does no I/O.

`ViewMachine` takes the process from one view to the next. Heartbeats spread what all members have to know;
changes are also pushed at once, along each edge at most once per push interval.
"""

from __future__ import annotations

import random
from enum import Flag, auto
from itertools import islice
from typing import NamedTuple
from zlib import crc32

from yewrill.views.agreement import NO_BALLOT, Agreement, VoteState
from yewrill.views.attestation import Attestations
from yewrill.views.cut import detect_cut, watermarks
from yewrill.views.format import (
    MAX_ATTESTED,
    VERSION,
    Heartbeat,
    Register,
    decode_round,
    decode_tally,
    decode_vote,
    encode_round,
    encode_tally,
    encode_vote,
)
from yewrill.views.lease_renewal import LeaseRenewal
from yewrill.views.timing import NEVER, Edge, ViewCounters, ViewTiming
from yewrill.views.view import Entry, View, encode_change

MAX_REGISTERS_PER_HEARTBEAT = 16
# Number of heartbeats with a wrong checksum of the registers after which the peer is sent all registers.
MAX_CHECKSUM_MISMATCHES = 3
# For this many heartbeat intervals after a change, only this share of the new members is sent the change.
LAST_CHANGE_SAMPLED_HEARTBEATS = 1.0
LAST_CHANGE_SAMPLE_SHARE = 0.3
Ranks = frozenset[int]


class RequestedChange(NamedTuple):
    """A change of the view that the registers and attestations ask for.

    `value` is the encoded change, b"" for none. `leaves_only`: all removals are voluntary and nobody joins.
    `joins_only`: nobody is removed.
    """

    value: bytes = b""
    leaves_only: bool = False
    joins_only: bool = False


class Push(Flag):
    """The kinds of data that have changed since the last push."""

    REGISTERS = auto()
    VOTE = auto()
    ROUND = auto()


class ViewMember:
    """One member's part in one view.

    `last_change`: the change that led to this view, if this member saw it. `lease_until`: end of the lease
    carried over from the previous view. `stale_leases`: some process may still hold a lease in the previous
    view without knowing of this one. `edges`: evidence from the previous view, by the entry at the other end.
    """

    def __init__(
        self,
        view: View,
        rank: int,
        timing: ViewTiming,
        rng: random.Random,
        counters: ViewCounters,
        now: float,
        *,
        last_change: bytes | None = None,
        lease_until: float = NEVER,
        stale_leases: bool = True,
        edges: dict[Entry, Edge] | None = None,
    ):
        self.view, self.rank, self.timing, self._rng, self._counters = (
            view,
            rank,
            timing,
            rng,
            counters,
        )
        self.interval = interval = timing.interval_for(len(view))
        self.last_change, self.lease_until, self.installed_at, self._stale_leases = (
            last_change,
            lease_until,
            now,
            stale_leases,
        )
        self.lease_seconds = timing.lease_for(len(view))
        edges = edges or {}
        self.edges = {
            other: edges.get(view.entries[other]) or Edge(view.entries[other], interval, now)
            for other in view.edges(rank)
        }
        for edge in self.edges.values():
            edge.begin_view()
        self.registers: dict[int, Register] = {}
        self.leaving = False
        self.leaving_names: set[str] = set()  # names of the members that leave voluntarily
        self.vote = Agreement(rank, len(view))
        # Ranks of the faulty and of the unstable members.
        self.cut: tuple[Ranks, Ranks] = frozenset(), frozenset()
        self.propose_at = float("inf")
        min_round_seconds = timing.min_round_share * self.lease_seconds
        self._renewal = LeaseRenewal(
            rank,
            len(view),
            now,
            interval,
            (1.0 + view.estimated_diameter) * interval,
            min_round_seconds,
        )
        self._proposal_order = view.proposal_order()
        self._registers_checksum = 0
        self.attestations = Attestations(view, rank, interval)
        self._push, self._pushed_at = Push.VOTE, NEVER
        self._push_interval = timing.push_interval_for(len(view))
        self._requested_change, self._requested_since, self._first_requested_at = b"", now, now
        self._vote_changed_at, self._opened_at = now, NEVER
        # By rank of an unstable member: the time since when it is unstable.
        self._unstable_since: dict[int, float] = {}

    @property
    def due(self) -> float:
        """Time of the next proposal or push."""
        return min(
            self.propose_at, self._pushed_at + self._push_interval if self._push else float("inf")
        )

    def exclude_pause(self, duration: float, now: float) -> None:
        """Leaves a local pause out of all evidence, and restarts the delays before a proposal."""
        for edge in self.edges.values():
            edge.exclude_pause(duration)
        self._requested_since = self._vote_changed_at = now

    # -- sending

    def push_messages(self, now: float) -> list[tuple[Edge, Heartbeat]]:
        """Returns the messages that push changed registers, vote or round, if a push is due."""
        if not self._push or now < self._pushed_at + self._push_interval:
            return []
        reasons, self._push = self._push, Push(0)
        self._pushed_at = now
        edges, max_edges = list(self.edges.values()), self.timing.push_edges
        # Long messages go to a few edges at a time: other peers may receive the data from someone else.
        incomplete = [edge for edge in edges if self._lacks_data(edge)]
        if len(incomplete) > max_edges:
            incomplete = self._rng.sample(incomplete, max_edges)
            self._push = Push.REGISTERS
        complete = [edge for edge in edges if not self._lacks_data(edge)]
        if Push.VOTE in reasons or Push.ROUND in reasons:
            complete = self._rng.sample(complete, min(max_edges, len(complete)))
        else:
            complete = []
        return [(edge, self._message(edge, now, push=True)) for edge in (*incomplete, *complete)]

    def _lacks_data(self, edge: Edge) -> bool:
        """Returns whether the peer may lack registers, or the proposal of the current ballot."""
        vote_state = self.vote.state
        lacks = vote_state.proposal != b"" and edge.known_proposal != (
            vote_state.ballot,
            vote_state.proposal,
        )
        return lacks or bool(self._registers_for(edge))

    def heartbeats(self, now: float) -> list[tuple[Edge, Heartbeat]]:
        """Returns the heartbeat for each edge."""
        return [(edge, self._message(edge, now)) for edge in self.edges.values()]

    def _registers_for(self, edge: Edge) -> list[Register]:
        """Returns registers that the peer may lack, as many as fit in one message."""
        missing = (
            r for r in self.registers.values() if edge.register_numbers.get(r.rank, -1) < r.number
        )
        return list(islice(missing, MAX_REGISTERS_PER_HEARTBEAT))

    def attestation_messages(self, now: float) -> list[tuple[Entry, Heartbeat]]:
        """Returns the messages that tell the next proposers which joiners this member attests."""
        entries = self.attestations.recipients(now, self.cut[0])
        if not entries:
            return []
        heartbeat = Heartbeat(
            self.view.number,
            self.view.digest,
            self.view.entries[self.rank].incarnation,
            0,
            -1,
            self._registers_checksum,
            version=VERSION,
            attested=self.attestations.ours,
        )
        return [(entry, heartbeat) for entry in entries]

    def _last_change_for(self, edge: Edge, now: float) -> bytes | None:
        """Returns the change that led to this view, while the peer may not know it.

        At first it goes to some of the new members only: members of the previous view learn it from the vote.
        """
        age = now - self.installed_at
        if edge.view_number >= self.view.number or age > self.lease_seconds:
            return None
        if age < LAST_CHANGE_SAMPLED_HEARTBEATS * self.interval:
            new = edge.view_number < self.view.number - 1
            return (
                self.last_change if new and self._rng.random() < LAST_CHANGE_SAMPLE_SHARE else None
            )
        return self.last_change

    def _message(self, edge: Edge, now: float, push: bool = False) -> Heartbeat:
        view = self.view
        send_round = push or len(view) <= self.timing.small_view_size or self._rng.random() < 0.5
        if edge.checksum_mismatches >= MAX_CHECKSUM_MISMATCHES and not push:
            edge.checksum_mismatches, edge.register_numbers = 0, {}
        registers = self._registers_for(edge)
        edge.register_numbers |= {register.rank: register.number for register in registers}
        vote_state = self.vote.state
        tally = full_vote = None
        if vote_state.ballot > NO_BALLOT:
            if edge.format_version >= VERSION and edge.known_proposal == (
                vote_state.ballot,
                vote_state.proposal,
            ):
                tally = encode_tally(vote_state, len(view))
            else:
                full_vote = encode_vote(vote_state, len(view))
        return Heartbeat(
            view.number,
            view.digest,
            view.entries[self.rank].incarnation,
            0 if push else int(1000 * self.interval),
            min(3_600_000, int(1000 * (now - edge.last_received))),
            self._registers_checksum,
            encode_round(self._renewal.round, len(view)) if send_round else None,
            tuple(registers),
            full_vote,
            self._last_change_for(edge, now),
            VERSION,
            tally,
        )

    # -- register and proposals

    def observe(self, now: float, joiners: tuple[Entry, ...]) -> None:
        """Updates this member's register from its edges, and its attestations from the joiners."""
        min_silence = max(
            self.timing.min_silence, self.timing.min_silence_heartbeats * self.interval
        )
        faulty = 0
        for index, edge in enumerate(self.edges.values()):
            faulty |= edge.faulty(now, self.timing, min_silence) << index
        if 4 * faulty.bit_count() > 3 * len(self.edges) and len(self.edges) > 1:
            # The cause is probably this member's own connectivity rather than all its peers.
            faulty = 0
        self.publish(faulty)
        self.attestations.record(self.rank, joiners[:MAX_ATTESTED])

    def publish(self, faulty: int | None = None) -> None:
        """Publishes a new register if its content has changed; `faulty` has a bit for each edge."""
        ours = self.registers.get(self.rank) or Register(self.rank)
        register = Register(
            self.rank,
            ours.number + 1,
            ours.faulty if faulty is None else faulty,
            leaving=self.leaving,
        )
        if (register.faulty, register.leaving) != (ours.faulty, ours.leaving):
            self._store_register(register)

    def _store_register(self, register: Register) -> None:
        previous = self.registers.get(register.rank)
        for r in (previous, register):
            if r is not None:
                self._registers_checksum ^= crc32(b"%d %d" % (r.rank, r.number))
        self.registers[register.rank] = register
        self._push |= Push.REGISTERS
        if register.leaving:
            self.leaving_names.add(self.view.entries[register.rank].name)

    def _compute_change(self, now: float) -> RequestedChange:
        """Computes the change that registers and attestations ask for.

        There is none while the cut is unstable, or if no majority would remain.
        """
        attested = self.attestations.attesters()
        if not self.registers and not attested:
            self._unstable_since.clear()
            return RequestedChange()
        view, edges = self.view, self.view.edges
        alerts, leaving = [], set()
        for rank, r in self.registers.items():
            if r.faulty:
                alerts += [
                    (rank, subject)
                    for index, subject in enumerate(edges(rank))
                    if r.faulty >> index & 1
                ]
            if r.leaving:
                leaving.add(rank)
            for entry in r.joiners:
                attested.setdefault(entry, set()).add(rank)
        out, unstable = detect_cut(edges, alerts)
        self.cut = out, unstable
        self._unstable_since = {rank: self._unstable_since.get(rank, now) for rank in unstable}
        out |= {rank for rank in unstable if rank in leaving}
        if (
            any(
                now - at < self.timing.unstable_timeout
                for rank, at in self._unstable_since.items()
                if rank not in leaving
            )
            or len(view) - len(out - leaving) < view.majority
        ):
            return RequestedChange()
        removed = out | leaving
        joining = []
        for entry, attesters in attested.items():
            observers = view.observers_of(entry.name, entry.incarnation)
            rank = view.rank_of(entry.name)
            if (rank is None or rank in removed) and len(attesters & set(observers)) >= watermarks(
                len(observers)
            )[1]:
                joining.append(entry)
        if not removed and not joining:
            return RequestedChange()
        leaves = bool(leaving) and not out - leaving and not joining
        return RequestedChange(encode_change(set(removed), joining), leaves, not removed)

    def propose_if_due(self, now: float) -> None:
        """Opens a ballot for the next view if one is wanted and this member's turn has come."""
        timing, vote = self.timing, self.vote
        self.cut = frozenset(), frozenset()
        requested = self._compute_change(now)
        value = requested.value
        if value and not self._requested_change:
            self._first_requested_at = now
        if value != self._requested_change:
            self._requested_change, self._requested_since = value, now
        unfinished = vote.state.ballot > NO_BALLOT and (
            vote.accepted is not None or vote.state.accepted > 0
        )
        self.propose_at = float("inf")
        if not unfinished and (not value or now >= self.lease_until):
            # Without a lease, no majority receives this member's messages, and its evidence is outdated.
            return
        out = self.cut[0]
        delay = timing.proposer_delay * [
            rank for rank in self._proposal_order if rank not in out or rank == self.rank
        ].index(self.rank)
        if requested.joins_only:
            at = self._first_requested_at + timing.join_batch_delay
        else:
            at = self._requested_since + (
                timing.push_interval
                if requested.leaves_only
                else timing.cut_stable_heartbeats * self.interval
            )
        if vote.state.ballot > NO_BALLOT:
            at = max(at, self._vote_changed_at + self.timing.ballot_timeout)
        if self._stale_leases or not self._renewal.complete:
            at = max(at, self.installed_at + self.lease_seconds)
        if now >= at + delay:
            self._counters.proposed += 1
            self._vote_changed_at = self._opened_at = now
            vote.open_ballot()
            vote.set_proposal(value or encode_change(set(), []))
            self._vote_changed()
        elif at + delay < now + 60.0:
            self.propose_at = max(at + delay, now + 0.01)

    def _vote_changed(self) -> None:
        self._push |= Push.VOTE
        self._renewal.frozen |= self.vote.accepted is not None

    def renew_lease(self, now: float) -> None:
        """Opens the next renewal round if it is due."""
        if self._renewal.tick(now):
            self._push |= Push.ROUND
            self._extend_lease()

    def _extend_lease(self) -> None:
        self.lease_until = max(self.lease_until, self._renewal.proven_at + self.lease_seconds)

    def merge(self, now: float, heartbeat: Heartbeat, edge: Edge | None, sender: str) -> None:
        """Merges a heartbeat of the same view. Raises MalformedPayload, ValueError."""
        size = len(self.view)
        before = self._renewal.round
        if heartbeat.round is not None and self._renewal.merge(
            now, decode_round(heartbeat.round, size)
        ):
            # A new round is pushed at once; bits added to a known one wait for the next heartbeat.
            if before[:2] != self._renewal.round[:2]:
                self._push |= Push.ROUND
            self._extend_lease()
        self._merge_registers(now, heartbeat, edge)
        if heartbeat.attested is not None:
            rank = self.view.find(sender, heartbeat.incarnation)
            if rank is not None and self.attestations.record(rank, heartbeat.attested):
                self.propose_if_due(now)
        vote_state = self._decode_vote_of(heartbeat, edge)
        if vote_state is not None:
            self._merge_vote(now, vote_state)
        elif (
            self.vote.state.ballot > NO_BALLOT
            and not heartbeat.interval
            and heartbeat.tally is None
        ):
            self._push |= Push.VOTE

    def _merge_registers(self, now: float, heartbeat: Heartbeat, edge: Edge | None) -> None:
        changed = False
        for register in heartbeat.registers:
            if register.rank >= len(self.view) or register.rank == self.rank:
                continue
            if edge is not None:
                edge.register_numbers[register.rank] = max(
                    register.number, edge.register_numbers.get(register.rank, -1)
                )
            if register.number > getattr(self.registers.get(register.rank), "number", -1):
                self._store_register(register)
                changed = True
        if edge is not None and heartbeat.interval:
            edge.checksum_mismatches = (
                0
                if heartbeat.registers_checksum == self._registers_checksum
                else edge.checksum_mismatches + 1
            )
        if changed:
            self.propose_if_due(now)

    def _decode_vote_of(self, heartbeat: Heartbeat, edge: Edge | None) -> VoteState | None:
        """Decodes the peer's vote state, and records which proposal the peer holds."""
        size = len(self.view)
        if heartbeat.tally is not None:
            vote_state = decode_tally(heartbeat.tally, self.vote.state, size)
        else:
            vote_state = None if heartbeat.vote is None else decode_vote(heartbeat.vote, size)
        if edge is not None:
            edge.format_version = heartbeat.version
            if vote_state is not None and vote_state.proposal:
                edge.known_proposal = vote_state.ballot, vote_state.proposal
        return vote_state

    def _merge_vote(self, now: float, vote_state: VoteState) -> None:
        ours = self.vote.state
        if (
            vote_state.ballot == ours.ballot
            and ours.ballot[1] == self.rank
            and not ours.proposal
            and now - self._opened_at > self.timing.ballot_timeout
        ):
            # These promises are late, for an outdated change; the next proposal opens a new ballot.
            return
        if self.vote.merge(vote_state):
            self._vote_changed_at = now
            self._vote_changed()
        elif vote_state != ours:
            # The peer knows less about the vote than this member, so this member's state is pushed.
            self._push |= Push.VOTE
