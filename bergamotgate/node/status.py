"""Status of a node for operators."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bergamotgate.node.node import Node

__all__ = ["node_status"]


def node_status(node: "Node") -> dict[str, Any]:
    """Status of one process as JSON values."""
    tables = node.tables.tables
    rejected = node.tables.last_rejection
    return {
        "vm": node.settings.vm,
        "zone": node.settings.zone,
        "boot": node.port.boot,
        "tables": {
            "revision": node.tables.revision,
            "digest": tables.digest if tables is not None else "",
            "rejected": [str(p) for p in rejected.problems] if rejected is not None else [],
        },
        "vm_list_revision": node.vm_lists.revision,
        "view_fresh": node.confirmation.is_fresh(),
        "draining": node.handler.draining,
        "takes_requests": node.handler.takes_requests(),
        "in_progress": node.handler.in_progress,
        "kept_requests_running": node.keeper.running,
        "refused_fingerprints": node.quarantine.refused_count(),
        "members": {m.vm: m.state.name.lower() for m in node.members.all()},
        "groups": _groups(node),
        "servers": _servers(node),
        "limits": node.gatherer.limits(),
    }


def _groups(node: "Node") -> dict[str, str]:
    return {
        f"{group.pool}/{group.zone}/{group.number}": (
            "first" if ranking.first == node.settings.vm else "second"
        )
        for group, ranking in node.directory.own_groups().items()
    }


def _servers(node: "Node") -> dict[str, dict[str, Any]]:
    return {
        f"{owned.pool.name}/{owned.server.name}": {
            "running": owned.running,
            "queued": len(owned.queue),
            "allowance": owned.allowance(),
            "connections": owned.open_connections,
            "warm": owned.warmth.is_warm,
        }
        for owned in node.owner.owned()
    }
