"""What is believed of one worker: room, speed, errors, warmth and silence, from what its attempts show."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yewrill.policy.fleet import Fleet

REPORT_LAG = 200.0  # sends younger than this are taken not to be in a worker's report yet
TRUST = 0.6  # in a new report, against what is known of all
MISSING = 60.0  # a start notice later than this means that the job waits at the worker
KEPT = 1.0  # keys that a worker is thought to keep, for each of its slots
COLD_SAFETY = 0.5  # the part of the cold budget that is used
COLD_SAVED = 0.5  # of that, what may be saved up, in windows


@dataclass(eq=False, slots=True)
class Kind:
    """What is learned of a machine kind: slots of a worker, free slots and relative run time on average."""

    slots: float
    free: float
    ratio: float = 1.0
    count: float = 0  # of its usable workers; those of a zone that is left count by its share
    inflight: float = 0.0  # slots our attempts hold on all its workers


@dataclass(eq=False, slots=True)
class Worker:
    name: str
    kind: Kind
    kind_no: int
    launched: float
    fleet: Fleet
    cap: float  # most slots of it we fill: a restarted dispatcher's lost jobs may still run there
    zone: int = 0
    cell: int = 0
    usable: bool = False
    listed: bool = False
    cold_from: float = -1.0
    credit: float = 0.0  # of the cold budget, when it was worked out, and since when it is saved up
    credit_at: float = 0.0
    saved_from: float = 0.0
    inflight: float = 0.0  # slots held by our attempts, lost ones included for their expected time
    free: float = 0.0  # free slots by its last report, less what was sent since
    free_at: float = -1e18
    running: float = 0.0  # slots of our attempts whose start was told
    queue: list = field(default_factory=list)  # those not known to run, in the order of their sends
    refused: bool = False  # among its failures was a connection that did not come up
    waiting_since: float = 0.0
    ratio: float = 1.0  # run times here over the class's mean
    seen: float = 0.0
    errors: float = 0.0
    errors_at: float = 0.0
    blocked: float = 0.0  # nothing is sent before this time
    fails: int = 0
    fulls: int = 0  # times in a row that it sent a job back, without a sign of work between
    probing: bool = False
    sent_at: float = -1e18
    reading: tuple[float, ...] = ()  # its last load report
    part: float = 1.0  # the part of it that is ours; 0: others have it, and we only what they leave
    number: int = 0  # of its name, for hashing
    keys: dict[str, None] = field(default_factory=dict)  # of our last jobs there, the latest last
    owed: float = -1.0  # since when it has been back from operators' hands without a sign of life

    # -- room

    def late_start(self) -> float:
        """How long the first job in its queue has waited, 0: no longer than a start may take to be told."""
        late = self.fleet.now - self.waiting_since
        return late if late > MISSING + self.fleet.trip(self) else 0.0

    def room(self) -> float:
        """Free slots it is thought to have: its last report, fading into its kind's average."""
        fleet, kind, now = self.fleet, self.kind, self.fleet.now
        # Without a fresh report, what we have there ourselves against what we have on its peers tells most.
        even = kind.inflight / max(1, kind.count)
        if (
            fleet.blind
        ):  # one slot more than is known of is tried: only so is a larger worker learned of
            room = max(1.0, kind.free) + even - self.inflight
        else:  # reports average what was true seconds ago: our even part of it is ours all the same
            room = max(kind.free + even, kind.slots * self.part) - self.inflight
        span = max(200.0, fleet.run_quantile)
        if now - self.free_at < span:
            trust = TRUST * (1.0 - (now - self.free_at) / span)
            room = trust * self.free + (1.0 - trust) * room
        room = min(room, self.cap - self.inflight)
        # A start notice missing past a round trip: the worker is full, or takes work and does nothing.
        if self.queue and fleet.settings.tells_start and self.late_start():
            # Only while attempts are being lost in silence may one more job go there, to tell which it is.
            running = self.running * fleet.settings.dispatchers
            if len(self.queue) > 1 or now > fleet.wary or running > 0.5 * kind.slots:
                room = min(room, 0.0) - len(self.queue)
                if self.queue[0].request.need <= 1.0 <= self.running:
                    self.cap = min(
                        self.cap, self.running + 1.0
                    )  # as 'full' tells; a wide one may not fit
        return room

    def queued(self, spare: float) -> float:
        """How long a job would wait here, with so many slots to spare after it (negative: short of them)."""
        wait = (
            self.fleet.residual
            / self.kind.slots
            * (0.5 - spare if spare < 0 else 0.5 / (1.0 + spare))
        )
        return wait + self.late_start() if self.queue else wait

    def report(self, report: dict[str, float]) -> None:
        """Take a load report. The same one again is no news: what was sent and ended since then counts."""
        reading = tuple(report.values())
        if reading == self.reading:
            return
        self.reading = reading
        fleet, kind = self.fleet, self.kind
        free, held = report.get(fleet.settings.free_slots_field), report.get("inflight")
        if free is not None:
            if held is None:
                kind.slots += 0.3 * max(0.0, free - kind.slots)
            elif free < 0.5:
                free = min(0.0, kind.slots - held)  # the jobs that wait
            else:
                kind.slots += 0.1 * (free + held - kind.slots)  # of one moment: right, up or down
        elif held is not None:
            free = kind.slots - held
        elif "util" in report:
            free = kind.slots * (1.0 - report["util"])
        else:
            return
        fleet.read_at = self.free_at = fleet.now
        kind.free += 0.2 * (free - kind.free)
        self.cap = max(self.cap, free + self.inflight)
        self.free = free - 1.0 if fleet.now - self.sent_at < REPORT_LAG else free

    def fetched(self, key: str) -> None:
        """A job of this key goes there, and pushes out the key that has not been asked for the longest."""
        self.keys.pop(key, None)
        self.keys[key] = None
        if len(self.keys) > KEPT * self.kind.slots:
            del self.keys[next(iter(self.keys))]

    # -- speed and errors

    def pace(self) -> float:
        """Run time here over the class's mean: its own, leaning on its kind's while little is seen."""
        return (self.seen * self.ratio + 4.0 * self.kind.ratio) / (self.seen + 4.0)

    def ran(self, ratio: float, known: bool) -> None:
        """A job was served, in so many times its expected run time."""
        kind = self.kind
        if known:  # against a guess, every worker looks slow
            kind.ratio += 0.02 * (ratio - kind.ratio)
            self.ratio += (ratio - self.ratio) / min(8.0, self.seen + 1.0)
            self.seen = min(8.0, self.seen + 1.0)
        if self.errors:
            self.errors *= 0.8
        if self.cap < kind.slots + 2.0:
            self.cap = min(self.cap + 0.25, kind.slots + 2.0)

    def error_share(self) -> float:
        """Errors beyond what all workers show, fading so that a few jobs try it again."""
        fade = 0.5 ** ((self.fleet.now - self.errors_at) / 4000.0)
        return max(0.0, self.errors * fade - 2.0 * self.fleet.errors)

    def erred(self) -> None:
        self.errors = 0.4 + 0.6 * self.error_share()
        self.errors_at = self.fleet.now
        self.fleet.errors += 0.01 * (1.0 - self.fleet.errors)

    # -- cold starts

    def start_cold(self, since: float) -> None:
        fleet = self.fleet
        self.keys.clear()
        if fleet.now - since < fleet.settings.warm_after:
            self.cold_from = since
            self.credit_at = self.saved_from = fleet.now
            # Each dispatcher's part of the cold budget is often below one job: a random start of its
            # account lets the right number of dispatchers go first, without their agreeing.
            self.credit = fleet.rng.random() * max(spec.deadline for spec in fleet.settings.classes)

    def warmth(self) -> float:
        """The part of its capacity it has at least; 1 ends its time as a cold one."""
        age = self.fleet.now - self.cold_from
        warm = self.fleet.settings.warm_after
        if age >= warm:
            self.cold_from = -1.0
            return 1.0
        start = self.fleet.settings.start_capacity
        return max(start, start + (1.0 - start) * age / warm)

    def cold_room(self, work: float, warm: float) -> bool:
        """Whether this dispatcher's part of its budget as a cold worker has room for so much work."""
        s = self.fleet.settings
        now = self.fleet.now
        rate = s.cold_multiple * warm * self.kind.slots * COLD_SAFETY * self.part
        self.credit += (now - self.credit_at) * rate
        self.credit_at = now
        # What is over wraps: were it cut to one job, all dispatchers would hold one after a quiet time. So
        # the right number of them do, by the random start, and together hold what is kept, however many.
        kept = rate * COLD_SAVED * min(s.cold_window, now - self.saved_from)
        if self.credit > kept + work:
            self.credit = kept + (self.credit - kept) % work
        return self.credit >= work

    # -- signs of life and their absence

    def full(self, run: float) -> None:
        """It sent a job back unseen. The cap is learned here: no more of our jobs fit than are there now."""
        now = self.fleet.now
        self.cap = max(1.0, self.inflight)
        self.free = min(self.free, 0.0)
        self.free_at = now
        self.fulls = min(self.fulls + 1, 6)
        self.blocked = max(self.blocked, now + run / self.kind.slots * 2.0 ** (self.fulls - 1))

    def lost(self, refused: bool = False) -> None:
        """An attempt there was lost, or refused a connection: leave it alone, for longer each time. One bad
        connection is not a bad worker: only a second loss in a row, with no sign of life between, counts."""
        if not refused and not self.fails:
            self.fails = 1
            return
        self.refused = self.refused or refused
        self.fails = min(self.fails + 1, 5)
        self.blocked = self.fleet.now + 125.0 * 2**self.fails * (
            0.75 + 0.5 * self.fleet.rng.random()
        )

    def alive(self) -> None:
        self.fulls = 0
        if self.owed >= 0:
            self.owed = -1.0
            self.fleet.owed.remove(self)
        if self.fails:
            if self.refused and self.fails >= 3:
                self.start_cold(self.fleet.now)
            self.fails, self.refused = 0, False
            self.blocked = min(self.blocked, self.fleet.now)

    def replaced(self, since: float) -> None:
        """Back from operators' hands, most likely as another process: nothing learned of it holds."""
        self.blocked = self.errors = self.seen = 0.0
        self.fails, self.refused = 0, False
        self.ratio = 1.0
        self.cap = self.kind.slots + 1.0
        self.free_at = -1e18
        self.start_cold(since)
        if self.owed < 0:
            self.fleet.owed.append(self)
        self.owed = self.fleet.now
