"""Which version of a model's weights a request may still begin on."""

from __future__ import annotations

import attrs

#: Seconds before the end of the bound from which on older versions get no new requests. A request
#: may wait that long at a replica before it begins.
MARGIN_S = 0.6
#: Seconds after that at which requests that have not begun on an older version are taken back from it.
#: What is left of the margin is for the way to the replica, which drops a request whose connection ends.
TAKE_BACK_S = 0.15


@attrs.frozen
class _Declared:
    version: int
    #: Unix seconds from which on no request may begin on an older version.
    binding_at: float


class VersionTable:
    """Declared versions by model.

    Args:
      bound_s: Seconds after a declaration from which on no request may begin on an older version.
    """

    def __init__(self, bound_s: float):
        self._bound_s = bound_s
        self._declared: dict[str, list[_Declared]] = {}

    def declare(self, model: str, version: int, since: float) -> bool:
        """Takes over a declaration; returns whether it is new.

        Args:
          model: Name of the model.
          version: Its version.
          since: Unix seconds before which it was surely not declared.
        """
        known = self._declared.setdefault(model, [])
        if any(item.version >= version for item in known):
            return False
        known.append(_Declared(version, since + self._bound_s - MARGIN_S))
        return True

    def take_back_at(self, model: str, version: int) -> float:
        """Returns the unix seconds at which what has not begun on a version must not begin any more."""
        bounds = [
            item.binding_at for item in self._declared.get(model, ()) if item.version > version
        ]
        return min(bounds, default=float("inf")) + TAKE_BACK_S

    def required(self, model: str, now: float) -> int:
        """Returns the oldest version on which a request may begin now, 0 for any."""
        known = self._declared.get(model, ())
        return max((item.version for item in known if now >= item.binding_at), default=0)
