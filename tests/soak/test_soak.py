"""A short soak: guards against faults that only occur when disturbances overlap."""

import pytest

from soak import Options, play


@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_rule_is_broken_while_disturbances_overlap(seed, tmp_path):
    """Guards against lost, doubled and foreign answers, and against states that a return leaves behind."""
    played = play(Options(seed, seconds=18.0, keep=tmp_path))
    assert played.findings == [], "\n".join(played.timeline)
    assert played.served > 0
