"""Counters."""
from collections import Counter


class Metrics:
    def __init__(self, address, prefix):
        self.totals = Counter()

    def count(self, name, n=1):
        self.totals[name] += n
