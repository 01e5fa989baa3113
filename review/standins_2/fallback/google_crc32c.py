"""The two functions of google-crc32c that the store uses, in plain Python.

For machines on which the deploy file's build has not installed the library. CRC-32C (Castagnoli), reflected.
"""

from __future__ import annotations


def _table() -> tuple[int, ...]:
    rows = []
    for byte in range(256):
        row = byte
        for _ in range(8):
            row = row >> 1 ^ (0x82F63B78 if row & 1 else 0)
        rows.append(row)
    return tuple(rows)


_ROWS = _table()


def extend(crc: int, data: bytes) -> int:
    """Returns the checksum of what `crc` is the checksum of, followed by `data`."""
    crc ^= 0xFFFFFFFF
    for byte in bytes(data):
        crc = crc >> 8 ^ _ROWS[(crc ^ byte) & 0xFF]
    return crc ^ 0xFFFFFFFF


def value(data: bytes) -> int:
    """Returns the checksum of `data`."""
    return extend(0, data)
