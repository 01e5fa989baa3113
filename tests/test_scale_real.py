"""Real dispatchers, as `deploy/cluster.json` ships them, started at once."""

from yewrill.lab.cluster.pace import measured_slowdown
from yewrill.lab.scale.fleet import FleetPlan, ScaleFleet, in_one_view
from yewrill.lab.scale.measure import wait_for_one_view
from yewrill.lab.scale.plan import Mix

LIMIT_S = 30.0  # of a machine with nothing else to do


def test_24_real_dispatchers_started_at_once_are_in_one_view_and_hold_nothing_back(tmp_path):
    with ScaleFleet(FleetPlan(Mix(24, 0)), tmp_path / "fleet") as fleet:
        assert wait_for_one_view(fleet, LIMIT_S * measured_slowdown()) is not None
        told = fleet.status()
    assert len(told) == 24 and in_one_view(told)
    assert {len(status["members"]["members"]) for status in told.values()} == {24}
    assert not any(status["members"]["members_held_back"] for status in told.values())
    assert not any(status["views"]["views_conflict"] for status in told.values())


def test_hollow_dispatchers_are_in_one_view_with_real_ones_and_send_alike(tmp_path):
    with ScaleFleet(FleetPlan(Mix(2, 6)), tmp_path / "fleet") as fleet:
        assert wait_for_one_view(fleet, LIMIT_S * measured_slowdown()) is not None
        told = fleet.status()
    kinds = {name: set(status["members"]["sent"]) for name, status in told.items()}
    for name in (one.name for one in fleet.real):
        assert {"ping", "ack", "views"} <= kinds[name] & kinds["d001"]
