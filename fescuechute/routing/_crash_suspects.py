"""Finds the content that crashes upstreams among the contents that were in flight at the crashes."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable

import attrs

#: Distinct crashes in which a content must be a suspect before it is quarantined.
MIN_CRASHES = 3
#: Seconds after a complete answer during which a content is not suspected of a crash. A content
#: may begin to crash upstreams at any time, so older answers prove nothing. Time in which nothing was
#: answered does not count.
CLEARED_S = 5.0
#: Seconds until a crash is forgotten.
CRASH_TTL_S = 60.0
#: Seconds for which a content is first quarantined, the factor by which this grows with each further
#: quarantine of the content, and the maximum.
QUARANTINE_S = 30.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 3600.0
#: Limits on the crashes, the answered contents and the quarantined contents that are kept; the
#: oldest are discarded.
MAX_CRASHES = 512
MAX_ANSWERED = 8192
MAX_QUARANTINED = 1024
#: Limit on the suspects of one crash.
MAX_SUSPECTS = 256


@attrs.define
class _Crash:
    """A crash of an upstream; times are in unix seconds."""

    at: float
    #: Latest complete answer with any content before the crash.
    last_answer_at: float
    suspects: set[bytes] = attrs.field(factory=set)


@attrs.define
class _Quarantine:
    """The latest quarantine of a content."""

    #: Unix seconds at which it ends.
    until: float
    #: Latest complete answer with any content before the crashes that it is based on.
    last_answer_at: float
    #: Number of quarantines of this content so far.
    count: int


class CrashSuspects:
    """Decides which contents are quarantined, from crashes and from complete answers.

    A content is a feature of requests, such as one part of their prompts. Each crash has one cause
    among the contents that were in flight, and a content with a complete answer is not the cause. The
    content that is a suspect in most crashes, and in at least `MIN_CRASHES`, is quarantined; it explains
    its crashes, so that the others in flight at them are no longer suspected. After a quarantine one
    further crash is enough. Reports of one crash may arrive in any order and more than once.
    """

    def __init__(self) -> None:
        #: Crashes by id, oldest first.
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        #: Unix seconds of the latest complete answer of each content, the least recent first.
        self._answered_at: OrderedDict[bytes, float] = OrderedDict()
        #: Quarantines by content, including ended ones.
        self._quarantines: OrderedDict[bytes, _Quarantine] = OrderedDict()
        #: Unix seconds of the latest complete answer with any content.
        self._last_answer_at = 0.0
        self._active: frozenset[bytes] = frozenset()
        self._on_trial: frozenset[bytes] = frozenset()
        self._accused: frozenset[bytes] = frozenset()

    @property
    def quarantined(self) -> frozenset[bytes]:
        """The contents in quarantine."""
        return self._active

    @property
    def on_trial(self) -> frozenset[bytes]:
        """The contents whose quarantine has ended and that were not answered since."""
        return self._on_trial

    @property
    def accused(self) -> frozenset[bytes]:
        """The contents that are a suspect in at least one crash."""
        return self._accused

    def add_crash(self, crash_id: str, suspects: Iterable[bytes], now: float) -> bool:
        """Adds suspects of a crash, which may be known already; returns whether any is new.

        Args:
          crash_id: The same for all reports of one crash.
          suspects: Contents in flight that may have caused it.
          now: Unix seconds.
        """
        crash = self._crashes.setdefault(crash_id, _Crash(now, min(now, self._last_answer_at)))
        added = False
        for suspect in suspects:
            if suspect not in crash.suspects and len(crash.suspects) < MAX_SUSPECTS:
                crash.suspects.add(suspect)
                added = True
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        if added:
            self._decide(now)
        return added

    def record_answer(self, content: bytes, answered_at: float, now: float) -> None:
        """Records that a request with a content was answered completely, `answered_at` in unix seconds."""
        answered_at = max(answered_at, self._answered_at.get(content, 0.0))
        self._last_answer_at = max(self._last_answer_at, answered_at)
        self._answered_at[content] = answered_at
        self._answered_at.move_to_end(content)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        if content in self._accused or content in self._quarantines:
            self._decide(now)

    def answered_at(self, content: bytes) -> float | None:
        """Returns the unix seconds of the latest complete answer known, or None."""
        return self._answered_at.get(content)

    def is_cleared(self, content: bytes, now: float) -> bool:
        """Returns whether a content is not a suspect of a crash at this time."""
        return _clears(self._answered_at.get(content), min(now, self._last_answer_at))

    def tick(self, now: float) -> None:
        """Forgets old crashes and ends quarantines."""
        changed = False
        while self._crashes and next(iter(self._crashes.values())).at + CRASH_TTL_S <= now:
            self._crashes.popitem(last=False)
            changed = True
        if changed or any(self._quarantines[content].until <= now for content in self._active):
            self._decide(now)

    def _decide(self, now: float) -> None:
        unexplained = [
            (crash.last_answer_at, self._suspects(crash, now)) for crash in self._crashes.values()
        ]
        self._accused = frozenset().union(*(suspects for _, suspects in unexplained))
        causes: set[bytes] = set()
        while True:
            crashes = Counter(content for _, suspects in unexplained for content in suspects)
            found = self._most_suspected(crashes, now)
            if not found:
                break
            causes |= found
            for content in found:
                last_answer_at = max(at for at, suspects in unexplained if content in suspects)
                self._quarantine(content, last_answer_at, now)
            unexplained = [(at, suspects) for at, suspects in unexplained if not suspects & found]
        open_suspects = frozenset().union(*(suspects for _, suspects in unexplained))
        for content, quarantine in list(self._quarantines.items()):
            cleared = _clears(self._answered_at.get(content), quarantine.last_answer_at)
            # Later crashes may show that other contents explain those of this one.
            explained = content in self._accused - causes - open_suspects
            if cleared or (explained and quarantine.count == 1):
                del self._quarantines[content]
        self._active = frozenset(
            content for content, quarantine in self._quarantines.items() if quarantine.until > now
        )
        self._on_trial = frozenset(self._quarantines.keys() - self._active)

    def _suspects(self, crash: _Crash, now: float) -> set[bytes]:
        """Returns the contents that may have caused a crash."""
        return {
            content
            for content in crash.suspects
            if not _clears(self._answered_at.get(content), crash.last_answer_at)
            and not self._was_quarantined_for(content, crash, now)
        }

    def _was_quarantined_for(self, content: bytes, crash: _Crash, now: float) -> bool:
        quarantine = self._quarantines.get(content)
        return quarantine is not None and quarantine.until <= now and crash.at <= quarantine.until

    def _most_suspected(self, crashes: Counter[bytes], now: float) -> set[bytes]:
        """Returns the contents to quarantine first; empty if none has enough crashes."""
        known = {
            content
            for content in crashes
            for quarantine in [self._quarantines.get(content)]
            if quarantine is not None and (quarantine.count > 1 or quarantine.until <= now)
        }
        if known:
            return known
        most = max(crashes.values(), default=0)
        if most < MIN_CRASHES:
            return set()
        causes = {content for content, count in crashes.items() if count == most}
        # Of contents with equal counts, one that is quarantined already explains the crashes; and the
        # cause is never answered completely.
        return (
            causes & self._active
            or {content for content in causes if content not in self._answered_at}
            or causes
        )

    def _quarantine(self, content: bytes, last_answer_at: float, now: float) -> None:
        quarantine = self._quarantines.get(content)
        if quarantine is not None and quarantine.until > now:
            quarantine.last_answer_at = max(last_answer_at, quarantine.last_answer_at)
            return
        count = 1 if quarantine is None else quarantine.count + 1
        duration_s = min(MAX_QUARANTINE_S, QUARANTINE_S * QUARANTINE_GROWTH ** min(count - 1, 30))
        self._quarantines[content] = _Quarantine(now + duration_s, last_answer_at, count)
        self._quarantines.move_to_end(content)
        if len(self._quarantines) > MAX_QUARANTINED:
            self._quarantines.popitem(last=False)


def _clears(answered_at: float | None, last_answer_at: float) -> bool:
    """Returns whether an answer shows that its content did not cause a crash.

    Args:
      answered_at: Unix seconds of the answer, or None if there was none.
      last_answer_at: Unix seconds of the latest answer with any content before the crash.
    """
    return answered_at is not None and last_answer_at <= answered_at + CLEARED_S
