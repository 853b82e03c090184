"""Placement of requests under overload, simulated on the decision code of the gateways."""

from collections import Counter
from random import Random

import pytest

from bench._overload_model import Arrival, Layout, OverloadModel, Way

#: 60 engines serve about 300 requests a second.
LAYOUT = Layout(regions=5, gateways_per_region=7, engines_per_region=12)
SECONDS, RATE = 5, 390
BEFORE = Way("before", False, False)
NOW = Way("now", True, True)


def load(seed):
    rng = Random(seed)
    targets = {"short": 0.5, "long": 1.5}
    arrivals = [
        Arrival(
            rng.uniform(0, SECONDS),
            rng.randrange(LAYOUT.regions),
            1,
            rng.randrange(200, 1500),
            rng.randrange(10, 140),
            targets[name],
            name,
        )
        for name in rng.choices(list(targets), k=SECONDS * RATE)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def outcomes(way, seed):
    model = OverloadModel(LAYOUT, load(seed), way, seed)
    model.run()
    counts = Counter()
    for (_, name, outcome), count in model.outcomes.items():
        counts[name, outcome] += count
    return counts


@pytest.mark.parametrize("seed", [1, 2])
def test_more_requests_are_on_time_when_all_gateways_overflow(seed):
    """Guards against gateways that all send to the far engines which reported free places.

    Load pattern: the engines of all regions are full, almost a third more arrives than they can serve.
    """
    before, now = outcomes(BEFORE, seed), outcomes(NOW, seed)
    for name in ("short", "long"):
        assert now[name, "on time"] > before[name, "on time"], name
        assert now[name, "late"] < before[name, "late"], name
