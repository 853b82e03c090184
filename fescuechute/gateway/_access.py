"""Whether a request is allowed, by the configuration in force and its age."""

from __future__ import annotations

import attrs

from fescuechute.catalog import Configuration, RequestMeta, Route, RouteTable, split_service
from fescuechute.errors import Reason


@attrs.frozen
class Allowed:
    """A request may be sent to a replica."""

    route: Route
    service: str
    #: Owner of the key, or None where none is needed.
    workspace: str | None
    #: 0 is the most urgent.
    rank: int
    #: Version of the configuration that allows it.
    configuration: int


@attrs.frozen
class Denied:
    """A request is refused."""

    reason: Reason
    detail: str


class AccessControl:
    """Judges requests by the newest configuration.

    Args:
      revoke_s: Age of the configuration from which on keys are not honoured, because one could have
        been revoked meanwhile; None where revocation is not enforced.
    """

    def __init__(self, revoke_s: float | None):
        self.revoke_s = revoke_s
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """Indexes of the configuration in force, or None before the first."""
        return self._table

    def update(self, configuration: Configuration) -> bool:
        """Takes over a configuration; an older one than that in force is ignored."""
        if self._table is not None and configuration.version <= self._table.configuration.version:
            return False
        self._table = RouteTable(configuration)
        return True

    def judge(
        self, host: str, path: str, meta: RequestMeta, confirmed_at: float | None, now: float
    ) -> Allowed | Denied:
        """Returns whether a request may run.

        Args:
          host: Host that the client named, without a port.
          path: Path without the query.
          meta: What the client says.
          confirmed_at: Unix seconds up to which the configuration is known to be the newest.
          now: Unix seconds.
        """
        table = self._table
        if table is None:
            return Denied(Reason.NOT_READY, "no configuration yet")
        route = table.route(host, path)
        if route is None:
            return Denied(Reason.NOT_FOUND, "no route")
        rank = route.rank
        workspace = None
        if table.needs_keys and not route.anonymous:
            owner = table.workspace(meta.key) if meta.key else None
            if owner is None:
                return Denied(Reason.UNKNOWN_KEY, "unknown key")
            if not self.fresh(confirmed_at, now):
                return Denied(Reason.STALE_CONFIGURATION, "the key may have been revoked")
            workspace = owner.name
            rank = rank if owner.rank is None else owner.rank
        service = split_service(route, meta.request_id)
        return Allowed(route, service, workspace, rank, table.configuration.version)

    def fresh(self, confirmed_at: float | None, now: float) -> bool:
        """Returns whether keys may be honoured."""
        if self.revoke_s is None:
            return True
        return confirmed_at is not None and now - confirmed_at < self.revoke_s
