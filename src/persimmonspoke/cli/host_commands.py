"""Commands about hosts, targets and shard assignments."""

import argparse

from persimmonspoke.cli.client import AdminClient
from persimmonspoke.cli.report import Report, table


def status(args: argparse.Namespace, client: AdminClient) -> Report:
    """List the live hosts."""
    value = client.get("/v1/status")
    rows = [
        ("HOST", "DATA CENTRE", "STATE", "IN FORCE"),
        *map(_host_row, value["hosts"]),
    ]
    return Report(value, table(rows))


def assignments(args: argparse.Namespace, client: AdminClient) -> Report:
    """Show how many shards each target owns, and which host keeps each page."""
    query = "?shards=1" if args.shards else ""
    value = client.get(f"/v1/assignments/{args.team}/{args.service}{query}")
    if not value["divided_by_key"]:
        line = f"{args.service} is not divided by key; every target serves any request."
        return Report(value, (line,))
    lines = table([("TARGET", "SHARDS"), *value["shards_by_owner"].items()])
    pages = [
        (row["page"], row["keeper"], row["epoch"], row["shard_count"])
        for row in value["pages"]
    ]
    lines += ("", *table([("PAGE", "KEEPER", "EPOCH", "SHARDS"), *pages]))
    if args.shards:
        owners = [
            (row["first_shard"] + i, owner)
            for row in value["pages"]
            for i, owner in enumerate(row["owners"])
        ]
        lines += ("", *table([("SHARD", "OWNER"), *owners]))
    return Report(value, lines)


def dump(args: argparse.Namespace, client: AdminClient) -> Report:
    """Print the state of one daemon, always as JSON."""
    value = client.get("/v1/dump")
    return Report(value, (Report(value, ()).text(as_json=True),))


def drain(args: argparse.Namespace, client: AdminClient) -> Report:
    """Take a host or a target out of service, or put it back."""
    if args.target is None:
        value = client.post(f"/v1/{args.command}")
        done = "drains" if value["draining"] else "takes new requests"
        return Report(value, (f"The host {done}.",))
    team, service, target = args.target
    path = f"/v1/teams/{team}/services/{service}/targets/{target}/{args.command}"
    value = client.post(path)
    drained = value["drained_targets"]
    line = f"Drained targets of team {team}: {', '.join(drained) or 'none'}"
    return Report(value, (line,))


def _host_row(host):
    """Return one row of the table of hosts."""
    if not host["reachable"]:
        return (host["host_id"], "", "unreachable", host["reason"])
    state = "ready" if host["ready"] else "not ready"
    if host["draining"]:
        state = "draining"
    teams = sorted(host["in_force"].items())
    generations = " ".join(f"{team}:{generation}" for team, generation in teams)
    return (host["host_id"], host["data_centre"], state, generations or "nothing")
