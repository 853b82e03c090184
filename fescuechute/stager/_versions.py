"""Versions of the model that the stager downloads and loads, with their manifests."""

from __future__ import annotations

from collections.abc import Container

import attrs

#: Version that engines hold before the first declaration.
FIRST_VERSION = 1
#: Latest versions that the origin keeps.
ORIGIN_KEEPS_VERSIONS = 2
#: A newer declaration supersedes a partially downloaded version if it follows within this share of
#: the download time. Let D be the download time, A the time allowed from a declaration to the load,
#: and G the time between the declarations. The engine is then without an allowed version for
#: 2D - A - G if the older version is completed first and for D + G - A if it is skipped; the two are
#: equal at G = D / 2.
SUPERSEDE_SHARE = 0.5


@attrs.define
class VersionState:
    """One version of the model."""

    version: int
    #: Digests of its chunks in order, None before the manifest is known.
    digests: tuple[bytes, ...] | None = None
    #: Unix seconds at which its declaration arrived, minus infinity if the version was learned
    #: otherwise.
    declared_at: float = float("-inf")

    def is_complete(self, held: Container[bytes]) -> bool:
        """Whether the manifest is known and all chunks are held."""
        return self.digests is not None and all(digest in held for digest in self.digests)

    def is_started(self, held: Container[bytes]) -> bool:
        """Whether the manifest is known and any chunk is held."""
        return self.digests is not None and any(digest in held for digest in self.digests)


class VersionPlan:
    """Decides which version is downloaded next and which one the engine should load.

    A partially downloaded version is completed before a newer one is started, unless the newer one
    was declared so soon after it that skipping the older one puts a version in force
    earlier (see SUPERSEDE_SHARE). This exception depends on the declarations alone, so that all stagers of a ring
    decide alike.

    Args:
      held: The chunks already held.
    """

    def __init__(self, held: Container[bytes]):
        self._held = held
        #: Estimated seconds to download one version, 0 while unknown.
        self.download_s = 0.0
        self._states: dict[int, VersionState] = {FIRST_VERSION: VersionState(FIRST_VERSION)}
        self._loaded = 0

    @property
    def newest(self) -> int:
        """The newest known version."""
        return max(self._states)

    @property
    def loaded(self) -> int:
        """Version that the engine holds, 0 for none."""
        return self._loaded

    def declare(self, version: int, declared_at: float = float("-inf")) -> None:
        """Adds a version if it is newer than all known ones.

        Args:
          version: The version.
          declared_at: Unix seconds at which its declaration arrived; the default stands for none.
        """
        if version > self.newest:
            self._states[version] = VersionState(version, declared_at=declared_at)

    def set_loaded(self, version: int) -> None:
        """Records the version that the engine holds and forgets older ones."""
        self._loaded = version
        # The engine may hold a version whose declaration has not arrived here.
        self.declare(version)
        for old in [known for known in self._states if known < min(version, self.newest)]:
            del self._states[old]

    def set_manifest(self, version: int, digests: tuple[bytes, ...]) -> None:
        """Records the manifest of a version; that of an unknown version is ignored."""
        state = self._states.get(version)
        if state is not None:
            state.digests = digests

    def without_manifest(self) -> list[int]:
        """Returns the versions whose manifest is needed.

        The origin keeps only the latest versions, so the manifest of the first version is requested
        only while that version is loaded or the newest.
        """
        return [
            state.version
            for state in self._states.values()
            if state.digests is None
            and (state.version != FIRST_VERSION or state.version in (self._loaded, self.newest))
        ]

    def at_origin(self) -> list[int]:
        """Returns the versions whose manifest is needed and may still be kept by the origin."""
        oldest = self.newest - ORIGIN_KEEPS_VERSIONS + 1
        return [version for version in self.without_manifest() if version >= oldest]

    def get(self, version: int) -> VersionState | None:
        """Returns the state of a version, or None if it is not known."""
        return self._states.get(version)

    def locate(self, digest: bytes) -> tuple[int, int] | None:
        """Returns the newest version that contains a chunk and its index there, or None."""
        for state in reversed(self._states.values()):
            if state.digests is not None and digest in state.digests:
                return state.version, state.digests.index(digest)
        return None

    def retained_digests(self) -> list[bytes]:
        """Returns the chunks of all known versions, which are kept in the store."""
        return [digest for state in self._states.values() for digest in state.digests or ()]

    def wanted_digests(self) -> tuple[bytes, ...]:
        """Returns the chunks to download now, all of one version.

        Two versions at a time would share the link, and neither would be complete in time.
        """
        state = self._to_download()
        return state.digests or () if state is not None else ()

    @property
    def downloading(self) -> int:
        """The version whose chunks are downloaded now, 0 for none."""
        state = self._to_download()
        return 0 if state is None else state.version

    def _to_download(self) -> VersionState | None:
        newest = self._states[self.newest]
        partial = [
            state
            for state in self._states.values()
            if self._loaded < state.version < newest.version
            and not self._is_superseded(state, newest)
            and state.is_started(self._held)
            and not state.is_complete(self._held)
        ]
        if partial:
            return max(partial, key=lambda state: state.version)
        return None if newest.is_complete(self._held) else newest

    def _is_superseded(self, state: VersionState, newest: VersionState) -> bool:
        return newest.declared_at - state.declared_at < SUPERSEDE_SHARE * self.download_s

    def to_load(self) -> VersionState | None:
        """Returns the newest complete version above the loaded one, or None."""
        states = [
            state
            for state in self._states.values()
            if state.version > self._loaded and state.is_complete(self._held)
        ]
        return max(states, key=lambda state: state.version, default=None)
