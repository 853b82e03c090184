"""Idempotency keys, their scopes, and the assignment of scopes to partitions."""

from __future__ import annotations

import json
import re

import attrs
import xxhash

from fescuechute.errors import Reason, RefusedError

_KEY = re.compile(r"([0-9]{1,14})-([A-Za-z0-9_]{8,64})")


@attrs.frozen
class Key:
    """A caller's idempotency key, `<creation time in unix milliseconds>-<identifier>`."""

    #: The key as the caller sent it.
    text: str
    #: Creation time that the key carries, in unix seconds.
    created_at: float

    @classmethod
    def parse(cls, text: str) -> Key:
        """Parses a key, or raises `RefusedError` with `KEY_MALFORMED`."""
        match = _KEY.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise RefusedError(
                Reason.KEY_MALFORMED, f"The idempotency key {text!r:.100} is malformed."
            )
        return cls(text, int(match[1]) / 1000)


@attrs.frozen
class Scope:
    """Scope in which a key is unique; equal keys of other workspaces or services are unrelated."""

    workspace: str
    service: str
    key: Key


def check_age(key: Key, now: float, window_s: float, skew_s: float) -> None:
    """Checks that a key is neither expired nor too far in the future.

    Args:
      key: The key.
      now: Unix seconds.
      window_s: Maximum age of a key, in seconds.
      skew_s: Tolerated clock skew: how far the key's time may be in the future, in seconds.

    Raises:
      RefusedError: `KEY_EXPIRED` or `KEY_MALFORMED`.
    """
    if now - key.created_at > window_s:
        raise RefusedError(
            Reason.KEY_EXPIRED,
            f"The key {key.text} is {now - key.created_at:.0f} s old, more than {window_s:.0f} s.",
        )
    if key.created_at - now > skew_s:
        raise RefusedError(
            Reason.KEY_MALFORMED,
            f"The time of key {key.text} lies {key.created_at - now:.0f} s in the future.",
        )


def partition_of(scope: Scope, partitions: int) -> int:
    """Returns the partition of a scope, from 0 to `partitions - 1`."""
    text = json.dumps([scope.workspace, scope.service, scope.key.text])
    return xxhash.xxh64_intdigest(text.encode()) % partitions
