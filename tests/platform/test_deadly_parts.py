"""Requests that crash the replicas that run them: guards against a fleet lost one by one."""

import http.client
import itertools
import time

import pytest

from tests.platform.deployment import Deployment, StagerStandIn, wait_until
from tests.platform.scripted_replica import ScriptedReplica, complete, event, head, own_fields

REPLICAS = 8
#: Crashes until the content is known, and one by an attempt sent before that.
MAX_CRASHES = 4


def _crash_in_answer(replica, request):
    if b"unframed" in request.path:
        yield head(b"200 OK", *own_fields(request)) + event(1)
        # Data that the peer has not read yet would be lost in a reset.
        time.sleep(0.05)
    replica.crash()
    yield b""


class System:
    """Gateways in front of replicas that crash when they run a request to a path with `deadly`."""

    def __init__(self, fleet, directory, gateways):
        self.stager = StagerStandIn()
        self.stager.start()
        self.deployment = Deployment(fleet, directory, replicas=0, gateways=gateways)
        self.deployment.configure()
        self.deployment.register_engine(self.stager.ip)
        self.crashed = []
        self.replicas = [ScriptedReplica() for _ in range(REPLICAS)]
        self._numbers = itertools.count()
        for number, replica in enumerate(self.replicas):
            replica.script = self._script_of(replica)
            replica.start()
            entry = {"service": "app", "address": f"127.0.0.1:{replica.port}", "zone": "z"}
            entry |= {"slots": 4, "state": "ready"}
            self.deployment.put_record("keyed.servers", f"i-{number}", entry)
        wait_until(self.deployment.is_ready)
        for gateway, number in itertools.product(range(gateways), range(REPLICAS)):
            self.deployment.wait_for_line("upstream", gateway, upstream=f"i-{number}")
        wait_until(lambda: len(self.stager.greeted) == gateways)

    def _script_of(self, replica):
        def script(request):
            if b"deadly" not in request.path:
                return complete(request)
            self.crashed.append(replica)
            return _crash_in_answer(replica, request)

        return script

    def send(self, path, parts, gateway=0):
        """Returns the status of the response to a new request, 0 if it was cut."""
        number = next(self._numbers)
        try:
            return self.deployment.send(
                f"{path}/{number}",
                request_id=f"r{number}",
                prompt=f"{parts},{number:x}:200",
                conn=self.deployment.connect(gateway),
            ).status
        except (http.client.HTTPException, OSError):
            return 0

    def close(self):
        self.stager.close()
        for replica in self.replicas:
            if replica not in self.crashed:
                replica.crash()


@pytest.fixture
def system(fleet, tmp_path):
    system = System(fleet, tmp_path, gateways=2)
    yield system
    system.close()


@pytest.mark.parametrize("path", ["/a/deadly", "/s/deadly", "/once/deadly", "/s/deadly-unframed"])
def test_requests_with_a_deadly_part_stop_reaching_replicas(system, path):
    """Guards against a part of a prompt that crashes one replica after the other."""
    for _ in range(12):
        assert system.send("/a/sound", "aa:40,bb:10") == 200
        system.send(path, "aa:40,dead:10")
    assert len(system.crashed) <= MAX_CRASHES
    assert system.send(path, "aa:40,dead:10") == 503
    assert system.send("/a/sound", "aa:40,bb:10") == 200
    line = system.deployment.wait_for_line("request", reason="quarantined")
    assert line["ran"] == "not_run" and len(line["quarantined"]) == 1


def test_other_gateways_learn_of_a_deadly_part(system):
    """Guards against a part that crashes replicas once more for each gateway or restart of one."""
    for _ in range(6):
        system.send("/a/deadly", "dead:10")
    crashes = len(system.crashed)
    wait_until(lambda: system.send("/a/sound", "aa:40", gateway=1) == 200)
    system.deployment.wait_for_line("quarantine", 1, reason="started")
    assert system.send("/a/deadly", "dead:10", gateway=1) == 503
    system.deployment.restart(1)
    wait_until(system.deployment.is_ready)
    system.deployment.wait_for_line("quarantine", 1, reason="started")
    assert system.send("/a/deadly", "dead:10", gateway=1) == 503
    assert len(system.crashed) == crashes
