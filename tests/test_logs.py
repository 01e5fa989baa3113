"""Logging: parsing of events and keys, output formats, the rate limit, and a reader that never reads."""

from __future__ import annotations

import io
import logging
import re
import subprocess
import sys
import threading
from pathlib import Path

import pytest
import ujson
from helper import SETTINGS, ScriptedWorker, running_service, trio_test

from yewrill.observability.logs import (
    MAX_QUEUED_LINES,
    RateLimitFilter,
    formatter,
    logging_to,
    parse_event,
)

ROOT = Path(__file__).resolve().parent.parent


def record(text: str, *args, **attributes) -> logging.LogRecord:
    created = logging.LogRecord("yewrill", logging.INFO, "", 0, text, args, None)
    created.__dict__.update(attributes)
    return created


@pytest.mark.parametrize(
    "text, args, event, keys, rest",
    [
        (
            "ready name=%s listen=%s:%d destinations=%d",
            ("n 1", "1.2.3.4", 5, 7),
            "ready",
            {"name": "n 1", "listen": "1.2.3.4:5", "destinations": 7},
            "",
        ),
        ("shutdown_complete", (), "shutdown_complete", {}, ""),
        ("start_failed: %s", ("in use",), "start_failed", {}, "in use"),
        (
            "discovery_unavailable version=%d: %s %s",
            (3, "A", "x y"),
            "discovery_unavailable",
            {"version": 3},
            "A x y",
        ),
        (
            "state-failed %s: goes on without",
            ("disk full",),
            "state-failed",
            {},
            "disk full: goes on without",
        ),
        (
            "no-decision request=%s: answered without the module",
            ("a=b",),
            "no-decision",
            {"request": "a=b"},
            "answered without the module",
        ),
        ("a bare 100% line", (), "a bare 100% line", {}, ""),
    ],
)
def test_parse_event_reads_event_and_keys_from_the_template(text, args, event, keys, rest):
    if "100%" in text:
        assert parse_event(record(text, *args))[0] in ("a", text)
    else:
        assert parse_event(record(text, *args)) == (event, keys, rest)


def test_every_event_that_the_program_logs_is_documented():
    pages = "".join(page.read_text() for page in (ROOT / "docs").glob("*.md"))
    pattern = re.compile(r"""log\.(?:info|warning|error|exception)\(\s*f?"([a-z][\w'-]*)""")
    sources = [source.read_text() for source in (ROOT / "yewrill").rglob("*.py")]
    found = {event for source in sources for event in pattern.findall(source)}
    assert len(found) > 40
    assert not {event for event in found if event not in pages}


def test_json_lines_have_event_level_keys_and_request():
    line = ujson.loads(
        formatter("json").format(
            record(
                "worker_response_malformed worker=%s: %s",
                "d1",
                "no line",
                request="r1",
                trace="ab",
                thinned=3,
            )
        )
    )
    assert (
        line["event"] == "worker_response_malformed"
        and line["worker"] == "d1"
        and line["text"] == "no line"
    )
    assert (line["request"], line["trace"], line["thinned"], line["level"]) == (
        "r1",
        "ab",
        3,
        "info",
    )
    assert "worker_response_malformed" in formatter("console").format(
        record("worker_response_malformed worker=%s: %s", "d1", "no line")
    )
    assert (
        formatter("plain")
        .format(record("shutdown_complete", trace="ab"))
        .endswith("INFO yewrill shutdown_complete trace=ab")
    )
    try:
        raise ValueError("why")
    except ValueError:
        broken = record("task_raised task=%s", "x")
        broken.exc_info = sys.exc_info()
    assert "ValueError: why" in ujson.loads(formatter("json").format(broken))["exception"]


def test_the_rate_limit_suppresses_and_counts_lines_of_one_event_only():
    now = [0.0]
    limiter = RateLimitFilter(3, lambda: now[0])
    assert [limiter.filter(record("flood n=%d", i)) for i in range(6)] == [True] * 3 + [False] * 3
    assert limiter.filter(record("other"))
    now[0] = 1.0
    after = record("flood")
    assert limiter.filter(after) and after.thinned == 3


def test_a_reader_that_never_reads_blocks_no_caller_and_dropped_lines_are_counted():
    may_read = threading.Event()

    class BlockedStream(io.StringIO):
        def write(self, text: str) -> int:
            may_read.wait(10)
            return super().write(text)

    blocked = BlockedStream()
    with logging_to(blocked, "INFO", "plain") as queue_handler:
        for i in range(MAX_QUEUED_LINES + 500):
            logging.getLogger("t").info(f"line{i}")
        lost = queue_handler.lost
        assert 490 <= lost <= 500  # the blocked reader has one or two lines
        may_read.set()
        while not queue_handler.queue.empty():
            threading.Event().wait(0.001)
        logging.getLogger("t").info("after")
    assert blocked.getvalue().endswith(f"after lost={lost}\n")
    out = io.StringIO()
    with logging_to(out, "INFO", "plain"):
        logging.getLogger("t").info("heard")
    assert out.getvalue().endswith("INFO t heard\n")


@trio_test
async def test_log_lines_of_a_request_have_its_id_and_trace(tmp_path, caplog):
    async def malformed_response(exchange):
        await exchange.send_raw("no line of the protocol\n")
        await exchange.wait_closed()

    out = io.StringIO()
    with logging_to(out, "INFO", "json"):
        async with running_service(
            ScriptedWorker("d1", malformed_response),
            tracing={"file": str(tmp_path / "t"), "share": 0.0},
        ) as harness:
            assert (await harness.ask("/once", X_Request_ID="r1")).status == 502
            await harness.wait_until(
                lambda: (tmp_path / "t").exists() and (tmp_path / "t").read_text().endswith("\n")
            )
    lines = [ujson.loads(line) for line in out.getvalue().splitlines()]
    (line,) = (line for line in lines if line["event"] == "worker_response_malformed")
    (kept,) = (ujson.loads(text) for text in (tmp_path / "t").read_text().splitlines())
    assert (line["request"], line["trace"]) == ("r1", kept["trace"])


def test_the_log_format_option_accepts_json_and_rejects_an_unknown_format(tmp_path):
    config = tmp_path / "c.json"
    config.write_text(
        ujson.dumps(
            {
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:9",
                "settings": SETTINGS,
                "mgmt": "203.0.113.1:1",
            }
        )
    )
    command = [sys.executable, "-m", "yewrill", "serve", "--config", str(config), "--log-format"]
    ended = subprocess.run([*command, "json"], capture_output=True, text=True)
    assert (
        ended.returncode == 1
        and ujson.loads(ended.stderr.splitlines()[-1])["event"] == "start_failed"
    )
    assert subprocess.run([*command, "yaml"], capture_output=True, text=True).returncode == 2
