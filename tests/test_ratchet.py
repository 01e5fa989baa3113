"""The list of linter rules that older code still breaks only gets shorter."""

import subprocess
import sys
import tomllib
from pathlib import Path

import ujson

ROOT = Path(__file__).parent.parent
MAX_ENTRIES = 52  # pairs of file and rule; lower this limit with each entry that is removed


def test_all_linter_exceptions_are_needed_and_there_are_no_new_ones():
    listed = tomllib.loads((ROOT / "ruff-ratchet.toml").read_text())["lint"]["per-file-ignores"]
    exceptions = {(name, rule) for name, rules in listed.items() for rule in rules}
    assert len(exceptions) <= MAX_ENTRIES
    command = [sys.executable, "-m", "ruff", "check", ".", "--output-format", "json"]
    without_exceptions = ["--config", "lint.per-file-ignores={}"]
    result = subprocess.run(
        [*command, *without_exceptions], cwd=ROOT, capture_output=True, text=True
    )
    found = {
        (str(Path(row["filename"]).relative_to(ROOT)), row["code"])
        for row in ujson.loads(result.stdout)
    }
    assert found, result.stderr
    assert not exceptions - found, "not needed any more: remove them and lower MAX_ENTRIES"
