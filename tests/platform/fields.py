"""Header fields of the platform, for tests outside this folder."""

SEAL = (b"X-Fescuechute-Response-Seal", b"s")
NOT_RUN = (b"X-Fescuechute-Not-Executed", b"1")
LEFT_MS = b"X-Fescuechute-Deadline-Ms"
INSTANCE = b"X-Fescuechute-Target-Instance"
