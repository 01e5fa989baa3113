"""Handling of signals that arrive before the service receives signals, and after it has stopped doing so.

SIGHUP is recorded from the start of the program: its default action would end the starting process, and if
it were ignored the reload would be lost, although the configuration had been read before the signal.
SIGTERM is recorded from the moment the socket listens: from then on clients may be waiting for answers.
After the service has ended, both are ignored, so that they don't kill the process during its exit.
"""

from __future__ import annotations

import signal

_recorded: set[signal.Signals] = set()


def record_reload_signals() -> None:
    """Records each SIGHUP from now on."""
    signal.signal(signal.SIGHUP, _record)


def record_shutdown_signals() -> None:
    """Records each SIGTERM from now on."""
    signal.signal(signal.SIGTERM, _record)


def ignore_signals() -> None:
    """Ignores SIGHUP and SIGTERM from now on."""
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)


def _record(number: int, frame: object) -> None:
    _recorded.add(signal.Signals(number))


def take_recorded_signal(number: signal.Signals) -> bool:
    """Returns whether this signal was recorded since the last call, and clears the record."""
    recorded = number in _recorded
    _recorded.discard(number)
    return recorded
