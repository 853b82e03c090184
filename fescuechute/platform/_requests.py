"""Header fields of requests and answers, decoded into the project's types and back."""

from __future__ import annotations

from fescuechute.catalog import AnswerMeta, Onward, RequestMeta
from fescuechute.forwarding import Headers, header
from fescuechute.platform import _names as names

#: Fields of the client that are replaced or must not reach a replica.
_REPLACED = frozenset(
    {
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.TARGET_INSTANCE,
        names.WORKSPACE,
        names.PRIORITY,
        names.EXPECT_VERSION,
    }
)


def decode_request(headers: Headers) -> RequestMeta:
    """Reads what a client says about its request; what cannot be read counts as not said."""
    fields = {name.lower(): value for name, value in headers}
    deadline = _whole(fields.get(names.DEADLINE_MS))
    tokens = fields.get(names.TOKENS, b"").split(b",")
    return RequestMeta(
        request_id=fields.get(names.REQUEST_ID, b"").decode("latin-1"),
        key=_key(fields.get(names.AUTHORIZATION)),
        # A duration from the moment of sending, not a point in time.
        patience_s=None if deadline is None else deadline / 1000,
        last_event_id=_whole(fields.get(names.LAST_EVENT_ID)),
        model=fields.get(names.MODEL, b"").decode("latin-1"),
        prompt_tokens=_whole(tokens[0]) or 0,
        max_tokens=(_whole(tokens[1]) or 0) if len(tokens) > 1 else 0,
        expected_tokens=_whole(fields.get(names.LENGTH_HINT)) or 0,
    )


def encode_onward(headers: Headers, onward: Onward) -> Headers:
    """Returns the client's end-to-end fields with those that the system sets."""
    drop = _REPLACED
    if onward.last_event_id is not None:
        drop = drop | {names.LAST_EVENT_ID}
    fields = [(name, value) for name, value in headers if name.lower() not in drop]
    fields.append((b"X-Fescuechute-Target-Instance", onward.instance.encode()))
    left_ms = max(1, round(onward.left_s * 1000))
    fields.append((b"X-Fescuechute-Deadline-Ms", b"%d" % left_ms))
    fields.append((b"X-Fescuechute-Request-Priority", b"%d" % min(9, max(0, onward.rank))))
    if onward.workspace is not None:
        fields.append((b"X-Fescuechute-Tenant", onward.workspace.encode()))
    if onward.version is not None:
        fields.append((b"X-Fescuechute-Expect-Version", b"%d" % onward.version))
    if onward.last_event_id is not None:
        fields.append((b"Last-Event-Id", b"%d" % onward.last_event_id))
    return fields


def is_answer_to(request_id: str, headers: Headers) -> bool:
    """Returns whether an answer belongs to a request; replicas echo its id."""
    echoed = header(headers, names.REQUEST_ID)
    return echoed is None or echoed.decode("latin-1") == request_id


def decode_answer(status: int, headers: Headers) -> AnswerMeta:
    """Reads what a replica says about its answer."""
    return AnswerMeta(
        not_run=status == 421 or header(headers, names.NOT_EXECUTED) is not None,
        misdirected=status == 421,
        # Clients ask for bodies without encoding, so an encoded body is not the replica's.
        sealed=header(headers, names.SEAL) is not None
        and header(headers, b"content-encoding") is None,
    )


def _key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME and key.strip() else None


def _whole(value: bytes | None) -> int | None:
    if value is None:
        return None
    text = value.strip()
    return int(text) if text.isdigit() else None
