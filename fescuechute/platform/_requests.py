"""Decoding of request and response header fields, and encoding of forwarded requests."""

from __future__ import annotations

import re

from fescuechute.catalog import ForwardedMeta, RequestMeta, ResponseMeta
from fescuechute.forwarding import Headers, header
from fescuechute.platform import _names as names

#: A decimal number of seconds, up to some years.
_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")
#: Fields from the client that are dropped or replaced before a request is forwarded.
_REPLACED_FIELDS = frozenset(
    {
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.TARGET_INSTANCE,
        names.WORKSPACE,
        names.PRIORITY,
        names.EXPECT_VERSION,
    }
)
#: Digits of a number in a field; each number of so many digits fits in 64 bits.
_MAX_DIGITS = 18

#: Limits on the shared parts of a prompt that are decoded, and on the length of their ids.
_MAX_SHARED_PARTS = 64
_MAX_PART_ID_BYTES = 128


def decode_request(headers: Headers) -> RequestMeta:
    """Decodes the header fields of a client's request; malformed fields count as absent."""
    fields = {name.lower(): value for name, value in headers}
    deadline_ms = _integer(fields.get(names.DEADLINE_MS))
    token_counts = fields.get(names.TOKENS, b"").split(b",")
    return RequestMeta(
        request_id=fields.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=_parse_key(fields.get(names.AUTHORIZATION)),
        # A duration that starts when the client sends the request, not a timestamp.
        client_timeout_s=None if deadline_ms is None else deadline_ms / 1000,
        last_event_id=_integer(fields.get(names.LAST_EVENT_ID)),
        model=fields.get(names.MODEL, b"").decode("latin-1"),
        prompt_tokens=_integer(token_counts[0]) or 0,
        max_tokens=(_integer(token_counts[1]) or 0) if len(token_counts) > 1 else 0,
        expected_tokens=_integer(fields.get(names.LENGTH_HINT)) or 0,
        shared_parts=_shared_parts(fields.get(names.PROMPT_PREFIX, b"")),
    )


def encode_forwarded_headers(headers: Headers, forwarded: ForwardedMeta) -> Headers:
    """Returns the header fields for the replica: the client's fields plus the system's own."""
    dropped_names = _REPLACED_FIELDS
    if forwarded.last_event_id is not None:
        dropped_names = dropped_names | {names.LAST_EVENT_ID}
    fields = [(name, value) for name, value in headers if name.lower() not in dropped_names]
    fields.append((b"X-Fescuechute-Target-Instance", forwarded.instance.encode()))
    remaining_ms = max(1, round(forwarded.remaining_s * 1000))
    fields.append((b"X-Fescuechute-Deadline-Ms", b"%d" % remaining_ms))
    fields.append((b"X-Fescuechute-Request-Priority", b"%d" % min(9, max(0, forwarded.rank))))
    if forwarded.workspace is not None:
        fields.append((b"X-Fescuechute-Tenant", forwarded.workspace.encode()))
    if forwarded.version is not None:
        fields.append((b"X-Fescuechute-Expect-Version", b"%d" % forwarded.version))
    if forwarded.last_event_id is not None:
        fields.append((b"Last-Event-Id", b"%d" % forwarded.last_event_id))
    return fields


def is_response_to(request_id: str, headers: Headers) -> bool:
    """Returns whether a response may belong to a request, by the id that replicas echo.

    One without an id may belong to any request that was sent on its connection.
    """
    echoed = header(headers, names.REQUEST_ID)
    return echoed is None or echoed.decode("latin-1") == request_id


def decode_response_meta(status: int, headers: Headers) -> ResponseMeta:
    """Decodes the status and header fields of a replica's response."""
    return ResponseMeta(
        names_request=header(headers, names.REQUEST_ID) is not None,
        not_run=status == 421 or header(headers, names.NOT_EXECUTED) is not None,
        misdirected=status == 421,
        # Clients request unencoded bodies, so an encoded body was altered on its way.
        sealed=header(headers, names.SEAL) is not None
        and header(headers, b"content-encoding") is None,
        # The response to a misdirected request comes from another replica at the same address.
        leaving=status != 421 and (header(headers, names.LEAVING) or b"").strip() == b"1",
        retry_after_s=_seconds(header(headers, names.RETRY_AFTER)) if status == 503 else None,
    )


def _shared_parts(value: bytes) -> tuple[str, ...]:
    """Returns the ids of all parts but the last one; malformed entries are skipped."""
    ids = []
    for entry in value.split(b",")[:-1][:_MAX_SHARED_PARTS]:
        part_id = entry.partition(b":")[0].strip().lower()
        if part_id and len(part_id) <= _MAX_PART_ID_BYTES:
            ids.append(part_id.decode("latin-1"))
    return tuple(ids)


def _parse_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME and key.strip() else None


def _seconds(value: bytes | None) -> float | None:
    text = (value or b"").strip()
    return float(text) if _SECONDS.fullmatch(text) else None


def _integer(value: bytes | None) -> int | None:
    if value is None:
        return None
    text = value.strip()
    return int(text) if text.isdigit() and len(text) <= _MAX_DIGITS else None
