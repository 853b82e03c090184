"""Bodies in very small parts: guards against a process that only decodes them."""

import pytest

from fescuechute.net import BodyParts


@pytest.mark.parametrize(
    ("name", "sizes", "accepted"),
    [
        ("a few small parts", [1] * 4096, True),
        ("many small parts", [1] * 4097, False),
        ("many small parts after a large one", [100_000] + [1] * 4097, True),
        ("many parts of a token each", [8] * 100_000, True),
        ("many parts below that", [7] * 4097, False),
    ],
)
def test_bodies_in_many_small_parts_are_rejected(name, sizes, accepted):
    """Guards against a body whose decoding takes seconds, and against refusing a stream of tokens."""
    parts = BodyParts()
    results = [parts.add(size) for size in sizes]
    assert results[-1] is accepted, name
    assert all(results[:-1])
