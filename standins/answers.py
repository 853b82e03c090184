"""The tokens that the engine stand-in generates, for the engine itself and for checkers."""

from __future__ import annotations

import json
from collections.abc import Iterable

from blake3 import blake3


def token_seed(model: str, version: str, adapter: str, adapter_version: str, prompt: str) -> bytes:
    """Returns what all tokens of one answer are derived from."""
    parts = [model, version, adapter, adapter_version, prompt]
    return blake3(json.dumps(parts).encode()).digest()


def token_at(seed: bytes, index: int) -> str:
    """Returns one token of the answer."""
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
    """Returns tokens `start` to `count - 1` of the answer.

    Args:
      model: Name of the model.
      version: Its version.
      adapter: Name of the adapter, or an empty string.
      adapter_version: Its version, or an empty string.
      prompt: The whole prompt.
      count: Length of the whole answer, which is `max_tokens` of the request.
      start: Tokens already delivered.
    """
    seed = token_seed(model, version, adapter, adapter_version, prompt)
    return [token_at(seed, index) for index in range(start, count)]


def text_digest(tokens: Iterable[str]) -> str:
    """Returns the digest in the end line: blake3 of the concatenated text of the whole answer."""
    return blake3("".join(tokens).encode()).hexdigest()
