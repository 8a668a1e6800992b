"""Plain functions for everything that operators do; the command-line tool only prints them."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TextIO

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from bergamotgate.caller import Caller, CallerResult
from bergamotgate.clock import LoopClock
from bergamotgate.config.reader import read_tables
from bergamotgate.config.tables import Pool, Route, Tables
from bergamotgate.errors import Problem, TablesRejected
from bergamotgate.gateway.node import GatewaySettings
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.vmlist import VmList, read_vm_list
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.platform.sitesettings import load_site_settings
from bergamotgate.timeline import LogLine, build_timeline, read_log

__all__ = [
    "Explanation",
    "FleetStatus",
    "TableChanges",
    "check_site_settings",
    "check_tables",
    "explain_request",
    "fleet_status",
    "plan_change",
    "read_table_files",
    "request_timeline",
    "usable_addresses",
    "send_query",
]

STATUS_TIMEOUT_S = 2.0
ROUTES_FILE = "routes.jsonc"
POOLS_FILE = "pools.jsonc"


@dataclass(frozen=True)
class TableChanges:
    """What a changed pair of tables would change.

    Attributes:
        routes: Routes that come, go or change, each with what happens.
        pools: Pools that come, go or change.
        zones: Availability zones whose standing changes.
        servers_stopping: Servers that would get no new work.
        servers_starting: Servers that would get work again or for the first time.
        owners: Server groups whose first owner changes, as ``old -> new``.
    """

    routes: dict[str, str] = field(default_factory=dict)
    pools: dict[str, str] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    servers_stopping: tuple[str, ...] = ()
    servers_starting: tuple[str, ...] = ()
    owners: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Explanation:
    """Where a request would go and by which rules."""

    route: str
    pool: str
    urgency: str
    deadline_ms: int
    patience_ms: int
    hedging: bool
    repeatable: bool
    coverage_wanted: float
    below_coverage: str
    canary: str
    snapshot: str
    shards: int
    servers_taking_work: int


@dataclass(frozen=True)
class FleetStatus:
    """State of every VM that answered.

    Attributes:
        status_by_vm: What each VM says of itself.
        silent: Addresses that did not answer.
        differences: What the VMs do not agree on.
    """

    status_by_vm: dict[str, dict[str, Any]]
    silent: tuple[str, ...]
    differences: tuple[str, ...]


def read_table_files(folder: Path) -> tuple[str, str]:
    """Texts of the routes and pools tables in a folder.

    Raises:
        TablesRejected: A file cannot be read.
    """
    texts = []
    for name in (ROUTES_FILE, POOLS_FILE):
        try:
            texts.append((folder / name).read_text())
        except (OSError, UnicodeDecodeError) as error:
            problem = Problem("file", "a readable file", str(error))
            raise TablesRejected(str(folder / name), (problem,)) from error
    return texts[0], texts[1]


def check_tables(folder: Path) -> Tables:
    """Check the tables in a folder.

    Raises:
        TablesRejected: With every mistake found.
    """
    routes, pools = read_table_files(folder)
    return read_tables(0, routes, pools)


def plan_change(old: Tables, new: Tables, vm_list_text: str | None = None) -> TableChanges:
    """Compare two pairs of tables.

    Args:
        old: Tables in force.
        new: Tables to publish.
        vm_list_text: The VM list as JSON, to tell which owners change.
    """
    before = _working_servers(old)
    after = _working_servers(new)
    vm_list = read_vm_list(0, vm_list_text) if vm_list_text is not None else None
    return TableChanges(
        routes=_changes(old.route_by_name, new.route_by_name),
        pools=_changes(old.pool_by_name, new.pool_by_name),
        zones=_changes(old.zone_standing, new.zone_standing),
        servers_stopping=tuple(sorted(before - after)),
        servers_starting=tuple(sorted(after - before)),
        owners=_owner_changes(old, new, vm_list) if vm_list is not None else {},
    )


def request_timeline(request: str, logs: Iterable[TextIO]) -> list[LogLine]:
    """What the logs of gateways tell of one request, in order of time; empty if nothing."""
    return build_timeline(request, [line for log in logs for line in read_log(log)])


def check_site_settings(path: Path) -> GatewaySettings:
    """Read the settings file that a platform lays.

    Raises:
        SettingsError: With every mistake found.
    """
    return load_site_settings(path)


def explain_request(tables: Tables, method: str, path: str) -> Explanation | None:
    """Where a request would go; None when no route matches."""
    route = tables.route_by_match.get((method, path))
    if route is None:
        return None
    return _explain(tables, route, tables.pool_by_name[route.pool])


async def usable_addresses(known: list[str], zone: str) -> dict[str, Any]:
    """Ask a fleet which VMs to use.

    Raises:
        NoAddress: None of the known VMs answers.
    """
    return await Caller(known, zone).addresses()


async def send_query(
    known: list[str], method: str, path: str, body: bytes, deadline_ms: int, once: bool
) -> CallerResult:
    """Send one request as a caller would.

    Raises:
        NoAddress: None of the known VMs answers.
    """
    return await Caller(known).send(method, path, body, deadline_ms, once)


async def fleet_status(addresses: list[str]) -> FleetStatus:
    """Ask every VM for its state and compare them."""
    answers = await asyncio.gather(*(_status_of(address) for address in addresses))
    status_by_vm = {answer["vm"]: answer for answer in answers if answer is not None}
    silent = tuple(a for a, answer in zip(addresses, answers, strict=True) if answer is None)
    return FleetStatus(status_by_vm, silent, _differences(status_by_vm))


async def _status_of(address: str) -> dict[str, Any] | None:
    client = CurlAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            f"http://{address}/-/status",
            request_timeout=STATUS_TIMEOUT_S,
            connect_timeout=STATUS_TIMEOUT_S,
        )
        return json.loads(response.body)
    except (HTTPError, OSError, ValueError):
        return None


def _differences(status_by_vm: dict[str, dict[str, Any]]) -> tuple[str, ...]:
    found = []
    views = {
        "tables in force": lambda s: f"{s['tables']['revision']} {s['tables']['digest']}",
        "VM list": lambda s: str(s["vm_list_revision"]),
        "members": lambda s: " ".join(f"{vm}={word}" for vm, word in sorted(s["members"].items())),
    }
    for name, view in views.items():
        vms_by_view: dict[str, list[str]] = {}
        for vm, status in sorted(status_by_vm.items()):
            vms_by_view.setdefault(view(status), []).append(vm)
        if len(vms_by_view) > 1:
            shown = "; ".join(f"{', '.join(vms)}: {seen}" for seen, vms in vms_by_view.items())
            found.append(f"{name}: {shown}")
    return tuple(found)


def _changes(old: dict[str, Any], new: dict[str, Any]) -> dict[str, str]:
    changes = {name: "goes" for name in old.keys() - new.keys()}
    changes |= {name: "comes" for name in new.keys() - old.keys()}
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            changes[name] = _describe(old[name], new[name])
    return dict(sorted(changes.items()))


def _describe(old: Any, new: Any) -> str:
    if not isinstance(old, Route | Pool):
        return f"{old} -> {new}"
    before, after = asdict(old), asdict(new)
    changed = [name for name in before if before[name] != after[name]]
    return "changes " + ", ".join(changed)


def _working_servers(tables: Tables) -> set[str]:
    return {
        f"{pool.name}/{server.name}"
        for pool in tables.pool_by_name.values()
        for server in pool.server_by_name.values()
        if tables.takes_work(server)
    }


def _owner_changes(old: Tables, new: Tables, vm_list: VmList) -> dict[str, str]:
    before, after = _owners(old, vm_list), _owners(new, vm_list)
    return {
        group: f"{before.get(group)} -> {after.get(group)}"
        for group in sorted(before.keys() | after.keys())
        if before.get(group) != after.get(group)
    }


def _owners(tables: Tables, vm_list: VmList) -> dict[str, str | None]:
    nobody = Member("", "", "", "", 0, 0, MemberState.ALIVE)
    directory = OwnerDirectory("", MemberTable(nobody), _StillClock())
    directory.use_tables(tables)
    directory.use_vm_list(vm_list)
    owners = {}
    for pool in tables.pool_by_name.values():
        for server in pool.server_by_name.values():
            group = directory.group_of(pool, server)
            name = f"{group.pool}/{group.zone}/{group.number}"
            owners[name] = directory.ranking(group).first
    return owners


class _StillClock(LoopClock):
    """Time stands still: only the order of candidates matters here."""

    def now(self) -> float:
        return 0.0


def _explain(tables: Tables, route: Route, pool: Pool) -> Explanation:
    urgency = route.urgency
    return Explanation(
        route=route.name,
        pool=pool.name,
        urgency=urgency.name,
        deadline_ms=urgency.deadline_ms,
        patience_ms=urgency.patience_ms,
        hedging=urgency.hedging,
        repeatable=urgency.repeatable,
        coverage_wanted=urgency.coverage.wanted,
        below_coverage=str(urgency.coverage.below),
        canary=str(urgency.canary),
        snapshot=pool.snapshots[0].name,
        shards=len(pool.snapshots[0].servers_by_shard),
        servers_taking_work=sum(map(tables.takes_work, pool.server_by_name.values())),
    )
