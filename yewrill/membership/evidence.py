"""What the silence of another member is worth, and which ways between two of them work. No I/O, no clock.

`Arrivals` keeps the last times between what came of one peer and says `phi`: 10 to the minus phi is the
chance of the present silence. `Link` joins what we hear of a peer with what it says that it hears of us.

Phi-accrual (Hayashibara 2004) takes mean and spread of the last times and the tail of a normal distribution.
Two things are better for us there: a threshold that means a chance, whatever the network, and no timeout to
be set. Two are worse. Its tail knows no loss: at 30% lost, times of 1, 2 and 3 intervals make one wide hump,
so that it finds five lost in a row impossible, and is slow for a jitter that is not there. And it looks at
one direction only. So here a time of about k intervals counts as one interval and k - 1 lost; the chance of
a silence is that of the jitter over all numbers of lost ones, each weighed by the loss seen (by the rule of
succession: one lost and one come in advance, so that a new pair is given the benefit, and no loss seen is
not loss never). Against a fixed timeout (ZooKeeper's) it is as fast as the loss allows: six intervals on a
quiet LAN, twenty at 40% lost. Against counting missed ones it takes an uneven sender for what it is.

Units are the caller's: seconds with beats; `machine.py` counts in questions asked, so that whoever was not
asked is not silent. Each object holds WINDOW times at most; a note costs the same whatever was before.
"""

from __future__ import annotations

import math
from collections import deque

WINDOW = 32  # times between arrivals that are remembered
MOST_LOST = 8  # lost ones that one time shows: a longer gap was an outage, not loss
NEARLY = (
    0.25  # intervals: a time no further off a whole number shows loss; a shorter one is a burst
)
LEAST_SPREAD = 0.1  # intervals
MOST_LOSS = 0.8
MOST_PHI = 100.0

WELL, DEAF, MUTE, CUT = 0, 1, 2, 3
LINK_STATES = ("well", "deaf", "mute", "cut")


class Arrivals:
    """What comes of one peer about every `interval`, and how unlikely its silence is."""

    __slots__ = (
        "_arrived",
        "_forgiven",
        "_interval",
        "_last",
        "_lost",
        "_squares",
        "_sum",
        "_times",
    )

    def __init__(self, interval: float):
        self._interval = interval
        self._last = -math.inf
        self._forgiven = 0.0
        self._arrived = False
        self._times: deque[tuple[float, int]] = (
            deque()
        )  # in intervals without those lost; how many were
        self._sum = self._squares = 0.0
        self._lost = 0

    def begin(self, now: float) -> None:
        """Without arrivals it counts from here; else from the first look."""
        if self._last == -math.inf:
            self._last = now

    def note(self, now: float, interval: float | None = None) -> None:
        """Something came; `interval` is what its sender states from here on."""
        self.begin(now)
        if self._arrived:
            self._add(self.silence(now) / self._interval)
        self._arrived, self._last, self._forgiven = True, max(now, self._last), 0.0
        if interval is not None and interval > 0.0:
            self._interval = interval

    def _add(self, time: float) -> None:
        if time < NEARLY:  # several at once, as after a pause: no rhythm
            return
        whole = round(time)
        lost = whole - 1 if whole > 1 and abs(time - whole) <= NEARLY else 0
        time, lost = min(time - lost, 2.0 * MOST_LOST), min(lost, MOST_LOST)
        self._times.append((time, lost))
        self._count(time, lost, 1)
        if len(self._times) > WINDOW:
            self._count(*self._times.popleft(), -1)

    def _count(self, time: float, lost: int, sign: int) -> None:
        self._sum += sign * time
        self._squares += sign * time * time
        self._lost += sign * lost

    @property
    def loss(self) -> float:
        """The part lost, estimated."""
        return min(MOST_LOSS, (self._lost + 1.0) / (len(self._times) + self._lost + 2.0))

    @property
    def lost(self) -> int:
        """How many the remembered times show as lost."""
        return self._lost

    def silence(self, now: float) -> float:
        """Since the last arrival (or the beginning), without what is forgiven."""
        self.begin(now)
        return max(0.0, now - self._last - self._forgiven)

    def phi(self, now: float) -> float:
        """-log10 of the chance of the present silence."""
        return self.unlikely(self.silence(now))

    def unlikely(self, silence: float) -> float:
        """-log10 of the chance of such a silence: over how many were lost before the next that comes,
        the sum of the chances of so many lost and that one later still."""
        count = len(self._times) + 2.0  # two in advance, half an interval early and late
        mean = (self._sum + 2.0) / count
        spread = math.sqrt(max(LEAST_SPREAD**2, (self._squares + 2.5) / count - mean * mean))
        loss, so_far, chance, late = self.loss, 1.0, 0.0, silence / self._interval - mean
        while late > -6.0 * spread and so_far > 1e-120:
            chance += so_far * (1.0 - loss) * 0.5 * math.erfc(late / spread / math.sqrt(2.0))
            so_far *= loss
            late -= 1.0
        return min(MOST_PHI, max(0.0, -math.log10(max(chance + so_far, 1e-120))))

    def forgive(self, span: float) -> None:
        """We did not look for so long: to be called before what waited meanwhile is noted. The present
        silence is shorter by that, the next one is not."""
        self._forgiven += max(0.0, span)


class Link:
    """Both directions between us and one peer."""

    __slots__ = ("_by", "_by_at", "_in", "_interval", "_relayed")

    def __init__(self, interval: float, now: float):
        self._interval = interval
        self._in, self._by = Arrivals(interval), Arrivals(interval)
        self._in.begin(now)
        self._by.begin(now)
        self._by_at = now  # when it last heard us, as far as we know
        self._relayed = -math.inf

    def heard(self, now: float, heard_us_ago: float | None, interval: float | None = None) -> None:
        """A message of the peer's, which says how long ago it last heard us (None: never)."""
        self._in.note(now, interval)
        if heard_us_ago is None:
            return
        at = now - max(0.0, heard_us_ago)
        if at > self._by_at:  # it has heard us again since its last word on that
            fresh, self._by_at = at - self._by_at, at
            if fresh > NEARLY * self._interval:
                self._by.note(min(now, at + 2.0 * self._interval), interval)

    def came(self, now: float) -> None:
        """A message of the peer's that does not say whether it hears us."""
        self._in.note(now)

    def relayed(self, now: float) -> None:
        """A third says that it and the peer hear each other."""
        self._relayed = max(now, self._relayed)

    def forget_relays(self) -> None:
        """Nobody is heard, so no third either: what one said of the peer is of another time."""
        self._relayed = -math.inf

    def hears(self, now: float, threshold: float = 8.0, most_silence: float = 10.0) -> bool:
        """Whether we hear the peer."""
        return self._in.silence(now) <= most_silence and self._in.phi(now) < threshold

    def heard_by(self, now: float, threshold: float = 8.0, most_silence: float = 10.0) -> bool:
        """Whether the peer hears us, by its own word; that word gets old like any other."""
        return self._by.silence(now) <= most_silence and self._by.phi(now) < threshold

    def state(self, now: float, threshold: float = 8.0, most_silence: float = 10.0) -> int:
        """WELL; DEAF: we don't hear it, but a third exchanges with it; MUTE: we hear it, it does not hear us;
        CUT: we don't hear it, and nobody says that he does."""
        if self.hears(now, threshold, most_silence):
            return WELL if self.heard_by(now, threshold, most_silence) else MUTE
        return DEAF if now - self._relayed <= most_silence else CUT

    @property
    def arrivals(self) -> Arrivals:
        """What we hear of the peer."""
        return self._in

    @property
    def answers(self) -> Arrivals:
        """Its words of having heard us again."""
        return self._by

    def forgive(self, span: float) -> None:
        """We did not look for so long; as `Arrivals.forgive`."""
        self._in.forgive(span)
        self._by.forgive(span)
        self._relayed += max(0.0, span)
