"""Uses single parts of bergamotgate, and a whole node, in a program of one's own."""

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


def place_groups() -> str:
    """Rendezvous ownership alone: every program that knows the VMs gets the same owner."""
    return rank("catalogue/a/0", ["vm-0", "vm-3"])[0]


def spend_budget() -> int:
    """The budget for extra sub-requests alone."""
    budget = ExtraBudget(share=0.05)
    budget.note_first(100)
    return sum(budget.take() for _ in range(100))


async def book_once() -> int:
    """The keeper alone: three deliveries of one key, one run."""
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
    """A whole node inside this event loop; return the revision that it has in force."""
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
    """Run all of it."""
    print("owner", place_groups())
    print("extra sub-requests", spend_budget())
    print("runs", await book_once())
    print("revision", await run_node("127.0.0.1:29710", "127.0.0.1:29810"))


if __name__ == "__main__":
    asyncio.run(main())
