"""Loading and validation of a settings file."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from fescuechute.checks import INVALID, Findings, Table, read_table
from fescuechute.errors import Problem, SettingsError
from fescuechute.settings._tables import AgentSettings, Settings

#: Tolerates the floating-point error of sums such as 0.7 + 0.2 + 0.1.
_SHARE_TOLERANCE = 1e-9


def load_settings(path: str | os.PathLike[str]) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: The file cannot be read or has problems; all of them are listed.
    """
    file = os.fspath(path)
    try:
        data = tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise _file_error(file, "The file does not exist.", "Give the path of a file.") from None
    except OSError as exc:
        remedy = "Give the path of a readable file."
        raise _file_error(file, f"The file cannot be read: {exc.strerror}.", remedy) from exc
    except UnicodeDecodeError as exc:
        raise _file_error(file, f"{exc}.", "Save the file as UTF-8.") from exc
    except tomllib.TOMLDecodeError as exc:
        raise _file_error(file, f"This is not valid TOML: {exc}.", "Correct the syntax.") from exc
    return parse_settings(data, file)


def parse_settings(data: dict[str, Any], file: str) -> Settings:
    """Checks decoded settings.

    Args:
      data: The decoded TOML document.
      file: File name to report in problems.

    Raises:
      SettingsError: The settings have problems; all of them are listed.
    """
    findings = Findings(file)
    settings = read_table(Settings, data, "", findings)
    _check_agent_table(data, findings)
    _check_shares(data, findings)
    _check_operations(data, findings)
    if findings.problems or settings is INVALID:
        raise SettingsError(findings.problems)
    return settings


def _file_error(file: str, found: str, remedy: str) -> SettingsError:
    return SettingsError([Problem(file, "", found, remedy)])


def _check_agent_table(data: Mapping[str, Any], findings: Findings) -> None:
    process = data.get("process")
    role = process.get("role") if isinstance(process, Mapping) else None
    if role == "agent" and "agent" not in data:
        Table(AgentSettings).read({}, "agent", findings)
    elif role == "entry" and "agent" in data:
        found = 'Found the table, but `process.role` is "entry".'
        findings.add("agent", found, 'Remove the table or set the role to "agent".')


def _check_shares(data: Mapping[str, Any], findings: Findings) -> None:
    shares = [rank.get("protected_share", 0) for rank in _mappings(data.get("ranks"))]
    total = sum(share for share in shares if isinstance(share, int | float))
    if total > 1 + _SHARE_TOLERANCE:
        found = f"The protected shares add up to {total:g}."
        findings.add("ranks", found, "Lower `protected_share` until they add up to at most 1.")


def _check_operations(data: Mapping[str, Any], findings: Findings) -> None:
    for i, service in enumerate(_mappings(data.get("services"))):
        operations, non_repeatable = service.get("operations"), service.get("non_repeatable")
        if not isinstance(operations, list) or not isinstance(non_repeatable, list):
            continue
        for name in non_repeatable:
            if name not in operations:
                found = f"`{name}` is not among the operations."
                remedy = "Add it to `operations` or correct its name."
                findings.add(f"services[{i}].non_repeatable", found, remedy)


def _mappings(value: object) -> list[Mapping[str, Any]]:
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, Mapping)]
