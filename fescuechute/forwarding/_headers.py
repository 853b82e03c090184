"""Header fields: which of them concern one connection only."""

from __future__ import annotations

from collections.abc import Iterable

#: Name and value of header fields in their order; names may have any case.
Headers = list[tuple[bytes, bytes]]

#: Fields that concern one connection, RFC 9110 section 7.6.1, and those that carry the framing.
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
    """Returns the fields that are passed on: neither hop-by-hop nor named by `Connection`."""
    fields = list(headers)
    named = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    drop = _HOP_BY_HOP | named
    return [(name, value) for name, value in fields if name.lower() not in drop]


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Returns the first value of a field, or None. The name is in lower case."""
    return next((value for key, value in headers if key.lower() == name), None)


def keep_alive_s(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Returns the idle time in seconds that a `Keep-Alive` field announces, or None."""
    value = header(headers, b"keep-alive")
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    return None
