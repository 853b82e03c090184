"""An engine that sends bytes without end: guards against a stager that reads them until it fails."""

import pytest

from standins.platform.engine import EngineFaults
from tests.harness import Fleet, Process
from tests.platform.deployment import wait_until
from tests.platform.stager_deployment import StagerDeployment

#: Megabytes by which the memory of a stager may grow by one kind of call: of 168 MB, 40 MB are taken
#: without a fault, and calls of eight kinds may be in flight together.
MAX_GROWTH_MB = (168 - 40) / 8
_PART = b"x" * 65536
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

#: Name, first bytes of a response, and the bytes that follow without end.
KINDS = {
    "no HTTP": (b"", _PART),
    "header field": (b"HTTP/1.1 200 OK\r\nX-A: ", _PART),
    "interim responses": (b"", b"HTTP/1.1 102 P\r\n\r\n" * 1000),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", _PART),
    "body of a failure": (b"HTTP/1.1 500 E\r\n\r\n", _PART),
    "chunks": (_CHUNKED, b"10000\r\n" + _PART + b"\r\n"),
    "chunks of one byte": (_CHUNKED, b"1\r\nx\r\n" * 1000),
    "chunk extension": (_CHUNKED + b"5;a=", _PART),
    "trailer": (_CHUNKED + b"0\r\n", b"X-A: b\r\n" * 1000),
}


@pytest.mark.parametrize("path", ["/report", "/stage-put/", "/stage-get/", "/order"])
@pytest.mark.parametrize("kind", KINDS)
def test_stager_bears_endless_responses(kind, path, deployment):
    """Guards against memory without bound, and against a stager that no longer loads versions."""
    stager = deployment.stager
    deployment.engine.faults = EngineFaults()
    version = deployment.engine.version + 1
    before_mb = resident_mb(stager)
    start, repeated = KINDS[kind]
    deployment.engine.faults = EngineFaults(
        endless_path=path, endless_start=start, endless_bytes=repeated
    )
    deployment.declare(version)
    calls = deployment.engine.endless_calls
    wait_until(lambda: deployment.engine.endless_calls > calls + 2)
    assert resident_mb(stager) - before_mb < MAX_GROWTH_MB
    deployment.engine.faults = EngineFaults()
    deployment.wait_loaded(version)
    assert deployment.wrong_loads() == []


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    with Fleet() as fleet:
        deployment = StagerDeployment(fleet, tmp_path_factory.mktemp("stager"))
        deployment.start()
        yield deployment
        deployment.close()


def resident_mb(process: Process) -> float:
    """Returns the largest memory that a process has used, in MB."""
    with open(f"/proc/{process.pid}/status") as file:
        fields = dict(line.split(":", 1) for line in file)
    return int(fields["VmHWM"].split()[0]) / 1e3
