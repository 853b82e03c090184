"""Questions for what the store has lost: guards against a process that serves by the copy."""

from random import Random

import pytest

from fescuechute.feeds import EraWatch, KeyedRecord
from fescuechute.relay import KeptQuery
from fescuechute.relay._kept import SPREAD_S
from tests.relay.relay_harness import RELAYS, FakeHttp, make_result
from tests.relay.test_eras import encoded

COPY, KEPT = KeyedRecord(1, "config", b"7", 2), KeyedRecord(8, "config", b"9", 1)


class Query:
    """A query, and the records that it passed on."""

    def __init__(self):
        self.http, self.records, self.eras = FakeHttp(), [], EraWatch()
        self.query = KeptQuery("t", self.http, self.eras, self.on_record, Random(1))

    def on_record(self, record, appended_after, delivery):
        self.records.append((record, appended_after, delivery.source))

    def run(self, result, start=100.0):
        """Lets the query call until its time is over; returns the relays that it called."""
        asked, now = [], start
        while now < start + 2 * SPREAD_S:
            self.query.tick(now, RELAYS)
            while self.http.calls:
                ip, _, _, on_end = self.http.calls.pop()
                asked.append(ip)
                on_end(result)
            now += 0.02
        return sorted(asked)


@pytest.mark.parametrize(
    ("result", "records"),
    [
        (encoded(KEPT, COPY, era=2), [KEPT]),
        (encoded(KEPT, era=1), []),
        (make_result(503), []),
        (make_result(body=b"x"), []),
    ],
)
def test_each_relay_is_asked_in_an_era_until_it_tells_what_it_keeps(result, records):
    """Guards against a region that asks again and again, and against records of the copy."""
    query = Query()
    query.eras.observe(2, 99.0)
    assert query.run(result) == []
    for _ in range(2):
        query.query.start(2, 100.0)
        query.records.clear()
        asked = query.run(result)
    assert asked == []
    query.query.start(3, 110.0)
    asked = query.run(result, 110.0)
    assert set(asked) == {relay.ip for relay in RELAYS}
    assert [record for record, _, _ in query.records] == 2 * records
    # One that is still reading the era refuses at first.
    assert query.query.has_answer is bool(records)
    assert len(asked) == 2 if records else 2 < len(asked) <= 5


def test_relay_that_still_reads_the_era_is_asked_again():
    """Guards against a gateway that serves by the copy because the relays refused it once."""
    query = Query()
    query.eras.observe(2, 99.0)
    query.query.start(2, 100.0, spread_s=0.0)
    results = iter([make_result(503), make_result(503), encoded(KEPT, COPY, era=2)])
    for step in range(100):
        query.query.tick(100.0 + step / 50, RELAYS)
        for _, path, _, on_end in query.http.calls:
            assert path.endswith("&era=2")
            on_end(next(results, encoded(COPY, era=2)))
        query.http.calls.clear()
    assert [record for record, _, _ in query.records] == [KEPT]
