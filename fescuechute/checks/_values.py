"""Checks of scalar values and of lists of strings."""

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
    """Validates and converts one decoded value."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the converted value, or records a problem and returns `INVALID`.

        Args:
          value: Decoded TOML or JSON.
          key: Dotted key of the value, used in problems.
          findings: Collects the problems.
        """


@attrs.frozen
class Address:
    """IP address and port."""

    #: IPv4 or IPv6 address.
    ip: str
    port: int

    def __str__(self) -> str:
        """Formats the address as in settings files: `ip:port` or `[ipv6]:port`."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@attrs.frozen
class Text:
    """A string that is not blank and not too long."""

    #: Maximum length, in characters.
    max_chars: int = 256
    #: Whether an empty or blank string is accepted.
    allow_empty: bool = False

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the string."""
        if not isinstance(value, str):
            return findings.add(key, f"Found {describe(value)}.", "Write a text in quotes.")
        if not value.strip() and not self.allow_empty:
            return findings.add(key, "Found an empty text.", "Write a text that is not blank.")
        if len(value) > self.max_chars:
            found = f"Found a text of {len(value)} characters."
            return findings.add(key, found, f"Write at most {self.max_chars} characters.")
        return value


@attrs.frozen
class Texts:
    """A list of distinct strings, converted to a tuple."""

    allow_empty: bool = True

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the strings in their order."""
        if not isinstance(value, list | tuple):
            return findings.add(key, f"Found {describe(value)}.", "Write a list of texts.")
        if not value and not self.allow_empty:
            return findings.add(key, "Found an empty list.", "Write at least one entry.")
        texts = [Text().read(item, f"{key}[{i}]", findings) for i, item in enumerate(value)]
        for text in _duplicates(texts):
            found = f"Found {describe(text)} more than once."
            return findings.add(key, found, "Write each entry only once.")
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
    """One of a fixed set of strings."""

    options: tuple[str, ...]

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the string."""
        if isinstance(value, str) and value in self.options:
            return value
        return findings.add(
            key, f"Found {describe(value)}.", f"Write {_join_alternatives(self.options)}."
        )


@attrs.frozen
class Number:
    """A finite number in a range, converted to a float."""

    low: float = 0.0
    high: float = math.inf
    #: Whether the range excludes `low`.
    exclusive_low: bool = False

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the number."""
        expected = self._expected()
        if isinstance(value, bool) or not isinstance(value, int | float):
            return findings.add(key, f"Found {describe(value)}.", _number_remedy(value, expected))
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        in_range = self.low <= number <= self.high and not (
            self.exclusive_low and number == self.low
        )
        if not math.isfinite(number) or not in_range:
            return findings.add(key, f"Found {describe(value)}.", f"Write {expected}.")
        return number

    def _expected(self) -> str:
        if self.exclusive_low and self.high == math.inf:
            return f"a number above {self.low:g}"
        if self.exclusive_low:
            return f"a number above {self.low:g} and at most {self.high:g}"
        if self.high == math.inf:
            return f"a number of at least {self.low:g}"
        return f"a number from {self.low:g} to {self.high:g}"


@attrs.frozen
class Integer:
    """An integer in a range that includes both bounds."""

    low: int = 0
    high: int | None = None

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the number."""
        expected = f"a whole number of at least {self.low}"
        if self.high is not None:
            expected = f"a whole number from {self.low} to {self.high}"
        if isinstance(value, bool) or not isinstance(value, int):
            return findings.add(key, f"Found {describe(value)}.", _number_remedy(value, expected))
        if value < self.low or (self.high is not None and value > self.high):
            return findings.add(key, f"Found {describe(value)}.", f"Write {expected}.")
        return value


@attrs.frozen
class IpAddress:
    """An IP address; host names are refused, because processes do not resolve names."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the address in its canonical form."""
        if isinstance(value, str) and (ip := _canonical_ip(value)):
            return ip
        remedy = 'Write an IP address, such as "127.0.0.1"; host names are not resolved.'
        return findings.add(key, f"Found {describe(value)}.", remedy)


@attrs.frozen
class IpPort:
    """An address of the form `ip:port` or `[ipv6]:port`."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns an `Address`."""
        form = 'Write an IP address and a port, such as "127.0.0.1:7000"'
        if not isinstance(value, str):
            return findings.add(key, f"Found {describe(value)}.", f"{form}.")
        host, colon, port = value.rpartition(":")
        if not colon:
            return findings.add(key, f"Found {describe(value)} without a port.", f"{form}.")
        ip = _canonical_ip(host[1:-1] if host.startswith("[") and host.endswith("]") else host)
        if not ip:
            found = f"Found {describe(value)}; {describe(host)} is not an IP address."
            return findings.add(key, found, f"{form}; host names are not resolved.")
        if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
            found = f"Found {describe(value)}; {describe(port)} is not a port."
            return findings.add(key, found, f"{form} from 1 to 65535.")
        return Address(ip, int(port))


@attrs.frozen
class HexDigest:
    """A BLAKE3 digest in lower-case hexadecimal."""

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns the string."""
        if isinstance(value, str) and _HEX_DIGEST.fullmatch(value):
            return value
        remedy = "Write the blake3 digest of the blob as 64 lower-case hexadecimal digits."
        return findings.add(key, f"Found {describe(value)}.", remedy)


def _canonical_ip(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return ""


def _duplicates(values: Iterable[Any]) -> list[Any]:
    seen: set[Any] = set()
    return [v for v in values if v is not INVALID and (v in seen or seen.add(v))]  # type: ignore[func-returns-value]


def _join_alternatives(options: tuple[str, ...]) -> str:
    quoted = [f'"{option}"' for option in options]
    return quoted[0] if len(quoted) == 1 else f"{', '.join(quoted[:-1])} or {quoted[-1]}"


def _number_remedy(value: object, expected: str) -> str:
    if isinstance(value, str) and _NUMBER_WITH_UNIT.fullmatch(value):
        return f"Write {expected}, without quotes or a unit; the key states the unit."
    return f"Write {expected}."
