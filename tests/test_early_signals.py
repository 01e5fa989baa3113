"""A SIGHUP that comes while the program starts neither ends it nor is lost."""

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
from helper import SETTINGS, Peer, story, world

from yewrill.service.service import Service

# Sends the signal to itself in the middle of the program's own imports.
IN_THE_IMPORTS = """
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
# The same as the configuration has been read, before anybody listens for signals.
AS_IT_WAS_READ = """
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

# Sends it SIGTERM as the socket listens, before anybody listens for signals.
AS_IT_LISTENS = """
import os, runpy, signal
from yewrill.service import service
real = service.Service._restore_state
async def restoring(self):
    os.kill(os.getpid(), signal.SIGTERM)
    return await real(self)
service.Service._restore_state = restoring
runpy.run_module("yewrill", run_name="__main__")
"""
# SIGTERM, and both again when the service has ended: after its event loop, and as the interpreter ends.
AS_IT_ENDS = """
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


def configured(tmp_path, discovery: str, name: str = "config.json"):
    path = tmp_path / name
    raw = {"listen": "127.0.0.1:0", "discovery": discovery, "settings": SETTINGS}
    path.write_text(ujson.dumps(raw))
    return path


async def lines_of(process, until: str) -> str:
    text = b""
    async for data in process.stderr:
        text += data
        if re.search(until, text.decode()):
            break
    return text.decode()


def start(code: str, path):
    command = [sys.executable, "-c", code]
    environment = {**os.environ, "BALANCER_CONFIG": str(path)}
    return trio.lowlevel.open_process(command, stderr=subprocess.PIPE, env=environment)


@story
async def test_a_reload_that_comes_amid_the_imports_does_not_end_the_program(tmp_path):
    process = await start(IN_THE_IMPORTS, configured(tmp_path, "127.0.0.1:9"))
    try:
        assert " ready " in await lines_of(process, " ready ")
    finally:
        process.kill()
        await process.wait()


@story
async def test_a_reload_that_comes_before_anybody_listens_for_it_is_taken_up(tmp_path):
    path = configured(tmp_path, "127.0.0.1:9")
    configured(tmp_path, "127.0.0.1:10", "config.json.new")
    process = await start(AS_IT_WAS_READ, path)
    try:
        told = await lines_of(
            process, "reloaded discovery=|discovery_unavailable.*\n(.*\n)*.*discovery_unavailable"
        )
        assert "reloaded discovery=127.0.0.1:10" in told
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("code", [AS_IT_LISTENS, AS_IT_ENDS], ids=["as it listens", "as it ends"])
@story
async def test_a_shutdown_in_the_first_or_last_moment_ends_the_program_in_order(tmp_path, code):
    process = await start(code, configured(tmp_path, "127.0.0.1:9"))
    text = b"".join([data async for data in process.stderr])
    assert await process.wait() == 0
    assert b"shutdown_complete" in text


def test_the_platforms_command_keeps_the_signal_off_until_the_program_can_take_it():
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    run = deploy["run"].replace(".venv/bin/python -m yewrill", "sleep 60")
    process = subprocess.Popen(["/bin/sh", "-c", run])
    try:
        while Path(f"/proc/{process.pid}/comm").read_text() != "sleep\n":
            pass  # until the shell has made place for the program, in the same process
        status = Path(f"/proc/{process.pid}/status").read_text()
        ignored = int(re.search(r"SigIgn:\s+(\w+)", status)[1], 16)
        assert ignored >> (signal.SIGHUP - 1) & 1
    finally:
        process.kill()
        process.wait()


@story
async def test_a_worker_is_told_what_is_left_of_a_request_that_came_while_we_started(monkeypatch):

    told = {}
    patience, start_time = 2500.0, 0.6

    async def note(exchange):
        told[exchange.id] = trio.current_time(), float(exchange.headers["x-timeout-ms"])
        await exchange.done()

    peer = Peer("d1", note)
    real, sent = Service._restore_state, {}

    async def slow(service):  # its socket listens already
        stream = await trio.open_tcp_stream(*service.listener.address)
        sent["stream"], sent["at"] = stream, trio.current_time()
        await stream.send_all(
            b"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\n"
            b"X-Timeout-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}"
        )
        while trio.current_time() < sent["at"] + start_time:
            await trio.sleep(0.01)
        return await real(service)

    monkeypatch.setattr(Service, "_restore_state", slow)
    async with world(peer) as w:
        await w.until(lambda: "r1" in told)
        at, told_ms = told["r1"]
        assert told_ms <= patience - (at - sent["at"]) * 1000.0 + 150.0
        assert (await sent["stream"].receive_some()).startswith(b"HTTP/1.1 200 ")
