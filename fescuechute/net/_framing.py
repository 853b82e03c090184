"""Checks of received heads, and the limit on the cost of bodies in very small parts."""

from __future__ import annotations

import attrs
import h11

from fescuechute.checks import is_final_status

#: Parts of a body that may be of any size.
_FREE_PARTS = 4096
#: Mean size in bytes that the parts of a body must have beyond that; events of a stream are larger.
_MIN_MEAN_BYTES = 8


@attrs.define
class BodyParts:
    """Counts the parts in which a body arrives.

    Decoding a part costs the same whatever its size, so a body in parts of one byte takes a hundred times
    as long as its size suggests, and delays all other connections of the process.
    """

    count: int = 0
    bytes: int = 0

    def add(self, size: int) -> bool:
        """Counts a part; returns False if the body arrives in too many too small parts.

        Args:
          size: Size of the part in bytes.
        """
        self.count += 1
        self.bytes += size
        return self.count <= _FREE_PARTS or self.bytes >= self.count * _MIN_MEAN_BYTES


def check_head(event: h11.Response | h11.InformationalResponse) -> None:
    """Checks what h11 accepts in the head of a response although no response may have it.

    Raises:
      h11.RemoteProtocolError: If a final status is not 200 to 599, or if the head of a 1xx or 204
        declares a body (RFC 9110 sections 8.6 and 15, RFC 9112 section 6.1).
    """
    status = event.status_code
    if isinstance(event, h11.Response) and not is_final_status(status):
        raise h11.RemoteProtocolError(f"The status is {status}, expected 200 to 599.")
    if (status < 200 or status == 204) and declares_body(event):
        raise h11.RemoteProtocolError(f"A response with status {status} declares a body.")


def declares_body(event: h11.Response | h11.InformationalResponse) -> bool:
    """Returns whether the head of a response announces a body, whatever its status."""
    return any(
        name == b"transfer-encoding" or (name == b"content-length" and value.strip(b"0"))
        for name, value in event.headers
    )
