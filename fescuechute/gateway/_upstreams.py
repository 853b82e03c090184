"""Table of the replicas that are known, and what requests experienced at them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from fescuechute.catalog import EngineReport, Registration, UpstreamState

#: Seconds for which a replica that could not be reached gets no requests; doubles with each further
#: failure in a row, up to the second figure. A crashed replica is back after some seconds.
AVOID_MIN_S = 0.4
AVOID_MAX_S = 3.0
#: Weight of the newest outcome in the share of failed requests.
FAILURE_WEIGHT = 0.2
#: Seconds after the return of the store in which an entry that lapsed may come back.
RETURN_S = 2.0
#: Seconds by which a request was sent before another of its rank or a lower one that began first, from
#: which on it counts as lost: engines begin requests of one rank in their order.
OVERTAKEN_S = 0.5


@attrs.define(eq=False)
class UpstreamRow:
    """One replica."""

    entry: Registration
    region: str
    #: Requests that this gateway has under way there.
    in_flight: int = 0
    #: Prompt tokens of those among them that have not begun to answer.
    unread_tokens: int = 0
    #: Unix seconds at which each attempt without the beginning of an answer was sent, oldest first.
    unanswered: dict[object, float] = attrs.field(factory=dict)
    #: Unix seconds at which an answer last began, and by rank when the newest of those that have begun
    #: was sent.
    begun_at: float = 0.0
    begun_sent_at: dict[int, float] = attrs.field(factory=dict)
    #: Requests of all gateways there, from the last report, less our own at that time.
    others: int = 0
    #: Requests of this gateway since the last report, and the other gateways that report shares.
    sent_since: int = 0
    other_gateways: int = 0
    #: Unix seconds of the last report, 0 before the first.
    reported_at: float = 0.0
    #: Time of a step relative to the profile of the engine.
    pace: float = 1.0
    #: An order is being carried out; nothing new is accepted until its end.
    loading: bool = False
    #: Versions by model, from whatever said so last.
    versions: dict[str, int] = attrs.field(factory=dict)
    #: Unix seconds before which it gets no requests, and the failures in a row that led to it.
    not_before: float = 0.0
    failures: int = 0
    #: Share of failed requests, newest first.
    failed_share: float = 0.0
    #: Unix seconds at which it is dropped unless its entry comes back, or None.
    lapses_at: float | None = None

    @property
    def instance(self) -> str:
        """Id of this start of the replica."""
        return self.entry.instance

    @property
    def total(self) -> int:
        """Requests believed to be there, of all gateways.

        The others see the same reports and choose alike, so each is taken to have sent as many
        since the last report as this one.
        """
        return self.in_flight + self.others + self.sent_since * self.other_gateways

    @property
    def all_unread_tokens(self) -> int:
        """Prompt tokens believed to be unread there, of all gateways."""
        return self.unread_tokens * (1 + self.other_gateways)

    def began(self, attempt: object, rank: int, now: float) -> None:
        """The answer to an attempt begins."""
        sent_at = self.unanswered.pop(attempt, None)
        if sent_at is not None:
            self.begun_at = now
            self.begun_sent_at[rank] = max(sent_at, self.begun_sent_at.get(rank, 0.0))

    def holds_back(self, rank: int, sent_at: float) -> bool:
        """Returns whether a request that has not begun waits for more than its turn.

        Args:
          rank: Its rank.
          sent_at: Unix seconds at which it was sent.
        """
        overtaken = any(
            at >= sent_at + OVERTAKEN_S for begun, at in self.begun_sent_at.items() if begun >= rank
        )
        return overtaken or 0.0 < self.begun_at < sent_at

    def unanswered_s(self, now: float) -> float:
        """Returns for how long the oldest attempt has waited for the beginning of its answer."""
        return now - next(iter(self.unanswered.values()), now)

    def report(self, report: EngineReport, now: float, other_gateways: int = 0) -> None:
        """Takes over what the engine says of its load."""
        self.others = max(0, report.running + report.waiting - self.in_flight)
        self.sent_since = 0
        self.other_gateways = other_gateways
        self.reported_at = now
        self.pace = report.pace
        self.loading = report.busy
        self.versions = {model.name: model.version for model in report.models}

    def succeeded(self) -> None:
        """A request was answered."""
        self.failures = 0
        self.failed_share *= 1 - FAILURE_WEIGHT

    def failed(self) -> None:
        """A request was run and failed, or its answer was lost."""
        self.failed_share += FAILURE_WEIGHT * (1 - self.failed_share)

    def unreachable(self, now: float) -> None:
        """A connection failed, or the replica refused for a reason of its own."""
        self.failures += 1
        avoid_s = min(AVOID_MAX_S, AVOID_MIN_S * 2 ** min(self.failures - 1, 8))
        self.not_before = max(self.not_before, now + avoid_s)


class UpstreamTable:
    """Replicas by instance, as the registry and the requests say."""

    def __init__(self, regions: dict[str, str]):
        self._regions = regions
        self._rows: dict[str, UpstreamRow] = {}
        self._by_service: dict[str, list[UpstreamRow]] = {}

    def __iter__(self) -> Iterator[UpstreamRow]:
        return iter(self._rows.values())

    def get(self, instance: str) -> UpstreamRow | None:
        """Returns a replica, or None."""
        return self._rows.get(instance)

    def of(self, service: str) -> list[UpstreamRow]:
        """Returns the replicas of a service that take requests."""
        return self._by_service.get(service, [])

    def register(self, entry: Registration) -> bool:
        """Takes over an entry of the registry; returns whether it is a new start of a replica."""
        row = self._rows.get(entry.instance)
        is_new = row is None or (row.entry.born_ms != entry.born_ms and entry.born_ms > 0)
        if row is None or is_new:
            if row is not None:
                self._unlist(row)
            row = UpstreamRow(entry, self._regions.get(entry.data_centre, entry.data_centre))
            row.versions = {model.name: model.version for model in entry.models}
            self._rows[entry.instance] = row
        else:
            row.lapses_at = None
            if entry.models != row.entry.models:
                row.versions = {model.name: model.version for model in entry.models}
            self._unlist(row)
            row.entry = entry
        self._list(row)
        return is_new

    def remove(self, instance: str, lapses_at: float | None = None) -> UpstreamRow | None:
        """Drops a replica at once, or at a later time unless its entry comes back."""
        row = self._rows.get(instance)
        if row is None:
            return None
        if lapses_at is not None and row.entry.state is UpstreamState.READY:
            if row.lapses_at is None:
                row.lapses_at = lapses_at
            return None
        del self._rows[instance]
        self._unlist(row)
        return row

    def expire(self, now: float) -> list[UpstreamRow]:
        """Drops the replicas whose entries did not come back in time and returns them."""
        late = [
            row for row in self._rows.values() if row.lapses_at is not None and row.lapses_at <= now
        ]
        for row in late:
            del self._rows[row.instance]
            self._unlist(row)
        return late

    def at_ip(self, ip: str, port: int) -> UpstreamRow | None:
        """Returns the newest replica that listens at an address, or None."""
        rows = [
            row
            for row in self._rows.values()
            if row.entry.address.ip == ip and row.entry.address.port == port
        ]
        return max(rows, key=lambda row: row.entry.born_ms, default=None)

    def _list(self, row: UpstreamRow) -> None:
        if row.entry.state is UpstreamState.READY:
            self._by_service.setdefault(row.entry.service, []).append(row)

    def _unlist(self, row: UpstreamRow) -> None:
        rows = self._by_service.get(row.entry.service, [])
        if row in rows:
            rows.remove(row)
