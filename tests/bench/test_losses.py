"""The account of lost requests: outcomes, their causes, and logs that are incomplete."""

import gzip
import json

import pytest

from bench.losses import account, cause, losses, read_lines

SERVED = {
    "event": "request",
    "at": 10.4,
    "node": "front-norte-mty-3",
    "route": "r-1",
    "status": 200,
    "reason": "",
    "first_ms": 300,
    "ms": 400,
    "target_ms": 600,
    "gap_ms": 100,
    "max_gap_ms": 600,
}
FULL = {"known": 10, "up": 8, "able": 8, "free": 0, "version": 0}


def refused(shortage):
    return SERVED | {"status": 503, "reason": "no_upstream", "shortage": shortage, "ms": 0}


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        pytest.param(SERVED, "on time", id="on_time"),
        pytest.param(SERVED | {"first_ms": 601}, "late", id="first_event_late"),
        pytest.param(SERVED | {"gap_ms": 601}, "late", id="pause_too_long"),
        pytest.param(SERVED | {"first_ms": None, "ms": 700}, "late", id="whole_response_late"),
        pytest.param(SERVED | {"status": 499, "reason": "cancelled"}, "not owed", id="client_left"),
        pytest.param(
            SERVED | {"status": 401, "reason": "unknown_key"}, "not owed", id="unknown_key"
        ),
        pytest.param(
            SERVED | {"status": 503, "reason": "overloaded"}, "refused: overloaded", id="overloaded"
        ),
        pytest.param(
            SERVED | {"status": 502, "reason": "upstream_lost"},
            "failed: upstream_lost",
            id="upstream_lost",
        ),
        pytest.param(SERVED | {"status": 500}, "failed: status 500", id="error_of_a_replica"),
        pytest.param(refused(FULL), "refused: replicas full", id="full"),
        pytest.param(refused(FULL | {"up": 0}), "refused: no replica reachable", id="unreachable"),
        pytest.param(
            refused(FULL | {"able": 0, "version": 3}),
            "refused: no replica holds the version",
            id="no_version",
        ),
        pytest.param(refused(FULL | {"able": 0}), "refused: all replicas load", id="all_load"),
        pytest.param(
            refused(FULL | {"able": 2}),
            "refused: full, most replicas load or lack the version",
            id="most_load",
        ),
    ],
)
def test_cause_of_one_request(line, expected):
    """Guards against a loss that is counted under the wrong cause."""
    assert cause(line) == expected


def test_account_names_classes_and_zones_from_the_first_arrival():
    """Guards against times of the end of a request, and against classes that are mixed up."""
    later = refused(FULL) | {"at": 12.0, "node": "front-sur-vhs-1", "target_ms": 500}
    found = account([later, SERVED], {600: "summary"})
    assert [(o.at, o.request_class, o.zone) for o in found.outcomes] == [
        (2.0, "other", "sur-vhs"),
        (0.0, "summary", "norte-mty"),
    ]
    assert losses(found.outcomes) == {("other", "refused: replicas full"): 1}


def test_dropped_lines_are_counted_and_unrouted_requests_left_out():
    """Guards against an account that hides that it is incomplete."""
    lines = [
        {"event": "log.dropped", "at": 1.0, "lines": 7},
        SERVED | {"route": None, "status": 404, "reason": "not_found"},
        {"event": "attempt", "at": 1.0},
    ]
    found = account(lines, {})
    assert (found.dropped_lines, found.outcomes) == (7, [])


@pytest.mark.parametrize("name", ["replay.log", "replay.log.gz"])
def test_lines_of_a_log(tmp_path, name):
    """Guards against a log that cannot be read because of other text, cut lines or compression."""
    path = tmp_path / name
    line = json.dumps({"at": 1.0, "event": "start"}).encode()
    text = b"built in 2 s\n   1.0 front-a-1 " + line + b"\n" + line[:-5] + b"\n"
    path.write_bytes(gzip.compress(text) if name.endswith(".gz") else text)
    assert list(read_lines(path)) == [{"at": 1.0, "event": "start"}]
