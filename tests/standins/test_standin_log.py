"""Log stand-in: guards against faults that do nothing, which would make fault tests pass idly."""

import pytest

from tests.harness import HttpFailedError, http_json, set_faults, start_log


def append(port, *ids, stream="notes"):
    body = {"records": [{"id": id_, "data": {"n": id_}} for id_ in ids]}
    return http_json("POST", port, f"/streams/{stream}/records", body)


def read(port, query="", stream="notes"):
    return http_json("GET", port, f"/streams/{stream}/records{query}")


def ids(answer):
    return [record["id"] for record in answer[1]["records"]]


@pytest.fixture
def port(fleet):
    return start_log(fleet).port


def test_records_keep_offsets_and_are_not_deduplicated(port):
    """Readers must meet duplicates, or nothing tests that they fold an id once."""
    assert append(port, "a", "b")[1]["first"] == 0
    status, answer = append(port, "b", "c")
    assert (status, answer["first"], answer["next"]) == (200, 2, 4)
    assert ids(read(port)) == ["a", "b", "b", "c"]
    page = read(port, "?from=1&limit=2")[1]
    assert [record["offset"] for record in page["records"]] == [1, 2]
    assert (page["first"], page["next"]) == (0, 4)
    assert ids(read(port, stream="claims-0")) == []


@pytest.mark.parametrize(
    "body",
    [
        pytest.param([], id="no_object"),
        pytest.param({"records": []}, id="empty"),
        pytest.param({"records": [{"id": "a", "data": {}}, {"id": "b"}]}, id="one_without_data"),
    ],
)
def test_malformed_append_takes_no_effect(port, body):
    """An append is atomic: a bad record must not leave the good ones of its body behind."""
    assert http_json("POST", port, "/streams/notes/records", body)[0] == 400
    assert read(port)[1]["next"] == 0


def test_lost_answers_take_effect(port):
    """A lost answer that lost the records too would not test reading back."""
    set_faults(port, lose_answers=1)
    with pytest.raises(HttpFailedError):
        append(port, "a")
    assert append(port, "b")[0] == 200
    assert ids(read(port)) == ["a", "b"]


def test_outage_refuses_reads_and_appends_and_keeps_records(port):
    """An outage must stop both ways, and must not lose what was there."""
    append(port, "a")
    set_faults(port, down=True)
    assert (append(port, "b")[0], read(port)[0]) == (503, 503)
    set_faults(port, down=False)
    assert ids(read(port)) == ["a"]


def test_retention_removes_old_records_and_keeps_offsets(port):
    """Readers find truncation by `first`; it must move and offsets must not be used again."""
    append(port, "a", "b")
    set_faults(port, retention_s=60, time_offset_s=61.0)
    append(port, "c")
    answer = read(port)
    assert (answer[1]["first"], answer[1]["next"], ids(answer)) == (2, 3, ["c"])
    set_faults(port, time_offset_s=200.0)
    answer = read(port)[1]
    assert (answer["first"], answer["next"], answer["records"]) == (3, 3, [])
    assert append(port, "d")[1]["first"] == 3


def test_time_offset_moves_the_clock_of_answers_and_records(port):
    """Tests of ageing rely on the log's clock, not on that of the machine."""
    before = append(port, "a")[1]["time"]
    set_faults(port, time_offset_s=1000)
    assert append(port, "b")[1]["time"] >= before + 1000
    answer = read(port)[1]
    assert answer["now"] >= before + 1000
    assert answer["records"][1]["time"] >= before + 1000


def test_appends_beyond_the_rate_are_refused_without_effect(fleet):
    """Without the limit, a design with one append for each call would pass."""
    port = start_log(fleet, appends_per_s=20).port
    statuses = [append(port, str(n))[0] for n in range(40)]
    assert set(statuses) == {200, 429}
    assert read(port)[1]["next"] == statuses.count(200)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"dwon": True}, id="unknown_name"),
        pytest.param({"down": "yes"}, id="wrong_type"),
        pytest.param({"lose_answers": 1.5}, id="fraction"),
    ],
)
def test_misspelled_fault_is_refused_and_changes_nothing(port, faults):
    """A fault that is silently ignored makes a fault test pass without the fault."""
    status, answer = http_json("POST", port, "/faults", {"delay_s": 1.0} | faults)
    assert status == 400 and next(iter(faults)) in answer["error"]
    assert http_json("GET", port, "/faults")[1]["delay_s"] == 0.0
