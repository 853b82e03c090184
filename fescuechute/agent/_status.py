"""The status page of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon


def status_page(node: AgentDaemon) -> dict[str, Any]:
    """Returns the status that operators read."""
    proc = node.cfg.process
    ledger = node.notes.ledger
    page: dict[str, Any] = {
        "id": proc.id,
        "role": proc.role,
        "region": proc.region,
        "data_centre": proc.data_centre,
        "upstream": node.hello.upstream,
        "ready": node.notes.ready,
        "draining": node.draining,
        "state": node.state,
        "revision": ledger.state.revision,
        "offset": ledger.next_offset,
        "running": len(node.table.running),
        "queued": node.table.queued,
        "slots": node.table.slots,
        "links": sorted(node.hub.links),
        "counters": dict(node.metrics.totals),
        "bytes": node.control_bytes(),
    }
    if node.weights is not None:
        page["weights"] = node.weights.progress()
    return page
