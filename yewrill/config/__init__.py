"""Configuration: reading, checking, defaults, and the tool that writes it."""
