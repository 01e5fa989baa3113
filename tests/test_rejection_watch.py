"""Detection of request classes of which every request is rejected, and its log line."""

import logging

from helper import ScriptedWorker, done, running_service, trio_test

from yewrill.dispatch.rejection_watch import (
    MIN_REJECTIONS,
    REPEAT_MS,
    SHUT_OUT_MS,
    RejectionWatch,
    ShutOut,
)


def test_a_long_streak_of_rejections_is_reported_once_and_again_after_a_pause():
    watch = RejectionWatch()
    times = [100.0 * i for i in range(200)]
    found = {now: shut_out for now in times if (shut_out := watch.rejected("tour", now))}
    assert list(found) == [SHUT_OUT_MS, SHUT_OUT_MS + REPEAT_MS]
    assert found[SHUT_OUT_MS] == ShutOut("tour", 31, SHUT_OUT_MS)


def test_a_served_request_ends_the_streak_of_its_class_only():
    watch = RejectionWatch()
    for i in range(MIN_REJECTIONS):
        assert watch.rejected("tour", 1.0 * i) is None
    watch.served("tour")
    assert watch.rejected("tour", 2 * SHUT_OUT_MS) is None
    assert watch.rejected("save", 2 * SHUT_OUT_MS) is None


@trio_test
async def test_rejections_are_counted_by_class_and_reason_and_a_shut_out_class_is_logged(
    caplog, monkeypatch
):
    monkeypatch.setattr("yewrill.dispatch.rejection_watch.SHUT_OUT_MS", 0.0)
    async with running_service(ScriptedWorker("d1", done)) as harness:
        assert (await harness.ask()).status == 200
        with caplog.at_level(logging.WARNING):
            for number in range(MIN_REJECTIONS):
                late_retry = {"X_Retried": "1", "X_Timeout_Ms": "2000"}  # the first try was 1 s ago
                reply = await harness.ask(X_Request_ID=f"late{number}", **late_retry)
                assert reply.status == 503
        (line,) = [r.getMessage() for r in caplog.records if "class_shut_out" in r.getMessage()]
        assert "class=tour rejected=10 " in line and "reason=it can't be in time" in line
        report = harness.service.engine.admission_report().classes[0]
        assert {reason.name: n for reason, n in report.not_served.items()} == {"TOO_LATE": 10}
