"""A fleet of gateways on virtual time, with an in-memory network and platform store."""

import asyncio
import json
import random

from bergamotgate.clock import LoopClock
from bergamotgate.gateway.node import GatewayNode, GatewayServices, GatewaySettings
from bergamotgate.platform.itemdecoder import PlatformItemDecoder
from bergamotgate.platform.replicacodec import PlatformCodec
from bergamotgate.publication import MemoryItemSource
from bergamotgate.relay.budgets import ExtraRules
from bergamotgate.standin.memory import MemoryNetwork, NetworkFaults

ZONES = ("a", "b", "c")
SEEDS = 3
BOOT_MS = 1_800_000_000_000


def make_config(version: int = 1, shards: int = 3, **route: object) -> bytes:
    """Returns a JSON configuration with a sharded route and a route to an unsharded service.

    Args:
        route: Fields that override those of the sharded route.
    """
    pools = [f"shard-{number}" for number in range(shards)]
    search_route = {
        "name": "search",
        "hostname": "x.example",
        "prefix": "/s/",
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 150,
        "maxAttempts": 2,
        "priority": 1,
        "gather": pools,
        "topK": 5,
        "minShardShare": 0.6,
    }
    booking_route = {
        "name": "book",
        "hostname": "x.example",
        "prefix": "/b/",
        "routeType": "non_idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "maxAttempts": 2,
        "priority": 2,
        "service": "desk",
    }
    services = [
        {"name": n, "healthPath": "/health", "maxConnections": 25, "coldStartS": 3, "coldPerS": 0}
        for n in [*pools, "desk"]
    ]
    config = {
        "version": version,
        "routes": [search_route | route, booking_route],
        "services": services,
    }
    return json.dumps(config).encode()


def make_server(pool: str, address: str, zone: str = "a", **fields: object) -> bytes:
    """Returns the JSON registration of a backend server; `fields` override its defaults."""
    entry = {
        "service": pool,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": BOOT_MS,
    }
    return json.dumps(entry | fields).encode()


class GatewayFleet:
    """Gateways that share one store and one network."""

    def __init__(self, vms: int):
        zone_by_address = {f"10.0.0.{n}:1": ZONES[n % 3] for n in range(1, vms + 1)}
        self.faults = NetworkFaults(zone_by_address, 0.0002, 0.0014)
        self.network = MemoryNetwork(self.faults)
        self.source = MemoryItemSource()
        self.nodes = [self._make_node(address) for address in zone_by_address]

    def _make_node(self, peer: str, boot_offset_ms: int = 0) -> GatewayNode:
        number = int(peer.split(".")[-1].split(":")[0])
        settings = GatewaySettings(
            vm=f"vm-{number}",
            zone=ZONES[number % 3],
            front=f"10.0.0.{number}:2",
            ready=f"10.0.0.{number}:3",
            directory=f"10.0.0.{number}:4",
            peer=peer,
            seeds=tuple(f"10.0.0.{n}:1" for n in range(1, SEEDS + 1)),
            store="10.0.9.9:1",
            grace_s=6.0,
            extra=ExtraRules(0.2, 52, 10.0),
        )
        services = GatewayServices(
            source=self.source,
            decoder=PlatformItemDecoder(),
            codec=PlatformCodec(),
            network=self.network.view_for(peer),
            clock=LoopClock(),
            rng=random.Random(number),
            boot=BOOT_MS + number + boot_offset_ms,
            suspended_s=lambda: 0.0,
        )
        return GatewayNode(settings, services)

    async def start(self, settle_s: float = 3.0) -> None:
        """Starts all gateways and waits `settle_s` for them to discover each other."""
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(settle_s)

    async def restart(self, number: int, boot_offset_ms: int) -> GatewayNode:
        """Kills a gateway and starts a new one in its place, with a shifted boot time."""
        old = self.nodes[number]
        await old.close()
        self.network.remove_node(old.settings.peer)
        node = self._make_node(old.settings.peer, boot_offset_ms)
        self.nodes[number] = node
        await node.start()
        return node

    async def close(self) -> None:
        """Stops all gateways."""
        for node in self.nodes:
            await node.close()
