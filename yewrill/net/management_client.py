"""Calls at management listeners, for the command line. Blocking; no call takes longer than its patience."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import click

PATIENCE = 3.0  # seconds for a management listener to answer
AT_ONCE = 32

addresses_option = click.option(
    "--management",
    "--door",  # its former name
    "addresses",
    multiple=True,
    required=True,
    metavar="ADDRESS:PORT",
    help="A dispatcher's management listener; give one for each.",
)


def call(address: str, method: str, target: str) -> tuple[int, bytes]:
    """The status and the body; 0 and the reason where nobody answers."""
    connection = http.client.HTTPConnection(address, timeout=PATIENCE)
    try:
        connection.request(method, target)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()
    finally:
        connection.close()


def call_all(addresses: Sequence[str], method: str, target: str) -> list[tuple[str, int, bytes]]:
    """The same call at all of them: address, status, body."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        answers = pool.map(lambda address: call(address, method, target), addresses)
        return [(address, *answer) for address, answer in zip(addresses, answers, strict=True)]


def describe_failure(address: str, status: int, body: bytes) -> str:
    """A line for a management listener that did not do what was asked."""
    return f"{address}: {status or 'no answer'}: {body.decode(errors='replace').strip()}"
