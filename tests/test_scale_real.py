"""Real dispatchers with the shipped configuration (`deploy/cluster.json`), started at once on loopback.

Guards against a start of many dispatchers that uses up their send budgets, so that no view forms, and against
simulated ("hollow") dispatchers that behave differently from real ones.
"""

from yewrill.lab.cluster.pace import measured_slowdown
from yewrill.lab.scale.fleet import FleetPlan, ScaleFleet, in_one_view
from yewrill.lab.scale.measure import wait_for_one_view
from yewrill.lab.scale.plan import FleetMix

LIMIT_S = 30.0  # sufficient on an idle machine


def test_24_real_dispatchers_started_at_once_form_one_view_and_hold_no_datagram_back(tmp_path):
    with ScaleFleet(FleetPlan(FleetMix(24, 0)), tmp_path / "fleet") as fleet:
        assert wait_for_one_view(fleet, LIMIT_S * measured_slowdown()) is not None
        statuses = fleet.status()
    assert len(statuses) == 24 and in_one_view(statuses)
    assert {len(status["members"]["members"]) for status in statuses.values()} == {24}
    assert not any(status["members"]["members_held_back"] for status in statuses.values())
    assert not any(status["views"]["views_conflict"] for status in statuses.values())


def test_hollow_dispatchers_join_the_view_of_real_ones_and_send_the_same_kinds_of_messages(
    tmp_path,
):
    with ScaleFleet(FleetPlan(FleetMix(2, 6)), tmp_path / "fleet") as fleet:
        assert wait_for_one_view(fleet, LIMIT_S * measured_slowdown()) is not None
        statuses = fleet.status()
    kinds = {name: set(status["members"]["sent"]) for name, status in statuses.items()}
    for name in (dispatcher.name for dispatcher in fleet.real):
        assert {"ping", "ack", "views"} <= kinds[name] & kinds["d001"]
