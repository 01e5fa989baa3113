"""Failure evidence: how unlikely a peer's silence is, and which directions of a link work. No I/O, no clock.

`ArrivalHistory` keeps the recent gaps between arrivals from one peer and computes `phi`: 10 to the minus phi
is the probability of the present silence. `PeerLink` combines what we receive from a peer with what it
reports of receiving from us.

The phi-accrual detector (Hayashibara 2004) takes mean and deviation of the recent gaps and the tail of a
normal distribution. It gives a threshold that means a probability, whatever the network, but its tail knows
no loss: at 30% loss, gaps of 1, 2 and 3 intervals form one wide hump, so that five losses in a row look
impossible. It also looks at one direction only. Here a gap of about k intervals counts as one interval and
k - 1 lost messages. The probability of a silence is the sum over all numbers of lost messages, each weighted
by the estimated loss, of the probability that the next one is later still. The loss is estimated by the rule
of succession (one lost and one received in advance), so a new pair gets the benefit of the doubt.

Units are the caller's: the views count in seconds; membership counts in ended probes, so that a peer that was
not probed is not silent. An object holds WINDOW gaps at most, and recording an arrival costs constant time.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum

WINDOW = 32  # gaps between arrivals that are remembered
MAX_LOST_PER_GAP = 8  # a longer gap was an outage, not loss
ROUNDING_TOLERANCE = 0.25  # intervals: how far from a whole number a gap still shows loss
MIN_BURST_GAP = 0.25  # intervals: a shorter gap belongs to a burst
MIN_REPORT_GAP = 0.25  # intervals: peer reports closer together are one
MIN_DEVIATION = 0.1  # intervals
MAX_LOSS = 0.8
MAX_PHI = 100.0


class LinkState(IntEnum):
    """Which directions of the link to a peer work."""

    HEALTHY = 0
    INBOUND_LOSS = 1  # we do not receive from it, but a third member exchanges messages with it
    OUTBOUND_LOSS = 2  # we receive from it; it does not receive from us
    PARTITIONED = 3  # we do not receive from it, and nobody reports that he does


LINK_STATE_NAMES = {
    LinkState.HEALTHY: "well",
    LinkState.INBOUND_LOSS: "deaf",
    LinkState.OUTBOUND_LOSS: "mute",
    LinkState.PARTITIONED: "cut",
}
"""The words that operators read in `/_members`."""


class ArrivalHistory:
    """Recent gaps between arrivals from one peer, expected about every `interval`, and phi of its silence."""

    __slots__ = (
        "_arrived",
        "_excluded",
        "_interval",
        "_last",
        "_lost",
        "_squares",
        "_sum",
        "_gaps",
    )

    def __init__(self, interval: float):
        self._interval = interval
        self._last = -math.inf
        self._excluded = 0.0
        self._arrived = False
        # Of each gap its length in intervals without the lost ones, and how many were lost.
        self._gaps: deque[tuple[float, int]] = deque()
        self._sum = self._squares = 0.0
        self._lost = 0

    def begin(self, now: float) -> None:
        """Count the silence from here if nothing has arrived and no earlier call did so."""
        if self._last == -math.inf:
            self._last = now

    def record_arrival(self, now: float, interval: float | None = None) -> None:
        """Record an arrival; `interval` is the one that its sender announces from here on."""
        self.begin(now)
        if self._arrived:
            self._add(self.silence(now) / self._interval)
        self._arrived, self._last, self._excluded = True, max(now, self._last), 0.0
        if interval is not None and interval > 0.0:
            self._interval = interval

    def _add(self, gap_intervals: float) -> None:
        if gap_intervals < MIN_BURST_GAP:  # a burst, as after a pause, shows no rhythm
            return
        rounded = round(gap_intervals)
        lost = (
            rounded - 1 if rounded > 1 and abs(gap_intervals - rounded) <= ROUNDING_TOLERANCE else 0
        )
        gap_intervals, lost = (
            min(gap_intervals - lost, 2.0 * MAX_LOST_PER_GAP),
            min(lost, MAX_LOST_PER_GAP),
        )
        self._gaps.append((gap_intervals, lost))
        self._count(gap_intervals, lost, 1)
        if len(self._gaps) > WINDOW:
            self._count(*self._gaps.popleft(), -1)

    def _count(self, gap_intervals: float, lost: int, sign: int) -> None:
        self._sum += sign * gap_intervals
        self._squares += sign * gap_intervals * gap_intervals
        self._lost += sign * lost

    @property
    def loss(self) -> float:
        """The estimated fraction of lost messages, MAX_LOSS at most."""
        return min(MAX_LOSS, (self._lost + 1.0) / (len(self._gaps) + self._lost + 2.0))

    @property
    def lost(self) -> int:
        """How many lost messages the remembered gaps show."""
        return self._lost

    def silence(self, now: float) -> float:
        """Time since the last arrival (or `begin`), without excluded pauses."""
        self.begin(now)
        return max(0.0, now - self._last - self._excluded)

    def phi(self, now: float) -> float:
        """-log10 of the probability of the present silence, MAX_PHI at most."""
        return self.phi_of_silence(self.silence(now))

    def phi_of_silence(self, silence: float) -> float:
        """-log10 of the probability of a silence of that length, MAX_PHI at most.

        The sum, over the number of messages lost before the next one that arrives, of the probability that
        so many are lost and that one is later still.
        """
        count = len(self._gaps) + 2.0  # two in advance, half an interval early and late
        mean = (self._sum + 2.0) / count
        deviation = math.sqrt(max(MIN_DEVIATION**2, (self._squares + 2.5) / count - mean * mean))
        loss, chance_all_lost, chance, lateness = (
            self.loss,
            1.0,
            0.0,
            silence / self._interval - mean,
        )
        while lateness > -6.0 * deviation and chance_all_lost > 1e-120:
            chance += (
                chance_all_lost
                * (1.0 - loss)
                * 0.5
                * math.erfc(lateness / deviation / math.sqrt(2.0))
            )
            chance_all_lost *= loss
            lateness -= 1.0
        return min(MAX_PHI, max(0.0, -math.log10(max(chance + chance_all_lost, 1e-120))))

    def exclude_pause(self, duration: float) -> None:
        """Shorten the present silence by a local pause; the next one is not affected.

        To be called before what arrived during the pause is recorded.
        """
        self._excluded += max(0.0, duration)


class PeerLink:
    """Both directions of the link to one peer."""

    __slots__ = ("_inbound", "_interval", "_last_received_by_peer", "_outbound", "_relayed_at")

    def __init__(self, interval: float, now: float):
        self._interval = interval
        self._inbound, self._outbound = ArrivalHistory(interval), ArrivalHistory(interval)
        self._inbound.begin(now)
        self._outbound.begin(now)
        self._last_received_by_peer = now  # as far as we know
        self._relayed_at = -math.inf

    def record_report(
        self, now: float, received_us_ago: float | None, interval: float | None = None
    ) -> None:
        """Record a message in which the peer says how long ago it last received from us (None: never)."""
        self._inbound.record_arrival(now, interval)
        if received_us_ago is None:
            return
        at = now - max(0.0, received_us_ago)
        if at > self._last_received_by_peer:  # it received from us again since its last report
            gap, self._last_received_by_peer = at - self._last_received_by_peer, at
            if gap > MIN_REPORT_GAP * self._interval:
                self._outbound.record_arrival(min(now, at + 2.0 * self._interval), interval)

    def record_message(self, now: float) -> None:
        """Record a message that does not say whether the peer receives from us."""
        self._inbound.record_arrival(now)

    def record_relay(self, now: float) -> None:
        """Record that a third member exchanges messages with the peer."""
        self._relayed_at = max(now, self._relayed_at)

    def forget_relays(self) -> None:
        """Forget reports of third members: while we receive from nobody they are out of date."""
        self._relayed_at = -math.inf

    def receives(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> bool:
        """Whether messages of the peer reach us."""
        return self._inbound.silence(now) <= max_silence and self._inbound.phi(now) < threshold

    def received_by(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> bool:
        """Whether the peer receives from us, by its own reports, which age like any other evidence."""
        return self._outbound.silence(now) <= max_silence and self._outbound.phi(now) < threshold

    def state(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> LinkState:
        """Which directions work."""
        if self.receives(now, threshold, max_silence):
            return (
                LinkState.HEALTHY
                if self.received_by(now, threshold, max_silence)
                else LinkState.OUTBOUND_LOSS
            )
        return (
            LinkState.INBOUND_LOSS
            if now - self._relayed_at <= max_silence
            else LinkState.PARTITIONED
        )

    @property
    def arrivals(self) -> ArrivalHistory:
        """Arrivals of the peer's messages here."""
        return self._inbound

    @property
    def answers(self) -> ArrivalHistory:
        """Arrivals of the peer's reports that it received from us again."""
        return self._outbound

    def exclude_pause(self, duration: float) -> None:
        """Leave a local pause out of both directions; as `ArrivalHistory.exclude_pause`."""
        self._inbound.exclude_pause(duration)
        self._outbound.exclude_pause(duration)
        self._relayed_at += max(0.0, duration)
