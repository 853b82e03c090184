"""Ordered prefix of one log stream."""


class StreamView:
    def __init__(self, stream):
        self.first = 0
        self.next_offset = 0
        self._records = []

    def apply(self, first, records, oldest):
        if not self._records and oldest > self.next_offset:
            self.first = self.next_offset = oldest
        fresh = [r for r in records if r["offset"] >= self.next_offset]
        if not fresh or fresh[0]["offset"] != self.next_offset:
            return []
        self._records += fresh
        self.next_offset = fresh[-1]["offset"] + 1
        return fresh

    def since(self, offset, limit):
        return [r for r in self._records if r["offset"] >= offset][:limit]
