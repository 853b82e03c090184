"""Quarantine of request contents that crash upstreams."""

from __future__ import annotations

import enum
import heapq
from collections.abc import Iterable

import attrs

from fescuechute.wire import Crash

#: Seconds until a crash expires.
TTL_S = 3600.0
#: Limit on crashes kept; the oldest are discarded.
MAX_CRASHES = 4096
#: Limit on fingerprints kept for one crash; no upstream has as many slots.
MAX_FINGERPRINTS = 512


class Verdict(enum.StrEnum):
    """How requests with a given content may be run."""

    #: Without restriction.
    CLEAR = "clear"
    #: Only alone on an upstream.
    SUSPECT = "suspect"
    #: Not at all.
    QUARANTINED = "quarantined"


@attrs.define
class _CrashHistory:
    """Known crashes of upstreams that were running requests with one fingerprint."""

    #: Ids of crashes with only this content in flight.
    sole_crashes: set[str] = attrs.field(factory=set)
    #: Ids of crashes with other contents in flight as well.
    shared_crashes: set[str] = attrs.field(factory=set)
    #: Ids of the crashes known when a request with this content last completed alone.
    cleared_crashes: set[str] = attrs.field(factory=set)


class Quarantine:
    """Collects crashes from all agents and decides which request contents may run.

    The verdict on a content depends only on the set of known crashes, not on their order, and
    duplicates have no effect. A crash is sole for a content that was the only one in flight, and
    shared otherwise; either makes the content a suspect. A content with both a sole and a shared
    crash, or with two sole crashes, is quarantined. When a suspect completes alone, it is cleared
    of the crashes known by then, but its sole crashes still count towards the two.
    """

    def __init__(self, ttl_s: float = TTL_S, max_crashes: int = MAX_CRASHES):
        self._ttl_s = ttl_s
        self._max_crashes = max_crashes
        self._crashes: dict[str, Crash] = {}
        #: Heap of (unix seconds, id) of the crashes, oldest first.
        self._expiry_heap: list[tuple[float, str]] = []
        self._histories: dict[str, _CrashHistory] = {}
        #: Number of attempts in flight at this entry by fingerprint.
        self._in_flight: dict[str, int] = {}

    def merge(self, crash: Crash, now: float) -> bool:
        """Adds a crash; returns whether it is new and must be forwarded to peers."""
        self.expire(now)
        if crash.crash_id in self._crashes or crash.at + self._ttl_s <= now:
            return False
        fingerprints = tuple(sorted(set(crash.fingerprints))[:MAX_FINGERPRINTS])
        # A time ahead of the local clock must not delay the expiry of the crash.
        crash = Crash(crash.crash_id, fingerprints, min(crash.at, now))
        if not fingerprints:
            return False
        self._crashes[crash.crash_id] = crash
        heapq.heappush(self._expiry_heap, (crash.at, crash.crash_id))
        for fingerprint in fingerprints:
            history = self._histories.setdefault(fingerprint, _CrashHistory())
            (history.sole_crashes if len(fingerprints) == 1 else history.shared_crashes).add(
                crash.crash_id
            )
        if len(self._crashes) > self._max_crashes:
            self._drop_oldest()
        return crash.crash_id in self._crashes

    def verdict(self, fingerprint: str) -> Verdict:
        """Returns the verdict on a content."""
        history = self._histories.get(fingerprint)
        if history is None:
            return Verdict.CLEAR
        sole = history.sole_crashes - history.cleared_crashes
        shared = history.shared_crashes - history.cleared_crashes
        if len(history.sole_crashes) >= 2 or (sole and shared):
            return Verdict.QUARANTINED
        return Verdict.SUSPECT if sole or shared else Verdict.CLEAR

    def crashed_agents(self, fingerprint: str) -> frozenset[str]:
        """Returns the agents whose upstreams crashed with a content in flight."""
        history = self._histories.get(fingerprint)
        crash_ids = history.sole_crashes | history.shared_crashes if history is not None else set()
        return frozenset(crash_id.rpartition("/")[0] for crash_id in crash_ids)

    def clear(self, fingerprint: str) -> None:
        """Clears a content of its known crashes after it has completed alone."""
        history = self._histories.get(fingerprint)
        if history is not None:
            history.cleared_crashes = history.sole_crashes | history.shared_crashes

    def may_run(self, fingerprint: str, now: float) -> bool:
        """Returns whether an attempt may start now.

        A suspect must wait until no other attempt with the same content is in flight at this entry.
        """
        self.expire(now)
        verdict = self.verdict(fingerprint)
        if verdict is Verdict.SUSPECT:
            return fingerprint not in self._in_flight
        return verdict is Verdict.CLEAR

    def record_start(self, fingerprint: str) -> None:
        """Records the start of an attempt at this entry; must be called for every attempt."""
        self._in_flight[fingerprint] = self._in_flight.get(fingerprint, 0) + 1

    def record_end(self, fingerprint: str) -> None:
        """Records the end of an attempt, with any outcome."""
        remaining = self._in_flight.get(fingerprint, 0) - 1
        if remaining > 0:
            self._in_flight[fingerprint] = remaining
        else:
            self._in_flight.pop(fingerprint, None)

    def crashes(self) -> list[Crash]:
        """Returns all known crashes, to be sent to a peer whose link has come up."""
        return list(self._crashes.values())

    def expire(self, now: float) -> None:
        """Discards expired crashes."""
        while self._expiry_heap and self._expiry_heap[0][0] + self._ttl_s <= now:
            self._drop_oldest()

    def suspect_or_quarantined(self) -> Iterable[str]:
        """Returns the fingerprints of the contents that are not clear."""
        return [
            fingerprint
            for fingerprint in self._histories
            if self.verdict(fingerprint) is not Verdict.CLEAR
        ]

    def _drop_oldest(self) -> None:
        _, crash_id = heapq.heappop(self._expiry_heap)
        for fingerprint in self._crashes.pop(crash_id).fingerprints:
            history = self._histories[fingerprint]
            for crash_ids in (
                history.sole_crashes,
                history.shared_crashes,
                history.cleared_crashes,
            ):
                crash_ids.discard(crash_id)
            if not history.sole_crashes and not history.shared_crashes:
                del self._histories[fingerprint]
