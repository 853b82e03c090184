"""Odd records of other writers: guards against errors that the decoders do not declare."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.errors import PlatformError
from fescuechute.platform import (
    decode_operator_record,
    decode_registration,
    decode_report,
    decode_request,
)
from fescuechute.platform._records import decode_manifest

ENTRY = {
    "service": "lm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "slots": 16,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "born": 1_700_000_000_000,
}
ENGINE = {"slots": 4, "kv_capacity": 1000, "step_ms": 8, "read_per_s": 1000}
SERVICE = {"name": "lm", "engine": ENGINE}
ROUTE = {"host": "a.example", "path_prefix": "/a/", "service": "lm"}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}
REPORT = {"models": ENTRY["models"], "queued": 1, "active": 2, "pace": 1.0}
MANIFEST = {"model": "m", "version": 1, "digests": ["00" * 32]}
DEEP = b"[" * 100_000 + b"]" * 100_000
#: 400 digits: an integer for JSON, but no float.
HUGE = int("9" * 400)
#: Placeholder of a value that is written into the JSON text as it stands.
RAW = "@@"


def to_json(value, raw=b""):
    return json.dumps(value).encode().replace(b'"@@"', raw)


def changed(value, **changes):
    return to_json({**value, **changes})


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("deeply nested", DEEP),
        ("deeply nested slots", to_json({**ENTRY, "slots": RAW}, DEEP)),
        ("deeply nested models", to_json({**ENTRY, "models": RAW}, DEEP)),
        ("slots of 400 digits", changed(ENTRY, slots=HUGE)),
        ("slots of 5,000 digits", to_json({**ENTRY, "slots": RAW}, b"9" * 5000)),
        ("slots over 64 bits", changed(ENTRY, slots=1 << 64)),
        ("negative slots", changed(ENTRY, slots=-1)),
        ("born of 400 digits", changed(ENTRY, born=HUGE)),
        ("born that is infinite", to_json({**ENTRY, "born": RAW}, b"1e400")),
        ("version over 64 bits", changed(ENTRY, models=[{"name": "m", "version": 1 << 64}])),
        ("port 0", changed(ENTRY, address="10.0.0.9:0")),
        ("port over 65535", changed(ENTRY, address="10.0.0.9:70000")),
        ("port of 5,000 digits", changed(ENTRY, address="10.0.0.9:" + "9" * 5000)),
        ("negative port", changed(ENTRY, address="10.0.0.9:-1")),
        ("IPv6 address", changed(ENTRY, address="[::1]:8080")),
        ("host name", changed(ENTRY, address="a.example:8080")),
        ("service with a surrogate", changed(ENTRY, service="\ud800")),
        ("zone with a surrogate", changed(ENTRY, zone="\udcff")),
        ("model with a surrogate", changed(ENTRY, models=[{"name": "\ud800", "version": 1}])),
    ],
)
def test_odd_registration_is_rejected(name, value):
    """Guards against an entry that ends the reading of the registry or breaks a later step."""
    with pytest.raises(PlatformError) as caught:
        decode_registration("i-1", value)
    assert len(str(caught.value)) < 600, name


@pytest.mark.parametrize(
    ("name", "key"),
    [
        ("line break", "i-1\r\nX-Other: 1"),
        ("null", "i\0"),
        ("surrogate", "i\ud800"),
        ("trailing space", "i "),
        ("empty", ""),
    ],
)
def test_registration_whose_id_is_no_header_value_is_rejected(name, key):
    """Guards against requests without an answer because their header cannot be encoded."""
    with pytest.raises(PlatformError):
        decode_registration(key, to_json(ENTRY))


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("deeply nested", DEEP),
        ("version over 64 bits", changed(CONFIGURATION, version=1 << 64)),
        ("timeout of 400 digits", changed(CONFIGURATION, routes=[{**ROUTE, "timeout_ms": HUGE}])),
        (
            "weight that is infinite",
            changed(
                CONFIGURATION,
                routes=[{**ROUTE, "split": [{"service": "lm", "weight": float("inf")}]}],
            ),
        ),
        (
            "weight that is no number",
            changed(
                CONFIGURATION,
                routes=[{**ROUTE, "split": [{"service": "lm", "weight": float("nan")}]}],
            ),
        ),
        (
            "no slots",
            changed(CONFIGURATION, services=[{**SERVICE, "engine": {**ENGINE, "slots": 0}}]),
        ),
        (
            "no reading speed",
            changed(CONFIGURATION, services=[{**SERVICE, "engine": {**ENGINE, "read_per_s": 0}}]),
        ),
        ("origin port", changed(CONFIGURATION, services=[{**SERVICE, "origin": "10.0.0.1:70000"}])),
        ("tenant with a line break", changed(CONFIGURATION, tenants=[{"name": "a\r\nb"}])),
    ],
)
def test_odd_configuration_is_rejected(name, value):
    """Guards against a configuration that stops the machines instead of being refused."""
    with pytest.raises(PlatformError):
        decode_operator_record("config", value)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("deeply nested", DEEP),
        ("pace of 400 digits", changed(REPORT, pace=HUGE)),
        ("pace of zero", to_json({**REPORT, "pace": 0})),
        ("pace that is infinite", to_json({**REPORT, "pace": RAW}, b"1e400")),
        ("queue over 64 bits", changed(REPORT, queued=1 << 64)),
        ("born over 64 bits", changed(REPORT, born=1 << 64)),
        ("model with a surrogate", changed(REPORT, models=[{"name": "\ud800", "version": 1}])),
    ],
)
def test_odd_report_is_rejected(name, value):
    """Guards against a report that cannot be passed on to the gateways."""
    with pytest.raises(PlatformError):
        decode_report(value)


def test_detail_of_a_rejected_manifest_can_be_written_as_a_metric():
    """Guards against a metrics page that fails on text of the origin."""
    with pytest.raises(PlatformError) as caught:
        decode_manifest(changed(MANIFEST, model="\ud800" * 5000), "m", 1)
    assert str(caught.value).isascii()
    assert len(str(caught.value)) < 600


@pytest.mark.parametrize("digits", [19, 400, 5000])
def test_request_field_with_too_many_digits_counts_as_absent(digits):
    """Guards against requests without an answer because a field holds too large a number."""
    number = b"9" * digits
    meta = decode_request(
        [
            (b"X-Fescuechute-Deadline-Ms", number),
            (b"Last-Event-Id", number),
            (b"X-Fescuechute-Token-Count", number + b"," + number),
        ]
    )
    assert (meta.client_timeout_s, meta.last_event_id, meta.prompt_tokens) == (None, None, 0)


# Arbitrary records.

_NUMBERS = st.one_of(
    st.integers(), st.integers(-(10**500), 10**500), st.floats(), st.sampled_from([HUGE, 1 << 64])
)
_TEXTS = st.one_of(
    st.text(st.characters(), max_size=8),
    st.sampled_from(["ready", "\ud800", "1.2.3.4:0", "1.2.3.4:80", "m", "lm"]),
)
_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), _NUMBERS, _TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(_TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)


def mutated(base):
    """Returns a strategy of `base` with some values replaced, also nested ones."""
    return st.dictionaries(st.sampled_from(sorted(base)), _VALUES).map(lambda d: {**base, **d})


_BODIES = st.one_of(
    st.binary(max_size=64),
    _VALUES.map(to_json),
    *(mutated(base).map(to_json) for base in (ENTRY, REPORT, MANIFEST, CONFIGURATION)),
    mutated(ROUTE).map(lambda route: changed(CONFIGURATION, routes=[route])),
    mutated(ENGINE).map(lambda e: changed(CONFIGURATION, services=[{**SERVICE, "engine": e}])),
)


@given(_BODIES, _TEXTS)
def test_decoders_raise_only_their_declared_error(value, key):
    """Guards against records that end the tick of a process."""
    for decode in (
        lambda: decode_registration(key, value),
        lambda: decode_operator_record("config", value),
        lambda: decode_operator_record("version/m", value),
        lambda: decode_report(value),
        lambda: decode_manifest(value, "m", 1),
    ):
        try:
            decode()
        except PlatformError as exc:
            str(exc).encode()
