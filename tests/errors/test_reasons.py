"""Refusals: guards against a reason that callers see without status or remedy."""

import pytest

from fescuechute.errors import Reason, RefusedError, refusal


@pytest.mark.parametrize("reason", list(Reason))
def test_each_reason_names_a_status_and_a_remedy(reason):
    """A caller must never get a refusal that does not say what to do."""
    shown = refusal(reason)
    assert 400 <= shown.status < 600
    assert shown.remedy.endswith(".")
    assert shown.remedy in str(RefusedError(reason, "Found."))
