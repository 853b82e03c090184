"""Keys, partitions and records."""

import doctest
import math

import pytest

import fescuechute.claims
from fescuechute.claims import (
    ClaimRecord,
    EraRecord,
    Key,
    OutcomeRecord,
    ReleaseRecord,
    Scope,
    check_age,
    parse_record,
    partition_of,
)
from fescuechute.errors import Reason, RefusedError

SCOPE = Scope("acme", "bookings", Key.parse("1000000-booking_1"))
CLAIM = ClaimRecord("e1/1", SCOPE, "book", "e1", "digest")
ERA = EraRecord(2, 1000.5, "e1", 3)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "booking_1",
        "1000000-short",
        "1000000-" + "a" * 65,
        "-booking_1",
        "1e6-booking_1",
        "1000000-book ing",
        "1000000-booking_1\n",
        "١٠٠-booking_1",
        "9" * 15 + "-booking_1",
        None,
    ],
)
def test_malformed_keys_are_refused(text):
    """The age of a key cannot be checked without a valid time."""
    with pytest.raises(RefusedError) as caught:
        Key.parse(text)
    assert caught.value.reason is Reason.KEY_MALFORMED


@pytest.mark.parametrize(
    ("now", "reason"),
    [
        pytest.param(1000.0, None, id="new"),
        pytest.param(1600.0, None, id="end_of_window"),
        pytest.param(1600.1, Reason.KEY_EXPIRED, id="past_window"),
        pytest.param(995.0, None, id="within_skew"),
        pytest.param(994.9, Reason.KEY_MALFORMED, id="from_the_future"),
    ],
)
def test_age_of_a_key(now, reason):
    """A key past its window must not be claimed, because its outcome may no longer be stored."""
    if reason is None:
        check_age(SCOPE.key, now, 600.0, 5.0)
        return
    with pytest.raises(RefusedError) as caught:
        check_age(SCOPE.key, now, 600.0, 5.0)
    assert caught.value.reason is reason


def test_partition_depends_on_the_whole_scope():
    """All processes must agree, and field boundaries must affect the partition."""
    assert partition_of(SCOPE, 4) == partition_of(Scope("acme", "bookings", SCOPE.key), 4)
    ab_c = partition_of(Scope("ab", "c", SCOPE.key), 1 << 30)
    assert ab_c != partition_of(Scope("a", "bc", SCOPE.key), 1 << 30)


@pytest.mark.parametrize(
    "record",
    [
        CLAIM,
        OutcomeRecord("e1/1", 200, "{}"),
        ReleaseRecord("e1/1", "e1"),
        ERA,
    ],
)
def test_records_round_trip(record):
    """A record must be parsed to what was written."""
    assert parse_record(record.to_data()) == record


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(None, id="no_object"),
        pytest.param({"type": "claims"}, id="unknown_type"),
        pytest.param({"type": ["claim"]}, id="type_not_text"),
        pytest.param({**CLAIM.to_data(), "key": "x"}, id="malformed_key"),
        pytest.param({**CLAIM.to_data(), "holder": ""}, id="empty_holder"),
        pytest.param({**CLAIM.to_data(), "digest": 7}, id="digest_not_text"),
        pytest.param(
            {"type": "outcome", "claim_id": "e1/1", "status": True, "body": ""}, id="status"
        ),
        *(
            pytest.param(
                {"type": "outcome", "claim_id": "e1/1", "status": status, "body": "{}"},
                id=f"status_{status}",
            )
            for status in ("000", 0, 100, 199, 600, 200.0)
        ),
        pytest.param({"type": "outcome", "claim_id": "e1/1", "status": 200}, id="no_body"),
        pytest.param({"type": "release", "claim_id": "e1/1"}, id="release_without_holder"),
        pytest.param({**ERA.to_data(), "era": 0}, id="era_without_return"),
        pytest.param({**ERA.to_data(), "returned_by": math.nan}, id="era_without_time"),
        pytest.param({**ERA.to_data(), "number": "1"}, id="era_without_number"),
    ],
)
def test_invalid_records_are_rejected(data):
    """An invalid record must not be folded with some of its fields missing."""
    with pytest.raises(ValueError, match=r"expected|malformed"):
        parse_record(data)


def test_package_docstring_example():
    """The example in the package docstring must run."""
    assert doctest.testmod(fescuechute.claims).failed == 0
