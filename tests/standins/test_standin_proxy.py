"""Proxy stand-in: each link fault takes effect, affects only its direction, and can be ended."""

import contextlib
import socket
import threading
import time

import pytest

from tests.harness import add_target, http_json, set_faults, start_proxy, wait_until

#: Seconds without data after which a connection counts as silent.
SILENCE_S = 0.4


class EchoServer:
    """TCP server that echoes the data of each connection and counts connections."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.received = bytearray()
        self.accepted_connections = 0
        self.closed_connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.accepted_connections += 1
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            while data := conn.recv(65536):
                self.received += data
                conn.sendall(data)
        self.closed_connections += 1

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

    def set_faults(self, **faults):
        set_faults(self.proxy.control_port, **faults)

    def stats(self):
        return http_json("GET", self.proxy.control_port, "/stats")[1]


@pytest.fixture
def link(fleet):
    echo = EchoServer()
    created_link = Link(fleet, echo)
    yield created_link
    for sock in created_link.sockets:
        sock.close()
    echo.close()


def receive(sock, size):
    data = b""
    while len(data) < size:
        received_part = sock.recv(size - len(data))
        assert received_part, f"ended after {len(data)} of {size} bytes"
        data += received_part
    return data


def round_trip(sock, data=b"ping"):
    sock.sendall(data)
    return receive(sock, len(data))


def is_silent(sock):
    """Whether no bytes, FIN or RST arrive within `SILENCE_S`."""
    sock.settimeout(SILENCE_S)
    try:
        sock.recv(1)
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    finally:
        sock.settimeout(5.0)
    return False


def test_without_faults_bytes_and_close_pass_in_both_directions(link):
    """Without faults the proxy forwards all bytes unchanged, and the FIN of each side."""
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
    """`delay_s` is a one-way delay, so a round trip takes twice as long."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(delay_s=0.1)
    started = time.monotonic()
    round_trip(sock)
    # Deliveries may be 0.5 ms early in each direction.
    assert 0.198 <= time.monotonic() - started < 0.5


def test_connections_share_the_rate_limit(link):
    """`bytes_per_s` limits the sum of all connections, as on a link between two regions."""
    rate, size = 500_000, 200_000
    link.set_faults(bytes_per_s=rate)
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
def test_cut_drops_bytes_and_close_in_its_direction(link, cut, arrives):
    """A cut in one direction leaves the other one working; one-way heartbeats cannot detect it."""
    sock = link.connect()
    round_trip(sock)
    link.echo.received.clear()
    link.set_faults(cut=cut)
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert bytes(link.echo.received) == arrives
    sock.close()
    if cut != "down":
        time.sleep(SILENCE_S)  # Time for a FIN, which must not arrive either.
        assert link.echo.closed_connections == 0


def test_cut_connection_stays_silent_and_new_ones_work_after_the_cut(link):
    """A connection that lost bytes must deliver none after the gap, since TCP never does."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(cut="both")
    sock.sendall(b"lost")
    wait_until(lambda: link.stats()["up"]["discarded"] == 4, 5, "loss")
    new_sock = link.connect()
    new_sock.sendall(b"lost")
    assert is_silent(new_sock)
    assert link.echo.accepted_connections == 1
    link.set_faults(cut="none")
    sock.sendall(b"more")
    assert is_silent(sock)
    assert round_trip(link.connect()) == b"ping"


def test_connection_survives_a_cut_without_lost_bytes(link):
    """A TCP connection survives a partition during which nothing was sent."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(cut="both")
    link.set_faults(cut="none")
    assert round_trip(sock) == b"ping"


def test_stall_delays_bytes_and_connections_until_it_ends(link):
    """After a stall, existing and new connections deliver everything completely and in order."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(stall=True)
    sock.sendall(b"late")
    new = link.connect()
    new.sendall(b"new")
    assert is_silent(sock) and is_silent(new)
    assert link.echo.accepted_connections == 1
    link.set_faults(stall=False)
    assert (receive(sock, 4), receive(new, 3)) == (b"late", b"new")


def test_silenced_connections_stay_open_and_new_ones_work(link):
    """Emulates a middlebox that lost its state: neither side receives FIN or RST."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(silence_existing=True)
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert round_trip(link.connect()) == b"ping"
    sock.close()
    time.sleep(SILENCE_S)  # Time for a FIN, which must not arrive either.
    assert link.echo.closed_connections == 0
    assert link.stats()["silenced"] == 1


def test_every_nth_byte_is_corrupted(link):
    """Every nth byte is changed without any other error, so only verification detects it."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(corrupt_every_bytes=1000)
    link.echo.received.clear()
    sock.sendall(bytes(10_500))
    receive(sock, 10_500)
    wrong = [position for position, byte in enumerate(link.echo.received) if byte]
    assert wrong == list(range(999, 10_500, 1000))


def test_refuse_rejects_new_connections_only(link):
    """`refuse` rejects new connections; existing connections keep working.

    Clients treat a refused connection as proof that nothing was executed.
    """
    sock = link.connect()
    round_trip(sock)
    link.set_faults(refuse=True)
    with pytest.raises(ConnectionRefusedError):
        link.connect()
    assert round_trip(sock) == b"ping"
    link.set_faults(refuse=False)
    assert round_trip(link.connect()) == b"ping"


def test_reset_reaches_both_sides(link):
    """Both sides get RST at once; a FIN could pass for the end of a complete stream."""
    sock = link.connect()
    round_trip(sock)
    link.set_faults(reset=True)
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    wait_until(lambda: link.echo.closed_connections == 1, 5, "the target to see the reset")
    assert round_trip(link.connect()) == b"ping"


def test_unreachable_target_resets_the_caller(fleet):
    """A target that refuses connections must cause a reset, not silence."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    proxy = start_proxy(fleet, port)
    with (
        socket.create_connection(("127.0.0.1", proxy.port), 5) as sock,
        pytest.raises(ConnectionResetError),
    ):
        sock.recv(1)


def test_added_targets_share_the_link_in_both_directions(link):
    """Callers of a reverse target send on `down`, so `up` means the same for both regions."""
    sock = link.connect(port=add_target(link.proxy, link.echo.port, reverse=True))
    round_trip(sock)
    link.set_faults(cut="down")
    link.echo.received.clear()
    sock.sendall(b"lost")
    assert is_silent(sock)
    assert bytes(link.echo.received) == b""


def test_unknown_cut_direction_is_rejected(link):
    """A misspelled direction would otherwise leave a partition test without a partition."""
    with pytest.raises(ValueError, match="both, up, down, none"):
        link.set_faults(cut="left")
