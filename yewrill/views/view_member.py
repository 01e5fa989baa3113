"""One member's part in one view, pure: its edges, its register, the vote on what follows, the roll-call.

`Machine` brings it from one view to the next. Whatever is to be known of all goes round by the beats; what
has changed goes out of turn at once, each edge once in `push` seconds at most.
"""

from __future__ import annotations

import random
from enum import Flag, auto
from itertools import islice
from typing import NamedTuple
from zlib import crc32

from yewrill.views.agreement import NONE, Agreement, VoteState
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

MAX_REGISTERS_PER_BEAT = 16  # registers in one beat
MAX_REGISTER_MISMATCHES = (
    3  # beats with other registers than ours, after which the other is sent all of them again
)
# Beats in which the last change goes to some new ones only, and their part
LAST_BEATS, LAST_SHARE = 1.0, 0.3
Ranks = frozenset[int]


class Plan(NamedTuple):
    """A change that is asked for: b"" for none; whether it is by leaves, or by joiners only."""

    value: bytes = b""
    leaves_only: bool = False
    joins_only: bool = False


class Push(Flag):
    """What there is to say out of turn."""

    REGISTERS = auto()
    VOTE = auto()
    ROUND = auto()


class ViewMember:
    """One member's part in one view.

    `last`: the change that led to this view, if this member saw it. `lease_until`: end of the lease carried
    over from the previous view. `stale_leases`: some process may still hold a lease in the previous view
    without knowing of this one. `edges`: evidence from the previous view, by the entry at the other end.
    """

    def __init__(
        self,
        view: View,
        rank: int,
        rules: ViewTiming,
        rng: random.Random,
        counts: ViewCounters,
        now: float,
        *,
        last: bytes | None = None,
        lease_until: float = NEVER,
        stale_leases: bool = True,
        edges: dict[Entry, Edge] | None = None,
    ):
        self.view, self.rank, self.rules, self._rng, self._counts = view, rank, rules, rng, counts
        self.interval = beat = rules.beat(len(view))
        self.last, self.lease_until, self.began, self._stale_leases = (
            last,
            lease_until,
            now,
            stale_leases,
        )
        self.lease_seconds = rules.lease_for(len(view))
        edges = edges or {}
        self.edges = {
            other: edges.get(view.entries[other]) or Edge(view.entries[other], beat, now)
            for other in view.edges(rank)
        }
        for edge in self.edges.values():
            edge.begin_view()
        self.registers: dict[int, Register] = {}
        self.leaving = False
        self.left: set[str] = set()  # those that leave by their own word
        self.vote = Agreement(rank, len(view))
        self.cut: tuple[Ranks, Ranks] = frozenset(), frozenset()  # out, unstable
        self.turn_at = float("inf")
        shortest = rules.round_share * self.lease_seconds
        self._renewal = LeaseRenewal(
            rank, len(view), now, beat, (1.0 + view.depth) * beat, shortest
        )
        self._turns = view.proposal_order()
        self._sum = 0
        self.attestations = Attestations(view, rank, beat)
        self._push, self._pushed = Push.VOTE, NEVER
        self._push_gap = rules.push_gap(len(view))
        self._planned, self._planned_at, self._wanted_at = b"", now, now
        self._vote_changed_at, self._opened_at = now, NEVER
        self._unstable: dict[int, float] = {}  # since when

    @property
    def due(self) -> float:
        """When the next proposal or message out of turn is due."""
        return min(self.turn_at, self._pushed + self._push_gap if self._push else float("inf"))

    def exclude_pause(self, duration: float, now: float) -> None:
        """We were away for so long: what we see and want is of before."""
        for edge in self.edges.values():
            edge.exclude_pause(duration)
        self._planned_at = self._vote_changed_at = now

    # -- what goes out

    def pushes(self, now: float) -> list[tuple[Edge, Heartbeat]]:
        """What has changed, if it is time to say so."""
        if not self._push or now < self._pushed + self._push_gap:
            return []
        reasons, self._push = self._push, Push(0)
        self._pushed = now
        edges, most = list(self.edges.values()), self.rules.push_edges
        # What is long goes to a few at a time: by the next turn the others may have it from elsewhere.
        long = [edge for edge in edges if self._has_long_for(edge)]
        if len(long) > most:
            long = self._rng.sample(long, most)
            self._push = Push.REGISTERS
        short = [edge for edge in edges if not self._has_long_for(edge)]
        if Push.VOTE in reasons or Push.ROUND in reasons:
            short = self._rng.sample(short, min(most, len(short)))
        else:
            short = []
        return [(edge, self._message(edge, now, push=True)) for edge in (*long, *short)]

    def _has_long_for(self, edge: Edge) -> bool:
        """Whether the other may lack registers, or the proposal of the vote."""
        vote_state = self.vote.state
        lacks = vote_state.proposal != b"" and edge.proposal != (
            vote_state.ballot,
            vote_state.proposal,
        )
        return lacks or bool(self._registers_for(edge))

    def beats(self, now: float) -> list[tuple[Edge, Heartbeat]]:
        """The heartbeat along each edge."""
        return [(edge, self._message(edge, now)) for edge in self.edges.values()]

    def _registers_for(self, edge: Edge) -> list[Register]:
        """Registers that the other may not have, as many as fit one message."""
        lacking = (r for r in self.registers.values() if edge.has.get(r.rank, -1) < r.number)
        return list(islice(lacking, MAX_REGISTERS_PER_BEAT))

    def attestation_messages(self, now: float) -> list[tuple[Entry, Heartbeat]]:
        """Whom we vouch for, to those that are next to propose."""
        entries = self.attestations.recipients(now, self.cut[0])
        if not entries:
            return []
        beat = Heartbeat(
            self.view.number,
            self.view.digest,
            self.view.entries[self.rank].incarnation,
            0,
            -1,
            self._sum,
            version=VERSION,
            attested=self.attestations.ours,
        )
        return [(entry, beat) for entry in entries]

    def _last_for(self, edge: Edge, now: float) -> bytes | None:
        """The change that led here, while the other may not have heard of it. At first only to some that are
        new: who was in the view before decides by the vote."""
        age = now - self.began
        if edge.number >= self.view.number or age > self.lease_seconds:
            return None
        if age < LAST_BEATS * self.interval:
            new = edge.number < self.view.number - 1
            return self.last if new and self._rng.random() < LAST_SHARE else None
        return self.last

    def _message(self, edge: Edge, now: float, push: bool = False) -> Heartbeat:
        view = self.view
        send_round = push or len(view) <= self.rules.small or self._rng.random() < 0.5
        if edge.other_sum >= MAX_REGISTER_MISMATCHES and not push:
            edge.other_sum, edge.has = 0, {}
        registers = self._registers_for(edge)
        edge.has |= {register.rank: register.number for register in registers}
        vote_state = self.vote.state
        tally = wire = None
        if vote_state.ballot > NONE:
            if edge.version >= VERSION and edge.proposal == (
                vote_state.ballot,
                vote_state.proposal,
            ):
                tally = encode_tally(vote_state, len(view))
            else:
                wire = encode_vote(vote_state, len(view))
        return Heartbeat(
            view.number,
            view.digest,
            view.entries[self.rank].incarnation,
            0 if push else int(1000 * self.interval),
            min(3_600_000, int(1000 * (now - edge.last_received))),
            self._sum,
            encode_round(self._renewal.round, len(view)) if send_round else None,
            tuple(registers),
            wire,
            self._last_for(edge, now),
            VERSION,
            tally,
        )

    # -- what is seen

    def observe(self, now: float, joiners: tuple[Entry, ...]) -> None:
        """Bring our register up to date: the edges, and those that we vouch for."""
        least = max(self.rules.silence, self.rules.silent_beats * self.interval)
        faulty = 0
        for place, edge in enumerate(self.edges.values()):
            faulty |= edge.faulty(now, self.rules, least) << place
        if 4 * faulty.bit_count() > 3 * len(self.edges) and len(self.edges) > 1:
            faulty = 0  # it is us: one cause, not eight
        self.publish(faulty)
        self.attestations.record(self.rank, joiners[:MAX_ATTESTED])

    def publish(self, faulty: int | None = None) -> None:
        """Change our register, where there is something new in it. `bad`: bits of our edges."""
        ours = self.registers.get(self.rank) or Register(self.rank)
        register = Register(
            self.rank,
            ours.number + 1,
            ours.faulty if faulty is None else faulty,
            leaving=self.leaving,
        )
        if (register.faulty, register.leaving) != (ours.faulty, ours.leaving):
            self._set(register)

    def _set(self, register: Register) -> None:
        known = self.registers.get(register.rank)
        for r in (known, register):
            if r is not None:
                self._sum ^= crc32(b"%d %d" % (r.rank, r.number))
        self.registers[register.rank] = register
        self._push |= Push.REGISTERS
        if register.leaving:
            self.left.add(self.view.entries[register.rank].name)

    def _plan(self, now: float) -> Plan:
        """The change that the registers ask for."""
        attested = self.attestations.attesters()
        if not self.registers and not attested:
            self._unstable.clear()
            return Plan()
        view, edges = self.view, self.view.edges
        alerts, leaving = [], set()
        for rank, r in self.registers.items():
            if r.faulty:
                alerts += [
                    (rank, s) for place, s in enumerate(edges(rank)) if r.faulty >> place & 1
                ]
            if r.leaving:
                leaving.add(rank)
            for entry in r.joiners:
                attested.setdefault(entry, set()).add(rank)
        out, unstable = detect_cut(edges, alerts)
        self.cut = out, unstable
        self._unstable = {rank: self._unstable.get(rank, now) for rank in unstable}
        out |= {rank for rank in unstable if rank in leaving}
        if (
            any(
                now - at < self.rules.patience
                for rank, at in self._unstable.items()
                if rank not in leaving
            )
            or len(view) - len(out - leaving) < view.majority
        ):
            return Plan()
        removed = out | leaving
        joining = []
        for entry, by in attested.items():
            places = view.observers_of(entry.name, entry.incarnation)
            rank = view.rank_of(entry.name)
            if (rank is None or rank in removed) and len(by & set(places)) >= watermarks(
                len(places)
            )[1]:
                joining.append(entry)
        if not removed and not joining:
            return Plan()
        leaves = bool(leaving) and not out - leaving and not joining
        return Plan(encode_change(set(removed), joining), leaves, not removed)

    def propose_if_due(self, now: float) -> None:
        """Propose the next view, if it is our turn."""
        rules, vote = self.rules, self.vote
        self.cut = frozenset(), frozenset()
        plan = self._plan(now)
        value = plan.value
        if value and not self._planned:
            self._wanted_at = now
        if value != self._planned:
            self._planned, self._planned_at = value, now
        unfinished = vote.state.ballot > NONE and (
            vote.accepted is not None or vote.state.accepted > 0
        )
        self.turn_at = float("inf")
        if not unfinished and (not value or now >= self.lease_until):
            return  # without a lease no majority hears us: what we would propose is of another time
        out = self.cut[0]
        turn = rules.turn * [
            rank for rank in self._turns if rank not in out or rank == self.rank
        ].index(self.rank)
        if plan.joins_only:
            at = self._wanted_at + rules.gather
        else:
            at = self._planned_at + (
                rules.push if plan.leaves_only else rules.settle * self.interval
            )
        if vote.state.ballot > NONE:
            at = max(at, self._vote_changed_at + self.rules.ballot)
        if self._stale_leases or not self._renewal.complete:
            at = max(at, self.began + self.lease_seconds)
        if now >= at + turn:
            self._counts.proposed += 1
            self._vote_changed_at = self._opened_at = now
            vote.open()
            vote.offer(value or encode_change(set(), []))
            self._voted()
        elif at + turn < now + 60.0:
            self.turn_at = max(at + turn, now + 0.01)

    def _voted(self) -> None:
        self._push |= Push.VOTE
        self._renewal.frozen |= self.vote.accepted is not None

    def renew_lease(self, now: float) -> None:
        """Open the next round, if it is time."""
        if self._renewal.tick(now):
            self._push |= Push.ROUND
            self._renew()

    def _renew(self) -> None:
        self.lease_until = max(self.lease_until, self._renewal.proven_at + self.lease_seconds)

    def merge(self, now: float, beat: Heartbeat, edge: Edge | None, sender: str) -> None:
        """Take what another of the same view knows. Raises Malformed and ValueError."""
        size = len(self.view)
        before = self._renewal.round
        if beat.round is not None and self._renewal.merge(now, decode_round(beat.round, size)):
            if before[:2] != self._renewal.round[:2]:  # a new one goes round at once, bits by beats
                self._push |= Push.ROUND
            self._renew()
        self._take_registers(now, beat, edge)
        if beat.attested is not None:
            rank = self.view.find(sender, beat.incarnation)
            if rank is not None and self.attestations.record(rank, beat.attested):
                self.propose_if_due(now)
        vote_state = self._vote_of(beat, edge)
        if vote_state is not None:
            self._take_vote(now, vote_state)
        elif self.vote.state.ballot > NONE and not beat.interval and beat.tally is None:
            self._push |= Push.VOTE

    def _take_registers(self, now: float, beat: Heartbeat, edge: Edge | None) -> None:
        changed = False
        for register in beat.registers:
            if register.rank >= len(self.view) or register.rank == self.rank:
                continue
            if edge is not None:
                edge.has[register.rank] = max(register.number, edge.has.get(register.rank, -1))
            if register.number > getattr(self.registers.get(register.rank), "number", -1):
                self._set(register)
                changed = True
        if edge is not None and beat.interval:
            edge.other_sum = 0 if beat.sum == self._sum else edge.other_sum + 1
        if changed:
            self.propose_if_due(now)

    def _vote_of(self, beat: Heartbeat, edge: Edge | None) -> VoteState | None:
        """The vote as the other tells it, and which proposal it holds."""
        size = len(self.view)
        if beat.tally is not None:
            vote_state = decode_tally(beat.tally, self.vote.state, size)
        else:
            vote_state = None if beat.vote is None else decode_vote(beat.vote, size)
        if edge is not None:
            edge.version = beat.version
            if vote_state is not None and vote_state.proposal:
                edge.proposal = vote_state.ballot, vote_state.proposal
        return vote_state

    def _take_vote(self, now: float, vote_state: VoteState) -> None:
        ours = self.vote.state
        if (
            vote_state.ballot == ours.ballot
            and ours.ballot[1] == self.rank
            and not ours.proposal
            and now - self._opened_at > self.rules.ballot
        ):
            return  # promises for what we wanted a while ago: a fresh ballot is to ask for them
        if self.vote.merge(vote_state):
            self._vote_changed_at = now
            self._voted()
        elif vote_state != ours:
            self._push |= Push.VOTE  # it knows less than we
