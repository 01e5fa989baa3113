"""Reads configuration sections whose schema is a msgspec struct of the subsystem's own package.

Imported only if such a section is present, since msgspec is an optional dependency.
"""

from __future__ import annotations

import importlib
import re
from collections.abc import Mapping
from typing import Any

import msgspec

_UNKNOWN = re.compile(r"unknown field `([^`]*)`")
_MISSING = re.compile(r"missing required field `([^`]*)`")


class SectionError(Exception):
    """An invalid section. The message begins with the faulty key."""


def read_section(
    raw: Mapping[str, Any], key: str, struct_path: str, required_sections: tuple[str, ...] = ()
) -> Any:
    """Converts a section to the struct at `struct_path`, written as `module:Struct`. Raises SectionError.

    A struct that validates itself in `__post_init__` raises ValueError with a message that begins with the
    key inside the section.
    """
    for other in required_sections:
        if raw.get(other) is None:
            raise SectionError(f"{key}: needs {other}")
    module, _, name = struct_path.partition(":")
    try:
        return msgspec.convert(raw[key], getattr(importlib.import_module(module), name))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        faulty_key = key + path.rstrip("`")
        if (match := _UNKNOWN.search(message)) is not None:
            raise SectionError(f"{faulty_key}.{match[1]}: no such key") from None
        if (match := _MISSING.search(message)) is not None:
            raise SectionError(f"{faulty_key}.{match[1]}: missing") from None
        if path:
            raise SectionError(
                f"{faulty_key}: {message[0].lower()}{message[1:].replace('`', '')}"
            ) from None
        raise SectionError(f"{key}.{message}" if ":" in message else f"{key}: {message}") from None
