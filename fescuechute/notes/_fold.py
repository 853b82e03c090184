"""Accepts or rejects notes as a pure function of the log."""

from __future__ import annotations

import attrs

from fescuechute.notes._note import Note, Release, Withdrawal, release_size
from fescuechute.notes._state import ReleaseState

#: Maximum size of the releases in JSON. A snapshot contains them and the ids of folded records, and
#: must fit into one frame between processes (1 MiB).
MAX_STATE_BYTES = 768 * 1024


@attrs.frozen
class Verdict:
    """Result of folding one note."""

    accepted: bool
    #: One sentence; `Accepted.` for an accepted note.
    reason: str
    #: State after the note; unchanged if it was rejected.
    state: ReleaseState


class _RejectedError(Exception):
    """Raised by the checks of a note, with the reason of the rejection."""


def fold(state: ReleaseState, offset: int, time: float, note: Note) -> Verdict:
    """Accepts or rejects one note.

    Args:
      state: State before the note.
      offset: Offset of the note's record.
      time: Log time of the record, unix seconds. Ignored, because only the order of the records may
        affect the verdict.
      note: The parsed note.

    Returns:
      The verdict, which includes the state after the note.
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
    label = f"{withdrawal.kind} {withdrawal.name}"
    release = releases.get(withdrawal.key)
    if release is None:
        raise _RejectedError(f"The note withdraws {label}, which is not declared.")
    if "*" in withdrawal.places:
        del releases[withdrawal.key]
        return
    for place in withdrawal.places:
        # The state does not know which places exist, so a data centre cannot be removed from a
        # region, nor a region from `*`.
        if place not in release.places:
            raise _RejectedError(
                f"The note withdraws {label} from {place}, but it is declared for "
                f"{', '.join(release.places)}; set it with the remaining places instead."
            )
    remaining = tuple(place for place in release.places if place not in withdrawal.places)
    if remaining:
        releases[withdrawal.key] = attrs.evolve(release, places=remaining)
    else:
        del releases[withdrawal.key]


def _check_content(current: Release | None, release: Release) -> None:
    """Rejects new content under the version that is in force.

    Engines report versions, not digests, so the two contents could not be told apart.
    """
    if (
        current is not None
        and current.version == release.version
        and current.manifest != release.manifest
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
    """Returns the size after a note, updated for the entries that the note names."""
    size = state.size
    changed_keys = [item.key for item in note.set] + [item.key for item in note.withdraw]
    for key in changed_keys:
        before, after = state.releases.get(key), releases.get(key)
        size -= release_size(before) if before is not None else 0
        size += release_size(after) if after is not None else 0
    if size > MAX_STATE_BYTES:
        raise _RejectedError(
            f"The releases would take {size} bytes, above the limit of {MAX_STATE_BYTES}."
        )
    return size
