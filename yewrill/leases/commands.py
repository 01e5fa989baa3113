"""`yewrill owners ...`: who owns the fleet's duties, at the management listeners of dispatchers. Exit status:
0 done, 1 not at all of them."""

from __future__ import annotations

import sys
from urllib.parse import quote

import click
import ujson

from yewrill.net import management_client as at


@click.group()
def owners() -> None:
    """See who owns the fleet's duties; have one given up."""


def _fetch_status(addresses: tuple[str, ...]) -> tuple[dict[str, dict], bool]:
    """The status of each dispatcher by address, and whether all have answered."""
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
    """Each duty, its owner and number, as most of the management listeners know them."""
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
    """What each dispatcher knows, and how the voters stand."""
    replies, complete = _fetch_status(addresses)
    for address, reply in replies.items():
        voter = reply.get("voter")
        state = (
            "no voter"
            if voter is None
            else (
                f"{voter['role']} of {voter['leader'] or 'nobody'}, term {voter['term']}, "
                f"{voter['commit']} of {voter['entries']} entries"
                + (
                    ""
                    if voter["counts"]
                    else f", on probation: {', '.join(voter['unanswered']) or 'behind'}"
                )
                + (f", stood down: {voter['failed']}" if voter["failed"] else "")
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
    """Have the owner, whichever of these dispatchers it is, give a duty up; another gets it."""
    failed = False
    for address, status, body in at.call_all(
        addresses, "PUT", f"/_ownership/release?name={quote(role, safe='')}"
    ):
        if status != 200:
            failed = True
            click.echo(at.describe_failure(address, status, body), err=True)
    sys.exit(failed)
