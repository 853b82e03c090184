"""State of the metadata store: keyed topics, copies of them, and returns to a copy."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence

import attrs


@attrs.frozen
class Record:
    """One record of a topic."""

    key: str
    #: Empty if the record deletes the key.
    value: bytes
    #: Unix seconds at which it was appended.
    at: float


@attrs.define
class Topic:
    """The records of one topic by offset."""

    records: list[Record] = attrs.field(factory=list)
    #: Offset of the first record that reads return; the newest record of each key is kept beside.
    first: int = 0
    #: Unix seconds and new first offset of each trim.
    trims: list[tuple[float, int]] = attrs.field(factory=list)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return len(self.records)

    def has_offset(self, offset: int) -> bool:
        """Returns whether a read may start at an offset; the end is one of them."""
        return self.first <= offset <= self.end

    def newest(self, after: str, limit: int) -> tuple[list[tuple[int, Record]], bool]:
        """Returns the newest records of the keys after a key in key order, and whether more follow."""
        newest = {record.key: (offset, record) for offset, record in enumerate(self.records)}
        items = [newest[key] for key in sorted(newest) if key > after and newest[key][1].value]
        return items[:limit], len(items) > limit

    def as_of(self, at: float) -> Topic:
        """Returns a copy with what the topic held at a time in unix seconds."""
        trims = [trim for trim in self.trims if trim[0] <= at]
        records = [record for record in self.records if record.at <= at]
        return Topic(records, trims[-1][1] if trims else 0, trims)


@attrs.frozen
class LostRecord:
    """A record that a return lost, with the offset that it had."""

    topic: str
    offset: int
    key: str
    value: bytes


Topics = dict[str, Topic]


class Log:
    """All topics in the present era, and what is needed to go back to earlier states.

    Args:
      era: Number of the first era.
      now: Unix seconds.
    """

    def __init__(self, era: int, now: float):
        self.era = era
        self.topics: Topics = defaultdict(Topic)
        #: Start of each era in unix seconds, with its topics, which change until the era ends.
        self._eras: list[tuple[float, Topics]] = [(now, self.topics)]
        self._copy: Topics | None = None
        #: Records that returns lost and that were not written again.
        self.lost: list[LostRecord] = []

    def append(self, topic: str, key: str, value: bytes, now: float) -> int:
        """Appends a record and returns its offset."""
        self.topics[topic].records.append(Record(key, value, now))
        return self.topics[topic].end - 1

    def trim(self, topic: str, before: int, now: float) -> int:
        """Deletes the records before an offset and returns the first retained offset."""
        trimmed = self.topics[topic]
        trimmed.first = max(trimmed.first, min(before, trimmed.end))
        trimmed.trims.append((now, trimmed.first))
        return trimmed.first

    def take_copy(self, now: float) -> None:
        """Takes a copy of the present state."""
        self._copy = self._as_of(now)

    def copy_of_age(self, age_s: float | None, now: float) -> Topics:
        """Returns the state of `age_s` seconds ago, or the last copy that was taken.

        Raises:
          ValueError: No copy was taken, or the store did not exist then.
        """
        if age_s is None:
            if self._copy is None:
                raise ValueError("no copy was taken; POST /copy takes one")
            return {name: attrs.evolve(topic) for name, topic in self._copy.items()}
        if now - age_s < self._eras[0][0]:
            oldest_s = now - self._eras[0][0]
            raise ValueError(f"the age is {age_s} s, but the store exists for {oldest_s:.3f} s")
        return self._as_of(now - age_s)

    def return_to(self, copy: Topics, now: float) -> None:
        """Starts the next era with the state of a copy."""
        for name, topic in self.topics.items():
            kept = _common_length(topic.records, copy.get(name, Topic()).records)
            lost = enumerate(topic.records[kept:], kept)
            self.lost += [LostRecord(name, n, record.key, record.value) for n, record in lost]
        self.era += 1
        self.topics = defaultdict(Topic)
        for name, topic in copy.items():
            self.topics[name] = Topic(list(topic.records), topic.first, list(topic.trims))
        self._eras.append((now, self.topics))

    def order_lost(self, topic: str, order: str, seed: int) -> list[LostRecord]:
        """Returns the lost records in the order in which they are to be written again.

        Args:
          topic: Topic of the records; empty for all topics.
          order: `same`, `reversed` or `shuffled`.
          seed: Seed of the shuffled order.

        Raises:
          ValueError: The order is unknown.
        """
        lost = [record for record in self.lost if topic in ("", record.topic)]
        if order == "reversed":
            lost.reverse()
        elif order == "shuffled":
            random.Random(seed).shuffle(lost)
        elif order != "same":
            raise ValueError(f"unknown order {order!r}; known: same, reversed, shuffled")
        return lost

    def rewrite(self, record: LostRecord, now: float) -> int:
        """Writes a lost record again and returns its new offset."""
        self.lost.remove(record)
        return self.append(record.topic, record.key, record.value, now)

    def _as_of(self, at: float) -> Topics:
        topics = [topics for started_at, topics in self._eras if started_at <= at][-1]
        return {name: topic.as_of(at) for name, topic in topics.items()}


def _common_length(a: Sequence[Record], b: Sequence[Record]) -> int:
    """Returns the number of first records that two logs share."""
    pairs = enumerate(zip(a, b, strict=False))
    return next((n for n, (x, y) in pairs if x is not y), min(len(a), len(b)))
