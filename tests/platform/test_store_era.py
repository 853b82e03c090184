"""Era of the store in its answers: guards against answers that count as of the wrong era."""

import struct

import pytest

from fescuechute.checks import Address
from fescuechute.feeds import Delivery, Failure, RecordBatch, Trimmed
from fescuechute.net import HttpResult
from fescuechute.platform import StoreClient

EMPTY = struct.pack(">QQ", 5, 0)
SIZE = Delivery(size=len(EMPTY))


def ask(result):
    """Returns the outcome of a read, and the eras that were reported."""

    class Http:
        def call(self, *args, **_options):
            args[3](result)

    outcomes, eras = [], []
    StoreClient(Http(), Address("10.0.0.1", 80), eras.append).read("t", 5, 0.0, outcomes.append)
    return outcomes[0], eras


def answer(status, *eras, body=b"", error=""):
    headers = tuple((b"store-era", era) for era in eras)
    return HttpResult(status, body, error, True, headers=headers)


@pytest.mark.parametrize(
    ("result", "outcome", "eras"),
    [
        (answer(200, b"7", body=EMPTY), RecordBatch((), 5, SIZE, era=7), [7]),
        (answer(200, body=EMPTY), RecordBatch((), 5, SIZE), [0]),
        (answer(410, b"7"), Trimmed(7), [7]),
        (answer(429, b"7"), Failure("status 429", 7), [7]),
        (answer(503, b"7"), Failure("status 503", 7), [7]),
        (answer(200, b"7", error="silent"), Failure("silent", 7), [7]),
        (answer(0, error="silent"), Failure("silent"), []),
    ],
)
def test_era_is_read_from_every_answer_with_a_head(result, outcome, eras):
    """Guards against a return that a reader misses because the answer was an error."""
    assert ask(result) == (outcome, eras)


@pytest.mark.parametrize(
    "eras", [(b"-1",), (b"1.5",), (b"",), (b"x",), (b"9" * 17,), (b"9" * 9999,), (b"1", b"2")]
)
def test_malformed_era_is_a_failure(eras):
    """Guards against an era that makes all later answers count as old."""
    outcome, reported = ask(answer(200, *eras, body=EMPTY))
    assert isinstance(outcome, Failure) and outcome.reason.startswith("malformed era of the store")
    assert (outcome.era, reported) == (None, [])
