"""The command line's error for a missing module names the extra that installs it, if there is one.

An error without the extra, or with a wrong one, sends the operator to install the wrong package.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from yewrill.extras import EXTRA_BY_MODULE

PROJECT = Path(__file__).parent.parent / "pyproject.toml"


PROGRAM = """
import sys
sys.modules[sys.argv[1]] = None
from yewrill.cli import main
main([sys.argv[2], "--help"])
"""


def stderr_without(module, command):
    """Runs a command in a process where `module` can't be imported. Returns its standard error."""
    arguments = [sys.executable, "-c", PROGRAM, module, command]
    completed = subprocess.run(arguments, cwd=PROJECT.parent, capture_output=True, text=True)
    assert completed.returncode == 2
    return completed.stderr


@pytest.mark.parametrize(
    "module, command, extra",
    [
        ("google_crc32c", "store", "store"),
        ("google_crc32c", "owners", "store"),
        ("msgpack", "owners", "members"),
        ("msgpack", "zones", "members"),
    ],
)
def test_missing_module_of_an_extra_error_names_the_extra(module, command, extra):
    expected = f"yewrill: {module} is not installed: pip install 'yewrill[{extra}]'\n"
    assert stderr_without(module, command) == expected


@pytest.mark.parametrize(
    "module, command",
    [
        ("yewrill.lab.soak", "lab"),
        ("yewrill.lab.cluster.rig", "lab"),
        ("yewrill.leases.disk", "owners"),
        ("h11", "lab"),
    ],
)
def test_missing_module_of_no_extra_error_names_no_extra(module, command):
    stderr = stderr_without(module, command)
    assert stderr.startswith(f"yewrill: {module}") and "not part of any extra" in stderr
    assert "pip install 'yewrill[" not in stderr


def test_each_extra_installs_the_module_that_its_error_is_about():
    extras = tomllib.loads(PROJECT.read_text())["project"]["optional-dependencies"]
    distributions = {"google": "protobuf", "opentelemetry": "opentelemetry-proto"}
    distributions |= {"google_crc32c": "google-crc32c", "dateutil": "python-dateutil"}
    for module, extra in EXTRA_BY_MODULE.items():
        pins = [pin.partition("==")[0] for pin in extras[extra]]
        assert distributions.get(module, module) in pins
