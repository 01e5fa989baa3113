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


def _ask(addresses: tuple[str, ...]) -> tuple[dict[str, dict], bool]:
    """What each management listener says, and whether all said something."""
    told, whole = {}, True
    for address, status, body in at.each(addresses, "GET", "/_ownership"):
        if status == 200:
            told[address] = ujson.loads(body)
        else:
            whole = False
            click.echo(at.told(address, status, body), err=True)
    return told, whole


@owners.command(name="list")
@at.addresses_option
def listed(addresses: tuple[str, ...]) -> None:
    """Each duty, its owner and number, as most of the management listeners know them."""
    told, whole = _ask(addresses)
    best: dict[str, dict] = {}
    for said in told.values():
        for duty in said["duties"]:
            if duty["number"] >= best.get(duty["duty"], {"number": -1})["number"] and (
                duty["owner"] or duty["duty"] not in best
            ):
                best[duty["duty"]] = duty
    for name, duty in sorted(best.items()):
        click.echo(f"{name:<16} {duty['owner'] or 'nobody':<24} number {duty['number']}")
    sys.exit(not whole)


@owners.command()
@at.addresses_option
def show(addresses: tuple[str, ...]) -> None:
    """What each dispatcher knows, and how the voters stand."""
    told, whole = _ask(addresses)
    for address, said in told.items():
        voter = said.get("voter")
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
        for duty in said["duties"]:
            ours = " (ours)" if duty["ours"] else ""
            click.echo(
                f"  {duty['duty']:<14} {duty['owner'] or 'nobody'}{ours}  number {duty['number']}  "
                f"fence {duty['fence']}"
            )
    sys.exit(not whole)


@owners.command()
@click.argument("duty")
@at.addresses_option
def move(duty: str, addresses: tuple[str, ...]) -> None:
    """Have the owner, whichever of these dispatchers it is, give a duty up; another gets it."""
    failed = False
    for address, status, body in at.each(
        addresses, "PUT", f"/_ownership/release?name={quote(duty, safe='')}"
    ):
        if status != 200:
            failed = True
            click.echo(at.told(address, status, body), err=True)
    sys.exit(failed)
