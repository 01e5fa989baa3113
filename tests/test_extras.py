"""What the command line says of a module that is not installed: the extra that brings it, if one does."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from yewrill.extras import EXTRA_OF

PROJECT = Path(__file__).parent.parent / "pyproject.toml"


PROGRAM = """
import sys
sys.modules[sys.argv[1]] = None
from yewrill.cli import main
main([sys.argv[2], "--help"])
"""


def told_without(module, command):
    """What a command says where a module is not installed."""
    arguments = [sys.executable, "-c", PROGRAM, module, command]
    ended = subprocess.run(arguments, cwd=PROJECT.parent, capture_output=True, text=True)
    assert ended.returncode == 2
    return ended.stderr


@pytest.mark.parametrize(
    "module, command, extra",
    [
        ("google_crc32c", "store", "store"),
        ("google_crc32c", "owners", "store"),
        ("msgpack", "owners", "members"),
        ("msgpack", "zones", "members"),
    ],
)
def test_the_extra_that_brings_a_missing_module_is_named(module, command, extra):
    expected = f"yewrill: {module} is not installed: pip install 'yewrill[{extra}]'\n"
    assert told_without(module, command) == expected


@pytest.mark.parametrize(
    "module, command",
    [
        ("yewrill.lab.soak", "lab"),
        ("yewrill.lab.cluster.rig", "lab"),
        ("yewrill.leases.disk", "owners"),
        ("h11", "lab"),
    ],
)
def test_no_extra_is_blamed_for_a_module_that_none_brings(module, command):
    told = told_without(module, command)
    assert told.startswith(f"yewrill: {module}") and "not part of any extra" in told
    assert "pip install 'yewrill[" not in told


def test_every_named_extra_brings_its_module():
    extras = tomllib.loads(PROJECT.read_text())["project"]["optional-dependencies"]
    distributions = {"google": "protobuf", "opentelemetry": "opentelemetry-proto"}
    distributions |= {"google_crc32c": "google-crc32c", "dateutil": "python-dateutil"}
    for module, extra in EXTRA_OF.items():
        pins = [pin.partition("==")[0] for pin in extras[extra]]
        assert distributions.get(module, module) in pins
