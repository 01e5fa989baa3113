"""`yewrill owners ...`: shows and moves the leases on the fleet's roles ("duties" in the output), through the
management listeners of dispatchers. Exit status: 0 if all of them answered with success, else 1."""

from __future__ import annotations

import sys
from urllib.parse import quote

import click
import ujson

from yewrill.net import management_client as at


@click.group()
def owners() -> None:
    """Show which dispatcher owns each of the fleet's duties; move a duty to another one."""


def _fetch_status(addresses: tuple[str, ...]) -> tuple[dict[str, dict], bool]:
    """Returns the status of each dispatcher by address, and whether all have answered."""
    replies, complete = {}, True
    for address, status, body in at.call_all(addresses, "GET", "/_ownership"):
        if status == 200:
            replies[address] = ujson.loads(body)
        else:
            complete = False
            click.echo(at.describe_failure(address, status, body), err=True)
    return replies, complete


@owners.command(name="list")
@at.addresses_option
def list_roles(addresses: tuple[str, ...]) -> None:
    """List each duty with its owner. The number is the highest that any dispatcher reports."""
    replies, complete = _fetch_status(addresses)
    latest: dict[str, dict] = {}
    for reply in replies.values():
        for role in reply["duties"]:
            if role["number"] >= latest.get(role["duty"], {"number": -1})["number"] and (
                role["owner"] or role["duty"] not in latest
            ):
                latest[role["duty"]] = role
    for name, role in sorted(latest.items()):
        click.echo(f"{name:<16} {role['owner'] or 'nobody':<24} number {role['number']}")
    sys.exit(not complete)


@owners.command()
@at.addresses_option
def show(addresses: tuple[str, ...]) -> None:
    """Show what each dispatcher knows of owners and voters."""
    replies, complete = _fetch_status(addresses)
    for address, reply in replies.items():
        voter = reply.get("voter")
        state = (
            "not a voter"
            if voter is None
            else (
                f"{voter['role']} of {voter['leader'] or 'nobody'}, term {voter['term']}, "
                f"{voter['commit']} of {voter['entries']} entries"
                + (
                    ""
                    if voter["counts"]
                    else f", not voting yet: {', '.join(voter['unanswered']) or 'behind'}"
                )
                + (f", disabled: {voter['failed']}" if voter["failed"] else "")
            )
        )
        click.echo(f"{address}  {state}")
        for role in reply["duties"]:
            ours = " (ours)" if role["ours"] else ""
            click.echo(
                f"  {role['duty']:<14} {role['owner'] or 'nobody'}{ours}  number {role['number']}  "
                f"fence {role['fence']}"
            )
    sys.exit(not complete)


@owners.command()
@click.argument("role", metavar="DUTY")
@at.addresses_option
def move(role: str, addresses: tuple[str, ...]) -> None:
    """Move a duty to another dispatcher. Its owner has to be one of the addressed dispatchers."""
    failed = False
    for address, status, body in at.call_all(
        addresses, "PUT", f"/_ownership/release?name={quote(role, safe='')}"
    ):
        if status != 200:
            failed = True
            click.echo(at.describe_failure(address, status, body), err=True)
    sys.exit(failed)
