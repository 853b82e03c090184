"""Log service stand-in.

A fault without effect would let the fault tests of other packages pass without testing anything.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.harness import HttpFailedError, http_json, set_faults, start_log, wait_until


def append_records(port, *record_ids, stream="notes"):
    body = {"records": [{"id": id_, "data": {"n": id_}} for id_ in record_ids]}
    return http_json("POST", port, f"/streams/{stream}/records", body)


def read_records(port, query="", stream="notes"):
    return http_json("GET", port, f"/streams/{stream}/records{query}")


def record_ids(response):
    return [record["id"] for record in response[1]["records"]]


@pytest.fixture
def port(fleet):
    return start_log(fleet).port


def test_records_keep_offsets_and_are_not_deduplicated(port):
    """The log keeps duplicate ids, so that tests exercise the readers' deduplication by id."""
    assert append_records(port, "a", "b")[1]["first"] == 0
    status, response = append_records(port, "b", "c")
    assert (status, response["first"], response["next"]) == (200, 2, 4)
    assert record_ids(read_records(port)) == ["a", "b", "b", "c"]
    page = read_records(port, "?from=1&limit=2")[1]
    assert [record["offset"] for record in page["records"]] == [1, 2]
    assert (page["first"], page["next"]) == (0, 4)
    assert record_ids(read_records(port, stream="claims-0")) == []


@pytest.mark.parametrize(
    "body",
    [
        pytest.param([], id="no_object"),
        pytest.param({"records": []}, id="empty"),
        pytest.param({"records": [{"id": "a", "data": {}}, {"id": "b"}]}, id="one_without_data"),
    ],
)
def test_malformed_append_has_no_effect(port, body):
    """An append is atomic: one malformed record rejects all records of the request."""
    assert http_json("POST", port, "/streams/notes/records", body)[0] == 400
    assert read_records(port)[1]["next"] == 0


def test_appends_with_lost_responses_take_effect(port):
    """`lose_answers` drops the response but keeps the records, so writers must read them back."""
    set_faults(port, lose_answers=1)
    with pytest.raises(HttpFailedError):
        append_records(port, "a")
    assert append_records(port, "b")[0] == 200
    assert record_ids(read_records(port)) == ["a", "b"]


def test_outage_rejects_reads_and_appends_and_keeps_records(port):
    """`down` rejects reads and appends, and earlier records survive the outage."""
    append_records(port, "a")
    set_faults(port, down=True)
    assert (append_records(port, "b")[0], read_records(port)[0]) == (503, 503)
    set_faults(port, down=False)
    assert record_ids(read_records(port)) == ["a"]


def test_retention_removes_old_records_and_keeps_offsets(port):
    """Readers detect truncation by `first`, so it must advance and offsets must not be reused."""
    append_records(port, "a", "b")
    set_faults(port, retention_s=60, time_offset_s=61.0)
    append_records(port, "c")
    response = read_records(port)
    assert (response[1]["first"], response[1]["next"], record_ids(response)) == (2, 3, ["c"])
    set_faults(port, time_offset_s=200.0)
    response = read_records(port)[1]
    assert (response["first"], response["next"], response["records"]) == (3, 3, [])
    assert append_records(port, "d")[1]["first"] == 3


def test_time_offset_shifts_the_times_of_responses_and_records(port):
    """Tests of expiry and retention shift the log's clock instead of waiting."""
    before = append_records(port, "a")[1]["time"]
    set_faults(port, time_offset_s=1000)
    assert append_records(port, "b")[1]["time"] >= before + 1000
    response = read_records(port)[1]
    assert response["now"] >= before + 1000
    assert response["records"][1]["time"] >= before + 1000


def test_appends_above_the_rate_limit_are_rejected_without_effect(fleet):
    """Without an enforced limit, a client that appends once for each call would pass its tests."""
    port = start_log(fleet, appends_per_s=20).port
    statuses = [append_records(port, str(n))[0] for n in range(40)]
    assert set(statuses) == {200, 429}
    assert read_records(port)[1]["next"] == statuses.count(200)


def test_return_gives_out_offsets_again_and_raises_the_era(port):
    """Without a lost stretch, tests of returns would only exercise an outage."""
    append_records(port, "a")
    time.sleep(0.06)
    append_records(port, "b", "c")
    assert http_json("POST", port, "/return", {"age_s": 0.04, "away_s": 0.0}) == (200, {"era": 1})
    status, response = read_records(port, "?from=3")
    assert (status, response["era"]) == (410, 1)
    response = append_records(port, "d")[1]
    assert (response["first"], response["era"]) == (1, 1)
    response = read_records(port)
    assert (record_ids(response), response[1]["era"]) == (["a", "d"], 1)
    set_faults(port, down=True)
    assert append_records(port, "e")[1]["era"] == 1
    assert http_json("POST", port, "/return", {"age_s": -1, "away_s": 0})[0] == 400


def test_append_answered_after_a_return_carries_its_era(port):
    """An answer with the newer era would report a lost record as written."""
    set_faults(port, answer_delay_s=0.5)
    with ThreadPoolExecutor(1) as executor:
        appended = executor.submit(append_records, port, "a")
        wait_until(lambda: record_ids(read_records(port)) == ["a"], 5, "the append's effect")
        http_json("POST", port, "/return", {"age_s": 5, "away_s": 0})
        assert appended.result()[1]["era"] == 0
    assert record_ids(read_records(port)) == []


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"dwon": True}, id="unknown_name"),
        pytest.param({"down": "yes"}, id="wrong_type"),
        pytest.param({"lose_answers": 1.5}, id="fraction"),
    ],
)
def test_invalid_fault_is_rejected_and_changes_nothing(port, faults):
    """A silently ignored fault would let a fault test pass without the fault."""
    status, response = http_json("POST", port, "/faults", {"delay_s": 1.0} | faults)
    assert status == 400 and next(iter(faults)) in response["error"]
    assert http_json("GET", port, "/faults")[1]["delay_s"] == 0.0
