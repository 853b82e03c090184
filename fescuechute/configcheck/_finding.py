"""One result of the checks of a configuration."""

from __future__ import annotations

import enum

import attrs

from fescuechute.catalog import Route, Service, Workspace


class Severity(enum.StrEnum):
    """Effect of a finding."""

    #: Requests are refused, or the configuration is not applied.
    ERROR = "error"
    #: A part of the configuration has no effect, or not the intended one.
    WARNING = "warning"


@attrs.frozen
class Finding:
    """What was found at one place of a configuration, and the way out."""

    severity: Severity
    #: Place in the configuration, such as `routes.NAME`.
    place: str
    #: What was found and its effect, as one sentence.
    found: str
    #: How to correct it, as one sentence.
    remedy: str

    def __str__(self) -> str:
        """Returns one line for a terminal."""
        return f"{self.place}: {self.found} {self.remedy}"


def error(place: str | Route | Service | Workspace, found: str, remedy: str) -> Finding:
    """Returns an error at a place or at an item."""
    return Finding(Severity.ERROR, _place(place), found, remedy)


def warning(place: str | Route | Service | Workspace, found: str, remedy: str) -> Finding:
    """Returns a warning at a place or at an item."""
    return Finding(Severity.WARNING, _place(place), found, remedy)


def listed(names: frozenset[str]) -> str:
    """Returns names in order, separated by commas."""
    return ", ".join(sorted(names))


def _place(item: str | Route | Service | Workspace) -> str:
    match item:
        case Route():
            return f"routes.{item.name or item.host + item.prefix}"
        case Service():
            return f"services.{item.name}"
        case Workspace():
            return f"workspaces.{item.name}"
        case _:
            return item
