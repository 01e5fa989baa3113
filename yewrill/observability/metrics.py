"""What operators can count: one owner of every count, told where things happen. It knows only its text."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "app"
SUCCESS, OVERLOAD, ERROR = "success", "overload", "error"
_STATUSES = (SUCCESS, OVERLOAD, ERROR)
_SET_APART = str.maketrans(":|@\n\r ", "______")  # what has a meaning in a line


class Metrics:
    def __init__(self) -> None:
        self._counts = dict.fromkeys(("dispatches", "reload_success", "reload_failure"), 0)

    def know_state(self) -> None:
        """There is a store: what was kept there, and what could not be, has its lines."""
        self._counts.update(state_kept=0, state_failed=0)

    def kept(self, kept: bool) -> None:
        """Something was to be kept over a restart."""
        self._counts["state_kept" if kept else "state_failed"] += 1

    def add(self, counts: Mapping[str, int]) -> None:
        """Counts that are kept elsewhere, as they stand now."""
        self._counts.update(counts)

    def know(self, classes: Iterable[str]) -> None:
        """These classes have their lines from now on; those of a dropped class stay."""
        for name in classes:
            for status in _STATUSES:
                self._counts.setdefault(_line(status, name), 0)

    def answered(self, request_class: str, status: str) -> None:
        """A job has its final answer."""
        self._counts[_line(status, request_class)] += 1

    def dispatched(self) -> None:
        """An attempt's last byte is written."""
        self._counts["dispatches"] += 1

    def reloaded(self, taken: bool) -> None:
        self._counts["reload_success" if taken else "reload_failure"] += 1

    def text(self, gauges: Mapping[str, float]) -> str:
        """In the form of statsd: counts since this process began, and how things stand now."""
        lines = [f"{PREFIX}.{name}:{count}|c\n" for name, count in self._counts.items()]
        lines += [f"{PREFIX}.{name}:{value:g}|g\n" for name, value in gauges.items()]
        return "".join(lines)


def _line(status: str, request_class: str) -> str:
    return f"{status}.{request_class.translate(_SET_APART)}"
