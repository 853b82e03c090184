"""The base class of the daemons, run as a stager process."""

import signal
import time

from tests.platform.deployment import wait_until
from tests.platform.stager_deployment import StagerDeployment


def test_stop_of_the_process_is_logged(fleet, tmp_path):
    """Guards against timeouts after a stop of the process that look like faults of its servers."""
    deployment = StagerDeployment(fleet, tmp_path)
    deployment.start()
    deployment.signal(signal.SIGSTOP)
    time.sleep(1.5)
    deployment.signal(signal.SIGCONT)
    wait_until(lambda: bool(deployment.lines("process.resumed")))
    (line,) = deployment.lines("process.resumed")
    assert line["stopped_s"] >= 1.4
    deployment.close()
