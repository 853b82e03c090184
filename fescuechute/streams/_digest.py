"""Digest of the text of an answer."""

from __future__ import annotations

from collections.abc import Iterable

import blake3


def text_digest(tokens: Iterable[str]) -> str:
    """Returns the blake3 hex digest of the concatenated tokens in UTF-8."""
    return blake3.blake3("".join(tokens).encode()).hexdigest()
