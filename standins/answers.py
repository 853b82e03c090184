"""Deterministic output of the engine stand-in, shared by the engine and by test checkers."""

from __future__ import annotations

import json
from collections.abc import Iterable

from blake3 import blake3


def token_seed(model: str, version: str, adapter: str, adapter_version: str, prompt: str) -> bytes:
    """Returns the seed from which all tokens of an output are derived."""
    parts = [model, version, adapter, adapter_version, prompt]
    return blake3(json.dumps(parts).encode()).digest()


def token_at(seed: bytes, index: int) -> str:
    """Returns the token at an index of the output."""
    return blake3(seed + index.to_bytes(8, "big")).hexdigest()[:6] + " "


def expected_tokens(
    model: str,
    version: str,
    adapter: str,
    adapter_version: str,
    prompt: str,
    count: int,
    start: int = 0,
) -> list[str]:
    """Returns the tokens at indices `start` to `count - 1` of the output.

    Args:
      model: Name of the model.
      version: Version of the model.
      adapter: Name of the adapter, or an empty string.
      adapter_version: Version of the adapter, or an empty string.
      prompt: The whole prompt.
      count: Tokens in the whole output, which is `max_tokens` of the request.
      start: Number of leading tokens to skip, such as those already delivered.
    """
    seed = token_seed(model, version, adapter, adapter_version, prompt)
    return [token_at(seed, index) for index in range(start, count)]


def text_digest(tokens: Iterable[str]) -> str:
    """Returns the digest of the end line: blake3 of the concatenated tokens of the whole output."""
    return blake3("".join(tokens).encode()).hexdigest()
