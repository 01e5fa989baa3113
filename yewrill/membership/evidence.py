"""Failure evidence: how unlikely a peer's silence is, and which directions of a link work. No I/O, no clock.

`ArrivalHistory` keeps the recent gaps between arrivals from one peer and computes `phi`: the probability that
a live peer is silent for so long is 10 to the power of -phi. `PeerLink` combines the messages received from a
peer with the peer's own reports of what it received from this process.

The phi-accrual detector (Hayashibara 2004) uses the mean and the deviation of the recent gaps and the tail of
a normal distribution. Its threshold is a probability, independent of the network, but it does not model loss:
at 30% loss, gaps of 1, 2 and 3 intervals merge into one wide distribution, whose tail makes five losses in a
row look impossible. It also judges one direction only. In this module, a gap of about k intervals counts as
one interval and k - 1 lost messages. The probability of a silence is a sum over the number of messages lost
in a row: each term is the probability of that number at the estimated loss, times the probability that the
next message is later still. The loss is estimated by the rule of succession (one lost and one received
message in advance), so that a new peer is not suspected after its first few losses.

The caller chooses the unit of time: the views use seconds; membership uses ended probes, so that a peer that
was not probed is not silent. A history holds at most WINDOW_GAPS gaps, and recording an arrival takes
constant time.
"""

from __future__ import annotations

import math
from collections import deque
from enum import IntEnum

# Number of gaps between arrivals that a history keeps.
WINDOW_GAPS = 32
# Limit on the lost messages counted in one gap.
# A longer gap is an outage, not loss, and must not raise the estimated loss further.
MAX_LOST_PER_GAP = 8
# Largest distance of a gap from a whole number of intervals at which the gap is counted as loss.
ROUNDING_TOLERANCE_INTERVALS = 0.25
# Messages that arrive closer together belong to a burst and are not counted as a gap.
MIN_GAP_INTERVALS = 0.25
# Reports of a peer that lie closer together count as one arrival.
MIN_REPORT_GAP_INTERVALS = 0.25
MIN_DEVIATION_INTERVALS = 0.1
MAX_LOSS = 0.8
MAX_PHI = 100.0


class LinkState(IntEnum):
    """Which directions of the link to a peer work."""

    HEALTHY = 0
    # No message arrives from the peer, but a third member exchanges messages with it.
    INBOUND_LOSS = 1
    # Messages arrive from the peer, but messages from this process do not reach it.
    OUTBOUND_LOSS = 2
    # No message arrives from the peer, and no third member reports that it exchanges messages with it.
    PARTITIONED = 3


LINK_STATE_NAMES = {
    LinkState.HEALTHY: "well",
    LinkState.INBOUND_LOSS: "deaf",
    LinkState.OUTBOUND_LOSS: "mute",
    LinkState.PARTITIONED: "cut",
}
"""Names of the link states in the answer to `GET /_members`."""


class ArrivalHistory:
    """Recent gaps between arrivals from a peer that sends once per `interval`, and phi of its silence."""

    __slots__ = (
        "_has_arrival",
        "_excluded_time",
        "_interval",
        "_last_arrival",
        "_lost",
        "_sum_of_squares",
        "_sum_of_gaps",
        "_gaps",
    )

    def __init__(self, interval: float):
        self._interval = interval
        self._last_arrival = -math.inf
        self._excluded_time = 0.0
        self._has_arrival = False
        # For each gap: its length in intervals less the lost messages, and the number of lost messages.
        self._gaps: deque[tuple[float, int]] = deque()
        self._sum_of_gaps = self._sum_of_squares = 0.0
        self._lost = 0

    def begin(self, now: float) -> None:
        """Starts measuring the silence at `now`, unless an arrival or an earlier call has started it."""
        if self._last_arrival == -math.inf:
            self._last_arrival = now

    def record_arrival(self, now: float, interval: float | None = None) -> None:
        """Records an arrival; `interval` is the interval that the sender announces for its next messages."""
        self.begin(now)
        if self._has_arrival:
            self._record_gap(self.silence(now) / self._interval)
        self._has_arrival, self._last_arrival, self._excluded_time = (
            True,
            max(now, self._last_arrival),
            0.0,
        )
        if interval is not None and interval > 0.0:
            self._interval = interval

    def _record_gap(self, gap_intervals: float) -> None:
        # A burst, such as the one after a pause, says nothing about the usual interval.
        if gap_intervals < MIN_GAP_INTERVALS:
            return
        rounded = round(gap_intervals)
        lost = (
            rounded - 1
            if rounded > 1 and abs(gap_intervals - rounded) <= ROUNDING_TOLERANCE_INTERVALS
            else 0
        )
        gap_intervals, lost = (
            min(gap_intervals - lost, 2.0 * MAX_LOST_PER_GAP),
            min(lost, MAX_LOST_PER_GAP),
        )
        self._gaps.append((gap_intervals, lost))
        self._update_sums(gap_intervals, lost, 1)
        if len(self._gaps) > WINDOW_GAPS:
            self._update_sums(*self._gaps.popleft(), -1)

    def _update_sums(self, gap_intervals: float, lost: int, sign: int) -> None:
        self._sum_of_gaps += sign * gap_intervals
        self._sum_of_squares += sign * gap_intervals * gap_intervals
        self._lost += sign * lost

    @property
    def loss(self) -> float:
        """Estimated fraction of lost messages, at most MAX_LOSS."""
        return min(MAX_LOSS, (self._lost + 1.0) / (len(self._gaps) + self._lost + 2.0))

    @property
    def lost(self) -> int:
        """Number of lost messages in the remembered gaps."""
        return self._lost

    def silence(self, now: float) -> float:
        """Returns the time since the last arrival, or since `begin`, less the excluded pauses."""
        self.begin(now)
        return max(0.0, now - self._last_arrival - self._excluded_time)

    def phi(self, now: float) -> float:
        """Returns -log10 of the probability of the present silence, at most MAX_PHI."""
        return self.phi_of_silence(self.silence(now))

    def phi_of_silence(self, silence: float) -> float:
        """Returns -log10 of the probability of a silence of that length, at most MAX_PHI.

        The probability is the sum, over the number of messages lost before the next arrival, of the
        probability that exactly that number is lost and that the arrival is later than the silence.
        """
        # Two gaps are counted in advance, one half an interval too short and one half an interval too long.
        count = len(self._gaps) + 2.0
        mean = (self._sum_of_gaps + 2.0) / count
        deviation = math.sqrt(
            max(MIN_DEVIATION_INTERVALS**2, (self._sum_of_squares + 2.5) / count - mean * mean)
        )
        loss, probability_all_lost, probability, lateness = (
            self.loss,
            1.0,
            0.0,
            silence / self._interval - mean,
        )
        while lateness > -6.0 * deviation and probability_all_lost > 1e-120:
            probability += (
                probability_all_lost
                * (1.0 - loss)
                * 0.5
                * math.erfc(lateness / deviation / math.sqrt(2.0))
            )
            probability_all_lost *= loss
            lateness -= 1.0
        return min(MAX_PHI, max(0.0, -math.log10(max(probability + probability_all_lost, 1e-120))))

    def exclude_pause(self, duration: float) -> None:
        """Shortens the present silence by a pause of this process; later silences are not affected.

        Must be called before the messages that arrived during the pause are recorded.
        """
        self._excluded_time += max(0.0, duration)


class PeerLink:
    """Both directions of the link to one peer."""

    __slots__ = ("_inbound", "_interval", "_last_received_by_peer", "_outbound", "_relayed_at")

    def __init__(self, interval: float, now: float):
        self._interval = interval
        self._inbound, self._outbound = ArrivalHistory(interval), ArrivalHistory(interval)
        self._inbound.begin(now)
        self._outbound.begin(now)
        # Latest known time at which the peer received a message from this process.
        self._last_received_by_peer = now
        self._relayed_at = -math.inf

    def record_report(
        self, now: float, peer_received_ago: float | None, interval: float | None = None
    ) -> None:
        """Records a message that tells how long ago the peer last received one from us (None: never)."""
        self._inbound.record_arrival(now, interval)
        if peer_received_ago is None:
            return
        received_at = now - max(0.0, peer_received_ago)
        if received_at > self._last_received_by_peer:
            gap, self._last_received_by_peer = (
                received_at - self._last_received_by_peer,
                received_at,
            )
            if gap > MIN_REPORT_GAP_INTERVALS * self._interval:
                self._outbound.record_arrival(
                    min(now, received_at + 2.0 * self._interval), interval
                )

    def record_message(self, now: float) -> None:
        """Records a message that does not tell whether the peer receives messages from this process."""
        self._inbound.record_arrival(now)

    def record_relay(self, now: float) -> None:
        """Records that a third member exchanges messages with the peer."""
        self._relayed_at = max(now, self._relayed_at)

    def forget_relays(self) -> None:
        """Discards reports of third members, which go out of date while no message arrives from anybody."""
        self._relayed_at = -math.inf

    def receives(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> bool:
        """Returns whether messages from the peer arrive at this process."""
        return self._inbound.silence(now) <= max_silence and self._inbound.phi(now) < threshold

    def received_by(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> bool:
        """Returns whether messages from this process reach the peer, by the recent reports of the peer."""
        return self._outbound.silence(now) <= max_silence and self._outbound.phi(now) < threshold

    def state(self, now: float, threshold: float = 8.0, max_silence: float = 10.0) -> LinkState:
        """Returns which directions of the link work."""
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
        """Arrivals of messages from the peer."""
        return self._inbound

    @property
    def answers(self) -> ArrivalHistory:
        """Arrivals, at the peer, of messages from this process, as the peer reports them."""
        return self._outbound

    def exclude_pause(self, duration: float) -> None:
        """Excludes a pause of this process from both directions, as `ArrivalHistory.exclude_pause` does."""
        self._inbound.exclude_pause(duration)
        self._outbound.exclude_pause(duration)
        self._relayed_at += max(0.0, duration)
