"""The client of the engine on the same VM."""

import pytest

from fescuechute.checks import Address
from fescuechute.net import HttpResult
from fescuechute.platform import EngineClient, LoadOrderOutcome


class HttpClientStandIn:
    """Ends each call with a result."""

    def __init__(self, result: HttpResult):
        self._result = result

    def call(self, _method, _server, _path, on_end, **_options) -> None:
        on_end(self._result)


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (HttpResult(202, b"", "", sent=True), LoadOrderOutcome.STARTED),
        (HttpResult(200, b"", "", sent=True), LoadOrderOutcome.DONE),
        (HttpResult(409, b"", "", sent=True), LoadOrderOutcome.CONFLICT),
        (HttpResult(400, b"", "", sent=True), LoadOrderOutcome.REFUSED),
        (HttpResult(500, b"", "", sent=True), LoadOrderOutcome.UNKNOWN),
        (HttpResult(503, b"", "", sent=True), LoadOrderOutcome.UNKNOWN),
        (HttpResult(0, b"", "silent", sent=True), LoadOrderOutcome.UNKNOWN),
        (HttpResult(0, b"", "refused", sent=False), LoadOrderOutcome.REFUSED),
    ],
)
def test_outcome_of_an_order(result, outcome):
    """Guards against staging another version while an engine may still accept an order."""
    outcomes = []
    client = EngineClient(HttpClientStandIn(result), Address("127.0.0.1", 1))
    client.order_load(
        "m", 2, lambda *args: outcomes.append(args[0]), expected_orders=1, send_deadline=9.0
    )
    assert outcomes == [outcome]
