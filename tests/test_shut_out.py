"""No request class stays rejected after its workers have recovered from slow runs.

The tests guard against run time estimates that cause all requests of a class to be rejected and that only
served requests of this class could correct.
"""

import pytest

from yewrill.lab.overload_world import Condition, Episode, OverloadWorld, Traffic
from yewrill.policy import interface as api
from yewrill.policy.interface import RejectionReason

RUN_TIME_MS = 50.0
CLIENT_TIMEOUTS_MS, TIMEOUT_WEIGHTS = (400.0, 1000.0, 2000.0, 2500.0), (3, 6, 10, 10)
ALL_WORKERS = frozenset(range(4))
EPISODE_START_MS, RECOVERY_MS, OBSERVED_MS = 2000.0, 3000.0, 17000.0
BOTH_REPORT_MODES = pytest.mark.parametrize(
    "reports_start", [True, False], ids=["starts", "no starts"]
)


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


def tour_class(objective_run_factor=0.0):
    return api.RequestClass(
        "tour",
        latency_objective=300.0,
        deadline=2500.0,
        objective_run_factor=objective_run_factor,
    )


def requests(rate, run_time=RUN_TIME_MS, **more):
    return Traffic(rate, run_time, CLIENT_TIMEOUTS_MS, TIMEOUT_WEIGHTS, **more)


def slow(run_time, duration):
    factor = run_time / RUN_TIME_MS
    return Episode(
        Condition.SLOW, EPISODE_START_MS, EPISODE_START_MS + duration, ALL_WORKERS, factor
    )


@pytest.mark.parametrize(
    "run_time, duration, objective_run_factor",
    [
        (310.0, 10000.0, 0.0),
        (500.0, 3000.0, 0.0),
        (200.0, 5000.0, 0.0),
        (1000.0, 5000.0, 0.5),
        (700.0, 5000.0, 1.0),
        (2000.0, 10000.0, 1.75),
    ],
)
@BOTH_REPORT_MODES
def test_three_seconds_after_an_episode_of_slow_runs_no_request_is_rejected(
    run_time, duration, objective_run_factor, reports_start
):
    simulation = OverloadWorld(
        settings(reports_start, tour_class(objective_run_factor)),
        [requests(40.0)],
        [slow(run_time, duration)],
    )
    recovered = EPISODE_START_MS + duration + RECOVERY_MS
    simulation.run_until(recovered + OBSERVED_MS + 4000.0)
    assert len(simulation.answers_between(recovered, recovered + OBSERVED_MS)) > 500
    assert not simulation.not_served_between(recovered, recovered + OBSERVED_MS)


@pytest.mark.parametrize("run_time", [150.0, 250.0, 290.0, 300.0, 800.0, 2000.0])
@BOTH_REPORT_MODES
def test_one_slow_first_request_does_not_cause_rejections(run_time, reports_start):
    # Where starts are not reported, guards against a run time quantile that falls by only 1 % per request.
    simulation = OverloadWorld(
        settings(reports_start, tour_class()),
        [requests(60.0)],
        first_run_times=[run_time],
        first_request_alone=True,
    )
    recovered = run_time + RECOVERY_MS
    simulation.run_until(recovered + OBSERVED_MS + 4000.0)
    assert len(simulation.answers_between(recovered, recovered + OBSERVED_MS)) > 800
    assert not simulation.not_served_between(recovered, recovered + OBSERVED_MS)


@pytest.mark.parametrize("hint", [RUN_TIME_MS, 100 * RUN_TIME_MS, 0.01 * RUN_TIME_MS])
def test_hints_that_are_far_from_the_run_time_do_not_cause_rejections(hint):
    simulation = OverloadWorld(
        settings(True, tour_class()), [requests(40.0, work_hint=hint)], [slow(500.0, 3000.0)]
    )
    recovered = EPISODE_START_MS + 3000.0 + RECOVERY_MS
    simulation.run_until(recovered + OBSERVED_MS + 4000.0)
    assert not simulation.not_served_between(recovered, recovered + OBSERVED_MS)


def test_trials_during_slow_runs_do_not_delay_a_class_that_is_served_in_time():
    patient = api.RequestClass("patient", latency_objective=2000.0, deadline=2500.0)
    simulation = OverloadWorld(
        settings(True, tour_class(), patient),
        [requests(40.0), Traffic(8.0, RUN_TIME_MS, (2500.0,))],
        [slow(500.0, 10000.0)],
    )
    simulation.run_until(EPISODE_START_MS + 14000.0)
    during_episode = simulation.answers_between(
        EPISODE_START_MS + 1000.0, EPISODE_START_MS + 10000.0
    )
    served = [answer.served for answer in during_episode if answer.request_class == 1]
    assert len(served) > 50 and all(served)
    # Trials of the class last 0.5 s, one at a time, with a pause of at least 0.1 s after each.
    later = simulation.answers_between(EPISODE_START_MS + 4000.0, EPISODE_START_MS + 10000.0)
    tours = [answer.served for answer in later if answer.request_class == 0]
    assert len(tours) > 200 and 2 <= sum(tours) <= 6.0 / (0.5 + 0.1)
    reasons = simulation.not_served_between(EPISODE_START_MS + 4000.0, EPISODE_START_MS + 10000.0)
    assert {reason for _, reason in reasons} <= {
        RejectionReason.TOO_LATE,
        RejectionReason.DEADLINE_WITH_ATTEMPT,
    }


@pytest.mark.parametrize("hint", [1.0, 70.0])
def test_many_concurrent_requests_do_not_overcorrect_the_ratio_of_run_time_to_hint(hint):
    # Guards against a ratio that concurrent requests all correct from its value at their arrival.
    simulation = OverloadWorld(
        settings(True, tour_class(2.0)), [requests(150.0, 105.0, work_hint=hint)], slots=8
    )
    simulation.run_until(EPISODE_START_MS)
    assert simulation.dispatcher.admission.classes[0].hint_ratio == pytest.approx(
        105.0 / hint, rel=0.15
    )
    simulation.run_until(EPISODE_START_MS + OBSERVED_MS + 4000.0)
    assert not simulation.not_served_between(EPISODE_START_MS, EPISODE_START_MS + OBSERVED_MS)


@pytest.mark.parametrize("seed", range(3))
def test_a_worker_that_was_slow_for_seconds_gets_work_again_once_it_is_well(seed):
    # Guards against a speed estimate that keeps requests away from a worker, while only requests there could
    # correct it.
    slow_workers = frozenset((0, 1))
    episode = Episode(
        Condition.SLOW, EPISODE_START_MS, EPISODE_START_MS + 8000.0, slow_workers, 8.0
    )
    spec = api.RequestClass("tour", latency_objective=1000.0, deadline=2500.0)
    traffic = [Traffic(150.0, 60.0, (2500.0,))]  # half of the fleet's capacity
    simulation = OverloadWorld(settings(True, spec), traffic, [episode], slots=5, seed=seed)
    simulation.run_until(EPISODE_START_MS + 8000.0 + 15000.0)
    for number in slow_workers:
        assert (
            simulation.dispatcher.fleet.workers[f"w{number}"].last_sent_at > simulation.now - 5000.0
        )
