"""The dispatchers of a run: real processes under the shim, their configuration, signals and logs."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import trio
import ujson

from yewrill.lab.cluster.rig import free_port
from yewrill.lab.soak.events import History, ProcessEvent, ProcessState
from yewrill.lab.soak.plan import Plan
from yewrill.lab.soak.shim import Shim

READY_MARK = b" ready name="
VIOLATION_MARK = b" rule_violation "
MEMBERSHIP_KEY = "7a" * 16
# The shell command with which the platform starts a dispatcher.
START_COMMAND = "trap '' HUP; exec \"$0\" -m yewrill"
RELOADS_IN_A_ROW = 3
# Longest time from the start of a new process to the kill of one of the two.
MAX_UPGRADE_KILL_DELAY_SECONDS = 2.0
MAX_SERIES_INTERVAL_SECONDS = 0.25  # longest time between two signals of a series


class Node:
    """One dispatcher: the process that serves at present, and perhaps an older process that drains."""

    def __init__(
        self, index: int, plan: Plan, directory: Path, history: History, nursery: trio.Nursery
    ):
        self.name = f"d{index}"
        self._index, self._plan, self._history, self._nursery = index, plan, history, nursery
        self._directory = directory
        self._config_path = directory / f"{self.name}.json"
        self.log_path = directory / f"{self.name}.log"
        self.shim = Shim(directory / f"{self.name}.shim")
        self._listening_socket: socket.socket | None = None
        if plan.inherited_sockets:
            self._listening_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
            self.address = self._listening_socket.getsockname()
        else:
            self.address = ("127.0.0.1", free_port())
        self.members = ("127.0.0.1", free_port())
        self.process: subprocess.Popen | None = None
        self.ready = trio.Event()
        self.restart_lock = trio.Lock()
        self._reloads = 0
        self._paused_seconds = 0.0  # total time for which the process was paused by SIGSTOP
        self._rng = random.Random(f"{plan.seed}/{self.name}/signals")

    # -- configuration

    def configure(
        self, discovery: tuple[str, int], known: dict, peers: list[tuple[str, int]]
    ) -> None:
        """Writes the configuration, with a new answer margin each time, so that a reload has a change."""
        self._reloads += 1
        raw = self._raw_config(discovery, known, peers)
        raw["timing"]["answer_margin_ms"] = 20.0 + self._reloads % 3
        temporary_path = self._config_path.with_suffix(".new")
        temporary_path.write_text(ujson.dumps(raw))
        temporary_path.rename(self._config_path)

    def _raw_config(
        self, discovery: tuple[str, int], known: dict, peers: list[tuple[str, int]]
    ) -> dict:
        plan, terms = self._plan, self._plan.terms
        factor = plan.classes.objective_run_factor
        stretch = {} if factor is None else {"aim_stretch": factor}
        classes = [
            {
                "name": name,
                "aim": plan.classes.objective * 1000.0,
                "deadline": plan.classes.deadline * 1000.0,
                **stretch,
                "repeat": idempotency.value,
                "group": terms.keyed_group,
                "window": terms.keyed_window * 1000.0,
                "value": 1.0,
            }
            for name, idempotency in terms.effects.items()
        ]
        # The default timing, and so the default grace period.
        raw = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "seed": f"{plan.seed + self._index:x}",
            "known": known,
            "timing": {},
            "limits": {"cores": 1.0, "memory_mb": terms.memory_mb, "sockets": plan.sockets},
            "settings": {
                "areas": ["room"],
                "kinds": ["std"],
                "instances": plan.dispatchers,
                "index": self._index,
                "tick": 2.0,
                "counted_by": "work",
                "request_classes": classes,
                "limits": {
                    "try_limit": 4,
                    "connect_timeout": plan.connect_timeout * 1000.0,
                    "idle_close": 5000.0,
                    "cancel": True,
                    "max_retry_after": 1000.0,
                    "retry_after": True,
                    "may_probe": True,
                },
                "specifics": {"tells_start": True, "queue_order": "fifo", "progress": 0.0},
                "rules": {
                    "answer_slack": 8.0,
                    "fall": terms.cold_window * 1000.0,
                    "fall_multiple": terms.cold_multiple,
                    "start_capacity": terms.start_capacity,
                    "warm_after": terms.warm_after * 1000.0,
                    "stop_sending_within": 1000.0,
                },
                "parties": [{"name": "acme", "quota_per_s": plan.classes.quota, "share": 1.0}],
            },
        }
        if terms.persistent_state:
            raw["state_dir"] = str(self._directory / f"{self.name}.state")
        if plan.membership:
            raw["members"] = {
                "listen": f"{self.members[0]}:{self.members[1]}",
                "peers": [f"{host}:{port}" for host, port in peers],
                "keys": [MEMBERSHIP_KEY],
                "zone": "room",
            }
            raw["views"] = {
                "founders": [f"d{i}" for i in range(min(3, plan.dispatchers))],
                "dir": str(self._directory / f"{self.name}.views"),
            }
        return raw

    # -- processes

    async def start(self) -> None:
        """Starts a process and waits until it is ready or has ended."""
        environment = {
            **os.environ,
            **self.shim.environment(),
            "BALANCER_CONFIG": str(self._config_path),
            "YEWRILL_LOG": "DEBUG",
            "TMPDIR": str(self._directory),
        }
        inherited_fds: tuple[int, ...] = ()
        if self._listening_socket is not None:
            inherited_fds = (self._listening_socket.fileno(),)
            environment["BALANCER_INHERITED_FD"] = str(inherited_fds[0])
        if self.ready.is_set():
            self.ready = trio.Event()
        log_offset = self.log_path.stat().st_size if self.log_path.exists() else 0
        with self.log_path.open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", START_COMMAND, sys.executable],
                env=environment,
                stderr=log,
                stdout=log,
                pass_fds=inherited_fds,
                cwd=self._plan.program or None,
            )
        self.process = process
        self._note(process, ProcessState.STARTED)
        ready = self.ready
        with trio.CancelScope() as scope:
            self._nursery.start_soon(self._wait, process, scope)
            while READY_MARK not in self._log_from(log_offset):
                await trio.sleep(0.02)
            self._note(process, ProcessState.READY)
            ready.set()

    async def _wait(self, process: subprocess.Popen, scope: trio.CancelScope) -> None:
        while (code := process.poll()) is None:
            await trio.sleep(0.01)
        self._note(process, ProcessState.EXITED, code)
        scope.cancel()

    def _log_from(self, log_offset: int) -> bytes:
        with self.log_path.open("rb") as log:
            log.seek(log_offset)
            return log.read()

    def _note(self, process: subprocess.Popen, state: ProcessState, code: int = 0) -> None:
        event = ProcessEvent(self.name, process.pid, state, self._history.now(), code)
        self._history.process_events.append(event)

    def send(
        self, number: int, state: ProcessState, process: subprocess.Popen | None = None
    ) -> None:
        """Sends a signal to the process that serves at present, or to the given process."""
        process = process or self.process
        if process is not None and process.poll() is None:
            if state is ProcessState.KILLED and self.ready.is_set():
                # Clients that wait from now on wait until the next process is ready.
                self.ready = trio.Event()
            self._note(process, state)
            process.send_signal(number)

    async def terminate(
        self, process: subprocess.Popen | None = None, series: bool = False
    ) -> None:
        """Sends SIGTERM, and SIGKILL if the process has not ended by the end of the grace period.

        Pauses of the process extend the grace period. `series`: SIGHUPs and more SIGTERMs follow until the
        process ends.
        """
        process = process or self.process
        if process is None or process.poll() is not None:
            return
        self.send(signal.SIGTERM, ProcessState.TERMINATED, process)
        paused_before = self._paused_seconds
        due = trio.current_time() + self._plan.terms.grace
        next_signal = trio.current_time()
        while process.poll() is None:
            now = trio.current_time()
            if now >= due + self._paused_seconds - paused_before:
                self.send(signal.SIGKILL, ProcessState.KILLED, process)
                return
            if series and now >= next_signal:
                self._send_random_signal(process)
                next_signal = now + MAX_SERIES_INTERVAL_SECONDS * self._rng.random()
            await trio.sleep(0.005)

    def _send_random_signal(self, process: subprocess.Popen) -> None:
        """Sends SIGHUP or SIGTERM, at random, to a process that drains already."""
        if self._rng.random() < 0.5:
            self.send(signal.SIGHUP, ProcessState.RELOADED, process)
        else:
            self.send(signal.SIGTERM, ProcessState.TERMINATED, process)

    async def pause(self, duration: float) -> None:
        """Stops the process with SIGSTOP for some seconds."""
        process = self.process
        self.send(signal.SIGSTOP, ProcessState.PAUSED, process)
        await trio.sleep(duration)
        self.send(signal.SIGCONT, ProcessState.RESUMED, process)
        self._paused_seconds += duration

    async def reload(self) -> None:
        """Sends several SIGHUPs in a row."""
        for _ in range(RELOADS_IN_A_ROW):
            self.send(signal.SIGHUP, ProcessState.RELOADED)
            await trio.sleep(0.02)

    async def upgrade(self) -> None:
        """Starts a new process beside the old one, and ends the old one once the new one is ready."""
        old = self.process
        await self.start()
        await self.terminate(old)

    async def upgrade_with_kill(self) -> None:
        """Starts a new process beside the old one, and kills one of the two at some time from then on."""
        old = self.process
        kills_new = self._rng.random() < 0.5
        delay = self._rng.uniform(0.0, MAX_UPGRADE_KILL_DELAY_SECONDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.start)
            await trio.sleep(delay)
            if kills_new:
                self.send(signal.SIGKILL, ProcessState.KILLED, self.process)
        if kills_new:
            self.process = old
        else:
            self.send(signal.SIGKILL, ProcessState.KILLED, old)
        self.ready.set()  # the other process serves

    def cpu_wait(self) -> tuple[int, float] | None:
        """Returns the process id, and the total time in seconds that the process waited for a CPU."""
        if self.process is None:
            return None
        try:
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
            return self.process.pid, int(fields[1]) / 1e9
        except (OSError, IndexError, ValueError):
            return None

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory that the present process has had, 0 without a process."""
        if self.process is None:
            return 0.0
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    def close(self) -> None:
        """Kills the process if it still runs, and closes the listening socket."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self._listening_socket is not None:
            self._listening_socket.close()

    def log_lines_about(self, id: str) -> list[str]:
        """Returns the log lines about a request, or the last lines of the log if there are none."""
        with suppress(OSError):
            lines = self.log_path.read_text(errors="replace").splitlines()
            return [line for line in lines if id in line] or lines[-15:]
        return []

    def violations(self) -> list[str]:
        """Returns the log lines in which the dispatcher reports a violation of its own rules."""
        lines = self._log_from(0).splitlines() if self.log_path.exists() else []
        return [line.decode(errors="replace") for line in lines if VIOLATION_MARK in line]
