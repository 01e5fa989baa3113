"""The settings section `views`, the audit of a cluster run's views, and the subsystem with a failing store.

A member that sends before its accepted view is on disk could forget it in a restart and agree to another view
with the same number.
"""

import pytest
from helper import SETTINGS, mock_clock_test, trio_test

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

SETTINGS_WITH_MEMBERS = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": SETTINGS,
    "members": {"listen": "127.0.0.1:0", "peers": ["127.0.0.1:7401"], "keys": ["ab" * 16]},
}
VALID_SECTION = {"founders": ["a", "b", "c"], "dir": "views"}


def test_views_section_is_read_and_is_none_without_its_key():
    assert read_config(SETTINGS_WITH_MEMBERS).views is None
    views = read_config(
        {**SETTINGS_WITH_MEMBERS, "views": {**VALID_SECTION, "can": ["voter"]}}
    ).views
    assert (views.founders, views.dir, views.can) == (("a", "b", "c"), "views", ("voter",))


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ({"dir": "x"}, "views.founders: missing"),
        ({**VALID_SECTION, "founders": []}, "views.founders: "),
        ({**VALID_SECTION, "founders": ["a", "a"]}, "views.founders: the same name"),
        ({**VALID_SECTION, "founders": ["a", 1]}, "views.founders[1]: "),
        ({**VALID_SECTION, "dir": ""}, "views.dir: "),
        ({**VALID_SECTION, "founder": "a"}, "views.founder: no such key"),
        ([], "views: "),
        ({**VALID_SECTION, "can": ["x" * 17]}, "views.can[0]: "),
    ],
)
def test_invalid_views_section_is_rejected_and_its_key_named(section, message):
    with pytest.raises(ConfigError) as error:
        read_config({**SETTINGS_WITH_MEMBERS, "views": section})
    assert str(error.value).startswith(message)


def test_views_section_without_members_is_rejected():
    with pytest.raises(ConfigError, match="^views: needs members"):
        read_config(
            {
                **{key: value for key, value in SETTINGS_WITH_MEMBERS.items() if key != "members"},
                "views": VALID_SECTION,
            }
        )


def history_line(at, by, what, **more):
    return {"at": at, "by": by, "what": what, **more}


def view_line(at, by, number, names, digest="x"):
    return history_line(at, by, "view", number=number, names=list(names), digest=digest)


MEMBER_LOST = [
    view_line(0, "a", 1, "abc"),
    view_line(0, "c", 1, "abc"),
    history_line(1, "c", "pause"),
    view_line(4, "a", 2, "ab"),
]


@pytest.mark.parametrize(
    ("history", "expected_breaches"),
    [
        ([view_line(0, "a", 1, "ab"), view_line(0, "b", 1, "ab"), view_line(1, "a", 2, "abc")], []),
        ([view_line(0, "a", 1, "ab"), view_line(0, "b", 1, "ab", "y")], ["views-differ"]),
        (
            [
                view_line(0, "a", 2, "ab"),
                history_line(1, "a", "kill"),
                history_line(2, "a", "start"),
                view_line(3, "a", 1, "ab"),
            ],
            ["old-view"],
        ),
        (
            [
                *MEMBER_LOST,
                history_line(5, "c", "resume"),
                history_line(5.1, "c", "no-view"),
                history_line(20, "x", "tick"),
            ],
            [],
        ),
        (
            [
                view_line(0, "a", 1, "abc"),
                view_line(0, "c", 1, "abc"),
                history_line(1, "c", "kill"),
                view_line(4, "a", 2, "ab"),
                history_line(20, "x", "tick"),
            ],
            [],
        ),
        (
            [
                view_line(0, "a", 1, "abc"),
                view_line(0, "c", 1, "abc"),
                history_line(1, "rig", "unwell", names=["c"]),
                view_line(4, "a", 2, "ab"),
                history_line(20, "x", "tick"),
                history_line(21, "x", "tick"),
            ],
            ["both-sides"],
        ),
        (
            [
                view_line(0, "a", 1, "abc"),
                view_line(0, "c", 1, "abc"),
                view_line(4, "a", 2, "abcd"),
                view_line(5, "a", 3, "abcde"),
                history_line(9, "x", "tick"),
            ],
            ["both-sides"],
        ),
        ([view_line(0, "a", 1, "abc"), view_line(1, "a", 2, "ab")], ["false-out"]),
        (
            [
                view_line(0, "a", 1, "abc"),
                history_line(0.5, "rig", "unwell", names=["c"]),
                history_line(1, "rig", "healed"),
                view_line(9, "a", 2, "ab"),
            ],
            [],
        ),
        (
            [
                view_line(0, "a", 1, "abc"),
                history_line(0.5, "c", "kill"),
                view_line(90, "a", 2, "ab"),
            ],
            ["false-out"],
        ),
    ],
)
def test_audit_reports_each_breach_of_the_views(history, expected_breaches):
    assert [breach.kind for breach in audit(history, Terms())] == expected_breaches


# -- a store that fails


class FakeStore:
    """A store that fails while an error is set, and records what is written."""

    def __init__(self, error: Exception | None = None):
        self.error, self.written, self.closed = error, [], False

    async def awrite(self, batch):
        if self.error is not None:
            raise self.error
        self.written.append(batch)

    def close(self):
        self.closed = True


class FakeLink:
    """A link that records what is sent."""

    def __init__(self):
        self.datagrams = []

    async def send_payloads(self, subsystem, parts, priority):
        self.datagrams.append(parts)


def views_with_store(store) -> Views:
    views = Views(ViewsConfig(founders=("a",), dir="unused"))
    views._store = store
    return views


def step_with_message(persist: bool) -> Step:
    message = PageRequest(1, 0)
    return Step(PersistedView(1, ("a",)) if persist else None, [(("127.0.0.1", 1), message)])


@mock_clock_test
async def test_messages_are_not_sent_until_the_view_they_depend_on_is_persisted():
    store, link = FakeStore(StoreError("not written")), FakeLink()
    views = views_with_store(store)
    await views._carry_out(link, step_with_message(persist=True))
    # By now the machine assumes that the view is persisted.
    await views._carry_out(link, step_with_message(persist=False))
    assert link.datagrams == []
    store.error = None
    await views._carry_out(link, step_with_message(persist=False))
    assert len(store.written) == 1 and len(link.datagrams) == 1


@trio_test
async def test_poisoned_store_is_reopened_before_anything_is_sent(monkeypatch):
    poisoned, reopened, link = FakeStore(StorePoisoned("writing ended")), FakeStore(), FakeLink()
    views = views_with_store(poisoned)
    monkeypatch.setattr(facade, "Store", lambda directory: reopened)
    await views._carry_out(link, step_with_message(persist=True))
    assert poisoned.closed and link.datagrams == []
    await views._carry_out(link, step_with_message(persist=False))
    assert len(reopened.written) == 1 and len(link.datagrams) == 1
