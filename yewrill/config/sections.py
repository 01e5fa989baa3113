"""Reads sections whose schema is a msgspec struct of their package; imported only if one is present."""

from __future__ import annotations

import importlib
import re
from collections.abc import Mapping
from typing import Any

import msgspec

_UNKNOWN = re.compile(r"unknown field `([^`]*)`")
_MISSING = re.compile(r"missing required field `([^`]*)`")


class SectionError(Exception):
    """An invalid section; the text begins with the faulty key."""


def read_section(raw: Mapping[str, Any], key: str, where: str, needs: tuple[str, ...] = ()) -> Any:
    """Convert a section to its struct, `where` as `module:Struct`. Raises SectionError.

    The struct may check itself in `__post_init__` by a ValueError whose text begins with the key.
    """
    for other in needs:
        if raw.get(other) is None:
            raise SectionError(f"{key}: needs {other}")
    module, _, name = where.partition(":")
    try:
        return msgspec.convert(raw[key], getattr(importlib.import_module(module), name))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        at = key + path.rstrip("`")
        if (found := _UNKNOWN.search(message)) is not None:
            raise SectionError(f"{at}.{found[1]}: no such key") from None
        if (found := _MISSING.search(message)) is not None:
            raise SectionError(f"{at}.{found[1]}: missing") from None
        if path:
            raise SectionError(
                f"{at}: {message[0].lower()}{message[1:].replace('`', '')}"
            ) from None
        raise SectionError(f"{key}.{message}" if ":" in message else f"{key}: {message}") from None
