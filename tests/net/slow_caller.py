"""A caller that goes on writing a body after it was refused, and reads only then."""

import socket
import time

TIMEOUT_S = 5.0


def send_slowly(port: int, head: bytes, part: bytes, parts: int, pause_s: float) -> bytes:
    """Sends a head and a body in parts, then returns what was received until the connection ended."""
    with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as conn:
        conn.sendall(head)
        for _ in range(parts):
            conn.sendall(part)
            time.sleep(pause_s)
        received = b""
        while data := conn.recv(65536):
            received += data
        return received
