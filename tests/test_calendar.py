"""The calendar: the timeline against an array, windows at changes of clocks, the book against its rules."""

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

SPAN = 40


def agree(line: Timeline, naive: list[int]) -> None:
    for start in range(0, SPAN - 1, 3):
        for end in range(start + 1, SPAN, 5):
            assert line.max_reserved(start, end) == max(naive[start:end])
            assert line.free_slots(start, end) == line.ceiling - line.max_reserved(start, end)
    level = [0, *line.steps.values()]
    assert level[-1] == 0 and all(a != b for a, b in zip(level, level[1:], strict=False))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 28), st.integers(1, 10), st.integers(1, 5)),
        max_size=25,
    ),
    st.tuples(st.integers(1, 12), st.integers(1, 8), st.integers(0, 25), st.integers(0, 25)),
)
def test_timeline_is_as_an_array(changes, asked):
    line, naive = Timeline(7), [0] * SPAN
    for adds, start, length, slots in changes:
        span = range(start, start + length)
        sign = 1 if adds else -1
        right = all(0 <= naive[at] + sign * slots <= 7 for at in span)
        before = dict(line.steps)
        try:
            (line.add if adds else line.remove)(start, start + length, slots)
        except ValueError:
            assert not right and dict(line.steps) == before
            continue
        assert right
        for at in span:
            naive[at] += sign * slots
    agree(line, naive)
    length, slots, earliest, latest = asked
    fit = next(
        (
            at
            for at in range(earliest, latest + 1)
            if all(held + slots <= 7 for held in naive[at : at + length])
        ),
        None,
    )
    assert line.first_fit(length, slots, earliest, latest) == fit
    span = naive[earliest : earliest + length]
    top = [earliest + at for at, held in enumerate(span) if held == max(span)]
    assert line.peak_span(earliest, earliest + length) == (max(span), top[0], top[-1] + 1)


def utc(windows) -> list[str]:
    return [f"{datetime.fromtimestamp(one.start / 1000, UTC):%m-%d %H:%M}" for one in windows]


FAR = int(datetime(2027, 1, 1, tzinfo=UTC).timestamp()) * 1000


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
def test_windows_at_a_change_of_clocks(zone, first, starts):
    found = occurrences("FREQ=DAILY;COUNT=3", zone, first, 180 * MINUTE, FAR, 60)
    assert utc(found) == starts
    assert {one.end - one.start for one in found} == {180 * MINUTE}


@pytest.mark.parametrize(
    "rule, zone, length, words",
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
def test_rules_that_are_refused(rule, zone, length, words):
    with pytest.raises(ValueError, match=words):
        occurrences(rule, zone, datetime(2026, 6, 1, 5, 30), length * MINUTE, FAR, 60)


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
    """Two books get the same entries, one of them put back from its bytes now and then."""

    def __init__(self):
        super().__init__()
        self.book, self.other, self.at = Book(CONFIG), Book(CONFIG), 0
        self.booked, self.given, self.offers, self.count = {}, [], [], 0

    def enter(self, entry):
        data = encode(entry)
        result = self.book.apply(self.at, data)
        assert self.other.apply(self.at, data) == result
        self.given.append((data, result))
        return read_result(result)

    def name(self):
        self.count += 1
        return f"n{self.count}"

    @rule(
        tenant=st.sampled_from(TENANTS),
        slots=st.integers(1, 9),
        start=st.integers(0, 20),
        hours=st.integers(1, 4),
        every=st.sampled_from((1, 1, 3)),
        slack=st.sampled_from((0, 0, 6)),
        spread=st.builds(Spread, st.sampled_from((0, 1, 2)), st.integers(1, 2)),
    )
    def ask(self, tenant, slots, start, hours, every, slack, spread):
        first = (self.at // HOUR + start) * HOUR
        length = hours * HOUR
        if slack:
            windows, every = (Window(first, first + length + slack * HOUR),), 1
        else:
            starts = range(first, first + every * 5 * HOUR, 5 * HOUR)
            windows = tuple(Window(at, at + length) for at in starts)
        got = self.enter(
            Ask(tenant, self.name(), "gpu", slots, windows, length if slack else 0, spread)
        )
        if isinstance(got, Refused):
            self.offers += [(tenant, one) for one in got.offers]
            if slack and spread.zones == 1 and got.reason == "full":
                low = max(first, self.at + 5 * MINUTE)
                last = min(windows[0].end, self.at + 24 * HOUR) - length
                assert not any(
                    self.book._place("gpu", slots, spread, Window(at, at + length))
                    for at in range(low, last + 1, MINUTE)
                )
            return
        assert got.windows == windows or slack and windows[0].start <= got.windows[0].start
        for window, placed in zip(got.windows, got.placements, strict=True):
            assert window.end - window.start == length and sum(part for _, part in placed) == slots
            assert len(placed) == 1 if spread.zones == 1 else len(placed) > 1
            assert all(part <= -(-slots // spread.zones) for _, part in placed)
            assert not spread.per_worker or all(part <= 4 * spread.per_worker for _, part in placed)
        self.booked[got.number] = tenant, dict(zip(got.windows, got.placements, strict=True))

    @precondition(lambda self: self.offers)
    @rule(data=st.data())
    def take(self, data):
        tenant, offer = self.offers.pop(data.draw(st.integers(0, len(self.offers) - 1)))
        got = self.enter(TakeOffer(tenant, self.name(), offer.number))
        if isinstance(got, Booked):
            assert self.at < offer.held_until and got.windows == (offer.window,)
            self.booked[got.number] = tenant, dict(zip(got.windows, got.placements, strict=True))
        else:
            assert got.reason == ("quota" if self.at < offer.held_until else "unknown")

    @precondition(lambda self: self.booked)
    @rule(data=st.data(), what=st.sampled_from((Cancel, Release)))
    def give_back(self, data, what):
        number = data.draw(st.sampled_from(sorted(self.booked)))
        tenant, windows = self.booked[number]
        other = TENANTS[tenant == TENANTS[0]]
        assert self.enter(what(other, self.name(), number)).reason in ("not-yours", "unknown")
        if not isinstance(self.enter(what(tenant, self.name(), number)), Done):
            return
        if what is Cancel:
            left = {one: placed for one, placed in windows.items() if one.start < self.at + HOUR}
        else:
            left = {
                Window(one.start, max(one.start + MINUTE, self.at))
                if one.start <= self.at < one.end
                else one: placed
                for one, placed in windows.items()
            }
        self.booked[number] = tenant, left

    @rule(minutes=st.sampled_from((1, 20, 90)))
    def later(self, minutes):
        self.at += minutes * MINUTE
        self.enter(Tick())

    @precondition(lambda self: self.given)
    @rule(data=st.data())
    def again(self, data):
        entry, result = data.draw(st.sampled_from(self.given))
        before = self.book.pack()
        assert self.book.apply(self.at, entry) == result and self.book.pack() == before

    @rule()
    def put_back(self):
        self.other = Book(CONFIG)
        self.other.restore(self.book.pack())

    @invariant()
    def all_is_kept(self):
        kept = {
            number: (one.tenant, dict(zip(one.windows, one.placements, strict=True)))
            for number, one in self.book.open_bookings.items()
            if not one.held_until
        }
        open_ = {
            number: (tenant, {one: at for one, at in windows.items() if one.end > self.at})
            for number, (tenant, windows) in self.booked.items()
        }
        assert kept == {number: one for number, one in open_.items() if one[1]}
        for (zone, _), line in self.book.timelines.items():
            assert max(line.steps.values(), default=0) <= {"a": 7, "b": 6, "c": 3}[zone]
        assert self.book.pack() == self.other.pack()
        assert {key: one.steps for key, one in self.book.timelines.items()} == {
            key: one.steps for key, one in self.other.timelines.items()
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
