"""Measures a dispatcher's start: processor time from `exec` until its first attempt is sent, and memory.

    python benchmarks/start.py [--quick] [--before REV] [--profilers 200] [--rounds N]

A is this work tree; B is the commit REV (default HEAD), checked out into a temporary work tree. Both are
compiled to bytecode first, as `build` does, and run with the same interpreter, in turn, A B A B. Each run
starts `python -m yewrill` as the platform does: with BALANCER_CONFIG, a `known` list of `--profilers` workers
and 200 dispatchers in `settings.instances`. A stand-in discovery service answers with the same list and
leaves its watches open, and as many stand-in workers listen on loopback. Once `GET /up` answers 200, one
request is sent. When its attempt reaches a worker, the dispatcher's processor time so far is read from /proc
(for all threads, in nanoseconds), then its peak resident memory.

Processor time is measured rather than wall time because in the operators' test bench the clock advances by
the processor time that a dispatcher uses. Figures are in milliseconds and megabytes; the last line of
standard output is one JSON object. Linux only (/proc).
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from functools import partial
from pathlib import Path

import h11
import trio
import ujson

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = {
    "areas": ["room"],
    "kinds": ["std5"],
    "instances": 200,
    "index": 7,
    "tick": 2.0,
    "counted_by": "work",
    "registry_mode": "push",
    "limits": {
        "try_limit": 3,
        "connect_timeout": 150.0,
        "idle_close": 10000.0,
        "max_retry_after": 2000.0,
        "retry_after": True,
        "may_probe": False,
        "cancel": True,
    },
    "specifics": {"tells_start": True, "progress": 1000.0},
    "rules": {
        "answer_slack": 8.0,
        "fall": 3000.0,
        "fall_multiple": 3.0,
        "start_capacity": 0.3,
        "warm_after": 10000.0,
        "stop_sending_within": 1000.0,
    },
    "parties": [{"name": "app", "quota_per_s": 64.0, "share": 1.0}],
    "request_classes": [
        {"name": "tour", "aim": 100.0, "deadline": 5000.0, "repeat": "pure", "value": 1.0}
    ],
}


def cpu_ms(pid: int) -> float:
    """Returns the processor time of all threads of a process so far, in milliseconds."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except (OSError, ValueError, IndexError):
            pass  # the thread ended meanwhile
    return total / 1e6


def peak_mb(pid: int) -> float:
    """Returns the peak resident memory of a process; NaN if /proc doesn't say."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    return float("nan")


async def _read_request(stream: trio.SocketStream) -> h11.Request | None:
    parser = h11.Connection(h11.SERVER)
    request = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some()
            if not data:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request


class BenchmarkRun:
    """One run of one version, with stand-in discovery and workers and a client on loopback."""

    def __init__(self, profilers: int):
        self.count = profilers
        self.entries: list[dict] = []
        self.pid = 0
        self.cpu_at_send = -1.0
        self.sent = trio.Event()

    async def _serve_worker(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(30):
            while (request := await _read_request(stream)) is not None:
                if self.cpu_at_send < 0:
                    self.cpu_at_send = cpu_ms(self.pid)
                    self.sent.set()
                job = dict(request.headers).get(b"x-request-id", b"").decode()
                lines = "".join(
                    ujson.dumps({"id": job, "from": "p", "state": state, **more}) + "\n"
                    for state, more in (("started", {}), ("done", {"result": "profile"}))
                )
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(lines), lines.encode())
                )
        await trio.aclose_forcefully(stream)

    async def _serve_discovery(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(30):
            while (request := await _read_request(stream)) is not None:
                if b"from=" in request.target:
                    # A watch is answered when the list changes, which it never does in this benchmark.
                    await trio.sleep_forever()
                body = ujson.dumps({"version": 1, "full": True, "servers": self.entries}).encode()
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
        await trio.aclose_forcefully(stream)

    async def run(self, tree: Path) -> dict:
        """Starts the dispatcher of a work tree; returns its processor time and peak memory."""
        async with trio.open_nursery() as nursery:
            for i in range(self.count):
                listeners = await nursery.start(
                    partial(trio.serve_tcp, self._serve_worker, 0, host="127.0.0.1")
                )
                port = listeners[0].socket.getsockname()[1]
                self.entries.append(
                    {
                        "id": f"s-{i:08x}",
                        "addr": f"127.0.0.1:{port}",
                        "zone": "room",
                        "kind": "std5",
                        "cell": i % 8,
                        "state": "SERVING",
                        "weight": 1.0,
                        "started_ms": 0,
                    }
                )
            listeners = await nursery.start(
                partial(trio.serve_tcp, self._serve_discovery, 0, host="127.0.0.1")
            )
            discovery = listeners[0].socket.getsockname()[1]
            listen = free_port()
            with tempfile.TemporaryDirectory() as directory:
                config = Path(directory) / "config.json"
                config.write_text(
                    json.dumps(
                        {
                            "name": "n7",
                            "listen": f"127.0.0.1:{listen}",
                            "discovery": f"127.0.0.1:{discovery}",
                            "seed": "8c1f30d27a5be964",
                            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                            "known": {"version": 1, "full": True, "servers": self.entries},
                            "settings": SETTINGS,
                        }
                    )
                )
                env = {
                    **os.environ,
                    "BALANCER_CONFIG": str(config),
                    "PYTHONPATH": str(tree),
                    "YEWRILL_LOG": "WARNING",
                }
                process = subprocess.Popen(
                    [sys.executable, "-m", "yewrill"],
                    cwd=tree,
                    env=env,
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
                self.pid = process.pid
                try:
                    await self._client(listen)
                    with trio.fail_after(10):
                        await self.sent.wait()
                    figures = {"cpu_ms": self.cpu_at_send, "peak_mb": peak_mb(process.pid)}
                finally:
                    process.send_signal(signal.SIGTERM)
                    await trio.to_thread.run_sync(process.wait)
            nursery.cancel_scope.cancel()
        return figures

    async def _client(self, port: int) -> None:
        """Polls `/up` until it answers 200, then sends one request and reads its answer."""
        with trio.fail_after(20):
            while True:
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                except OSError:
                    await trio.sleep(0.005)
                    continue
                async with stream:
                    await stream.send_all(
                        b"GET /up HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"
                    )
                    head = await stream.receive_some()
                if head.startswith(b"HTTP/1.1 200"):
                    break
                await trio.sleep(0.005)
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(
                    b"POST /tour HTTP/1.1\r\nHost: d\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\n"
                    b"X-Priority-Class: tour\r\nX-Tenant-Id: app\r\nX-Timeout-Ms: 5000\r\n"
                    b"Content-Length: 2\r\n\r\n{}"
                )
                await stream.receive_some()


def free_port() -> int:
    """Returns a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def main() -> None:
    """Runs both versions in turn and prints the comparison."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="three rounds, within 45 s")
    parser.add_argument("--before", default="HEAD", help="the commit to compare with")
    parser.add_argument("--profilers", type=int, default=200)
    parser.add_argument("--rounds", type=int, default=0)
    args = parser.parse_args()
    rounds = args.rounds or (3 if args.quick else 10)
    with tempfile.TemporaryDirectory() as directory:
        before = Path(directory) / "before"
        git = ["git", "-C", str(ROOT), "worktree"]
        subprocess.run([*git, "add", "--detach", "-q", str(before), args.before], check=True)
        try:
            # Compiles both work trees to bytecode, as `build` does.
            for tree in (ROOT, before):
                subprocess.run(
                    [sys.executable, "-m", "compileall", "-q", str(tree / "yewrill")], check=True
                )
            runs: dict[str, list[dict]] = {"A": [], "B": []}
            for i in range(rounds):
                for name, tree in (("A", ROOT), ("B", before)):
                    figures = trio.run(BenchmarkRun(args.profilers).run, tree)
                    runs[name].append(figures)
                    print(
                        f"round {i} {name}: {figures['cpu_ms']:.0f} ms, {figures['peak_mb']:.1f} MB",
                        file=sys.stderr,
                    )
        finally:
            subprocess.run([*git, "remove", "--force", str(before)], check=False)
    summary: dict = {"profilers": args.profilers, "rounds": rounds, "before": args.before}
    for name, of in runs.items():
        for key in ("cpu_ms", "peak_mb"):
            values = [r[key] for r in of]
            summary[f"{name}_{key}"] = {
                "median": round(statistics.median(values), 1),
                "min": round(min(values), 1),
                "max": round(max(values), 1),
            }
    ratios = [a["cpu_ms"] / b["cpu_ms"] for a, b in zip(runs["A"], runs["B"], strict=True)]
    summary["cpu_ratio_median"] = round(statistics.median(ratios), 3)
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
