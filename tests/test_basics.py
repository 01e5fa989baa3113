"""The module as a new user would first meet it, and what a start of the program brings in."""

import subprocess
import sys

from yewrill import Dispatcher, Settings
from yewrill.policy import interface as api


def test_a_request_goes_to_a_known_worker_and_is_finished_by_its_answer():
    settings = Settings(
        classes=[api.RequestClass("c", latency_objective=500.0, deadline=5000.0)], max_attempts=3
    )
    d = Dispatcher(settings, 1)
    d.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w1")])])
    sends = [
        a for a in d.handle(5.0, [api.RequestArrived("j", 0, 5005.0)]) if isinstance(a, api.Send)
    ]
    assert [(a.request_id, a.worker) for a in sends] == [("j", "w1")]
    d.handle(50.0, [api.AttemptEnded("j", 0, "w1", api.PolicyOutcome.SERVED, 45.0, True)])
    assert not d.requests and not d.attempts.outstanding


def test_what_the_platform_starts_imports_nothing_that_it_has_no_use_for():
    code = "import sys, yewrill.__main__; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    ).stdout.split()
    assert "yewrill.service.service" in loaded
    unused = {
        "click",
        "msgpack",
        "msgspec",
        "structlog",
        "google_crc32c",
        "yewrill.cli",
        "yewrill.config.writing",
        "yewrill.frontends.progress",
        "yewrill.net.management",
        "yewrill.service.hot_restart",
        "yewrill.service.management_calls",
        "yewrill.service.metrics_report",
        "yewrill.service.state_startup",
        "yewrill.persistence",
        "yewrill.service.tracing_hooks",
    }
    assert not unused & set(loaded)
