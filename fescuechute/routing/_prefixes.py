"""Fingerprints of prompt prefixes, for routing by prefix cache affinity."""

from __future__ import annotations

import xxhash

#: Characters in each block of a prompt, about 128 tokens. A shorter cached prefix saves too little
#: to prefer one upstream to another.
BLOCK_CHARS = 512
#: Limit on blocks of a prompt that are fingerprinted; bounds the cost of very long prompts.
MAX_BLOCKS = 16


def prefix_fingerprints(prompt: str) -> tuple[int, ...]:
    """Returns the fingerprint of each prefix of complete blocks of a prompt, shortest first."""
    digest = xxhash.xxh3_64()
    fingerprints = []
    for block in range(min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)):
        digest.update(prompt[block * BLOCK_CHARS : (block + 1) * BLOCK_CHARS].encode())
        fingerprints.append(digest.intdigest())
    return tuple(fingerprints)
