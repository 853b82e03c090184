"""Share of the places of a far replica: guards against gateways that all take the same places."""

from random import Random

import attrs
import pytest

from fescuechute.catalog import EngineReport
from fescuechute.gateway import SpillQuota
from fescuechute.gateway._spill import WINDOW_S
from tests.gateway.transfer_harness import make_row

MAX_REQUESTS = 8


@attrs.define
class Gateway:
    """The quota of one gateway and its row of one replica."""

    quota: SpillQuota
    row: object

    def send_all(self, now, gateways):
        """Sends as many requests as allowed; returns their number."""
        sent = 0
        while sent < 100 and self.quota.allows(self.row, MAX_REQUESTS, gateways, now):
            self.row.sent_since_report += 1
            sent += 1
        return sent


def report(running):
    return EngineReport((), False, 0, 0, running, 0, 0, 1.0, 5)


def make_gateways(count, running=None):
    gateways = [Gateway(SpillQuota(Random(n)), make_row("far")) for n in range(count)]
    for gateway in gateways:
        if running is not None:
            gateway.row.apply_report(report(running), 1.0)
    return gateways


@pytest.mark.parametrize("count", [10, 35, 350])
@pytest.mark.parametrize("running", [0, 6])
def test_gateways_together_send_a_small_multiple_of_the_free_places(count, running):
    """Guards against an error that grows with the number of gateways that see one free engine."""
    sent = sum(gateway.send_all(1.0, count) for gateway in make_gateways(count, running))
    free = MAX_REQUESTS - running
    assert free / 2 <= sent <= 4 * free


def test_single_gateway_uses_all_free_places():
    """Guards against places that stay empty where no other gateway could take them."""
    (gateway,) = make_gateways(1, running=3)
    assert gateway.send_all(1.0, 1) >= MAX_REQUESTS - 3


def test_full_replica_gets_nothing():
    """Guards against requests that queue at an engine which has reported that it is full."""
    assert not any(gateway.send_all(1.0, 10) for gateway in make_gateways(10, running=8))


def test_next_report_gives_new_places():
    """Guards against a gateway that stops sending to a far region after the first requests."""
    (gateway,) = make_gateways(1, running=0)
    first = gateway.send_all(1.0, 2)
    assert not gateway.send_all(1.5, 2)
    gateway.row.apply_report(report(0), 2.0)
    assert gateway.send_all(2.0, 2) == first


def test_places_are_free_again_if_no_report_arrives():
    """Guards against engines that get nothing from other regions while their stager is away."""
    (gateway,) = make_gateways(1, running=0)
    first = gateway.send_all(1.0, 2)
    assert not gateway.send_all(1.0 + WINDOW_S - 0.1, 2)
    assert gateway.send_all(1.0 + WINDOW_S, 2) == first


def test_replica_that_never_reported_has_no_quota():
    """Guards against plain services, which report no load, that are refused to other regions."""
    (gateway,) = make_gateways(1)
    assert gateway.send_all(1.0, 1000) == 100
