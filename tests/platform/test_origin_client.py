"""Connections of the stagers to the origin of weights."""

import json
import queue

import pytest

from fescuechute.checks import Address
from fescuechute.net import HttpClient
from fescuechute.platform import OriginClient
from tests.forwarding.harness import TIMEOUT_S, RawUpstream, read_until, running_loop

MANIFEST = json.dumps({"model": "m", "version": 2, "digests": ["00" * 32]}).encode()
#: Seconds within which a connection that is no longer used must be free for another stager.
RELEASE_S = 1.0


@pytest.mark.parametrize("kind", ["manifest", "chunk"])
def test_origin_connection_is_released_after_its_last_use(kind):
    """Guards against stagers that are turned away while others keep idle connections to the origin.

    Load pattern: a version is declared on a site with more engines than the origin accepts connections.
    """
    upstream, results = RawUpstream(), queue.Queue()
    with running_loop(HttpClient) as (loop, http):
        client, origin = OriginClient(http), Address("127.0.0.1", upstream.port)
        if kind == "manifest":
            loop.call_at(0.0, lambda: client.fetch_manifest(origin, "m", 2, results.put))
        else:
            loop.call_at(
                0.0, lambda: client.fetch_chunk(origin, "m", 2, 0, results.put, max_bytes=1000)
            )
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(MANIFEST)
        conn.sendall(head + MANIFEST)
        expected = (bytes(32),) if kind == "manifest" else MANIFEST
        assert results.get(timeout=TIMEOUT_S) == expected
        conn.settimeout(RELEASE_S)
        assert conn.recv(1) == b""


def test_dropped_version_is_told_from_a_failure():
    """Guards against a version that the origin has dropped and that is requested again and again."""
    upstream, results = RawUpstream(), queue.Queue()
    with running_loop(HttpClient) as (loop, http):
        client, origin = OriginClient(http), Address("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.fetch_manifest(origin, "m", 1, results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
        assert results.get(timeout=TIMEOUT_S) is None
