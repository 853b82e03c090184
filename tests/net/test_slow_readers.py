"""Connections that are finished while their peer reads slowly: guards against cut answers."""

import socket
import threading
import time

import pytest

from fescuechute.net import Loop, SocketOwner

#: More than the kernel buffers of both ends take.
SIZE = 16 << 20


class Sender(SocketOwner):
    """Sends one large answer on each connection and finishes it."""

    def __init__(self):
        super().__init__("sender")

    def on_accepted(self, conn):
        conn.write(bytes(SIZE))
        conn.finish()


@pytest.fixture
def port():
    sender = Sender()
    loop = Loop(lambda _now: None, lambda: None, 0.02)
    loop.add(sender)
    port = sender.listen("127.0.0.1", 0)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield port
    loop.close()
    thread.join(5)


def test_answer_that_is_read_for_seconds_is_not_cut(port):
    """Guards against an answer that is cut a second after it was complete at the sender."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.connect(("127.0.0.1", port))
    started_at, received = time.monotonic(), 0
    while data := sock.recv(1 << 18):
        received += len(data)
        if time.monotonic() - started_at < 2.5:
            time.sleep(0.1)
    assert received == SIZE
