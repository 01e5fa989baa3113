"""Configuration: values that are accepted, errors that name the faulty key, and `yewrill config`.

The tests guard against a faulty file that is accepted, against errors that don't say which key is faulty, and
against a written file that the dispatcher rejects.
"""

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


def remove(*path):
    """Returns a change that removes the key at `path`."""
    return lambda raw: value_at(raw, path[:-1]).pop(path[-1])


def set_value(value, *path):
    """Returns a change that sets the key at `path`."""
    return lambda raw: value_at(raw, path[:-1]).__setitem__(path[-1], value)


def value_at(raw, path):
    for step in path:
        raw = raw[step]
    return raw


LOAD_REPORT = {"via": "inline", "fields": ["qps", "inflight", "x0"]}


@pytest.mark.parametrize(
    "change, key",
    [
        (
            set_value({**LOAD_REPORT, "via": "off"}, "settings", "load_report"),
            "settings.load_report.via",
        ),
        (
            set_value({**LOAD_REPORT, "via": "post"}, "settings", "load_report"),
            "settings.load_report.via",
        ),
        (
            set_value({**LOAD_REPORT, "fields": []}, "settings", "load_report"),
            "settings.load_report.fields",
        ),
        (
            set_value({**LOAD_REPORT, "fields": ["x0", "x0"]}, "settings", "load_report"),
            "settings.load_report.fields[1]",
        ),
        (
            set_value({**LOAD_REPORT, "fields": ["qps", "x0"]}, "settings", "load_report"),
            "settings.load_report.fields",
        ),
        (
            set_value({**LOAD_REPORT, "via": "on_probe"}, "settings", "load_report"),
            "settings.limits.may_probe",
        ),
        (set_value(1, "settings", "zone"), "settings.zone"),
        (set_value({"cross_zone": 0.01}, "settings", "fees"), "settings.fees.cross_zone"),
        (
            set_value(1.5, "settings", "request_classes", 0, "late_value"),
            "settings.request_classes[0].late_value",
        ),
    ],
)
def test_contradictory_settings_are_rejected_when_strict_and_accepted_at_startup(
    change, key, tmp_path
):
    raw = copy.deepcopy(GOOD)
    change(raw)
    file = tmp_path / "c.json"
    file.write_text(ujson.dumps(raw))
    with pytest.raises(ConfigError) as raised:
        load_config(file, strict=True)
    assert str(raised.value).startswith(f"{key}: ") and "\n" not in str(raised.value)
    load_config(file)


def test_config_write_with_reports_zones_and_fee_is_read_back():
    written = CliRunner().invoke(
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
    assert written.exit_code == 0
    settings = read_config(ujson.loads(written.output)).settings
    assert (
        settings.report_fields == ("qps", "inflight", "room")
        and settings.free_slots_field == "room"
    )
    assert (
        settings.fees == {"cross_zone": 0.0068} and settings.classes[0].late_weight_fraction == 0.5
    )
    rejected = CliRunner().invoke(
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
    assert rejected.exit_code == 2 and "--free-slots" in rejected.output


@pytest.mark.parametrize(
    "change, key",
    [
        (remove("listen"), "listen"),
        (set_value("here:80", "listen"), "listen"),
        (set_value("127.0.0.1", "listen"), "listen"),
        (set_value("127.0.0.1:99999", "discovery"), "discovery"),
        (remove("settings"), "settings"),
        (set_value([], "settings", "request_classes"), "settings.request_classes"),
        (
            set_value("5 s", "settings", "request_classes", 0, "deadline"),
            "settings.request_classes[0].deadline",
        ),
        (
            set_value(0, "settings", "request_classes", 0, "deadline"),
            "settings.request_classes[0].deadline",
        ),
        (
            set_value(9999, "settings", "request_classes", 0, "aim"),
            "settings.request_classes[0].aim",
        ),
        (
            set_value("a/b", "settings", "request_classes", 0, "name"),
            "settings.request_classes[0].name",
        ),
        (
            set_value("tour", "settings", "request_classes", 1, "name"),
            "settings.request_classes[1].name",
        ),
        (
            set_value("maybe", "settings", "request_classes", 1, "repeat"),
            "settings.request_classes[1].repeat",
        ),
        (
            set_value(0, "settings", "request_classes", 1, "window"),
            "settings.request_classes[1].window",
        ),
        (set_value(True, "settings", "tick"), "settings.tick"),
        (set_value("x", "settings", "limits"), "settings.limits"),
        (set_value([3], "settings", "specifics", "class_kind"), "settings.specifics.class_kind[0]"),
        (set_value("", "settings", "parties", 0, "name"), "settings.parties[0].name"),
        (set_value(3, "limits"), "limits"),
        (set_value({"sockets": 8}, "limits"), "limits.sockets"),
        (set_value("9600", "mgmt"), "mgmt"),
        (set_value("here:9600", "mgmt"), "mgmt"),
        (set_value("xyz", "seed"), "seed"),
        (set_value("smtp", "front"), "front"),
        (set_value(1, "Listen"), "Listen"),
        (set_value({"answer_margin_ms": 0}, "timing"), "timing.answer_margin_ms"),
        (set_value({"odd": 0}, "timing"), "timing.odd"),
        (set_value("LOST", "known", "servers", 0, "state"), "known.servers[0].state"),
        (set_value("d1", "known", "servers", 0, "addr"), "known.servers[0].addr"),
    ],
)
def test_faulty_value_raises_one_line_that_names_the_key(change, key):
    raw = copy.deepcopy(GOOD)
    read_config(raw)
    change(raw)
    with pytest.raises(ConfigError) as raised:
        read_config(raw)
    assert str(raised.value).startswith(f"{key}: ") and "\n" not in str(raised.value)


def test_environment_variables_supply_absent_keys_only():
    raw = {k: v for k, v in GOOD.items() if k != "listen"}
    config = read_config(
        raw, {"BALANCER_LISTEN": "127.0.0.1:5001", "BALANCER_DISCOVERY": "127.0.0.1:1"}
    )
    assert config.listen == ("127.0.0.1", 5001) and config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 0x8C1F and config.topology.zones == ("room",)


def start_process(path, *args):
    return subprocess.Popen(
        [sys.executable, "-m", "yewrill", *args],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        env={"BALANCER_CONFIG": str(path)} if path else {},
    )


def test_process_logs_ready_and_exits_with_0_on_sigterm(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(ujson.dumps({**GOOD, "timing": {"linger_ms": 50}}))
    process = start_process(path)
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
def test_process_with_bad_configuration_prints_one_line_and_exits_with_2(tmp_path, text, key):
    path = tmp_path / "config.json" if text is not None else None
    if path:
        path.write_text(text)
    process = start_process(path)
    stderr = process.stderr.read()
    assert process.wait(20) == 2 and key in stderr and stderr.count("\n") == 1


def run_command(*args):
    return CliRunner().invoke(main, [str(a) for a in args])


BASE = ("config", "write", "--listen", "127.0.0.1:5000", "--discovery", "127.0.0.1:8500")


def test_config_check_accepts_a_written_file_and_names_a_key_changed_since(tmp_path):
    path = tmp_path / "c.json"
    result = run_command(
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
    assert result.exit_code == 0, result.output
    assert run_command("config", "check", path).output.startswith(
        "ok: yewrill on 127.0.0.1:5000, front progress, management 127.0.0.1:9600, "
    )
    config = load_config(path)
    assert [(c.name, c.objective_run_factor) for c in config.settings.classes] == [
        ("tour", 2.5),
        ("save", 0.0),
    ]
    path.write_text(path.read_text().replace('"deadline": 5000', '"deadline": -1'))
    result = run_command("config", "check", path)
    assert result.exit_code == 2 and "settings.request_classes[0].deadline" in result.output


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
def test_config_write_with_faulty_options_names_the_fault(options, word):
    result = run_command(*BASE, *options)
    assert result.exit_code == 2 and word in result.output


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


def test_config_write_from_trace_derives_classes_and_reports_bad_rows_by_line(tmp_path):
    trace, path = tmp_path / "batch_task.csv", tmp_path / "c.json"
    trace.write_text(TRACE)
    result = run_command(
        *BASE, "--from-trace", trace, "--time-scale", 0.1, "--tenant", "all", "--output", path
    )
    assert result.exit_code == 0, result.output
    for line in (
        "line 6: 2 columns",
        "line 7: start_time: 'soon'",
        "line 8: end_time: 120 is before",
        "line 9: status: 'Asleep'",
        "line 10: plan_cpu",
        "5 of 10 rows skipped",
    ):
        assert line in result.output
    assert run_command("config", "check", path).exit_code == 0
    raw = ujson.loads(path.read_text())
    one, twelve = raw["x-derived"]["type-1"], raw["x-derived"]["type-12"]
    assert one["arrivals"] == 4 and one["rate_per_s"] == 4.0  # 4 arrivals in 10 s, scaled to 1 s
    assert one["run_ms"] == {"mean": 1500.0, "p50": 1000.0, "p95": 2000.0, "p99": 2000.0}
    assert twelve["run_ms"]["p50"] == 3000.0 and twelve["slots_mean"] == 4.0
    assert [(c["name"], c["deadline"]) for c in raw["settings"]["request_classes"]] == [
        ("type-1", 4000.0),
        ("type-12", 6000.0),
    ]
    assert raw["settings"]["parties"] == [{"name": "all", "share": 1.0, "quota_per_s": 5.0}]
    assert run_command(*BASE, "--from-trace", trace, "--strict").exit_code == 2
    trace.write_text("short,row\n")
    result = run_command(*BASE, "--from-trace", trace)
    assert result.exit_code == 2 and "no task that ran to its end" in result.output
    assert run_command(*BASE, "--from-trace", tmp_path / "absent.csv").exit_code == 2


def test_long_trace_is_sampled_reproducibly(tmp_path, monkeypatch):
    from yewrill.config import cluster_trace

    monkeypatch.setattr(cluster_trace, "MAX_RUN_TIMES_PER_CLASS", 100)
    path = tmp_path / "t.csv"
    rows = (f"t,1,j,1,Terminated,{100 + i},{100 + i + i % 50},100,0.1\n" for i in range(3000))
    path.write_text("".join(rows))
    first, second = (cluster_trace.read_batch_task(path, pytest.fail) for _ in range(2))
    assert first.classes["type-1"].run_times == second.classes["type-1"].run_times
    assert (
        len(first.classes["type-1"].run_times) == 100 and first.classes["type-1"].arrivals == 3000
    )


def test_deployed_progress_configuration_passes_the_check():
    assert load_config(ROOT / "deploy" / "progress.json").front == "progress"
    assert run_command("version").output.startswith("yewrill 0.")
    assert run_command("config", "check", ROOT / "deploy" / "progress.json").exit_code == 0
