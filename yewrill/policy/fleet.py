"""The workers as the list has them, which of them are ours to use first, and what holds of all together."""

from __future__ import annotations

import random
from collections.abc import Mapping

from yewrill.policy import interface as api
from yewrill.policy import rendezvous_hashing as rendezvous
from yewrill.policy.beliefs import Kind, Worker
from yewrill.policy.subset import LEAST_OWN, SHARERS, window

X_QUANTILE = 0.7  # x is this quantile of recent run times over the slots this dispatcher may fill
BLIND = 5000.0  # without a new load report for this long, start notices alone tell of room
HOMES = 4  # workers looked at for a key, besides those that any job looks at
MOST_KEYS = 4096  # keys whose homes are remembered
SLOTS_GUESS = (
    5.0  # slots of a worker until start notices tell: too few cost every job of the first seconds
)


class Fleet:
    def __init__(self, settings: api.Settings, seed: int, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.place = random.Random(
            seed
        ).random()  # of our window, where the settings give us no number
        self.now = 0.0
        # Without load reports, start notices alone tell how many slots a worker has.
        self.read_at = -1e18  # when a load report last said something new
        self.blind = settings.tells_start
        guess = SLOTS_GUESS if self.blind else 1.0
        self.kinds = [Kind(guess, guess) for _ in range(settings.kinds)]
        self.workers: dict[str, Worker] = {}
        pools = sorted({spec.kind for spec in settings.classes})
        # Usable workers by machine kind: in our zone and in others; of the near ones, ours and the rest.
        self.near, self.far, self.mine, self.rest = (
            {kind: list[Worker]() for kind in pools} for _ in range(4)
        )
        self.owed: list[Worker] = []
        self.zone_weights: Mapping[
            int, float
        ] = {}  # of the new work of some zones, by the fleet's plan
        self.homes: dict[tuple[int, str], list[Worker]] = {}  # of keys, until the list changes
        self.inflight = 0.0  # slots our attempts hold
        self.waiting = 0.0  # of these, asked for by jobs whose start was not told
        self.run_quantile = 0.0
        self.run_sum = self.square_sum = 0.0
        self.residual = 0.0  # mean time until a busy slot is free again
        self.trips: dict[int, float] = {}  # to the other zones
        self.surprise = 0.0  # how much longer than expected jobs wait at workers
        self.errors = 0.0  # the share of all jobs that fail
        self.wary = -1.0  # until when attempts are thought to be lost in silence

    def reconfigure(self, settings: api.Settings) -> None:
        self.settings = settings
        while len(self.kinds) < settings.kinds:
            self.kinds.append(Kind(self.kinds[0].slots, self.kinds[0].slots))

    # -- totals

    def slots(self) -> float:
        """The slots this dispatcher may fill: its started jobs' and its part of the free ones."""
        free = sum(max(0.0, kind.free) * kind.count for kind in self.kinds)
        return max(1.0, self.inflight - self.waiting + free / self.settings.dispatchers)

    def free_by_starts(self) -> None:
        """Free slots of an average worker where nothing reports them: those that starts have shown, less ours
        and as many for each other dispatcher."""
        self.blind = self.settings.tells_start and self.now - self.read_at > BLIND
        for kind in self.kinds if self.blind else ():
            taken = kind.inflight * self.settings.dispatchers / max(1, kind.count)
            kind.free = max(0.0, kind.slots - taken)

    def drain_time(self) -> float:
        """x: an upper quantile of recent run times over the slots this dispatcher may fill."""
        return self.run_quantile / self.slots()

    def trip(self, w: Worker) -> float:
        """How long after its send a job starts in a free slot, at the least: other zones are further away."""
        return self.trips.get(w.zone, 0.0)

    def waited(self, w: Worker, span: float, expected: float) -> None:
        """A start was told so long after the send, where so long a wait was expected at the worker."""
        if w.zone != self.settings.zone:
            trip = self.trips.get(w.zone, span)
            self.trips[w.zone] = trip + (0.25 if span > trip else -5.0)  # the lowest twentieth
        if not self.blind:
            off = min(500.0, max(-500.0, span - self.trip(w) - expected))
            self.surprise += 0.05 * (off - self.surprise)

    def hold(self, w: Worker, need: float) -> None:
        """Our attempts hold so many slots more there (negative: less)."""
        w.inflight += need
        w.kind.inflight += need
        self.inflight += need

    def ran(self, run: float) -> None:
        """Take a run time into what is known of all."""
        self.errors *= 0.99
        if self.run_quantile <= 0:
            self.run_quantile = run
        self.run_sum += run
        self.square_sum += run * run
        self.residual = self.square_sum / (2.0 * self.run_sum) if self.run_sum > 0 else run
        if self.run_sum > 300.0 * run and self.run_sum > 0:
            self.run_sum *= 0.5
            self.square_sum *= 0.5
        step = 0.02 * max(1.0, self.run_quantile)
        self.run_quantile += step * (X_QUANTILE if run > self.run_quantile else X_QUANTILE - 1.0)

    def homes_of(self, key: str, pool: int) -> list[Worker]:
        """Where jobs of a key go first. All dispatchers that use the same workers find the same ones."""
        found = self.homes.get((pool, key))
        if found is None:
            if len(self.homes) >= MOST_KEYS:
                self.homes.clear()
            found = rendezvous.homes(
                key, self.mine[pool] + self.far[pool], HOMES, lambda w: w.number
            )
            self.homes[pool, key] = found
        return found

    # -- the list

    def take(self, event: api.WorkerList) -> None:
        """Changes of the list, or the whole of it."""
        if event.form != api.ListForm.CHANGES:
            for w in self.workers.values():
                w.listed = False
        for entry in event.entries:
            self._entry(entry)
        for w in self.workers.values():
            w.usable = w.usable and w.listed
        self.regroup()

    def _entry(self, entry: api.WorkerEntry) -> None:
        w = self.workers.get(entry.worker)
        if w is None:
            kind = self.kinds[entry.kind] if entry.kind < len(self.kinds) else self.kinds[0]
            w = self.workers[entry.worker] = Worker(
                entry.worker,
                kind,
                entry.kind,
                min(0.0, entry.launched),
                self,
                kind.slots + 1.0,
                number=rendezvous.number(entry.worker),
            )
        if entry.launched != w.launched:
            w.launched = entry.launched
            w.start_cold(entry.launched)
            w.free_at = -1e18
            w.blocked = 0.0
            w.fails = 0
        w.zone, w.cell = entry.zone, entry.cell
        w.listed = entry.state != api.WorkerState.REMOVED
        # A drain is kept from the moment it is heard of.
        w.usable = entry.state == api.WorkerState.RUNNING

    def regroup(self) -> None:
        """Count the usable workers, and sort them by kind and zone."""
        for kind in self.kinds:
            kind.count = 0
        for pool in {spec.kind for spec in self.settings.classes} | set(self.near):
            self.near[pool] = []
            self.far[pool] = []
        self.homes.clear()
        cheap = self.settings.fees.get("cross_zone", 0.0) <= 0
        for w in self.workers.values():
            if w.usable:
                w.kind.count += self.zone_weights.get(w.zone, 1.0)
                side = self.near if cheap or w.zone == self.settings.zone else self.far
                for pool in (-1, w.kind_no):
                    if pool in side:
                        side[pool].append(w)
        self._share_out()

    def _share_out(self) -> None:
        """Part the near workers into those that this dispatcher uses first and the rest."""
        n = self.settings.dispatchers
        for w in self.workers.values():
            w.part = 1.0 / n  # of far ones; near ones follow
        for pool, side in self.near.items():
            if len(side) > LEAST_OWN and n > SHARERS:
                side.sort(key=lambda w: w.name)
            self.mine[pool], self.rest[pool] = window(side, n, self.settings.index, self.place)
            for w in self.rest[pool]:
                w.part = 0.0
            for w in self.mine[pool]:
                w.part = len(side) / (n * len(self.mine[pool]))
