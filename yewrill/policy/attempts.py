"""The attempts that are out: what they tell of their workers, how they end, and which are lost in silence."""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import heappop, heappush

from yewrill.policy import interface as api
from yewrill.policy.beliefs import Worker
from yewrill.policy.fleet import Fleet
from yewrill.policy.requests import Attempt, PendingRequest

REORDERED = 20.0  # attempts sent within this time of each other may reach a worker in another order
OVERTAKEN = (
    25.0  # a job sent before one that started this long ago, and not started itself, is lost
)
STUCK = 600.0  # a worker that runs none of our jobs and starts none of those waiting for this long is silent
WARY = 10000.0  # how long after a sure sign of lost attempts less sure signs are taken for it too
NO_WORD = 1.5  # a running job without a word for this many progress intervals is lost


class Attempts:
    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.out: dict[tuple[str, int], Attempt] = {}
        self.travelling: list[
            tuple[float, int, Attempt]
        ] = []  # by when they must be at their workers
        self.waiting: list[
            tuple[float, int]
        ] = []  # due times of those there whose start was not told
        self.ghosts: list[
            tuple[float, int, Attempt]
        ] = []  # lost ones whose slots may still be held
        self.count = 0

    def send(self, request: PendingRequest, w: Worker) -> None:
        """Book a new attempt of a job at a worker."""
        fleet = self.fleet
        now = fleet.now
        self.count += 1
        attempt = Attempt(request, request.tries, w, now, request.run * w.pace(), self.count, now)
        heappush(self.travelling, (now + fleet.trip(w), self.count, attempt))
        request.live[request.tries] = attempt
        self.out[(request.id, request.tries)] = attempt
        request.tries += 1
        if not w.queue:
            w.waiting_since = now
        w.queue.append(attempt)
        self.arrive()
        fleet.hold(w, request.need)
        w.free -= request.need
        w.sent_at = now
        if request.key:
            w.fetched(request.key)
        if w.cold_from >= 0:
            w.credit -= request.cold_work()
            attempt.warm = w.warmth()

    def arrive(self) -> None:
        """Count those that must have reached their workers by now among the waiting."""
        while self.travelling and self.travelling[0][0] <= self.fleet.now:
            attempt = heappop(self.travelling)[2]
            if attempt in attempt.worker.queue:
                attempt.waits = True
                insort(self.waiting, (attempt.request.due, attempt.order))
                self.fleet.waiting += attempt.request.need

    def started(self, event: api.AttemptStarted | api.AttemptProgress) -> None:
        """A worker tells that it began to run one of them."""
        attempt = self.out.get((event.request_id, event.attempt))
        if attempt is None or attempt.started:
            return
        fleet, w = self.fleet, attempt.worker
        attempt.started = attempt.heard = fleet.now
        fleet.waited(w, fleet.now - attempt.sent, attempt.request.wait)
        if fleet.settings.fifo:
            for earlier in w.queue:
                if earlier.sent > attempt.sent - REORDERED:
                    break
                earlier.overtaken = earlier.overtaken or fleet.now
        self._left_queue(attempt)
        w.running += attempt.request.need
        if fleet.blind and w.running > w.kind.slots:
            w.kind.slots += 0.3 * (w.running - w.kind.slots)  # it runs that many of ours at once
        w.alive()

    def progress(self, event: api.AttemptProgress) -> None:
        attempt = self.out.get((event.request_id, event.attempt))
        if attempt is not None:
            attempt.heard = self.fleet.now
            self.started(event)

    def _left_queue(self, attempt: Attempt) -> None:
        w = attempt.worker
        w.queue.remove(attempt)
        w.waiting_since = self.fleet.now
        if attempt.waits:
            attempt.waits = False
            self.fleet.waiting -= attempt.request.need
            del self.waiting[bisect_left(self.waiting, (attempt.request.due, attempt.order))]

    def ended(self, event: api.AttemptEnded) -> Attempt | None:
        """Take an attempt's end into what is believed of its worker."""
        attempt = self.out.pop((event.request_id, event.attempt), None)
        if attempt is None:
            return None
        fleet = self.fleet
        now = fleet.now
        request, w = attempt.request, attempt.worker
        request.live.pop(attempt.number, None)
        if attempt.started:
            w.running -= request.need
        else:
            self._left_queue(attempt)
        outcome = event.outcome
        if (
            outcome
            in (
                api.PolicyOutcome.TIMEOUT,
                api.PolicyOutcome.CANCELLED,
                api.PolicyOutcome.CONNECTION_LOST,
            )
            and w.usable
            and not event.stale_connection
        ):
            # It may still run: it keeps its slot for the time it was expected to take.
            self.count += 1
            heappush(self.ghosts, (now + attempt.expected, self.count, attempt))
        else:
            fleet.hold(w, -request.need)
            w.free += request.need
        if outcome == api.PolicyOutcome.SERVED:
            w.alive()
            run = (now - attempt.started if attempt.started else event.elapsed) * attempt.warm
            request.cls.observe(run, request.run, request.hinted)
            w.ran(min(20.0, run / max(1.0, request.run)), request.known)
            fleet.ran(run)
        elif outcome == api.PolicyOutcome.ERROR:
            w.erred()
        elif outcome == api.PolicyOutcome.REJECTED:
            w.full(request.run)
        elif event.stale_connection:
            pass  # that tells of the connection only
        elif outcome == api.PolicyOutcome.NO_CONNECTION:
            w.lost(refused=True)
        elif outcome in (api.PolicyOutcome.CONNECTION_LOST, api.PolicyOutcome.TIMEOUT) or (
            attempt.silent and not attempt.overtaken
        ):
            w.lost()
        if event.report:
            w.report(event.report)
        if outcome not in api.NEVER_RAN and request.ran_at is None:
            # Once set, this stands: a later attempt that never ran proves nothing of an earlier one.
            request.ran_at, request.ran_zone, request.ran_cell = attempt.sent, w.zone, w.cell
        return attempt

    def expire_ghosts(self) -> bool:
        """Give back the slots of lost work that must be over by now, if there are any."""
        before = len(self.ghosts)
        while self.ghosts and self.ghosts[0][0] <= self.fleet.now:
            attempt = heappop(self.ghosts)[2]
            self.fleet.hold(attempt.worker, -attempt.request.need)
        return len(self.ghosts) < before

    def lost(self) -> list[Attempt]:
        """Those newly found lost in silence."""
        found = [
            a for a in self.out.values() if not a.silent and self._is_silent(a, self.fleet.now)
        ]
        for attempt in found:
            attempt.silent = True
        return found

    def _is_silent(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt is past the time at which its worker should have said something of it."""
        fleet, w = self.fleet, attempt.worker
        s = fleet.settings
        if attempt.started:
            return 0.0 < s.progress_every * NO_WORD < now - attempt.heard
        if not s.tells_start:
            return False
        if attempt.overtaken:
            if now - attempt.overtaken <= OVERTAKEN:
                return False
            fleet.wary = now + WARY
            return True
        waited = now - max(attempt.sent, w.waiting_since)
        return (
            now < fleet.wary and w.running <= 0.0 and waited > max(STUCK, 2.0 * fleet.run_quantile)
        )
