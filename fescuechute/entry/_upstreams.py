"""Table of the upstreams whose agents this entry is linked to."""

from __future__ import annotations

import random
from collections.abc import Sequence

from fescuechute.errors import Reason
from fescuechute.routing import Policy, Pool, RouteRequest, UpstreamRow, choose, solo_upstream
from fescuechute.streams import ModelIdentity
from fescuechute.wire import Hello, Status

#: Seconds for which an agent receives no attempts after a refusal, by reason. A full agent soon has a
#: free slot again, unlike one that switches weights or drains.
_PAUSE_S = {Reason.BUSY: 0.05, Reason.SWITCHING: 0.5, Reason.DRAINING: 5.0, Reason.NO_UPSTREAM: 1.0}
_DEFAULT_PAUSE_S = 0.25


class UpstreamTable:
    """State of all upstreams whose agents this entry has been linked to, by pool."""

    def __init__(self, region: str, policy: Policy, rng: random.Random):
        self._region = region
        self._policy = policy
        self._rng = rng
        self._pools: dict[str, Pool] = {}
        #: Pools whose upstreams hold different weights, for example during a rollout.
        self._mixed_pools: set[str] = set()
        self.rows: dict[str, UpstreamRow] = {}
        self.last_status: dict[str, Status] = {}

    def link_up(self, hello: Hello) -> None:
        """Adds an agent whose link is up; it receives requests once its first Status has arrived."""
        if hello.role != "agent":
            return
        row = UpstreamRow(
            hello.process_id, hello.upstream, hello.region, hello.data_centre, linked=True
        )
        self.rows[hello.process_id] = row
        self._pools.setdefault(hello.upstream, Pool()).add(row)

    def link_down(self, agent_id: str) -> None:
        """Marks an agent as disconnected."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.linked = False
            row.state = "starting"

    def remove_if_unlinked(self, agent_id: str) -> None:
        """Removes an agent that is no longer assigned to this entry, unless its link is up."""
        row = self.rows.get(agent_id)
        if row is not None and not row.linked:
            del self.rows[agent_id]
            self.last_status.pop(agent_id, None)
            self._pools[row.upstream].remove(agent_id)
            self._update_mixed_pools(row.upstream)

    def apply_report(self, agent_id: str, msg: Status, now: float) -> None:
        """Applies the state, load and weights that an agent reports."""
        row = self.rows.get(agent_id)
        if row is None:
            return
        row.apply_report(msg.state, msg.running, msg.queued, msg.slots, now)
        self.last_status[agent_id] = msg
        weights = frozenset(msg.weights)
        if weights != row.weights:
            row.weights = weights
            self._update_mixed_pools(row.upstream)

    def record_sent(self, row: UpstreamRow, now: float, prefixes: tuple[int, ...]) -> None:
        """Records that an attempt was sent."""
        self._pools[row.upstream].record_sent(row, now, prefixes)

    def record_refusal(self, agent_id: str, reason: Reason, now: float) -> None:
        """Records a refusal and pauses the agent."""
        row = self.rows.get(agent_id)
        if row is None:
            return
        until = now + _PAUSE_S.get(reason, _DEFAULT_PAUSE_S)
        if reason is Reason.BUSY:
            row.record_refusal(now, until)
        else:
            row.record_end()
            row.not_before = until

    def record_end(self, agent_id: str) -> None:
        """Records that an attempt at an agent ended, with any outcome."""
        row = self.rows.get(agent_id)
        if row is not None:
            row.record_end()

    def has_capacity(self, pool: str, now: float, *, include_queue: bool) -> bool:
        """Returns whether any upstream of a pool can accept a request now.

        Args:
          pool: Name of the pool.
          now: Unix seconds.
          include_queue: Whether free places in the short queues of agents count as well as free slots.
        """
        return any(
            row.linked
            and row.state == "live"
            and row.outstanding < (row.capacity if include_queue else row.slots)
            and now >= row.not_before
            for row in self._pools.get(pool, ())
        )

    def any_live(self, pool: str) -> bool:
        """Returns whether any upstream of a pool is linked and live."""
        return any(row.linked and row.state == "live" for row in self._pools.get(pool, ()))

    def has_versions(
        self, pool: str, model_and_adapter: tuple[str, str], required_versions: ModelIdentity
    ) -> bool:
        """Returns whether any linked upstream of a pool holds these versions, busy or not."""
        rows = self._pools.get(pool, ())
        return any(
            row.linked and served_versions(row, model_and_adapter) == required_versions
            for row in rows
        )

    def _update_mixed_pools(self, pool: str) -> None:
        sets = {row.weights for row in self._pools[pool] if row.linked and row.weights}
        (self._mixed_pools.add if len(sets) > 1 else self._mixed_pools.discard)(pool)

    def choose(
        self,
        pool: str,
        now: float,
        *,
        prefixes: tuple[int, ...] = (),
        solo: str = "",
        crashed: frozenset[str] = frozenset(),
        model_and_adapter: tuple[str, str] | None = None,
        required_versions: ModelIdentity | None = None,
    ) -> UpstreamRow | None:
        """Returns the upstream for an attempt, or None if none is eligible now.

        Args:
          pool: Name of the pool.
          now: Unix seconds.
          prefixes: Prefix fingerprints of the prompt.
          solo: Content fingerprint of a request that must run alone on its upstream, or "".
          crashed: Agents whose upstreams that content has crashed.
          model_and_adapter: Names of the required model and adapter (or "" for none), in any
            confirmed version. None for calls.
          required_versions: Versions with which a partly delivered answer must be continued, or None.
        """
        rows: Sequence[UpstreamRow] = self._pools.get(pool, Pool())
        if model_and_adapter is not None and (
            pool in self._mixed_pools or required_versions is not None
        ):
            # Filtering takes time linear in the size of the pool, so it is limited to rollouts and
            # resumptions.
            rows = [
                row
                for row in rows
                if _has_required_weights(row, model_and_adapter, required_versions)
            ]
        if solo:
            # Agents hold such a request outside their queue, so that a full agent accepts it too.
            upstream = solo_upstream(list(rows), solo, crashed)
            return upstream if upstream is not None and now >= upstream.not_before else None
        request = RouteRequest(pool, self._region, prefixes=prefixes)
        return choose(rows, request, self._rng, self._policy, now)


def _has_required_weights(
    row: UpstreamRow, model_and_adapter: tuple[str, str], required_versions: ModelIdentity | None
) -> bool:
    served = served_versions(row, model_and_adapter)
    return served is not None and required_versions in (None, served)


def served_versions(row: UpstreamRow, model_and_adapter: tuple[str, str]) -> ModelIdentity | None:
    """Returns the versions in which an upstream holds a model and an adapter, or None."""
    versions = {(kind, name): version for kind, name, version in row.weights}
    model, adapter = model_and_adapter
    version = versions.get(("model", model))
    adapter_version = versions.get(("adapter", adapter), "") if adapter else ""
    if version is None or (adapter and not adapter_version):
        return None
    return ModelIdentity(model, version, adapter, adapter_version)
