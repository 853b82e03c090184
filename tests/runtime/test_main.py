"""Start of the daemons as the platform runs them."""

import os
import subprocess
import sys

import pytest

from fescuechute.platform import SETTINGS_VARIABLE


@pytest.mark.parametrize("module", ["fescuechute.gateway", "fescuechute.stager"])
@pytest.mark.parametrize(
    ("settings", "message"),
    [
        pytest.param(None, SETTINGS_VARIABLE, id="no_variable"),
        pytest.param("/nonexistent.json", "/nonexistent.json", id="no_file"),
    ],
)
def test_daemon_without_settings_says_what_is_missing(module, settings, message):
    """Guards against a daemon that ends with a traceback instead of the problem of its settings."""
    env = {name: value for name, value in os.environ.items() if name != SETTINGS_VARIABLE}
    env["PYTHONPATH"] = os.pathsep.join(path for path in sys.path if path)
    if settings is not None:
        env[SETTINGS_VARIABLE] = settings
    # Without site-packages, as in deploy/system.toml.
    command = [sys.executable, "-S", "-m", module]
    done = subprocess.run(command, env=env, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert message in done.stderr
    assert "Traceback" not in done.stderr
