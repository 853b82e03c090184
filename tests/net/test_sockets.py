"""Connections whose peer resets them: guards against a reset that looks like an orderly close."""

import socket
import struct

import pytest

from fescuechute.net import PEER_CLOSED, Connection, SocketOwner

#: More than the kernel buffers of both ends take.
LARGE = bytes(16 << 20)


class FakePoller:
    """Accepts all registrations; the tests call the event handlers themselves."""

    def __getattr__(self, _name):
        return lambda *_args: None


class Peer:
    """A connection under test, the socket of its peer, and the events of the connection."""

    def __init__(self):
        self.owner = SocketOwner("owner")
        self.owner.use_poller(FakePoller())
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.sock = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        self.conn = Connection(self.owner, accepted, connecting=False)
        self.data = b""
        self.reasons = []
        self.conn.on_data = self.on_data
        self.conn.on_closed = self.reasons.append

    def on_data(self, data):
        self.data += data

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


@pytest.mark.parametrize(
    ("name", "events"),
    [
        ("the data is read first", ["readable", "writable", "readable"]),
        ("the write fails first", ["writable", "readable", "readable"]),
        ("another write fails", ["writable", "write", "readable", "readable"]),
        ("nothing is read before the tick", ["writable", "tick"]),
        ("nothing is written", ["readable", "readable"]),
    ],
)
def test_reset_during_a_write_is_not_an_orderly_close(name, events):
    """Guards against half of an unframed response that counts as whole after a reset."""
    peer = Peer()
    peer.conn.write(LARGE)
    peer.sock.sendall(b"half")
    peer.reset()
    handlers = {
        "readable": peer.conn.handle_readable,
        "writable": peer.conn.handle_writable,
        "write": lambda: peer.conn.write(b"more"),
        "tick": peer.owner.run_deferred,
    }
    for event in events:
        handlers[event]()
    assert peer.data == b"half", name
    assert len(peer.reasons) == 1 and peer.reasons != [PEER_CLOSED], name
    peer.owner.run_deferred()
    assert len(peer.reasons) == 1 and not peer.conn.is_open


def test_orderly_close_during_a_write_is_reported_as_such():
    """Guards against a whole unframed response that counts as cut off."""
    peer = Peer()
    peer.conn.write(LARGE)
    peer.sock.sendall(b"whole")
    peer.sock.shutdown(socket.SHUT_WR)
    peer.conn.handle_writable()
    peer.conn.handle_readable()
    peer.conn.handle_readable()
    assert (peer.data, peer.reasons) == (b"whole", [PEER_CLOSED])
    peer.sock.close()


def test_failed_write_drops_the_buffered_data():
    """Guards against memory that is kept, and polled for, until a failed connection is closed."""
    peer = Peer()
    peer.conn.write(LARGE)
    assert peer.conn.buffered
    peer.reset()
    peer.conn.handle_writable()
    assert peer.conn.buffered == 0
    peer.conn.write(b"more")
    assert peer.conn.buffered == 0
