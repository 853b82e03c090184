"""Folded state: the releases that are declared at one revision."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from fescuechute.notes._note import Release, release_size


@attrs.frozen(hash=False)
class ReleaseState:
    """All releases that the accepted notes declare. The mapping is never modified in place."""

    #: Number of accepted notes.
    revision: int = 0
    #: Offset of the last accepted note, -1 before the first.
    offset: int = -1
    #: Releases by (kind, name).
    releases: Mapping[tuple[str, str], Release] = attrs.field(factory=dict)
    #: Size of the releases in JSON, in bytes. The fold passes the updated size; otherwise it is
    #: computed.
    size: int = attrs.field(
        default=attrs.Factory(lambda self: _total_size(self.releases), takes_self=True),
        eq=False,
        repr=False,
    )

    def get(self, kind: str, name: str) -> Release | None:
        """Returns a release, or None if it is not declared anywhere."""
        return self.releases.get((kind, name))

    def declared_for(self, model: str, region: str, data_centre: str) -> tuple[Release, ...]:
        """Returns the releases that an engine of a model must load at a place.

        Returns:
          The model, then its adapters by name. Empty if the model is not declared there.
        """
        release = self.get("model", model)
        if release is None or not release.is_for_place(region, data_centre):
            return ()
        adapters = [
            other
            for other in self.releases.values()
            if other.model == model and other.is_for_place(region, data_centre)
        ]
        return (release, *sorted(adapters, key=lambda adapter: adapter.name))

    def is_allowed(
        self, kind: str, name: str, workspace: str, region: str, data_centre: str
    ) -> bool:
        """Returns whether a workspace may use a release at a place.

        An adapter may be used only where its model is declared too.
        """
        release = self.get(kind, name)
        if release is None or not release.is_for_workspace(workspace):
            return False
        base = release if kind == "model" else self.get("model", release.model)
        return (
            base is not None
            and base.is_for_place(region, data_centre)
            and release.is_for_place(region, data_centre)
        )


def _total_size(releases: Mapping[tuple[str, str], Release]) -> int:
    return sum(release_size(release) for release in releases.values())
