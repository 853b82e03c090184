"""Metrics: guards against a statsd server that slows down or fails requests."""

import socket
import time

import pytest

from fescuechute.checks import Address
from fescuechute.metrics import Metrics


@pytest.fixture
def receiver():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        yield sock


def address_of(sock):
    return Address("127.0.0.1", sock.getsockname()[1])


def test_metrics_are_sent_with_prefix(receiver):
    """Dashboards select metrics by their full names."""
    metrics = Metrics(address_of(receiver), "fescuechute.e1")
    metrics.count("refused.busy", 2)
    metrics.gauge("queued", 7)
    metrics.timing("first_token", 1.5)
    received = [receiver.recv(1000) for _ in range(3)]
    assert received == [
        b"fescuechute.e1.refused.busy:2|c",
        b"fescuechute.e1.queued:7|g",
        b"fescuechute.e1.first_token:1.500000|ms",
    ]


def test_reserved_characters_are_replaced(receiver):
    """Guards against a workspace name that injects another metric into the datagram."""
    metrics = Metrics(address_of(receiver), "p")
    metrics.count("served.a:9|c\nforgéd")
    assert receiver.recv(1000) == b"p.served.a_9_c_forg_d:1|c"


def test_totals_are_kept_without_a_statsd_server():
    """The status page must show refusals in a deployment without statsd."""
    metrics = Metrics(None, "p")
    metrics.count("refused.busy")
    metrics.count("refused.busy", 3)
    metrics.gauge("queued", 5)
    metrics.gauge("queued", 4)
    metrics.timing("t", 2.0)
    metrics.timing("t", 3.0)
    assert metrics.totals == {"refused.busy": 4, "queued": 4, "t.count": 2, "t.sum_ms": 5.0}


def test_unreachable_statsd_server_neither_raises_nor_blocks(receiver):
    """A send error or a full send buffer must only lose the datagram."""
    unreachable = address_of(receiver)
    receiver.close()
    metrics = Metrics(unreachable, "p")
    started = time.monotonic()
    for _ in range(2000):
        metrics.count("n")
    assert time.monotonic() - started < 5.0
    assert metrics.totals["n"] == 2000


def test_totals_are_kept_if_the_socket_cannot_be_opened(monkeypatch):
    """Guards against a process that does not start because its metrics socket cannot be opened."""

    def fail_to_open(*_args):
        raise OSError("Too many open files")

    monkeypatch.setattr(socket, "socket", fail_to_open)
    metrics = Metrics(Address("127.0.0.1", 8125), "p")
    metrics.count("n")
    assert metrics.totals == {"n": 1}


def test_totals_are_kept_after_close(receiver):
    """A draining process still counts after it has closed its metrics socket."""
    metrics = Metrics(address_of(receiver), "p")
    metrics.close()
    metrics.close()
    metrics.count("n")
    assert metrics.totals == {"n": 1}
