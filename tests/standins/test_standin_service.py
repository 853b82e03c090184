"""Service stand-in: guards against counts that would hide an operation executed twice."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.harness import HttpFailedError, http_json, set_faults, start_service, wait_until


def operate(port, key="k", **body):
    sent = {"key": key, "arguments": {}, "request_id": "r"} | body
    return http_json("POST", port, "/operations/book", sent)


def executions(port):
    return http_json("GET", port, "/executions")[1]


@pytest.fixture
def port(fleet):
    return start_service(fleet).port


def test_repeated_operations_are_executed_again(port):
    """A service that deduplicates would hide every call that the system sends twice."""
    first, second = operate(port), operate(port)
    assert (first[0], second[0]) == (200, 200)
    assert first[1]["result"]["execution"] != second[1]["result"]["execution"]
    assert executions(port) == {"k": 2}
    log = http_json("GET", port, "/executions/log")[1]
    assert [(entry["key"], entry["request_id"], entry["op"]) for entry in log] == [
        ("k", "r", "book")
    ] * 2


def test_lost_answer_and_hang_up_leave_the_operation_executed(fleet):
    """The caller cannot know; the system must report unknown and not send again."""
    port = start_service(fleet, work_ms=300).port
    set_faults(port, lose_answers=1)
    with pytest.raises(HttpFailedError):
        operate(port, "lost")
    with pytest.raises(HttpFailedError):
        http_json("POST", port, "/operations/book", {"key": "hung_up"}, timeout_s=0.1)
    wait_until(lambda: executions(port) == {"lost": 1, "hung_up": 1}, 5, "both executed")


def test_failures_before_execution_are_not_counted(port):
    """A 500, a 422 and an outage must stay distinguishable from an execution."""
    set_faults(port, fail_next=1)
    assert operate(port)[0] == 500
    assert operate(port, arguments={"reject": "out of stock"}) == (422, {"error": "out of stock"})
    set_faults(port, down=True)
    assert operate(port)[0] == 503
    assert executions(port) == {}
    set_faults(port, down=False)
    assert operate(port)[0] == 200


def test_work_takes_slots_and_time(fleet):
    """Admission tests rely on a capacity of slots divided by work time."""
    port = start_service(fleet, work_ms=200, slots=2).port
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        done = [pool.submit(operate, port, str(n)) for n in range(4)]
        state = wait_until(
            lambda: (s := http_json("GET", port, "/state")[1])["queued"] == 2 and s, 5, "a queue"
        )
        assert (state["running"], state["slots"]) == (2, 2)
        assert [future.result()[0] for future in done] == [200] * 4
    assert time.monotonic() - started >= 0.4


def test_executions_survive_a_restart_in_their_file(fleet, tmp_path):
    """Without them, an operation repeated after a restart would count once."""
    file = tmp_path / "executions"
    service = start_service(fleet, executions_file=file)
    operate(service.port)
    boot_id = http_json("GET", service.port, "/state")[1]["boot_id"]
    service.kill()
    service.wait_end(5)
    again = start_service(fleet, port=service.port, executions_file=file)
    operate(again.port)
    assert executions(again.port) == {"k": 2}
    assert http_json("GET", again.port, "/state")[1]["boot_id"] != boot_id
