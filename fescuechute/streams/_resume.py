"""Rules for resuming or restarting an answer at another upstream."""

from __future__ import annotations

import attrs


@attrs.frozen
class ModelIdentity:
    """Model, adapter and their versions that produce an answer."""

    model: str
    #: Version of the model.
    version: str
    #: Adapter name; empty without an adapter.
    adapter: str = ""
    adapter_version: str = ""


def can_resume(original: ModelIdentity, candidate: ModelIdentity) -> bool:
    """Returns whether an answer started at one upstream may be resumed at another.

    Any difference in model, adapter or their versions could mix two different texts in one answer.
    An unknown version matches nothing.
    """
    versions_known = bool(original.model and original.version)
    adapter_known = not original.adapter or bool(original.adapter_version)
    return versions_known and adapter_known and original == candidate


def can_restart(delivered: int, streamed: bool) -> bool:
    """Returns whether an answer may be restarted from its first token.

    Args:
      delivered: Number of tokens received so far.
      streamed: Whether tokens are passed to the caller as they arrive.
    """
    return not streamed or delivered == 0
