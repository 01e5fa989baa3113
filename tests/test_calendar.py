"""The calendar: the timeline against an array of slots, windows over changes of clocks, and the book.

The state machine test guards against lost or double bookings, and against two voters whose books differ after
the same entries, also if one of them was restored from a snapshot.
"""

from datetime import UTC, datetime

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from yewrill.reservations.asking import (
    Ask,
    Booked,
    Cancel,
    Capacity,
    Config,
    Done,
    Refused,
    Release,
    Spread,
    TakeOffer,
    Tick,
    encode,
    read_result,
)
from yewrill.reservations.book import Book
from yewrill.reservations.timeline import Timeline
from yewrill.reservations.windows import MINUTE, Window, occurrences

MOMENTS = 40


def check_against_array(timeline: Timeline, array: list[int]) -> None:
    for start in range(0, MOMENTS - 1, 3):
        for end in range(start + 1, MOMENTS, 5):
            assert timeline.max_reserved(start, end) == max(array[start:end])
            assert timeline.free_slots(start, end) == timeline.ceiling - timeline.max_reserved(
                start, end
            )
    levels = [0, *timeline.steps.values()]
    assert levels[-1] == 0 and all(a != b for a, b in zip(levels, levels[1:], strict=False))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 28), st.integers(1, 10), st.integers(1, 5)),
        max_size=25,
    ),
    st.tuples(st.integers(1, 12), st.integers(1, 8), st.integers(0, 25), st.integers(0, 25)),
)
def test_a_timeline_agrees_with_an_array_of_slots(changes, search):
    timeline, array = Timeline(7), [0] * MOMENTS
    for is_add, start, length, slots in changes:
        moments = range(start, start + length)
        sign = 1 if is_add else -1
        is_valid = all(0 <= array[at] + sign * slots <= 7 for at in moments)
        before = dict(timeline.steps)
        try:
            (timeline.add if is_add else timeline.remove)(start, start + length, slots)
        except ValueError:
            assert not is_valid and dict(timeline.steps) == before
            continue
        assert is_valid
        for at in moments:
            array[at] += sign * slots
    check_against_array(timeline, array)
    length, slots, earliest, latest = search
    fit = next(
        (
            at
            for at in range(earliest, latest + 1)
            if all(held + slots <= 7 for held in array[at : at + length])
        ),
        None,
    )
    assert timeline.first_fit(length, slots, earliest, latest) == fit
    reserved = array[earliest : earliest + length]
    peak_moments = [earliest + at for at, held in enumerate(reserved) if held == max(reserved)]
    assert timeline.peak_span(earliest, earliest + length) == (
        max(reserved),
        peak_moments[0],
        peak_moments[-1] + 1,
    )


def utc_starts(windows) -> list[str]:
    return [f"{datetime.fromtimestamp(window.start / 1000, UTC):%m-%d %H:%M}" for window in windows]


LATEST_END = int(datetime(2027, 1, 1, tzinfo=UTC).timestamp()) * 1000


@pytest.mark.parametrize(
    "zone, first, starts",
    [
        (
            "Europe/Zurich",
            datetime(2026, 3, 28, 2, 30),
            ["03-28 01:30", "03-29 01:30", "03-30 00:30"],
        ),
        (
            "Europe/Zurich",
            datetime(2026, 10, 24, 2, 30),
            ["10-24 00:30", "10-25 00:30", "10-26 01:30"],
        ),
        ("Asia/Tokyo", datetime(2026, 3, 28, 2, 30), ["03-27 17:30", "03-28 17:30", "03-29 17:30"]),
    ],
)
def test_windows_keep_their_local_start_over_a_change_of_clocks(zone, first, starts):
    found = occurrences("FREQ=DAILY;COUNT=3", zone, first, 180 * MINUTE, LATEST_END, 60)
    assert utc_starts(found) == starts
    assert {window.end - window.start for window in found} == {180 * MINUTE}


@pytest.mark.parametrize(
    "rule, zone, length, message",
    [
        ("FREQ=DAILY", "Europe/Zurich", 60, "more than 60"),
        ("FREQ=DAILY;COUNT=2", "Europe/Nowhere", 60, "no time zone"),
        ("FREQ=DAILY;COUNT=2", "../etc/passwd", 60, "no time zone"),
        ("FREQ=DAILY;COUNT=2", "UTC", 1500, "before the one before it ends"),
        ("FREQ=OFTEN", "UTC", 60, "can't be read"),
        ("FREQ=DAILY;INTERVAL=0", "UTC", 60, "interval"),
        ("FREQ=SECONDLY", "UTC", 60, "by days or more"),
        ("FREQ=DAILY;UNTIL=20250101T000000", "UTC", 60, "no window"),
    ],
)
def test_an_invalid_rule_or_zone_is_refused(rule, zone, length, message):
    with pytest.raises(ValueError, match=message):
        occurrences(rule, zone, datetime(2026, 6, 1, 5, 30), length * MINUTE, LATEST_END, 60)


TENANTS, HOUR = ("ann", "bob"), 60 * MINUTE
CONFIG = Config(
    (
        Capacity("a", "gpu", 10, 4, reserve=2, floor=1, reserve_workers=1),
        Capacity("b", "gpu", 8, 4, reserve=2),
        Capacity("c", "gpu", 3, 3),
    ),
    {"ann": 300, "bob": 60},
    horizon=24 * HOUR,
    least_notice=5 * MINUTE,
    offer_holds=30 * MINUTE,
    cutoff=HOUR,
)


class BookMachine(RuleBasedStateMachine):
    """Two books get the same entries; one of them is sometimes restored from the other's snapshot."""

    def __init__(self):
        super().__init__()
        self.book, self.other, self.at = Book(CONFIG), Book(CONFIG), 0
        self.booked, self.applied, self.offers, self.count = {}, [], [], 0

    def apply_entry(self, entry):
        data = encode(entry)
        result = self.book.apply(self.at, data)
        assert self.other.apply(self.at, data) == result
        self.applied.append((data, result))
        return read_result(result)

    def name(self):
        self.count += 1
        return f"n{self.count}"

    @rule(
        tenant=st.sampled_from(TENANTS),
        slots=st.integers(1, 9),
        start=st.integers(0, 20),
        hours=st.integers(1, 4),
        window_count=st.sampled_from((1, 1, 3)),
        slack=st.sampled_from((0, 0, 6)),
        spread=st.builds(Spread, st.sampled_from((0, 1, 2)), st.integers(1, 2)),
    )
    def ask(self, tenant, slots, start, hours, window_count, slack, spread):
        first = (self.at // HOUR + start) * HOUR
        length = hours * HOUR
        if slack:
            windows, window_count = (Window(first, first + length + slack * HOUR),), 1
        else:
            starts = range(first, first + window_count * 5 * HOUR, 5 * HOUR)
            windows = tuple(Window(at, at + length) for at in starts)
        result = self.apply_entry(
            Ask(tenant, self.name(), "gpu", slots, windows, length if slack else 0, spread)
        )
        if isinstance(result, Refused):
            self.offers += [(tenant, offer) for offer in result.offers]
            if slack and spread.zones == 1 and result.reason == "full":
                low = max(first, self.at + 5 * MINUTE)
                last = min(windows[0].end, self.at + 24 * HOUR) - length
                assert not any(
                    self.book._place("gpu", slots, spread, Window(at, at + length))
                    for at in range(low, last + 1, MINUTE)
                )
            return
        assert result.windows == windows or slack and windows[0].start <= result.windows[0].start
        for window, placement in zip(result.windows, result.placements, strict=True):
            assert (
                window.end - window.start == length and sum(part for _, part in placement) == slots
            )
            assert len(placement) == 1 if spread.zones == 1 else len(placement) > 1
            assert all(part <= -(-slots // spread.zones) for _, part in placement)
            assert not spread.per_worker or all(
                part <= 4 * spread.per_worker for _, part in placement
            )
        self.booked[result.number] = (
            tenant,
            dict(zip(result.windows, result.placements, strict=True)),
        )

    @precondition(lambda self: self.offers)
    @rule(data=st.data())
    def take(self, data):
        tenant, offer = self.offers.pop(data.draw(st.integers(0, len(self.offers) - 1)))
        result = self.apply_entry(TakeOffer(tenant, self.name(), offer.number))
        if isinstance(result, Booked):
            assert self.at < offer.held_until and result.windows == (offer.window,)
            self.booked[result.number] = (
                tenant,
                dict(zip(result.windows, result.placements, strict=True)),
            )
        else:
            assert result.reason == ("quota" if self.at < offer.held_until else "unknown")

    @precondition(lambda self: self.booked)
    @rule(data=st.data(), entry_type=st.sampled_from((Cancel, Release)))
    def cancel_or_release(self, data, entry_type):
        number = data.draw(st.sampled_from(sorted(self.booked)))
        tenant, windows = self.booked[number]
        other = TENANTS[tenant == TENANTS[0]]
        assert self.apply_entry(entry_type(other, self.name(), number)).reason in (
            "not-yours",
            "unknown",
        )
        if not isinstance(self.apply_entry(entry_type(tenant, self.name(), number)), Done):
            return
        if entry_type is Cancel:
            remaining = {
                window: placement
                for window, placement in windows.items()
                if window.start < self.at + HOUR
            }
        else:
            remaining = {
                Window(window.start, max(window.start + MINUTE, self.at))
                if window.start <= self.at < window.end
                else window: placement
                for window, placement in windows.items()
            }
        self.booked[number] = tenant, remaining

    @rule(minutes=st.sampled_from((1, 20, 90)))
    def pass_time(self, minutes):
        self.at += minutes * MINUTE
        self.apply_entry(Tick())

    @precondition(lambda self: self.applied)
    @rule(data=st.data())
    def repeat_entry(self, data):
        entry, result = data.draw(st.sampled_from(self.applied))
        before = self.book.pack()
        assert self.book.apply(self.at, entry) == result and self.book.pack() == before

    @rule()
    def restore_other(self):
        self.other = Book(CONFIG)
        self.other.restore(self.book.pack())

    @invariant()
    def books_agree_and_hold_what_was_booked(self):
        held_bookings = {
            number: (booking.tenant, dict(zip(booking.windows, booking.placements, strict=True)))
            for number, booking in self.book.open_bookings.items()
            if not booking.held_until
        }
        expected = {
            number: (tenant, {window: at for window, at in windows.items() if window.end > self.at})
            for number, (tenant, windows) in self.booked.items()
        }
        assert held_bookings == {
            number: booking for number, booking in expected.items() if booking[1]
        }
        for (zone, _), timeline in self.book.timelines.items():
            assert max(timeline.steps.values(), default=0) <= {"a": 7, "b": 6, "c": 3}[zone]
        assert self.book.pack() == self.other.pack()
        assert {key: timeline.steps for key, timeline in self.book.timelines.items()} == {
            key: timeline.steps for key, timeline in self.other.timelines.items()
        }
        assert max(self.book.held_offers.values(), default=0) <= 9


BookMachine.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_book_machine = BookMachine.TestCase
