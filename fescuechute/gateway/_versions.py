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
#: Version that replicas hold before the first declaration.
_FIRST_VERSION = 1


@attrs.frozen
class Declaration:
    """A declared version, or one that may have been declared before a known one."""

    version: int
    #: Unix seconds before which it was not declared, minus infinity if unknown.
    earliest_declared_at: float


class VersionTable:
    """Declared versions of the weights by model.

    Args:
      bound_s: Seconds after a declaration from which no request may start on an older version.
    """

    def __init__(self, bound_s: float):
        #: May change at any time; it holds for all declarations.
        self.bound_s = bound_s
        self._declarations: dict[str, list[Declaration]] = {}

    def declare(
        self,
        model: str,
        version: int,
        earliest_declared_at: float,
        earliest_omitted_at: float = float("inf"),
    ) -> tuple[Declaration, ...]:
        """Records a declaration, and one that it may have superseded.

        A compacted log holds the newest declaration only. Any version between the newest known one and
        this one may have been declared as well, and forbids the versions before it. The version
        directly before this one stands for all of them.

        Args:
          model: Name of the model.
          version: Declared version.
          earliest_declared_at: Unix seconds; the version was not declared before that time.
          earliest_omitted_at: Unix seconds; declarations after that time may have been left out.

        Returns:
          The recorded declarations; none if this or a newer version is already declared.
        """
        declarations = self._declarations.setdefault(model, [])
        newest = max(declarations, key=lambda item: item.version, default=None)
        if newest is not None and newest.version >= version:
            return ()
        added = [Declaration(version, earliest_declared_at)]
        known = _FIRST_VERSION if newest is None else newest.version
        if earliest_omitted_at < float("inf") and known < version - 1:
            # Versions are declared in ascending order.
            if newest is not None:
                earliest_omitted_at = max(earliest_omitted_at, newest.earliest_declared_at)
            added.insert(0, Declaration(version - 1, earliest_omitted_at))
        declarations.extend(added)
        return tuple(added)

    def postpone(self, model: str, version: int, earliest_declared_at: float) -> bool:
        """Applies what another process knows of the time of a known declaration.

        Both times are lower bounds, so the later one holds.

        Args:
          model: Name of the model.
          version: Declared version.
          earliest_declared_at: Unix seconds; the version was not declared before that time.

        Returns:
          Whether the version binds later than was known.
        """
        declarations = self._declarations.get(model, [])
        for index, item in enumerate(declarations):
            if item.version == version and item.earliest_declared_at < earliest_declared_at:
                declarations[index] = Declaration(version, earliest_declared_at)
                # It may have stood for older versions, whose dates stay unknown.
                if version - 1 > _FIRST_VERSION and all(
                    other.version != version - 1 for other in declarations
                ):
                    declarations.append(Declaration(version - 1, item.earliest_declared_at))
                return True
        return False

    def any_undated(self, now: float) -> bool:
        """Returns whether a declaration binds only because its date is unknown.

        One below a version that binds by its date forbids nothing more.
        """
        return any(
            item.earliest_declared_at == float("-inf")
            and item.version > self._dated_version(model, now)
            for model, declarations in self._declarations.items()
            for item in declarations
        )

    def _dated_version(self, model: str, now: float) -> int:
        """Returns the newest version of known date that binds, 0 for none."""
        dated = [
            item.version
            for item in self._declarations[model]
            if item.earliest_declared_at > float("-inf") and now >= self._binding_at(item)
        ]
        return max(dated, default=0)

    def cancel_unstarted_at(self, model: str, version: int) -> float:
        """Returns the unix seconds at which requests not started on a version are cancelled."""
        binding_times = [
            self._binding_at(item)
            for item in self._declarations.get(model, ())
            if item.version > version
        ]
        return min(binding_times, default=float("inf")) + CANCEL_DELAY_S

    def required_version(self, model: str, now: float) -> int:
        """Returns the oldest version that new requests may be sent to, 0 for any."""
        declarations = self._declarations.get(model, ())
        return max(
            (item.version for item in declarations if now >= self._binding_at(item)), default=0
        )

    def _binding_at(self, declaration: Declaration) -> float:
        """Returns the unix seconds from which no request is sent to an older version."""
        return declaration.earliest_declared_at + self.bound_s - BINDING_MARGIN_S
