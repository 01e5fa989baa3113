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
from yewrill.views.bootstrap import Bootstrap
from yewrill.views.format import (
    PAGE_ENTRIES,
    Heartbeat,
    JoinRequest,
    JoinResponse,
    Message,
    Page,
    PageRequest,
)
from yewrill.views.timing import NEVER, Edge, ViewCounters, ViewTiming
from yewrill.views.view import MAX_ENTRIES, Entry, PersistedView, View
from yewrill.views.view_member import ViewMember

Address = tuple[str, int]
MAX_CALLERS = 64
MAX_CHANGES = 64  # that nobody took yet
# Members of the list per interval between two calls of one that knows of no view; its longest in intervals
CALLERS_NEW, MAX_SLOWDOWN_NEW = 16.0, 12.0
SMALL_FLEET = 32  # that are no large fleet
# A list that has not grown by so many times for so many seconds is taken for whole
GROWTH, GROWTH_SECONDS = 1.1, 1.0
MAX_FETCH_SLOWDOWN = 2  # how far behind a joiner may be that fetches the list
PAGE_RETRY_SECONDS = 2.0  # seconds until a list is asked for again
CALLERS_PERSISTED, MAX_SLOWDOWN_PERSISTED = 48.0, 4.0


@dataclass(slots=True)
class Step:
    """What must be on disk first, then what is to be sent."""

    persist: PersistedView | None = None
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


def _removed_names(before: View, view: View) -> set[str]:
    """The names of those that are in the view before only."""
    return {e.name for e in before.entries if view.find(e.name, e.incarnation) is None}


class ViewMachine:
    """One process: in a view, joining one, or bootstrapping the first."""

    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        persisted: PersistedView | None,
        rng: random.Random,
        now: float,
        rules: ViewTiming | None = None,
    ):
        self.me, self.founders, self.persisted = me, tuple(founders), persisted
        self.rules, self._rng = rules or ViewTiming(), rng
        self.counts = ViewCounters()
        self.changes: list[
            tuple[float, View | None]
        ] = []  # what was installed, until somebody takes it
        self.stopped = ""  # why for good: "left", "conflict"
        self._known: dict[str, Address] = {}
        self._grew_at = NEVER  # when the list of those that live last grew much
        self._removals: dict[
            str, tuple[int, float]
        ] = {}  # how often it was taken out, and when last
        self._member: ViewMember | None = None
        self._known_view: View | None = None
        self._now = self._last_run = now
        self._beat_at = now + rng.random() * self.rules.interval
        self._leaving = False
        self._callers: dict[str, Edge] = {}
        self._notified: dict[Address, float] = {}  # who was told of a newer view, when
        self._fetch: _Fetch | None = None
        self._persist: PersistedView | None = None
        self._out: list[tuple[Address, Message]] = []
        self._outside(None)

    # -- what others see

    def view(self, now: float) -> View | None:
        """The view while we hold a lease in it."""
        inside = self._member
        return (
            inside.view
            if inside is not None
            and now < inside.lease_until
            and not self._leaving
            and not self.stopped
            else None
        )

    @property
    def installed(self) -> View | None:
        """The view that we are in, with a lease or without."""
        return self._member.view if self._member is not None else None

    @property
    def interval(self) -> float:
        """Seconds between two heartbeats at the size of the view that we know of."""
        known = self.installed or self._known_view
        return self.rules.beat(len(known) if known is not None else 1)

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if self.stopped:
            return float("inf")
        return min(self._beat_at, self._member.due if self._member is not None else float("inf"))

    def describe(self, now: float) -> str:
        """The state in one line, for operators."""
        if self.stopped:
            return self.stopped
        if self.installed is not None:
            return (
                "leaving"
                if self._leaving
                else "in"
                if now < self._member.lease_until
                else "no lease"
            )
        if self._refusal:
            return f"refused: {self._refusal}"
        if self._known_view is None and self._bootstrap.founder:
            missing = self._bootstrap.missing
            return "founding: waits for " + (", ".join(missing[:8]) or "agreement")
        return "joining"

    # -- events

    def set_known_members(self, addresses: dict[str, Address], now: float) -> None:
        """Who seems to live, from the membership: where to begin."""
        if len(addresses) > max(SMALL_FLEET, GROWTH * len(self._known)):
            self._grew_at = now
        self._known = dict(list(addresses.items())[:MAX_ENTRIES])

    def tick(self, now: float) -> Step:
        """Do what is due."""
        if self.stopped:
            return Step()
        self._advance_clock(now)
        if self.installed is None:
            if now >= self._beat_at:
                waits = self._now - self._grew_at < GROWTH_SECONDS
                self._beat_at = now + (self.interval if waits else self._call_interval())
                self._call()
        else:
            self._advance(now)
        return self._step()

    def _advance(self, now: float) -> None:
        inside = self._member
        inside.renew_lease(now)
        full = now >= self._beat_at
        if full:
            self._beat_at = max(self._beat_at + self.interval, now + 0.5 * self.interval)
            inside.observe(now, self._attested_joiners())
            self._callers = {
                name: c
                for name, c in self._callers.items()
                if now - c.last_received < 8.0 * c.interval
            }
        if full or now >= inside.turn_at:
            inside.propose_if_due(now)
            self._voted()
        if full and self._member is not None:
            for edge, beat in self._member.beats(now):
                self._send(edge.entry.address, beat)
            for entry, beat in self._member.attestation_messages(now):
                self._send(entry.address, beat)

    def receive(self, now: float, what: Message, sender: str, address: Address) -> Step:
        """Take a message of an authenticated sender."""
        if self.stopped or sender == self.me.name:
            return Step()
        self._advance_clock(now)
        if isinstance(what, Heartbeat):
            self._take_beat(what, sender, address)
        elif isinstance(what, JoinRequest):
            if what.entry.name == sender:
                self._take_call(what, address)
        elif isinstance(what, JoinResponse):
            self._take_answer(what, sender, address)
        elif isinstance(what, PageRequest):
            self._take_ask(what, address)
        else:
            self._take_page(what)
        return self._step()

    def leave(self, now: float) -> Step:
        """Go by a planned change: no lease from here on. `standing` says "left" once it is done."""
        self._advance_clock(now)
        self._leaving = True
        if self.installed is None:
            self._stop("left")
        else:
            self._member.leaving = True
            self._member.publish()
            self._member.propose_if_due(now)
            self._voted()
        return self._step()

    def _advance_clock(self, now: float) -> None:
        """Note the time; where we come late, we were paused."""
        late = now - max(self.due, self._last_run)
        self._now, self._last_run = max(now, self._now), now
        if late > max(0.5, self.interval):
            self.counts.late += 1
            for caller in self._callers.values():
                caller.exclude_pause(late)
            if self._member is not None:
                self._member.exclude_pause(late, now)

    def _step(self) -> Step:
        if self._member is not None and not self.stopped:
            for edge, beat in self._member.pushes(self._now):
                self._send(edge.entry.address, beat)
        step = Step(self._persist, self._out)
        self._persist, self._out = None, []
        return step

    def _send(self, address: Address, message: Message) -> None:
        self._out.append((address, message))

    # -- from one view to the next

    def install(self, view: View, now: float) -> Step:
        """Be in a view that is known for certain: as the first one of a virtual network."""
        self._now = now
        self._move(view, None)
        return self._step()

    def _outside(self, seen: View | None) -> None:
        """Be in no view; `seen`: the one we know of."""
        self._member, self._known_view, self._refusal, self._fetch = None, seen, "", None
        self._reported_size = 0  # of the view that answers told of
        self._answers: dict[Address, float] = {}  # who answered our calls, when last
        self._bootstrap = Bootstrap(
            self.me,
            self.founders,
            self.persisted,
            max(2.0, 8.0 * self.rules.interval),
            self.rules.lease_for,
        )

    def _begin(self, view: View, rank: int, last: bytes | None) -> None:
        """Be in the next view. What we hold of a lease goes with us, if we know what changed."""
        before, now = self._member, self._now
        # The first view of all follows none; of one that was fetched, nobody knows what changed.
        lease_until, stale_leases, edges = NEVER, view.number > 1, {}
        if before is not None and last is not None:
            lease_until, edges = (
                before.lease_until,
                {edge.entry: edge for edge in before.edges.values()},
            )
            removed = _removed_names(before.view, view)
            for name in sorted(removed - before.left):
                self._record_removal(name)
            stale_leases = not removed <= before.left
        elif self._known_view is not None and last is not None:
            stale_leases = bool(_removed_names(self._known_view, view))
        self._member = ViewMember(
            view,
            rank,
            self.rules,
            self._rng,
            self.counts,
            now,
            last=last,
            lease_until=lease_until,
            stale_leases=stale_leases,
            edges=edges,
        )
        self._known_view, self._fetch, self._refusal = None, None, ""
        self.counts.installed += 1
        self.changes.append((now, view))
        del self.changes[:-MAX_CHANGES]
        self._callers = {
            n: c for n, c in self._callers.items() if view.find(n, c.entry.incarnation) is None
        }
        self._require_persisted(view)
        self._beat_at = min(self._beat_at, now + 0.02)
        if self._leaving:
            self._member.leaving = True
            self._member.publish()

    def _require_persisted(self, view: View) -> None:
        persisted = PersistedView(view.number, view.names)
        if self.persisted != persisted:
            self.persisted = self._persist = persisted

    def _voted(self) -> None:
        """Keep what we accepted, and go on to what is decided."""
        inside = self._member
        if inside.vote.accepted is not None:
            self._require_persisted(inside.view.next_view(inside.vote.accepted[1]))
        if inside.vote.decided is not None:
            self._move(inside.view.next_view(inside.vote.decided), inside.vote.decided)

    def _record_removal(self, name: str) -> None:
        times, at = self._removals.get(name, (0, NEVER))
        times = times + 1 if self._now - at < self.rules.remember else 1
        self._removals.pop(name, None)
        self._removals[name] = (times, self._now)
        if len(self._removals) > MAX_ENTRIES:
            del self._removals[next(iter(self._removals))]

    def _wait_seconds(self, name: str) -> float:
        """Seconds until one taken out may be vouched for."""
        times, at = self._removals.get(name, (0, NEVER))
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
        elif self._member is not None:
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
            self._known_view, self._fetch, self._refusal = view, None, ""
            self._answers.clear()
            self._beat_at = min(
                self._beat_at, self._now + self._rng.random() * self._call_interval()
            )

    def _stop(self, why: str) -> None:
        self.stopped, self._member = why, None

    # -- from others in views

    def _take_beat(self, beat: Heartbeat, sender: str, address: Address) -> None:
        inside = self._member
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
            edge.take(self._now, beat.received_ago_ms, beat.interval)
            edge.number = max(edge.number, beat.number)
        if beat.number > view.number:
            self._learn(beat.number, beat.digest, beat.last, address)
        elif beat.number < view.number:
            self._notify(address)
        elif rank is not None:
            try:
                inside.merge(self._now, beat, edge, sender)
            except (MalformedPayload, ValueError):
                self.counts.refused += 1
            self._voted()

    def _notify(self, address: Address) -> None:
        """Tell one that is behind, once a beat at most."""
        if self._now - self._notified.get(address, NEVER) < self.interval:
            return
        if len(self._notified) > MAX_ENTRIES:
            self._notified.clear()
        self._notified[address] = self._now
        self._send(address, self._answer("", -1, self.installed.number - 1))

    # -- those that are in none

    def _attested_joiners(self) -> tuple[Entry, ...]:
        """Whom we vouch for, in the order in which all members prefer them. Those that the others have not
        vouched for with us for long go behind: the rest does not wait for them."""
        now = self._now
        for caller in self._callers.values():
            if not self._can_attest(caller):
                caller.attested = None
            elif caller.attested is None:
                caller.attested = now
        ready = [c for c in self._callers.values() if c.attested is not None]
        ready.sort(
            key=lambda c: (
                now - c.attested > self.rules.patience,
                admission.sort_key(c.entry.name),
            )
        )
        return tuple(c.entry for c in ready)

    def _can_attest(self, c: Edge) -> bool:
        near = (
            c.calls >= 3
            and max(self._now - c.last_received, self._now - c.last_received_by_peer)
            < 4.0 * c.interval
            and c.link.state(self._now, self.rules.threshold, self.rules.max_silence)
            == LinkState.HEALTHY
        )
        return (
            near
            and self._wait_seconds(c.entry.name) <= 0.0
            and self._member.rank
            in self._member.view.observers_of(c.entry.name, c.entry.incarnation)
        )

    def _answer(
        self, refusal: str, received_ago_ms: int, number: int, last: bool = True
    ) -> JoinResponse:
        view = self.installed
        return JoinResponse(
            view.number,
            view.digest,
            received_ago_ms,
            refusal,
            self._member.last if last and number == view.number - 1 else None,
            len(view),
        )

    def _take_call(self, call: JoinRequest, address: Address) -> None:
        view, name = self.installed, call.entry.name
        if view is None:
            self._bootstrap.record(call, self._now)
            if call.wants and self._bootstrap.persisted is not None:
                self._send(address, self._call_to(address, self._bootstrap.persisted))
            self._try_bootstrap()
            return
        caller = self._callers.get(name)
        if caller is None or caller.entry != call.entry:
            if caller is None and not self._has_room_for(name):
                self._send(address, self._answer("", -1, call.number))
                return
            received_ago_ms = -1
            every = call.interval / 1000.0 or self.interval
            caller = self._callers[name] = Edge(call.entry, every, self._now)
            caller.last_received_by_peer = NEVER
        else:
            received_ago_ms = min(3_600_000, int(1000 * (self._now - caller.last_received)))
        caller.take(self._now, call.received_ago_ms, call.interval)
        # A caller speaks to many members: a part of them tell it the change, which may be long.
        last = admission.sends_change(self._member.rank, name)
        self._send(
            address, self._answer(self._objection(call.entry), received_ago_ms, call.number, last)
        )

    def _has_room_for(self, name: str) -> bool:
        """Whether a new caller is noted; the last in the order gives way to one before it."""
        if len(self._callers) < MAX_CALLERS:
            return True
        last = max(self._callers, key=admission.sort_key)
        if admission.sort_key(name) > admission.sort_key(last):
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
                and not any(rank in of for of in self._member.cut)
            ):
                return "name is taken"
        wait = self._wait_seconds(entry.name)
        return f"was taken out, waits {wait:.0f} s" if wait > 0.0 else ""

    def _call(self) -> None:
        """Speak to those that could take us in, or found a view with us."""
        if self._now - self._grew_at < GROWTH_SECONDS and not self._bootstrap.founder:
            return  # a whole fleet may be starting: how many are before us is not known yet
        seen, known = self._known_view, self._known
        to: dict[Address, None] = {}
        if seen is not None:
            to = {
                seen.entries[rank].address: None
                for rank in seen.observers_of(self.me.name, self.me.incarnation)
            }
        else:
            to = {known[name]: None for name in self._bootstrap.founders if name in known}
        others = [known[name] for name in sorted(known) if name != self.me.name]
        to |= dict.fromkeys(self._rng.sample(others, min(1, len(others))))
        to.pop(self.me.address, None)
        self._try_bootstrap()
        if self.installed is not None:
            return
        for address in to:
            self._send(address, self._call_to(address))
        self._ask()

    def _slowdown(self) -> int:
        """How far behind we are among those that join, in batches."""
        seen = self._known_view
        size = max(self._reported_size, 0 if seen is None else len(seen))
        joiners = [n for n in self._known if seen is None or seen.rank_of(n) is None]
        return admission.slowdown(size, self.me.name, joiners)

    def _call_interval(self) -> float:
        """Seconds between two calls: the longer, the more call beside us."""
        size = len(self._known)
        if self._bootstrap.founder and self._known_view is None:
            return self.interval
        if self._known_view is not None or self._reported_size:
            return self.rules.call * self._slowdown()
        if (
            self._bootstrap.persisted is not None
        ):  # founders wait for us, and count what is fresh only
            return self.interval * min(MAX_SLOWDOWN_PERSISTED, max(1.0, size / CALLERS_PERSISTED))
        return self.interval * min(MAX_SLOWDOWN_NEW, max(1.0, size / CALLERS_NEW))

    def _call_to(self, address: Address, names: PersistedView | None = None) -> JoinRequest:
        ago, bootstrap, seen = self._answers.get(address), self._bootstrap, self._known_view
        return JoinRequest(
            self.me,
            0 if seen is None else seen.number,
            int(1000 * self._call_interval()),
            -1 if ago is None else min(3_600_000, int(1000 * (self._now - ago))),
            0 if bootstrap.persisted is None else bootstrap.persisted.number,
            bootstrap.accept,
            names,
            bootstrap.wants > 0,
        )

    def _try_bootstrap(self) -> None:
        if self._known_view is not None:
            return
        persist, view = self._bootstrap.tick(self._now)
        if persist is not None:
            self.persisted = self._persist = persist
        if view is not None:
            self._move(view, None)

    def _take_answer(self, answer: JoinResponse, sender: str, address: Address) -> None:
        if self.installed is None:
            if address in self._answers or len(self._answers) < MAX_CALLERS:
                self._answers[address] = self._now
            self._refusal = answer.refusal
            self._reported_size = max(self._reported_size, answer.size)
        self._learn(answer.number, answer.digest, answer.last, address)

    def _learn(self, number: int, digest: bytes, last: bytes | None, address: Address) -> None:
        """There is a view of this number: take it, or ask for it."""
        ours = self.installed or self._known_view
        if ours is not None:
            if number <= ours.number:
                return
            if last is not None and number == ours.number + 1:
                view = ours.next_view(last)
                if view.digest == digest:
                    self._move(view, last)
                    return
        fetch = self._fetch
        newer = fetch is None or number > fetch.number
        if newer or self._now - fetch.at > PAGE_RETRY_SECONDS:
            self._fetch = _Fetch(number, address, self._now)
            # What follows ours is likely to be told as a change, with which our lease is carried over.
            follows = ours is not None and number == ours.number + 1
            if (not newer or not follows) and self._may_fetch():
                self._send(address, PageRequest(number, 0))

    def _may_fetch(self) -> bool:
        """Whether a list is worth its bytes: those that join much later will need another one."""
        if self.installed is not None or self._bootstrap.founder:
            return True
        return self._slowdown() <= MAX_FETCH_SLOWDOWN

    def _ask(self) -> None:
        fetch = self._fetch
        if fetch is not None and self._may_fetch():
            missing = [page for page in range(fetch.pages) if page not in fetch.got][:8]
            for page in missing:
                self._send(fetch.source, PageRequest(fetch.number, page))

    def _take_ask(self, ask: PageRequest, address: Address) -> None:
        view = self.installed
        if view is None or ask.number > view.number:
            return
        pages = (len(view) + PAGE_ENTRIES - 1) // PAGE_ENTRIES
        page = ask.page if ask.number == view.number else 0
        if page < pages:
            entries = view.entries[page * PAGE_ENTRIES : page * PAGE_ENTRIES + PAGE_ENTRIES]
            self._send(address, Page(view.number, view.digest, page, pages, entries))

    def _take_page(self, page: Page) -> None:
        fetch, ours = self._fetch, self.installed or self._known_view
        if (
            fetch is None
            or page.number < fetch.number
            or ours is not None
            and page.number <= ours.number
        ):
            return
        if page.number != fetch.number or page.digest != fetch.digest:
            # Who joins stands at the end: full pages of the view before are likely to be the same.
            fetch.got = {at: got for at, got in fetch.got.items() if len(got) == PAGE_ENTRIES}
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
