"""Failure evidence: phi of a silence, link states, and which members a faulty network has declared dead.

The tests guard against healthy members that are declared dead because of loss, pauses, one-way or partial
partitions or a jump of the clock, and against dead members that are detected too late.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.lab.netsim import MembershipNet, NetworkPath
from yewrill.membership.evidence import WINDOW_GAPS, ArrivalHistory, LinkState, PeerLink
from yewrill.membership.messages import Message

HEARTBEAT_SECONDS = 0.25


def history_with_loss(loss, heartbeats=400, seed=1, interval=HEARTBEAT_SECONDS):
    """Returns the history of heartbeats with loss, the time of the last arrival, and the highest phi."""
    rng, arrivals, last_arrival, highest = random.Random(seed), ArrivalHistory(interval), 0.0, 0.0
    for i in range(heartbeats):
        if rng.random() >= loss:
            last_arrival = i * interval + 0.002 + 0.005 * rng.expovariate(1.0)
            highest = max(highest, arrivals.phi(last_arrival))
            arrivals.record_arrival(last_arrival)
    return arrivals, last_arrival, highest


def seconds_until(arrivals, last_arrival, phi=8.0):
    """Returns the seconds of silence after which phi is reached."""
    span = 0.0
    while arrivals.phi(last_arrival + span) < phi:
        span += 0.05
    return span


def test_phi_of_a_silence_is_lower_on_a_link_with_more_loss():
    quiet, lossy, bad = (history_with_loss(loss) for loss in (0.0, 0.3, 0.4))
    assert (
        seconds_until(*quiet[:2])
        < 2.0
        < 3.0
        < seconds_until(*lossy[:2])
        < seconds_until(*bad[:2])
        < 7.0
    )
    assert quiet[2] < 2.0 and all(highest < 8.0 for highest in (lossy[2], bad[2]))
    assert quiet[0].loss < 0.05 and bad[0].loss == pytest.approx(0.4, abs=0.15)
    # Once the network has recovered, the estimated loss falls to that of a healthy link.
    for i in range(WINDOW_GAPS + 1):
        bad[0].record_arrival(bad[1] + (i + 1) * HEARTBEAT_SECONDS)
    assert bad[0].loss < 0.05 and bad[0].lost == 0


def test_history_without_arrivals_measures_silence_from_its_first_use_and_reaches_phi_late():
    arrivals = ArrivalHistory(HEARTBEAT_SECONDS)
    assert arrivals.phi(50.0) < 1.0 and arrivals.silence(51.0) == 1.0
    assert 4.0 < seconds_until(arrivals, 50.0) < 10.0
    arrivals.record_arrival(60.0)
    # The time before the first arrival is not a gap.
    assert arrivals.phi(60.1) < 1.0 and arrivals.lost == 0


def test_history_after_an_announced_change_of_the_interval_shows_no_loss_and_low_phi():
    arrivals, last_arrival, _ = history_with_loss(0.0)
    arrivals.record_arrival(last_arrival + HEARTBEAT_SECONDS, 1.0)
    last_arrival += HEARTBEAT_SECONDS
    for _ in range(5):
        assert arrivals.phi(last_arrival + 1.0) < 1.0
        last_arrival += 1.0
        arrivals.record_arrival(last_arrival)
    assert arrivals.lost == 0


def test_history_ignores_bursts_and_counts_an_outage_as_limited_loss():
    arrivals, last_arrival, _ = history_with_loss(0.0)
    before = seconds_until(arrivals, last_arrival)
    for _ in range(10):
        arrivals.record_arrival(last_arrival + HEARTBEAT_SECONDS)
    assert seconds_until(arrivals, last_arrival + HEARTBEAT_SECONDS) == pytest.approx(
        before, abs=0.1
    )
    arrivals.record_arrival(last_arrival + 1000.0)
    assert arrivals.loss < 0.3


@given(st.lists(st.floats(0.0, 100.0), max_size=80), st.floats(0.01, 10.0), st.floats(0.0, 50.0))
@settings(max_examples=100, deadline=None)
def test_phi_grows_with_the_silence_for_any_gaps_and_their_number_is_bounded(gaps, interval, span):
    arrivals, now = ArrivalHistory(interval), 0.0
    for gap in gaps:
        now += gap
        arrivals.record_arrival(now)
    assert 0.0 <= arrivals.phi(now) <= arrivals.phi(now + span) + 1e-6
    assert arrivals.phi(now + 1e6) >= 8.0
    assert len(arrivals._gaps) <= WINDOW_GAPS


@given(st.floats(0.0, 9.0), st.floats(0.0, 9.0))
@settings(deadline=None)
def test_excluded_pause_shortens_the_present_silence_only_by_its_duration(span, more):
    paused, _, _ = history_with_loss(0.0)
    running, last_arrival, _ = history_with_loss(0.0)
    paused.exclude_pause(span)
    assert paused.phi(last_arrival + span + more) == pytest.approx(
        running.phi(last_arrival + more), abs=1e-3
    )
    paused.record_arrival(last_arrival + span + HEARTBEAT_SECONDS)
    running.record_arrival(last_arrival + HEARTBEAT_SECONDS)
    assert paused.phi(last_arrival + span + HEARTBEAT_SECONDS + more) == pytest.approx(
        running.phi(last_arrival + HEARTBEAT_SECONDS + more), abs=1e-3
    )


def link_after_heartbeats(inbound=True, outbound=True, span=20.0, loss=0.0, seed=2):
    """Returns a link after `span` seconds of heartbeats in both directions, and that span.

    After 10 s heartbeats from the peer only arrive if `inbound`, those to the peer only if `outbound`.
    """
    rng, link, peer_received_at = random.Random(seed), PeerLink(HEARTBEAT_SECONDS, 0.0), 0.0
    for i in range(int(span / HEARTBEAT_SECONDS)):
        now = i * HEARTBEAT_SECONDS
        early = now < 10.0
        if (early or outbound) and rng.random() >= loss:
            peer_received_at = now
        if (early or inbound) and rng.random() >= loss:
            link.record_report(now + 0.1, now + 0.1 - peer_received_at)
    return link, span


@pytest.mark.parametrize(
    "inbound, outbound, state",
    [
        (True, True, LinkState.HEALTHY),
        (False, True, LinkState.PARTITIONED),
        (True, False, LinkState.OUTBOUND_LOSS),
        (False, False, LinkState.PARTITIONED),
    ],
)
def test_link_state_shows_which_direction_works(inbound, outbound, state):
    for loss in (0.0, 0.3):
        link, now = link_after_heartbeats(inbound, outbound, loss=loss)
        assert link.state(now) == state
        assert (link.receives(now), link.received_by(now)) == (inbound, inbound and outbound)
        link.record_relay(now)
        assert link.state(now) == (
            LinkState.INBOUND_LOSS if state == LinkState.PARTITIONED else state
        )
        assert link.state(now + 11.0) == LinkState.PARTITIONED


def test_link_state_is_healthy_under_loss_and_outbound_loss_if_the_peer_never_received():
    for seed in range(20):
        assert link_after_heartbeats(loss=0.3, seed=seed)[0].state(20.0) == LinkState.HEALTHY
    link = PeerLink(HEARTBEAT_SECONDS, 0.0)
    for i in range(60):
        link.record_report(i * HEARTBEAT_SECONDS, None)
    assert link.state(15.0) == LinkState.OUTBOUND_LOSS
    link.record_report(15.0, 0.1)
    assert link.state(15.0) == LinkState.HEALTHY
    # A report that is older than the last report changes nothing.
    link.record_report(15.1, 100.0)
    assert link.state(15.1) == LinkState.HEALTHY and link.state(22.0) == LinkState.PARTITIONED


def test_link_state_after_an_excluded_pause_is_unchanged():
    link, now = link_after_heartbeats()
    link.exclude_pause(60.0)
    assert (
        link.state(now + 60.0) == LinkState.HEALTHY
        and link.state(now + 71.0) == LinkState.PARTITIONED
    )


# --------------------------------------------------------- state machines of members on a simulated network


def joined(seed, members=24):
    """Returns a network on which all members have joined and run for 10 s."""
    net = MembershipNet(seed, members, zones=3)
    assert net.until(net.agreed, 60.0) is not None
    return net.run(10.0)


def names_except(net, *excluded):
    return sorted(name for name in net.nodes if name not in excluded)


def declared_by(net, among):
    """Returns the false deaths that the members in `among` declared."""
    return [(observer, subject) for _, observer, subject in net.false_deaths if observer in among]


def link_states(net, of):
    machine = net.nodes[of].machine
    return {name: machine.link_state(name) for name in machine.entries}


@pytest.mark.parametrize("members", [3, 24])
def test_member_that_receives_nothing_removes_nobody_and_stays_listed(members):
    net = joined(1, members)
    net.cut(names_except(net, "m0001"), ["m0001"], both=False)
    net.run(120.0)
    machine = net.nodes["m0001"].machine
    assert not net.false_deaths and len(machine.members()) == members
    assert (
        machine.isolated
        and machine.counts.isolated == 1
        and set(link_states(net, "m0001").values()) == {LinkState.PARTITIONED}
    )
    assert all(
        link_states(net, name)["m0001"] == LinkState.OUTBOUND_LOSS
        for name in names_except(net, "m0001")
    )
    net.paths.clear()
    assert (
        net.until(lambda: set(link_states(net, "m0001").values()) == {LinkState.HEALTHY}, 90.0)
        is not None
    )
    assert not machine.isolated


def test_member_whose_messages_reach_nobody_removes_nobody_and_is_removed():
    net = joined(2)
    net.cut(["m0001"], names_except(net, "m0001"), both=False)
    net.run(120.0)
    assert not declared_by(net, ["m0001"]) and len(net.nodes["m0001"].machine.members()) == 24
    assert {subject for _, _, subject in net.false_deaths} == {"m0001"}


def test_member_that_only_half_of_the_others_can_reach_stays_listed_by_all():
    net = joined(3)
    cut_off = names_except(net, "m0001")[::2]
    net.cut(["m0001"], cut_off)
    net.run(120.0)
    assert not net.false_deaths and net.agreed()
    states = [link_states(net, name)["m0001"] for name in cut_off]
    # Other members report that they exchange messages with this one.
    assert (
        states.count(LinkState.INBOUND_LOSS) > len(states) / 2 and LinkState.HEALTHY not in states
    )
    assert sum(node.machine.counts.attested for node in net.nodes.values()) > 0


@pytest.mark.parametrize("seed", range(3))
def test_one_way_partition_of_halves_lets_the_receiving_half_declare_nobody_dead(seed):
    net = joined(seed)
    receiving, not_receiving = names_except(net)[:12], names_except(net)[12:]
    net.cut(receiving, not_receiving, both=False)
    net.run(120.0)
    assert not declared_by(net, receiving) and len(declared_by(net, not_receiving)) >= 144
    net.paths.clear()
    assert net.until(net.agreed, 60.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_two_fifths_removes_no_healthy_member_and_a_dead_one_is_still_removed(seed):
    net = joined(seed)
    net.default_path = NetworkPath(loss=0.4)
    net.run(120.0)
    assert not net.false_deaths
    net.kill("m0003")
    assert net.until(net.agreed, 60.0) is not None and not net.false_deaths


def test_repeated_short_pauses_of_a_third_of_the_members_remove_nobody():
    net = joined(4)

    def pause_again():
        for name in names_except(net)[:8]:
            net.at(net.now + net.rng.random() * 2.4, lambda name=name: net.pause(name, 1.5))
        net.at(net.now + 4.0, pause_again)

    pause_again()
    net.run(120.0)
    assert not net.false_deaths and net.nodes["m0000"].machine.counts.late > 5


@pytest.mark.parametrize("members, killed", [(2, 1), (3, 1), (4, 2), (5, 3), (24, 15)])
def test_few_remaining_members_remove_all_killed_ones(members, killed):
    net = joined(5, members)
    for name in names_except(net)[:killed]:
        net.kill(name)
    assert net.until(net.agreed, 60.0) is not None and not net.false_deaths


def test_last_of_three_members_keeps_the_others_since_it_may_itself_be_isolated():
    net = joined(6, 3)
    for name in ("m0000", "m0001"):
        net.kill(name)
    net.run(60.0)
    assert (
        len(net.nodes["m0002"].machine.members()) == 3
        and net.nodes["m0002"].machine.health.score > 0
    )


def test_median_time_to_remove_a_dead_member_without_loss_is_under_three_seconds():
    removal_seconds = []
    for seed in range(9):
        net = joined(seed)
        net.kill("m0003")
        removal_seconds.append(net.until(net.agreed, 20.0, 0.05))
        assert not net.false_deaths
    assert sorted(removal_seconds)[4] < 3.0


def test_partitioned_halves_list_each_other_as_dead_and_rejoin_after_the_partition():
    net = joined(7)
    halves = names_except(net)[:12], names_except(net)[12:]
    net.cut(*halves)
    assert net.until(lambda: all(net.agreed(half) for half in halves), 60.0) is not None
    net.paths.clear()
    assert net.until(net.agreed, 30.0) is not None


def test_jump_of_the_clock_counts_as_one_pause_and_does_not_isolate_the_member():
    net = joined(8)
    machine = net.nodes["m0002"].machine
    before = machine.counts.late
    # A message arrives before the next tick.
    machine.receive(net.now + 40.0, Message("news"), "m0003", net.nodes["m0003"].address)
    assert machine.counts.late == before + 1 and not machine.isolated
    machine.tick(net.now + 40.1)
    assert machine.counts.late == before + 1 and machine.due <= net.now + 41.0
