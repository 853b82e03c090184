"""Process harness: process failures are reported, and no process outlives its test."""

import signal
import sys
import time
import tomllib

import pytest

from tests.harness import (
    Fleet,
    HttpFailedError,
    ProcessError,
    http_json,
    start_log,
    start_vms,
    wait_until,
    write_settings,
)


def start_script(fleet: Fleet, code: str, **kwargs):
    return fleet.start_process([sys.executable, "-c", code], "script", **kwargs)


def test_all_processes_are_stopped_when_the_test_raises():
    """Processes left behind by a failed test, paused ones included, would disturb later tests."""
    with pytest.raises(RuntimeError), Fleet() as fleet:
        running_process, paused_process = start_log(fleet), start_vms(fleet)
        fleet.wait_ready()
        paused_process.pause()
        raise RuntimeError
    assert (running_process.alive, paused_process.alive) == (False, False)


def test_a_process_that_ignores_sigterm_is_killed(monkeypatch):
    """A daemon that hangs in its shutdown is killed, so that the test run does not hang."""
    monkeypatch.setattr("tests.harness._fleet.TERMINATION_TIMEOUT_S", 0.2)
    with Fleet() as fleet:
        process = start_script(
            fleet,
            "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
            'print("{\\"ready\\": true}", flush=True); time.sleep(60)',
        )
    assert process.wait_exit(0) == -signal.SIGKILL


def test_a_process_that_exits_early_is_reported_with_its_output(fleet):
    """A daemon that fails at start is reported with its exit code and stderr, not as a timeout."""
    with pytest.raises(ProcessError, match=r"(?s)ended with 3 .*port is taken"):
        start_script(fleet, "import sys; print('port is taken', file=sys.stderr); sys.exit(3)")


def test_a_process_without_ready_line_is_reported_at_the_deadline(fleet):
    """A daemon that never becomes ready must not hang the test run."""
    with pytest.raises(ProcessError, match="too slow"):
        start_script(fleet, "import time; print('{}', flush=True); time.sleep(60)", deadline_s=0.3)


def test_paused_process_responds_only_after_resume(fleet):
    """Tests of paused lease holders rely on a process that stays paused until it is resumed."""
    log = start_log(fleet)
    http_json("GET", log.port, "/stats")
    log.pause()
    with pytest.raises(HttpFailedError):
        http_json("GET", log.port, "/stats", timeout_s=0.2)
    log.resume()
    assert http_json("GET", log.port, "/stats")[0] == 200


def test_a_killed_process_can_be_restarted_on_its_port(fleet):
    """A restarted engine keeps the address that the settings of its agent contain."""
    log = start_log(fleet)
    http_json("GET", log.port, "/stats")
    log.kill()
    assert log.wait_exit(5) == -signal.SIGKILL
    restarted_log = start_log(fleet, port=log.port)
    assert http_json("GET", restarted_log.port, "/stats")[0] == 200


def test_wait_until_error_names_the_condition():
    """A timeout error names the awaited condition and its last value."""
    started = time.monotonic()
    with pytest.raises(AssertionError, match=r"the answer: not within 0.1 s .* last value 0"):
        wait_until(lambda: 0, 0.1, "the answer")
    assert time.monotonic() - started < 1


def test_settings_round_trip_through_toml(tmp_path):
    """A value that is written incorrectly would silently change what a test covers."""
    settings = {
        "process": {"id": 'a"\\\n\té', "link_port": 0, "http_port": 8080},
        "tick": {"interval_ms": 50},
        "agent": {"enforces_fencing": True, "drain_timeout_s": 0.5},
        "ranks": [
            {"name": "urgent", "protected_share": 1.0},
            {"name": "ordinary", "protected_share": 0.25},
        ],
        "services": [{"name": "booking", "operations": ["book", "look"], "non_repeatable": []}],
    }
    path = write_settings(tmp_path / "a.toml", settings | {"logs": {"level": None}})
    assert tomllib.loads(path.read_text()) == settings | {"logs": {}}
