"""One member's part in one view, pure: its edges, its register, the vote on what follows, the roll-call.

`Machine` brings it from one view to the next. Whatever is to be known of all goes round by the beats; what
has changed goes out of turn at once, each edge once in `push` seconds at most.
"""

from __future__ import annotations

import random
from zlib import crc32

from yewrill.views.agreement import NONE, Agreement
from yewrill.views.cut import judge, marks
from yewrill.views.format import (
    MOST_JOINERS,
    Beat,
    Register,
    round_of,
    wire_round,
    wire_word,
    word_of,
)
from yewrill.views.rollcall import Rollcall
from yewrill.views.rules import NEVER, Counts, Edge, Rules
from yewrill.views.view import Entry, View, value_of

MOST_BURST = 16  # registers in one beat
Ranks = frozenset[int]


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
        self.span = rules.lease_of(view)
        edges = edges or {}
        self.edges = {
            other: edges.get(view.entries[other]) or Edge(view.entries[other], beat, now)
            for other in view.edges(rank)
        }
        self.registers: dict[int, Register] = {}
        self.leaving = False
        self.left: set[str] = set()  # those that leave by their own word
        self.vote = Agreement(rank, len(view))
        self.judged: tuple[Ranks, Ranks] = frozenset(), frozenset()  # out, unstable
        self.turn_at = float("inf")
        self._roll = Rollcall(rank, len(view), now, beat, (1.0 + view.depth) * beat)
        self._turns = view.turns()
        self._sum = 0
        self._fresh: dict[
            int, int
        ] = {}  # registers that are to be passed on, in how many beats yet
        self._push, self._pushed = True, NEVER
        self._planned, self._planned_at, self._word_at, self._opened_at = b"", now, now, NEVER
        self._unstable: dict[int, float] = {}  # since when

    @property
    def due(self) -> float:
        return min(self.turn_at, self._pushed + self.rules.push if self._push else float("inf"))

    def forgive(self, span: float, now: float) -> None:
        """We were away for so long: what we see and want is of before."""
        for edge in self.edges.values():
            edge.forgive(span)
        self._planned_at = self._word_at = now

    # -- what goes out

    def pushes(self, now: float) -> list[tuple[Edge, Beat]]:
        """What has changed, if it is time to say so."""
        if not self._push or now < self._pushed + self.rules.push:
            return []
        self._pushed, self._push = now, False
        return [(edge, self._message(edge, now, push=True)) for edge in self.edges.values()]

    def beats(self, now: float) -> list[tuple[Edge, Beat]]:
        out = [(edge, self._message(edge, now)) for edge in self.edges.values()]
        for rank, times in list(self._fresh.items())[:MOST_BURST]:
            if times <= 1:
                del self._fresh[rank]
            else:
                self._fresh[rank] = times - 1
        return out

    def news(self, now: float) -> bytes | None:
        """The change that led here, while some may not have heard of it."""
        return self.last if now - self.began < self.span else None

    def _message(self, edge: Edge, now: float, push: bool = False) -> Beat:
        view = self.view
        send_round = push or len(view) <= self.rules.small or self._rng.random() < 0.5
        ranks = list(self._fresh)[:MOST_BURST]
        if edge.other_sum >= 2 and not push and len(self.registers) > len(ranks):
            more = [rank for rank in self.registers if rank not in self._fresh]
            ranks += self._rng.sample(more, min(MOST_BURST, len(more)))
        voting = self.vote.word.ballot > NONE
        return Beat(
            view.number,
            view.digest,
            view.entries[self.rank].incarnation,
            0 if push else int(1000 * self.interval),
            min(3_600_000, int(1000 * (now - edge.heard))),
            self._sum,
            wire_round(self._roll.round, len(view)) if send_round else None,
            tuple(self.registers[rank] for rank in ranks),
            wire_word(self.vote.word, len(view)) if voting else None,
            self.news(now),
        )

    # -- what is seen

    def observe(self, now: float, joiners: tuple[Entry, ...]) -> None:
        """Bring our register up to date: the edges, and those that we vouch for."""
        least, bad = self.rules.silence * self.interval / self.rules.interval, 0
        for place, edge in enumerate(self.edges.values()):
            bad |= edge.bad(now, self.rules, least) << place
        if 4 * bad.bit_count() > 3 * len(self.edges) and len(self.edges) > 1:
            bad = 0  # it is us: one cause, not eight
        self.publish(bad, joiners[:MOST_JOINERS])

    def publish(self, bad: int | None = None, joiners: tuple[Entry, ...] | None = None) -> None:
        ours = self.registers.get(self.rank) or Register(self.rank)
        say = Register(
            self.rank,
            ours.number + 1,
            ours.bad if bad is None else bad,
            ours.joiners if joiners is None else joiners,
            self.leaving,
        )
        if (say.bad, say.joiners, say.leaving) != (ours.bad, ours.joiners, ours.leaving):
            self._set(say)

    def _set(self, register: Register) -> None:
        known = self.registers.get(register.rank)
        for r in (known, register):
            if r is not None:
                self._sum ^= crc32(b"%d %d" % (r.rank, r.number))
        self.registers[register.rank] = register
        self._fresh[register.rank] = 3
        self._push = True
        if register.leaving:
            self.left.add(self.view.entries[register.rank].name)

    def _plan(self, now: float) -> tuple[bytes, bool]:
        """The change that the registers ask for, b"" for none, and whether it is by leaves only."""
        if not self.registers:
            self._unstable.clear()
            return b"", False
        view, edges = self.view, self.view.edges
        alerts, vouched, leaving = [], {}, set()
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
            return b"", False
        gone = out | leaving
        come = []
        for entry, by in vouched.items():
            places = view.places(entry.name, entry.incarnation)
            rank = view.rank_of(entry.name)
            if (rank is None or rank in gone) and len(by & set(places)) >= marks(len(places))[1]:
                come.append(entry)
        if not gone and not come:
            return b"", False
        return value_of(set(gone), come), bool(leaving) and not out - leaving and not come

    def look(self, now: float) -> None:
        """Propose the next view, if it is our turn."""
        rules, vote = self.rules, self.vote
        self.judged = frozenset(), frozenset()
        value, quick = self._plan(now)
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
        at = self._planned_at + (rules.push if quick else rules.settle * self.interval)
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
        self._push = True
        self._roll.frozen |= self.vote.accepted is not None

    def roll(self, now: float) -> None:
        """Open the next round, if it is time."""
        if self._roll.tick(now):
            self._push = True
            self._renew()

    def _renew(self) -> None:
        self.lease = max(self.lease, self._roll.proved + self.span)

    def merge(self, now: float, beat: Beat, edge: Edge | None) -> None:
        """Take what another of the same view knows. Raises Malformed and ValueError."""
        size = len(self.view)
        before = self._roll.round
        if beat.round is not None and self._roll.merge(now, round_of(beat.round, size)):
            self._push |= (
                before[:2] != self._roll.round[:2]
            )  # a new one goes round at once, bits by beats
            self._renew()
        changed = False
        for register in beat.registers:
            if (
                register.rank < size
                and register.rank != self.rank
                and register.number > getattr(self.registers.get(register.rank), "number", -1)
            ):
                self._set(register)
                changed = True
        if edge is not None and beat.interval:
            edge.other_sum = 0 if beat.sum == self._sum else edge.other_sum + 1
        if changed:
            self.look(now)
        if beat.word is not None:
            word = word_of(beat.word, size)
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
                self._push = True  # it knows less than we
        elif self.vote.word.ballot > NONE and not beat.interval:
            self._push = True
