"""The client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

import base64
import binascii
import enum
import struct
from collections.abc import Callable
from urllib.parse import quote

from fescuechute.checks import Address
from fescuechute.feeds import (
    Failure,
    KeyedRecord,
    Outcome,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)
from fescuechute.net import HttpClient, HttpResult
from fescuechute.platform import _names as names

#: Seconds without a byte after which an answer counts as lost, besides the time of a long poll.
_SILENCE_S = 1.0
#: End and first retained offset, before the records of a read.
_READ_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Topic(enum.StrEnum):
    """Topics of the store that the system reads."""

    OPERATORS = names.OPERATOR_TOPIC
    REGISTRY = names.REGISTRY_TOPIC


class StoreClient:
    """Calls of the store. Each calls its callback once, with what came back or with a `Failure`."""

    def __init__(self, http: HttpClient, address: Address):
        self._http = http
        self._server = (address.ip, address.port)

    def move(self, address: Address) -> None:
        """Uses another address for the next calls."""
        self._server = (address.ip, address.port)

    def snapshot(self, topic: str, after: str, on_end: Callable[[Outcome], None]) -> None:
        """Asks for a page of the newest records of each key, those after a key in their order."""
        path = f"{names.LOG_NEWEST_PATH}?topic={topic}&part=0"
        if after:
            path += f"&after={quote(after, safe='')}"
        self._get(path, 0.0, lambda result: on_end(_page(result)))

    def read(
        self, topic: str, offset: int, wait_s: float, on_end: Callable[[Outcome], None]
    ) -> None:
        """Asks for the records from an offset on; waits for the first for up to `wait_s`."""
        path = (
            f"{names.LOG_READ_PATH}?topic={topic}&part=0&from={offset}&wait_ms={wait_s * 1000:.0f}"
        )
        self._get(path, wait_s, lambda result: on_end(_batch(result, offset)))

    def _get(self, path: str, wait_s: float, on_end: Callable[[HttpResult], None]) -> None:
        self._http.call("GET", self._server, path, on_end, silence_s=wait_s + _SILENCE_S)


def _page(result: HttpResult) -> Outcome:
    if not result.ok:
        return _failure(result)
    body = result.json()
    try:
        records = tuple(
            KeyedRecord(item["offset"], item["key"], base64.b64decode(item["value"]))
            for item in body["items"]
        )
        return SnapshotPage(records, bool(body["has_more"]), int(body["end"]))
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        return Failure(f"malformed page: {type(exc).__name__}: {exc}")


def _batch(result: HttpResult, offset: int) -> Outcome:
    if result.status == 410 and not result.error:
        return Trimmed()
    if not result.ok:
        return _failure(result)
    try:
        return _parse_batch(result.body, offset)
    except (struct.error, IndexError, UnicodeDecodeError) as exc:
        return Failure(f"malformed records: {type(exc).__name__}: {exc}")


def _parse_batch(body: bytes, offset: int) -> RecordBatch:
    end, _first = _READ_HEAD.unpack_from(body)
    records: list[KeyedRecord] = []
    at = _READ_HEAD.size
    while at < len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        key_end = at + 1 + body[at]
        key = body[at + 1 : key_end].decode()
        value = body[key_end : at + length]
        # A record without a value drops its key.
        records.append(KeyedRecord(offset + len(records), key, value or None))
        at += length
    return RecordBatch(tuple(records), end)


def _failure(result: HttpResult) -> Failure:
    return Failure(result.error or f"status {result.status}")
