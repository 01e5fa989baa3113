"""A blocking client of management listeners for the command line; each call has a time limit."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import click

TIMEOUT_SECONDS = 3.0  # time limit for connecting and for each read
MAX_CONCURRENT_CALLS = 32

addresses_option = click.option(
    "--management",
    "--door",  # former name of the option
    "addresses",
    multiple=True,
    required=True,
    metavar="ADDRESS:PORT",
    help="A dispatcher's management listener; give one for each.",
)


def call(address: str, method: str, target: str) -> tuple[int, bytes]:
    """Returns the status and the body, or 0 and the reason if there is no answer."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    try:
        connection.request(method, target)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()
    finally:
        connection.close()


def call_all(addresses: Sequence[str], method: str, target: str) -> list[tuple[str, int, bytes]]:
    """Makes the same call at all addresses at once; returns address, status and body for each."""
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        answers = pool.map(lambda address: call(address, method, target), addresses)
        return [(address, *answer) for address, answer in zip(addresses, answers, strict=True)]


def describe_failure(address: str, status: int, body: bytes) -> str:
    """Returns an error line for a management listener that did not carry out a call."""
    return f"{address}: {status or 'no answer'}: {body.decode(errors='replace').strip()}"
