"""Leaving a zone as a fleet: pure machines in a virtual network, the guards, one service that goes by it."""

import random
from itertools import pairwise

import pytest
from helper import Peer, done, story, world
from hypothesis import given
from hypothesis import strategies as st

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.lab.netsim import Path
from yewrill.lab.zonenet import ZoneNet
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.zone_failover.evidence import Evidence
from yewrill.zone_failover.format import (
    ANSWER,
    MAX_ATTEMPT_COUNT,
    Malformed,
    ZoneMessage,
    pack,
    unpack,
)
from yewrill.zone_failover.machine import FailoverMachine, Member
from yewrill.zone_failover.plan import (
    FULL_WEIGHT,
    PLANS_PER_EPOCH,
    FailoverPlan,
    ZoneEntry,
    min_traffic_weight,
    next_recovery_step,
)

ENTRY = st.builds(ZoneEntry, st.integers(0, FULL_WEIGHT - 1), st.integers(1, 64), st.booleans())
PLAN = st.builds(
    FailoverPlan,
    st.integers(1, 2**48),
    st.dictionaries(st.text("abz", min_size=1), ENTRY, max_size=5),
)


# ------------------------------------------------------------------------------------------ plan and guards


COUNT = st.integers(0, MAX_ATTEMPT_COUNT).flatmap(
    lambda ended: st.tuples(st.just(ended), st.integers(0, ended))
)


@given(
    PLAN,
    st.dictionaries(st.text(min_size=1, max_size=9), COUNT, max_size=64),
    st.binary(max_size=40),
)
def test_what_is_said_comes_out_as_it_went_in_and_nothing_else_is_taken(plan, counts, noise):
    assert unpack(pack(ZoneMessage(3, plan.version, plan=plan))).plan.version == plan.version
    told = ZoneMessage(ANSWER, plan.version, 7, True, 2.5, counts, ("a",))
    assert unpack(pack(told)) == told
    for data in (
        noise,
        pack(told)[:-1],
        pack(ZoneMessage(3, (plan.number + 1, plan.version[1]), plan=plan)),
    ):
        with pytest.raises(Malformed):
            unpack(data)


@given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0.1, 1e4), min_size=2), st.data())
def test_a_zone_is_left_only_as_far_as_the_guards_allow(capacity, data):
    zones = sorted(capacity)
    plan = FailoverPlan(1, data.draw(st.dictionaries(st.sampled_from(zones[1:]), ENTRY)))
    zone, total = zones[0], sum(capacity.values())
    busy, most_out = data.draw(st.floats(0.0, 1.5)) * total, data.draw(st.floats(0.0, 1.0))
    share = min_traffic_weight(plan, zone, capacity, busy, most_out)
    others = sum(c * plan.traffic_weight(z) / FULL_WEIGHT for z, c in capacity.items() if z != zone)
    assert 0 <= share <= FULL_WEIGHT
    if (
        share < FULL_WEIGHT
    ):  # then what goes out is carried by the others, and no more than the stated part is out
        assert (
            busy - busy * capacity[zone] / total * share / FULL_WEIGHT
            <= 0.95 * others + 0.001 * busy
        )
        assert (
            total - others - capacity[zone] * share / FULL_WEIGHT
            <= most_out * total + 0.001 * total
        )


def test_the_way_back_ends_well_and_each_entry_has_a_next_step():
    entry, steps = ZoneEntry(0, 3), []
    while entry is not None:
        entry = next_recovery_step(entry)
        steps.append(FULL_WEIGHT if entry is None else entry.traffic_weight)
    assert steps == [50, 200, 500, FULL_WEIGHT]


@given(st.lists(st.tuples(st.floats(0, 5), st.sampled_from("ab"), st.booleans()), max_size=60))
def test_counts_are_of_the_last_window_only(ended):
    evidence, now, log = Evidence(), 0.0, []
    for wait, zone, lost in ended:
        now += wait
        evidence.record_attempt(now, zone, lost)
        log.append((now, zone, lost))
        for thin, span, most in ((), 2.5, 8), ("ab", 4.0, 64):
            for name in "ab":
                late = [one for at, z, one in log if z == name and at >= now - span][-most:]
                assert evidence.counts(now, thin).get(name, (0, 0)) == (len(late), sum(late))


# ----------------------------------------------------------------------------------------- the virtual fleet


def left(net, zone):
    return net.agreed() and max(net.traffic_weight(zone)) < 0.5


def back(net, zone):
    return net.agreed() and min(net.traffic_weight(zone)) == 1.0


def never_back(net):
    """Versions of every member only rise, in the order in which they were taken."""
    return all(
        [c[1] for c in m.changes] == sorted(c[1] for c in m.changes) for m in net.members.values()
    )


@pytest.mark.parametrize(("members", "zones"), [(6, 2), (24, 3), (60, 8)])
def test_a_dead_zone_is_left_by_all_soon_and_taken_back_in_steps(members, zones):
    net = ZoneNet(members, members, zones, load=0.4).run(5)
    net.loss["z0"] = 1.0
    assert net.until(lambda: left(net, "z0"), 4) is not None
    net.run(1.5)
    net.loss["z0"] = 0.0
    began = net.now
    assert net.until(lambda: back(net, "z0"), 60) is not None
    assert never_back(net)
    steps = [shares.get("z0", 1.0) for _, _, shares in net.members["m0001"].changes]
    assert steps[steps.index(0.0) :] == [0.0, 0.05, 0.2, 0.5, 1.0] and net.now - began > 2


@pytest.mark.parametrize("seed", [1, 2])
def test_a_well_fleet_on_a_lossy_network_leaves_nothing(seed):
    net = ZoneNet(seed, 24, 3, path=Path(delay=0.02, jitter=0.05, loss=0.2, duplication=0.1)).run(
        30
    )
    assert not any(m.machine.plan.number for m in net.living())


def test_plans_are_agreed_on_and_versions_never_go_back_in_a_lossy_network():
    net = ZoneNet(5, 24, 3, path=Path(delay=0.02, jitter=0.05, loss=0.2, duplication=0.1)).run(3)
    net.loss["z1"] = 0.9
    assert net.until(lambda: left(net, "z1"), 8) is not None
    net.loss["z1"] = 0.0
    assert net.until(lambda: back(net, "z1"), 90) is not None and never_back(net)


def liar(net, name, *, plan=None):
    """It says in every message that all zones fail, and tells everyone of a plan of its own."""
    rng = random.Random(1)

    def lie(data):
        said = unpack(data)
        if said.kind == ANSWER:
            counts = {zone: (MAX_ATTEMPT_COUNT, MAX_ATTEMPT_COUNT) for zone in net.zones}
            return pack(
                ZoneMessage(ANSWER, said.version, said.number, False, 1e9, counts, tuple(net.zones))
            )
        number = max(m.machine.plan.number for m in net.living()) + rng.choice((1, 2, 50, 10**6))
        made = FailoverPlan(number, plan or {rng.choice(net.zones): ZoneEntry(0, 64)})
        return pack(ZoneMessage(3, made.version, plan=made))

    net.members[name].rewrite_message = lie


@pytest.mark.parametrize(("members", "zones"), [(6, 3), (24, 3)])
def test_a_lone_liar_has_no_zone_left_and_none_kept_out(members, zones):
    net = ZoneNet(3, members, zones)
    liar(net, "m0001")
    net.run(20)
    honest = [m for m in net.living() if m.name != "m0001"]
    assert not any(m.machine.plan.zones for m in honest)
    assert sum(m.machine.statistics.polls for m in honest) < 20 * 2.6 * len(
        honest
    )  # nor are they kept busy
    net.loss["z0"] = 1.0
    net.run(6)
    assert all(m.machine.traffic_weights().get("z0", 1.0) < 0.1 for m in honest if m.zone != "z0")
    assert all(set(m.machine.plan.zones) == {"z0"} for m in honest)


def test_a_zone_that_is_cut_off_from_one_other_only_is_not_left_by_all():
    net = ZoneNet(4, 24, 4).run(2)
    net.blocked_zone_pairs.add(("z1", "z0"))
    net.run(15)
    assert not any(m.machine.plan.number for m in net.living())


def test_what_a_third_of_the_members_sees_and_the_rest_does_not_moves_nobody():
    net = ZoneNet(21, 24, 4).run(2)
    net.unaffected = set(sorted(net.members)[8:])
    net.loss["z2"] = 1.0
    net.run(15)
    assert not any(m.machine.plan.number for m in net.living())


def test_a_region_of_two_zones_of_four_is_left_whole_and_no_third_zone_after_it():
    net = ZoneNet(22, 24, 4, load=0.4).run(2)
    net.loss["z0"] = net.loss["z1"] = 1.0
    assert net.until(lambda: left(net, "z0") and left(net, "z1"), 10) is not None
    net.loss["z2"] = 1.0
    net.run(6)
    assert min(net.traffic_weight("z2")) >= 0.9 or min(net.traffic_weight("z0")) > 0.0


@pytest.mark.parametrize(
    ("regions", "doubts"),
    [
        ({}, True),
        ({"z0": "alps", "z1": "sea", "z2": "sea"}, False),
        ({"z0": "sea", "z1": "sea", "z2": "sea"}, True),
        ({"z0": "alps", "z1": "sea", "z2": "plain"}, True),
    ],
)
def test_who_loses_most_zones_doubts_itself_unless_they_are_just_another_region(regions, doubts):
    machine = FailoverMachine("a", "z0", list, random.Random(1), 0.0)
    machine.regions = lambda: regions
    for zone in ("z0", "z1", "z2"):
        for _ in range(4):
            machine.record_attempt(0.0, zone, zone != "z0")
    assert machine.is_degraded() == doubts


def test_who_is_cut_off_itself_blames_nobody():
    net = ZoneNet(4, 24, 4).run(2)
    net.blocked_zone_pairs |= {("z1", zone) for zone in net.zones if zone != "z1"}
    net.partition(net.members_of("z1"), net.members_of("z0", "z2", "z3"), heal_after=12)
    net.run(25)
    assert not any(m.machine.plan.number for m in net.living())


def test_two_of_three_zones_are_not_both_left():
    net = ZoneNet(8, 24, 3).run(2)
    net.loss["z0"] = net.loss["z1"] = 1.0
    for _ in range(40):
        net.run(0.5)
        out = [m.machine.traffic_weights() for m in net.living()]
        assert all(
            sum(1 - shares.get(zone, 1.0) for zone in net.zones) <= 0.5 * 3 + 0.01 for shares in out
        )


def test_a_failing_zone_keeps_what_the_others_at_nine_tenths_cannot_carry():
    net = ZoneNet(6, 24, 3, load=0.9).run(2)
    net.loss["z0"] = 1.0
    net.run(10)
    assert min(net.traffic_weight("z0")) > 0.8
    for member in net.members.values():
        member.machine.busy *= 0.6  # there is room now
    assert net.until(lambda: left(net, "z0"), 6) is not None


def test_a_minority_makes_no_plan_and_joins_the_rest_later():
    net = ZoneNet(9, 24, 3).run(2)
    few = [f"m{i:04d}" for i in range(8)]
    net.partition(few, [name for name in net.members if name not in few], heal_after=40)
    net.run(net.detection_delay + 1)
    net.loss["z2"] = 1.0
    net.run(12)
    assert all(net.members[name].machine.plan.number == 0 for name in few)
    assert all(
        net.members[f"m{i:04d}"].machine.traffic_weights().get("z2", 1.0) < 0.1
        for i in range(8, 24)
    )
    net.run(20)
    assert net.until(lambda: left(net, "z2") or back(net, "z2"), 15) is not None and never_back(net)


def test_one_that_was_paused_wakes_without_undoing_the_plan_and_takes_the_new_one():
    net = ZoneNet(10, 24, 3).run(2)
    net.pause("m0004", 20)
    net.pause("m0005", 20)
    net.loss["z0"] = 1.0
    net.run(19)
    before = max(m.machine.plan.number for m in net.living())
    assert before > 0
    woken = net.members["m0004"].machine
    assert net.until(
        lambda: net.agreed() and woken.plan.number >= before, 6
    ) is not None and never_back(net)


def test_a_clock_that_is_an_hour_ahead_changes_nothing():
    net = ZoneNet(11, 12, 3)
    net.members["m0002"].clock_offset = 3600.0
    net.members["m0002"].machine.due += 3600.0
    net.run(3)
    net.loss["z0"] = 1.0
    assert net.until(lambda: left(net, "z0"), 5) is not None
    net.loss["z0"] = 0.0
    assert net.until(lambda: back(net, "z0"), 60) is not None and never_back(net)


def test_a_zone_that_flaps_is_left_for_longer_each_time():
    net = ZoneNet(12, 24, 3).run(2)
    for i in range(24):
        net.at(net.now + 3.0 * i, lambda i=i: net.loss.update(z0=float(i % 2 == 0)))
    net.run(72)
    leaves = max(
        sum(
            b.get("z0", 1.0) < 0.05 < a.get("z0", 1.0)  # not a trial that failed
            for (_, _, a), (_, _, b) in pairwise(m.changes)
        )
        for m in net.members.values()
    )
    strikes = max(
        m.machine.plan.zones["z0"].penalty_count
        for m in net.living()
        if "z0" in m.machine.plan.zones
    )
    assert strikes >= 3
    assert 1 <= leaves <= 6  # of the twelve failures
    assert never_back(net)


def test_a_failure_in_the_middle_of_a_return_leaves_again_at_once():
    net = ZoneNet(13, 24, 3).run(2)
    net.loss["z0"] = 1.0
    net.until(lambda: left(net, "z0"), 5)
    net.loss["z0"] = 0.0
    assert net.until(lambda: 0.2 <= min(net.traffic_weight("z0")) < 1.0, 30) is not None
    net.loss["z0"] = 1.0
    assert net.until(lambda: net.agreed() and max(net.traffic_weight("z0")) <= 0.05, 6) is not None
    assert net.members["m0001"].machine.plan.zones["z0"].penalty_count == 2


def test_a_plan_is_agreed_on_while_nearly_all_restart():
    net = ZoneNet(14, 24, 3).run(2)
    names = sorted(net.members)[:22]
    for i, name in enumerate(names):
        net.at(net.now + 0.3 * i, lambda name=name: net.restart(name))
    net.run(2)
    net.loss["z0"] = 1.0
    net.run(6)
    assert net.until(lambda: left(net, "z0"), 6) is not None


def test_what_all_members_together_send_to_a_returning_zone_is_its_share():
    net = ZoneNet(15, 60, 3).run(2)
    net.loss["z0"] = 1.0
    net.until(lambda: left(net, "z0"), 5)
    net.loss["z0"] = 0.0
    assert net.until(lambda: net.agreed() and net.traffic_weight("z0")[0] == 0.05, 20) is not None
    start = net.now
    net.run(1.0)
    sent = sum(at >= start for at in net.attempts["z0"])
    assert max(net.traffic_weight("z0")) == 0.05 and sent <= 2 * 0.05 * 60 * 20 / 3


def test_without_news_a_plan_stands_for_its_time_only():
    machine = FailoverMachine(
        "a", "x", lambda: [Member("b", ("h", 1), "y", True)], random.Random(1), 0.0
    )
    plan = FailoverPlan(1, {"y": ZoneEntry(0)})
    machine._adopt(plan, "")
    machine.receive(1.0, pack(ZoneMessage(0, plan.version)), "b", ("h", 1))
    machine.tick(10.0)
    assert machine.traffic_weights() == {"y": 0.0}
    machine.tick(11.5)
    assert machine.traffic_weights() == {}


def test_an_owner_alone_makes_plans_also_of_what_it_does_not_see_and_an_earlier_one_is_refused():
    net = ZoneNet(23, 24, 3).run(2)
    for member in net.members.values():
        member.machine.epoch = 2
        member.machine.owner = "" if member.name == "m0001" else "m0001"
    net.unaffected = {"m0001"}
    net.loss["z0"] = 1.0
    assert net.until(lambda: left(net, "z0"), 6) is not None
    assert [m.name for m in net.members.values() if m.machine.statistics.plans_made] == ["m0001"]
    late = FailoverPlan(PLANS_PER_EPOCH + 9, {"z2": ZoneEntry(0)})  # of grant 1
    for member in net.living():
        member.machine.receive(
            net.now, pack(ZoneMessage(3, late.version, plan=late)), "m0002", ("10.0.0.1", 1026)
        )
    assert not any(
        r.plan is late for m in net.living() for r in m.machine._unconfirmed_plans.values()
    )


# -------------------------------------------------------------------------------- the module and the service


def decided(shares, zone_of, jobs=200, **more):
    """How many of so many jobs the module sends to each zone."""
    spec = api.RequestClass("a", 500.0, 4000.0)
    module = Dispatcher(api.Settings([spec], zone=0, reports_start=True, fees=more), 1)
    entries = [api.WorkerEntry(name, zone) for name, zone in zone_of.items()]
    module.handle(0.0, [api.WorkerList(api.ListForm.FULL, entries)])
    if shares is not None:
        module.handle(0.0, [api.ZoneTrafficWeights(shares)])
    counts, now = {}, 0.0
    for i in range(jobs):
        now += 50.0
        for action in module.handle(now, [api.RequestArrived(f"j{i}", 0, now + 4000.0)]):
            if isinstance(action, api.Send):
                counts[zone_of[action.worker]] = counts.get(zone_of[action.worker], 0) + 1
                module.handle(
                    now + 20.0,
                    [
                        api.AttemptStarted(action.request_id, 0, action.worker),
                        api.AttemptEnded(
                            action.request_id,
                            0,
                            action.worker,
                            api.PolicyOutcome.SERVED,
                            20.0,
                            True,
                        ),
                    ],
                )
    return counts


WORKERS = {f"w{i}": i % 2 for i in range(12)}


def test_the_module_sends_a_zone_its_share_and_crosses_at_once_where_its_own_is_left():
    assert decided({}, WORKERS, cross_zone=0.3) == {0: 200}
    assert decided({0: 0.0}, WORKERS, cross_zone=0.3) == {1: 200}
    part = decided({0: 0.25}, WORKERS, cross_zone=0.3)
    assert 45 <= part[0] <= 55 and part[0] + part[1] == 200
    assert set(decided({1: 0.0}, WORKERS)) == {0}  # without a fee all zones are near


def test_where_there_is_nowhere_else_a_left_zone_is_sent_to_all_the_same():
    assert decided({0: 0.0}, {"w0": 0, "w1": 0}) == {0: 200}


ZONES = {
    "members": {
        "listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:9"],
        "keys": ["ab" * 16],
        "zone": "room",
    },
    "zones": {},
}


@story
async def test_the_service_goes_by_the_operators_orders_and_counts_what_its_zones_do():
    peer = Peer("d1", done)
    async with world(
        peer, settings={"areas": ["room", "hall"]}, mgmt="127.0.0.1:0", **ZONES
    ) as here:
        assert (await here.ask()).status == 200
        zones = here.service.subsystems[1]
        shown = (await here.call("GET /_zones")).body
        assert b'"zone": "room"' in shown and zones.status()["zones"][0]["ended"] == 1
        assert (await here.call("PUT /_zones/leave?name=nowhere")).status == 404
        assert (await here.call("PUT /_zones/leave?name=room")).status == 200
        fleet = here.service.engine._module.fleet
        await here.until(lambda: fleet.zone_weights == {0: 0.0})
        assert (await here.ask(X_Request_ID="r2")).status == 200  # there is nowhere else
        assert (await here.call("PUT /_zones/return?name=room")).status == 200
        await here.until(lambda: fleet.zone_weights == {})
        assert zones.status()["zones"][0]["order"] == ""


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"zones": {"holds": 1}}, "zones.holds"),
        ({"zones": {"most_out": 2}}, "zones.most_out"),
        ({"members": None}, "zones: needs members"),
        ({"members": {**ZONES["members"], "zone": ""}}, "members.zone"),
    ],
)
def test_a_faulty_key_of_the_plan_is_named(change, key):
    raw = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {
            "areas": ["room"],
            "request_classes": [{"name": "a", "aim": 1, "deadline": 9.0}],
        },
        **ZONES,
        **change,
    }
    with pytest.raises(ConfigError, match=key):
        read_config(raw)
