"""The error that all readers of the configuration raise."""

from __future__ import annotations


class ConfigError(Exception):
    """Configuration or a list that can't be used; the text begins with the faulty key."""
