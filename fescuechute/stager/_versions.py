"""Versions that this agent fetches and loads: declared ones, their manifests and their chunks."""

from __future__ import annotations

from collections.abc import Container

import attrs

#: Version that engines hold before the first declaration.
FIRST_VERSION = 1
#: Part of the time of a copy within which a newer declaration replaces one under way. Completing the
#: older one first leaves no version in force for two copies less the bound and the distance of the
#: declarations; skipping it, for one copy and that distance less the bound. They are equal at a half.
SUPERSEDE_SHARE = 0.5


@attrs.define
class VersionRow:
    """One version of the model."""

    version: int
    #: Digests of its chunks in order, None before the manifest is known.
    digests: tuple[bytes, ...] | None = None
    #: Unix seconds at which its declaration arrived, minus infinity for one that came without.
    declared_at: float = float("-inf")

    def complete(self, held: Container[bytes]) -> bool:
        """Whether all chunks are held."""
        return self.digests is not None and all(digest in held for digest in self.digests)

    def started(self, held: Container[bytes]) -> bool:
        """Whether any chunk is held."""
        return self.digests is not None and any(digest in held for digest in self.digests)


class VersionPlan:
    """Which versions are fetched, in which order, and which one the engine should load.

    A version that is under way is completed before a newer one begins, unless the newer one was
    declared so soon after it that skipping leaves a version in force earlier. The rule depends on the
    declarations alone, so that all agents of a ring decide alike.

    Args:
      held: The chunks already held.
    """

    def __init__(self, held: Container[bytes]):
        self._held = held
        #: Seconds in which a copy arrives over the link of the VM, 0 while unknown.
        self.copy_s = 0.0
        self._rows: dict[int, VersionRow] = {FIRST_VERSION: VersionRow(FIRST_VERSION)}
        self._loaded = 0

    @property
    def newest(self) -> int:
        """The newest declared version."""
        return max(self._rows)

    @property
    def loaded(self) -> int:
        """Version that the engine holds, 0 for none."""
        return self._loaded

    def declare(self, version: int, now: float = float("-inf")) -> None:
        """Takes over a declaration that arrived at a time in unix seconds."""
        if version > self.newest:
            self._rows[version] = VersionRow(version, declared_at=now)

    def set_loaded(self, version: int) -> None:
        """Takes over what the engine holds."""
        self._loaded = version
        # A version ahead of the declarations is known to exist all the same.
        self.declare(version)
        for old in [row for row in self._rows if row < min(version, self.newest)]:
            del self._rows[old]

    def set_manifest(self, version: int, digests: tuple[bytes, ...]) -> None:
        """Takes over the manifest of a version."""
        row = self._rows.get(version)
        if row is not None:
            row.digests = digests

    def unknown(self) -> list[int]:
        """Returns the versions whose manifest is needed.

        The origin keeps only the last versions, so the first one is asked for only while it is in
        use.
        """
        return [
            row.version
            for row in self._rows.values()
            if row.digests is None
            and (row.version != FIRST_VERSION or row.version in (self._loaded, self.newest))
        ]

    def row(self, version: int) -> VersionRow | None:
        """Returns a version, or None."""
        return self._rows.get(version)

    def place(self, digest: bytes) -> tuple[int, int] | None:
        """Returns a version that has a chunk and the index of the chunk there, or None."""
        for row in reversed(self._rows.values()):
            if row.digests is not None and digest in row.digests:
                return row.version, row.digests.index(digest)
        return None

    def kept(self) -> list[bytes]:
        """Returns the chunks to hold."""
        return [digest for row in self._rows.values() for digest in row.digests or ()]

    def wanted(self) -> tuple[bytes, ...]:
        """Returns the chunks to fetch now: those of one version.

        Chunks of two versions at a time would share the link, and neither would be whole in time.
        """
        row = self._fetched()
        return row.digests or () if row is not None else ()

    def _fetched(self) -> VersionRow | None:
        newest = self._rows[self.newest]
        begun = [
            row
            for row in self._rows.values()
            if row.version < newest.version
            and not self._is_superseded(row, newest)
            and row.started(self._held)
            and not row.complete(self._held)
        ]
        if begun:
            return max(begun, key=lambda row: row.version)
        return None if newest.complete(self._held) else newest

    def _is_superseded(self, row: VersionRow, newest: VersionRow) -> bool:
        return newest.declared_at - row.declared_at < SUPERSEDE_SHARE * self.copy_s

    def to_load(self) -> VersionRow | None:
        """Returns the newest complete version that the engine lacks, or None."""
        rows = [
            row
            for row in self._rows.values()
            if row.version > self._loaded and row.complete(self._held)
        ]
        return max(rows, key=lambda row: row.version, default=None)
