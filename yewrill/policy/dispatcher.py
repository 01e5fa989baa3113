"""Routes events to the parts, holds jobs until a worker is found, and gives every job its final answer."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from heapq import heappop, heappush

from yewrill.policy import interface as api
from yewrill.policy.admission import Admission
from yewrill.policy.attempts import Attempts
from yewrill.policy.choice import Choice
from yewrill.policy.fleet import Fleet
from yewrill.policy.requests import PendingRequest

RETRY_HELD = (
    0.015  # held jobs look for a worker this often when nothing else happens, in parts of T_1
)
SWEEP = 0.1  # attempts that are out are looked over this often, in parts of T_1
REFRESH = 1000.0  # how often rates, rungs and guaranteed rates are worked out

TICKER, HELD_TIMER, WATCH_TIMER, END_TIMER = 1, 2, 3, 4


class Dispatcher:
    """One dispatcher: `handle` takes what happened at a moment and returns what to do about it."""

    def __init__(self, settings: api.Settings, seed: int):
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.out: list[api.Action] = []
        self.fleet = Fleet(settings, seed, self.rng)
        self.admission = Admission(settings, self.rng, self.fleet)
        self.choice = Choice(self.fleet, self.admission)
        self.attempts = Attempts(self.fleet)
        # The selector: the held jobs of each machine kind (-1: any), the one that must start first in front.
        self.held: dict[int, list[tuple[float, int, PendingRequest]]] = {
            pool: [] for pool in sorted({spec.kind for spec in settings.classes})
        }
        self.requests: dict[str, PendingRequest] = {}
        self.ends: list[tuple[float, int, PendingRequest]] = []  # final answers due
        self.count = 0
        self.probe_credit = 1.0
        self.ticking = self.held_armed = self.stirred = False
        self.end_armed = -1.0
        self.watch_fails = 0
        self.on = {
            api.RequestArrived: self._arrived,
            api.AttemptStarted: self.attempts.started,
            api.AttemptProgress: self.attempts.progress,
            api.AttemptEnded: self._ended,
            api.AnswerStarted: self._done,
            api.ProbeEnded: self._probed,
            api.ClientLeft: self._done,
            api.TimerFired: self._timer,
            api.WorkerList: self._list,
            api.WorkerReturned: self._returned,
            api.SettingsChanged: self._retune,
            api.ZoneTrafficWeights: self._share,
        }

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in their order, and return the actions, in theirs."""
        self.now = self.fleet.now = now
        self.out = []
        if self.admission.refreshed < 0 or now - self.admission.refreshed >= REFRESH:
            self.admission.refresh(now)
        self.fleet.free_by_starts()
        self.attempts.arrive()
        for event in events:
            self.on[type(event)](event)
        self.stirred |= self.attempts.expire_ghosts()
        self._answer_due()
        if self.stirred:
            self._release()
        self._arm_end()
        if not self.ticking and (self.requests or self.attempts.out):
            self.ticking = True
            self.out.append(api.SetTimer(TICKER, max(30.0, SWEEP * self.admission.order[0].limit)))
        return self.out

    def avoided(self, now: float) -> set[str]:
        """The listed workers that get nothing at present, because they drain or have failed."""
        return {
            w.name
            for w in self.fleet.workers.values()
            if w.listed and (not w.usable or (w.fails and w.blocked > now))
        }

    def _retune(self, event: api.SettingsChanged) -> None:
        self.settings = settings = event.settings
        self.fleet.reconfigure(settings)
        for spec in settings.classes:
            self.held.setdefault(spec.kind, [])
        self.admission.reconfigure(settings, self.now)
        self.fleet.regroup()
        self.stirred = True

    # ------------------------------------------------------------------------------- arrivals and the list

    def _arrived(self, event: api.RequestArrived) -> None:
        now = self.now
        cls = self.admission.classes[event.request_class]
        run = event.hint * cls.hint_ratio if event.hint > 0 else cls.mean
        request = PendingRequest(event, cls, now, run, self.settings)
        self.requests[request.id] = request
        self.count += 1
        heappush(self.ends, (request.deadline - 2.0 * self.settings.tick, self.count, request))
        if request.spent(now):
            self._finish(request)
            self.out.append(api.Fail(request.id, "it may have run before a restart"))
            return
        self._control()
        if request.guessed_late and not self.admission.overloaded:
            request.take_for_first_try()
        if now >= request.due:
            # A client's retry that can't be in time any more takes nothing from its tenant's share or gap: a
            # storm of such retries would have the tenant's first tries refused, and so feed itself.
            self._give_up(request, "it can't be in time")
            return
        self.probe_credit = min(4.0, self.probe_credit + 1.0)  # a probe a job at most
        ground = self.admission.admit(request, now)
        if ground:
            self._give_up(request, ground)
            return
        self._hold(request)
        if self.settings.may_probe:
            self._probe_some(cls.spec.kind)

    def _control(self) -> None:
        queues = (*self.held.values(), self.attempts.waiting)
        self.admission.control([queue for queue in queues if queue], self.now)

    def _list(self, event: api.WorkerList) -> None:
        if event.form == api.ListForm.FAILED:
            # The list service is out of reach or overrun: ask again later, each at its own time.
            self.watch_fails = min(self.watch_fails + 1, 5)
            pause = 300.0 * 2**self.watch_fails
            self.out.append(api.SetTimer(WATCH_TIMER, pause * (0.5 + self.rng.random())))
            return
        if event.form != api.ListForm.CACHED:
            self.watch_fails = 0
        elif self.settings.list_on_request:
            self.out.append(api.WatchList(True))
        self.fleet.take(event)
        self.stirred = True

    def _returned(self, event: api.WorkerReturned) -> None:
        w = self.fleet.workers.get(event.worker)
        if w is not None:
            w.replaced(event.since)
            self.stirred = True

    def _share(self, event: api.ZoneTrafficWeights) -> None:
        self.fleet.zone_weights = event.weights
        self.fleet.regroup()

    # ----------------------------------------------------------------------------------------------- release

    def _hold(self, request: PendingRequest) -> None:
        self.count += 1
        request.held, request.order = True, self.count
        insort(self.held[request.spec.kind], (request.due, request.order, request))
        self.stirred = True

    def _take_out(self, request: PendingRequest) -> None:
        queue = self.held[request.spec.kind]
        del queue[bisect_left(queue, (request.due, request.order))]
        request.held = False

    def _release(self) -> None:
        """Let held jobs go, earliest deadline first, while workers with room are found."""
        self.stirred = False
        for queue in self.held.values():
            misses = 0
            at = 0
            while at < len(queue) and misses < 3:
                request = queue[at][2]
                if self.now >= request.due:
                    self._take_out(request)
                    self._control()  # a departure
                    self._give_up(request, "it can't be in time")
                    continue
                worker = self.choice.worker_for(
                    request, request.need + 1.0 if request.over else request.need
                )
                if worker is None:
                    misses += 1
                    at += 1
                    continue
                self._take_out(request)
                self.attempts.send(request, worker)
                self.out.append(
                    api.Send(request.id, worker.name, 0.0, self.choice.among, request.reason)
                )
                self._control()
        if not self.held_armed and any(self.held.values()):
            self.held_armed = True
            # Guards against a timer storm where very many dispatchers hold jobs with long constraints.
            delay = max(10.0, RETRY_HELD * self.admission.order[0].limit)
            self.out.append(api.SetTimer(HELD_TIMER, delay))

    # ------------------------------------------------------------------------------------- ends and answers

    def _ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.ended(event)
        if attempt is None:
            return
        self.stirred = True
        request = attempt.request
        if event.final:
            self._finish(request)
        elif not request.done and not request.live:
            request.last = attempt.worker
            self._again(request)

    def _again(self, request: PendingRequest) -> None:
        """An attempt came to nothing: try again where the class allows, else answer."""
        now = self.now
        out_of_tries = request.tries >= min(request.most, self.settings.max_attempts)
        if request.spent(now) or out_of_tries or request.deadline - now < request.run * 0.5:
            self._give_up(
                request,
                "it may have run, and may not run again"
                if request.spent(now)
                else "out of tries"
                if out_of_tries
                else "no time for another try",
            )
        elif now >= request.due:
            self._give_up(request, "it can't be in time")
        else:
            self._hold(request)

    def _give_up(self, request: PendingRequest, reason: str) -> None:
        """The final answer for a job without attempts out: a refusal where the rules allow one."""
        self._finish(request)
        self.out.append(
            api.Reject(request.id, self.settings.max_retry_after, reason)
            if request.may_reject()
            else api.Fail(request.id, reason)
        )

    def _finish(self, request: PendingRequest) -> None:
        if not request.done:
            request.done = True
            self.requests.pop(request.id, None)
            if request.held:
                self._take_out(request)

    def _done(self, event: api.ClientLeft | api.AnswerStarted) -> None:
        """Nothing more is owed: the client has left, or its streamed answer has begun."""
        request = self.requests.get(event.request_id)
        if request is not None:
            self._finish(request)

    def _answer_due(self) -> None:
        """Final answers have their own clock: nothing depends on an outcome arriving."""
        while self.ends and self.ends[0][0] <= self.now:
            request = heappop(self.ends)[2]
            if not request.done:
                out = ", with an attempt out" if request.live else ""
                self._give_up(request, f"its time is up{out}")

    def _arm_end(self) -> None:
        ends = self.ends
        while ends and ends[0][2].done:
            heappop(ends)
        if ends and (self.end_armed <= self.now or ends[0][0] < self.end_armed):
            self.end_armed = ends[0][0]
            self.out.append(api.SetTimer(END_TIMER, max(0.0, self.end_armed - self.now)))

    # ------------------------------------------------------------------------------------- probes and timers

    def _probe_some(self, kind: int) -> None:
        group = self.fleet.near[kind] or self.fleet.far[kind]
        size = len(group)
        for _ in range(2):
            if self.probe_credit < 1.0 or not size:
                return
            w = group[int(self.rng.random() * size)]
            # Answers bring reports; a probe of one that is not left out shows little more than that it runs.
            if w.usable and w.fails and not w.probing:
                self.probe_credit -= 1.0
                w.probing = True
                self.out.append(api.Probe(w.name))

    def _probed(self, event: api.ProbeEnded) -> None:
        w = self.fleet.workers.get(event.worker)
        if w is None:
            return
        w.probing = False
        if event.outcome == api.PolicyOutcome.SERVED:
            if event.report:
                w.report(event.report)
            if w.fails:  # it answers again: try it
                w.blocked = self.now
        elif event.outcome != api.PolicyOutcome.REJECTED:
            w.lost(refused=True)
        self.stirred = True

    def _timer(self, event: api.TimerFired) -> None:
        token = event.token
        if token == TICKER:
            self.ticking = False
            for attempt in self.attempts.lost() if self.settings.may_cancel else ():
                self.out.append(api.Cancel(attempt.request.id, attempt.number))
        elif token == HELD_TIMER:
            self.held_armed = False
            self.stirred = True
            if self.settings.may_probe:
                for pool, queue in self.held.items():
                    if queue:
                        self._probe_some(pool)
        elif token == WATCH_TIMER:
            self.out.append(api.WatchList(True))
