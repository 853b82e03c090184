"""Header fields of the platform's protocol, for tests of other packages."""

SEAL = (b"X-Fescuechute-Response-Seal", b"s")
NOT_RUN = (b"X-Fescuechute-Not-Executed", b"1")
DEADLINE_MS = b"X-Fescuechute-Deadline-Ms"
INSTANCE = b"X-Fescuechute-Target-Instance"
