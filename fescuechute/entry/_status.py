"""The status page of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon


def status_page(node: EntryDaemon) -> dict[str, Any]:
    """Returns the status that operators and the command `note follow` read."""
    proc = node.cfg.process
    ledger = node.notes.ledger
    upstreams = []
    for agent_id, row in sorted(node.upstreams.rows.items()):
        last = node.upstreams.last_status.get(agent_id)
        upstreams.append(
            {
                "id": agent_id,
                "upstream": row.upstream,
                "region": row.region,
                "linked": row.linked,
                "state": row.state,
                "running": row.reported_running,
                "queued": row.reported_queued,
                "slots": row.slots,
                "revision": last.revision if last is not None else 0,
                "weights": sorted(list(weight) for weight in row.weights),
            }
        )
    return {
        "id": proc.id,
        "role": proc.role,
        "region": proc.region,
        "data_centre": proc.data_centre,
        "ready": node.ready,
        "draining": node.draining,
        "revision": ledger.state.revision,
        "offset": ledger.next_offset,
        "requests": len(node.dispatcher.rows),
        "queued": node.dispatcher.queued(),
        "upstreams": upstreams,
        "counters": dict(node.metrics.totals),
        "bytes": node.control_bytes(),
    }
