"""Frontends: protocol codecs for clients and workers, with plain replies or with event streams."""
