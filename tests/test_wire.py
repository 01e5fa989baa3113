"""The simulator's host: framing of batches, assignment of requests, faulty input and settings."""

import io
import subprocess
import sys

import orjson
import pytest

from yewrill.policy.settings_codec import decode_settings
from yewrill.simulator.codec import WireError
from yewrill.simulator.host import serve

CONFIG = {
    "request_classes": [
        {"name": "c", "aim": 500.0, "deadline": 5000.0, "repeat": "pure", "value": 1.0}
    ],
    "limits": {"try_limit": 3},
    "a_new_key": [1, 2],
}


def lines(*messages):
    return b"".join(orjson.dumps(m) + b"\n" for m in messages)


def boot(number=3):
    return [
        {"what": "Boot", "dispatcher_id": number, "entropy": 5, "config": CONFIG},
        {
            "what": "Registry",
            "dispatcher_id": number,
            "revision": 1,
            "form": "cached",
            "rows": [{"worker": "worker.a", "zone": 0, "machine": 0, "phase": "Running", "odd": 1}],
        },
    ]


def run(source):
    sink = io.BytesIO()
    serve(io.BytesIO(source), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def test_a_request_is_assigned_and_every_reply_ends_with_end():
    tick, end = {"what": "Tick", "sim_time": 10.0}, {"what": "End"}
    request = {
        "what": "Inbound",
        "dispatcher_id": 3,
        "ticket": "t-1",
        "tier_class": 0,
        "client_deadline": 5010.0,
    }
    reply = run(lines(tick, end, tick, *boot(), request, end))
    assert reply[0] == end and reply[-1] == end
    assert [(m["ticket"], m["worker"]) for m in reply if m["what"] == "Assign"] == [
        ("t-1", "worker.a")
    ]


@pytest.mark.parametrize(
    "source, expected_text",
    [
        (b"not json\n", "line 1"),
        (
            b'{"what":"Tick","sim_time":1}\n{"what":"Odd","dispatcher_id":1}\n{"what":"End"}\n',
            "Odd",
        ),
        (b'{"what":"Tick","sim_time":1}\n', "ended within a batch"),
        (b'{"what":"End"}\n', "line 1"),
        (b'{"what":"Tick","sim_time":1}\n{"what":"Elapsed"}\n{"what":"End"}\n', "line 3"),
    ],
)
def test_faulty_input_raises_an_error_that_names_the_fault(source, expected_text):
    with pytest.raises(WireError, match=expected_text):
        run(source)


def test_faulty_input_ends_the_process_with_one_line_on_standard_error():
    done = subprocess.run(
        [sys.executable, "-m", "yewrill.simulator.host"], input=b"[1\n", capture_output=True
    )
    assert done.returncode == 1 and done.stdout == b""
    assert done.stderr.startswith(b"yewrill: line 1:") and done.stderr.count(b"\n") == 1


def test_absent_settings_get_defaults_and_impossible_ones_raise():
    settings = decode_settings(CONFIG)
    assert settings.dispatchers == 1 and not settings.tenants and not settings.report_fields
    tick, end = {"what": "Tick", "sim_time": 1.0}, {"what": "End"}
    with pytest.raises(ValueError, match="no request classes"):
        run(lines(tick, {"what": "Boot", "dispatcher_id": 1, "entropy": 1, "config": {}}, end))
