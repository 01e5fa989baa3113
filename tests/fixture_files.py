"""Reads and writes the fixture files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import ujson

VERSION = "f4043a5"  # The fixtures were written by this version.
DIRECTORY = Path(__file__).parent / "fixtures" / VERSION

Encoded = dict[str, list[bytes]]  # encoded values by label, each in one or several parts


def read_json(name: str) -> Any:
    return ujson.loads((DIRECTORY / f"{name}.json").read_text())


def write_json(name: str, content: Any) -> None:
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    text = ujson.dumps(content, indent=1, escape_forward_slashes=False, ensure_ascii=True)
    (DIRECTORY / f"{name}.json").write_text(text + "\n")


def read_encoded(name: str) -> Encoded:
    found = read_json(name)
    return {label: [bytes.fromhex(part) for part in parts] for label, parts in found.items()}


def write_encoded(name: str, encoded: Encoded) -> None:
    write_json(name, {label: [part.hex() for part in parts] for label, parts in encoded.items()})


def read_file(name: str) -> bytes:
    return (DIRECTORY / name).read_bytes()


def write_file(name: str, content: bytes) -> None:
    path = DIRECTORY / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(content)
