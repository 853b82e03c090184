"""Fingerprints of prompt prefixes, for affinity to warm prefix caches."""

from __future__ import annotations

import xxhash

#: Characters for each fingerprint; about 128 tokens, less is not worth a detour.
BLOCK_CHARS = 512
#: Fingerprints for each prompt, which bounds the effort for very long prompts.
MAX_BLOCKS = 16


def prefix_fingerprints(prompt: str) -> tuple[int, ...]:
    """Returns a fingerprint of each whole-block prefix of a prompt, shortest first."""
    digest = xxhash.xxh3_64()
    prints = []
    for block in range(min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)):
        digest.update(prompt[block * BLOCK_CHARS : (block + 1) * BLOCK_CHARS].encode())
        prints.append(digest.intdigest())
    return tuple(prints)
