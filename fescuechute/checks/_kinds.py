"""Checks of single values."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Iterable
from typing import Any, Protocol

import attrs

from fescuechute.checks._findings import INVALID, Findings, describe

_HEX_DIGEST = re.compile(r"[0-9a-f]{64}")
_NUMBER_WITH_UNIT = re.compile(r"\s*[-+]?[0-9][0-9_.]*\s*[A-Za-z/%]*\s*")


class Check(Protocol):
    """Reads one decoded value."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the value, or adds a problem and returns `INVALID`."""


@attrs.frozen
class Address:
    """IP number and port."""

    #: IPv4 or IPv6 number.
    ip: str
    port: int

    def __str__(self) -> str:
        """The form used in settings files."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@attrs.frozen
class Text:
    """A text that is not blank."""

    #: Longest accepted text, in characters.
    longest: int = 256
    #: Whether the empty text is accepted.
    allow_empty: bool = False

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the text."""
        if not isinstance(value, str):
            return findings.add(key, f"Found {describe(value)}.", "Write a text in quotes.")
        if not value.strip() and not self.allow_empty:
            return findings.add(key, "Found an empty text.", "Write a text that is not blank.")
        if len(value) > self.longest:
            found = f"Found a text of {len(value)} characters."
            return findings.add(key, found, f"Write at most {self.longest} characters.")
        return value


@attrs.frozen
class Texts:
    """A list of distinct texts, read as a tuple."""

    allow_empty: bool = True

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the texts in their order."""
        if not isinstance(value, list | tuple):
            return findings.add(key, f"Found {describe(value)}.", "Write a list of texts.")
        if not value and not self.allow_empty:
            return findings.add(key, "Found an empty list.", "Name at least one entry.")
        texts = [Text().read(item, f"{key}[{i}]", findings) for i, item in enumerate(value)]
        for text in _repeated(texts):
            found = f"Found {describe(text)} more than once."
            return findings.add(key, found, "Name each entry once.")
        return INVALID if any(text is INVALID for text in texts) else tuple(texts)


@attrs.frozen
class Flag:
    """A boolean."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the boolean."""
        if isinstance(value, bool):
            return value
        return findings.add(key, f"Found {describe(value)}.", "Write true or false.")


@attrs.frozen
class Choice:
    """One of a few texts."""

    options: tuple[str, ...]

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the text."""
        if isinstance(value, str) and value in self.options:
            return value
        return findings.add(key, f"Found {describe(value)}.", f"Write {_one_of(self.options)}.")


@attrs.frozen
class Number:
    """A finite number, read as a float."""

    low: float = 0.0
    high: float = math.inf
    #: Whether `low` itself is refused.
    above_low: bool = False

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the number."""
        wanted = self._wanted()
        if isinstance(value, bool) or not isinstance(value, int | float):
            return findings.add(key, f"Found {describe(value)}.", _number_remedy(value, wanted))
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        in_range = self.low <= number <= self.high and not (self.above_low and number == self.low)
        if not math.isfinite(number) or not in_range:
            return findings.add(key, f"Found {describe(value)}.", f"Write {wanted}.")
        return number

    def _wanted(self) -> str:
        if self.above_low and self.high == math.inf:
            return f"a number above {self.low:g}"
        if self.above_low:
            return f"a number above {self.low:g} and at most {self.high:g}"
        if self.high == math.inf:
            return f"a number of at least {self.low:g}"
        return f"a number from {self.low:g} to {self.high:g}"


@attrs.frozen
class Whole:
    """A whole number."""

    low: int = 0
    high: int | None = None

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the number."""
        wanted = f"a whole number of at least {self.low}"
        if self.high is not None:
            wanted = f"a whole number from {self.low} to {self.high}"
        if isinstance(value, bool) or not isinstance(value, int):
            return findings.add(key, f"Found {describe(value)}.", _number_remedy(value, wanted))
        if value < self.low or (self.high is not None and value > self.high):
            return findings.add(key, f"Found {describe(value)}.", f"Write {wanted}.")
        return value


@attrs.frozen
class IpNumber:
    """An IP number; names are refused, because processes resolve none."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the number in its canonical form."""
        if isinstance(value, str) and (ip := _ip(value)):
            return ip
        remedy = 'Write an IP number, such as "127.0.0.1"; host names are not resolved.'
        return findings.add(key, f"Found {describe(value)}.", remedy)


@attrs.frozen
class IpPort:
    """An address of the form `ip:port` or `[ipv6]:port`."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns an `Address`."""
        form = 'Write an IP number and a port, such as "127.0.0.1:7000"'
        if not isinstance(value, str):
            return findings.add(key, f"Found {describe(value)}.", f"{form}.")
        host, colon, port = value.rpartition(":")
        if not colon:
            return findings.add(key, f"Found {describe(value)} without a port.", f"{form}.")
        ip = _ip(host[1:-1] if host.startswith("[") and host.endswith("]") else host)
        if not ip:
            found = f"Found {describe(value)}; {describe(host)} is not an IP number."
            return findings.add(key, found, f"{form}; host names are not resolved.")
        if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
            found = f"Found {describe(value)}; {describe(port)} is not a port."
            return findings.add(key, found, f"{form} from 1 to 65535.")
        return Address(ip, int(port))


@attrs.frozen
class HexDigest:
    """A blake3 digest in lower-case hexadecimal."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the text."""
        if isinstance(value, str) and _HEX_DIGEST.fullmatch(value):
            return value
        remedy = "Write the blake3 digest of the blob as 64 lower-case hexadecimal digits."
        return findings.add(key, f"Found {describe(value)}.", remedy)


def _ip(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return ""


def _repeated(values: Iterable[Any]) -> list[Any]:
    seen: set[Any] = set()
    return [v for v in values if v is not INVALID and (v in seen or seen.add(v))]  # type: ignore[func-returns-value]


def _one_of(options: tuple[str, ...]) -> str:
    quoted = [f'"{option}"' for option in options]
    return quoted[0] if len(quoted) == 1 else f"{', '.join(quoted[:-1])} or {quoted[-1]}"


def _number_remedy(value: object, wanted: str) -> str:
    if isinstance(value, str) and _NUMBER_WITH_UNIT.fullmatch(value):
        return f"Write {wanted}, without quotes or a unit; the key names the unit."
    return f"Write {wanted}."
