"""Addresses that the operating system does not take: guards against errors that end a tick."""

import pytest

from fescuechute.net import DatagramSocket, Loop, SocketOwner
from fescuechute.wire import Ping

UNUSABLE = [
    ("port over 65535", "127.0.0.1", 70_000),
    ("negative port", "127.0.0.1", -1),
    ("port over 64 bits", "127.0.0.1", 1 << 64),
    ("IPv6 address", "::1", 80),
    ("host name", "a.invalid", 80),
    ("no address", "", 80),
    ("null in the address", "127.0.0.1\0", 80),
    ("surrogate in the address", "\ud800", 80),
]


@pytest.fixture
def loop():
    loop = Loop(lambda _now: None, lambda: None, 0.02)
    yield loop
    loop.close()


@pytest.mark.parametrize(("name", "ip", "port"), UNUSABLE)
def test_connection_to_an_unusable_address_fails_like_any_other(loop, name, ip, port):
    """Guards against a call that never ends, and against a lookup of a host name that blocks."""
    owner = SocketOwner("owner")
    loop.add(owner)
    conn = owner.open_connection(ip, port)
    reasons = []
    conn.on_closed = reasons.append
    conn.write(b"request")
    assert reasons == [], "the caller sets its callbacks first"
    owner.run_deferred()
    assert len(reasons) == 1 and not conn.is_open, name


@pytest.mark.parametrize(("name", "ip", "port"), UNUSABLE)
def test_datagram_to_an_unusable_address_is_dropped_and_counted(loop, name, ip, port):
    """Guards against a tick that ends before it has served the other peers."""
    counted = []
    datagrams = DatagramSocket(lambda _sender, _msg: None, counted.append)
    loop.add(datagrams)
    datagrams.open("127.0.0.1", 0)
    datagrams.send((ip, port), Ping(0.0))
    assert len(counted) == 1, name
