"""Upstreams as this entry sees them, behind their agents."""

from __future__ import annotations

import random

from fescuechute.errors import Reason
from fescuechute.routing import Policy, RouteRequest, UpstreamRow, choose
from fescuechute.streams import Served
from fescuechute.wire import Hello, Status

#: Seconds for which an agent is not asked again after it refused, by reason. A full agent frees a
#: slot soon; one that switches or drains does not.
_PAUSE_S = {Reason.BUSY: 0.05, Reason.SWITCHING: 0.5, Reason.DRAINING: 5.0, Reason.NO_UPSTREAM: 1.0}
_DEFAULT_PAUSE_S = 0.25


class UpstreamTable:
    """Rows of all agents that this entry has had a link to."""

    def __init__(self, region: str, policy: Policy, rng: random.Random):
        self._region = region
        self._policy = policy
        self._rng = rng
        self.rows: dict[str, UpstreamRow] = {}
        self.last_status: dict[str, Status] = {}

    def link_up(self, hello: Hello) -> None:
        """A link to an agent is usable; it is used once its first Status arrives."""
        if hello.role == "agent":
            row = UpstreamRow(
                hello.process_id, hello.upstream, hello.region, hello.data_centre, linked=True
            )
            self.rows[hello.process_id] = row

    def link_down(self, agent_id: str) -> None:
        """The link to an agent is gone."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.linked = False

    def status(self, agent_id: str, msg: Status, now: float) -> None:
        """Takes over what an agent reports."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.report(msg.state, msg.running, msg.queued, msg.slots, now)
            row.weights = frozenset(msg.weights)
            self.last_status[agent_id] = msg

    def refused(self, agent_id: str, reason: Reason, now: float) -> None:
        """An agent refused an attempt."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.ended()
            row.not_before = now + _PAUSE_S.get(reason, _DEFAULT_PAUSE_S)

    def ended(self, agent_id: str) -> None:
        """An attempt at an agent ended."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.ended()

    def has_room(self, pool: str, now: float) -> bool:
        """Whether any upstream of a pool takes requests now."""
        return any(
            row.upstream == pool
            and row.linked
            and row.state == "live"
            and row.outstanding < row.capacity
            and now >= row.not_before
            for row in self.rows.values()
        )

    def exists(self, pool: str) -> bool:
        """Whether any upstream of a pool is linked."""
        return any(row.upstream == pool and row.linked for row in self.rows.values())

    def choose(
        self,
        pool: str,
        now: float,
        *,
        excluded: frozenset[str] = frozenset(),
        prefixes: tuple[int, ...] = (),
        solo: bool = False,
        wanted: tuple[str, str] | None = None,
        exactly: Served | None = None,
    ) -> UpstreamRow | None:
        """Returns the upstream for an attempt, or None.

        Args:
          pool: Name of the pool.
          now: Unix seconds.
          excluded: Agents not to ask.
          prefixes: Prefix fingerprints of the prompt.
          solo: The request runs alone.
          wanted: Names of the model and of the adapter or "", in any confirmed version.
          exactly: Versions that a begun answer must be continued with.
        """
        rows = [row for row in self.rows.values() if row.upstream == pool]
        if wanted is not None:
            rows = [row for row in rows if served_by(row, wanted) is not None]
        if exactly is not None and wanted is not None:
            rows = [row for row in rows if served_by(row, wanted) == exactly]
        request = RouteRequest(pool, self._region, frozenset(), excluded, prefixes, solo)
        return choose(rows, request, self._rng, self._policy, now)


def served_by(row: UpstreamRow, wanted: tuple[str, str]) -> Served | None:
    """Returns the versions in which an upstream has a model and an adapter, or None."""
    versions = {(kind, name): version for kind, name, version in row.weights}
    model, adapter = wanted
    version = versions.get(("model", model))
    adapter_version = versions.get(("adapter", adapter), "") if adapter else ""
    if version is None or (adapter and not adapter_version):
        return None
    return Served(model, version, adapter, adapter_version)
