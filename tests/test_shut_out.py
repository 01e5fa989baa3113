"""No class stays refused once its workers are well again, whatever was learned while they were not."""

import pytest

from yewrill.lab.overload_world import Condition, Episode, OverloadWorld, Traffic
from yewrill.policy import interface as api
from yewrill.policy.interface import RejectionReason

RUN_TIME = 50.0
CLIENT_TIMEOUTS, WEIGHTS = (400.0, 1000.0, 2000.0, 2500.0), (3, 6, 10, 10)
ALL_WORKERS = frozenset(range(4))
WELL, RECOVERY, WATCHED = 2000.0, 3000.0, 17000.0
STARTS = pytest.mark.parametrize("reports_start", [True, False], ids=["starts", "no starts"])


def settings(reports_start, *classes, **more):
    return api.Settings(
        classes=classes,
        reports_start=reports_start,
        fifo=True,
        may_cancel=True,
        may_probe=True,
        max_attempts=4,
        tick=2.0,
        **more,
    )


def tour(stretch=0.0):
    return api.RequestClass(
        "tour", latency_objective=300.0, deadline=2500.0, objective_run_factor=stretch
    )


def requests(rate, run_time=RUN_TIME, **more):
    return Traffic(rate, run_time, CLIENT_TIMEOUTS, WEIGHTS, **more)


def slow(run_time, duration):
    factor = run_time / RUN_TIME
    return Episode(Condition.SLOW, WELL, WELL + duration, ALL_WORKERS, factor)


@pytest.mark.parametrize(
    "run_time, duration, stretch",
    [
        (310.0, 10000.0, 0.0),
        (500.0, 3000.0, 0.0),
        (200.0, 5000.0, 0.0),
        (1000.0, 5000.0, 0.5),
        (700.0, 5000.0, 1.0),
        (2000.0, 10000.0, 1.75),
    ],
)
@STARTS
def test_nothing_is_refused_from_three_seconds_after_a_spell_of_slow_runs(
    run_time, duration, stretch, reports_start
):
    world = OverloadWorld(
        settings(reports_start, tour(stretch)), [requests(40.0)], [slow(run_time, duration)]
    )
    recovered = WELL + duration + RECOVERY
    world.run_until(recovered + WATCHED + 4000.0)
    assert len(world.answers_between(recovered, recovered + WATCHED)) > 500
    assert not world.not_served_between(recovered, recovered + WATCHED)


@pytest.mark.parametrize("run_time", [150.0, 250.0, 290.0, 300.0, 800.0, 2000.0])
@STARTS
def test_one_slow_first_request_has_no_others_refused(run_time, reports_start):
    # Guards, without start notices, against a quantile of run times that falls by a hundredth a request.
    world = OverloadWorld(
        settings(reports_start, tour()),
        [requests(60.0)],
        first_run_times=[run_time],
        first_request_alone=True,
    )
    recovered = run_time + RECOVERY
    world.run_until(recovered + WATCHED + 4000.0)
    assert len(world.answers_between(recovered, recovered + WATCHED)) > 800
    assert not world.not_served_between(recovered, recovered + WATCHED)


@pytest.mark.parametrize("hint", [RUN_TIME, 100 * RUN_TIME, 0.01 * RUN_TIME])
def test_what_clients_state_of_their_cost_shuts_nobody_out(hint):
    world = OverloadWorld(
        settings(True, tour()), [requests(40.0, hint=hint)], [slow(500.0, 3000.0)]
    )
    recovered = WELL + 3000.0 + RECOVERY
    world.run_until(recovered + WATCHED + 4000.0)
    assert not world.not_served_between(recovered, recovered + WATCHED)


def test_while_runs_are_slow_the_trials_take_no_work_from_a_class_that_is_in_time():
    patient = api.RequestClass("patient", latency_objective=2000.0, deadline=2500.0)
    world = OverloadWorld(
        settings(True, tour(), patient),
        [requests(40.0), Traffic(8.0, RUN_TIME, (2500.0,))],
        [slow(500.0, 10000.0)],
    )
    world.run_until(WELL + 14000.0)
    in_spell = world.answers_between(WELL + 1000.0, WELL + 10000.0)
    served = [answer.served for answer in in_spell if answer.request_class == 1]
    assert len(served) > 50 and all(served)
    # One trial at a time, with a pause after each.
    later = world.answers_between(WELL + 4000.0, WELL + 10000.0)
    tours = [answer.served for answer in later if answer.request_class == 0]
    assert len(tours) > 200 and 2 <= sum(tours) <= 6.0 / (0.5 + 0.1)
    reasons = world.not_served_between(WELL + 4000.0, WELL + 10000.0)
    assert {reason for _, reason in reasons} <= {
        RejectionReason.TOO_LATE,
        RejectionReason.DEADLINE_WITH_ATTEMPT,
    }


@pytest.mark.parametrize("hint", [1.0, 70.0])
def test_many_requests_at_once_do_not_multiply_the_ratio_of_run_time_to_stated_cost(hint):
    # Guards against a ratio that each of them moves by what it was when they came.
    world = OverloadWorld(settings(True, tour(2.0)), [requests(150.0, 105.0, hint=hint)], slots=8)
    world.run_until(WELL)
    assert world.dispatcher.admission.classes[0].hint_ratio == pytest.approx(105.0 / hint, rel=0.15)
    world.run_until(WELL + WATCHED + 4000.0)
    assert not world.not_served_between(WELL, WELL + WATCHED)


@pytest.mark.parametrize("seed", range(3))
def test_a_worker_that_was_slow_for_seconds_gets_work_again_once_it_is_well(seed):
    # Guards against a speed estimate that only requests there could change, and that keeps them away.
    slow_ones = frozenset((0, 1))
    episode = Episode(Condition.SLOW, WELL, WELL + 8000.0, slow_ones, 8.0)
    spec = api.RequestClass("tour", latency_objective=1000.0, deadline=2500.0)
    traffic = [Traffic(150.0, 60.0, (2500.0,))]  # half of what the fleet can do
    world = OverloadWorld(settings(True, spec), traffic, [episode], slots=5, seed=seed)
    world.run_until(WELL + 8000.0 + 15000.0)
    for number in slow_ones:
        assert world.dispatcher.fleet.workers[f"w{number}"].last_sent_at > world.now - 5000.0
