"""Quarantine of request contents that crash upstreams."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable

import attrs

from fescuechute.wire import Crash

#: Seconds for which a crash counts.
TTL_S = 3600.0
#: Crashes remembered; the newest stay.
MAX_CRASHES = 4096
#: Fingerprints remembered for one crash; more than any upstream has slots.
MAX_FINGERPRINTS = 512


class Verdict(enum.StrEnum):
    """What may be done with a request content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.define
class _Record:
    """What is known about one fingerprint."""

    #: Ids of the crashes with only this request in flight.
    sole: set[str] = attrs.field(factory=set)
    #: Ids of the crashes with others in flight as well.
    shared: set[str] = attrs.field(factory=set)
    #: Ids of the crashes known when the request last completed.
    cleared: set[str] = attrs.field(factory=set)


class Quarantine:
    """Merges crashes from all agents and judges request contents.

    The verdict depends on the set of known crashes only; their order and repetition do not matter.
    A crash with one request in flight counts for its content, one with several makes them suspects.
    A suspect that crashes an upstream alone is quarantined, and so is a content with two sole
    crashes. A suspect that completes alone is cleared of the crashes known by then, but sole
    crashes go on counting towards two.
    """

    def __init__(self, ttl_s: float = TTL_S, max_crashes: int = MAX_CRASHES):
        self._ttl_s = ttl_s
        self._max_crashes = max_crashes
        self._events: dict[str, Crash] = {}
        #: (date, id) of each event, oldest first.
        self._oldest: list[tuple[float, str]] = []
        self._records: dict[str, _Record] = {}
        #: Attempts in flight at this entry by fingerprint.
        self._running: dict[str, int] = {}

    def merge(self, event: Crash, now: float) -> bool:
        """Takes over a crash; returns whether it was new, so that it is passed on."""
        self.expire(now)
        if event.crash_id in self._events or event.at + self._ttl_s <= now:
            return False
        prints = tuple(sorted(set(event.fingerprints))[:MAX_FINGERPRINTS])
        # A date ahead of our clock must not keep the event for longer than any other.
        event = Crash(event.crash_id, prints, min(event.at, now))
        if not prints:
            return False
        self._events[event.crash_id] = event
        heapq.heappush(self._oldest, (event.at, event.crash_id))
        for print_ in prints:
            record = self._records.setdefault(print_, _Record())
            (record.sole if len(prints) == 1 else record.shared).add(event.crash_id)
        if len(self._events) > self._max_crashes:
            self._drop_oldest()
        return event.crash_id in self._events

    def verdict(self, fingerprint: str) -> Verdict:
        """Returns what may be done with a content."""
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        sole = record.sole - record.cleared
        shared = record.shared - record.cleared
        if len(record.sole) >= 2 or (sole and shared):
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if sole or shared else Verdict.CLEAR

    def crashed_agents(self, fingerprint: str) -> frozenset[str]:
        """Returns the agents whose upstreams crashed with a content in flight."""
        record = self._records.get(fingerprint)
        crashes = record.sole | record.shared if record is not None else set()
        return frozenset(crash_id.rpartition("/")[0] for crash_id in crashes)

    def completed(self, fingerprint: str) -> None:
        """A suspect ran alone and completed."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.cleared = record.sole | record.shared

    def may_run(self, fingerprint: str, now: float) -> bool:
        """Returns whether an attempt may start now.

        A suspect waits until no other attempt of the same content is in flight at this entry.
        """
        self.expire(now)
        verdict = self.verdict(fingerprint)
        if verdict is Verdict.SUSPECT:
            return fingerprint not in self._running
        return verdict is Verdict.CLEAR

    def started(self, fingerprint: str) -> None:
        """An attempt started at this entry; call it for every attempt."""
        self._running[fingerprint] = self._running.get(fingerprint, 0) + 1

    def ended(self, fingerprint: str) -> None:
        """An attempt ended, whatever its outcome."""
        left = self._running.get(fingerprint, 0) - 1
        if left > 0:
            self._running[fingerprint] = left
        else:
            self._running.pop(fingerprint, None)

    def events(self) -> list[Crash]:
        """Returns all known crashes, for a peer whose link came up."""
        return list(self._events.values())

    def expire(self, now: float) -> None:
        """Forgets the crashes that no longer count."""
        while self._oldest and self._oldest[0][0] + self._ttl_s <= now:
            self._drop_oldest()

    def suspects(self) -> Iterable[str]:
        """Returns the contents that are not clear."""
        return [name for name in self._records if self.verdict(name) is not Verdict.CLEAR]

    def _drop_oldest(self) -> None:
        _, crash_id = heapq.heappop(self._oldest)
        for print_ in self._events.pop(crash_id).fingerprints:
            record = self._records[print_]
            for crashes in (record.sole, record.shared, record.cleared):
                crashes.discard(crash_id)
            if not record.sole and not record.shared:
                del self._records[print_]
