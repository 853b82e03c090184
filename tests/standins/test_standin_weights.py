"""Store and origin stand-in: guards against limits and faults that do nothing."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from blake3 import blake3

from tests.harness import HttpFailedError, http_bytes, http_json, set_faults, start_weights

BLOB = bytes(range(256)) * 1000
HEX = blake3(BLOB).hexdigest()


@pytest.fixture
def port(fleet):
    port = start_weights(fleet).port
    assert http_bytes("PUT", port, f"/blobs/{HEX}", BLOB)[0] == 200
    return port


def get(port):
    return http_bytes("GET", port, f"/blobs/{HEX}")


def test_blobs_are_checked_counted_and_returned(port):
    """The figures on origin bytes come from these counts."""
    assert http_bytes("PUT", port, f"/blobs/{HEX}", BLOB[:-1])[0] == 422
    assert http_bytes("GET", port, f"/blobs/{'0' * 64}")[0] == 404
    assert [get(port) for _ in range(2)] == [(200, BLOB)] * 2
    stats = http_json("GET", port, "/stats")[1]
    assert stats["blobs"] == {HEX: {"requests": 2, "bytes": 2 * len(BLOB)}}
    assert (stats["requests"], stats["bytes"]) == (2, 2 * len(BLOB))


def test_responses_share_one_link(port):
    """A limit for each response would let a burst draw any number of copies at once."""
    rate = 1_000_000
    set_faults(port, bytes_per_s=rate)
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        assert list(pool.map(get, [port] * 4)) == [(200, BLOB)] * 4
    # The link may use up to 2 ms that a timer was late.
    assert time.monotonic() - started >= 4 * len(BLOB) / rate - 0.01


def test_requests_beyond_the_rate_are_refused(port):
    """Without the limit, asking the store for every chunk from every VM would pass."""
    set_faults(port, requests_per_s=10)
    statuses = [get(port)[0] for _ in range(20)]
    assert set(statuses) == {200, 429}
    assert http_json("GET", port, "/stats")[1]["refused"] == statuses.count(429)


def test_every_nth_response_is_corrupt(port):
    """Verification is tested only if wrong bytes arrive in a response that looks right."""
    set_faults(port, corrupt_every_n=3)
    answers = [get(port) for _ in range(6)]
    assert [body == BLOB for _, body in answers] == [True, True, False] * 2
    assert all((status, len(body)) == (200, len(BLOB)) for status, body in answers)


def test_down_slow_and_lost_answers(port):
    """The store can be down, slow, or lose an answer to a put that took effect."""
    set_faults(port, down=True)
    assert get(port)[0] == 503
    set_faults(port, down=False, slow=0.3)
    started = time.monotonic()
    assert get(port) == (200, BLOB)
    assert time.monotonic() - started >= 0.3
    set_faults(port, slow=0, lose_answers=1)
    other = blake3(b"other").hexdigest()
    with pytest.raises(HttpFailedError):
        http_bytes("PUT", port, f"/blobs/{other}", b"other")
    assert http_bytes("GET", port, f"/blobs/{other}") == (200, b"other")
