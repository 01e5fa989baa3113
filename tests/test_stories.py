"""The steps of the scenarios in `stories/`, run on simulated fleets in virtual time.

They guard against views that differ between members, and against the removal of healthy dispatchers.
"""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.viewnet import ViewNet

scenarios("stories")

WHO = r"dispatchers? (?P<who>[\d a-z]+?)"


def member_names(ranges):
    """The members' names for numbers such as `3`, `1 to 4`, `0 and 2 to 4`."""
    numbers = []
    for part in ranges.split(" and "):
        first, _, last = part.partition(" to ")
        numbers += range(int(first), int(last or first) + 1)
    return [f"m{i:04d}" for i in numbers]


class Fleet:
    """A simulated fleet, and what the scenario has recorded of it."""

    def __init__(self, members, **more):
        self.net = ViewNet(7, members, **more)
        self.first_number = 1
        self.entries = {}
        self.second_process = None
        self.rejoin_seconds = []

    def form_view(self):
        self.net.run(8.0)
        assert self.net.agreed()
        self.first_number = max(self.net.digests)
        self.entries = {name: node.machine.me for name, node in self.net.nodes.items()}

    def view(self, name):
        return self.net.leased_view(name)


@pytest.fixture
def fleet():
    simulated_fleets = []
    yield simulated_fleets
    assert simulated_fleets[0].net.violations == []  # two sides of a partition never both continued


def step_text(pattern):
    return parsers.re(pattern + "$")


# ------------------------------------------------------------------------------------------------------ given


@given(step_text(r"a fleet of (?P<count>\d+) dispatchers in one view"))
def a_fleet(fleet, count):
    fleet.append(Fleet(int(count)))
    fleet[0].form_view()


@given(step_text(r"(?P<count>\d+) dispatchers that start without " + WHO + r", (a|no) founder"))
def starting_dispatchers(fleet, count, who):
    simulated_fleet = Fleet(int(count), formed=False)
    assert set(member_names(who)) & set(simulated_fleet.net.founders) == (
        set(member_names(who)) if member_names(who)[0] < "m0003" else set()
    )
    simulated_fleet.net.kill(*member_names(who))
    fleet.append(simulated_fleet)


@given(step_text(r"(?P<part>\d+)% of all datagrams are lost"))
def lose_datagrams(fleet, part):
    fleet[0].net.default_path = NetworkPath(loss=int(part) / 100)


# ------------------------------------------------------------------------------------------------------- when


@when(step_text(r"(?P<span>[\d.]+) seconds pass"))
def pass_time(fleet, span):
    fleet[0].net.run(float(span))


@when(step_text(WHO + r" (is|are) killed"))
def kill(fleet, who):
    fleet[0].net.kill(*member_names(who))


@when(step_text(WHO + r" starts"))
@when(step_text(WHO + r" (is|are) killed and restarts? at once"))
@when(step_text(WHO + r" start again with their stored state"))
def restart(fleet, who):
    for name in member_names(who):
        fleet[0].net.restart(name)


@when(step_text(WHO + r" (is|are) stopped for (?P<span>\d+) seconds"))
def pause(fleet, who, span):
    for name in member_names(who):
        fleet[0].net.pause(name, float(span))


@when(
    step_text(
        WHO
        + r" stop for (?P<stop>[\d.]+) seconds in every (?P<every>\d+) for (?P<span>\d+) seconds"
    )
)
def pause_repeatedly(fleet, who, stop, every, span):
    net = fleet[0].net
    net.pause_repeatedly(
        member_names(who), float(every) - float(stop), float(stop), net.now + float(span)
    )


@when(step_text(WHO + r" leaves"))
def leaves(fleet, who):
    for name in member_names(who):
        fleet[0].net.leave(name)


@when(step_text(WHO + r" receives nothing any more"))
def cut_receiving(fleet, who):
    net = fleet[0].net
    net.exempt |= set(member_names(who))
    net.cut(set(net.nodes) - set(member_names(who)), member_names(who), both=False)


@when(step_text(r"nothing that " + WHO + r" sends arrives any more"))
def cut_sending(fleet, who):
    net = fleet[0].net
    net.exempt |= set(member_names(who))
    net.cut(member_names(who), set(net.nodes) - set(member_names(who)), both=False)


@when(step_text(WHO + r" cannot reach dispatchers (?P<others>[\d a-z]+)"))
def cut_between(fleet, who, others):
    fleet[0].net.exempt |= {*member_names(who), *member_names(others)}
    fleet[0].net.cut(member_names(who), member_names(others))


@when(step_text(WHO + r" cannot reach each other"))
def cut_from_each_other(fleet, who):
    fleet[0].net.cut(member_names(who), member_names(who))


@when(step_text(WHO + r" receive nothing from dispatchers (?P<others>[\d a-z]+)"))
def cut_one_direction(fleet, who, others):
    fleet[0].net.exempt |= {*member_names(who), *member_names(others)}
    fleet[0].net.cut(member_names(others), member_names(who), both=False)


@when("all links work again")
def heal_links(fleet):
    fleet[0].net.paths.clear()


@when(step_text(r"another process starts with the name of " + WHO))
def second_process(fleet, who):
    fleet[0].second_process = fleet[0].net.start_duplicate(member_names(who)[0], ("10.9.9.9", 7000))


@when(step_text(WHO + r" is removed and joins again (?P<times>\d+) times"))
def remove_and_rejoin(fleet, who, times):
    net, (name,) = fleet[0].net, member_names(who)
    net.exempt.add(name)
    for _ in range(int(times)):
        net.cut([name], set(net.nodes) - {name})
        assert net.until(lambda: net.agreed(set(net.nodes) - {name}), 20.0) is not None
        net.paths.clear()
        fleet[0].rejoin_seconds.append(net.until(net.agreed, 60.0, 0.05))


# ------------------------------------------------------------------------------------------------------- then


@then(step_text(r"within (?P<max_seconds>\d+) seconds all running dispatchers are in one view"))
def all_are_in_one_view(fleet, max_seconds):
    net = fleet[0].net
    assert net.until(net.agreed, float(max_seconds), 0.1) is not None


@then(
    step_text(
        r"(within (?P<max_seconds>\d+) seconds )?" + WHO + r" are in one view without the others"
    )
)
def are_in_one_view_alone(fleet, max_seconds, who):
    net = fleet[0].net
    assert (
        net.until(lambda: net.agreed(member_names(who)), float(max_seconds or 0), 0.1) is not None
    )


@then(step_text(r"(within (?P<max_seconds>\d+) seconds )?" + WHO + r" (is|are) in no view"))
def are_in_no_view(fleet, max_seconds, who):
    simulated_fleet = fleet[0]
    assert (
        simulated_fleet.net.until(
            lambda: not any(map(simulated_fleet.view, member_names(who))),
            float(max_seconds or 0),
            0.1,
        )
        is not None
    )


@then(step_text(WHO + r" (is|are) in a view"))
def are_in_a_view(fleet, who):
    assert all(map(fleet[0].view, member_names(who)))


@then(step_text(r"the view's number is (?P<more>\d+) higher"))
def number_is_higher_by(fleet, more):
    assert max(fleet[0].net.digests) == fleet[0].first_number + int(more)


@then("the view's number is higher than all before")
def number_is_above_all_before(fleet):
    assert min(fleet[0].view(name).number for name in fleet[0].net.nodes) > fleet[0].first_number


@then("no healthy dispatcher was removed")
def no_healthy_one_was_removed(fleet):
    assert fleet[0].net.false_removals == []


@then(step_text(r"no other than " + WHO + r" was removed"))
def no_other_was_removed(fleet, who):
    net = fleet[0].net
    others = set(net.nodes) - set(member_names(who))
    assert net.false_removals == []
    assert all(others <= set(view.names) for view in net.views_by_number.values())


@then(step_text(WHO + r" has a new entry"))
def has_new_entry(fleet, who):
    for name in member_names(who):
        entry = fleet[0].view(name).entries[fleet[0].view(name).rank_of(name)]
        assert entry.incarnation != fleet[0].entries[name].incarnation


@then(step_text(WHO + r' says "(?P<text>.*)"'))
def says(fleet, who, text):
    for name in member_names(who):
        assert text in fleet[0].net.nodes[name].machine.describe(fleet[0].net.now)


@then(step_text(r'the other process says "(?P<text>.*)"'))
def second_process_says(fleet, text):
    assert text in fleet[0].second_process.machine.describe(fleet[0].net.now)


@then("each rejoin took longer than the one before")
def rejoins_take_longer(fleet):
    rejoin_seconds = fleet[0].rejoin_seconds
    assert None not in rejoin_seconds and all(
        b > a + 0.5 for a, b in zip(rejoin_seconds, rejoin_seconds[1:], strict=False)
    )
