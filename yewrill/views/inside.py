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

from yewrill.views.agreement import NONE, Agreement, Word
from yewrill.views.cut import judge, marks
from yewrill.views.format import (
    MOST_VOUCHED,
    VERSION,
    Beat,
    Register,
    round_of,
    tally_of,
    wire_round,
    wire_tally,
    wire_word,
    word_of,
)
from yewrill.views.rollcall import Rollcall
from yewrill.views.rules import NEVER, Counts, Edge, Rules
from yewrill.views.view import Entry, View, value_of
from yewrill.views.vouching import Vouching

MOST_BURST = 16  # registers in one beat
MISSED = 3  # beats with other registers than ours, after which the other is sent all of them again
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


class Inside:
    """`last`: the change that led to this view, if we saw it. `lease`: until when one holds that we have from
    the view before. `crashed`: somebody may act by the view before who does not know of this one. `edges`:
    evidence of links, by whom they lead to."""

    def __init__(
        self,
        view: View,
        rank: int,
        rules: Rules,
        rng: random.Random,
        counts: Counts,
        now: float,
        *,
        last: bytes | None = None,
        lease: float = NEVER,
        crashed: bool = True,
        edges: dict[Entry, Edge] | None = None,
    ):
        self.view, self.rank, self.rules, self._rng, self._counts = view, rank, rules, rng, counts
        self.interval = beat = rules.beat(len(view))
        self.last, self.lease, self.began, self._crashed = last, lease, now, crashed
        self.span = rules.lease_for(len(view))
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
        self.judged: tuple[Ranks, Ranks] = frozenset(), frozenset()  # out, unstable
        self.turn_at = float("inf")
        shortest = rules.round_share * self.span
        self._roll = Rollcall(rank, len(view), now, beat, (1.0 + view.depth) * beat, shortest)
        self._turns = view.turns()
        self._sum = 0
        self.vouching = Vouching(view, rank, beat)
        self._push, self._pushed = Push.VOTE, NEVER
        self._push_gap = rules.push_gap(len(view))
        self._planned, self._planned_at, self._wanted_at = b"", now, now
        self._word_at, self._opened_at = now, NEVER
        self._unstable: dict[int, float] = {}  # since when

    @property
    def due(self) -> float:
        return min(self.turn_at, self._pushed + self._push_gap if self._push else float("inf"))

    def forgive(self, span: float, now: float) -> None:
        """We were away for so long: what we see and want is of before."""
        for edge in self.edges.values():
            edge.forgive(span)
        self._planned_at = self._word_at = now

    # -- what goes out

    def pushes(self, now: float) -> list[tuple[Edge, Beat]]:
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
        word = self.vote.word
        lacks = word.proposal != b"" and edge.proposal != (word.ballot, word.proposal)
        return lacks or bool(self._registers_for(edge))

    def beats(self, now: float) -> list[tuple[Edge, Beat]]:
        """The heartbeat along each edge."""
        return [(edge, self._message(edge, now)) for edge in self.edges.values()]

    def _registers_for(self, edge: Edge) -> list[Register]:
        """Registers that the other may not have, as many as fit one message."""
        lacking = (r for r in self.registers.values() if edge.has.get(r.rank, -1) < r.number)
        return list(islice(lacking, MOST_BURST))

    def vouches(self, now: float) -> list[tuple[Entry, Beat]]:
        """Whom we vouch for, to those that are next to propose."""
        entries = self.vouching.to_tell(now, self.judged[0])
        if not entries:
            return []
        beat = Beat(
            self.view.number,
            self.view.digest,
            self.view.entries[self.rank].incarnation,
            0,
            -1,
            self._sum,
            version=VERSION,
            vouched=self.vouching.ours,
        )
        return [(entry, beat) for entry in entries]

    def _last_for(self, edge: Edge, now: float) -> bytes | None:
        """The change that led here, while the other may not have heard of it. At first only to some that are
        new: who was in the view before decides by the vote."""
        age = now - self.began
        if edge.number >= self.view.number or age > self.span:
            return None
        if age < LAST_BEATS * self.interval:
            new = edge.number < self.view.number - 1
            return self.last if new and self._rng.random() < LAST_SHARE else None
        return self.last

    def _message(self, edge: Edge, now: float, push: bool = False) -> Beat:
        view = self.view
        send_round = push or len(view) <= self.rules.small or self._rng.random() < 0.5
        if edge.other_sum >= MISSED and not push:
            edge.other_sum, edge.has = 0, {}
        registers = self._registers_for(edge)
        edge.has |= {register.rank: register.number for register in registers}
        word = self.vote.word
        tally = wire = None
        if word.ballot > NONE:
            if edge.version >= VERSION and edge.proposal == (word.ballot, word.proposal):
                tally = wire_tally(word, len(view))
            else:
                wire = wire_word(word, len(view))
        return Beat(
            view.number,
            view.digest,
            view.entries[self.rank].incarnation,
            0 if push else int(1000 * self.interval),
            min(3_600_000, int(1000 * (now - edge.heard))),
            self._sum,
            wire_round(self._roll.round, len(view)) if send_round else None,
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
        bad = 0
        for place, edge in enumerate(self.edges.values()):
            bad |= edge.bad(now, self.rules, least) << place
        if 4 * bad.bit_count() > 3 * len(self.edges) and len(self.edges) > 1:
            bad = 0  # it is us: one cause, not eight
        self.publish(bad)
        self.vouching.take(self.rank, joiners[:MOST_VOUCHED])

    def publish(self, bad: int | None = None) -> None:
        """Change our register, where there is something new in it. `bad`: bits of our edges."""
        ours = self.registers.get(self.rank) or Register(self.rank)
        say = Register(
            self.rank,
            ours.number + 1,
            ours.bad if bad is None else bad,
            leaving=self.leaving,
        )
        if (say.bad, say.leaving) != (ours.bad, ours.leaving):
            self._set(say)

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
        vouched = self.vouching.vouchers()
        if not self.registers and not vouched:
            self._unstable.clear()
            return Plan()
        view, edges = self.view, self.view.edges
        alerts, leaving = [], set()
        for rank, r in self.registers.items():
            if r.bad:
                alerts += [(rank, s) for place, s in enumerate(edges(rank)) if r.bad >> place & 1]
            if r.leaving:
                leaving.add(rank)
            for entry in r.joiners:
                vouched.setdefault(entry, set()).add(rank)
        out, unstable = judge(edges, alerts)
        self.judged = out, unstable
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
        gone = out | leaving
        come = []
        for entry, by in vouched.items():
            places = view.places(entry.name, entry.incarnation)
            rank = view.rank_of(entry.name)
            if (rank is None or rank in gone) and len(by & set(places)) >= marks(len(places))[1]:
                come.append(entry)
        if not gone and not come:
            return Plan()
        leaves = bool(leaving) and not out - leaving and not come
        return Plan(value_of(set(gone), come), leaves, not gone)

    def look(self, now: float) -> None:
        """Propose the next view, if it is our turn."""
        rules, vote = self.rules, self.vote
        self.judged = frozenset(), frozenset()
        plan = self._plan(now)
        value = plan.value
        if value and not self._planned:
            self._wanted_at = now
        if value != self._planned:
            self._planned, self._planned_at = value, now
        unfinished = vote.word.ballot > NONE and (
            vote.accepted is not None or vote.word.accepted > 0
        )
        self.turn_at = float("inf")
        if not unfinished and (not value or now >= self.lease):
            return  # without a lease no majority hears us: what we would propose is of another time
        out = self.judged[0]
        turn = rules.turn * [
            rank for rank in self._turns if rank not in out or rank == self.rank
        ].index(self.rank)
        if plan.joins_only:
            at = self._wanted_at + rules.gather
        else:
            at = self._planned_at + (
                rules.push if plan.leaves_only else rules.settle * self.interval
            )
        if vote.word.ballot > NONE:
            at = max(at, self._word_at + self.rules.ballot)
        if self._crashed or not self._roll.complete:
            at = max(at, self.began + self.span)
        if now >= at + turn:
            self._counts.proposed += 1
            self._word_at = self._opened_at = now
            vote.open()
            vote.offer(value or value_of(set(), []))
            self._voted()
        elif at + turn < now + 60.0:
            self.turn_at = max(at + turn, now + 0.01)

    def _voted(self) -> None:
        self._push |= Push.VOTE
        self._roll.frozen |= self.vote.accepted is not None

    def roll(self, now: float) -> None:
        """Open the next round, if it is time."""
        if self._roll.tick(now):
            self._push |= Push.ROUND
            self._renew()

    def _renew(self) -> None:
        self.lease = max(self.lease, self._roll.proved + self.span)

    def merge(self, now: float, beat: Beat, edge: Edge | None, sender: str) -> None:
        """Take what another of the same view knows. Raises Malformed and ValueError."""
        size = len(self.view)
        before = self._roll.round
        if beat.round is not None and self._roll.merge(now, round_of(beat.round, size)):
            if before[:2] != self._roll.round[:2]:  # a new one goes round at once, bits by beats
                self._push |= Push.ROUND
            self._renew()
        self._take_registers(now, beat, edge)
        if beat.vouched is not None:
            rank = self.view.find(sender, beat.incarnation)
            if rank is not None and self.vouching.take(rank, beat.vouched):
                self.look(now)
        word = self._word_of(beat, edge)
        if word is not None:
            self._take_word(now, word)
        elif self.vote.word.ballot > NONE and not beat.interval and beat.tally is None:
            self._push |= Push.VOTE

    def _take_registers(self, now: float, beat: Beat, edge: Edge | None) -> None:
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
            self.look(now)

    def _word_of(self, beat: Beat, edge: Edge | None) -> Word | None:
        """The vote as the other tells it, and which proposal it holds."""
        size = len(self.view)
        if beat.tally is not None:
            word = tally_of(beat.tally, self.vote.word, size)
        else:
            word = None if beat.word is None else word_of(beat.word, size)
        if edge is not None:
            edge.version = beat.version
            if word is not None and word.proposal:
                edge.proposal = word.ballot, word.proposal
        return word

    def _take_word(self, now: float, word: Word) -> None:
        ours = self.vote.word
        if (
            word.ballot == ours.ballot
            and ours.ballot[1] == self.rank
            and not ours.proposal
            and now - self._opened_at > self.rules.ballot
        ):
            return  # promises for what we wanted a while ago: a fresh ballot is to ask for them
        if self.vote.merge(word):
            self._word_at = now
            self._voted()
        elif word != ours:
            self._push |= Push.VOTE  # it knows less than we
