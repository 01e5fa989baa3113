"""Signals that arrive while the program starts or ends.

Before the service receives signals, a SIGHUP must neither end the process nor be lost, and a SIGTERM must
lead to a graceful shutdown. After the service has ended, neither may change the exit status.
"""

import os
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
import trio
import ujson
from helper import SETTINGS, ScriptedWorker, running_service, trio_test

from yewrill.service.service import Service

# Program that sends itself SIGHUP during its imports.
SIGHUP_DURING_IMPORTS = """
import builtins, os, runpy, signal
real = builtins.__import__
def hooked(name, *args, **kwargs):
    if name == "yewrill.service.service":
        builtins.__import__ = real
        os.kill(os.getpid(), signal.SIGHUP)
    return real(name, *args, **kwargs)
builtins.__import__ = hooked
runpy.run_module("yewrill", run_name="__main__")
"""
# Program that sends itself SIGHUP after it has read the configuration, before the service receives signals.
SIGHUP_AFTER_READING = """
import os, runpy, signal, sys
import yewrill.config.reading
real = yewrill.config.reading.load_config
def loads(path, environment):
    config = real(path, environment)
    if loads.first:
        loads.first = False
        os.rename(path + ".new", path)
        os.kill(os.getpid(), signal.SIGHUP)
    return config
loads.first = True
yewrill.config.reading.load_config = loads
runpy.run_module("yewrill", run_name="__main__")
"""
# Program that sends itself SIGTERM when the socket listens, before the service receives signals.
SIGTERM_AT_LISTEN = """
import os, runpy, signal
from yewrill.service import service
real = service.Service._restore_state
async def restoring(self):
    os.kill(os.getpid(), signal.SIGTERM)
    return await real(self)
service.Service._restore_state = restoring
runpy.run_module("yewrill", run_name="__main__")
"""
# Program that sends itself SIGTERM, then SIGHUP and SIGTERM after the event loop has ended, and both again
# when the interpreter exits.
SIGNALS_AT_EXIT = """
import atexit, os, runpy, signal
from yewrill.service import service
def both():
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
real = service.run_service
def runs(*arguments):
    real(*arguments)
    both()
    atexit.register(both)
service.run_service = runs
real_begin = service.Service._begin_serving
def begins(self, *arguments):
    real_begin(self, *arguments)
    os.kill(os.getpid(), signal.SIGTERM)
service.Service._begin_serving = begins
class AtTheVeryEnd:
    def __del__(self):
        kill(pid, 15)
pid, kill, last = os.getpid(), os.kill, AtTheVeryEnd()
runpy.run_module("yewrill", run_name="__main__")
"""


def write_config(tmp_path, discovery: str, name: str = "config.json"):
    path = tmp_path / name
    raw = {"listen": "127.0.0.1:0", "discovery": discovery, "settings": SETTINGS}
    path.write_text(ujson.dumps(raw))
    return path


async def read_log_until(process, until: str) -> str:
    text = b""
    async for data in process.stderr:
        text += data
        if re.search(until, text.decode()):
            break
    return text.decode()


def start_program(code: str, path):
    command = [sys.executable, "-c", code]
    environment = {**os.environ, "BALANCER_CONFIG": str(path)}
    return trio.lowlevel.open_process(command, stderr=subprocess.PIPE, env=environment)


@trio_test
async def test_a_sighup_during_the_imports_does_not_end_the_program(tmp_path):
    process = await start_program(SIGHUP_DURING_IMPORTS, write_config(tmp_path, "127.0.0.1:9"))
    try:
        assert " ready " in await read_log_until(process, " ready ")
    finally:
        process.kill()
        await process.wait()


@trio_test
async def test_a_sighup_before_the_service_receives_signals_causes_a_reload(tmp_path):
    path = write_config(tmp_path, "127.0.0.1:9")
    write_config(tmp_path, "127.0.0.1:10", "config.json.new")
    process = await start_program(SIGHUP_AFTER_READING, path)
    try:
        log_text = await read_log_until(
            process, "reloaded discovery=|discovery_unavailable.*\n(.*\n)*.*discovery_unavailable"
        )
        assert "reloaded discovery=127.0.0.1:10" in log_text
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize(
    "code", [SIGTERM_AT_LISTEN, SIGNALS_AT_EXIT], ids=["as it listens", "as it ends"]
)
@trio_test
async def test_signals_during_the_start_or_the_exit_end_the_program_gracefully(tmp_path, code):
    process = await start_program(code, write_config(tmp_path, "127.0.0.1:9"))
    text = b"".join([data async for data in process.stderr])
    assert await process.wait() == 0
    assert b"shutdown_complete" in text


def test_the_deployed_command_ignores_sighup_until_the_program_handles_it():
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    run = deploy["run"].replace(".venv/bin/python -m yewrill", "sleep 60")
    process = subprocess.Popen(["/bin/sh", "-c", run])
    try:
        while Path(f"/proc/{process.pid}/comm").read_text() != "sleep\n":
            pass  # wait until the shell has executed the program in the same process
        status = Path(f"/proc/{process.pid}/status").read_text()
        ignored = int(re.search(r"SigIgn:\s+(\w+)", status)[1], 16)
        assert ignored >> (signal.SIGHUP - 1) & 1
    finally:
        process.kill()
        process.wait()


@trio_test
async def test_the_timeout_sent_to_a_worker_counts_from_the_arrival_during_the_start(monkeypatch):
    seen = {}
    client_timeout_ms, start_seconds = 2500.0, 0.6

    async def note(exchange):
        seen[exchange.id] = trio.current_time(), float(exchange.headers["x-timeout-ms"])
        await exchange.done()

    worker = ScriptedWorker("d1", note)
    real, sent = Service._restore_state, {}

    async def slow(service):  # the socket is listening already
        stream = await trio.open_tcp_stream(*service.listener.address)
        sent["stream"], sent["at"] = stream, trio.current_time()
        await stream.send_all(
            b"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\n"
            b"X-Timeout-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}"
        )
        while trio.current_time() < sent["at"] + start_seconds:
            await trio.sleep(0.01)
        return await real(service)

    monkeypatch.setattr(Service, "_restore_state", slow)
    async with running_service(worker) as harness:
        await harness.wait_until(lambda: "r1" in seen)
        at, timeout_ms = seen["r1"]
        assert timeout_ms <= client_timeout_ms - (at - sent["at"]) * 1000.0 + 150.0
        assert (await sent["stream"].receive_some()).startswith(b"HTTP/1.1 200 ")
