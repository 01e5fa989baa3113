"""The list of known failing tests: format, limit, kinds of entries, and that listed tests must exist."""

import pytest
from known_red import KNOWN_RED_FILE, Kind, KnownRed, read_known_red

pytest_plugins = ["pytester"]

CONFTEST = """
import sys
sys.path.insert(0, {tests!r})
import known_red
import pytest

ENTRIES = known_red.read_known_red({listed!r})

def pytest_collection_modifyitems(config, items):
    known_red.mark(config, items, ENTRIES)

@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item):
    report = yield
    known_red.count_broken_setup(item, report)
    return report

def pytest_terminal_summary(terminalreporter):
    for line in known_red.summary(ENTRIES, terminalreporter.stats):
        terminalreporter.write_line(line)
"""
FIELDS = " | a command, seed 7 | what was seen | 44"
OK, NOT_ALL_PASSED, USAGE_ERROR = 0, 1, 4


@pytest.fixture
def run(pytester, monkeypatch):
    """Returns a function that runs pytest on one test file with a given list of known failures."""
    # Loading plugins takes most of the time of such a run.
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")

    def run_listed(listed, body="pass", *arguments):
        pytester.makeconftest(
            CONFTEST.format(tests=str(KNOWN_RED_FILE.parent / "tests"), listed=listed)
        )
        pytester.makepyfile(test_it=f"def test_x():\n    {body}\n\ndef test_y():\n    pass\n")
        return pytester.runpytest_inprocess("-p", "no:cacheprovider", *arguments)

    return run_listed


def test_the_committed_list_is_valid():
    assert len(read_known_red(KNOWN_RED_FILE.read_text())) <= 3


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::b",
        "tests/a.py::b | command",
        "tests/a.py::b | command | seen",
        "tests/a.py::b | command | seen | 44 | more",
        "tests/a.py::b | command |  | 44",
        " | command | seen | 44",
        "intermittent | command | seen | 44 | more",
        "intermittent  | command | seen",
        "sometimes tests/a.py::b | command | seen | 44",
        "intermittent sometimes tests/a.py::b | command | seen | 44",
        "a | b | c | d\n" * 4,
        "intermittent a | b | c | d\n" * 4,
    ],
)
def test_a_malformed_or_too_long_list_is_rejected(text):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        read_known_red(text)


def test_three_entries_are_allowed():
    assert len(read_known_red("a | b | c | d\n" * 3)) == 3


def test_comments_are_skipped_and_parameters_may_be_left_out():
    (entry,) = read_known_red("# a comment\n\ntests/a.py::b | command, seed 7 | seen | 44\n")
    assert entry == KnownRed("tests/a.py::b", "command, seed 7", "seen", "44", Kind.STEADY)
    assert entry.names("tests/a.py::b[1]")
    assert not entry.names("tests/a.py::bc")


def test_the_word_intermittent_before_a_test_makes_the_entry_intermittent():
    (entry,) = read_known_red("intermittent tests/a.py::b[c d] | command | seen | 44\n")
    assert entry == KnownRed("tests/a.py::b[c d]", "command", "seen", "44", Kind.INTERMITTENT)
    assert entry.names("tests/a.py::b[c d]")


@pytest.mark.parametrize(
    "body, outcome, status",
    [
        ("assert False", {"xfailed": 1, "passed": 1}, OK),
        ("pass", {"failed": 1, "passed": 1}, NOT_ALL_PASSED),
    ],
)
def test_a_listed_test_that_passes_is_a_failure(run, body, outcome, status):
    result = run("test_it.py::test_x" + FIELDS, body)
    result.assert_outcomes(**outcome)
    assert result.ret == status
    result.stdout.fnmatch_lines(
        ["KNOWN-RED test_it.py::test_x: what was seen (a command, seed 7; 44)"]
    )


@pytest.mark.parametrize(
    "body, outcome, summary_line",
    [
        (
            "raise ValueError('of a known fault')",
            {"xfailed": 1, "passed": 1},
            "failed this time: ValueError: of a known fault",
        ),
        ("pass", {"xpassed": 1, "passed": 1}, "passed this time"),
        ("__import__('pytest').skip()", {"skipped": 1, "passed": 1}, "not run this time"),
    ],
)
def test_an_intermittent_test_may_fail_or_pass_and_the_summary_prints_which(
    run, body, outcome, summary_line
):
    result = run("intermittent test_it.py::test_x" + FIELDS, body)
    result.assert_outcomes(**outcome)
    assert result.ret == OK
    result.stdout.fnmatch_lines(
        [
            "KNOWN-RED intermittent test_it.py::test_x: what was seen (a command, seed 7; 44)",
            f"  *{summary_line}",
        ]
    )


@pytest.mark.parametrize(
    "fixture, outcome",
    [("assert False", {"errors": 1}), ("yield; assert False", {"errors": 1, "xpassed": 1})],
)
def test_an_intermittent_test_whose_fixture_fails_is_an_error(
    run, pytester, monkeypatch, fixture, outcome
):
    pytester.makepyfile(
        broken=f"import pytest\n\n@pytest.fixture(autouse=True)\ndef broken():\n    {fixture}\n"
    )
    monkeypatch.syspath_prepend(pytester.path)
    result = run("intermittent test_it.py::test_x" + FIELDS, "pass", "-p", "broken", "-k", "test_x")
    result.assert_outcomes(**outcome, deselected=1)
    assert result.ret == NOT_ALL_PASSED


@pytest.mark.parametrize(
    "listed, outcome",
    [
        ("test_it.py::test_y", {"failed": 2}),
        ("intermittent test_it.py::test_y", {"failed": 1, "xpassed": 1}),
    ],
)
def test_a_failing_test_that_is_not_listed_fails_the_run(run, listed, outcome):
    result = run(listed + FIELDS, "assert False")
    result.assert_outcomes(**outcome)
    assert result.ret == NOT_ALL_PASSED


@pytest.mark.parametrize("kind", ["", "intermittent "])
@pytest.mark.parametrize("test", ["test_it.py::gone", "gone.py::test_x"])
def test_a_listed_test_must_exist_if_the_whole_suite_is_run(run, kind, test):
    assert run(f"{kind}{test}" + FIELDS).ret == USAGE_ERROR


@pytest.mark.parametrize("kind", ["", "intermittent "])
def test_a_listed_test_must_exist_if_only_its_file_is_run(run, kind):
    assert run(f"{kind}test_it.py::gone" + FIELDS, "pass", "test_it.py").ret == USAGE_ERROR


@pytest.mark.parametrize(
    "arguments",
    [
        ("--ignore", "test_other.py"),
        ("test_it.py",),
        ("-k", "test_x"),
        ("--deselect", "test_other.py::gone"),
    ],
)
def test_a_listed_test_may_be_missing_if_its_file_is_not_run(run, arguments):
    assert run("test_other.py::gone" + FIELDS, "pass", *arguments).ret == OK
