"""Header fields: guards against leaked keys, forged fields and misread responses."""

import pytest

from fescuechute.catalog import ForwardedMeta
from fescuechute.platform import (
    decode_request,
    decode_response_meta,
    encode_forwarded_headers,
    is_response_to,
)

CLIENT_FIELDS = [
    (b"Host", b"a.example"),
    (b"X-Fescuechute-Request-Id", b"9c41"),
    (b"Authorization", b"Token secret"),
    (b"X-Fescuechute-Deadline-Ms", b"6038"),
    (b"X-Fescuechute-Token-Count", b"1460,80"),
    (b"X-Fescuechute-Tenant", b"forged"),
    (b"X-Fescuechute-Target-Instance", b"forged"),
    (b"X-Other", b"kept"),
]


def test_request_fields_are_decoded():
    """Guards against reading the remaining time as a timestamp."""
    meta = decode_request(CLIENT_FIELDS)
    assert (meta.request_id, meta.key, meta.client_timeout_s) == ("9c41", "secret", 6.038)
    assert (meta.prompt_tokens, meta.max_tokens) == (1460, 80)


def test_malformed_fields_count_as_absent():
    """Guards against an exception on a malformed field."""
    meta = decode_request([(b"Authorization", b"Basic x"), (b"X-Fescuechute-Deadline-Ms", b"-")])
    assert (meta.key, meta.client_timeout_s, meta.prompt_tokens) == (None, None, 0)


def test_forwarded_fields_replace_those_of_the_client():
    """Guards against forwarding the client's key or a forged field to a replica."""
    forwarded = ForwardedMeta("i-1", "taller", 1.5, 2, 3, 12)
    fields = encode_forwarded_headers([*CLIENT_FIELDS, (b"Last-Event-Id", b"4")], forwarded)
    values = {name.lower(): value for name, value in fields}
    assert len(values) == len(fields), "no field occurs twice"
    assert b"authorization" not in values
    assert values[b"x-fescuechute-target-instance"] == b"i-1"
    assert values[b"x-fescuechute-tenant"] == b"taller"
    assert values[b"x-fescuechute-deadline-ms"] == b"1500"
    assert values[b"x-fescuechute-expect-version"] == b"3"
    assert values[b"last-event-id"] == b"12"
    assert values[b"x-other"] == b"kept"


def test_only_an_explicit_statement_of_the_replica_means_not_run():
    """Guards against retrying a request that the replica may have executed."""
    assert decode_response_meta(503, [(b"X-Fescuechute-Not-Executed", b"1")]).not_run
    assert decode_response_meta(421, []).not_run
    assert not decode_response_meta(503, []).not_run
    assert not decode_response_meta(500, [(b"X-Fescuechute-Response-Seal", b"s")]).not_run


def test_encoded_body_does_not_count_as_sealed():
    """Guards against trusting a body that an intermediary has altered."""
    seal = (b"X-Fescuechute-Response-Seal", b"s")
    assert decode_response_meta(200, [seal]).sealed
    assert not decode_response_meta(200, [seal, (b"Content-Encoding", b"gzip")]).sealed
    assert not decode_response_meta(200, []).sealed


def test_response_to_another_request_is_detected():
    """Guards against delivering a late response to the wrong client."""
    assert is_response_to("9c41", [(b"X-Fescuechute-Request-Id", b"9c41")])
    assert not is_response_to("9c41", [(b"X-Fescuechute-Request-Id", b"0000")])


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1E:800, 91bd:410,e4402b7d:250", ("5c1e", "91bd")),
        (b"5c1e:800", ()),
        (b"", ()),
        (b",:4,5c1e,", ("5c1e",)),
        (b"a" * 129 + b":1,5c1e:2,7:1", ("5c1e",)),
        (b"\xff:1,5c1e:2", ("\xff",)),
        (b"1:1," * 1000, ("1",) * 64),
    ],
)
def test_shared_parts_of_a_prompt(value, parts):
    """Guards against a quarantine of the part that no other request has, and against endless lists."""
    assert decode_request([(b"X-Fescuechute-Prompt-Prefix", value)]).shared_parts == parts


def test_statement_that_a_replica_is_leaving_is_decoded():
    """Guards against requests to a leaving replica, and against one that leaves on behalf of another."""
    cases = [
        ("success", 200, [(b"Server-Leaving", b"1")], True),
        ("refusal, other case", 503, [(b"server-leaving", b" 1 ")], True),
        ("not leaving", 200, [(b"Server-Leaving", b"0")], False),
        ("no statement", 200, [], False),
        ("another replica at the address", 421, [(b"Server-Leaving", b"1")], False),
    ]
    for name, status, fields, leaving in cases:
        assert decode_response_meta(status, fields).leaving is leaving, name


def test_time_for_which_a_replica_wants_no_requests_is_decoded():
    """Guards against requests to a replica that asked to wait, and against a malformed field."""
    cases = [
        ("seconds", 503, b"3", 3.0),
        ("fraction", 503, b" 0.25 ", 0.25),
        ("no refusal", 200, b"3", None),
        ("another status", 429, b"3", None),
        ("a date", 503, b"Sat, 05 Dec 2026 07:00:00 GMT", None),
        ("negative", 503, b"-1", None),
        ("too many digits", 503, b"9" * 5000, None),
        ("exponent", 503, b"1e9", None),
        ("not a number", 503, b"nan", None),
    ]
    for name, status, value, seconds in cases:
        assert decode_response_meta(status, [(b"Retry-After", value)]).retry_after_s == seconds, (
            name
        )
