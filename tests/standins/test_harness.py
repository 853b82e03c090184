"""Process harness: guards against tests that pass or hang because their processes are not there."""

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


def python(fleet: Fleet, code: str, **kwargs):
    return fleet.start_process([sys.executable, "-c", code], "script", **kwargs)


def test_all_processes_end_when_the_test_raises():
    """A failing test must not leave processes behind that disturb the next one."""
    with pytest.raises(RuntimeError), Fleet() as fleet:
        running, frozen = start_log(fleet), start_vms(fleet)
        fleet.wait_ready()
        frozen.freeze()
        raise RuntimeError
    assert (running.alive, frozen.alive) == (False, False)


def test_a_process_that_ignores_sigterm_is_killed(monkeypatch):
    """A daemon that hangs in its shutdown must not hang the test run."""
    monkeypatch.setattr("tests.harness._fleet.END_S", 0.2)
    with Fleet() as fleet:
        process = python(
            fleet,
            "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
            'print("{\\"ready\\": true}", flush=True); time.sleep(60)',
        )
    assert process.wait_end(0) == -signal.SIGKILL


def test_a_process_that_ends_early_is_reported_with_its_output(fleet):
    """A daemon that fails at start must show why, not time out."""
    with pytest.raises(ProcessError, match=r"(?s)ended with 3 .*port is taken"):
        python(fleet, "import sys; print('port is taken', file=sys.stderr); sys.exit(3)")


def test_a_process_without_ready_line_is_reported_at_the_deadline(fleet):
    """A daemon that never gets ready must not hang the test run."""
    with pytest.raises(ProcessError, match="too slow"):
        python(fleet, "import time; print('{}', flush=True); time.sleep(60)", deadline_s=0.3)


def test_frozen_process_answers_only_after_thaw(fleet):
    """Tests of paused lease holders rely on a pause that lasts exactly until the thaw."""
    log = start_log(fleet)
    http_json("GET", log.port, "/stats")
    log.freeze()
    with pytest.raises(HttpFailedError):
        http_json("GET", log.port, "/stats", timeout_s=0.2)
    log.thaw()
    assert http_json("GET", log.port, "/stats")[0] == 200


def test_a_killed_process_can_start_again_on_its_port(fleet):
    """Engine restarts in tests keep the address that the agent has in its settings."""
    log = start_log(fleet)
    http_json("GET", log.port, "/stats")
    log.kill()
    assert log.wait_end(5) == -signal.SIGKILL
    again = start_log(fleet, port=log.port)
    assert http_json("GET", again.port, "/stats")[0] == 200


def test_wait_until_names_what_did_not_happen():
    """A timeout without its condition cannot be understood from a log."""
    started = time.monotonic()
    with pytest.raises(AssertionError, match=r"the answer: not within 0.1 s .* last value 0"):
        wait_until(lambda: 0, 0.1, "the answer")
    assert time.monotonic() - started < 1


def test_settings_survive_writing_and_reading(tmp_path):
    """A value that the writer garbles would test something other than the test says."""
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
