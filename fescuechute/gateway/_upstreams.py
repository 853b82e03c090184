"""Table of the known replicas with their load, versions and the outcomes of requests."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from fescuechute.catalog import (
    EngineReport,
    LoadState,
    Registration,
    RemovedReplicas,
    UpstreamState,
)
from fescuechute.gateway._capacity import LearnedCapacity

#: Seconds for which an unreachable replica gets no requests. The time doubles with each consecutive
#: failure, up to the maximum. A crashed replica is back after some seconds.
BACKOFF_MIN_S = 0.4
BACKOFF_MAX_S = 3.0
#: Consecutive refusals from which on a replica counts as full. A single one may concern its request.
REFUSALS_OF_A_FULL_REPLICA = 2
#: Seconds for which it then counts as full. The time doubles with each further refusal, up to the
#: maximum.
REFUSAL_PAUSE_MIN_S = 0.4
REFUSAL_PAUSE_MAX_S = 3.0
#: Weight of the latest outcome in the moving average of failed requests.
FAILURE_WEIGHT = 0.2
#: Seconds after the store has recovered in which a replica whose entry expired may register again.
REREGISTRATION_WINDOW_S = 2.0
#: A request counts as lost if one of the same or a less urgent rank that was sent at least this
#: many seconds later has started: engines start requests of one rank in the order of arrival.
OVERTAKE_TOLERANCE_S = 0.5
#: Limit on replicas that are remembered as leaving.
MAX_LEFT = 4096
#: Seconds for which a replica counts as new: some heartbeats.
RECENT_S = 4.0
#: Limit on removed engines whose verified load is remembered.
MAX_LOADS = 8192
#: Longest cold time in seconds that an entry is believed.
MAX_COLD_LEFT_S = 60.0
#: Seconds after a failed connection from which a report of the same start time shows that there was no
#: restart; an earlier one may have been on its way.
RUNS_ON_AFTER_S = 1.0
#: Seconds by which an entry must prolong a cold time to be passed on.
COLD_TOLERANCE_S = 0.5
#: Longest time since the last report for which arrivals from other gateways are estimated.
MAX_EXTRAPOLATED_S = 1.0


@attrs.define(eq=False)
class UpstreamRow:
    """State of one replica."""

    entry: Registration
    region: str
    #: Requests of this gateway in flight at the replica.
    in_flight: int = 0
    #: Prompt tokens of those requests in flight whose responses have not started.
    pending_prompt_tokens: int = 0
    #: Unix seconds at which each attempt whose response has not started was sent, oldest first.
    unstarted: dict[object, float] = attrs.field(factory=dict)
    #: Unix seconds at which a response last started.
    last_started_at: float = 0.0
    #: Unix seconds at which the most recently sent of the started attempts was sent, by rank.
    newest_started_sent_at: dict[int, float] = attrs.field(factory=dict)
    #: Requests of other gateways: all requests in the last report less those of this gateway.
    other_in_flight: int = 0
    #: Those of them that the engine had not started.
    other_waiting: int = 0
    #: Number of other gateways that use the replica before others.
    other_gateway_count: int = 0
    #: Unix seconds of the last report, 0 before the first.
    reported_at: float = 0.0
    #: Requests of all gateways at the engine in the last report.
    reported_requests: int = 0
    #: Requests that this gateway has sent since then.
    sent_since_report: int = 0
    #: Step time relative to the engine profile; above 1 is slower.
    relative_step_time: float = 1.0
    #: Whether the engine is executing an order; it accepts no requests until the order is done.
    loading: bool = False
    #: Loaded version by model that may be used, from the latest report of the stager on its VM. Before
    #: the first one it is that of the registry entry, although that does not tell whether it was loaded
    #: whole: an engine whose stager does not run would otherwise get no requests.
    versions: dict[str, int] = attrs.field(factory=dict)
    #: Start time and accepted orders of the engine when its weights were verified, or None.
    verified_load: tuple[int, int | None] | None = None
    #: Start time and accepted orders of the engine in the last report, or None.
    reported_load: tuple[int, int | None] | None = None
    #: Whether the replica has stated in a response that it is leaving; it gets no more requests.
    leaving: bool = False
    #: Unix seconds until which the replica wants no requests from this gateway, by its `Retry-After`.
    refuses_until: float = 0.0
    #: Unix seconds until which the replica counts as full, because it has refused requests.
    full_until: float = 0.0
    #: Unix seconds of the last refusal, and the number of refusals since a response last started.
    refused_at: float = float("-inf")
    consecutive_refusals: int = 0
    #: Unix seconds until which the replica gets no requests.
    backoff_until: float = 0.0
    #: Consecutive failures to reach the replica.
    consecutive_failures: int = 0
    #: Exponential moving average of the share of failed requests.
    failed_share: float = 0.0
    #: Unix seconds at which the replica is removed unless it registers again, or None.
    expires_at: float | None = None
    #: Whether it expires only by a read after that time, as the store may be away until then.
    expires_by_read: bool = False
    #: What this gateway has learned of the speed of the replica since its start or last load.
    capacity: LearnedCapacity = attrs.field(
        default=attrs.Factory(lambda row: LearnedCapacity(row.entry.slots), takes_self=True)
    )
    #: Unix seconds until which the replica is cold by its registry entry.
    cold_until: float = float("-inf")
    #: Unix seconds at which the replica was first known, at which a report last showed a restart, and at
    #: which it could last not be reached; it may have started again meanwhile.
    first_seen_at: float = float("-inf")
    restarted_at: float = float("-inf")
    unreachable_at: float = float("-inf")
    #: Era in which the entry was last passed on to followers, -1 before.
    relayed_era: int = -1
    #: Latest start time in unix milliseconds that a report showed before the registry did.
    restarted_born_ms: int = 0

    @property
    def instance(self) -> str:
        """Instance id of the replica."""
        return self.entry.instance

    def estimated_in_flight(self, now: float, sends_per_s: float = 0.0) -> float:
        """Returns the estimated requests of all gateways in flight at the replica.

        Args:
          now: Unix seconds.
          sends_per_s: Mean rate at which a gateway sends requests to one replica. The other gateways
            are assumed to have sent at this rate since the last report; what this gateway happened to
            send says nothing about them.
        """
        known = self.in_flight + self.other_in_flight
        if not self.reported_at:
            return known
        age_s = min(MAX_EXTRAPOLATED_S, max(0.0, now - self.reported_at))
        return known + self.other_gateway_count * sends_per_s * age_s

    def record_start(self, attempt: object, rank: int, now: float) -> None:
        """Records that the response to an attempt has started."""
        sent_at = self.unstarted.pop(attempt, None)
        if sent_at is not None:
            self.last_started_at = now
            if sent_at >= self.refused_at:
                self.consecutive_refusals = 0
            self.newest_started_sent_at[rank] = max(
                sent_at, self.newest_started_sent_at.get(rank, 0.0)
            )

    def is_overdue(self, rank: int, sent_at: float) -> bool:
        """Returns whether a request that has not started should have started already.

        That is the case if a request of the same or a less urgent rank that was sent later has
        started, or if the replica has started requests before, but none since this one was sent.

        Args:
          rank: Rank of the request.
          sent_at: Unix seconds at which the request was sent.
        """
        overtaken = any(
            other_sent_at >= sent_at + OVERTAKE_TOLERANCE_S
            for other_rank, other_sent_at in self.newest_started_sent_at.items()
            if other_rank >= rank
        )
        return overtaken or 0.0 < self.last_started_at < sent_at

    def usable_at(self) -> float:
        """Returns the unix seconds from which requests may be sent, infinity if it is leaving."""
        return float("inf") if self.leaving else max(self.backoff_until, self.refuses_until)

    def oldest_wait_s(self, now: float) -> float:
        """Returns the seconds since the oldest attempt whose response has not started was sent."""
        return now - next(iter(self.unstarted.values()), now)

    def apply_report(
        self,
        report: EngineReport,
        now: float,
        other_gateway_count: int = 0,
        load_state: LoadState = LoadState.UNKNOWN,
    ) -> None:
        """Applies a load report of the engine.

        Args:
          report: The report.
          now: Unix seconds.
          other_gateway_count: Number of other gateways that use the replica before others.
          load_state: What the stager knows of the loaded weights.
        """
        self.reported_requests = report.running + report.waiting
        self.sent_since_report = 0
        self.other_in_flight = max(0, self.reported_requests - self.in_flight)
        self.other_waiting = max(0, report.waiting - len(self.unstarted))
        self.other_gateway_count = other_gateway_count
        self.reported_at = now
        self.relative_step_time = report.relative_step_time
        self.loading = report.loading
        load = report.born_ms, report.orders
        if load != self.reported_load:
            # What it refused before it loaded weights says nothing about it now.
            self.reported_load, self.full_until, self.consecutive_refusals = load, 0.0, 0
            self.capacity = LearnedCapacity(self.entry.slots)
        if load_state is LoadState.VERIFIED:
            self.verified_load = load
        if self._is_usable(load, load_state):
            self.versions = {model.name: model.version for model in report.models}
        else:
            self.versions = {}

    def _is_usable(self, load: tuple[int, int | None], state: LoadState) -> bool:
        """Returns whether requests may run on the weights of a load."""
        if self.verified_load is None:
            return state is not LoadState.UNVERIFIED
        # A restarted stager does not know what the one before has verified.
        return load == self.verified_load

    def record_restart(self, born_ms: int, now: float) -> None:
        """Records that the engine has restarted, before the registry shows it.

        Args:
          born_ms: Its new start time in unix milliseconds.
          now: Unix seconds.
        """
        self.versions = {}
        if born_ms > self.restarted_born_ms:
            self.restarted_born_ms, self.restarted_at = born_ms, now

    def record_cold_left(self, entry: Registration, now: float) -> None:
        """Records how long the replica is still cold by an entry, which may have been passed on late."""
        if entry.cold_left_s > 0.0:
            cold_until = now + min(entry.cold_left_s, MAX_COLD_LEFT_S)
            self.cold_until = max(self.cold_until, cold_until)

    def is_recent(self, now: float) -> bool:
        """Returns whether the replica became known, or started anew, a few heartbeats ago."""
        return now < self.first_seen_at + RECENT_S

    def changes_cold(self, entry: Registration, now: float) -> bool:
        """Returns whether an entry that is equal otherwise starts, prolongs or ends a cold time.

        An entry that only counts it down does not.
        """
        if (entry.cold_left_s > 0.0) != (self.entry.cold_left_s > 0.0):
            return True
        cold_until = now + min(entry.cold_left_s, MAX_COLD_LEFT_S)
        return entry.cold_left_s > 0.0 and cold_until > self.cold_until + COLD_TOLERANCE_S

    def record_success(self) -> None:
        """Records a request to which the replica responded."""
        self.consecutive_failures = 0
        self.failed_share *= 1 - FAILURE_WEIGHT

    def record_failure(self) -> None:
        """Records a request that failed on the replica, was slow to start, or lost its response."""
        self.failed_share += FAILURE_WEIGHT * (1 - self.failed_share)

    def record_refusal(self, now: float) -> None:
        """Records that the replica refused a request, whatever its last report says of its load."""
        self.refused_at = now
        if now < self.full_until:
            # The answer to a request that was sent before the refusal that is known.
            return
        self.consecutive_refusals += 1
        further = self.consecutive_refusals - REFUSALS_OF_A_FULL_REPLICA
        if further >= 0:
            pause_s = REFUSAL_PAUSE_MIN_S * 2 ** min(further, 8)
            self.full_until = now + min(REFUSAL_PAUSE_MAX_S, pause_s)

    @property
    def is_known_to_run_on(self) -> bool:
        """Whether a report clearly later than the last failed connection shows no restart.

        Reports of another start time are not applied, unless the entry has none.
        """
        return self.entry.born_ms > 0 and self.reported_at >= self.unreachable_at + RUNS_ON_AFTER_S

    def record_unreachable(self, now: float) -> None:
        """Records a failed connection, and extends the backoff."""
        self.unreachable_at = now
        self.record_misdirected(now)

    def record_misdirected(self, now: float) -> None:
        """Records a request that another replica at the address has answered, and extends the backoff."""
        self.consecutive_failures += 1
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(self.consecutive_failures - 1, 8))
        self.backoff_until = max(self.backoff_until, now + backoff_s)


class UpstreamTable:
    """Replicas by instance id and by service.

    Args:
      region_by_data_centre: Region of each data centre.
    """

    def __init__(self, region_by_data_centre: dict[str, str]):
        self._region_by_data_centre = region_by_data_centre
        self._rows: dict[str, UpstreamRow] = {}
        self._by_service: dict[str, list[UpstreamRow]] = {}
        #: Replicas at each IP address and port; more than one after an address was used again.
        self._by_address: dict[tuple[str, int], list[UpstreamRow]] = {}
        #: Start time of the last incarnation that stated that it is leaving, by instance, oldest first.
        self._left: dict[str, int] = {}
        self._removed = RemovedReplicas()
        #: Start time and verified load of removed engines whose stager had reported, by instance, oldest
        #: first.
        self._loads: dict[str, tuple[int, tuple[int, int | None] | None]] = {}
        #: Increases when the ready replicas of a service change.
        self.generation = 0

    def __iter__(self) -> Iterator[UpstreamRow]:
        return iter(self._rows.values())

    def get(self, instance: str) -> UpstreamRow | None:
        """Returns a replica by its instance id, or None."""
        return self._rows.get(instance)

    def ready_replicas(self, service: str) -> list[UpstreamRow]:
        """Returns the replicas of a service that are in the state `READY`."""
        return self._by_service.get(service, [])

    def services(self) -> list[str]:
        """Returns the services with ready replicas."""
        return [service for service, rows in self._by_service.items() if rows]

    def is_outdated(self, entry: Registration) -> bool:
        """Returns whether an entry is older than the known one of its replica.

        The store may come back from a copy that holds it. Of a replica that was removed, the last entry is
        outdated as well.
        """
        row = self._rows.get(entry.instance)
        if row is not None:
            return entry.is_older_than(row.entry.born_ms, row.entry.heartbeats)
        return self._removed.is_outdated(entry)

    def register(self, entry: Registration, now: float = 0.0) -> bool:
        """Applies a registry entry; returns whether the replica is new or was restarted.

        An outdated entry changes nothing.

        Args:
          entry: The entry.
          now: Unix seconds.
        """
        if self.is_outdated(entry):
            return False
        row = self._rows.get(entry.instance)
        is_new = row is None or (row.entry.born_ms != entry.born_ms and entry.born_ms > 0)
        if row is None or is_new:
            if row is not None:
                self._unindex(row)
                self._remember_load(row)
            row = UpstreamRow(entry, self._region(entry))
            born_ms, verified_load = self._loads.get(entry.instance, (0, None))
            if born_ms == entry.born_ms:
                row.verified_load = verified_load
            self._apply_registered_models(row, entry)
            row.leaving = self._left.get(entry.instance) == entry.born_ms
            row.first_seen_at = now
            row.record_cold_left(entry, now)
            self._rows[entry.instance] = row
        else:
            row.expires_at = None
            row.record_cold_left(entry, now)
            if entry == row.entry:
                row.entry = entry
                return False
            if entry.models != row.entry.models:
                self._apply_registered_models(row, entry)
            self._unindex(row)
            row.entry, row.region = entry, self._region(entry)
            row.capacity.slots = entry.slots
        self._index(row)
        return is_new

    def remove(self, instance: str, expires_at: float | None = None) -> UpstreamRow | None:
        """Removes a replica, or lets it expire at `expires_at` unless it registers again.

        Returns the row if it was removed now. A replica that is not ready is removed at once.
        """
        row = self._rows.get(instance)
        if row is None:
            return None
        if expires_at is not None and row.entry.state is UpstreamState.READY:
            if row.expires_at is None:
                row.expires_at, row.expires_by_read = expires_at, False
            return None
        self._remove(row)
        return row

    def await_entry(self, row: UpstreamRow, expires_at: float) -> bool:
        """Keeps a replica without an entry until a time at least, unless it registers again.

        Returns:
          Whether it is kept; one that is not ready is not.
        """
        if row.entry.state is not UpstreamState.READY:
            return False
        row.expires_at = max(expires_at, row.expires_at or expires_at)
        row.expires_by_read = True
        return True

    def expire(self, now: float, read_at: float | None = None) -> list[UpstreamRow]:
        """Removes the replicas that did not register again in time and returns them.

        Args:
          now: Unix seconds.
          read_at: Unix seconds up to which all entries are known, None if unknown.
        """
        read_at = float("-inf") if read_at is None else read_at
        expired = [
            row
            for row in self._rows.values()
            if row.expires_at is not None
            and row.expires_at <= (min(now, read_at) if row.expires_by_read else now)
        ]
        for row in expired:
            # Its entry is missing, which is no statement that it is gone: any later one is taken.
            self._remove(row, is_gone=False)
        return expired

    def _remove(self, row: UpstreamRow, *, is_gone: bool = True) -> None:
        del self._rows[row.instance]
        self._unindex(row)
        self._remember_load(row)
        if is_gone:
            self._removed.add(row.entry)

    def record_leaving(self, row: UpstreamRow) -> bool:
        """Records that a replica stated that it is leaving; returns whether that is new.

        The statement holds also if its entry is withdrawn and registered again, until it restarts.
        """
        if row.leaving:
            return False
        row.leaving = True
        self._left.pop(row.instance, None)
        self._left[row.instance] = row.entry.born_ms
        if len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
        return True

    def _region(self, entry: Registration) -> str:
        return self._region_by_data_centre.get(entry.data_centre, entry.data_centre)

    def _apply_registered_models(self, row: UpstreamRow, entry: Registration) -> None:
        """Takes the versions of an entry unless the stager of the engine is known to report them."""
        if not row.reported_at and entry.instance not in self._loads:
            row.versions = {model.name: model.version for model in entry.models}

    def _remember_load(self, row: UpstreamRow) -> None:
        """Keeps what the stager has reported of an engine that may register again."""
        if not row.reported_at:
            return
        self._loads.pop(row.instance, None)
        self._loads[row.instance] = row.entry.born_ms, row.verified_load
        if len(self._loads) > MAX_LOADS:
            del self._loads[next(iter(self._loads))]

    def at_address(self, ip: str, port: int) -> UpstreamRow | None:
        """Returns the most recently started replica at an address, or None."""
        rows = self._by_address.get((ip, port), ())
        return max(rows, key=lambda row: row.entry.born_ms, default=None)

    def _index(self, row: UpstreamRow) -> None:
        address = row.entry.address
        self._by_address.setdefault((address.ip, address.port), []).append(row)
        if row.entry.state is UpstreamState.READY:
            self.generation += 1
            self._by_service.setdefault(row.entry.service, []).append(row)

    def _unindex(self, row: UpstreamRow) -> None:
        address = row.entry.address
        at_address = self._by_address[address.ip, address.port]
        at_address.remove(row)
        if not at_address:
            del self._by_address[address.ip, address.port]
        rows = self._by_service.get(row.entry.service, [])
        if row in rows:
            self.generation += 1
            rows.remove(row)
