"""Refusals: guards against a reason without an HTTP status or a remedy."""

import pytest

from fescuechute.errors import Reason, RefusedError, refusal


@pytest.mark.parametrize("reason", list(Reason))
def test_each_reason_has_a_status_and_a_remedy(reason):
    """Every refusal must tell the caller what to do."""
    presented = refusal(reason)
    assert 400 <= presented.status < 600
    assert presented.remedy.endswith(".")
    assert presented.remedy in str(RefusedError(reason, "Found."))
