"""Views in the operators' file, and what the rig's auditor says of them."""

import pytest
from helper import SETTINGS, story, timed_story

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.lab.cluster.audit import Terms, audit
from yewrill.store import StoreError, StorePoisoned
from yewrill.views import facade
from yewrill.views.config import ViewsConfig
from yewrill.views.facade import Views
from yewrill.views.format import PageRequest
from yewrill.views.machine import Step
from yewrill.views.view import PersistedView

BASE = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": SETTINGS,
    "members": {"listen": "127.0.0.1:0", "peers": ["127.0.0.1:7401"], "keys": ["ab" * 16]},
}
SOUND = {"founders": ["a", "b", "c"], "dir": "views"}


def test_the_section_is_read_and_absent_without_its_key():
    assert read_config(BASE).views is None
    views = read_config({**BASE, "views": {**SOUND, "can": ["voter"]}}).views
    assert (views.founders, views.dir, views.can) == (("a", "b", "c"), "views", ("voter",))


@pytest.mark.parametrize(
    ("section", "key"),
    [
        ({"dir": "x"}, "views.founders: missing"),
        ({**SOUND, "founders": []}, "views.founders: "),
        ({**SOUND, "founders": ["a", "a"]}, "views.founders: the same name"),
        ({**SOUND, "founders": ["a", 1]}, "views.founders[1]: "),
        ({**SOUND, "dir": ""}, "views.dir: "),
        ({**SOUND, "founder": "a"}, "views.founder: no such key"),
        ([], "views: "),
        ({**SOUND, "can": ["x" * 17]}, "views.can[0]: "),
    ],
)
def test_a_faulty_section_is_refused_and_the_key_named(section, key):
    with pytest.raises(ConfigError) as error:
        read_config({**BASE, "views": section})
    assert str(error.value).startswith(key)


def test_views_need_members():
    with pytest.raises(ConfigError, match="^views: needs members"):
        read_config(
            {**{key: value for key, value in BASE.items() if key != "members"}, "views": SOUND}
        )


def line(at, by, what, **more):
    return {"at": at, "by": by, "what": what, **more}


def view(at, by, number, names, digest="x"):
    return line(at, by, "view", number=number, names=list(names), digest=digest)


LOST = [
    view(0, "a", 1, "abc"),
    view(0, "c", 1, "abc"),
    line(1, "c", "pause"),
    view(4, "a", 2, "ab"),
]


@pytest.mark.parametrize(
    ("history", "kinds"),
    [
        ([view(0, "a", 1, "ab"), view(0, "b", 1, "ab"), view(1, "a", 2, "abc")], []),
        ([view(0, "a", 1, "ab"), view(0, "b", 1, "ab", "y")], ["views-differ"]),
        (
            [
                view(0, "a", 2, "ab"),
                line(1, "a", "kill"),
                line(2, "a", "start"),
                view(3, "a", 1, "ab"),
            ],
            ["old-view"],
        ),
        ([*LOST, line(5, "c", "resume"), line(5.1, "c", "no-view"), line(20, "x", "tick")], []),
        (
            [
                view(0, "a", 1, "abc"),
                view(0, "c", 1, "abc"),
                line(1, "c", "kill"),
                view(4, "a", 2, "ab"),
                line(20, "x", "tick"),
            ],
            [],
        ),
        (
            [
                view(0, "a", 1, "abc"),
                view(0, "c", 1, "abc"),
                line(1, "rig", "unwell", names=["c"]),
                view(4, "a", 2, "ab"),
                line(20, "x", "tick"),
                line(21, "x", "tick"),
            ],
            ["both-sides"],
        ),
        (
            [
                view(0, "a", 1, "abc"),
                view(0, "c", 1, "abc"),
                view(4, "a", 2, "abcd"),
                view(5, "a", 3, "abcde"),
                line(9, "x", "tick"),
            ],
            ["both-sides"],
        ),
        ([view(0, "a", 1, "abc"), view(1, "a", 2, "ab")], ["false-out"]),
        (
            [
                view(0, "a", 1, "abc"),
                line(0.5, "rig", "unwell", names=["c"]),
                line(1, "rig", "healed"),
                view(9, "a", 2, "ab"),
            ],
            [],
        ),
        ([view(0, "a", 1, "abc"), line(0.5, "c", "kill"), view(90, "a", 2, "ab")], ["false-out"]),
    ],
)
def test_the_auditor_finds_each_breach_of_views(history, kinds):
    assert [breach.kind for breach in audit(history, Terms())] == kinds


# -- a disk that errs


class Disk:
    """A store that fails for as long as an error is set, and what was written to it."""

    def __init__(self, error: Exception | None = None):
        self.error, self.written, self.closed = error, [], False

    async def awrite(self, batch):
        if self.error is not None:
            raise self.error
        self.written.append(batch)

    def close(self):
        self.closed = True


class Sent:
    """A link that notes what is sent."""

    def __init__(self):
        self.datagrams = []

    async def send_payloads(self, subsystem, parts, priority):
        self.datagrams.append(parts)


def hook_on(disk) -> Views:
    views = Views(ViewsConfig(founders=("a",), dir="unused"))
    views._store = disk
    return views


def a_step(persist: bool) -> Step:
    message = PageRequest(1, 0)
    return Step(PersistedView(1, ("a",)) if persist else None, [(("127.0.0.1", 1), message)])


@timed_story
async def test_nothing_is_sent_while_what_it_rests_on_is_not_kept():
    disk, link = Disk(StoreError("not written")), Sent()
    views = hook_on(disk)
    await views._carry_out(link, a_step(persist=True))
    await views._carry_out(link, a_step(persist=False))  # the machine takes it for kept by now
    assert link.datagrams == []
    disk.error = None
    await views._carry_out(link, a_step(persist=False))
    assert len(disk.written) == 1 and len(link.datagrams) == 1


@story
async def test_a_store_whose_sync_failed_is_opened_anew_before_the_next_vote(monkeypatch):
    ailing, well, link = Disk(StorePoisoned("writing ended")), Disk(), Sent()
    views = hook_on(ailing)
    monkeypatch.setattr(facade, "Store", lambda directory: well)
    await views._carry_out(link, a_step(persist=True))
    assert ailing.closed and link.datagrams == []
    await views._carry_out(link, a_step(persist=False))
    assert len(well.written) == 1 and len(link.datagrams) == 1
