"""Which worker, if any, takes a job now: the one with the earliest expected finish among a few with room."""

from __future__ import annotations

from yewrill.policy.admission import Admission
from yewrill.policy.beliefs import Worker
from yewrill.policy.fleet import Fleet
from yewrill.policy.requests import PendingRequest

SAMPLE = 8  # workers drawn at random for each choice, where there are more
QUEUE_PART = 0.3  # the part of the tightest time constraint that a job may queue at a worker
SETUP = 0.8  # what a job's key costs at a worker that is not thought to have it, in run times
OWED = 1500.0  # a worker back from operators' hands gets a job by then, even one that will be late
OWED_AGAIN = 500.0  # and another one after this time without a sign of life
GOLDEN = 0.6180339887  # multiples of it, less their whole parts, fill the range to 1 evenly


class Choice:
    def __init__(self, fleet: Fleet, admission: Admission):
        self.fleet = fleet
        self.admission = admission
        self.among = 0  # workers considered at the last choice

    def worker_for(self, request: PendingRequest, need: float) -> Worker | None:
        """The best worker thought to have room for so many slots, if there is one."""
        fleet = self.fleet
        settings = fleet.settings
        kind = request.spec.kind
        used = 1.0 - (request.due - fleet.now) / max(
            1.0, request.due - request.arrived
        )  # of its slack
        far = fleet.far[kind]
        left = {
            zone
            for zone, share in fleet.zone_weights.items()
            if request.order * GOLDEN % 1.0 >= share
        }
        cross = not fleet.near[kind] or settings.zone in left
        if far and not cross:
            # Crossing zones costs a fee; it pays once so much of the slack is used up.
            classes = settings.classes
            gain = request.spec.priority_weight * (1.0 - request.spec.late_weight_fraction)
            fee = (
                settings.fees.get("cross_zone", 0.0)
                * sum(c.priority_weight for c in classes)
                / len(classes)
            )
            cross = fee >= 0 and used >= min(0.8, fee / max(gain, 1e-9))
        candidates = [
            w
            for w in fleet.owed
            if (kind < 0 or w.kind_no == kind) and (cross or w.zone == settings.zone)
        ]
        candidates += self._some(fleet.mine[kind]) + (self._some(far) if cross else [])
        homes = fleet.homes_of(request.key, kind) if request.key else []
        if homes:  # a fetch costs more than another zone
            candidates = list(dict.fromkeys(candidates + homes))
        if left and all(w.zone in left for side in (fleet.near, fleet.far) for w in side[kind]):
            left.clear()  # there is nowhere else
        best = self._best(request, need, candidates, used, homes, left)
        if best is None and fleet.rest[kind]:  # ours have no room: whoever has
            best = self._best(request, need, self._some(fleet.rest[kind]), used, homes, left)
        return best

    def _some(self, group: list[Worker]) -> list[Worker]:
        return group if len(group) <= SAMPLE else self.fleet.rng.choices(group, k=SAMPLE)

    def _best(
        self,
        request: PendingRequest,
        need: float,
        candidates: list[Worker],
        used: float,
        homes: list[Worker],
        left: set[int],
    ) -> Worker | None:
        best = None
        best_finish = 1e18
        reason = "no worker"
        now, blind = self.fleet.now, self.fleet.blind
        self.among = len(candidates)
        part = (QUEUE_PART + request.spec.late_weight_fraction) * min(1.0, 2.0 - 2.0 * used)
        allowed = self.admission.order[0].limit * part - max(0.0, self.fleet.surprise)
        allowed = -1.0 if request.over else allowed
        for w in candidates:
            if (
                w.zone in left
                or not w.usable
                or w.blocked > now
                or (w is request.last and len(candidates) > 1)
            ):
                continue
            if request.ran_at is not None and not request.may_repeat(w, now):
                continue
            spare = w.room() - need
            if blind and w.inflight <= 0.0:
                spare = max(
                    spare, 0.0
                )  # nothing of ours is there: no place is better, however wide the job
            # Exception to waiting for a free slot: what is known of slots is stale, so a job may queue at a
            # worker for part of the tightest time constraint. Past half of its slack ever less: what is
            # thought of queues is too little, and a job held for long would end late after waiting there.
            wait = w.queued(spare)
            if spare < 0 and wait > allowed:
                reason = "no room"
                continue
            pace = w.pace()
            if w.cold_from >= 0:
                warm = w.warmth()
                if warm < 1.0 and not w.cold_room(request.cold_work(), warm):
                    reason = "cold budget"
                    continue
                pace /= warm
            finish = wait + request.run * pace
            if homes and w is not homes[0] and request.key not in w.keys:
                finish += SETUP * (self.fleet.run_quantile or request.run)
            if w.errors > 0.05:
                finish += w.error_share() * request.run * 8.0
            if (
                w.owed >= 0
                and (w.sent_at < w.owed or now - w.sent_at > OWED_AGAIN)
                and (now - w.owed > OWED or now + finish < request.wanted)
            ):
                finish -= 1e9  # a cold worker would wait for its turn until the others are full
            if finish < best_finish:
                best, best_finish, request.wait = w, finish, wait
        if best is None:
            request.reason = reason
        return best
