"""Responses of faulty replicas over real sockets: repeated, cut off, split, or of another kind."""

import http.client
import itertools
import time

import pytest

from tests.platform.deployment import HOST, Deployment, wait_until
from tests.platform.scripted_replica import (
    EVENTS,
    ScriptedReplica,
    complete,
    event,
    head,
    own_fields,
    plain,
    refusal,
    stream,
)

#: Seconds between the two parts of a split response, so that they arrive in two reads.
_SPLIT_PAUSE_S = 0.002
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
WHOLE = {"/a/x": b"the whole answer", "/once/x": b"the whole answer", "/s/x": WHOLE_STREAM}
PATHS = {"idempotent": "/a/x", "booking": "/once/x", "stream": "/s/x"}


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
        #: `Retry-After` of the last response in seconds, 0 without one.
        self.retry_after_s = 0.0
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
            self.retry_after_s = float(response.headers.get("Retry-After", 0))
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
    assert single.send("/once/x")[1] == 200
    single.replica.script = lambda request: [refusal(request.id)]
    assert single.send("/once/x")[1] == 503
    assert single.replica.received[-1].earlier >= 1


@pytest.mark.parametrize(
    ("name", "second"),
    [
        ("not found", lambda r: head(b"404 Not Found", *own_fields(r), b"Content-Length: 5") + b"wrong"),
        ("own failure", lambda r: head(b"500 Error", *own_fields(r), b"Content-Length: 5") + b"wrong"),
        ("not run", lambda r: refusal(r.id)),
        ("misdirected", lambda r: head(b"421 Misdirected Request", *own_fields(r), b"Content-Length: 0")),
        ("refusal without proof", lambda r: head(b"503 Busy", *own_fields(r), b"Content-Length: 5") + b"wrong"),
        ("redirect", lambda r: head(b"302 Found", *own_fields(r), b"Content-Length: 5") + b"wrong"),
        ("success without a seal", lambda r: head(b"200 OK", own_fields(r)[0], b"Content-Length: 19") + b"id: 2\ndata: wrong\n\n"),
        ("success without events", lambda r: head(b"200 OK", *own_fields(r), b"Content-Length: 0")),
        ("success of another request", lambda r: head(b"200 OK", b"X-Fescuechute-Request-Id: x", own_fields(r)[1], b"Content-Length: 19") + b"id: 2\ndata: wrong\n\n"),
    ],
)  # fmt: skip
def test_error_of_the_next_replica_does_not_enter_a_stream(system, name, second):
    """Guards against error texts within a stream, and streams that end as if they were complete."""

    def script(request):
        if request.attempts:
            return [second(request), b""]
        first = stream(request)
        return [first[: first.index(event(2))], b""]

    system.replica.script = script
    request_id, status, body, whole = system.send("/s/x")
    assert system.replica.attempts(request_id) == 2
    assert (status, body, whole) == (200, event(1), False), name


@pytest.mark.parametrize("fields", [[], [b"X-Fescuechute-Response-Seal: seal"]])
def test_stream_without_seal_or_events_is_not_a_success(single, fields):
    """Guards against a success that no replica has sealed, and against an empty stream."""
    body = b"" if fields else event(1)
    single.replica.script = lambda request: [
        head(b"200 OK", own_fields(request)[0], *fields, b"Content-Length: %d" % len(body)) + body
    ]
    _, status, _, whole = single.send("/s/x")
    assert status in (502, 504)
    assert whole


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_response_cut_off_at_any_byte_is_never_whole(system, kind, kept):
    """Guards against an empty or short body that is framed as a whole one."""
    path, cut = PATHS[kind], 0

    def script(request):
        data = complete(request)[0]
        return [data[:cut], b""] if not request.attempts and not warming_up else [data]

    system.replica.script = script
    warming_up = True
    request_id, *_ = system.send(path)
    length = len(complete(system.replica.received[-1])[0])
    for cut in range(length):
        warming_up = True
        if kept:
            assert system.send(path)[1] == 200
        warming_up = False
        request_id, status, body, whole = system.send(path)
        assert status not in (408, 421, 429, 503), cut
        if status == 200 and whole:
            assert body == WHOLE[path], cut
        elif status == 200:
            assert kind == "stream"
            assert WHOLE_STREAM.startswith(body), cut
        if kind == "booking":
            assert system.replica.attempts(request_id) == 1
            assert status == 502


@pytest.mark.parametrize("kind", PATHS)
def test_response_split_at_any_byte_is_whole(single, kind):
    """Guards against responses that are understood only if they arrive in one piece."""
    path, split = PATHS[kind], 0

    def script(request):
        data = complete(request)[0]
        return _PausedParts([data[:split], data[split:]])

    single.send(path)
    length = len(complete(single.replica.received[-1])[0])
    single.replica.script = script
    for split in range(1, length):
        request_id, *answer = single.send(path)
        assert answer == [200, WHOLE[path], True], split
        assert single.replica.attempts(request_id) == 1


class _PausedParts(list):
    """Parts of a response with a pause between them."""

    def __iter__(self):
        for part in super().__iter__():
            yield part
            time.sleep(_SPLIT_PAUSE_S)


def test_foreign_response_costs_at_most_one_attempt(system):
    """Guards against a client that loses its retries to bytes that belong to another request."""
    system.replica.script = lambda request: (
        complete(request)
        if request.attempts
        else [plain(request).replace(request.id, b"other"), b""]
    )
    request_id, *answer = system.send("/a/x")
    assert answer == [200, WHOLE["/a/x"], True]
    assert system.replica.attempts(request_id) == 2


def unframed(request):
    """Returns a complete response that ends with its connection."""
    body = (
        b"".join(event(number) for number in range(request.last_event_id + 1, EVENTS + 1))
        if request.path.startswith(b"/s/")
        else WHOLE["/a/x"]
    )
    return head(b"200 OK", *own_fields(request)) + body


@pytest.mark.parametrize("kind", PATHS)
def test_response_that_ends_with_its_connection_is_whole(single, kind):
    """Guards against a response without length or chunks that counts as cut off."""
    single.replica.script = lambda request: [unframed(request), b""]
    request_id, status, body, whole = single.send(PATHS[kind])
    assert (status, body, whole) == (200, WHOLE[PATHS[kind]], True)
    assert single.replica.attempts(request_id) == 1


@pytest.mark.parametrize("second", [unframed, lambda request: stream(request)])
def test_unframed_stream_that_ends_inside_an_event_is_resumed(system, second):
    """Guards against a stream that was broken off and is ended as if it were complete."""
    ends = {len(event(1)), len(event(1) + event(2)), len(WHOLE_STREAM)}
    resumed = 0
    for cut in range(len(WHOLE_STREAM)):

        def script(request, cut=cut):
            if request.attempts:
                return [second(request), b""]
            return [head(b"200 OK", *own_fields(request)) + WHOLE_STREAM[:cut], b""]

        system.replica.script = script
        request_id, status, body, whole = system.send("/s/x")
        if cut in ends:
            # The end of a complete event may be the end of the stream.
            assert (status, body, whole) == (200, WHOLE_STREAM[:cut], True), cut
        elif whole and status == 200:
            assert body == WHOLE_STREAM, cut
            assert system.replica.attempts(request_id) == 2, cut
            resumed += 1
        else:
            # The retry budget allows only some of the many streams to be resumed.
            assert WHOLE_STREAM.startswith(body) or status == 502, cut
    assert resumed >= 3


@pytest.mark.parametrize("kind", ["booking", "stream"])
def test_unframed_response_that_is_reset_is_not_whole(single, kind):
    """Guards against a reset that is taken for the end of a response without length."""
    single.replica.script = lambda request: [unframed(request)[:-3], None]
    _, status, _, whole = single.send(PATHS[kind])
    assert status == 502 or not whole


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("answer", ["success", "refusal"])
def test_replica_that_says_that_it_leaves_gets_no_more_requests(system, kind, answer):
    """Guards against requests to a replica after it has stated in a response that it is leaving."""
    path, leaving = PATHS[kind], set()

    def script(request):
        if not leaving:
            leaving.add(request.target)
        if request.target not in leaving:
            return complete(request)
        response = complete(request)[0] if answer == "success" else refusal(request.id)
        status, _, rest = response.partition(b"\r\n")
        return [status + b"\r\nServer-Leaving: 1\r\n" + rest]

    system.replica.script = script
    system.send(path)
    before = len(system.replica.received)
    for _ in range(20):
        assert system.send(path)[1:] == (200, WHOLE[path], True)
    later = {request.target for request in system.replica.received[before:]}
    assert len(later) == 1
    assert not later & leaving


@pytest.mark.parametrize("kind", PATHS)
def test_replica_that_asks_to_wait_gets_no_requests_until_then(system, kind):
    """Guards against requests to a replica within the `Retry-After` of its refusal."""
    path, asked = PATHS[kind], {}

    def script(request):
        if asked:
            return complete(request)
        asked[request.target] = time.monotonic() + 2.0
        return [refusal(request.id).replace(b"\r\n", b"\r\nRetry-After: 2\r\n", 1)]

    system.replica.script = script
    system.send(path)
    (target, until), before = next(iter(asked.items())), len(system.replica.received)
    while time.monotonic() < until - 0.5:
        assert system.send(path)[1:] == (200, WHOLE[path], True)
    assert target not in {request.target for request in system.replica.received[before:]}
    wait_until(lambda: system.send(path) and system.replica.received[-1].target == target)


def test_refusal_tells_when_the_first_replica_accepts_requests_again(single):
    """Guards against a client that is told to return while every replica still refuses."""
    single.replica.script = lambda request: [
        refusal(request.id).replace(b"\r\n", b"\r\nRetry-After: 9\r\n", 1)
    ]
    assert single.send("/a/x")[1] == 503
    assert single.send("/a/x")[1] == 503
    assert 8.0 < single.retry_after_s < 10.0
    assert len(single.replica.received) == 1


def with_status(status, request):
    """Returns a response of the replica that is whole but for its status."""
    return head(status, *own_fields(request), b"Content-Length: 5") + b"wrong"


INVALID_STATUSES = [b"000 X", b"099 X", b"101 X", b"103 X", b"204 X", b"20 X", b"600 X", b"999 X"]


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_is_never_the_answer(system, kind, status):
    """Guards against a client that gets a status such as 000 or 600 of a replica in trouble."""
    path = PATHS[kind]
    system.replica.script = lambda request: (
        complete(request) if request.attempts else [with_status(status, request)]
    )
    request_id, *answer = system.send(path)
    assert answer == ([502, b"", True] if kind == "booking" else [200, WHOLE[path], True])
    assert system.replica.attempts(request_id) == (1 if kind == "booking" else 2)
    system.replica.script = lambda request: [with_status(status, request)]
    assert system.send(path)[1:] == (502, b"", True)


@pytest.mark.parametrize("status", [b"000 X", b"204 X", b"600 X"])
@pytest.mark.parametrize(
    ("kind", "first", "expected"),
    [
        ("stream", lambda request: stream(request)[:-20], (200, False)),
        ("idempotent", lambda r: head(b"500 E", *own_fields(r), b"Content-Length: 3") + b"own", (500, True)),
    ],
)  # fmt: skip
def test_invalid_status_after_an_earlier_failure(system, kind, status, first, expected):
    """Guards against such a status in a resumed stream, or in place of a replica's own failure."""
    system.replica.script = lambda request: (
        [with_status(status, request)] if request.attempts else [first(request), b""]
    )
    request_id, *answer = system.send(PATHS[kind])
    assert (answer[0], answer[2]) == expected
    assert system.replica.attempts(request_id) == 2
