"""The stories of `stories/`, in operators' words, over fleets in virtual time."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from yewrill.lab.netsim import Path
from yewrill.lab.viewnet import ViewNet

scenarios("stories")

WHO = r"dispatchers? (?P<who>[\d a-z]+?)"


def names(text):
    """`3`, `1 to 4`, `0 and 2 to 4`."""
    found = []
    for part in text.split(" and "):
        first, _, last = part.partition(" to ")
        found += range(int(first), int(last or first) + 1)
    return [f"m{i:04d}" for i in found]


class Fleet:
    def __init__(self, members, **more):
        self.net = ViewNet(7, members, **more)
        self.began = 1
        self.entries = {}
        self.second = None
        self.returns = []

    def formed(self):
        self.net.run(8.0)
        assert self.net.agreed()
        self.began = max(self.net.digests)
        self.entries = {name: node.machine.me for name, node in self.net.nodes.items()}

    def view(self, name):
        return self.net.holds(name)


@pytest.fixture
def fleet():
    made = []
    yield made
    assert made[0].net.both_sides == []  # never did two sides go on


def matches(words):
    return parsers.re(words + "$")


# ------------------------------------------------------------------------------------------------------ given


@given(matches(r"a fleet of (?P<count>\d+) dispatchers in one view"))
def a_fleet(fleet, count):
    fleet.append(Fleet(int(count)))
    fleet[0].formed()


@given(matches(r"(?P<count>\d+) dispatchers that start without " + WHO + r", (a|no) founder"))
def a_start(fleet, count, who):
    one = Fleet(int(count), formed=False)
    assert set(names(who)) & set(one.net.founders) == (
        set(names(who)) if names(who)[0] < "m0003" else set()
    )
    one.net.kill(*names(who))
    fleet.append(one)


@given(matches(r"(?P<part>\d+)% of all datagrams are lost"))
def lossy(fleet, part):
    fleet[0].net.default = Path(loss=int(part) / 100)


# ------------------------------------------------------------------------------------------------------- when


@when(matches(r"(?P<span>[\d.]+) seconds pass"))
def pass_time(fleet, span):
    fleet[0].net.run(float(span))


@when(matches(WHO + r" (is|are) killed"))
def killed(fleet, who):
    fleet[0].net.kill(*names(who))


@when(matches(WHO + r" starts"))
@when(matches(WHO + r" (is|are) killed and starts? again at once"))
@when(matches(WHO + r" start again with what they kept"))
def started(fleet, who):
    for name in names(who):
        fleet[0].net.restart(name)


@when(matches(WHO + r" (is|are) stopped for (?P<span>\d+) seconds"))
def stopped(fleet, who, span):
    for name in names(who):
        fleet[0].net.pause(name, float(span))


@when(
    matches(
        WHO
        + r" stop for (?P<stop>[\d.]+) seconds in every (?P<every>\d+) for (?P<span>\d+) seconds"
    )
)
def cycle(fleet, who, stop, every, span):
    net = fleet[0].net
    net.cycle(names(who), float(every) - float(stop), float(stop), net.now + float(span))


@when(matches(WHO + r" leaves"))
def leaves(fleet, who):
    for name in names(who):
        fleet[0].net.leave(name)


@when(matches(WHO + r" hears nobody any more"))
def deaf(fleet, who):
    net = fleet[0].net
    net.spare |= set(names(who))
    net.cut(set(net.nodes) - set(names(who)), names(who), both=False)


@when(matches(r"nobody hears " + WHO + r" any more"))
def mute(fleet, who):
    net = fleet[0].net
    net.spare |= set(names(who))
    net.cut(names(who), set(net.nodes) - set(names(who)), both=False)


@when(matches(WHO + r" lose dispatchers (?P<others>[\d a-z]+)"))
def lose(fleet, who, others):
    fleet[0].net.spare |= {*names(who), *names(others)}
    fleet[0].net.cut(names(who), names(others))


@when(matches(WHO + r" lose each other"))
def lose_each_other(fleet, who):
    fleet[0].net.cut(names(who), names(who))


@when(matches(WHO + r" hear nothing of dispatchers (?P<others>[\d a-z]+)"))
def one_sided(fleet, who, others):
    fleet[0].net.spare |= {*names(who), *names(others)}
    fleet[0].net.cut(names(others), names(who), both=False)


@when("all links are well again")
def heal(fleet):
    fleet[0].net.paths.clear()


@when(matches(r"another process starts under the name of " + WHO))
def second(fleet, who):
    fleet[0].second = fleet[0].net.double(names(who)[0], ("10.9.9.9", 7000))


@when(matches(WHO + r" is taken out and comes back (?P<times>\d+) times"))
def flap(fleet, who, times):
    net, (name,) = fleet[0].net, names(who)
    net.spare.add(name)
    for _ in range(int(times)):
        net.cut([name], set(net.nodes) - {name})
        assert net.until(lambda: net.agreed(set(net.nodes) - {name}), 20.0) is not None
        net.paths.clear()
        fleet[0].returns.append(net.until(net.agreed, 60.0, 0.05))


# ------------------------------------------------------------------------------------------------------- then


@then(matches(r"within (?P<most>\d+) seconds all that live are in one view"))
def all_in_one(fleet, most):
    net = fleet[0].net
    assert net.until(net.agreed, float(most), 0.1) is not None


@then(matches(r"(within (?P<most>\d+) seconds )?" + WHO + r" are in one view of their own"))
def of_their_own(fleet, most, who):
    net = fleet[0].net
    assert net.until(lambda: net.agreed(names(who)), float(most or 0), 0.1) is not None


@then(matches(r"(within (?P<most>\d+) seconds )?" + WHO + r" (is|are) in no view"))
def in_none(fleet, most, who):
    one = fleet[0]
    assert (
        one.net.until(lambda: not any(map(one.view, names(who))), float(most or 0), 0.1) is not None
    )


@then(matches(WHO + r" (is|are) in a view"))
def in_a_view(fleet, who):
    assert all(map(fleet[0].view, names(who)))


@then(matches(r"the view's number is (?P<more>\d+) higher"))
def higher(fleet, more):
    assert max(fleet[0].net.digests) == fleet[0].began + int(more)


@then("the view's number is above all before")
def above(fleet):
    assert min(fleet[0].view(name).number for name in fleet[0].net.nodes) > fleet[0].began


@then("nobody who was well was left out")
def nobody_out(fleet):
    assert fleet[0].net.false_out == []


@then(matches(r"nobody but " + WHO + r" was left out"))
def nobody_but(fleet, who):
    net = fleet[0].net
    others = set(net.nodes) - set(names(who))
    assert net.false_out == []
    assert all(others <= set(view.names) for view in net.orders.values())


@then(matches(WHO + r" is another entry than before"))
def another_entry(fleet, who):
    for name in names(who):
        entry = fleet[0].view(name).entries[fleet[0].view(name).rank_of(name)]
        assert entry.incarnation != fleet[0].entries[name].incarnation


@then(matches(WHO + r' says "(?P<words>.*)"'))
def says(fleet, who, words):
    for name in names(who):
        assert words in fleet[0].net.nodes[name].machine.describe(fleet[0].net.now)


@then(matches(r'the other process says "(?P<words>.*)"'))
def other_says(fleet, words):
    assert words in fleet[0].second.machine.describe(fleet[0].net.now)


@then("each return took longer than the one before")
def longer(fleet):
    returns = fleet[0].returns
    assert None not in returns and all(
        b > a + 0.5 for a, b in zip(returns, returns[1:], strict=False)
    )
