"""Acceptance of notes as a pure function of the log."""

from __future__ import annotations

import attrs

from fescuechute.notes._note import Note, Release, Withdrawal, release_size
from fescuechute.notes._state import ReleaseState

#: Largest encoded list of releases. A snapshot holds it and must fit into one frame between
#: processes (1 MiB) together with the ids of folded records.
MAX_STATE_BYTES = 768 * 1024


@attrs.frozen
class Verdict:
    """Outcome for one note."""

    accepted: bool
    #: One sentence; `Accepted.` for an accepted note.
    reason: str
    #: The state after the note, unchanged for a rejected one.
    state: ReleaseState


class _RejectedError(Exception):
    """Carries the reason out of the helpers."""


def fold(state: ReleaseState, offset: int, time: float, note: Note) -> Verdict:
    """Decides on one note.

    Args:
      state: The state before the note.
      offset: Offset of the note's record.
      time: The log's unix time of the record. It has no influence on the verdict; order alone
        decides.
      note: The parsed note.

    Returns:
      The verdict with the state after it.
    """
    del time
    try:
        releases = _apply(state, note)
        size = _new_size(state, releases, note)
    except _RejectedError as exc:
        return Verdict(False, str(exc), state)
    return Verdict(True, "Accepted.", ReleaseState(state.revision + 1, offset, releases, size))


def _apply(state: ReleaseState, note: Note) -> dict[tuple[str, str], Release]:
    if note.base != state.revision:
        raise _RejectedError(
            f"The note's base is revision {note.base}, but revision {state.revision} is in force."
        )
    releases = dict(state.releases)
    for withdrawal in note.withdraw:
        _withdraw(releases, withdrawal)
    for release in note.set:
        _check_content(state.releases.get(release.key), release)
        releases[release.key] = release
    _check_models(releases)
    return releases


def _withdraw(releases: dict[tuple[str, str], Release], withdrawal: Withdrawal) -> None:
    what = f"{withdrawal.kind} {withdrawal.name}"
    release = releases.get(withdrawal.key)
    if release is None:
        raise _RejectedError(f"The note withdraws {what}, which is not declared.")
    if "*" in withdrawal.places:
        del releases[withdrawal.key]
        return
    for place in withdrawal.places:
        # A region or `*` cannot be reduced by a data centre or region here, because the state
        # does not know which places exist.
        if place not in release.places:
            raise _RejectedError(
                f"The note withdraws {what} from {place}, but it is declared for "
                f"{', '.join(release.places)}; set it with the remaining places instead."
            )
    left = tuple(place for place in release.places if place not in withdrawal.places)
    if left:
        releases[withdrawal.key] = attrs.evolve(release, places=left)
    else:
        del releases[withdrawal.key]


def _check_content(before: Release | None, release: Release) -> None:
    """Rejects new content under the version that is in force.

    Engines report versions, not digests, so nobody could tell which of the two contents is loaded.
    """
    if (
        before is not None
        and before.version == release.version
        and before.manifest != release.manifest
    ):
        raise _RejectedError(
            f"Version {release.version} of {release.kind} {release.name} is in force with another "
            "manifest; give the new content a new version."
        )


def _check_models(releases: dict[tuple[str, str], Release]) -> None:
    for release in releases.values():
        if release.kind == "adapter" and ("model", release.model) not in releases:
            raise _RejectedError(
                f"Adapter {release.name} would belong to model {release.model}, which is not "
                "declared."
            )


def _new_size(state: ReleaseState, releases: dict[tuple[str, str], Release], note: Note) -> int:
    """Returns the size after a note; only the entries that the note names are measured."""
    size = state.size
    changed = [item.key for item in note.set] + [item.key for item in note.withdraw]
    for key in changed:
        before, after = state.releases.get(key), releases.get(key)
        size -= release_size(before) if before is not None else 0
        size += release_size(after) if after is not None else 0
    if size > MAX_STATE_BYTES:
        raise _RejectedError(
            f"The releases would take {size} bytes, above the limit of {MAX_STATE_BYTES}."
        )
    return size
