"""Passes the records of a topic on to other processes of the region."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import attrs

from fescuechute.feeds import MAX_ERA, Feed, KeyedRecord
from fescuechute.forwarding import ClientRequest
from fescuechute.relay._cache import CachedRecord, RecordCache
from fescuechute.relay._codec import encode_batch, encode_records
from fescuechute.relay._log import RECORDS_PATH, RelayedLog

#: Largest accepted wait of a call, in seconds.
_MAX_WAIT_S = 30.0
#: Seconds after a rise of the era for which waiting calls are not refused. They are answered as soon as
#: this relay has read anew; refused ones would all read from the store.
REREAD_HOLD_S = 0.5


@attrs.frozen(eq=False)
class _WaitingCall:
    """A call without a response."""

    request: ClientRequest
    #: Offset of the first requested record.
    offset: int
    #: Era in which the caller has this offset.
    era: int
    #: Token of the kept records that the caller has, 0 without any.
    kept_token: int
    #: Unix seconds at which the call arrived, and at which it is answered without new records.
    arrived_at: float
    wait_until: float


class RelayServer:
    """Answers reads of a topic from the records of a feed.

    A response dates the records by the time since the arrival of the call, because the clocks of two
    VMs differ.

    Args:
      topic: Name of the topic.
      log: Log from which the feed reads.
      now: Returns unix seconds.
      count: Increments a named counter.
      superseded_ttl_s: Returns the seconds for which a record is passed on after a newer one of its
        key, given the key.
      rank: Returns the rank of a record; see `RecordCache`.
    """

    def __init__(
        self,
        topic: str,
        log: RelayedLog,
        now: Callable[[], float],
        count: Callable[[str], None],
        superseded_ttl_s: Callable[[str], float] = lambda _key: 0.0,
        rank: Callable[[str, bytes], Any] | None = None,
    ):
        self._topic = topic
        self._log = log
        self._now = now
        self._count = count
        self._superseded_ttl_s = superseded_ttl_s
        self._feed: Feed | None = None
        self._cache = RecordCache(rank)
        self._waiting: list[_WaitingCall] = []
        #: Encoded records of the last response, by the first requested offset, whether kept ones
        #: are included, the end offset and the generation of the cache.
        self._encoded: tuple[tuple[int, bool, int, int], bytes] | None = None
        #: Whether calls are accepted.
        self._open = False

    def start(self, feed: Feed) -> None:
        """Starts to accept calls; the feed provides the records and their dates."""
        self._feed = feed
        self._open = True

    def close(self) -> None:
        """Refuses waiting and later calls."""
        self._open = False
        for call in self._waiting:
            self._refuse(call.request)
        self._waiting.clear()

    def add(self, record: KeyedRecord) -> None:
        """Adds a record that the feed has delivered; records without effect need not be added."""
        assert self._feed is not None
        ttl_s = self._superseded_ttl_s(record.key)
        self._cache.add(record, self._feed.earliest_appended_at, ttl_s)

    def retain(self, keys: frozenset[str]) -> list[str]:
        """Removes the records of keys that a snapshot of the feed did not contain.

        Returns:
          The keys of the records of older eras that are kept.
        """
        assert self._feed is not None
        return self._cache.retain(keys, self._feed.next_offset or 0, self._feed.era)

    def is_current(self, now: float) -> bool:
        """Returns whether other processes may rely on the records."""
        feed = self._feed
        if not self._open or feed is None or not feed.complete or feed.confirmed_at is None:
            return False
        return feed.era == (self._log.eras.newest or 0) and self._log.is_current(now)

    def handle(self, request: ClientRequest) -> None:
        """Answers a call, at once or when new records or the end of its wait arrive."""
        path, _, query = request.target.decode("latin-1").partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        try:
            offset, era = int(fields["from"]), int(fields.get("era", "0"))
            kept_token = int(fields.get("kept", "0"))
            wait_s = min(int(fields.get("wait_ms", "0")) / 1000, _MAX_WAIT_S)
            if not 0 <= era <= MAX_ERA:
                raise ValueError(f"era {era} is out of range")
        except (KeyError, ValueError):
            message = (
                b"Give `from`, `wait_ms`, `kept` and `era` as whole numbers, `era` up to 2**53."
            )
            request.response.send(400, [], message)
            return
        if path != RECORDS_PATH or fields.get("topic") != self._topic:
            request.response.send(404, [], b"This relay has no such topic.")
            return
        now = self._now()
        # A caller may have learned of a new era first; this relay then has to read anew. What it sees
        # first must come from a source, or the answer of the store would be a rise.
        if self._log.eras.newest is not None:
            self._log.eras.observe(era, now, "follower")
        self._waiting.append(_WaitingCall(request, offset, era, kept_token, now, now + wait_s))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Answers the waiting calls that are due; refuses all of them if the records are not current."""
        if not self._waiting:
            return
        current = self.is_current(now)
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            if not call.request.response.is_open:
                continue
            if current and self._is_due(call, now):
                self._respond(call)
            elif current or self._is_held(call, now):
                self._waiting.append(call)
            else:
                self._refuse(call.request)

    def _is_due(self, call: _WaitingCall, now: float) -> bool:
        assert self._feed is not None
        has_records = self._cache.newest_offset >= call.offset
        is_due = has_records or call.era < self._feed.era or now >= call.wait_until
        return is_due or self._lacks_kept(call)

    def _lacks_kept(self, call: _WaitingCall) -> bool:
        """Returns whether records are kept that the caller does not have."""
        return self._cache.kept_token not in (0, call.kept_token)

    def _is_held(self, call: _WaitingCall, now: float) -> bool:
        """Returns whether a call of an older era waits until this relay has read anew."""
        eras = self._log.eras
        held_until = min(call.wait_until, eras.risen_at + REREAD_HOLD_S)
        return self._open and eras.is_old(call.era) and now < held_until

    @property
    def _next_offset(self) -> int:
        return (self._feed.next_offset or 0) if self._feed is not None else 0

    def _refuse(self, request: ClientRequest) -> None:
        self._count("relay.refused")
        request.response.send(503, [], b"This relay is not current; read from the store.")

    def _respond(self, call: _WaitingCall) -> None:
        assert self._feed is not None and self._feed.confirmed_at is not None
        self._cache.evict(self._now(), self._log.eras.kept_until)
        era, end = self._feed.era, self._next_offset
        # An offset of an older era says nothing; the caller reads a snapshot when it sees the era.
        is_outdated = call.era < era and call.offset > 0
        with_kept = self._lacks_kept(call)
        found = [] if is_outdated else self._cache.since(call.offset, with_kept=with_kept)
        appended_after_s = _earliest(found)
        failed_at = self._feed.failed_at
        body = encode_batch(
            encode_records([], era) if is_outdated else self._encode(call, with_kept, end, found),
            end,
            self._feed.confirmed_at - call.arrived_at,
            None if appended_after_s is None else appended_after_s - call.arrived_at,
            failed_at - call.arrived_at if failed_at > 0.0 else None,
            [
                None if known.appended_after is None else known.appended_after - call.arrived_at
                for known in found
            ],
            era,
            0 if is_outdated else self._cache.kept_token,
        )
        self._count("relay.responses")
        call.request.response.send(200, [(b"Content-Type", b"application/msgpack")], body)

    def _encode(
        self, call: _WaitingCall, with_kept: bool, end: int, found: list[CachedRecord]
    ) -> bytes:
        # Most processes of a region ask for the same records.
        scope = (call.offset, with_kept, end, self._cache.generation)
        if self._encoded is None or self._encoded[0] != scope:
            assert self._feed is not None
            records = (known.record for known in found)
            self._encoded = (scope, encode_records(records, self._feed.era))
        return self._encoded[1]


def _earliest(found: list[CachedRecord]) -> float | None:
    """Returns the unix seconds after which all records were appended, or None if unknown."""
    times = [known.appended_after for known in found]
    known_times = [time for time in times if time is not None]
    return min(known_times) if known_times and len(known_times) == len(times) else None
