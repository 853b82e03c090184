"""When an answer may move to another upstream."""

from __future__ import annotations

import attrs


@attrs.frozen
class Served:
    """What produced, or would produce, an answer."""

    model: str
    #: Version of the model.
    version: str
    #: Empty without an adapter.
    adapter: str = ""
    adapter_version: str = ""


def can_resume(begun: Served, offered: Served) -> bool:
    """Returns whether an answer begun by one upstream may go on at another.

    Any difference in model, adapter or either version could mix two texts in one answer. An
    unknown version matches nothing.
    """
    versions_known = bool(begun.model and begun.version)
    adapter_known = not begun.adapter or bool(begun.adapter_version)
    return versions_known and adapter_known and begun == offered


def can_restart(delivered: int, streamed: bool) -> bool:
    """Returns whether an answer may begin again from nothing.

    Args:
      delivered: Tokens received so far.
      streamed: Whether tokens are passed to the caller as they arrive.
    """
    return not streamed or delivered == 0
