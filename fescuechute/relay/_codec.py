"""Encoding of the batches that relays send, in compressed msgpack."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Sequence

import msgpack

from fescuechute.errors import WireError
from fescuechute.feeds import MAX_ERA, Delivery, KeyedRecord, RecordBatch

#: A low level: a configuration has many similar routes and shrinks to a tenth at any level.
_COMPRESSION_LEVEL = 1
#: Limit on the records of one batch in bytes, which bounds the memory that a peer can make a reader use.
MAX_BATCH_BYTES = 16 << 20
#: Handling of bytes of a key that are not UTF-8, as in the records of the store.
_KEY_ERRORS = "surrogateescape"


def encode_records(records: Iterable[KeyedRecord], era: int = 0) -> bytes:
    """Returns the compressed records of a batch of an era; kept records name their older one."""
    rows = [
        (record.offset, record.key, record.value, *(() if record.era == era else (record.era,)))
        for record in records
    ]
    return zlib.compress(msgpack.packb(rows, unicode_errors=_KEY_ERRORS), _COMPRESSION_LEVEL)


def encode_batch(
    records: bytes,
    end: int,
    confirmed_after_s: float,
    appended_after_s: float | None,
    failed_after_s: float | None = None,
    record_appended_after_s: Sequence[float | None] = (),
    era: int = 0,
    kept_token: int = 0,
) -> bytes:
    """Returns a batch, without its last fields in era 0, so that processes of earlier releases read it.

    Args:
      records: Result of `encode_records` for the same era.
      end: Offset after the last record of the topic.
      confirmed_after_s: Seconds from the arrival of the call to the time up to which all records are
        known; negative if that time is earlier.
      appended_after_s: The same for the time after which all records were appended; None if unknown.
      failed_after_s: The same for the last failure of the log; None without one.
      record_appended_after_s: What `appended_after_s` says of all records, for each of them.
      era: Era of the store in which the relay has read the records.
      kept_token: Stands for the records of older eras that the relay keeps, 0 without any.
    """
    dates = list(record_appended_after_s)
    fields = (end, confirmed_after_s, appended_after_s, failed_after_s, dates, records)
    return msgpack.packb((*fields, era, kept_token) if era else fields)


def decode_batch(data: bytes, source: str, transfer_s: float) -> RecordBatch:
    """Decodes a batch.

    Raises:
      WireError: The data is no batch.
    """
    try:
        # A batch without an era is of era 0 and keeps nothing.
        end, confirmed_after_s, appended_after_s, failed_after_s, dates, compressed, *rest = (
            msgpack.unpackb(data)
        )
        era, kept_token = rest or (0, 0)
        _check_era(era, MAX_ERA)
        inflater = zlib.decompressobj()
        rows = msgpack.unpackb(
            inflater.decompress(compressed, MAX_BATCH_BYTES), unicode_errors=_KEY_ERRORS
        )
        if not inflater.eof:
            raise ValueError(f"its records are incomplete or exceed {MAX_BATCH_BYTES} bytes")
        if not isinstance(rows, list) or not isinstance(dates, list):
            raise TypeError("its records or their dates are no list")
        if len(dates) not in (0, len(rows)):
            raise ValueError(f"it dates {len(dates)} of {len(rows)} records")
        return RecordBatch(
            tuple(_record(era, *row) for row in rows),
            _offset(end),
            Delivery(source, len(data), transfer_s),
            _seconds(confirmed_after_s),
            _optional_seconds(appended_after_s),
            failed_after_s=_optional_seconds(failed_after_s),
            compacted=True,
            record_appended_after_s=tuple(_optional_seconds(date) for date in dates),
            era=era,
            kept_token=_offset(kept_token),
        )
    except (ValueError, TypeError, zlib.error, msgpack.exceptions.UnpackException) as exc:
        raise WireError(
            f"The response of the relay {source} is no batch: {exc!s:.200}.",
            "Run the same release on both ends.",
        ) from exc


def _record(
    batch_era: int, offset: object, key: object, value: object, *kept_era: object
) -> KeyedRecord:
    if not isinstance(key, str) or not isinstance(value, bytes | None):
        raise TypeError("a record has a key or a value of another type")
    (era,) = kept_era or (batch_era,)
    return KeyedRecord(_offset(offset), key, value, _check_era(era, batch_era))


def _check_era(value: object, at_most: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= at_most:
        raise TypeError(f"{value!r:.80} is no era up to {at_most}")
    return value


def _offset(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r:.80} is no offset")
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError(f"{value!r:.80} is no number of seconds")
    return float(value)


def _optional_seconds(value: object) -> float | None:
    return None if value is None else _seconds(value)
