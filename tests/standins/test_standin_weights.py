"""Weight store and origin stand-in: limits and faults take effect, and counters are exact."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from blake3 import blake3

from tests.harness import HttpFailedError, http_bytes, http_json, set_faults, start_weights

BLOB = bytes(range(256)) * 1000
BLOB_DIGEST = blake3(BLOB).hexdigest()


@pytest.fixture
def port(fleet):
    port = start_weights(fleet).port
    assert http_bytes("PUT", port, f"/blobs/{BLOB_DIGEST}", BLOB)[0] == 200
    return port


def get_blob(port):
    return http_bytes("GET", port, f"/blobs/{BLOB_DIGEST}")


def test_blobs_are_verified_counted_and_returned(port):
    """Benchmarks take the bytes served by the origin from these counters."""
    assert http_bytes("PUT", port, f"/blobs/{BLOB_DIGEST}", BLOB[:-1])[0] == 422
    assert http_bytes("GET", port, f"/blobs/{'0' * 64}")[0] == 404
    assert [get_blob(port) for _ in range(2)] == [(200, BLOB)] * 2
    stats = http_json("GET", port, "/stats")[1]
    assert stats["blobs"] == {BLOB_DIGEST: {"requests": 2, "bytes": 2 * len(BLOB)}}
    assert (stats["requests"], stats["bytes"]) == (2, 2 * len(BLOB))


def test_responses_share_one_link(port):
    """A rate limit per response would let concurrent downloads exceed the link's rate."""
    rate = 1_000_000
    set_faults(port, bytes_per_s=rate)
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        assert list(pool.map(get_blob, [port] * 4)) == [(200, BLOB)] * 4
    # The link may use a credit of up to 2 ms of idle time.
    assert time.monotonic() - started >= 4 * len(BLOB) / rate - 0.01


def test_requests_above_the_rate_limit_are_rejected(port):
    """Without an enforced limit, a design in which every VM fetches every chunk here would pass."""
    set_faults(port, requests_per_s=10)
    statuses = [get_blob(port)[0] for _ in range(20)]
    assert set(statuses) == {200, 429}
    assert http_json("GET", port, "/stats")[1]["refused"] == statuses.count(429)


def test_every_nth_response_is_corrupt(port):
    """A corrupt response has the right status and length, so only the digest reveals it."""
    set_faults(port, corrupt_every_n=3)
    responses = [get_blob(port) for _ in range(6)]
    assert [body == BLOB for _, body in responses] == [True, True, False] * 2
    assert all((status, len(body)) == (200, len(BLOB)) for status, body in responses)


def test_outage_delay_and_lost_response(port):
    """The store can be down, slow, or drop the response to a PUT that took effect."""
    set_faults(port, down=True)
    assert get_blob(port)[0] == 503
    set_faults(port, down=False, slow=0.3)
    started = time.monotonic()
    assert get_blob(port) == (200, BLOB)
    assert time.monotonic() - started >= 0.3
    set_faults(port, slow=0, lose_answers=1)
    other_digest = blake3(b"other").hexdigest()
    with pytest.raises(HttpFailedError):
        http_bytes("PUT", port, f"/blobs/{other_digest}", b"other")
    assert http_bytes("GET", port, f"/blobs/{other_digest}") == (200, b"other")
