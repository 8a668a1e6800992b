"""Publishes configurations, registrations and unreadable entries for the soak test."""

import json
import random

from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.store import StandInStore

__all__ = ["HOST", "UNREADABLE_ENTRIES", "SoakPlatform"]

HOST = "soak.example"
# Changes by which pages of a read that need not be current may lag.
MAX_PAGE_LAG = 12
BOOKING_POOL = "desk"
HUGE = "9" * 400


def _make_entry(**fields: object) -> dict:
    entry = {
        "service": BOOKING_POOL,
        "address": "127.0.0.1:9",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 1,
    }
    return entry | fields


# Entries that another writer may leave among those of the servers; none names a server to use.
UNREADABLE_ENTRIES = (
    b"[" * 4000,
    b'{"service": ' * 3000,
    b"\xff\xfe\x00",
    b"{}",
    json.dumps(_make_entry(slots=int(HUGE))).encode(),
    json.dumps(_make_entry(coldRemainingMs=int(HUGE))).encode(),
    json.dumps(_make_entry(born=int(HUGE))).encode(),
    json.dumps(_make_entry(address="127.0.0.1:99999")).encode(),
    json.dumps(_make_entry(service="\ud800")).encode(),
    json.dumps(_make_entry(service=BOOKING_POOL, state="resting")).encode(),
)


class SoakPlatform:
    """The store of one seed.

    Each configuration has one route that no other has, ``/n<version>/``, so that every change adds
    a route and drops another.

    Attributes:
        store: The store.
        version: Version of the newest configuration.
    """

    def __init__(self, rng: random.Random, shards: int):
        self._rng = rng
        self._pools = [f"shard-{number}" for number in range(shards)]
        self.store = StandInStore()
        self.store.page_lag = lambda after: rng.randint(0, MAX_PAGE_LAG)
        self.version = 0

    def publish_config(self) -> None:
        """Publish the next configuration."""
        self.version += self._rng.randint(1, 3)
        common = {"hostname": HOST, "timeoutMs": 2000, "targetLatencyMs": 200}
        search = {"name": "search", "prefix": "/s/", "routeType": "idempotent", "maxAttempts": 2}
        search |= {"gather": self._pools, "topK": 6, "minShardShare": 0.5}
        book = {"name": "book", "prefix": "/b/", "routeType": "non_idempotent"}
        newest = {"name": "newest", "prefix": f"/n{self.version}/", "routeType": "idempotent"}
        pools = [*self._pools, BOOKING_POOL]
        config = {
            "version": self.version,
            "routes": [
                common | search,
                common | book | {"service": BOOKING_POOL},
                common | newest | {"service": BOOKING_POOL},
            ],
            "services": [{"name": n, "healthPath": "/h", "maxConnections": 64} for n in pools],
        }
        self.store.source.publish("op/config", json.dumps(config).encode())

    def register(self, replica: StandInReplica, **fields: object) -> None:
        """Publish the registration of a server; `fields` override its defaults."""
        value = json.dumps(_make_entry(**fields)).encode()
        self.store.source.publish(f"servers/{replica.server}", value)

    def publish_unreadable_entry(self) -> None:
        """Publish an entry that names no server to use."""
        key = f"servers/i-odd-{self._rng.randrange(3)}"
        self.store.source.publish(key, self._rng.choice(UNREADABLE_ENTRIES))
