"""A slow stand-in for google-crc32c, in plain Python, where the store's extra is not installed.

CRC-32C (Castagnoli), reflected, as in RFC 3720. Only the two functions that the store uses.
"""

_POLYNOMIAL = 0x82F63B78


def _entry(value: int) -> int:
    for _ in range(8):
        value = value >> 1 ^ (_POLYNOMIAL if value & 1 else 0)
    return value


_TABLE = [_entry(value) for value in range(256)]


def extend(crc: int, data: bytes) -> int:
    """Returns the checksum of what `crc` covers, followed by `data`."""
    crc ^= 0xFFFFFFFF
    for byte in bytes(data):
        crc = crc >> 8 ^ _TABLE[(crc ^ byte) & 0xFF]
    return crc ^ 0xFFFFFFFF


def value(data: bytes) -> int:
    """Returns the checksum of `data`."""
    return extend(0, data)
