"""Upstreams as this entry sees them, behind their agents."""

from __future__ import annotations

import random
from collections.abc import Sequence

from fescuechute.errors import Reason
from fescuechute.routing import Policy, Pool, RouteRequest, UpstreamRow, choose, solo_upstream
from fescuechute.streams import Served
from fescuechute.wire import Hello, Status

#: Seconds for which an agent is not asked again after it refused, by reason. A full agent frees a
#: slot soon; one that switches or drains does not.
_PAUSE_S = {Reason.BUSY: 0.05, Reason.SWITCHING: 0.5, Reason.DRAINING: 5.0, Reason.NO_UPSTREAM: 1.0}
_DEFAULT_PAUSE_S = 0.25


class UpstreamTable:
    """Rows of all agents that this entry has had a link to, by pool."""

    def __init__(self, region: str, policy: Policy, rng: random.Random):
        self._region = region
        self._policy = policy
        self._rng = rng
        self._pools: dict[str, Pool] = {}
        #: Pools whose upstreams do not all hold the same weights, as during a rollout.
        self._mixed: set[str] = set()
        self.rows: dict[str, UpstreamRow] = {}
        self.last_status: dict[str, Status] = {}

    def link_up(self, hello: Hello) -> None:
        """A link to an agent is usable; it is used once its first Status arrives."""
        if hello.role != "agent":
            return
        row = UpstreamRow(
            hello.process_id, hello.upstream, hello.region, hello.data_centre, linked=True
        )
        self.rows[hello.process_id] = row
        self._pools.setdefault(hello.upstream, Pool()).add(row)

    def link_down(self, agent_id: str) -> None:
        """The link to an agent is gone."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.linked = False
            row.state = "starting"

    def forget(self, agent_id: str) -> None:
        """The VM list no longer shows an agent, and its link is gone."""
        row = self.rows.get(agent_id)
        if row is not None and not row.linked:
            del self.rows[agent_id]
            self.last_status.pop(agent_id, None)
            self._pools[row.upstream].remove(agent_id)
            self._look_for_mix(row.upstream)

    def status(self, agent_id: str, msg: Status, now: float) -> None:
        """Takes over what an agent reports."""
        row = self.rows.get(agent_id)
        if row is None:
            return
        row.report(msg.state, msg.running, msg.queued, msg.slots, now)
        self.last_status[agent_id] = msg
        weights = frozenset(msg.weights)
        if weights != row.weights:
            row.weights = weights
            self._look_for_mix(row.upstream)

    def sent(self, row: UpstreamRow, now: float, prefixes: tuple[int, ...]) -> None:
        """An attempt was sent."""
        self._pools[row.upstream].sent(row, now, prefixes)

    def refused(self, agent_id: str, reason: Reason, now: float) -> None:
        """An agent refused an attempt."""
        row = self.rows.get(agent_id)
        if row is None:
            return
        until = now + _PAUSE_S.get(reason, _DEFAULT_PAUSE_S)
        if reason is Reason.BUSY:
            row.refused(now, until)
        else:
            row.ended()
            row.not_before = until

    def ended(self, agent_id: str) -> None:
        """An attempt at an agent ended."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.ended()

    def has_room(self, pool: str, now: float, *, queueing: bool) -> bool:
        """Whether any upstream of a pool takes requests now.

        Args:
          pool: Name of the pool.
          now: Unix seconds.
          queueing: Whether room in an agent's short queue counts, and not only a free slot.
        """
        return any(
            row.linked
            and row.state == "live"
            and row.outstanding < (row.capacity if queueing else row.slots)
            and now >= row.not_before
            for row in self._pools.get(pool, ())
        )

    def any_live(self, pool: str) -> bool:
        """Whether any upstream of a pool is linked and serves."""
        return any(row.linked and row.state == "live" for row in self._pools.get(pool, ()))

    def holds(self, pool: str, wanted: tuple[str, str], exactly: Served) -> bool:
        """Whether any linked upstream of a pool holds exactly these versions, busy or not."""
        rows = self._pools.get(pool, ())
        return any(row.linked and served_by(row, wanted) == exactly for row in rows)

    def _look_for_mix(self, pool: str) -> None:
        sets = {row.weights for row in self._pools[pool] if row.linked and row.weights}
        (self._mixed.add if len(sets) > 1 else self._mixed.discard)(pool)

    def choose(
        self,
        pool: str,
        now: float,
        *,
        prefixes: tuple[int, ...] = (),
        solo: str = "",
        crashed: frozenset[str] = frozenset(),
        wanted: tuple[str, str] | None = None,
        exactly: Served | None = None,
    ) -> UpstreamRow | None:
        """Returns the upstream for an attempt, or None.

        Args:
          pool: Name of the pool.
          now: Unix seconds.
          prefixes: Prefix fingerprints of the prompt.
          solo: Content fingerprint of a request that must run alone, or "".
          crashed: Agents whose upstreams that content has crashed.
          wanted: Names of the model and of the adapter or "", in any confirmed version.
          exactly: Versions that a begun answer must be continued with.
        """
        rows: Sequence[UpstreamRow] = self._pools.get(pool, Pool())
        if wanted is not None and (pool in self._mixed or exactly is not None):
            # Copying the rows costs time in proportion to the pool, so only a rollout pays for it.
            rows = [row for row in rows if _fits(row, wanted, exactly)]
        if solo:
            # An agent keeps such a request apart from its queue, so a full one takes it too.
            only = solo_upstream(list(rows), solo, crashed)
            return only if only is not None and now >= only.not_before else None
        request = RouteRequest(pool, self._region, prefixes=prefixes)
        return choose(rows, request, self._rng, self._policy, now)


def _fits(row: UpstreamRow, wanted: tuple[str, str], exactly: Served | None) -> bool:
    served = served_by(row, wanted)
    return served is not None and exactly in (None, served)


def served_by(row: UpstreamRow, wanted: tuple[str, str]) -> Served | None:
    """Returns the versions in which an upstream has a model and an adapter, or None."""
    versions = {(kind, name): version for kind, name, version in row.weights}
    model, adapter = wanted
    version = versions.get(("model", model))
    adapter_version = versions.get(("adapter", adapter), "") if adapter else ""
    if version is None or (adapter and not adapter_version):
        return None
    return Served(model, version, adapter, adapter_version)
