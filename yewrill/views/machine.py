"""State machine of one process in the agreed views. It does no I/O: messages and the time go in, the view to
persist and the messages to send come out.

In a view, the process sends heartbeats along its edges, publishes a register (a report of its faulty edges),
votes on the next view, and takes part in the rounds that renew its lease. Outside a view, it bootstraps the
first one together with the other founders, or sends join requests to the members of a view until enough of
them attest this process (state that they exchange messages with it). See docs/views-design.md. Times are
seconds of one monotonic clock.

- *Local pauses.* A tick or message that comes late shows that this process was paused. The pause is left out
  of the evidence about every link, and this process proposes nothing before it has received messages again.
  The lease still expires by the clock.
- *Persist before send.* A `Step` is persisted before its messages are sent, because they tell others that
  this member has accepted the next view.
- *At most one view behind.* A lease is carried over into the next view. A member that has accepted the next
  view adds no bit to further renewal rounds of this view (`lease_renewal.py`), and a view is followed by
  another only once all its members have installed it, or once a lease has expired: so nobody acts by the view
  before the previous one.
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
MAX_TRACKED_JOINERS = 64
# Number of entries of `changes` that are kept until the caller takes them.
MAX_UNREAD_CHANGES = 64
# A process that knows of no view sends its join requests at an interval that grows with the list of members:
# each receiver should get about REQUESTS_PER_INTERVAL_NEW requests per heartbeat interval.
# MAX_SLOWDOWN_NEW limits the factor by which the interval grows.
REQUESTS_PER_INTERVAL_NEW = 16.0
MAX_SLOWDOWN_NEW = 12.0
# Size of the member list up to which its growth does not delay join requests.
SMALL_FLEET_MEMBERS = 32
# A list of members that has not grown by this factor for this time is taken for complete.
LIST_GROWTH_FACTOR = 1.1
LIST_STABLE_SECONDS = 1.0
# Largest slowdown (see admission.py) at which a joiner fetches the view; a slower one joins a later view.
MAX_FETCH_SLOWDOWN = 2
# Time without a received page after which the list of a view is fetched anew.
PAGE_RETRY_SECONDS = 2.0
# REQUESTS_PER_INTERVAL_NEW and MAX_SLOWDOWN_NEW, but for a process that has persisted a view.
# Such a process is slowed down less: the founders wait for it and count recent requests only.
REQUESTS_PER_INTERVAL_PERSISTED = 48.0
MAX_SLOWDOWN_PERSISTED = 4.0


@dataclass(slots=True)
class Step:
    """The view that the caller has to persist, and the messages to send after that."""

    persist: PersistedView | None = None
    messages: list[tuple[Address, Message]] = field(default_factory=list)


@dataclass(slots=True)
class _Fetch:
    """The list of a view while it is fetched in pages."""

    number: int
    source: Address
    progress_at: float
    digest: bytes = b""
    pages: int = 1
    received: dict[int, tuple[Entry, ...]] = field(default_factory=dict)


def _removed_names(before: View, view: View) -> set[str]:
    """Returns the names of the processes that are in `before` and not in `view`."""
    return {e.name for e in before.entries if view.find(e.name, e.incarnation) is None}


class ViewMachine:
    """State machine of one process: in a view, joining one, or bootstrapping the first."""

    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        persisted: PersistedView | None,
        rng: random.Random,
        now: float,
        timing: ViewTiming | None = None,
    ):
        self.me, self.founders, self.persisted = me, tuple(founders), persisted
        self.timing, self._rng = timing or ViewTiming(), rng
        self.counters = ViewCounters()
        # Time and view of each installation, None for a removal of this process; the caller clears the list.
        self.changes: list[tuple[float, View | None]] = []
        # Why the machine has stopped for good, "left" or "conflict"; "" while it runs.
        self.stopped = ""
        self._known_members: dict[str, Address] = {}
        # Time at which the list of members last grew by LIST_GROWTH_FACTOR.
        self._members_grew_at = NEVER
        # By name: number of recent removals, and time of the last one.
        self._removals: dict[str, tuple[int, float]] = {}
        self._member: ViewMember | None = None
        self._known_view: View | None = None
        self._now = self._last_run = now
        self._next_heartbeat_at = now + rng.random() * self.timing.interval
        self._leaving = False
        self._joiners: dict[str, Edge] = {}
        # Time at which each outdated peer was last told of the newer view.
        self._notified_at: dict[Address, float] = {}
        self._fetch: _Fetch | None = None
        self._persist: PersistedView | None = None
        self._outgoing: list[tuple[Address, Message]] = []
        self._reset_outside_view(None)

    # -- state

    def view(self, now: float) -> View | None:
        """Returns the view while this process holds a lease in it, else None."""
        member = self._member
        return (
            member.view
            if member is not None
            and now < member.lease_until
            and not self._leaving
            and not self.stopped
            else None
        )

    @property
    def installed(self) -> View | None:
        """The view that this process is in, with or without a lease; None outside a view."""
        return self._member.view if self._member is not None else None

    @property
    def interval(self) -> float:
        """Seconds between two heartbeats at the size of the known view."""
        view = self.installed or self._known_view
        return self.timing.interval_for(len(view) if view is not None else 1)

    @property
    def due(self) -> float:
        """Time at which `tick` must be called next."""
        if self.stopped:
            return float("inf")
        return min(
            self._next_heartbeat_at, self._member.due if self._member is not None else float("inf")
        )

    def describe(self, now: float) -> str:
        """Returns the state in one line, for operators."""
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
        if self._known_view is None and self._bootstrap.is_founder:
            missing = self._bootstrap.missing
            return "founding: waits for " + (", ".join(missing[:8]) or "agreement")
        return "joining"

    # -- events

    def set_known_members(self, addresses: dict[str, Address], now: float) -> None:
        """Sets the addresses of the live members, from the membership; join requests start from these."""
        if len(addresses) > max(SMALL_FLEET_MEMBERS, LIST_GROWTH_FACTOR * len(self._known_members)):
            self._members_grew_at = now
        self._known_members = dict(list(addresses.items())[:MAX_ENTRIES])

    def tick(self, now: float) -> Step:
        """Performs what is due: heartbeats, proposals, pushes and join requests."""
        if self.stopped:
            return Step()
        self._advance_clock(now)
        if self.installed is None:
            if now >= self._next_heartbeat_at:
                list_is_growing = self._now - self._members_grew_at < LIST_STABLE_SECONDS
                self._next_heartbeat_at = now + (
                    self.interval if list_is_growing else self._join_interval()
                )
                self._send_join_requests()
        else:
            self._advance(now)
        return self._collect_step()

    def _advance(self, now: float) -> None:
        member = self._member
        member.renew_lease(now)
        heartbeat_due = now >= self._next_heartbeat_at
        if heartbeat_due:
            self._next_heartbeat_at = max(
                self._next_heartbeat_at + self.interval, now + 0.5 * self.interval
            )
            member.observe(now, self._attested_joiners())
            self._joiners = {
                name: joiner
                for name, joiner in self._joiners.items()
                if now - joiner.last_received < 8.0 * joiner.interval
            }
        if heartbeat_due or now >= member.propose_at:
            member.propose_if_due(now)
            self._apply_vote()
        if heartbeat_due and self._member is not None:
            for edge, heartbeat in self._member.heartbeats(now):
                self._send(edge.entry.address, heartbeat)
            for entry, heartbeat in self._member.attestation_messages(now):
                self._send(entry.address, heartbeat)

    def receive(self, now: float, message: Message, sender: str, address: Address) -> Step:
        """Processes a message of an authenticated sender."""
        if self.stopped or sender == self.me.name:
            return Step()
        self._advance_clock(now)
        if isinstance(message, Heartbeat):
            self._receive_heartbeat(message, sender, address)
        elif isinstance(message, JoinRequest):
            if message.entry.name == sender:
                self._receive_join_request(message, address)
        elif isinstance(message, JoinResponse):
            self._receive_join_response(message, sender, address)
        elif isinstance(message, PageRequest):
            self._receive_page_request(message, address)
        else:
            self._receive_page(message)
        return self._collect_step()

    def leave(self, now: float) -> Step:
        """Gives up the lease and asks to be removed from the view; `stopped` is "left" once that is done."""
        self._advance_clock(now)
        self._leaving = True
        if self.installed is None:
            self._stop("left")
        else:
            self._member.leaving = True
            self._member.publish()
            self._member.propose_if_due(now)
            self._apply_vote()
        return self._collect_step()

    def _advance_clock(self, now: float) -> None:
        """Records the time. A late call means that this process was paused, which counts against no peer."""
        paused_seconds = now - max(self.due, self._last_run)
        self._now, self._last_run = max(now, self._now), now
        if paused_seconds > max(0.5, self.interval):
            self.counters.pauses += 1
            for joiner in self._joiners.values():
                joiner.exclude_pause(paused_seconds)
            if self._member is not None:
                self._member.exclude_pause(paused_seconds, now)

    def _collect_step(self) -> Step:
        if self._member is not None and not self.stopped:
            for edge, heartbeat in self._member.push_messages(self._now):
                self._send(edge.entry.address, heartbeat)
        step = Step(self._persist, self._outgoing)
        self._persist, self._outgoing = None, []
        return step

    def _send(self, address: Address, message: Message) -> None:
        self._outgoing.append((address, message))

    # -- changing views

    def install(self, view: View, now: float) -> Step:
        """Enters a view that was agreed on elsewhere, such as the first one of a simulated network."""
        self._now = now
        self._adopt_view(view, None)
        return self._collect_step()

    def _reset_outside_view(self, known_view: View | None) -> None:
        """Resets to being in no view; `known_view`: the latest one that this process knows of."""
        self._member, self._known_view, self._refusal, self._fetch = None, known_view, "", None
        self._reported_view_size = 0  # size of the view, as join responses report it
        # Time of the last join response from each address.
        self._responded_at: dict[Address, float] = {}
        self._bootstrap = Bootstrap(
            self.me,
            self.founders,
            self.persisted,
            max(2.0, 8.0 * self.timing.interval),
            self.timing.lease_for,
        )

    def _enter_view(self, view: View, rank: int, last_change: bytes | None) -> None:
        """Enters the next view. The lease is carried over if the change that led to it is known."""
        before, now = self._member, self._now
        # If the change is not known, some process may still hold a lease in the previous view.
        # The first view has no previous one.
        lease_until, stale_leases, edges = NEVER, view.number > 1, {}
        if before is not None and last_change is not None:
            lease_until, edges = (
                before.lease_until,
                {edge.entry: edge for edge in before.edges.values()},
            )
            removed = _removed_names(before.view, view)
            for name in sorted(removed - before.leaving_names):
                self._record_removal(name)
            stale_leases = not removed <= before.leaving_names
        elif self._known_view is not None and last_change is not None:
            stale_leases = bool(_removed_names(self._known_view, view))
        self._member = ViewMember(
            view,
            rank,
            self.timing,
            self._rng,
            self.counters,
            now,
            last_change=last_change,
            lease_until=lease_until,
            stale_leases=stale_leases,
            edges=edges,
        )
        self._known_view, self._fetch, self._refusal = None, None, ""
        self.counters.installed += 1
        self.changes.append((now, view))
        del self.changes[:-MAX_UNREAD_CHANGES]
        self._joiners = {
            name: joiner
            for name, joiner in self._joiners.items()
            if view.find(name, joiner.entry.incarnation) is None
        }
        self._require_persisted(view)
        self._next_heartbeat_at = min(self._next_heartbeat_at, now + 0.02)
        if self._leaving:
            self._member.leaving = True
            self._member.publish()

    def _require_persisted(self, view: View) -> None:
        persisted = PersistedView(view.number, view.names)
        if self.persisted != persisted:
            self.persisted = self._persist = persisted

    def _apply_vote(self) -> None:
        """Requires the view that this member has accepted to be persisted, and adopts a decided view."""
        member = self._member
        if member.vote.accepted is not None:
            self._require_persisted(member.view.next_view(member.vote.accepted[1]))
        if member.vote.decided is not None:
            self._adopt_view(member.view.next_view(member.vote.decided), member.vote.decided)

    def _record_removal(self, name: str) -> None:
        times, at = self._removals.get(name, (0, NEVER))
        times = times + 1 if self._now - at < self.timing.removal_retention else 1
        self._removals.pop(name, None)
        self._removals[name] = (times, self._now)
        if len(self._removals) > MAX_ENTRIES:
            del self._removals[next(iter(self._removals))]

    def _rejoin_delay(self, name: str) -> float:
        """Returns the seconds until a removed member may be attested again."""
        times, at = self._removals.get(name, (0, NEVER))
        if not times:
            return 0.0
        return (
            at
            + min(self.timing.max_rejoin_delay, self.timing.min_rejoin_delay * 2.0 ** (times - 1))
            - self._now
        )

    def _adopt_view(self, view: View, last_change: bytes | None) -> None:
        """Follows a view with a higher number: enters it, or resets if this process is not in it."""
        rank = view.find(self.me.name, self.me.incarnation)
        if rank is not None:
            self._enter_view(view, rank, last_change)
        elif self._leaving:
            self._stop("left")
        elif self._member is not None:
            self.counters.removed += 1
            self.changes.append((self._now, None))
            self.me = Entry(
                self.me.name,
                self._rng.getrandbits(47) + 1,
                self.me.address,
                self.me.zone,
                self.me.capabilities,
            )
            self._reset_outside_view(view)
        else:
            self._known_view, self._fetch, self._refusal = view, None, ""
            self._responded_at.clear()
            self._next_heartbeat_at = min(
                self._next_heartbeat_at, self._now + self._rng.random() * self._join_interval()
            )

    def _stop(self, reason: str) -> None:
        self.stopped, self._member = reason, None

    # -- heartbeats

    def _receive_heartbeat(self, heartbeat: Heartbeat, sender: str, address: Address) -> None:
        member = self._member
        if member is None:
            self._learn_of_view(heartbeat.number, heartbeat.digest, heartbeat.last_change, address)
            return
        view, rank = member.view, member.view.find(sender, heartbeat.incarnation)
        edge = member.edges.get(rank) if rank is not None else None
        if heartbeat.number == view.number and heartbeat.digest != view.digest:
            self.counters.conflicts += 1
            self._stop("conflict")
            return
        if edge is not None:
            edge.record_message(self._now, heartbeat.received_ago_ms, heartbeat.interval)
            edge.view_number = max(edge.view_number, heartbeat.number)
        if heartbeat.number > view.number:
            self._learn_of_view(heartbeat.number, heartbeat.digest, heartbeat.last_change, address)
        elif heartbeat.number < view.number:
            self._notify_outdated(address)
        elif rank is not None:
            try:
                member.merge(self._now, heartbeat, edge, sender)
            except (MalformedPayload, ValueError):
                self.counters.rejected += 1
            self._apply_vote()

    def _notify_outdated(self, address: Address) -> None:
        """Tells an outdated peer of the newer view, at most once per heartbeat interval."""
        if self._now - self._notified_at.get(address, NEVER) < self.interval:
            return
        if len(self._notified_at) > MAX_ENTRIES:
            self._notified_at.clear()
        self._notified_at[address] = self._now
        self._send(address, self._join_response("", -1, self.installed.number - 1))

    # -- joining

    def _attested_joiners(self) -> tuple[Entry, ...]:
        """Returns the joiners that this member attests, in the order that all members share.

        Joiners that other members have not attested in time go to the end, so that they don't hold up the
        others.
        """
        now = self._now
        for joiner in self._joiners.values():
            if not self._can_attest(joiner):
                joiner.attested_since = None
            elif joiner.attested_since is None:
                joiner.attested_since = now
        ready = [joiner for joiner in self._joiners.values() if joiner.attested_since is not None]
        ready.sort(
            key=lambda joiner: (
                now - joiner.attested_since > self.timing.unstable_timeout,
                admission.sort_key(joiner.entry.name),
            )
        )
        return tuple(joiner.entry for joiner in ready)

    def _can_attest(self, joiner: Edge) -> bool:
        reachable = (
            joiner.messages_received >= 3
            and max(self._now - joiner.last_received, self._now - joiner.last_received_by_peer)
            < 4.0 * joiner.interval
            and joiner.link.state(self._now, self.timing.phi_threshold, self.timing.max_silence)
            == LinkState.HEALTHY
        )
        return (
            reachable
            and self._rejoin_delay(joiner.entry.name) <= 0.0
            and self._member.rank
            in self._member.view.observers_of(joiner.entry.name, joiner.entry.incarnation)
        )

    def _join_response(
        self, refusal: str, received_ago_ms: int, number: int, include_change: bool = True
    ) -> JoinResponse:
        view = self.installed
        return JoinResponse(
            view.number,
            view.digest,
            received_ago_ms,
            refusal,
            self._member.last_change if include_change and number == view.number - 1 else None,
            len(view),
        )

    def _receive_join_request(self, request: JoinRequest, address: Address) -> None:
        view, name = self.installed, request.entry.name
        if view is None:
            self._bootstrap.record(request, self._now)
            if request.wants_names and self._bootstrap.persisted is not None:
                self._send(address, self._join_request(address, self._bootstrap.persisted))
            self._try_bootstrap()
            return
        joiner = self._joiners.get(name)
        if joiner is None or joiner.entry != request.entry:
            if joiner is None and not self._has_room_for(name):
                self._send(address, self._join_response("", -1, request.number))
                return
            received_ago_ms = -1
            interval = request.interval / 1000.0 or self.interval
            joiner = self._joiners[name] = Edge(request.entry, interval, self._now)
            joiner.last_received_by_peer = NEVER
        else:
            received_ago_ms = min(3_600_000, int(1000 * (self._now - joiner.last_received)))
        joiner.record_message(self._now, request.received_ago_ms, request.interval)
        # The joiner asks many members. Only some of them include the last change, which may be long.
        include_change = admission.sends_change(self._member.rank, name)
        self._send(
            address,
            self._join_response(
                self._refusal_for(request.entry), received_ago_ms, request.number, include_change
            ),
        )

    def _has_room_for(self, name: str) -> bool:
        """Returns whether a new joiner can be tracked, perhaps in place of the last in admission order."""
        if len(self._joiners) < MAX_TRACKED_JOINERS:
            return True
        last = max(self._joiners, key=admission.sort_key)
        if admission.sort_key(name) > admission.sort_key(last):
            return False
        del self._joiners[last]
        return True

    def _refusal_for(self, entry: Entry) -> str:
        """Returns why a joiner is not attested yet, "" if there is no such reason."""
        rank = self.installed.rank_of(entry.name)
        if rank is not None:
            existing = self.installed.entries[rank]
            if (
                existing.incarnation != entry.incarnation
                and existing.address != entry.address
                and not any(rank in ranks for ranks in self._member.cut)
            ):
                return "name is taken"
        wait = self._rejoin_delay(entry.name)
        return f"was taken out, waits {wait:.0f} s" if wait > 0.0 else ""

    def _send_join_requests(self) -> None:
        """Sends join requests: to the observers in the known view or the founders, and to a random member."""
        if (
            self._now - self._members_grew_at < LIST_STABLE_SECONDS
            and not self._bootstrap.is_founder
        ):
            # A whole fleet may be starting: this process does not know its place in the admission order yet.
            return
        known_view, known_members = self._known_view, self._known_members
        targets: dict[Address, None] = {}
        if known_view is not None:
            targets = {
                known_view.entries[rank].address: None
                for rank in known_view.observers_of(self.me.name, self.me.incarnation)
            }
        else:
            targets = {
                known_members[name]: None
                for name in self._bootstrap.founders
                if name in known_members
            }
        others = [known_members[name] for name in sorted(known_members) if name != self.me.name]
        targets |= dict.fromkeys(self._rng.sample(others, min(1, len(others))))
        targets.pop(self.me.address, None)
        self._try_bootstrap()
        if self.installed is not None:
            return
        for address in targets:
            self._send(address, self._join_request(address))
        self._request_pages()

    def _slowdown(self) -> int:
        """Returns by which factor this process slows down its requests, for the joiners ahead of it."""
        known_view = self._known_view
        size = max(self._reported_view_size, 0 if known_view is None else len(known_view))
        joiners = [
            name
            for name in self._known_members
            if known_view is None or known_view.rank_of(name) is None
        ]
        return admission.slowdown(size, self.me.name, joiners)

    def _join_interval(self) -> float:
        """Returns the seconds between two join requests; it grows with the number of other joiners."""
        size = len(self._known_members)
        if self._bootstrap.is_founder and self._known_view is None:
            return self.interval
        if self._known_view is not None or self._reported_view_size:
            return self.timing.join_interval * self._slowdown()
        if self._bootstrap.persisted is not None:
            return self.interval * min(
                MAX_SLOWDOWN_PERSISTED, max(1.0, size / REQUESTS_PER_INTERVAL_PERSISTED)
            )
        return self.interval * min(MAX_SLOWDOWN_NEW, max(1.0, size / REQUESTS_PER_INTERVAL_NEW))

    def _join_request(self, address: Address, names: PersistedView | None = None) -> JoinRequest:
        responded_at, bootstrap, known_view = (
            self._responded_at.get(address),
            self._bootstrap,
            self._known_view,
        )
        return JoinRequest(
            self.me,
            0 if known_view is None else known_view.number,
            int(1000 * self._join_interval()),
            -1 if responded_at is None else min(3_600_000, int(1000 * (self._now - responded_at))),
            0 if bootstrap.persisted is None else bootstrap.persisted.number,
            bootstrap.accepted_view,
            names,
            bootstrap.wanted_number > 0,
        )

    def _try_bootstrap(self) -> None:
        if self._known_view is not None:
            return
        persist, view = self._bootstrap.tick(self._now)
        if persist is not None:
            self.persisted = self._persist = persist
        if view is not None:
            self._adopt_view(view, None)

    def _receive_join_response(self, response: JoinResponse, sender: str, address: Address) -> None:
        if self.installed is None:
            if address in self._responded_at or len(self._responded_at) < MAX_TRACKED_JOINERS:
                self._responded_at[address] = self._now
            self._refusal = response.refusal
            self._reported_view_size = max(self._reported_view_size, response.size)
        self._learn_of_view(response.number, response.digest, response.last_change, address)

    def _learn_of_view(
        self, number: int, digest: bytes, last_change: bytes | None, address: Address
    ) -> None:
        """Adopts a newer view by its change, if that fits the known view; else fetches the view's list."""
        ours = self.installed or self._known_view
        if ours is not None:
            if number <= ours.number:
                return
            if last_change is not None and number == ours.number + 1:
                view = ours.next_view(last_change)
                if view.digest == digest:
                    self._adopt_view(view, last_change)
                    return
        fetch = self._fetch
        newer = fetch is None or number > fetch.number
        if newer or self._now - fetch.progress_at > PAGE_RETRY_SECONDS:
            self._fetch = _Fetch(number, address, self._now)
            # The view after the known one usually arrives as a change, with which the lease is carried over.
            follows = ours is not None and number == ours.number + 1
            if (not newer or not follows) and self._may_fetch():
                self._send(address, PageRequest(number, 0))

    def _may_fetch(self) -> bool:
        """Returns whether to fetch the list now; a joiner far behind in the order will need a later one."""
        if self.installed is not None or self._bootstrap.is_founder:
            return True
        return self._slowdown() <= MAX_FETCH_SLOWDOWN

    def _request_pages(self) -> None:
        fetch = self._fetch
        if fetch is not None and self._may_fetch():
            missing = [page for page in range(fetch.pages) if page not in fetch.received][:8]
            for page in missing:
                self._send(fetch.source, PageRequest(fetch.number, page))

    def _receive_page_request(self, request: PageRequest, address: Address) -> None:
        view = self.installed
        if view is None or request.number > view.number:
            return
        pages = (len(view) + PAGE_ENTRIES - 1) // PAGE_ENTRIES
        page = request.page if request.number == view.number else 0
        if page < pages:
            entries = view.entries[page * PAGE_ENTRIES : page * PAGE_ENTRIES + PAGE_ENTRIES]
            self._send(address, Page(view.number, view.digest, page, pages, entries))

    def _receive_page(self, page: Page) -> None:
        fetch, ours = self._fetch, self.installed or self._known_view
        if (
            fetch is None
            or page.number < fetch.number
            or ours is not None
            and page.number <= ours.number
        ):
            return
        if page.number != fetch.number or page.digest != fetch.digest:
            # Joiners are appended to the list, so full pages of an older view are likely to be unchanged.
            fetch.received = {
                index: entries
                for index, entries in fetch.received.items()
                if len(entries) == PAGE_ENTRIES
            }
            fetch.number, fetch.digest = page.number, page.digest
        fetch.pages, fetch.progress_at = page.pages, self._now
        fetch.received[page.page] = page.entries
        fetch.received = {
            index: entries for index, entries in fetch.received.items() if index < fetch.pages
        }
        if len(fetch.received) < fetch.pages:
            if page.page == 0 or len(fetch.received) % 8 == 0:
                self._request_pages()
            return
        view = View(
            fetch.number, sum((fetch.received.get(index, ()) for index in range(fetch.pages)), ())
        )
        if view.digest == fetch.digest and len(set(view.names)) == len(view):
            self._adopt_view(view, None)
        else:
            self._fetch = None
