"""Measures the costs of one node's state at the design size and of one HTTP exchange.

The fleet is not run: only the state of a single node is built.
"""

import json
import multiprocessing
import random
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop
from tornado.web import Application, RequestHandler

from bergamotgate.backend.connection import BackendRequest
from bergamotgate.backend.curl import CurlConnector
from bergamotgate.clock import LoopClock
from bergamotgate.config.delta import canonical, changes_between
from bergamotgate.config.reader import read_tables
from bergamotgate.gather.replicas import ReplicaTracker
from bergamotgate.membership.members import Member, MemberState, MemberTable
from bergamotgate.membership.vmlist import read_vm_list
from bergamotgate.ownership.directory import OwnerDirectory
from bergamotgate.standin.deployments import PoolSpec, build_deployment
from bergamotgate.standin.virtual import run_virtual

__all__ = ["LargeState", "measure_exchange", "measure_large_state"]

VMS = 710
POOLS = 18
SHARDS = 83
ZONES = ("a", "b", "c", "d", "e", "f")
CHOICE_ROUNDS = 50
EXCHANGES_PER_ROUND = 300
EXCHANGE_ROUNDS = 8
EXCHANGE_PORT = 20999
SERVER_START_S = 2.0


@dataclass(frozen=True)
class LargeState:
    """Costs of one node in a fleet of 710 VMs with about 3,000 replicas.

    Attributes:
        servers: Backend servers in the tables.
        tables_bytes: Size of the tables in canonical form.
        change_bytes: Size of the delta when the standing of one server changes.
        accept_ms: CPU time to validate and accept the tables.
        rank_ms: CPU time to rank the owners of every group after a change of the VM list.
        choose_ms: CPU time to choose the replicas for one query over 83 shards.
        owners_per_query: Number of VMs that one query over 83 shards is sent to.
        first_groups: Highest number of groups of which one VM is the first owner.
        memory_mb: Memory of tables, members and rankings, in megabytes.
    """

    servers: int
    tables_bytes: int
    change_bytes: int
    accept_ms: float
    rank_ms: float
    choose_ms: float
    owners_per_query: int
    first_groups: int
    memory_mb: float


def measure_large_state() -> LargeState:
    """Build the state of one node in a fleet of the design size and measure its costs."""
    return run_virtual(_large_state)


async def _large_state() -> LargeState:
    specs = tuple(PoolSpec(f"pool{n:02d}", SHARDS, 2, 2, 25, 0.006) for n in range(POOLS))
    routes = {
        "classes": {"urgent": {"deadline_ms": 150, "hedging": True, "repeatable": True}},
        "routes": {
            spec.name: {"match": {"path": f"/{spec.name}"}, "class": "urgent", "pool": spec.name}
            for spec in specs
        },
    }
    deployment = build_deployment(routes, specs, ZONES)
    texts = deployment.routes_text(), deployment.pools_text()
    before = canonical(routes, deployment.pools)
    deployment.pools["pools"]["pool00"]["servers"]["pool00-00a"]["standing"] = "leaving"
    changes = changes_between(before, canonical(routes, deployment.pools))
    tracemalloc.start()
    traced_directory = _directory(read_tables(1, *texts))
    traced_directory.own_groups()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began = time.process_time()
    tables = read_tables(1, *texts)
    accept_ms = 1000 * (time.process_time() - began)
    directory = _directory(tables)
    began = time.process_time()
    directory.own_groups()
    rank_ms = 1000 * (time.process_time() - began)
    choose_ms, owners = _measure_choice(tables, directory)
    return LargeState(
        servers=sum(len(pool.server_by_name) for pool in tables.pool_by_name.values()),
        tables_bytes=len(before),
        change_bytes=sum(len(c.path) + len(c.value or "") for c in changes),
        accept_ms=accept_ms,
        rank_ms=rank_ms,
        choose_ms=choose_ms,
        owners_per_query=owners,
        first_groups=_max_first_groups(tables, directory),
        memory_mb=memory_mb,
    )


def _directory(tables) -> OwnerDirectory:
    vms = [
        {
            "vm": f"vm-{n}",
            "zone": ZONES[n % len(ZONES)],
            "peer": f"10.0.{n // 200}.{n % 200 + 1}:7000",
            "http": f"10.0.{n // 200}.{n % 200 + 1}:8000",
        }
        for n in range(VMS)
    ]
    members = None
    for vm in vms:
        member = Member(vm["vm"], vm["zone"], vm["peer"], vm["http"], 1, 0, MemberState.ALIVE)
        if members is None:
            members = MemberTable(member)
        members.merge(member)
    directory = OwnerDirectory("vm-0", members, LoopClock())
    directory.use_tables(tables)
    directory.use_vm_list(read_vm_list(1, json.dumps({"vms": vms})))
    return directory


def _measure_choice(tables, directory: OwnerDirectory) -> tuple[float, int]:
    """Return the CPU milliseconds to choose replicas, and the number of owners, for one query."""
    replicas = ReplicaTracker(directory, LoopClock(), random.Random(1))
    pool = tables.pool_by_name["pool00"]
    snapshot = pool.snapshots[0]
    owners: set[str] = set()
    began = time.process_time()
    for _ in range(CHOICE_ROUNDS):
        chosen = [replicas.candidates(tables, pool, snapshot, s, set())[0] for s in range(SHARDS)]
        owners = {candidate.vm for candidate in chosen}
    return 1000 * (time.process_time() - began) / CHOICE_ROUNDS, len(owners)


def _max_first_groups(tables, directory: OwnerDirectory) -> int:
    groups = {
        directory.group_of(pool, server)
        for pool in tables.pool_by_name.values()
        for server in pool.server_by_name.values()
    }
    count_by_vm: dict[str, int] = {}
    for group in groups:
        first = directory.ranking(group).first
        count_by_vm[first] = count_by_vm.get(first, 0) + 1
    return max(count_by_vm.values())


class _EchoHandler(RequestHandler):
    def post(self) -> None:
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))
        self.finish(b"x" * 200)


def _serve_echo() -> None:
    Application([(r"/run", _EchoHandler)], log_function=lambda h: None).listen(
        EXCHANGE_PORT, "127.0.0.1"
    )
    IOLoop.current().start()


async def measure_exchange() -> tuple[float, float]:
    """Return the CPU microseconds of an exchange: by a backend connection, by the bare library."""
    server = multiprocessing.get_context("spawn").Process(target=_serve_echo, daemon=True)
    server.start()
    time.sleep(SERVER_START_S)
    address = f"127.0.0.1:{EXCHANGE_PORT}"
    try:
        connection = CurlConnector().open(address)
        request = BackendRequest("i", "p", "", 0, 5000, True, "", b"x" * 100)
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=1)
        library_request = HTTPRequest(f"http://{address}/run", method="POST", body=b"x" * 100)
        connection_s = library_s = 0.0
        # Alternates between the two, so that changes in machine speed affect both.
        for _ in range(EXCHANGE_ROUNDS):
            connection_s += await _measure_cpu_s(lambda: connection.exchange(request))
            library_s += await _measure_cpu_s(lambda: client.fetch(library_request))
    finally:
        server.terminate()
    return (
        1e6 * connection_s / EXCHANGE_ROUNDS / EXCHANGES_PER_ROUND,
        1e6 * library_s / EXCHANGE_ROUNDS / EXCHANGES_PER_ROUND,
    )


async def _measure_cpu_s(exchange: Callable[[], Awaitable]) -> float:
    """Return the CPU seconds of one round of exchanges, after one exchange to warm up."""
    await exchange()
    began = time.process_time()
    for _ in range(EXCHANGES_PER_ROUND):
        await exchange()
    return time.process_time() - began
