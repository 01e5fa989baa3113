"""Zone failover: the plan and its capacity limits, simulated fleets of failover machines, the policy that
follows traffic weights, and a service with operators' orders."""

import random
from itertools import pairwise

import pytest
from helper import ScriptedWorker, done, running_service, trio_test
from hypothesis import given
from hypothesis import strategies as st

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.lab.netsim import NetworkPath
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


# ----------------------------------------------------------------------------------- plan and capacity limits


COUNT = st.integers(0, MAX_ATTEMPT_COUNT).flatmap(
    lambda ended: st.tuples(st.just(ended), st.integers(0, ended))
)


@given(
    PLAN,
    st.dictionaries(st.text(min_size=1, max_size=9), COUNT, max_size=64),
    st.binary(max_size=40),
)
def test_messages_are_decoded_as_encoded_and_malformed_ones_are_refused(plan, counts, invalid):
    assert unpack(pack(ZoneMessage(3, plan.version, plan=plan))).plan.version == plan.version
    answer = ZoneMessage(ANSWER, plan.version, 7, True, 2.5, counts, ("a",))
    assert unpack(pack(answer)) == answer
    for data in (
        invalid,
        pack(answer)[:-1],
        pack(ZoneMessage(3, (plan.number + 1, plan.version[1]), plan=plan)),
    ):
        with pytest.raises(Malformed):
            unpack(data)


@given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0.1, 1e4), min_size=2), st.data())
def test_min_traffic_weight_keeps_to_the_capacity_limits(capacity, data):
    zones = sorted(capacity)
    plan = FailoverPlan(1, data.draw(st.dictionaries(st.sampled_from(zones[1:]), ENTRY)))
    zone, total = zones[0], sum(capacity.values())
    busy, most_out = data.draw(st.floats(0.0, 1.5)) * total, data.draw(st.floats(0.0, 1.0))
    weight = min_traffic_weight(plan, zone, capacity, busy, most_out)
    others = sum(c * plan.traffic_weight(z) / FULL_WEIGHT for z, c in capacity.items() if z != zone)
    assert 0 <= weight <= FULL_WEIGHT
    # If traffic moves, the other zones have capacity for it, and no more than the allowed fraction is left.
    if weight < FULL_WEIGHT:
        assert (
            busy - busy * capacity[zone] / total * weight / FULL_WEIGHT
            <= 0.95 * others + 0.001 * busy
        )
        assert (
            total - others - capacity[zone] * weight / FULL_WEIGHT
            <= most_out * total + 0.001 * total
        )


def test_recovery_steps_lead_to_the_full_traffic_weight():
    entry, steps = ZoneEntry(0, 3), []
    while entry is not None:
        entry = next_recovery_step(entry)
        steps.append(FULL_WEIGHT if entry is None else entry.traffic_weight)
    assert steps == [50, 200, 500, FULL_WEIGHT]


@given(st.lists(st.tuples(st.floats(0, 5), st.sampled_from("ab"), st.booleans()), max_size=60))
def test_evidence_counts_only_the_attempts_in_its_window(ended):
    evidence, now, log = Evidence(), 0.0, []
    for wait, zone, lost in ended:
        now += wait
        evidence.record_attempt(now, zone, lost)
        log.append((now, zone, lost))
        for low_traffic_zones, span, most in ((), 2.5, 8), ("ab", 4.0, 64):
            for name in "ab":
                recent = [is_lost for at, z, is_lost in log if z == name and at >= now - span][
                    -most:
                ]
                assert evidence.counts(now, low_traffic_zones).get(name, (0, 0)) == (
                    len(recent),
                    sum(recent),
                )


# ----------------------------------------------------------------------------------------- simulated fleets


def is_left(net, zone):
    return net.agreed() and max(net.traffic_weight(zone)) < 0.5


def has_recovered(net, zone):
    return net.agreed() and min(net.traffic_weight(zone)) == 1.0


def versions_only_rise(net):
    """Whether the plan versions of every member only rose, in the order in which it adopted them."""
    return all(
        [c[1] for c in m.changes] == sorted(c[1] for c in m.changes) for m in net.members.values()
    )


@pytest.mark.parametrize(("members", "zones"), [(6, 2), (24, 3), (60, 8)])
def test_a_dead_zone_is_left_by_all_members_and_recovers_in_steps(members, zones):
    net = ZoneNet(members, members, zones, load=0.4).run(5)
    net.loss["z0"] = 1.0
    assert net.until(lambda: is_left(net, "z0"), 4) is not None
    net.run(1.5)
    net.loss["z0"] = 0.0
    began = net.now
    assert net.until(lambda: has_recovered(net, "z0"), 60) is not None
    assert versions_only_rise(net)
    steps = [weights.get("z0", 1.0) for _, _, weights in net.members["m0001"].changes]
    assert steps[steps.index(0.0) :] == [0.0, 0.05, 0.2, 0.5, 1.0] and net.now - began > 2


@pytest.mark.parametrize("seed", [1, 2])
def test_healthy_zones_are_not_left_on_a_lossy_network(seed):
    net = ZoneNet(
        seed, 24, 3, path=NetworkPath(delay=0.02, jitter=0.05, loss=0.2, duplication=0.1)
    ).run(30)
    assert not any(m.machine.plan.number for m in net.living())


def test_members_agree_and_versions_only_rise_on_a_lossy_network():
    net = ZoneNet(
        5, 24, 3, path=NetworkPath(delay=0.02, jitter=0.05, loss=0.2, duplication=0.1)
    ).run(3)
    net.loss["z1"] = 0.9
    assert net.until(lambda: is_left(net, "z1"), 8) is not None
    net.loss["z1"] = 0.0
    assert net.until(lambda: has_recovered(net, "z1"), 90) is not None and versions_only_rise(net)


def make_faulty(net, name, *, plan=None):
    """Makes a member answer each poll with a failure of all zones, and otherwise send a plan of its own."""
    rng = random.Random(1)

    def rewrite(data):
        message = unpack(data)
        if message.kind == ANSWER:
            counts = {zone: (MAX_ATTEMPT_COUNT, MAX_ATTEMPT_COUNT) for zone in net.zones}
            return pack(
                ZoneMessage(
                    ANSWER, message.version, message.number, False, 1e9, counts, tuple(net.zones)
                )
            )
        number = max(m.machine.plan.number for m in net.living()) + rng.choice((1, 2, 50, 10**6))
        faulty_plan = FailoverPlan(number, plan or {rng.choice(net.zones): ZoneEntry(0, 64)})
        return pack(ZoneMessage(3, faulty_plan.version, plan=faulty_plan))

    net.members[name].rewrite_message = rewrite


@pytest.mark.parametrize(("members", "zones"), [(6, 3), (24, 3)])
def test_a_single_faulty_member_cannot_have_a_zone_left_or_keep_it_in_use(members, zones):
    net = ZoneNet(3, members, zones)
    make_faulty(net, "m0001")
    net.run(20)
    other_members = [m for m in net.living() if m.name != "m0001"]
    assert not any(m.machine.plan.zones for m in other_members)
    # The faulty member can't cause many polls.
    assert sum(m.machine.statistics.polls for m in other_members) < 20 * 2.6 * len(other_members)
    net.loss["z0"] = 1.0
    net.run(6)
    assert all(
        m.machine.traffic_weights().get("z0", 1.0) < 0.1 for m in other_members if m.zone != "z0"
    )
    assert all(set(m.machine.plan.zones) == {"z0"} for m in other_members)


def test_a_zone_that_only_one_other_zone_cannot_reach_is_not_left():
    net = ZoneNet(4, 24, 4).run(2)
    net.blocked_zone_pairs.add(("z1", "z0"))
    net.run(15)
    assert not any(m.machine.plan.number for m in net.living())


def test_a_failure_that_only_a_third_of_the_members_sees_makes_no_plan():
    net = ZoneNet(21, 24, 4).run(2)
    net.unaffected = set(sorted(net.members)[8:])
    net.loss["z2"] = 1.0
    net.run(15)
    assert not any(m.machine.plan.number for m in net.living())


def test_two_of_four_zones_are_left_but_not_a_third():
    net = ZoneNet(22, 24, 4, load=0.4).run(2)
    net.loss["z0"] = net.loss["z1"] = 1.0
    assert net.until(lambda: is_left(net, "z0") and is_left(net, "z1"), 10) is not None
    net.loss["z2"] = 1.0
    net.run(6)
    assert min(net.traffic_weight("z2")) >= 0.9 or min(net.traffic_weight("z0")) > 0.0


@pytest.mark.parametrize(
    ("regions", "is_degraded"),
    [
        ({}, True),
        ({"z0": "alps", "z1": "sea", "z2": "sea"}, False),
        ({"z0": "sea", "z1": "sea", "z2": "sea"}, True),
        ({"z0": "alps", "z1": "sea", "z2": "plain"}, True),
    ],
)
def test_a_member_that_loses_most_zones_is_degraded_unless_they_are_one_other_region(
    regions, is_degraded
):
    machine = FailoverMachine("a", "z0", list, random.Random(1), 0.0)
    machine.regions = lambda: regions
    for zone in ("z0", "z1", "z2"):
        for _ in range(4):
            machine.record_attempt(0.0, zone, zone != "z0")
    assert machine.is_degraded() == is_degraded


def test_members_that_are_cut_off_themselves_make_no_plan():
    net = ZoneNet(4, 24, 4).run(2)
    net.blocked_zone_pairs |= {("z1", zone) for zone in net.zones if zone != "z1"}
    net.partition(net.members_of("z1"), net.members_of("z0", "z2", "z3"), heal_after=12)
    net.run(25)
    assert not any(m.machine.plan.number for m in net.living())


def test_two_of_three_failing_zones_are_not_both_left():
    net = ZoneNet(8, 24, 3).run(2)
    net.loss["z0"] = net.loss["z1"] = 1.0
    for _ in range(40):
        net.run(0.5)
        out = [m.machine.traffic_weights() for m in net.living()]
        assert all(
            sum(1 - weights.get(zone, 1.0) for zone in net.zones) <= 0.5 * 3 + 0.01
            for weights in out
        )


def test_a_failing_zone_keeps_the_traffic_that_the_others_have_no_capacity_for():
    net = ZoneNet(6, 24, 3, load=0.9).run(2)
    net.loss["z0"] = 1.0
    net.run(10)
    assert min(net.traffic_weight("z0")) > 0.8
    for member in net.members.values():
        member.machine.busy *= 0.6  # now the other zones have capacity
    assert net.until(lambda: is_left(net, "z0"), 6) is not None


def test_a_minority_makes_no_plan_and_adopts_the_majoritys_after_healing():
    net = ZoneNet(9, 24, 3).run(2)
    minority = [f"m{i:04d}" for i in range(8)]
    net.partition(minority, [name for name in net.members if name not in minority], heal_after=40)
    net.run(net.detection_delay + 1)
    net.loss["z2"] = 1.0
    net.run(12)
    assert all(net.members[name].machine.plan.number == 0 for name in minority)
    assert all(
        net.members[f"m{i:04d}"].machine.traffic_weights().get("z2", 1.0) < 0.1
        for i in range(8, 24)
    )
    net.run(20)
    assert net.until(
        lambda: is_left(net, "z2") or has_recovered(net, "z2"), 15
    ) is not None and versions_only_rise(net)


def test_a_member_that_was_paused_adopts_the_current_plan():
    net = ZoneNet(10, 24, 3).run(2)
    net.pause("m0004", 20)
    net.pause("m0005", 20)
    net.loss["z0"] = 1.0
    net.run(19)
    before = max(m.machine.plan.number for m in net.living())
    assert before > 0
    paused = net.members["m0004"].machine
    assert net.until(
        lambda: net.agreed() and paused.plan.number >= before, 6
    ) is not None and versions_only_rise(net)


def test_failover_does_not_depend_on_a_members_clock_offset():
    net = ZoneNet(11, 12, 3)
    net.members["m0002"].clock_offset = 3600.0
    net.members["m0002"].machine.due += 3600.0
    net.run(3)
    net.loss["z0"] = 1.0
    assert net.until(lambda: is_left(net, "z0"), 5) is not None
    net.loss["z0"] = 0.0
    assert net.until(lambda: has_recovered(net, "z0"), 60) is not None and versions_only_rise(net)


def test_a_flapping_zone_is_left_for_longer_each_time():
    net = ZoneNet(12, 24, 3).run(2)
    for i in range(24):
        net.at(net.now + 3.0 * i, lambda i=i: net.loss.update(z0=float(i % 2 == 0)))
    net.run(72)
    leave_count = max(
        sum(
            # Drops of the weight, not counting failed trials.
            b.get("z0", 1.0) < 0.05 < a.get("z0", 1.0)
            for (_, _, a), (_, _, b) in pairwise(m.changes)
        )
        for m in net.members.values()
    )
    penalty_count = max(
        m.machine.plan.zones["z0"].penalty_count
        for m in net.living()
        if "z0" in m.machine.plan.zones
    )
    assert penalty_count >= 3
    assert 1 <= leave_count <= 6  # the zone fails twelve times
    assert versions_only_rise(net)


def test_a_zone_that_fails_during_recovery_is_left_again_at_once():
    net = ZoneNet(13, 24, 3).run(2)
    net.loss["z0"] = 1.0
    net.until(lambda: is_left(net, "z0"), 5)
    net.loss["z0"] = 0.0
    assert net.until(lambda: 0.2 <= min(net.traffic_weight("z0")) < 1.0, 30) is not None
    net.loss["z0"] = 1.0
    assert net.until(lambda: net.agreed() and max(net.traffic_weight("z0")) <= 0.05, 6) is not None
    assert net.members["m0001"].machine.plan.zones["z0"].penalty_count == 2


def test_members_agree_on_a_plan_while_most_of_them_restart():
    net = ZoneNet(14, 24, 3).run(2)
    names = sorted(net.members)[:22]
    for i, name in enumerate(names):
        net.at(net.now + 0.3 * i, lambda name=name: net.restart(name))
    net.run(2)
    net.loss["z0"] = 1.0
    net.run(6)
    assert net.until(lambda: is_left(net, "z0"), 6) is not None


def test_all_members_together_keep_to_a_recovering_zones_traffic_weight():
    net = ZoneNet(15, 60, 3).run(2)
    net.loss["z0"] = 1.0
    net.until(lambda: is_left(net, "z0"), 5)
    net.loss["z0"] = 0.0
    assert net.until(lambda: net.agreed() and net.traffic_weight("z0")[0] == 0.05, 20) is not None
    start = net.now
    net.run(1.0)
    sent = sum(at >= start for at in net.attempts["z0"])
    assert max(net.traffic_weight("z0")) == 0.05 and sent <= 2 * 0.05 * 60 * 20 / 3


def test_a_plan_expires_when_no_message_arrives():
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


def test_only_the_lease_holder_makes_plans_and_those_of_an_earlier_holder_are_refused():
    net = ZoneNet(23, 24, 3).run(2)
    for member in net.members.values():
        member.machine.epoch = 2
        member.machine.lease_holder = "" if member.name == "m0001" else "m0001"
    net.unaffected = {"m0001"}
    net.loss["z0"] = 1.0
    assert net.until(lambda: is_left(net, "z0"), 6) is not None
    assert [m.name for m in net.members.values() if m.machine.statistics.plans_made] == ["m0001"]
    # A plan of the lease with number 1.
    late_plan = FailoverPlan(PLANS_PER_EPOCH + 9, {"z2": ZoneEntry(0)})
    for member in net.living():
        member.machine.receive(
            net.now,
            pack(ZoneMessage(3, late_plan.version, plan=late_plan)),
            "m0002",
            ("10.0.0.1", 1026),
        )
    assert not any(
        r.plan is late_plan for m in net.living() for r in m.machine._unconfirmed_plans.values()
    )


# -------------------------------------------------------------------------------- the policy and the service


def count_by_zone(weights, zone_of, jobs=200, **more):
    """How many of `jobs` requests the policy sends to each zone."""
    request_class = api.RequestClass("a", 500.0, 4000.0)
    policy = Dispatcher(api.Settings([request_class], zone=0, reports_start=True, fees=more), 1)
    entries = [api.WorkerEntry(name, zone) for name, zone in zone_of.items()]
    policy.handle(0.0, [api.WorkerList(api.ListForm.FULL, entries)])
    if weights is not None:
        policy.handle(0.0, [api.ZoneTrafficWeights(weights)])
    counts, now = {}, 0.0
    for i in range(jobs):
        now += 50.0
        for action in policy.handle(now, [api.RequestArrived(f"j{i}", 0, now + 4000.0)]):
            if isinstance(action, api.Send):
                counts[zone_of[action.worker]] = counts.get(zone_of[action.worker], 0) + 1
                policy.handle(
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


def test_the_policy_keeps_to_traffic_weights_and_leaves_its_own_zone_at_once():
    assert count_by_zone({}, WORKERS, cross_zone=0.3) == {0: 200}
    assert count_by_zone({0: 0.0}, WORKERS, cross_zone=0.3) == {1: 200}
    counts_at_quarter = count_by_zone({0: 0.25}, WORKERS, cross_zone=0.3)
    assert 45 <= counts_at_quarter[0] <= 55 and counts_at_quarter[0] + counts_at_quarter[1] == 200
    # Without a cost of crossing zones all zones are equal.
    assert set(count_by_zone({1: 0.0}, WORKERS)) == {0}


def test_the_policy_uses_a_left_zone_if_there_is_no_other():
    assert count_by_zone({0: 0.0}, {"w0": 0, "w1": 0}) == {0: 200}


ZONES = {
    "members": {
        "listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:9"],
        "keys": ["ab" * 16],
        "zone": "room",
    },
    "zones": {},
}


@trio_test
async def test_the_service_follows_operators_orders_and_counts_attempts_by_zone():
    worker = ScriptedWorker("d1", done)
    async with running_service(
        worker, settings={"areas": ["room", "hall"]}, mgmt="127.0.0.1:0", **ZONES
    ) as harness:
        assert (await harness.ask()).status == 200
        zones = harness.service.subsystems[1]
        shown = (await harness.call("GET /_zones")).body
        assert b'"zone": "room"' in shown and zones.status()["zones"][0]["ended"] == 1
        assert (await harness.call("PUT /_zones/leave?name=nowhere")).status == 404
        assert (await harness.call("PUT /_zones/leave?name=room")).status == 200
        fleet = harness.service.engine._module.fleet
        await harness.wait_until(lambda: fleet.zone_weights == {0: 0.0})
        assert (await harness.ask(X_Request_ID="r2")).status == 200  # there is no other zone
        assert (await harness.call("PUT /_zones/return?name=room")).status == 200
        await harness.wait_until(lambda: fleet.zone_weights == {})
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
def test_an_invalid_setting_of_zones_is_named_in_the_error(change, key):
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
