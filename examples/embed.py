"""Embeds single components of bergamotgate, and a complete node, in a program."""

import asyncio
import json
import random
from pathlib import Path

from bergamotgate import ExtraBudget, KeeperBook, LoopClock, Node, NodeServices, Settings, rank
from bergamotgate.backend import CurlConnector
from bergamotgate.config.memory import MemoryConfigurationService, MemoryVmListService
from bergamotgate.config.service import PublishedTables, PublishedVmList
from bergamotgate.keeper import read_key
from bergamotgate.wire.network import SocketNetwork

TABLES = Path(__file__).parent / "spokewise"


def find_owner() -> str:
    """Rendezvous hashing: every program that has the same list of VMs finds the same owner."""
    return rank("catalogue/a/0", ["vm-0", "vm-3"])[0]


def spend_budget() -> int:
    """The budget that limits extra sub-requests to a share of the first ones."""
    budget = ExtraBudget(share=0.05)
    budget.note_first(100)
    return sum(budget.take() for _ in range(100))


async def run_once() -> int:
    """The keeper: runs a request once although its key is delivered three times."""
    runs = 0

    async def run() -> str:
        nonlocal runs
        runs += 1
        return "booked"

    keeper = KeeperBook("vm-0", 1, LoopClock())
    key = read_key(f"{keeper.new_token().text()}/order-7")
    await asyncio.gather(*(keeper.run(key, "fingerprint", run) for _ in range(3)))
    await keeper.close()
    return runs


async def run_node(peer: str, http: str) -> int:
    """Run a complete node in this event loop; return the revision that it has in force."""
    texts = [(TABLES / f"{name}.jsonc").read_text() for name in ("routes", "pools")]
    vms = [{"vm": "vm-0", "zone": "a", "peer": peer, "http": http}]
    services = NodeServices(
        configuration=MemoryConfigurationService(PublishedTables(7, *texts)),
        vm_list=MemoryVmListService(PublishedVmList(1, json.dumps({"vms": vms}))),
        network=SocketNetwork(),
        connector=CurlConnector(),
        clock=LoopClock(),
        rng=random.Random(),
        boot=1,
    )
    settings = Settings("vm-0", "a", peer, http, "http://127.0.0.1:1", "http://127.0.0.1:1")
    node = Node(settings, services)
    await node.start()
    await asyncio.sleep(0.2)
    revision = node.tables.revision
    await node.drain(wait_s=0.1)
    await node.close()
    return revision


async def main() -> None:
    """Run all examples."""
    print("owner", find_owner())
    print("extra sub-requests", spend_budget())
    print("runs", await run_once())
    print("revision", await run_node("127.0.0.1:29710", "127.0.0.1:29810"))


if __name__ == "__main__":
    asyncio.run(main())
