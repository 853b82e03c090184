"""Eras: guards against a return that nobody notices, and against one that is only imagined."""

from fescuechute.feeds import EraWatch, Position


def test_only_a_newer_era_than_a_known_one_is_a_rise():
    """Guards against feeds that read anew after each start, or because of a late answer."""
    rises = []
    watch = EraWatch(lambda *args: rises.append(args))
    steps = [(3, False), (3, False), (5, True), (4, False), (6, True)]
    for now, (era, is_rise) in enumerate(steps):
        assert watch.observe(era, float(now), "store") is is_rise
    assert rises == [(3, 5, "store"), (5, 6, "store")]
    assert (watch.newest, watch.seen_at, watch.risen_at) == (6, 4.0, 4.0)


def test_positions_are_ordered_by_era_first():
    """Guards against a record of a lost stretch that counts as newer than one written since."""
    assert Position(1, 2) > Position(0, 9)
