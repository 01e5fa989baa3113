"""Signals that come before the service receives them, and after it has stopped to.

A reload is noted from the program's first moment on: its default action would end a process that is just
starting, and one that is only ignored would be forgotten, though the configuration was read before it came. A
shutdown is noted from the moment in which the socket listens: clients may be there whose answers are owed.
Once the service has ended, neither may kill the process, which has only its exit left.
"""

from __future__ import annotations

import signal

_requested: set[signal.Signals] = set()


def record_reload_signals() -> None:
    """Note each SIGHUP from now on."""
    signal.signal(signal.SIGHUP, _note)


def record_shutdown_signals() -> None:
    """Note each SIGTERM from now on."""
    signal.signal(signal.SIGTERM, _note)


def ignore_signals() -> None:
    """Let neither of them end the process any more."""
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)


def _note(number: int, frame: object) -> None:
    _requested.add(signal.Signals(number))


def take_recorded_signal(number: signal.Signals) -> bool:
    """Whether this signal has come since the last call."""
    requested = number in _requested
    _requested.discard(number)
    return requested
