"""Publishes configurations, registrations and unreadable entries for the soak test."""

import asyncio
import json
import random
from collections.abc import Sequence

from bergamotgate.publication import PublishedItem
from bergamotgate.standin.replica import StandInReplica
from bergamotgate.standin.store import StandInStore, StoreFault

__all__ = ["HOST", "UNREADABLE_ENTRIES", "SoakPlatform"]

HOST = "soak.example"
CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
FIRST_ERA = 4
AWAY_FAULTS = (StoreFault.UNAVAILABLE, StoreFault.NO_REPLY)
# Longer than a watch waits: no watch from before the absence is left when the store comes back.
MIN_AWAY_S = 1.1
MAX_AWAY_S = 1.5
# A server that states this much is warm at once in effect.
MAX_COLD_MS = 20
INTERMEDIATE_SHARE = 0.5
LIFETIME_STEP_MS = 1000
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
    """The store of one seed, and those who write there.

    Each configuration has one route that no other has, ``/n<version>/``, so that every change adds
    a route and drops another.

    Attributes:
        store: The store; it states an era.
        value_by_key: What was written last, whatever the store lost since.
        version: Version of the newest configuration.
        losses: How many times the store came back from an older copy.
    """

    def __init__(self, rng: random.Random, shards: int):
        self._rng = rng
        self._pools = [f"shard-{number}" for number in range(shards)]
        self._entry_by_server: dict[str, dict] = {}
        self.store = StandInStore()
        self.store.page_lag = lambda after: rng.randint(0, MAX_PAGE_LAG)
        self.store.source.era = FIRST_ERA
        self.value_by_key: dict[str, bytes] = {}
        self.version = 0
        self.losses = 0

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
        self._write(CONFIG_KEY, json.dumps(config).encode())

    def register(self, replica: StandInReplica, **fields: object) -> None:
        """Publish the registration of a server; `fields` override its defaults."""
        self._entry_by_server[replica.server] = _make_entry(**fields)
        self._write_entry(replica.server)

    def set_state(self, replica: StandInReplica, state: str) -> None:
        """Publish the registration of a server with another state."""
        self._entry_by_server[replica.server]["state"] = state
        self._write_entry(replica.server)

    def start_again(self, replica: StandInReplica) -> None:
        """Publish that a server that drained is ready, in a new lifetime."""
        self._entry_by_server[replica.server]["born"] += LIFETIME_STEP_MS
        self.set_state(replica, "ready")

    def report_servers(self, count: int) -> None:
        """Let servers publish their registrations again, `count` in all, nearly warm."""
        for _ in range(count):
            server = self._rng.choice(list(self._entry_by_server))
            self._entry_by_server[server]["coldRemainingMs"] = self._rng.randint(0, MAX_COLD_MS)
            self._write_entry(server)

    def publish_unreadable_entry(self) -> None:
        """Publish an entry that names no server to use."""
        key = f"{SERVER_PREFIX}i-odd-{self._rng.randrange(3)}"
        self._write(key, self._rng.choice(UNREADABLE_ENTRIES))

    async def be_away(self) -> None:
        """Make the store unavailable and wait about as long as it takes to come back."""
        self.store.fault = self._rng.choice(AWAY_FAULTS)
        await asyncio.sleep(self._rng.uniform(MIN_AWAY_S, MAX_AWAY_S))

    def restore_copy(self, changes: int) -> tuple[PublishedItem, ...]:
        """Bring the store back as it was some changes ago; return the changes that it lost."""
        self.losses += 1
        revision = max(1, self.store.source.revision - changes)
        return self.store.source.restore(revision)

    async def write_again(self, lost: Sequence[PublishedItem], within_s: float) -> None:
        """Write the newest value of each key that lost a change, in any order.

        The configuration may come twice, first as an older one that was lost too.
        """
        configs = [item.value for item in lost if item.key == CONFIG_KEY]
        if len(configs) > 1 and self._rng.random() < INTERMEDIATE_SHARE:
            self.store.source.publish(CONFIG_KEY, self._rng.choice(configs[:-1]))
        keys = sorted({item.key for item in lost})
        self._rng.shuffle(keys)
        for key in keys:
            await asyncio.sleep(self._rng.uniform(0, within_s / len(keys)))
            self.store.source.publish(key, self.value_by_key[key])

    def _write_entry(self, server: str) -> None:
        entry = self._entry_by_server[server]
        self._write(f"{SERVER_PREFIX}{server}", json.dumps(entry).encode())

    def _write(self, key: str, value: bytes) -> None:
        self.value_by_key[key] = value
        self.store.source.publish(key, value)
