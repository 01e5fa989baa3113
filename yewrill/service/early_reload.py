"""SIGHUP from the program's first moment on: noted, until the service listens for it.

Its default action would end a process that is just starting, and one that is only ignored would be forgotten,
though the configuration was read before it came.
"""

from __future__ import annotations

import signal

_asked = False


def note_requests() -> None:
    """Note each SIGHUP from now on."""
    signal.signal(signal.SIGHUP, _note)


def _note(number: int, frame: object) -> None:
    global _asked  # noqa: PLW0603 (a signal has no other place to go)
    _asked = True


def take_request() -> bool:
    """Whether a reload was asked for since the last call."""
    global _asked  # noqa: PLW0603
    asked, _asked = _asked, False
    return asked
