"""Functions for every task of an operator; the command-line tool only prints their results."""

import asyncio
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
from bergamotgate.jsontext import read_json
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.vmlist import VmList, read_vm_list
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.platform.sitesettings import load_site_settings
from bergamotgate.timeline import LogLine, build_timeline, read_log
from bergamotgate.wire.curlhead import HeadWatch

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
    """Differences between two pairs of tables.

    Attributes:
        routes: Added, removed and changed routes, each with its change.
        pools: Added, removed and changed pools, each with its change.
        zones: Availability zones whose standing changes, each with its change.
        servers_stopping: Servers that would receive no new requests.
        servers_starting: Servers that would receive requests again or for the first time.
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
    """Pool that a request would be sent to, and the rules that apply to it."""

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
        status_by_vm: Status that each VM reports.
        silent: Addresses without a response.
        differences: Descriptions of what the VMs disagree on.
    """

    status_by_vm: dict[str, dict[str, Any]]
    silent: tuple[str, ...]
    differences: tuple[str, ...]


def read_table_files(folder: Path) -> tuple[str, str]:
    """Return the texts of the routes and pools tables in a folder.

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
    """Parse and validate the tables in a folder.

    Raises:
        TablesRejected: The tables have errors; it lists all of them.
    """
    routes, pools = read_table_files(folder)
    return read_tables(0, routes, pools)


def plan_change(old: Tables, new: Tables, vm_list_text: str | None = None) -> TableChanges:
    """Compare two pairs of tables.

    Args:
        old: Tables in force.
        new: Tables to publish.
        vm_list_text: The VM list as JSON; needed to determine which owners change.

    Raises:
        VmListRejected: The VM list has errors; it lists all of them.
    """
    before = _working_servers(old)
    after = _working_servers(new)
    vm_list = read_vm_list(0, vm_list_text) if vm_list_text is not None else None
    return TableChanges(
        routes=_entry_changes(old.route_by_name, new.route_by_name),
        pools=_entry_changes(old.pool_by_name, new.pool_by_name),
        zones=_entry_changes(old.zone_standing, new.zone_standing),
        servers_stopping=tuple(sorted(before - after)),
        servers_starting=tuple(sorted(after - before)),
        owners=_owner_changes(old, new, vm_list) if vm_list is not None else {},
    )


def request_timeline(request_id: str, logs: Iterable[TextIO]) -> list[LogLine]:
    """Return the log lines that concern one request, in order of time; empty if there are none."""
    return build_timeline(request_id, [line for log in logs for line in read_log(log)])


def check_site_settings(path: Path) -> GatewaySettings:
    """Read and validate the settings file that a platform provides.

    Raises:
        SettingsError: The settings have errors; it lists all of them.
    """
    return load_site_settings(path)


def explain_request(tables: Tables, method: str, path: str) -> Explanation | None:
    """Explain how a request would be routed; None when no route matches."""
    route = tables.route_by_match.get((method, path))
    if route is None:
        return None
    return _explain(tables, route, tables.pool_by_name[route.pool])


async def usable_addresses(known_addresses: list[str], zone: str) -> dict[str, Any]:
    """Request the addresses of the VMs that a caller should use.

    Raises:
        NoAddress: None of the known VMs responds.
    """
    return await Caller(known_addresses, zone).addresses()


async def send_query(
    known_addresses: list[str],
    method: str,
    path: str,
    body: bytes,
    deadline_ms: int,
    once: bool,
) -> CallerResult:
    """Send one request as a caller would.

    Raises:
        NoAddress: None of the known VMs responds.
    """
    return await Caller(known_addresses).send(method, path, body, deadline_ms, once)


async def fleet_status(addresses: list[str]) -> FleetStatus:
    """Request the status of every VM and compare the results."""
    statuses = await asyncio.gather(*(_fetch_status(address) for address in addresses))
    status_by_vm = {status["vm"]: status for status in statuses if status is not None}
    silent = tuple(a for a, status in zip(addresses, statuses, strict=True) if status is None)
    return FleetStatus(status_by_vm, silent, _differences(status_by_vm))


async def _fetch_status(address: str) -> dict[str, Any] | None:
    client = CurlAsyncHTTPClient(force_instance=True)
    head = HeadWatch()
    try:
        response = await client.fetch(
            f"http://{address}/-/status",
            request_timeout=STATUS_TIMEOUT_S,
            connect_timeout=STATUS_TIMEOUT_S,
            header_callback=head,
        )
        return read_json(response.body) if head.error is None else None
    except (HTTPError, OSError, ValueError):
        return None


def _differences(status_by_vm: dict[str, dict[str, Any]]) -> tuple[str, ...]:
    found = []
    view_by_name = {
        "tables in force": lambda s: f"{s['tables']['revision']} {s['tables']['digest']}",
        "VM list": lambda s: str(s["vm_list_revision"]),
        "members": lambda s: " ".join(
            f"{vm}={state}" for vm, state in sorted(s["members"].items())
        ),
    }
    for name, view in view_by_name.items():
        vms_by_view: dict[str, list[str]] = {}
        for vm, status in sorted(status_by_vm.items()):
            vms_by_view.setdefault(view(status), []).append(vm)
        if len(vms_by_view) > 1:
            shown = "; ".join(f"{', '.join(vms)}: {seen}" for seen, vms in vms_by_view.items())
            found.append(f"{name}: {shown}")
    return tuple(found)


def _entry_changes(old: dict[str, Any], new: dict[str, Any]) -> dict[str, str]:
    changes = {name: "goes" for name in old.keys() - new.keys()}
    changes |= {name: "comes" for name in new.keys() - old.keys()}
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            changes[name] = _describe_change(old[name], new[name])
    return dict(sorted(changes.items()))


def _describe_change(old: Any, new: Any) -> str:
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
    placeholder = Member("", "", "", "", 0, 0, MemberState.ALIVE)
    directory = OwnerDirectory("", MemberTable(placeholder), _FrozenClock())
    directory.use_tables(tables)
    directory.use_vm_list(vm_list)
    owners = {}
    for pool in tables.pool_by_name.values():
        for server in pool.server_by_name.values():
            group = directory.group_of(pool, server)
            name = f"{group.pool}/{group.zone}/{group.number}"
            owners[name] = directory.ranking(group).first
    return owners


class _FrozenClock(LoopClock):
    """Clock that always returns 0, because only the order of candidates matters here."""

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
