"""Responses of faulty replicas over real sockets: repeated, cut off, split, or of another kind."""

import http.client
import itertools

import pytest

from tests.platform.deployment import HOST, Deployment, wait_until
from tests.platform.scripted_replica import (
    EVENTS,
    ScriptedReplica,
    complete,
    event,
    head,
    refusal,
)

WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
WHOLE = {"/a/x": b"the whole answer", "/b/x": b"the whole answer", "/s/x": WHOLE_STREAM}
PATHS = {"idempotent": "/a/x", "booking": "/b/x", "stream": "/s/x"}


@pytest.fixture(scope="module")
def replica():
    replica = ScriptedReplica()
    replica.start()
    yield replica
    replica.close()


class System:
    """A gateway in front of one or two instances of the scripted replica."""

    def __init__(self, fleet, directory, replica, instances):
        self.replica = replica
        replica.script = complete
        replica.received.clear()
        self._ids = itertools.count(1)
        self._deployment = Deployment(fleet, directory, replicas=0)
        self._deployment.configure()
        for number in range(instances):
            entry = {"service": "app", "address": f"127.0.0.1:{replica.port}", "zone": "z"}
            entry |= {"slots": 4, "state": "ready"}
            self._deployment.put_record("keyed.servers", f"i-{number}", entry)
        wait_until(self._deployment.is_ready)
        for number in range(instances):
            self._deployment.wait_for_line("upstream", upstream=f"i-{number}")

    def send(self, path):
        """Returns the id, status, body and completeness of the response to a new request."""
        request_id = b"r%d" % next(self._ids)
        conn = self._deployment.connect()
        headers = {
            "Host": HOST,
            "X-Fescuechute-Request-Id": request_id.decode(),
            "X-Fescuechute-Deadline-Ms": "2500",
            "Authorization": "Token k1",
        }
        try:
            conn.request("POST", path, b"body", headers)
            response = conn.getresponse()
            return request_id, response.status, response.read(), True
        except http.client.IncompleteRead as exc:
            return request_id, response.status, exc.partial, False
        except (OSError, http.client.RemoteDisconnected):
            return request_id, 0, b"", False
        finally:
            conn.close()


@pytest.fixture
def system(fleet, tmp_path, replica):
    return System(fleet, tmp_path, replica, instances=2)


@pytest.fixture
def single(fleet, tmp_path, replica):
    return System(fleet, tmp_path, replica, instances=1)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize(
    ("name", "repeated"),
    [
        ("names the earlier request", lambda earlier: refusal(earlier)),
        ("names no request", lambda _earlier: refusal(None)),
        ("429 that names no request", lambda _earlier: refusal(None, b"429 Too Many Requests")),
        ("421 that names no request", lambda _earlier: head(b"421 Misdirected Request", b"Content-Length: 0")),
    ],
)  # fmt: skip
def test_repeated_refusal_is_not_taken_for_one_of_the_next_request(single, kind, name, repeated):
    """Guards against 'not run' for a request that the replica runs, and against a second run."""
    system, path = single, PATHS[kind]
    system.replica.script = lambda request: [refusal(request.id)]
    earlier, status, _, _ = system.send(path)
    assert status == 503
    system.replica.script = lambda request: (
        [repeated(earlier), *complete(request)] if request.earlier else complete(request)
    )
    request_id, status, body, whole = system.send(path)
    assert status not in (408, 421, 429, 503), name
    assert status != 200 or (body, whole) == (WHOLE[path], True)
    if kind == "booking":
        assert system.replica.attempts(request_id) == 1


def test_refusal_on_a_kept_connection_is_believed(single):
    """Guards against 502 responses, which clients do not retry, for requests that were refused."""
    assert single.send("/b/x")[1] == 200
    single.replica.script = lambda request: [refusal(request.id)]
    assert single.send("/b/x")[1] == 503
    assert single.replica.received[-1].earlier >= 1
