"""Decides on which versions of a model's weights a request may start."""

from __future__ import annotations

import attrs

#: Seconds before the end of the bound at which older versions stop getting new requests. A request
#: may wait that long at a replica before it starts.
BINDING_MARGIN_S = 0.6
#: Seconds after that at which requests that have not started on an older version are cancelled. The
#: rest of the margin lets the cancellation reach the replica, which drops a request when its
#: connection closes.
CANCEL_DELAY_S = 0.15


@attrs.frozen
class _Declaration:
    version: int
    #: Unix seconds from which no request is sent to an older version.
    binding_at: float


class VersionTable:
    """Declared versions of the weights by model.

    Args:
      bound_s: Seconds after a declaration from which no request may start on an older version.
    """

    def __init__(self, bound_s: float):
        self._bound_s = bound_s
        self._declarations: dict[str, list[_Declaration]] = {}

    def declare(self, model: str, version: int, earliest_declared_at: float) -> bool:
        """Records a declaration; returns False if this or a newer version is already declared.

        Args:
          model: Name of the model.
          version: Declared version.
          earliest_declared_at: Unix seconds; the version was not declared before that time.
        """
        declarations = self._declarations.setdefault(model, [])
        if any(item.version >= version for item in declarations):
            return False
        declarations.append(
            _Declaration(version, earliest_declared_at + self._bound_s - BINDING_MARGIN_S)
        )
        return True

    def cancel_unstarted_at(self, model: str, version: int) -> float:
        """Returns the unix seconds at which requests not started on a version are cancelled."""
        binding_times = [
            item.binding_at for item in self._declarations.get(model, ()) if item.version > version
        ]
        return min(binding_times, default=float("inf")) + CANCEL_DELAY_S

    def required_version(self, model: str, now: float) -> int:
        """Returns the oldest version that new requests may be sent to, 0 for any."""
        declarations = self._declarations.get(model, ())
        return max((item.version for item in declarations if now >= item.binding_at), default=0)
