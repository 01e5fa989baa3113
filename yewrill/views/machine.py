"""One member's part in the views, pure: messages and the time in, what to keep and messages out.

In a view it beats along its edges, publishes a register of those that are not well, votes on the next view,
and answers the roll-call that gives its lease. In none it founds the first with the other founders, or calls
the members of one until they vouch for it. docs/views-design.md has the whole. Seconds of one steady clock.

- *Late ourselves.* Whoever comes to a tick or a message late was paused: that span is taken out of all links,
  and nothing is proposed before it has heard again. Its lease has run out by the clock.
- *Kept first.* A `Step`'s `keep` is on disk before its messages go: they say that we accepted it.
- *One behind at most.* A lease is carried into the next view. Whoever accepted the next view signs no more
  rounds in this one, and a view is followed by another only once all of it are there, or once a lease has
  passed: so nobody acts by a view two back.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from yewrill.membership.evidence import LinkState
from yewrill.membership.parts import MalformedPayload
from yewrill.views import admission
from yewrill.views.format import PAGE, Answer, Ask, Beat, Call, Message, Page
from yewrill.views.founding import Founding
from yewrill.views.inside import Inside
from yewrill.views.rules import NEVER, Counts, Edge, Rules
from yewrill.views.view import MOST_ENTRIES, Entry, Kept, View

Address = tuple[str, int]
MOST_CALLERS = 64
MOST_CHANGES = 64  # that nobody took yet
# Members of the list per interval between two calls of one that knows of no view; its longest in intervals
CALLERS_NEW, MOST_STRETCH_NEW = 16.0, 12.0
FEW_KNOWN = 32  # that are no large fleet
# A list that has not grown by so many times for so many seconds is taken for whole
GROWTH, GROWTH_S = 1.1, 1.0
FETCH_STRETCH = 2  # how far behind a joiner may be that fetches the list
PAGES_AGAIN = 2.0  # seconds until a list is asked for again
CALLERS_KEPT, MOST_STRETCH_KEPT = 48.0, 4.0


@dataclass(slots=True)
class Step:
    """What must be on disk first, then what is to be sent."""

    keep: Kept | None = None
    messages: list[tuple[Address, Message]] = field(default_factory=list)


@dataclass(slots=True)
class _Fetch:
    """A list that is asked for in pages."""

    number: int
    source: Address
    at: float
    digest: bytes = b""
    pages: int = 1
    got: dict[int, tuple[Entry, ...]] = field(default_factory=dict)


def _gone(before: View, view: View) -> set[str]:
    """The names of those that are in the view before only."""
    return {e.name for e in before.entries if view.find(e.name, e.incarnation) is None}


class Machine:
    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        kept: Kept | None,
        rng: random.Random,
        now: float,
        rules: Rules | None = None,
    ):
        self.me, self.founders, self.kept = me, tuple(founders), kept
        self.rules, self._rng = rules or Rules(), rng
        self.counts = Counts()
        self.changes: list[
            tuple[float, View | None]
        ] = []  # what was installed, until somebody takes it
        self.stopped = ""  # why for good: "left", "conflict"
        self._known: dict[str, Address] = {}
        self._grew_at = NEVER  # when the list of those that live last grew much
        self._waits: dict[str, tuple[int, float]] = {}  # how often it was taken out, and when last
        self._inside: Inside | None = None
        self._seen: View | None = None
        self._now = self._looked = now
        self._beat_at = now + rng.random() * self.rules.interval
        self._leaving = False
        self._callers: dict[str, Edge] = {}
        self._told: dict[Address, float] = {}  # who was told of a newer view, when
        self._fetch: _Fetch | None = None
        self._keep: Kept | None = None
        self._out: list[tuple[Address, Message]] = []
        self._outside(None)

    # -- what others see

    def view(self, now: float) -> View | None:
        """The view while we hold a lease in it."""
        inside = self._inside
        return (
            inside.view
            if inside is not None and now < inside.lease and not self._leaving and not self.stopped
            else None
        )

    @property
    def installed(self) -> View | None:
        """The view that we are in, with a lease or without."""
        return self._inside.view if self._inside is not None else None

    @property
    def interval(self) -> float:
        known = self.installed or self._seen
        return self.rules.beat(len(known) if known is not None else 1)

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if self.stopped:
            return float("inf")
        return min(self._beat_at, self._inside.due if self._inside is not None else float("inf"))

    def standing(self, now: float) -> str:
        """In one line for people."""
        if self.stopped:
            return self.stopped
        if self.installed is not None:
            return "leaving" if self._leaving else "in" if now < self._inside.lease else "no lease"
        if self._why_not:
            return f"refused: {self._why_not}"
        if self._seen is None and self._founding.founder:
            missing = self._founding.missing
            return "founding: waits for " + (", ".join(missing[:8]) or "agreement")
        return "joining"

    # -- events

    def know(self, addresses: dict[str, Address], now: float) -> None:
        """Who seems to live, from the membership: where to begin."""
        if len(addresses) > max(FEW_KNOWN, GROWTH * len(self._known)):
            self._grew_at = now
        self._known = dict(list(addresses.items())[:MOST_ENTRIES])

    def tick(self, now: float) -> Step:
        if self.stopped:
            return Step()
        self._wake(now)
        if self.installed is None:
            if now >= self._beat_at:
                waits = self._now - self._grew_at < GROWTH_S
                self._beat_at = now + (self.interval if waits else self._call_interval())
                self._call()
        else:
            self._go_on(now)
        return self._step()

    def _go_on(self, now: float) -> None:
        inside = self._inside
        inside.roll(now)
        full = now >= self._beat_at
        if full:
            self._beat_at = max(self._beat_at + self.interval, now + 0.5 * self.interval)
            inside.observe(now, self._joiners())
            self._callers = {
                name: c for name, c in self._callers.items() if now - c.heard < 8.0 * c.interval
            }
        if full or now >= inside.turn_at:
            inside.look(now)
            self._voted()
        if full and self._inside is not None:
            for edge, beat in self._inside.beats(now):
                self._say(edge.entry.address, beat)
            for entry, beat in self._inside.vouches(now):
                self._say(entry.address, beat)

    def receive(self, now: float, what: Message, sender: str, address: Address) -> Step:
        """Take a message of an authenticated sender."""
        if self.stopped or sender == self.me.name:
            return Step()
        self._wake(now)
        if isinstance(what, Beat):
            self._take_beat(what, sender, address)
        elif isinstance(what, Call):
            if what.entry.name == sender:
                self._take_call(what, address)
        elif isinstance(what, Answer):
            self._take_answer(what, sender, address)
        elif isinstance(what, Ask):
            self._take_ask(what, address)
        else:
            self._take_page(what)
        return self._step()

    def leave(self, now: float) -> Step:
        """Go by a planned change: no lease from here on. `standing` says "left" once it is done."""
        self._wake(now)
        self._leaving = True
        if self.installed is None:
            self._stop("left")
        else:
            self._inside.leaving = True
            self._inside.publish()
            self._inside.look(now)
            self._voted()
        return self._step()

    def _wake(self, now: float) -> None:
        """Note the time; where we come late, we were paused."""
        late = now - max(self.due, self._looked)
        self._now, self._looked = max(now, self._now), now
        if late > max(0.5, self.interval):
            self.counts.late += 1
            for caller in self._callers.values():
                caller.forgive(late)
            if self._inside is not None:
                self._inside.forgive(late, now)

    def _step(self) -> Step:
        if self._inside is not None and not self.stopped:
            for edge, beat in self._inside.pushes(self._now):
                self._say(edge.entry.address, beat)
        step = Step(self._keep, self._out)
        self._keep, self._out = None, []
        return step

    def _say(self, address: Address, message: Message) -> None:
        self._out.append((address, message))

    # -- from one view to the next

    def take(self, view: View, now: float) -> Step:
        """Be in a view that is known for certain: as the first one of a virtual network."""
        self._now = now
        self._move(view, None)
        return self._step()

    def _outside(self, seen: View | None) -> None:
        """Be in no view; `seen`: the one we know of."""
        self._inside, self._seen, self._why_not, self._fetch = None, seen, "", None
        self._told_size = 0  # of the view that answers told of
        self._answers: dict[Address, float] = {}  # who answered our calls, when last
        self._founding = Founding(
            self.me,
            self.founders,
            self.kept,
            max(2.0, 8.0 * self.rules.interval),
            self.rules.lease_for,
        )

    def _begin(self, view: View, rank: int, last: bytes | None) -> None:
        """Be in the next view. What we hold of a lease goes with us, if we know what changed."""
        before, now = self._inside, self._now
        # The first view of all follows none; of one that was fetched, nobody knows what changed.
        lease, crashed, edges = NEVER, view.number > 1, {}
        if before is not None and last is not None:
            lease, edges = before.lease, {edge.entry: edge for edge in before.edges.values()}
            gone = _gone(before.view, view)
            for name in sorted(gone - before.left):
                self._note_out(name)
            crashed = not gone <= before.left
        elif self._seen is not None and last is not None:
            crashed = bool(_gone(self._seen, view))
        self._inside = Inside(
            view,
            rank,
            self.rules,
            self._rng,
            self.counts,
            now,
            last=last,
            lease=lease,
            crashed=crashed,
            edges=edges,
        )
        self._seen, self._fetch, self._why_not = None, None, ""
        self.counts.installed += 1
        self.changes.append((now, view))
        del self.changes[:-MOST_CHANGES]
        self._callers = {
            n: c for n, c in self._callers.items() if view.find(n, c.entry.incarnation) is None
        }
        self._must_keep(view)
        self._beat_at = min(self._beat_at, now + 0.02)
        if self._leaving:
            self._inside.leaving = True
            self._inside.publish()

    def _must_keep(self, view: View) -> None:
        kept = Kept(view.number, view.names)
        if self.kept != kept:
            self.kept = self._keep = kept

    def _voted(self) -> None:
        """Keep what we accepted, and go on to what is decided."""
        inside = self._inside
        if inside.vote.accepted is not None:
            self._must_keep(inside.view.after(inside.vote.accepted[1]))
        if inside.vote.decided is not None:
            self._move(inside.view.after(inside.vote.decided), inside.vote.decided)

    def _note_out(self, name: str) -> None:
        times, at = self._waits.get(name, (0, NEVER))
        times = times + 1 if self._now - at < self.rules.remember else 1
        self._waits.pop(name, None)
        self._waits[name] = (times, self._now)
        if len(self._waits) > MOST_ENTRIES:
            del self._waits[next(iter(self._waits))]

    def _wait(self, name: str) -> float:
        """Seconds until one taken out may be vouched for."""
        times, at = self._waits.get(name, (0, NEVER))
        if not times:
            return 0.0
        return (
            at
            + min(self.rules.longest_wait, self.rules.first_wait * 2.0 ** (times - 1))
            - self._now
        )

    def _move(self, view: View, last: bytes | None) -> None:
        """A higher view is known: it is ours, or we are out of it."""
        rank = view.find(self.me.name, self.me.incarnation)
        if rank is not None:
            self._begin(view, rank, last)
        elif self._leaving:
            self._stop("left")
        elif self._inside is not None:
            self.counts.taken_out += 1
            self.changes.append((self._now, None))
            self.me = Entry(
                self.me.name,
                self._rng.getrandbits(47) + 1,
                self.me.address,
                self.me.zone,
                self.me.can,
            )
            self._outside(view)
        else:
            self._seen, self._fetch, self._why_not = view, None, ""
            self._answers.clear()
            self._beat_at = min(
                self._beat_at, self._now + self._rng.random() * self._call_interval()
            )

    def _stop(self, why: str) -> None:
        self.stopped, self._inside = why, None

    # -- from others in views

    def _take_beat(self, beat: Beat, sender: str, address: Address) -> None:
        inside = self._inside
        if inside is None:
            self._learn(beat.number, beat.digest, beat.last, address)
            return
        view, rank = inside.view, inside.view.find(sender, beat.incarnation)
        edge = inside.edges.get(rank) if rank is not None else None
        if beat.number == view.number and beat.digest != view.digest:
            self.counts.conflict += 1
            self._stop("conflict")
            return
        if edge is not None:
            edge.take(self._now, beat.heard, beat.interval)
            edge.number = max(edge.number, beat.number)
        if beat.number > view.number:
            self._learn(beat.number, beat.digest, beat.last, address)
        elif beat.number < view.number:
            self._tell(address)
        elif rank is not None:
            try:
                inside.merge(self._now, beat, edge, sender)
            except (MalformedPayload, ValueError):
                self.counts.refused += 1
            self._voted()

    def _tell(self, address: Address) -> None:
        """Tell one that is behind, once a beat at most."""
        if self._now - self._told.get(address, NEVER) < self.interval:
            return
        if len(self._told) > MOST_ENTRIES:
            self._told.clear()
        self._told[address] = self._now
        self._say(address, self._answer("", -1, self.installed.number - 1))

    # -- those that are in none

    def _joiners(self) -> tuple[Entry, ...]:
        """Whom we vouch for, in the order in which all members prefer them. Those that the others have not
        vouched for with us for long go behind: the rest does not wait for them."""
        now = self._now
        for caller in self._callers.values():
            if not self._vouches(caller):
                caller.vouched = None
            elif caller.vouched is None:
                caller.vouched = now
        ready = [c for c in self._callers.values() if c.vouched is not None]
        ready.sort(
            key=lambda c: (
                now - c.vouched > self.rules.patience,
                admission.order(c.entry.name),
            )
        )
        return tuple(c.entry for c in ready)

    def _vouches(self, c: Edge) -> bool:
        near = (
            c.calls >= 3
            and max(self._now - c.heard, self._now - c.word) < 4.0 * c.interval
            and c.link.state(self._now, self.rules.threshold, self.rules.most_silence)
            == LinkState.HEALTHY
        )
        return (
            near
            and self._wait(c.entry.name) <= 0.0
            and self._inside.rank in self._inside.view.places(c.entry.name, c.entry.incarnation)
        )

    def _answer(self, why_not: str, heard: int, number: int, last: bool = True) -> Answer:
        view = self.installed
        return Answer(
            view.number,
            view.digest,
            heard,
            why_not,
            self._inside.last if last and number == view.number - 1 else None,
            len(view),
        )

    def _take_call(self, call: Call, address: Address) -> None:
        view, name = self.installed, call.entry.name
        if view is None:
            self._founding.hear(call, self._now)
            if call.wants and self._founding.kept is not None:
                self._say(address, self._call_to(address, self._founding.kept))
            self._found()
            return
        caller = self._callers.get(name)
        if caller is None or caller.entry != call.entry:
            if caller is None and not self._has_room_for(name):
                self._say(address, self._answer("", -1, call.number))
                return
            heard = -1
            every = call.interval / 1000.0 or self.interval
            caller = self._callers[name] = Edge(call.entry, every, self._now)
            caller.word = NEVER
        else:
            heard = min(3_600_000, int(1000 * (self._now - caller.heard)))
        caller.take(self._now, call.heard, call.interval)
        # A caller speaks to many members: a part of them tell it the change, which may be long.
        last = admission.tells(self._inside.rank, name)
        self._say(address, self._answer(self._objection(call.entry), heard, call.number, last))

    def _has_room_for(self, name: str) -> bool:
        """Whether a new caller is noted; the last in the order gives way to one before it."""
        if len(self._callers) < MOST_CALLERS:
            return True
        last = max(self._callers, key=admission.order)
        if admission.order(name) > admission.order(last):
            return False
        del self._callers[last]
        return True

    def _objection(self, entry: Entry) -> str:
        """Why one that calls is not vouched for yet, "" where nothing speaks against it."""
        rank = self.installed.rank_of(entry.name)
        if rank is not None:
            there = self.installed.entries[rank]
            if (
                there.incarnation != entry.incarnation
                and there.address != entry.address
                and not any(rank in of for of in self._inside.judged)
            ):
                return "name is taken"
        wait = self._wait(entry.name)
        return f"was taken out, waits {wait:.0f} s" if wait > 0.0 else ""

    def _call(self) -> None:
        """Speak to those that could take us in, or found a view with us."""
        if self._now - self._grew_at < GROWTH_S and not self._founding.founder:
            return  # a whole fleet may be starting: how many are before us is not known yet
        seen, known = self._seen, self._known
        to: dict[Address, None] = {}
        if seen is not None:
            to = {
                seen.entries[rank].address: None
                for rank in seen.places(self.me.name, self.me.incarnation)
            }
        else:
            to = {known[name]: None for name in self._founding.founders if name in known}
        others = [known[name] for name in sorted(known) if name != self.me.name]
        to |= dict.fromkeys(self._rng.sample(others, min(1, len(others))))
        to.pop(self.me.address, None)
        self._found()
        if self.installed is not None:
            return
        for address in to:
            self._say(address, self._call_to(address))
        self._ask()

    def _stretch(self) -> int:
        """How far behind we are among those that join, in batches."""
        seen = self._seen
        size = max(self._told_size, 0 if seen is None else len(seen))
        joiners = [n for n in self._known if seen is None or seen.rank_of(n) is None]
        return admission.stretch(size, self.me.name, joiners)

    def _call_interval(self) -> float:
        """Seconds between two calls: the longer, the more call beside us."""
        size = len(self._known)
        if self._founding.founder and self._seen is None:
            return self.interval
        if self._seen is not None or self._told_size:
            return self.rules.call * self._stretch()
        if self._founding.kept is not None:  # founders wait for us, and count what is fresh only
            return self.interval * min(MOST_STRETCH_KEPT, max(1.0, size / CALLERS_KEPT))
        return self.interval * min(MOST_STRETCH_NEW, max(1.0, size / CALLERS_NEW))

    def _call_to(self, address: Address, names: Kept | None = None) -> Call:
        ago, founding, seen = self._answers.get(address), self._founding, self._seen
        return Call(
            self.me,
            0 if seen is None else seen.number,
            int(1000 * self._call_interval()),
            -1 if ago is None else min(3_600_000, int(1000 * (self._now - ago))),
            0 if founding.kept is None else founding.kept.number,
            founding.accept,
            names,
            founding.wants > 0,
        )

    def _found(self) -> None:
        if self._seen is not None:
            return
        keep, view = self._founding.tick(self._now)
        if keep is not None:
            self.kept = self._keep = keep
        if view is not None:
            self._move(view, None)

    def _take_answer(self, answer: Answer, sender: str, address: Address) -> None:
        if self.installed is None:
            if address in self._answers or len(self._answers) < MOST_CALLERS:
                self._answers[address] = self._now
            self._why_not = answer.why_not
            self._told_size = max(self._told_size, answer.size)
        self._learn(answer.number, answer.digest, answer.last, address)

    def _learn(self, number: int, digest: bytes, last: bytes | None, address: Address) -> None:
        """There is a view of this number: take it, or ask for it."""
        ours = self.installed or self._seen
        if ours is not None:
            if number <= ours.number:
                return
            if last is not None and number == ours.number + 1:
                view = ours.after(last)
                if view.digest == digest:
                    self._move(view, last)
                    return
        fetch = self._fetch
        newer = fetch is None or number > fetch.number
        if newer or self._now - fetch.at > PAGES_AGAIN:
            self._fetch = _Fetch(number, address, self._now)
            # What follows ours is likely to be told as a change, with which our lease is carried over.
            follows = ours is not None and number == ours.number + 1
            if (not newer or not follows) and self._may_fetch():
                self._say(address, Ask(number, 0))

    def _may_fetch(self) -> bool:
        """Whether a list is worth its bytes: those that join much later will need another one."""
        if self.installed is not None or self._founding.founder:
            return True
        return self._stretch() <= FETCH_STRETCH

    def _ask(self) -> None:
        fetch = self._fetch
        if fetch is not None and self._may_fetch():
            missing = [page for page in range(fetch.pages) if page not in fetch.got][:8]
            for page in missing:
                self._say(fetch.source, Ask(fetch.number, page))

    def _take_ask(self, ask: Ask, address: Address) -> None:
        view = self.installed
        if view is None or ask.number > view.number:
            return
        pages = (len(view) + PAGE - 1) // PAGE
        page = ask.page if ask.number == view.number else 0
        if page < pages:
            entries = view.entries[page * PAGE : page * PAGE + PAGE]
            self._say(address, Page(view.number, view.digest, page, pages, entries))

    def _take_page(self, page: Page) -> None:
        fetch, ours = self._fetch, self.installed or self._seen
        if (
            fetch is None
            or page.number < fetch.number
            or ours is not None
            and page.number <= ours.number
        ):
            return
        if page.number != fetch.number or page.digest != fetch.digest:
            # Who joins stands at the end: full pages of the view before are likely to be the same.
            fetch.got = {at: got for at, got in fetch.got.items() if len(got) == PAGE}
            fetch.number, fetch.digest = page.number, page.digest
        fetch.pages, fetch.at = page.pages, self._now
        fetch.got[page.page] = page.entries
        fetch.got = {at: got for at, got in fetch.got.items() if at < fetch.pages}
        if len(fetch.got) < fetch.pages:
            if page.page == 0 or len(fetch.got) % 8 == 0:
                self._ask()
            return
        view = View(fetch.number, sum((fetch.got.get(at, ()) for at in range(fetch.pages)), ()))
        if view.digest == fetch.digest and len(set(view.names)) == len(view):
            self._move(view, None)
        else:
            self._fetch = None
