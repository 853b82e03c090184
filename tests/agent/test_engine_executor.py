"""Model requests at the engine of an agent."""

from types import SimpleNamespace

from fescuechute.agent._engine import _MAX_LINE_BYTES, EngineExecutor
from fescuechute.agent._work import WorkRow
from fescuechute.net import ManualClock
from fescuechute.wire import Accepted, Failed, Generate, Piece


class FakeHttp:
    """Records the calls to the engine and which of them were cancelled."""

    def __init__(self):
        self.paths, self.cancelled, self.on_data = [], [], None

    def call(self, method, server, path, on_end, *, on_data=None, **_options):
        self.paths.append(path)
        self.on_data = on_data or self.on_data
        return path

    def cancel(self, call):
        self.cancelled.append(call)


def start_request():
    """Returns the parts of an executor that runs one request of at most five tokens."""
    sent, finished = [], []
    http = FakeHttp()
    node = SimpleNamespace(
        clock=ManualClock(),
        http=http,
        hub=SimpleNamespace(send=lambda _peer, msg: sent.append(msg)),
        count=lambda _name: None,
        engine_boot_id="b",
    )
    table = SimpleNamespace(finish=lambda row, _now: finished.append(row))
    executor = EngineExecutor(node, table, ("127.0.0.1", 1))
    msg = Generate("r", 1, "m", "v", "", "", "w", "urgent", 9.0, "prompt", 5, (), "f", False)
    row = WorkRow("entry-1", msg)
    executor.start(row)
    return http, sent, finished, row


def test_endless_line_of_an_engine_fails_the_request():
    """Guards against an agent that buffers a line of the engine's answer until its memory is used up."""
    http, sent, finished, row = start_request()
    for _ in range(_MAX_LINE_BYTES // 65536 + 1):
        http.on_data(b"x" * 65536)
    assert finished == [row]
    assert (http.cancelled, http.paths) == (["/generate"], ["/generate", "/cancel"])
    assert [type(message) for message in sent] == [Accepted, Failed]
    assert row.partial_line == b""


def test_more_tokens_than_requested_fail_the_request():
    """Guards against an engine whose answer does not end, which the entry would collect."""
    http, sent, finished, row = start_request()
    for index in range(6):
        http.on_data(b'{"i": %d, "t": "x"}\n' % index)
    assert finished == [row]
    assert http.cancelled == ["/generate"]
    assert [type(message) for message in sent] == [Accepted, *[Piece] * 5, Failed]
