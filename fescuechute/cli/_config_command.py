"""The command that checks a configuration before operators send it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.catalog import Configuration
from fescuechute.checks import Address, IpPort
from fescuechute.cli._command import BaseCommand, ExitCode, check_argument
from fescuechute.cli._http import send_request
from fescuechute.configcheck import Finding, Severity, check_configuration, differences
from fescuechute.errors import PlatformError, Problem, SettingsError
from fescuechute.feeds import Delivery, Failure
from fescuechute.platform import (
    CONFIG_KEY,
    Topic,
    decode_configuration,
    decode_snapshot,
    load_node_settings,
    snapshot_path,
)


class CheckConfigCommand(BaseCommand):
    """Checks a routing configuration and compares it with the one in force."""

    name = "check-config"
    description = "Checks a routing configuration before it is sent, and what it changes."
    arguments: ClassVar[list[Argument]] = [argument("file", "Configuration (JSON).")]
    options: ClassVar[list[Option]] = [
        option("against", None, "File with the configuration in force (JSON).", flag=False),
        option("from", None, "Store with the configuration in force, as ip:port.", flag=False),
        option("node", None, "Settings file of a gateway, for its regions and limits.", flag=False),
        option("json", None, "Print one JSON object."),
    ]
    help = """\
Sends nothing. Lists what gateways reject, entries that can never match, limits that contradict each
other, and, with --against or --from, what differs from the configuration in force.
Exits with 0 without errors (warnings are allowed), with 2 if the file cannot be read or has errors,
and with 3 if the store cannot be reached.

Example:
  fescuechute check-config new.json --from 10.200.1.7:8007 --node /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Checks the file and prints the findings and the differences."""
        cfg = _load(self.argument("file"))
        in_force, findings = self._in_force()
        node_file = self._file_option("node")
        node = None if node_file is None else load_node_settings(node_file)
        findings = check_configuration(cfg, node, in_force) + findings
        changes = [] if in_force is None else differences(in_force, cfg)
        if self.option("json"):
            self._print_json(cfg, in_force, findings, changes)
        else:
            self._print_text(cfg, in_force, findings, changes)
        has_errors = any(finding.severity is Severity.ERROR for finding in findings)
        return ExitCode.BAD_INPUT if has_errors else ExitCode.DONE

    def _file_option(self, name: str) -> str | None:
        file: str | None = self.option(name)
        if file == "":
            remedy = "Give the path of a file, or leave the option out."
            raise SettingsError([Problem("command line", f"--{name}", "Found no path.", remedy)])
        return file

    def _in_force(self) -> tuple[Configuration | None, list[Finding]]:
        """Returns the configuration to compare with, if there is one, and what is wrong with it."""
        file, store = self._file_option("against"), self.option("from")
        if file is not None and store is not None:
            found, remedy = "Found `--against` and `--from`.", "Give one of them."
            raise SettingsError([Problem("command line", "--against", found, remedy)])
        if file is not None:
            return _load(file), []
        data = None if store is None else _fetch(check_argument(store, "--from", IpPort()))
        if data is None:
            return None, []
        try:
            return decode_configuration(data), []
        except PlatformError as exc:
            # Gateways ignore it too, so it must not keep operators from checking the next one.
            remedy = "Send a correct one; nothing was compared with it."
            return None, [Finding(Severity.WARNING, "in force", exc.found, remedy)]

    def _print_json(
        self,
        cfg: Configuration,
        in_force: Configuration | None,
        findings: list[Finding],
        changes: list[str],
    ) -> None:
        report = {
            "version": cfg.version,
            "in_force": None if in_force is None else in_force.version,
            "findings": [attrs.asdict(finding) for finding in findings],
            "differences": changes,
        }
        self.print_line(json.dumps(report))

    def _print_text(
        self,
        cfg: Configuration,
        in_force: Configuration | None,
        findings: list[Finding],
        changes: list[str],
    ) -> None:
        for finding in findings:
            self.print_line(f"{finding.severity}: {finding}")
        for change in changes:
            self.print_line(f"differs: {change}")
        errors = sum(finding.severity is Severity.ERROR for finding in findings)
        compared = (
            "" if in_force is None else f", {len(changes)} differences from {in_force.version}"
        )
        self.print_line(
            f"version {cfg.version}: {errors} errors, {len(findings) - errors} warnings{compared}"
        )


def _load(file: str) -> Configuration:
    try:
        return _decode(Path(file).read_bytes(), file)
    except OSError as exc:
        problem = Problem(file, "", f"{exc.strerror}.", "Give the path of a readable file.")
        raise SettingsError([problem]) from exc


def _decode(data: bytes, source: str) -> Configuration:
    try:
        return decode_configuration(data)
    except PlatformError as exc:
        raise SettingsError(
            [Problem(source, "", exc.found, "Correct it; gateways ignore it.")]
        ) from exc


def _fetch(store: Address) -> bytes | None:
    """Returns the newest configuration in the store, or None if there is none.

    Raises:
      PlatformError: The store cannot be reached, or its response is malformed.
    """
    after = ""
    while True:
        response = send_request(store, "GET", snapshot_path(Topic.OPERATORS, after))
        page = decode_snapshot(response.json(), Delivery())
        if not response.ok or isinstance(page, Failure):
            found = (
                f"The store at {store} responded with status {response.status}, without a snapshot."
            )
            raise PlatformError(found, "Check the address, or retry later.")
        for record in page.records:
            if record.key == CONFIG_KEY:
                return record.value
        if not page.has_more or not page.records:
            return None
        if page.records[-1].key <= after:
            found = f"The store at {store} repeated a page of its snapshot."
            raise PlatformError(found, "Retry later.")
        after = page.records[-1].key
