"""bergamotgate: the operators' command-line tool."""

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any, TextIO

import click

from bergamotgate import porcelain
from bergamotgate.caller import CallerResult, NoAddress
from bergamotgate.config.tables import Tables
from bergamotgate.errors import ConfigurationError, VmListRejected

__all__ = ["main"]

EXIT_INVALID_INPUT = 2
EXIT_REFUSED = 3
EXIT_GAPS = 4
EXIT_NO_FLEET = 5
EXIT_DIFFERENCES = 6

EPILOG = """\b
Exit status:
  0  all is well
  2  mistakes in a file or on the command line
  3  the request was refused
  4  the answer has gaps
  5  no VM of the fleet answers
  6  the VMs do not agree

\b
Shell completion (bash):
  eval "$(_BERGAMOTGATE_COMPLETE=bash_source bergamotgate)"
"""

as_json = click.option("--json", "json_wanted", is_flag=True, help="Print JSON.")
vm_option = click.option(
    "--vm",
    "known",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Callers' address of a VM; give it several times for several VMs.",
)
folder_argument = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="bergamotgate")
def main() -> None:
    """Check tables, see what a change would do, and ask a running fleet."""


@main.command(epilog="Example: bergamotgate check examples/spokewise")
@folder_argument
@as_json
def check(folder: Path, json_wanted: bool) -> None:
    """Check routes.jsonc and pools.jsonc in FOLDER; show every mistake at once."""
    tables = _tables(folder, json_wanted)
    fields = {
        "digest": tables.digest,
        "routes": sorted(tables.route_by_name),
        "pools": sorted(tables.pool_by_name),
    }
    text = f"{folder}: good, {len(fields['routes'])} routes, {len(fields['pools'])} pools"
    _show(fields, text, json_wanted)


@main.command(epilog="Example: bergamotgate plan in-force/ to-publish/ --vm-list vms.json")
@click.argument("old", type=click.Path(path_type=Path, file_okay=False))
@click.argument("new", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--vm-list", type=click.Path(path_type=Path, dir_okay=False), help="VM list, to show owners."
)
@as_json
def plan(old: Path, new: Path, vm_list: Path | None, json_wanted: bool) -> None:
    """Show what publishing the tables in NEW would change against those in OLD."""
    text = vm_list.read_text() if vm_list is not None else None
    try:
        changes = porcelain.plan_change(_tables(old, json_wanted), _tables(new, json_wanted), text)
    except VmListRejected as error:
        _fail(error, json_wanted)
    _show(asdict(changes), _plan_text(changes), json_wanted)


@main.command(epilog="Example: bergamotgate explain examples/spokewise POST /stock/bookings")
@folder_argument
@click.argument("method")
@click.argument("path")
@as_json
def explain(folder: Path, method: str, path: str, json_wanted: bool) -> None:
    """Show where a request with METHOD and PATH would go, and under which rules."""
    explanation = porcelain.explain_request(_tables(folder, json_wanted), method.upper(), path)
    if explanation is None:
        _show({"route": None}, f"no route matches {method.upper()} {path}", json_wanted)
        sys.exit(EXIT_REFUSED)
    fields = asdict(explanation)
    _show(fields, _lines(fields), json_wanted)


@main.command(epilog="Example: bergamotgate addresses --vm 127.0.0.1:8000 --zone a")
@vm_option
@click.option("--zone", default="", help="The caller's availability zone.")
@as_json
def addresses(known: tuple[str, ...], zone: str, json_wanted: bool) -> None:
    """Ask the fleet which VMs a caller should use."""
    answer = _run(porcelain.usable_addresses(list(known), zone))
    lines = [f"{a['http']}  {a['vm']} in zone {a['zone']}" for a in answer["addresses"]]
    lines.append(f"keep for {answer['keep_s']} s")
    _show(answer, "\n".join(lines), json_wanted)


@main.command(
    epilog="Example: bergamotgate query --vm 127.0.0.1:8000 POST /build-sheets/search --body '622'"
)
@vm_option
@click.argument("method")
@click.argument("path")
@click.option("--body", default="", help="Body of the request.")
@click.option("--deadline-ms", default=5000, type=click.IntRange(min=1), show_default=True)
@click.option("--once", is_flag=True, help="The request may not be repeated; send it with a key.")
@click.option("--parts/--no-parts", default=False, help="Print the answer of each shard.")
@as_json
def query(
    known: tuple[str, ...],
    method: str,
    path: str,
    body: str,
    deadline_ms: int,
    once: bool,
    parts: bool,
    json_wanted: bool,
) -> None:
    """Send one request and print its answer, coverage and snapshot."""
    sending = porcelain.send_query(
        list(known), method.upper(), path, body.encode(), deadline_ms, once
    )
    result = _run(sending)
    _show(asdict(result), _answer_text(result, parts), json_wanted)
    if not result.answered:
        sys.exit(EXIT_REFUSED)
    if not result.whole:
        sys.exit(EXIT_GAPS)


@main.command(epilog="Example: bergamotgate status --vm 127.0.0.1:8000 --vm 127.0.0.1:8001")
@vm_option
@as_json
def status(known: tuple[str, ...], json_wanted: bool) -> None:
    """Show each VM's revision, members, groups and queues; differences stand out."""
    found = asyncio.run(porcelain.fleet_status(list(known)))
    if not found.status_by_vm:
        click.echo(f"no VM answers at {', '.join(known)}", err=True)
        sys.exit(EXIT_NO_FLEET)
    _show(asdict(found), _status_text(found), json_wanted)
    if found.differences or found.silent:
        sys.exit(EXIT_DIFFERENCES)


@main.command(
    "explain-request", epilog="Example: bergamotgate explain-request 9c41d07be2a35f68 vm-*.log"
)
@click.argument("request_id")
@click.argument("logs", type=click.File(errors="replace"), nargs=-1, required=True)
@as_json
def explain_request(request_id: str, logs: tuple[TextIO, ...], json_wanted: bool) -> None:
    """Tell from the LOGS of gateways what happened to the request REQUEST_ID, and why."""
    story = porcelain.request_timeline(request_id, logs)
    if not story:
        click.echo(f"no line of request {request_id} in {len(logs)} logs", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    fields = {"request": request_id, "lines": [asdict(line) for line in story]}
    _show(fields, "\n".join(map(str, story)), json_wanted)


@main.command("check-site", epilog="Example: bergamotgate check-site settings.toml")
@click.argument("settings_file", type=click.Path(path_type=Path, dir_okay=False))
@as_json
def check_site(settings_file: Path, json_wanted: bool) -> None:
    """Check the settings file that a platform lays for a gateway; show every mistake at once."""
    try:
        settings = porcelain.check_site_settings(settings_file)
    except ConfigurationError as error:
        _fail(error, json_wanted)
    _show(asdict(settings), _lines(asdict(settings)), json_wanted)


def _tables(folder: Path, json_wanted: bool) -> Tables:
    try:
        return porcelain.check_tables(folder)
    except ConfigurationError as error:
        _fail(error, json_wanted)


def _fail(error: ConfigurationError, json_wanted: bool) -> None:
    if json_wanted:
        problems = [asdict(problem) for problem in error.problems]
        click.echo(json.dumps({"source": error.source, "problems": problems}, indent=1))
    else:
        for problem in error.problems:
            click.echo(f"{error.source}: {problem}", err=True)
    sys.exit(EXIT_INVALID_INPUT)


def _run(question: Any) -> Any:
    try:
        return asyncio.run(_awaited(question))
    except NoAddress as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_NO_FLEET)


async def _awaited(question: Any) -> Any:
    return await question


def _show(fields: dict[str, Any], text: str, json_wanted: bool) -> None:
    click.echo(json.dumps(fields, indent=1, default=str) if json_wanted else text)


def _lines(fields: dict[str, Any]) -> str:
    width = max(map(len, fields))
    return "\n".join(f"{name:<{width}}  {value}" for name, value in fields.items())


def _plan_text(changes: porcelain.TableChanges) -> str:
    lines = []
    for kind in ("routes", "pools", "zones", "owners"):
        entries = getattr(changes, kind)
        lines += [f"{kind[:-1]} {name}: {what}" for name, what in entries.items()]
    lines += [f"server {name}: gets no new work" for name in changes.servers_stopping]
    lines += [f"server {name}: gets work" for name in changes.servers_starting]
    return "\n".join(lines) or "nothing changes"


def _answer_text(result: CallerResult, parts: bool) -> str:
    if not result.answered:
        return f"refused: {result.reason} ({result.outcome}) by {result.vm or 'no VM'}"
    lines = [
        f"answered {result.answered_shards} of {result.total_shards} shards"
        f" from snapshot {result.snapshot or '(none)'} by {result.vm}"
    ]
    lines += [f"missing shard {shard}: {reason}" for shard, reason in result.missing]
    if parts:
        lines += [f"shard {shard}: {body}" for shard, body in result.body_by_shard]
    return "\n".join(lines)


def _status_text(found: porcelain.FleetStatus) -> str:
    lines = []
    for vm, state in sorted(found.status_by_vm.items()):
        queued = sum(server["queued"] for server in state["servers"].values())
        running = sum(server["running"] for server in state["servers"].values())
        firsts = sum(1 for role in state["groups"].values() if role == "first")
        alive = sum(1 for word in state["members"].values() if word == "alive")
        lines.append(
            f"{vm} zone {state['zone']}: revision {state['tables']['revision']},"
            f" {alive} members alive, first owner of {firsts} groups,"
            f" {running} running, {queued} queued,"
            f" {state['refused_fingerprints']} requests quarantined"
            + ("" if state["view_fresh"] else ", VIEW NOT CONFIRMED")
            + ("" if state["takes_requests"] else ", takes no requests")
        )
    lines += [f"SILENT {address}" for address in found.silent]
    lines += [f"DIFFERENCE {difference}" for difference in found.differences]
    return "\n".join(lines)


if __name__ == "__main__":
    main()
