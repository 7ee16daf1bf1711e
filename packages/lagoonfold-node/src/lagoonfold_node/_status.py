"""The readiness and status that an instance reports to operators."""

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from lagoonfold_node._node import Node


def not_ready_reason(node: "Node") -> str:
    """Return why an instance should get no traffic, or an empty string if it is ready."""
    if node.board.stopping.read():
        return "stopping"
    if node.authenticator.is_stale():
        return "the configuration could not be verified"
    if not node.ownership.context.has_lease():
        return "no lease"
    if not node.board.members.read():
        return "no members are known"
    return ""


def describe_node(node: "Node") -> dict:
    """Return the body of `/v1/status`."""
    view = node.board.config.read()
    table = node.board.ownership.read()
    return {
        "instance_id": node.instance_id,
        "failure_domain": node.settings.instance.failure_domain,
        "ready": not not_ready_reason(node),
        "reason": not_ready_reason(node),
        "stopping": node.board.stopping.read(),
        "config_version": view.configuration.version,
        "config_age_s": round(max(0.0, trio.current_time() - view.verified_at_s), 3),
        "has_lease": node.ownership.context.has_lease(),
        "members": sorted(node.board.members.read()),
        "shards": [
            {
                "shard": shard.shard_id,
                "epoch": shard.epoch,
                "programs": len(shard.state.programs_by_id),
            }
            for shard in node.board.shards.read().values()
        ],
        "ownership_revision": table.revision if table is not None else 0,
        "upstreams": [
            {
                "id": entry.instance_id,
                "role": entry.role,
                "address": entry.address,
                "leaving": entry.leaving,
            }
            for entry in node.board.upstreams.read().values()
        ],
        "requests": node.caller_api.active,
        "calls": len(node.executor.running_by_call),
        "peer_bytes": {"sent": node.bus.bytes_sent, "received": node.bus.bytes_received},
        "peer_redials": node.bus.redials,
        "store_calls": dict(node.store.counts_by_operation),
    }
