"""Metadata store stand-in: guards against returns that are kinder than those of the platform."""

import http.client
import json
import struct
import threading
import time

import pytest

from standins.platform.store import NEWEST_PATH, READ_PATH
from tests.harness import HttpFailedError, http_json, set_faults
from tests.harness import wait_until as wait_for

TOPIC = "keyed.t"


class Answer:
    """Status, era and body of a response of the store."""

    def __init__(self, response):
        self.status = response.status
        self.era = int(response.getheader("Store-Era"))
        self.body = response.read()

    @property
    def keys(self):
        """Keys of the records of a read."""
        keys, position = [], 16
        while position < len(self.body):
            (length,) = struct.unpack_from(">I", self.body, position)
            key_end = position + 5 + self.body[position + 4]
            keys.append(self.body[position + 5 : key_end].decode())
            position += 4 + length
        return keys


def call(port, path, method="GET", body=None):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        conn.request(method, path, body=body)
        return Answer(conn.getresponse())
    except (OSError, http.client.HTTPException) as exc:
        raise HttpFailedError(str(exc)) from exc
    finally:
        conn.close()


def read(port, offset, wait_ms=0):
    query = f"topic={TOPIC}&part=0&from={offset}&wait_ms={wait_ms}"
    return call(port, f"{READ_PATH}?{query}")


def page(port, after=""):
    answer = call(port, f"{NEWEST_PATH}?topic={TOPIC}&part=0&after={after}")
    body = json.loads(answer.body)
    return answer.era, [item["key"] for item in body["items"]], body["has_more"]


def put(port, *keys):
    for key in keys:
        assert call(port, f"/records/{TOPIC}/{key}", "PUT", b"v").status == 200


def come_back(port, age_s="copy", **options):
    status, body = http_json("POST", port, "/return", {"age_s": age_s, **options})
    assert status == 200, body
    return body


def records(port):
    return [record["key"] for record in http_json("GET", port, f"/records/{TOPIC}")[1]]


def wait_until(condition):
    wait_for(condition, 10.0, "the condition")


def wait_under_way(port):
    """Waits until the store holds a call."""
    wait_until(lambda: http_json("GET", port, "/under-way")[1] == 1)


def in_thread(function, *args):
    """Starts a call; returns a list that gets its answer or its exception."""
    ended = []

    def run():
        try:
            ended.append(function(*args))
        except HttpFailedError as exc:
            ended.append(exc)

    threading.Thread(target=run, daemon=True).start()
    return ended


@pytest.fixture
def port(fleet):
    return fleet.spawn_module("standins.platform.store", "--era", 7).port


@pytest.mark.parametrize(
    ("faults", "path", "status"),
    [
        ({}, f"{READ_PATH}?topic={TOPIC}&from=0", 200),
        ({}, f"{READ_PATH}?topic={TOPIC}&from=1", 410),
        ({}, f"{NEWEST_PATH}?topic={TOPIC}", 200),
        ({}, "/reads", 200),
        ({}, "/nothing", 404),
        ({"down": True}, f"{NEWEST_PATH}?topic={TOPIC}", 503),
        ({"turn_away": True}, f"{NEWEST_PATH}?topic={TOPIC}", 429),
    ],
)
def test_each_answer_has_the_era(port, faults, path, status):
    """Guards against readers that are tested with the era of good answers only."""
    set_faults(port, **faults)
    answer = call(port, path)
    assert (answer.status, answer.era) == (status, 7)


def test_return_loses_records_and_gives_offsets_out_again(port):
    """Guards against a store that keeps what it had acknowledged, or its offsets."""
    put(port, "a")
    assert http_json("POST", port, "/copy")[0] == 200
    put(port, "b", "c")
    assert come_back(port) == {"era": 8, "lost": 2}
    above = read(port, 2)
    assert (above.status, above.era, json.loads(above.body)["first"]) == (410, 8, 0)
    assert read(port, 1).keys == []
    put(port, "d")
    assert (read(port, 0).keys, page(port)) == (["a", "d"], (8, ["a", "d"], False))
    lost = http_json("GET", port, "/lost")[1]
    assert [(row["key"], row["offset"], row["value"]) for row in lost] == [
        ("b", 1, "v"),
        ("c", 2, "v"),
    ]


def test_copy_of_an_age_has_what_was_written_until_then(port):
    """Guards against a copy of now, and against one that forgets an earlier return."""
    put(port, "a")
    time.sleep(0.4)
    put(port, "b")
    come_back(port, 0.2)
    assert records(port) == ["a"]
    put(port, "c")
    time.sleep(0.3)
    put(port, "d")
    come_back(port, 0.15)
    assert records(port) == ["a", "c"]


@pytest.mark.parametrize("body", [{}, {"age_s": "copy"}, {"age_s": 3600}, {"age_s": [1]}])
def test_impossible_copy_is_refused(port, body):
    """Guards against a return that a test believes to have played."""
    status, answer = http_json("POST", port, "/return", body)
    assert (status, "invalid return" in answer["error"], call(port, "/reads").era) == (400, True, 7)


@pytest.mark.parametrize("connections", ["reset", "hang"])
def test_store_that_is_away_answers_nothing(port, connections):
    """Guards against a drill without the moment in which the store is away."""
    http_json("POST", port, "/copy")
    poll = in_thread(read, port, 0, 5000)
    wait_under_way(port)
    back = in_thread(lambda: come_back(port, away_s=0.6, connections=connections))
    wait_until(lambda: bool(poll))
    assert isinstance(poll[0], HttpFailedError)
    started_at = time.monotonic()
    with pytest.raises(HttpFailedError):
        read(port, 0)
    assert (time.monotonic() - started_at > 0.2) == (connections == "hang")
    wait_until(lambda: bool(back))
    assert read(port, 0).status == 200


def test_late_answer_carries_the_old_era_and_what_was_lost(port):
    """Guards against readers that are never shown a lost record after the return."""
    http_json("POST", port, "/copy")
    put(port, "a")
    set_faults(port, answer_delay_s=5.0, late_answers_s=0.3)
    late = in_thread(read, port, 0)
    wait_under_way(port)
    come_back(port)
    set_faults(port, answer_delay_s=0.0)
    assert (read(port, 0).era, late) == (8, [])
    wait_until(lambda: bool(late))
    assert (late[0].era, late[0].keys) == (7, ["a"])


def test_return_falls_between_two_pages(port):
    """Guards against snapshots of one page, which no return can divide."""
    set_faults(port, page_records=2)
    put(port, "a")
    http_json("POST", port, "/copy")
    put(port, "b", "c", "d")
    assert page(port) == (7, ["a", "b"], True)
    come_back(port)
    assert page(port, after="b") == (8, [], False)


@pytest.mark.parametrize(
    ("order", "expected"),
    [("same", list("bcd")), ("reversed", list("dcb")), ("shuffled", list("cdb"))],
)
def test_lost_records_are_written_again_between_new_ones(port, order, expected):
    """Guards against second writings in the first order only, or all at once."""
    put(port, "a")
    http_json("POST", port, "/copy")
    put(port, "b", "c")
    assert call(port, f"/records/{TOPIC}/d", "PUT").status == 200
    come_back(port)
    body = {"order": order, "seed": 3, "after_s": 0.1, "gap_s": 1.0}
    assert http_json("POST", port, "/rewrite", body) == (200, {"records": 3})
    wait_until(lambda: len(records(port)) == 2)
    put(port, "new")
    wait_until(lambda: not http_json("GET", port, "/lost")[1])
    assert records(port) == ["a", expected[0], "new", *expected[1:]]


def test_trimmed_records_are_gone_and_the_newest_of_a_key_stays(port):
    """Guards against 410 for lost offsets only."""
    put(port, "a", "b", "b")
    assert http_json("POST", port, "/trim", {"topic": TOPIC, "before": 2}) == (200, {"first": 2})
    assert json.loads(read(port, 1).body)["first"] == 2
    assert (read(port, 2).keys, page(port)[1]) == (["b"], ["a", "b"])
