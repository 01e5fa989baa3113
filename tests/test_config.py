"""Configuration: what is accepted, what is named as faulty, and the tool that writes it."""

import copy
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import ujson
from click.testing import CliRunner
from helper import SETTINGS

from yewrill.cli import main
from yewrill.config.errors import ConfigError
from yewrill.config.reading import load_config, read_config

ROOT = Path(__file__).parent.parent
GOOD = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
    "known": {
        "version": 4,
        "full": True,
        "servers": [
            {"id": "d1", "addr": "127.0.0.1:9", "zone": "room", "kind": "std", "state": "SERVING"}
        ],
    },
}


def without(*path):
    return lambda raw: walk(raw, path[:-1]).pop(path[-1])


def put(value, *path):
    return lambda raw: walk(raw, path[:-1]).__setitem__(path[-1], value)


def walk(raw, path):
    for step in path:
        raw = raw[step]
    return raw


REPORTS = {"via": "inline", "fields": ["qps", "inflight", "x0"]}


@pytest.mark.parametrize(
    "change, key",
    [
        (put({**REPORTS, "via": "off"}, "settings", "load_report"), "settings.load_report.via"),
        (put({**REPORTS, "via": "post"}, "settings", "load_report"), "settings.load_report.via"),
        (put({**REPORTS, "fields": []}, "settings", "load_report"), "settings.load_report.fields"),
        (
            put({**REPORTS, "fields": ["x0", "x0"]}, "settings", "load_report"),
            "settings.load_report.fields[1]",
        ),
        (
            put({**REPORTS, "fields": ["qps", "x0"]}, "settings", "load_report"),
            "settings.load_report.fields",
        ),
        (
            put({**REPORTS, "via": "on_probe"}, "settings", "load_report"),
            "settings.limits.may_probe",
        ),
        (put(1, "settings", "zone"), "settings.zone"),
        (put({"cross_zone": 0.01}, "settings", "fees"), "settings.fees.cross_zone"),
        (
            put(1.5, "settings", "request_classes", 0, "late_value"),
            "settings.request_classes[0].late_value",
        ),
    ],
)
def test_a_contradiction_is_refused_by_the_tool_and_served_by_a_start(change, key, tmp_path):
    raw = copy.deepcopy(GOOD)
    change(raw)
    file = tmp_path / "c.json"
    file.write_text(ujson.dumps(raw))
    with pytest.raises(ConfigError) as told:
        load_config(file, strict=True)
    assert str(told.value).startswith(f"{key}: ") and "\n" not in str(told.value)
    load_config(file)


def test_a_site_with_reports_keys_and_zones_is_written_and_read_back():
    told = CliRunner().invoke(
        main,
        [
            "config",
            "write",
            "--listen",
            "127.0.0.1:5000",
            "--discovery",
            "127.0.0.1:8500",
            "--class",
            "bill:deadline=7500,aim=500,stretch=2,late_value=0.5",
            "--zone",
            "here",
            "--zone",
            "there",
            "--report",
            "qps",
            "--report",
            "inflight",
            "--report",
            "room",
            "--free-slots",
            "room",
            "--cross-zone-fee",
            "0.0068",
        ],
    )
    assert told.exit_code == 0
    settings = read_config(ujson.loads(told.output)).settings
    assert (
        settings.report_fields == ("qps", "inflight", "room")
        and settings.free_slots_field == "room"
    )
    assert (
        settings.fees == {"cross_zone": 0.0068} and settings.classes[0].late_weight_fraction == 0.5
    )
    wrong = CliRunner().invoke(
        main,
        [
            "config",
            "write",
            "--listen",
            "127.0.0.1:5000",
            "--discovery",
            "127.0.0.1:8500",
            "--class",
            "bill:deadline=75",
            "--free-slots",
            "x0",
        ],
    )
    assert wrong.exit_code == 2 and "--free-slots" in wrong.output


@pytest.mark.parametrize(
    "change, key",
    [
        (without("listen"), "listen"),
        (put("here:80", "listen"), "listen"),
        (put("127.0.0.1", "listen"), "listen"),
        (put("127.0.0.1:99999", "discovery"), "discovery"),
        (without("settings"), "settings"),
        (put([], "settings", "request_classes"), "settings.request_classes"),
        (
            put("5 s", "settings", "request_classes", 0, "deadline"),
            "settings.request_classes[0].deadline",
        ),
        (
            put(0, "settings", "request_classes", 0, "deadline"),
            "settings.request_classes[0].deadline",
        ),
        (put(9999, "settings", "request_classes", 0, "aim"), "settings.request_classes[0].aim"),
        (put("a/b", "settings", "request_classes", 0, "name"), "settings.request_classes[0].name"),
        (put("tour", "settings", "request_classes", 1, "name"), "settings.request_classes[1].name"),
        (
            put("maybe", "settings", "request_classes", 1, "repeat"),
            "settings.request_classes[1].repeat",
        ),
        (put(0, "settings", "request_classes", 1, "window"), "settings.request_classes[1].window"),
        (put(True, "settings", "tick"), "settings.tick"),
        (put("x", "settings", "limits"), "settings.limits"),
        (put([3], "settings", "specifics", "class_kind"), "settings.specifics.class_kind[0]"),
        (put("", "settings", "parties", 0, "name"), "settings.parties[0].name"),
        (put(3, "limits"), "limits"),
        (put({"sockets": 8}, "limits"), "limits.sockets"),
        (put("9600", "mgmt"), "mgmt"),
        (put("here:9600", "mgmt"), "mgmt"),
        (put("xyz", "seed"), "seed"),
        (put("smtp", "front"), "front"),
        (put(1, "Listen"), "Listen"),
        (put({"answer_margin_ms": 0}, "timing"), "timing.answer_margin_ms"),
        (put({"odd": 0}, "timing"), "timing.odd"),
        (put("LOST", "known", "servers", 0, "state"), "known.servers[0].state"),
        (put("d1", "known", "servers", 0, "addr"), "known.servers[0].addr"),
    ],
)
def test_a_fault_is_told_in_one_line_that_names_the_key(change, key):
    raw = copy.deepcopy(GOOD)
    read_config(raw)
    change(raw)
    with pytest.raises(ConfigError) as told:
        read_config(raw)
    assert str(told.value).startswith(f"{key}: ") and "\n" not in str(told.value)


def test_names_become_positions_and_variables_stand_in_for_absent_keys():
    raw = {k: v for k, v in GOOD.items() if k != "listen"}
    config = read_config(
        raw, {"BALANCER_LISTEN": "127.0.0.1:5001", "BALANCER_DISCOVERY": "127.0.0.1:1"}
    )
    assert config.listen == ("127.0.0.1", 5001) and config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 0x8C1F and config.topology.zones == ("room",)


def started(path, *args):
    return subprocess.Popen(
        [sys.executable, "-m", "yewrill", *args],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={"BALANCER_CONFIG": str(path)} if path else {},
    )


def test_the_program_says_ready_and_ends_with_0_on_sigterm(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(ujson.dumps({**GOOD, "timing": {"linger_ms": 50}}))
    process = started(path)
    assert "ready name=yewrill" in process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    log = process.stderr.read()
    assert (
        process.wait(20) == 0
        and "shutdown_started signal=SIGTERM" in log
        and "shutdown_complete" in log
    )


@pytest.mark.parametrize(
    "text, key",
    [
        ("{", "not JSON"),
        ("{}", "listen: missing"),
        (None, "BALANCER_CONFIG"),
    ],
)
def test_bad_configuration_is_one_line_and_exit_2(tmp_path, text, key):
    path = tmp_path / "config.json" if text is not None else None
    if path:
        path.write_text(text)
    process = started(path)
    told = process.stderr.read()
    assert process.wait(20) == 2 and key in told and told.count("\n") == 1


def call(*args):
    return CliRunner().invoke(main, [str(a) for a in args])


BASE = ("config", "write", "--listen", "127.0.0.1:5000", "--discovery", "127.0.0.1:8500")


def test_check_accepts_what_write_made_and_explains_what_was_broken_since(tmp_path):
    path = tmp_path / "c.json"
    done = call(
        *BASE,
        "--class",
        "tour:deadline=5000,aim=100,stretch=2.5",
        "--class",
        "save:deadline=5000,aim=80,repeat=token,group=cell,window=7500",
        "--tenant",
        "acme:quota_per_s=9",
        "--front",
        "progress",
        "--mgmt",
        "127.0.0.1:9600",
        "--output",
        path,
    )
    assert done.exit_code == 0, done.output
    assert call("config", "check", path).output.startswith(
        "ok: yewrill on 127.0.0.1:5000, front progress, management 127.0.0.1:9600, "
    )
    config = load_config(path)
    assert [(c.name, c.objective_run_factor) for c in config.settings.classes] == [
        ("tour", 2.5),
        ("save", 0.0),
    ]
    path.write_text(path.read_text().replace('"deadline": 5000', '"deadline": -1'))
    done = call("config", "check", path)
    assert done.exit_code == 2 and "settings.request_classes[0].deadline" in done.output


@pytest.mark.parametrize(
    "options, word",
    [
        ((), "settings.request_classes"),
        (("--class", "a:deadline=x"), "deadline"),
        (("--class", "a:odd=1"), "odd=1"),
        (("--class", "a:aim=5"), "settings.request_classes[0].deadline"),
        (("--tenant", "t:quota=1"), "--tenant t"),
    ],
)
def test_write_refuses_options_that_make_no_configuration(options, word):
    done = call(*BASE, *options)
    assert done.exit_code == 2 and word in done.output


TRACE = """\
task_a,2,j_1,1,Terminated,100,110,100.0,0.2
task_b,1,j_1,1,Terminated,101,121,100.0,0.2
task_c,1,j_2,12,Terminated,109,139,400.0,0.4
task_d,1,j_3,1,Running,105,0,50.0,
task_e,1,j_3,1,Waiting,0,0,50.0,0.1
short,row
task_f,1,j_4,1,Terminated,soon,120,100.0,0.2
task_g,1,j_5,1,Terminated,130,120,100.0,0.2
task_h,1,j_6,1,Asleep,100,120,100.0,0.2
task_i,1,j_7,1,Terminated,100,120,-3,0.2
"""


def test_a_trace_gives_classes_rates_and_run_times_and_its_bad_rows_by_line(tmp_path):
    trace, path = tmp_path / "batch_task.csv", tmp_path / "c.json"
    trace.write_text(TRACE)
    done = call(
        *BASE, "--from-trace", trace, "--time-scale", 0.1, "--tenant", "all", "--output", path
    )
    assert done.exit_code == 0, done.output
    for line in (
        "line 6: 2 columns",
        "line 7: start_time: 'soon'",
        "line 8: end_time: 120 is before",
        "line 9: status: 'Asleep'",
        "line 10: plan_cpu",
        "5 of 10 rows skipped",
    ):
        assert line in done.output
    assert call("config", "check", path).exit_code == 0
    raw = ujson.loads(path.read_text())
    one, twelve = raw["x-derived"]["type-1"], raw["x-derived"]["type-12"]
    assert one["arrivals"] == 4 and one["rate_per_s"] == 4.0  # 4 in 10 s of arrivals, played in 1 s
    assert one["run_ms"] == {"mean": 1500.0, "p50": 1000.0, "p95": 2000.0, "p99": 2000.0}
    assert twelve["run_ms"]["p50"] == 3000.0 and twelve["slots_mean"] == 4.0
    assert [(c["name"], c["deadline"]) for c in raw["settings"]["request_classes"]] == [
        ("type-1", 4000.0),
        ("type-12", 6000.0),
    ]
    assert raw["settings"]["parties"] == [{"name": "all", "share": 1.0, "quota_per_s": 5.0}]
    assert call(*BASE, "--from-trace", trace, "--strict").exit_code == 2
    trace.write_text("short,row\n")
    done = call(*BASE, "--from-trace", trace)
    assert done.exit_code == 2 and "no task that ran to its end" in done.output
    assert call(*BASE, "--from-trace", tmp_path / "absent.csv").exit_code == 2


def test_a_long_trace_is_sampled_and_the_same_each_time(tmp_path, monkeypatch):
    from yewrill.config import cluster_trace as traces

    monkeypatch.setattr(traces, "MAX_RUN_TIMES_PER_CLASS", 100)
    path = tmp_path / "t.csv"
    rows = (f"t,1,j,1,Terminated,{100 + i},{100 + i + i % 50},100,0.1\n" for i in range(3000))
    path.write_text("".join(rows))
    first, second = (traces.read_batch_task(path, pytest.fail) for _ in range(2))
    assert first.classes["type-1"].run_times == second.classes["type-1"].run_times
    assert (
        len(first.classes["type-1"].run_times) == 100 and first.classes["type-1"].arrivals == 3000
    )


def test_the_operators_file_for_the_progress_front_is_sound():
    assert load_config(ROOT / "deploy" / "progress.json").front == "progress"
    assert call("version").output.startswith("yewrill 0.")
    assert call("config", "check", ROOT / "deploy" / "progress.json").exit_code == 0
