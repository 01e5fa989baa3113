"""Sections of the operators' file that packages describe themselves, by msgspec; imported only if named."""

from __future__ import annotations

import importlib
import re
from collections.abc import Mapping
from typing import Any

import msgspec

_UNKNOWN = re.compile(r"unknown field `([^`]*)`")
_MISSING = re.compile(r"missing required field `([^`]*)`")


class SectionError(Exception):
    """A section that can't be used; the text begins with the faulty key."""


def read_section(raw: Mapping[str, Any], key: str, where: str, needs: tuple[str, ...] = ()) -> Any:
    """The section as its package's struct (`module:Struct`). The struct may check itself further in
    `__post_init__`, by a ValueError whose text begins with the key. Raises SectionError."""
    for other in needs:
        if raw.get(other) is None:
            raise SectionError(f"{key}: needs {other}")
    module, _, name = where.partition(":")
    try:
        return msgspec.convert(raw[key], getattr(importlib.import_module(module), name))
    except msgspec.ValidationError as error:
        told, _, path = str(error).partition(" - at `$")
        at = key + path.rstrip("`")
        if (found := _UNKNOWN.search(told)) is not None:
            raise SectionError(f"{at}.{found[1]}: no such key") from None
        if (found := _MISSING.search(told)) is not None:
            raise SectionError(f"{at}.{found[1]}: missing") from None
        if path:
            raise SectionError(f"{at}: {told[0].lower()}{told[1:].replace('`', '')}") from None
        raise SectionError(f"{key}.{told}" if ":" in told else f"{key}: {told}") from None
