"""Choice of the processes from which a topic is read."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fescuechute.membership import duty_holders, rendezvous

#: Processes of a region that read the topic from the store. Two, so that the others need not read
#: from the store when one fails.
READERS = 2
#: Seconds for which a source that rejected a call, or did not respond, is used only if all others
#: fail as well. The offer of a relay that has ended expires in the longer time.
AVOID_REJECTING_S = 0.5
AVOID_SILENT_S = 3.0


@attrs.frozen
class RelayAddress:
    """A process that passes the records of the topic on."""

    process_id: str
    ip: str
    port: int


#: The store as a source.
STORE = RelayAddress("store", "", 0)


class SourceSelector:
    """Orders the sources of one process: the store first for readers, relays first for others.

    Processes that disagree about the relays of the region cannot wait for each other: each reads only
    from processes that precede it in the order of the duty.

    Args:
      process_id: Id of this process.
      duty: Name of the duty to read from the store, the same in all processes of the region.
      relays: Returns the known relays of the region at a time in unix seconds; if this process is one
        of them, it is included.
    """

    def __init__(self, process_id: str, duty: str, relays: Callable[[float], list[RelayAddress]]):
        self._process_id = process_id
        self._duty = duty
        self._relays = relays
        #: Unix seconds until which a source is avoided.
        self._avoid_until: dict[RelayAddress, float] = {}
        self._calls = 0

    def is_reader(self, now: float) -> bool:
        """Returns whether this process reads from the store first."""
        holders = self._holders(now)
        return not holders or any(relay.process_id == self._process_id for relay in holders)

    def sources(self, now: float) -> list[RelayAddress]:
        """Returns the sources to try, in order."""
        others = {
            relay.process_id: relay
            for relay in self._holders(now)
            if relay.process_id != self._process_id
        }
        # The order differs between processes, which divides them among the readers, and alternates, so
        # that a reader that receives a record slowly delays the others by one wait at most.
        self._calls += 1
        relays = [others[id_] for id_ in rendezvous(self._process_id, others, len(others))]
        if self._calls % 2:
            relays.reverse()
        ordered = [STORE, *relays] if self.is_reader(now) else [*relays, STORE]
        return sorted(ordered, key=lambda source: self._avoid_until.get(source, 0.0) > now)

    def record_failure(self, source: RelayAddress, responded: bool, now: float) -> None:
        """Avoids a source for some time, which is longer for a relay that did not respond."""
        self._avoid_until = {
            known: until for known, until in self._avoid_until.items() if until > now
        }
        rejecting = responded or source == STORE
        self._avoid_until[source] = now + (AVOID_REJECTING_S if rejecting else AVOID_SILENT_S)

    def _holders(self, now: float) -> list[RelayAddress]:
        relays = {relay.process_id: relay for relay in self._relays(now)}
        return [relays[id_] for id_ in duty_holders(self._duty, relays, READERS)]
