"""The metrics that operators fetch, and their text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "app"
SUCCESS, OVERLOAD, ERROR = "success", "overload", "error"
_STATUSES = (SUCCESS, OVERLOAD, ERROR)
# These characters delimit fields or lines of the text format.
_ESCAPED = str.maketrans(":|@\n\r ", "______")


class Metrics:
    """Counters by name. Not thread-safe: every call is made on the event loop."""

    def __init__(self) -> None:
        self._counts = dict.fromkeys(("dispatches", "reload_success", "reload_failure"), 0)

    def register_persistent_state(self) -> None:
        """Adds the counters of writes to the persistent state."""
        self._counts.update(state_kept=0, state_failed=0)

    def count_state_write(self, written: bool) -> None:
        """Counts a write to the persistent state, as written or failed."""
        self._counts["state_kept" if written else "state_failed"] += 1

    def add(self, counts: Mapping[str, int]) -> None:
        """Sets counters whose values other components maintain."""
        self._counts.update(counts)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Adds counters for these request classes; counters of removed classes stay."""
        for name in classes:
            for status in _STATUSES:
                self._counts.setdefault(_line(status, name), 0)

    def answered(self, request_class: str, status: str) -> None:
        """Counts the final answer of a request."""
        self._counts[_line(status, request_class)] += 1

    def dispatched(self) -> None:
        """Counts an attempt whose last byte was written."""
        self._counts["dispatches"] += 1

    def reloaded(self, accepted: bool) -> None:
        """Counts a reload of the configuration, as accepted or rejected."""
        self._counts["reload_success" if accepted else "reload_failure"] += 1

    def text(self, gauges: Mapping[str, float]) -> str:
        """Returns all metrics in statsd format: counters since the start of the process, and gauges."""
        lines = [f"{PREFIX}.{name}:{count}|c\n" for name, count in self._counts.items()]
        lines += [f"{PREFIX}.{name}:{value:g}|g\n" for name, value in gauges.items()]
        return "".join(lines)


def name_part(name: str) -> str:
    """Returns a name from the settings with the characters replaced that a metric's name can't contain."""
    return name.translate(_ESCAPED)


def _line(status: str, request_class: str) -> str:
    return f"{status}.{name_part(request_class)}"
