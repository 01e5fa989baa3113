"""What is promised over time, as a step function. Pure.

Times are integers (milliseconds), spans [start, end). Only changes are kept: a moment and what is promised
from it on, until the next.
"""

from __future__ import annotations

from collections.abc import Iterator

from sortedcontainers import SortedDict


class Timeline:
    """Never more than `ceiling` slots at any moment."""

    def __init__(self, ceiling: int):
        self.ceiling = ceiling
        self.steps: SortedDict = (
            SortedDict()
        )  # moment -> slots promised from it on; 0 before the first

    def _at(self, moment: int) -> int:
        place = self.steps.bisect_right(moment)
        return self.steps.peekitem(place - 1)[1] if place else 0

    def spans(self, start: int, end: int | None = None) -> Iterator[tuple[int, int]]:
        """(moment, slots) from `start` on: first what holds there, then each change before `end`."""
        yield start, self._at(start)
        for moment in self.steps.irange(start, end, inclusive=(False, False)):
            yield moment, self.steps[moment]

    def most(self, start: int, end: int) -> int:
        """The highest that is promised within."""
        inside = self.steps.irange(start, end, inclusive=(False, False))
        return max(self._at(start), max(map(self.steps.__getitem__, inside), default=0))

    def rims(self, start: int, end: int) -> tuple[int, int, int]:
        """The highest that is promised within, and where it is first reached and last left, at the most the
        rims of the span. No span of this length has more room that begins from `start` on before the latter,
        or ends up to `end` after the former."""
        moments = [start, *self.steps.irange(start, end, inclusive=(False, False)), end]
        slots = [self._at(start), *map(self.steps.__getitem__, moments[1:-1])]
        most = max(slots)
        first = slots.index(most)
        slots.reverse()
        return most, moments[first], moments[-1 - slots.index(most)]

    def room(self, start: int, end: int) -> int:
        """How many slots are left for all of it; below 0 where the ceiling fell under what is promised."""
        return self.ceiling - self.most(start, end)

    def add(self, start: int, end: int, slots: int, anyway: bool = False) -> None:
        """ValueError over the ceiling, and nothing is changed; `anyway`: promised under an older ceiling."""
        _check(start, end, slots)
        if not anyway and slots > self.room(start, end):
            raise ValueError(f"{slots} slots are over the ceiling of {self.ceiling}")
        self._change(start, end, slots)

    def take(self, start: int, end: int, slots: int) -> None:
        """Undo an `add`, or a part of its time. ValueError where less is promised."""
        _check(start, end, slots)
        if min(held for _, held in self.spans(start, end)) < slots:
            raise ValueError(f"fewer than {slots} slots are promised")
        self._change(start, end, -slots)

    def _change(self, start: int, end: int, by: int) -> None:
        steps, before, last = self.steps, self._at(start - 1), self._at(end)
        for moment, slots in list(self.spans(start, end)):
            steps[moment] = slots + by
        steps[end] = last
        if (
            steps[start] == before
        ):  # within, all neighbours change alike: only the rims can become level
            del steps[start]
        if self._at(end - 1) == last:
            del steps[end]

    def fits(self, length: int, slots: int, earliest: int, latest: int) -> int | None:
        """The first start, `earliest` to `latest`, from which the slots fit for the whole length."""
        most = self.ceiling - slots
        if most < 0 or earliest > latest:
            return None
        start: int | None = None
        for moment, held in self.spans(earliest, latest + length):
            if start is not None and moment >= start + length:
                return start
            if held > most:
                start = None
            elif start is None:
                start = moment
                if start > latest:
                    return None
        return start


def _check(start: int, end: int, slots: int) -> None:
    if start >= end or slots < 1:
        raise ValueError("a span needs an end after its start, and a slot at the least")
