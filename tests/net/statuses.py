"""Response heads that no response may have, for the tests of both HTTP clients."""

#: Name and bytes of responses that must fail the call.
INVALID_HEADS = [
    *((f"{n:03}", b"HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n" % n) for n in (0, 1, 99, 101)),
    *((f"{n}", b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % n) for n in range(600, 1000)),
    *(
        (repr(status), b"HTTP/1.1 " + status + b" X\r\nContent-Length: 0\r\n\r\n")
        for status in (b"", b"9", b"20", b"2000", b"0200", b"+20", b"-20", b"2_0", b"\xb2\xb2\xb2")
    ),
    ("100 with a body", b"HTTP/1.1 100 X\r\nContent-Length: 5\r\n\r\nwrong"),
    ("103 with chunks", b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("204 with a body", b"HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\nwrong"),
    ("204 with chunks", b"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
]
