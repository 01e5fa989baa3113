"""The number of reserved slots over time, as a step function.

Times are integers in milliseconds, spans are [start, end). Only changes are stored: a moment, and the number
of slots reserved from it on until the next change.
"""

from __future__ import annotations

from collections.abc import Iterator

from sortedcontainers import SortedDict


class Timeline:
    """The reserved slots of one kind of workers in a zone, at most `ceiling` at any moment."""

    def __init__(self, ceiling: int):
        self.ceiling = ceiling
        # Moment -> number of slots reserved from that moment on; 0 before the first moment.
        self.steps: SortedDict = SortedDict()

    def _slots_at(self, moment: int) -> int:
        position = self.steps.bisect_right(moment)
        return self.steps.peekitem(position - 1)[1] if position else 0

    def levels(self, start: int, end: int | None = None) -> Iterator[tuple[int, int]]:
        """Yields (moment, slots): first the slots reserved at `start`, then each change before `end`."""
        yield start, self._slots_at(start)
        for moment in self.steps.irange(start, end, inclusive=(False, False)):
            yield moment, self.steps[moment]

    def max_reserved(self, start: int, end: int) -> int:
        """Returns the highest number of slots reserved at once in the span."""
        moments = self.steps.irange(start, end, inclusive=(False, False))
        return max(self._slots_at(start), max(map(self.steps.__getitem__, moments), default=0))

    def peak_span(self, start: int, end: int) -> tuple[int, int, int]:
        """Returns the highest number of slots reserved at once, and two times.

        The times are when that number is first reached and when it is last left, both within the span. A
        later span of the same length has more free slots only if it begins at or after the second time, an
        earlier one only if it ends at or before the first.
        """
        moments = [start, *self.steps.irange(start, end, inclusive=(False, False)), end]
        slots = [self._slots_at(start), *map(self.steps.__getitem__, moments[1:-1])]
        max_reserved = max(slots)
        first = slots.index(max_reserved)
        slots.reverse()
        return max_reserved, moments[first], moments[-1 - slots.index(max_reserved)]

    def free_slots(self, start: int, end: int) -> int:
        """Returns the slots that are free during the whole span.

        The result is negative if the ceiling was lowered below the reserved slots.
        """
        return self.ceiling - self.max_reserved(start, end)

    def add(self, start: int, end: int, slots: int, allow_over_ceiling: bool = False) -> None:
        """Reserves slots for a span. Raises ValueError, and changes nothing, if that exceeds the ceiling.

        `allow_over_ceiling` is for slots that were reserved under an earlier, higher ceiling.
        """
        _check(start, end, slots)
        if not allow_over_ceiling and slots > self.free_slots(start, end):
            raise ValueError(f"{slots} more slots exceed the ceiling of {self.ceiling}")
        self._change(start, end, slots)

    def remove(self, start: int, end: int, slots: int) -> None:
        """Undoes an `add`, or a part of its span. Raises ValueError if fewer slots are reserved there."""
        _check(start, end, slots)
        if min(held for _, held in self.levels(start, end)) < slots:
            raise ValueError(f"fewer than {slots} slots are reserved")
        self._change(start, end, -slots)

    def _change(self, start: int, end: int, difference: int) -> None:
        steps, slots_before, slots_after = (
            self.steps,
            self._slots_at(start - 1),
            self._slots_at(end),
        )
        for moment, slots in list(self.levels(start, end)):
            steps[moment] = slots + difference
        steps[end] = slots_after
        # All steps within the span change by the same amount: only those at its ends can become redundant.
        if steps[start] == slots_before:
            del steps[start]
        if self._slots_at(end - 1) == slots_after:
            del steps[end]

    def first_fit(self, length: int, slots: int, earliest: int, latest: int) -> int | None:
        """Returns the first start, from `earliest` to `latest`, at which the slots fit, or None."""
        max_reserved = self.ceiling - slots
        if max_reserved < 0 or earliest > latest:
            return None
        start: int | None = None
        for moment, held in self.levels(earliest, latest + length):
            if start is not None and moment >= start + length:
                return start
            if held > max_reserved:
                start = None
            elif start is None:
                start = moment
                if start > latest:
                    return None
        return start


def _check(start: int, end: int, slots: int) -> None:
    if start >= end or slots < 1:
        raise ValueError("a reservation needs an end after its start and at least one slot")
