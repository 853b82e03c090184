"""Header fields, and which of them a proxy forwards."""

from __future__ import annotations

from collections.abc import Iterable

#: Name and value of each header field, in order; names may be in any case.
Headers = list[tuple[bytes, bytes]]

#: Hop-by-hop fields (RFC 9110 section 7.6.1) and fields that describe the framing.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the fields to forward: neither hop-by-hop nor listed in a `Connection` field."""
    fields = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    excluded = _HOP_BY_HOP | connection_options
    return [(name, value) for name, value in fields if name.lower() not in excluded]


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a field, or None. `name` must be in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)


def keep_alive_timeout_s(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Returns the `timeout` parameter of a `Keep-Alive` field in seconds, or None."""
    value = header(headers, b"keep-alive")
    for parameter in (value or b"").split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
