"""Service stand-in: its counts must reveal an operation that was executed twice."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.harness import HttpFailedError, http_json, set_faults, start_service, wait_until


def execute_operation(port, key="k", **body):
    request_body = {"key": key, "arguments": {}, "request_id": "r"} | body
    return http_json("POST", port, "/operations/book", request_body)


def execution_counts(port):
    return http_json("GET", port, "/executions")[1]


@pytest.fixture
def port(fleet):
    return start_service(fleet).port


def test_duplicate_operations_are_executed_again(port):
    """Deduplication here would hide calls that the system under test sends twice."""
    first, second = execute_operation(port), execute_operation(port)
    assert (first[0], second[0]) == (200, 200)
    assert first[1]["result"]["execution"] != second[1]["result"]["execution"]
    assert execution_counts(port) == {"k": 2}
    log = http_json("GET", port, "/executions/log")[1]
    assert [(entry["key"], entry["request_id"], entry["op"]) for entry in log] == [
        ("k", "r", "book")
    ] * 2


def test_operation_is_executed_despite_lost_response_or_disconnect(fleet):
    """The operation is executed although the caller sees only a connection error or a timeout.

    The system under test has to report an unknown outcome in this case and must not retry.
    """
    port = start_service(fleet, work_ms=300).port
    set_faults(port, lose_answers=1)
    with pytest.raises(HttpFailedError):
        execute_operation(port, "lost")
    with pytest.raises(HttpFailedError):
        http_json("POST", port, "/operations/book", {"key": "hung_up"}, timeout_s=0.1)
    wait_until(lambda: execution_counts(port) == {"lost": 1, "hung_up": 1}, 5, "both executed")


def test_failures_before_execution_are_not_counted(port):
    """A 500, a 422 and an outage leave the operation unexecuted and uncounted."""
    set_faults(port, fail_next=1)
    assert execute_operation(port)[0] == 500
    assert execute_operation(port, arguments={"reject": "out of stock"}) == (
        422,
        {"error": "out of stock"},
    )
    set_faults(port, down=True)
    assert execute_operation(port)[0] == 503
    assert execution_counts(port) == {}
    set_faults(port, down=False)
    assert execute_operation(port)[0] == 200


def test_operations_occupy_slots_for_the_work_time(fleet):
    """Admission tests rely on a throughput of slots divided by work time."""
    port = start_service(fleet, work_ms=200, slots=2).port
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        futures = [pool.submit(execute_operation, port, str(n)) for n in range(4)]
        state = wait_until(
            lambda: (s := http_json("GET", port, "/state")[1])["queued"] == 2 and s, 5, "a queue"
        )
        assert (state["running"], state["slots"]) == (2, 2)
        assert [future.result()[0] for future in futures] == [200] * 4
    assert time.monotonic() - started >= 0.4


def test_execution_log_survives_a_restart(fleet, tmp_path):
    """An operation retried after a restart must be counted twice, so earlier counts are kept."""
    file = tmp_path / "executions"
    service = start_service(fleet, executions_file=file)
    execute_operation(service.port)
    boot_id = http_json("GET", service.port, "/state")[1]["boot_id"]
    service.kill()
    service.wait_exit(5)
    restarted_service = start_service(fleet, port=service.port, executions_file=file)
    execute_operation(restarted_service.port)
    assert execution_counts(restarted_service.port) == {"k": 2}
    assert http_json("GET", restarted_service.port, "/state")[1]["boot_id"] != boot_id
