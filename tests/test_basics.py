"""A minimal use of the policy module, and the modules that a start of the process imports."""

import subprocess
import sys

from yewrill import Dispatcher, Settings
from yewrill.policy import interface as api


def test_request_goes_to_a_known_worker_and_ends_with_its_answer():
    settings = Settings(
        classes=[api.RequestClass("c", latency_objective=500.0, deadline=5000.0)], max_attempts=3
    )
    dispatcher = Dispatcher(settings, 1)
    dispatcher.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w1")])])
    sends = [
        a
        for a in dispatcher.handle(5.0, [api.RequestArrived("j", 0, 5005.0)])
        if isinstance(a, api.Send)
    ]
    assert [(a.request_id, a.worker) for a in sends] == [("j", "w1")]
    dispatcher.handle(50.0, [api.AttemptEnded("j", 0, "w1", api.PolicyOutcome.SERVED, 45.0, True)])
    assert not dispatcher.requests and not dispatcher.attempts.outstanding


def test_program_start_imports_no_unused_module():
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
