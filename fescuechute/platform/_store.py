"""Client of the platform's metadata store, which is a log with keyed topics."""

from __future__ import annotations

import base64
import binascii
import enum
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from fescuechute.checks import Address
from fescuechute.feeds import (
    MAX_ERA,
    Delivery,
    Failure,
    KeyedRecord,
    Outcome,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)
from fescuechute.net import HttpClient, HttpResult
from fescuechute.platform import _names as names

#: Seconds without received data after which a call fails, in addition to the long-poll time.
_IDLE_TIMEOUT_S = 1.0
#: The same for a snapshot. Many processes read one after a restart, and share the link to the store; a
#: call that is given up too early is repeated from the start.
_SNAPSHOT_IDLE_TIMEOUT_S = 3.0
#: Header of a read response: end offset and first retained offset.
_READ_HEADER = struct.Struct(">QQ")
#: Length prefix of each record in a read response.
_LENGTH = struct.Struct(">I")
#: Handling of bytes of a key that are not UTF-8: each becomes a surrogate, so that a key of any form
#: can be compared and passed on. No id of a replica has surrogates.
_KEY_ERRORS = "surrogateescape"
_MAX_ERA_DIGITS = len(str(MAX_ERA))


class Topic(enum.StrEnum):
    """Topics that this project reads."""

    OPERATORS = names.OPERATOR_TOPIC
    REGISTRY = names.REGISTRY_TOPIC


class StoreClient:
    """Client of the store. Each call invokes its callback once, with the result or a `Failure`.

    Args:
      http: Client for calls.
      address: Address of the store.
      on_era: Called with the era of each answer, errors included, before the callback of the call.
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        on_era: Callable[[int], None] = lambda _era: None,
    ):
        self._http = http
        self._server = (address.ip, address.port)
        self._on_era = on_era

    def set_address(self, address: Address) -> None:
        """Changes the address for later calls."""
        self._server = (address.ip, address.port)

    def snapshot(self, topic: str, after: str, on_end: Callable[[Outcome], None]) -> None:
        """Fetches a page of the newest record of each key, in key order, starting after `after`."""
        self._get(
            snapshot_path(topic, after),
            lambda result, era: on_end(_snapshot_outcome(result, era)),
            on_end,
            idle_timeout_s=_SNAPSHOT_IDLE_TIMEOUT_S,
        )

    def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        on_end: Callable[[Outcome], None],
        on_progress: Callable[[], None] | None = None,
    ) -> None:
        """Fetches the records from `offset` on; long-polls for up to `wait_s` if there are none.

        `on_progress` is called for each received part of the response.
        """
        path = (
            f"{names.LOG_READ_PATH}?topic={topic}&part=0&from={offset}&wait_ms={wait_s * 1000:.0f}"
        )
        self._get(
            path,
            lambda result, era: on_end(_read_outcome(result, offset, era)),
            on_end,
            on_progress,
            idle_timeout_s=wait_s + _IDLE_TIMEOUT_S,
        )

    def _get(
        self,
        path: str,
        on_answer: Callable[[HttpResult, int], None],
        on_end: Callable[[Outcome], None],
        on_progress: Callable[[], None] | None = None,
        *,
        idle_timeout_s: float,
    ) -> None:
        def on_result(result: HttpResult) -> None:
            if not result.status:
                on_end(_failure(result, None))
                return
            try:
                era = _era(result)
            except ValueError as exc:
                on_end(Failure(str(exc)))
                return
            self._on_era(era)
            on_answer(result, era)

        self._http.call(
            "GET",
            self._server,
            path,
            on_result,
            on_progress=on_progress,
            idle_timeout_s=idle_timeout_s,
        )


def snapshot_path(topic: str, after: str) -> str:
    """Returns the path and query of a page of the newest record of each key, after the key `after`."""
    path = f"{names.LOG_NEWEST_PATH}?topic={topic}&part=0"
    return f"{path}&after={quote(after, safe='', errors=_KEY_ERRORS)}" if after else path


def _era(result: HttpResult) -> int:
    """Returns the era of the store as of an answer, 0 if the answer names none.

    Raises:
      ValueError: The header field is malformed.
    """
    values = {value for name, value in result.headers if name == names.STORE_ERA}
    if not values:
        return 0
    # Longer numbers exceed the limit; very long ones cannot be converted.
    text = values.pop()
    if values or not text.isdigit() or len(text) > _MAX_ERA_DIGITS or int(text) > MAX_ERA:
        raise ValueError(f"malformed era of the store: {text!r:.80} is no whole number in range")
    return int(text)


def _snapshot_outcome(result: HttpResult, era: int) -> Outcome:
    if not result.ok:
        return _failure(result, era)
    return decode_snapshot(result.json(), _delivery(result), era)


def decode_snapshot(body: Any, delivery: Delivery, era: int = 0) -> SnapshotPage | Failure:
    """Decodes a page of a snapshot from parsed JSON, as of an era of the store."""
    try:
        records = tuple(
            KeyedRecord(item["offset"], _key(item["key"]), base64.b64decode(item["value"]), era)
            for item in body["items"]
        )
        return SnapshotPage(records, bool(body["has_more"]), int(body["end"]), delivery, era=era)
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as exc:
        return Failure(f"malformed page: {type(exc).__name__}: {exc}", era)


def _read_outcome(result: HttpResult, offset: int, era: int) -> Outcome:
    if result.status == 410 and not result.error:
        return Trimmed(era)
    if not result.ok:
        return _failure(result, era)
    try:
        return _parse_batch(result.body, offset, _delivery(result), era)
    except (struct.error, IndexError) as exc:
        return Failure(f"malformed records: {type(exc).__name__}: {exc}", era)


def _parse_batch(body: bytes, offset: int, delivery: Delivery, era: int) -> RecordBatch:
    end, _first_retained = _READ_HEADER.unpack_from(body)
    records: list[KeyedRecord] = []
    position = _READ_HEADER.size
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        key_end = position + 1 + body[position]
        key = body[position + 1 : key_end].decode(errors=_KEY_ERRORS)
        value = body[key_end : position + length]
        # An empty value is a tombstone: it deletes the key.
        records.append(KeyedRecord(offset + len(records), key, value or None, era))
        position += length
    return RecordBatch(tuple(records), end, delivery, era=era)


def _key(value: str) -> str:
    return value.encode(errors="surrogatepass").decode(errors=_KEY_ERRORS)


def _delivery(result: HttpResult) -> Delivery:
    return Delivery(size=len(result.body), transfer_s=result.transfer_s)


def _failure(result: HttpResult, era: int | None) -> Failure:
    return Failure(result.error or f"status {result.status}", era)
