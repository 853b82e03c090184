"""Proxy stand-in: guards against faults on links that do not happen or do not end."""

import contextlib
import socket
import threading
import time

import pytest

from tests.harness import add_target, http_json, set_faults, start_proxy, wait_until

#: Seconds without bytes that count as silence.
SILENT_S = 0.4


class EchoServer:
    """Accepts connections and sends back what arrives on each."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.received = bytearray()
        self.connections = 0
        self.ended = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            while data := conn.recv(65536):
                self.received += data
                conn.sendall(data)
        self.ended += 1

    def close(self):
        self._listener.close()


class Link:
    """An echo server behind a proxy."""

    def __init__(self, fleet, echo):
        self.echo = echo
        self.proxy = start_proxy(fleet, echo.port)
        self.sockets: list[socket.socket] = []

    def connect(self, timeout_s=5.0, port=0):
        sock = socket.create_connection(("127.0.0.1", port or self.proxy.port), timeout_s)
        self.sockets.append(sock)
        return sock

    def faults(self, **faults):
        set_faults(self.proxy.control_port, **faults)

    def stats(self):
        return http_json("GET", self.proxy.control_port, "/stats")[1]


@pytest.fixture
def link(fleet):
    echo = EchoServer()
    made = Link(fleet, echo)
    yield made
    for sock in made.sockets:
        sock.close()
    echo.close()


def receive(sock, size):
    data = b""
    while len(data) < size:
        piece = sock.recv(size - len(data))
        assert piece, f"ended after {len(data)} of {size} bytes"
        data += piece
    return data


def round_trip(sock, data=b"ping"):
    sock.sendall(data)
    return receive(sock, len(data))


def is_silent(sock):
    """Whether neither bytes nor an end arrive for a while."""
    sock.settimeout(SILENT_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    finally:
        sock.settimeout(5.0)
    return False


def test_without_faults_bytes_and_ends_pass_both_ways(link):
    """A proxy that changes anything by itself would make every fault test fail or pass wrongly."""
    data = bytes(range(256)) * 20_000
    sock = link.connect()
    sender = threading.Thread(target=sock.sendall, args=(data,))
    sender.start()
    assert receive(sock, len(data)) == data
    sender.join(5)
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(1) == b""
    wait_until(lambda: link.stats()["open"] == 0, 5, "the connection to be forgotten")
    stats = link.stats()
    assert stats["up"]["bytes"] == stats["down"]["bytes"] == len(data)


def test_delay_applies_to_each_direction(link):
    """Latency between regions is part of every latency measure."""
    sock = link.connect()
    round_trip(sock)
    link.faults(delay_s=0.1)
    started = time.monotonic()
    round_trip(sock)
    # Timers are early by half a millisecond each way.
    assert 0.198 <= time.monotonic() - started < 0.5


def test_connections_share_the_rate(link):
    """The link between two regions has one rate, however many connections cross it."""
    rate, size = 500_000, 200_000
    link.faults(bytes_per_s=rate)
    sockets = [link.connect() for _ in range(2)]
    started = time.monotonic()
    senders = [threading.Thread(target=sock.sendall, args=(b"x" * size,)) for sock in sockets]
    for sender in senders:
        sender.start()
    for sock in sockets:
        receive(sock, size)
    assert 2 * size / rate - 0.01 <= time.monotonic() - started < 2 * 2 * size / rate
    for sender in senders:
        sender.join(5)


@pytest.mark.parametrize(
    ("cut", "arrives"),
    [
        pytest.param("up", b"", id="up"),
        pytest.param("down", b"lost", id="down"),
        pytest.param("both", b"", id="both"),
    ],
)
def test_cut_loses_bytes_and_ends_of_its_direction(link, cut, arrives):
    """One-sided loss is the case that heartbeats in one direction do not notice."""
    sock = link.connect()
    round_trip(sock)
    link.echo.received.clear()
    link.faults(cut=cut)
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert bytes(link.echo.received) == arrives
    sock.close()
    if cut != "down":
        time.sleep(SILENT_S)  # The end must not arrive either.
        assert link.echo.ended == 0


def test_cut_connection_stays_silent_and_new_ones_work_after_healing(link):
    """Bytes behind a gap would be a fault that TCP does not have."""
    sock = link.connect()
    round_trip(sock)
    link.faults(cut="both")
    sock.sendall(b"lost")
    wait_until(lambda: link.stats()["up"]["discarded"] == 4, 5, "loss")
    during = link.connect()
    during.sendall(b"lost")
    assert is_silent(during)
    assert link.echo.connections == 1
    link.faults(cut="none")
    sock.sendall(b"more")
    assert is_silent(sock)
    assert round_trip(link.connect()) == b"ping"


def test_cut_that_loses_nothing_leaves_a_connection_alone(link):
    """TCP survives a partition in which nothing was sent."""
    sock = link.connect()
    round_trip(sock)
    link.faults(cut="both")
    link.faults(cut="none")
    assert round_trip(sock) == b"ping"


def test_stall_holds_bytes_and_connections_until_release(link):
    """After a stall everything arrives late, in order, and complete."""
    sock = link.connect()
    round_trip(sock)
    link.faults(stall=True)
    sock.sendall(b"late")
    new = link.connect()
    new.sendall(b"new")
    assert is_silent(sock) and is_silent(new)
    assert link.echo.connections == 1
    link.faults(stall=False)
    assert (receive(sock, 4), receive(new, 3)) == (b"late", b"new")


def test_silenced_connections_stay_open_and_new_ones_work(link):
    """A middlebox that lost its state sends no end to either side."""
    sock = link.connect()
    round_trip(sock)
    link.faults(silence_existing=True)
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert round_trip(link.connect()) == b"ping"
    sock.close()
    time.sleep(SILENT_S)  # The end must not arrive either.
    assert link.echo.ended == 0
    assert link.stats()["silenced"] == 1


def test_every_nth_byte_is_corrupted(link):
    """Verification is tested only if wrong bytes arrive without any other sign."""
    sock = link.connect()
    round_trip(sock)
    link.faults(corrupt_every_bytes=1000)
    link.echo.received.clear()
    sock.sendall(bytes(10_500))
    receive(sock, 10_500)
    wrong = [position for position, byte in enumerate(link.echo.received) if byte]
    assert wrong == list(range(999, 10_500, 1000))


def test_refuse_rejects_new_connections_only(link):
    """A refused connection is known not to have run anything; an accepted one is not."""
    sock = link.connect()
    round_trip(sock)
    link.faults(refuse=True)
    with pytest.raises(ConnectionRefusedError):
        link.connect()
    assert round_trip(sock) == b"ping"
    link.faults(refuse=False)
    assert round_trip(link.connect()) == b"ping"


def test_reset_reaches_both_sides(link):
    """A reset must be an error at once, not an end that looks like a complete stream."""
    sock = link.connect()
    round_trip(sock)
    link.faults(reset=True)
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    wait_until(lambda: link.echo.ended == 1, 5, "the end at the target")
    assert round_trip(link.connect()) == b"ping"


def test_unreachable_target_resets_the_caller(fleet):
    """A dead target behind a proxy must not look like a silent one."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    proxy = start_proxy(fleet, port)
    with (
        socket.create_connection(("127.0.0.1", proxy.port), 5) as sock,
        pytest.raises(ConnectionResetError),
    ):
        sock.recv(1)


def test_added_targets_share_the_link_in_both_directions(link):
    """Both regions dial across one link, so `up` must mean the same way for both."""
    sock = link.connect(port=add_target(link.proxy, link.echo.port, reverse=True))
    round_trip(sock)
    link.faults(cut="down")
    link.echo.received.clear()
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert bytes(link.echo.received) == b""


def test_unknown_direction_of_a_cut_is_refused(link):
    """A misspelled direction must not pass as a test of a partition."""
    with pytest.raises(ValueError, match="both, up, down, none"):
        link.faults(cut="left")
