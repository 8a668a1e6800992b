"""bergamotgate: the command-line tool of operators."""

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
EXIT_PARTIAL = 4
EXIT_UNREACHABLE = 5
EXIT_DIFFERENCES = 6

EPILOG = """\b
Exit status:
  0  success
  2  errors in a file or on the command line
  3  the request was refused
  4  shards are missing from the answer
  5  no VM of the fleet responds
  6  the VMs disagree, or some do not respond

\b
Shell completion (bash):
  eval "$(_BERGAMOTGATE_COMPLETE=bash_source bergamotgate)"
"""

json_option = click.option("--json", "json_wanted", is_flag=True, help="Print JSON.")
vm_option = click.option(
    "--vm",
    "known",
    multiple=True,
    required=True,
    metavar="IP:PORT",
    help="Address at which a VM serves callers; may be given several times.",
)
folder_argument = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="bergamotgate")
def main() -> None:
    """Check tables, preview changes, and query a running fleet."""


@main.command(epilog="Example: bergamotgate check examples/spokewise")
@folder_argument
@json_option
def check(folder: Path, json_wanted: bool) -> None:
    """Check routes.jsonc and pools.jsonc in FOLDER; report all errors at once."""
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
@json_option
def plan(old: Path, new: Path, vm_list: Path | None, json_wanted: bool) -> None:
    """Show what would change if the tables in NEW replaced those in OLD."""
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
@json_option
def explain(folder: Path, method: str, path: str, json_wanted: bool) -> None:
    """Show how a request with METHOD and PATH would be routed, and by which rules."""
    explanation = porcelain.explain_request(_tables(folder, json_wanted), method.upper(), path)
    if explanation is None:
        _show({"route": None}, f"no route matches {method.upper()} {path}", json_wanted)
        sys.exit(EXIT_REFUSED)
    fields = asdict(explanation)
    _show(fields, _aligned_lines(fields), json_wanted)


@main.command(epilog="Example: bergamotgate addresses --vm 127.0.0.1:8000 --zone a")
@vm_option
@click.option("--zone", default="", help="The caller's availability zone.")
@json_option
def addresses(known: tuple[str, ...], zone: str, json_wanted: bool) -> None:
    """Show which VMs a caller should use."""
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
@click.option("--once", is_flag=True, help="Run the request at most once; send it with a key.")
@click.option("--parts/--no-parts", default=False, help="Print the answer of each shard.")
@json_option
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
    coroutine = porcelain.send_query(
        list(known), method.upper(), path, body.encode(), deadline_ms, once
    )
    result = _run(coroutine)
    _show(asdict(result), _answer_text(result, parts), json_wanted)
    if not result.answered:
        sys.exit(EXIT_REFUSED)
    if not result.whole:
        sys.exit(EXIT_PARTIAL)


@main.command(epilog="Example: bergamotgate status --vm 127.0.0.1:8000 --vm 127.0.0.1:8001")
@vm_option
@json_option
def status(known: tuple[str, ...], json_wanted: bool) -> None:
    """Show each VM's revision, members, groups and queues, and where the VMs disagree."""
    fleet = asyncio.run(porcelain.fleet_status(list(known)))
    if not fleet.status_by_vm:
        click.echo(f"no VM responds at {', '.join(known)}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    _show(asdict(fleet), _status_text(fleet), json_wanted)
    if fleet.differences or fleet.silent:
        sys.exit(EXIT_DIFFERENCES)


@main.command(
    "explain-request", epilog="Example: bergamotgate explain-request 9c41d07be2a35f68 vm-*.log"
)
@click.argument("request_id")
@click.argument("logs", type=click.File(errors="replace"), nargs=-1, required=True)
@json_option
def explain_request(request_id: str, logs: tuple[TextIO, ...], json_wanted: bool) -> None:
    """Show from the LOGS of gateways how the request REQUEST_ID was handled, and why."""
    timeline = porcelain.request_timeline(request_id, logs)
    if not timeline:
        click.echo(f"no lines about request {request_id} in {len(logs)} log files", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    fields = {"request": request_id, "lines": [asdict(line) for line in timeline]}
    _show(fields, "\n".join(map(str, timeline)), json_wanted)


@main.command("check-site", epilog="Example: bergamotgate check-site settings.toml")
@click.argument("settings_file", type=click.Path(path_type=Path, dir_okay=False))
@json_option
def check_site(settings_file: Path, json_wanted: bool) -> None:
    """Check the gateway settings file that a platform provides; report all errors at once."""
    try:
        settings = porcelain.check_site_settings(settings_file)
    except ConfigurationError as error:
        _fail(error, json_wanted)
    _show(asdict(settings), _aligned_lines(asdict(settings)), json_wanted)


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


def _run(coroutine: Any) -> Any:
    try:
        return asyncio.run(_awaited(coroutine))
    except NoAddress as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_UNREACHABLE)


async def _awaited(coroutine: Any) -> Any:
    return await coroutine


def _show(fields: dict[str, Any], text: str, json_wanted: bool) -> None:
    click.echo(json.dumps(fields, indent=1, default=str) if json_wanted else text)


def _aligned_lines(fields: dict[str, Any]) -> str:
    width = max(map(len, fields))
    return "\n".join(f"{name:<{width}}  {value}" for name, value in fields.items())


def _plan_text(changes: porcelain.TableChanges) -> str:
    lines = []
    for kind in ("routes", "pools", "zones", "owners"):
        entries = getattr(changes, kind)
        lines += [f"{kind[:-1]} {name}: {change}" for name, change in entries.items()]
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


def _status_text(fleet: porcelain.FleetStatus) -> str:
    lines = []
    for vm, vm_status in sorted(fleet.status_by_vm.items()):
        queued = sum(server["queued"] for server in vm_status["servers"].values())
        running = sum(server["running"] for server in vm_status["servers"].values())
        first_owned = sum(1 for role in vm_status["groups"].values() if role == "first")
        alive = sum(1 for state in vm_status["members"].values() if state == "alive")
        lines.append(
            f"{vm} zone {vm_status['zone']}: revision {vm_status['tables']['revision']},"
            f" {alive} members alive, first owner of {first_owned} groups,"
            f" {running} running, {queued} queued,"
            f" {vm_status['refused_fingerprints']} requests quarantined"
            + ("" if vm_status["view_fresh"] else ", VIEW NOT CONFIRMED")
            + ("" if vm_status["takes_requests"] else ", takes no requests")
        )
    lines += [f"SILENT {address}" for address in fleet.silent]
    lines += [f"DIFFERENCE {difference}" for difference in fleet.differences]
    return "\n".join(lines)


if __name__ == "__main__":
    main()
