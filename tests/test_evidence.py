"""Evidence in both directions: what a silence is worth, and whom a half-broken network has taken for dead."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.lab.netsim import MembershipNet, Path
from yewrill.membership.evidence import WINDOW_GAPS, ArrivalHistory, LinkState, PeerLink
from yewrill.membership.messages import Message

BEAT = 0.25


def listen(loss, beats=400, seed=1, interval=BEAT):
    """What a beat with loss leaves, the last time something came, and the highest phi on the way."""
    rng, arrivals, came, highest = random.Random(seed), ArrivalHistory(interval), 0.0, 0.0
    for i in range(beats):
        if rng.random() >= loss:
            came = i * interval + 0.002 + 0.005 * rng.expovariate(1.0)
            highest = max(highest, arrivals.phi(came))
            arrivals.record_arrival(came)
    return arrivals, came, highest


def until(arrivals, came, phi=8.0):
    span = 0.0
    while arrivals.phi(came + span) < phi:
        span += 0.05
    return span


def test_a_silence_counts_by_what_the_pair_is_used_to():
    quiet, lossy, bad = (listen(loss) for loss in (0.0, 0.3, 0.4))
    assert until(*quiet[:2]) < 2.0 < 3.0 < until(*lossy[:2]) < until(*bad[:2]) < 7.0
    assert quiet[2] < 2.0 and all(highest < 8.0 for highest in (lossy[2], bad[2]))
    assert quiet[0].loss < 0.05 and bad[0].loss == pytest.approx(0.4, abs=0.15)
    for i in range(WINDOW_GAPS + 1):  # as the network gets well again, so does the judgement
        bad[0].record_arrival(bad[1] + (i + 1) * BEAT)
    assert bad[0].loss < 0.05 and bad[0].lost == 0


def test_a_pair_without_arrivals_counts_from_its_beginning_and_is_given_time():
    arrivals = ArrivalHistory(BEAT)
    assert arrivals.phi(50.0) < 1.0 and arrivals.silence(51.0) == 1.0
    assert 4.0 < until(arrivals, 50.0) < 10.0
    arrivals.record_arrival(60.0)
    assert arrivals.phi(60.1) < 1.0 and arrivals.lost == 0  # what was before the first is no gap


def test_an_interval_that_its_sender_changes_is_neither_death_nor_loss():
    arrivals, came, _ = listen(0.0)
    arrivals.record_arrival(came + BEAT, 1.0)
    came += BEAT
    for _ in range(5):
        assert arrivals.phi(came + 1.0) < 1.0
        came += 1.0
        arrivals.record_arrival(came)
    assert arrivals.lost == 0


def test_several_at_once_are_no_rhythm_and_an_outage_is_not_loss_for_long():
    arrivals, came, _ = listen(0.0)
    before = until(arrivals, came)
    for _ in range(10):
        arrivals.record_arrival(came + BEAT)
    assert until(arrivals, came + BEAT) == pytest.approx(before, abs=0.1)
    arrivals.record_arrival(came + 1000.0)
    assert arrivals.loss < 0.3


@given(st.lists(st.floats(0.0, 100.0), max_size=80), st.floats(0.01, 10.0), st.floats(0.0, 50.0))
@settings(max_examples=100, deadline=None)
def test_phi_grows_with_silence_whatever_came_and_memory_is_bounded(gaps, interval, span):
    arrivals, now = ArrivalHistory(interval), 0.0
    for gap in gaps:
        now += gap
        arrivals.record_arrival(now)
    assert 0.0 <= arrivals.phi(now) <= arrivals.phi(now + span) + 1e-6
    assert arrivals.phi(now + 1e6) >= 8.0
    assert len(arrivals._gaps) <= WINDOW_GAPS


@given(st.floats(0.0, 9.0), st.floats(0.0, 9.0))
@settings(deadline=None)
def test_what_we_did_not_look_for_counts_against_nobody_and_no_more_than_that(span, more):
    asleep, _, _ = listen(0.0)
    awake, came, _ = listen(0.0)
    asleep.exclude_pause(span)
    assert asleep.phi(came + span + more) == pytest.approx(awake.phi(came + more), abs=1e-3)
    asleep.record_arrival(came + span + BEAT)
    awake.record_arrival(came + BEAT)
    assert asleep.phi(came + span + BEAT + more) == pytest.approx(
        awake.phi(came + BEAT + more), abs=1e-3
    )


def beaten(here=True, there=True, span=20.0, loss=0.0, seed=2):
    """A link after so long of beats: whether ours (`there`) and theirs (`here`) come after 10 s."""
    rng, link, heard_us = random.Random(seed), PeerLink(BEAT, 0.0), 0.0
    for i in range(int(span / BEAT)):
        now = i * BEAT
        early = now < 10.0
        if (early or there) and rng.random() >= loss:
            heard_us = now
        if (early or here) and rng.random() >= loss:
            link.record_report(now + 0.1, now + 0.1 - heard_us)
    return link, span


@pytest.mark.parametrize(
    "here, there, state",
    [
        (True, True, LinkState.HEALTHY),
        (False, True, LinkState.PARTITIONED),
        (True, False, LinkState.OUTBOUND_LOSS),
        (False, False, LinkState.PARTITIONED),
    ],
)
def test_a_link_says_which_of_its_directions_works(here, there, state):
    for loss in (0.0, 0.3):
        link, now = beaten(here, there, loss=loss)
        assert link.state(now) == state
        assert (link.receives(now), link.received_by(now)) == (here, here and there)
        link.record_relay(now)
        assert link.state(now) == (
            LinkState.INBOUND_LOSS if state == LinkState.PARTITIONED else state
        )
        assert link.state(now + 11.0) == LinkState.PARTITIONED


def test_both_directions_stay_well_through_loss_and_a_peer_that_never_heard_us_is_not():
    for seed in range(20):
        assert beaten(loss=0.3, seed=seed)[0].state(20.0) == LinkState.HEALTHY
    link = PeerLink(BEAT, 0.0)
    for i in range(60):
        link.record_report(i * BEAT, None)
    assert link.state(15.0) == LinkState.OUTBOUND_LOSS
    link.record_report(15.0, 0.1)
    assert link.state(15.0) == LinkState.HEALTHY
    link.record_report(15.1, 100.0)  # an old word changes nothing
    assert link.state(15.1) == LinkState.HEALTHY and link.state(22.0) == LinkState.PARTITIONED


def test_a_pause_of_our_own_leaves_a_link_as_it_was():
    link, now = beaten()
    link.exclude_pause(60.0)
    assert (
        link.state(now + 60.0) == LinkState.HEALTHY
        and link.state(now + 71.0) == LinkState.PARTITIONED
    )


# ---------------------------------------------------------------------- what members make of it, in a network


def joined(seed, members=24):
    net = MembershipNet(seed, members, zones=3)
    assert net.until(net.agreed, 60.0) is not None
    return net.run(10.0)


def others(net, *but):
    return sorted(name for name in net.nodes if name not in but)


def believed(net, among):
    """The false deaths that some believed."""
    return [(who, whom) for _, who, whom in net.false_deaths if who in among]


def links(net, of):
    machine = net.nodes[of].machine
    return {name: machine.link_state(name) for name in machine.entries}


@pytest.mark.parametrize("members", [3, 24])
def test_a_member_that_hears_nobody_takes_nobody_off_and_stays_on_the_lists(members):
    net = joined(1, members)
    net.cut(others(net, "m0001"), ["m0001"], both=False)
    net.run(120.0)
    alone = net.nodes["m0001"].machine
    assert not net.false_deaths and len(alone.members()) == members
    assert (
        alone.isolated
        and alone.counts.isolated == 1
        and set(links(net, "m0001").values()) == {LinkState.PARTITIONED}
    )
    assert all(
        links(net, name)["m0001"] == LinkState.OUTBOUND_LOSS for name in others(net, "m0001")
    )
    net.paths.clear()
    assert (
        net.until(lambda: set(links(net, "m0001").values()) == {LinkState.HEALTHY}, 90.0)
        is not None
    )
    assert not alone.isolated


def test_a_member_that_nobody_hears_takes_nobody_off():
    net = joined(2)
    net.cut(["m0001"], others(net, "m0001"), both=False)
    net.run(120.0)
    assert not believed(net, ["m0001"]) and len(net.nodes["m0001"].machine.members()) == 24
    assert {whom for _, _, whom in net.false_deaths} == {"m0001"}


def test_a_member_that_half_of_the_others_can_exchange_with_stays_on_all_lists():
    net = joined(3)
    unseeing = others(net, "m0001")[::2]
    net.cut(["m0001"], unseeing)
    net.run(120.0)
    assert not net.false_deaths and net.agreed()
    states = [links(net, name)["m0001"] for name in unseeing]
    assert (
        states.count(LinkState.INBOUND_LOSS) > len(states) / 2 and LinkState.HEALTHY not in states
    )  # a third exchanges with it
    assert sum(node.machine.counts.attested for node in net.nodes.values()) > 0


@pytest.mark.parametrize("seed", range(3))
def test_of_two_halves_the_one_that_hears_everything_lists_nobody_dead(seed):
    net = joined(seed)
    hearing, deaf = others(net)[:12], others(net)[12:]
    net.cut(hearing, deaf, both=False)
    net.run(120.0)
    assert not believed(net, hearing) and len(believed(net, deaf)) >= 144
    net.paths.clear()
    assert net.until(net.agreed, 60.0) is not None


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_two_fifths_takes_nobody_off(seed):
    net = joined(seed)
    net.default = Path(loss=0.4)
    net.run(120.0)
    assert not net.false_deaths
    net.kill("m0003")
    assert (
        net.until(net.agreed, 60.0) is not None and not net.false_deaths
    )  # and the dead are still found


def test_short_pauses_of_a_third_take_nobody_off():
    net = joined(4)

    def again():
        for name in others(net)[:8]:
            net.at(net.now + net.rng.random() * 2.4, lambda name=name: net.pause(name, 1.5))
        net.at(net.now + 4.0, again)

    again()
    net.run(120.0)
    assert not net.false_deaths and net.nodes["m0000"].machine.counts.late > 5


@pytest.mark.parametrize("members, killed", [(2, 1), (3, 1), (4, 2), (5, 3), (24, 15)])
def test_few_that_are_left_find_the_killed_ones(members, killed):
    net = joined(5, members)
    for name in others(net)[:killed]:
        net.kill(name)
    assert net.until(net.agreed, 60.0) is not None and not net.false_deaths


def test_the_only_one_left_of_three_can_not_tell_that_from_its_own_deafness():
    net = joined(6, 3)
    for name in ("m0000", "m0001"):
        net.kill(name)
    net.run(60.0)
    assert (
        len(net.nodes["m0002"].machine.members()) == 3
        and net.nodes["m0002"].machine.health.score > 0
    )


def test_a_death_without_loss_is_off_all_lists_in_three_seconds():
    spans = []
    for seed in range(9):
        net = joined(seed)
        net.kill("m0003")
        spans.append(net.until(net.agreed, 20.0, 0.05))
        assert not net.false_deaths
    assert sorted(spans)[4] < 3.0


def test_halves_cut_both_ways_still_list_each_other_as_dead_and_meet_again():
    net = joined(7)
    halves = others(net)[:12], others(net)[12:]
    net.cut(*halves)
    assert net.until(lambda: all(net.agreed(half) for half in halves), 60.0) is not None
    net.paths.clear()
    assert net.until(net.agreed, 30.0) is not None


def test_a_clock_that_jumps_is_a_pause_and_counts_against_nobody_once():
    net = joined(8)
    machine = net.nodes["m0002"].machine
    before = machine.counts.late
    machine.receive(
        net.now + 40.0, Message("news"), "m0003", net.nodes["m0003"].address
    )  # before any tick
    assert machine.counts.late == before + 1 and not machine.isolated
    machine.tick(net.now + 40.1)
    assert machine.counts.late == before + 1 and machine.due <= net.now + 41.0
