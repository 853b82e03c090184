"""Length-prefixed msgpack frames."""

from __future__ import annotations

import struct
from typing import Any

import attrs
import msgpack
import xxhash

from fescuechute.errors import (
    FrameCorruptError,
    FrameTooLargeError,
    FrameTruncatedError,
    UnknownMessageError,
    WireError,
)
from fescuechute.wire import _messages as m

#: Largest payload of one frame, in bytes. Bounds the memory that one peer can make us hold.
MAX_FRAME_BYTES = 1 << 20

#: Length of the payload and its xxh32. TCP's own checksum misses what a faulty middlebox rewrites,
#: and one changed token would reach the caller before the digest of the whole answer.
_HEADER = struct.Struct(">II")

#: Type codes are part of the protocol: append, never renumber.
_TYPES: tuple[type[m.Message], ...] = (
    m.Hello,
    m.Ping,
    m.Generate,
    m.Call,
    m.Cancel,
    m.Accepted,
    m.Piece,
    m.End,
    m.Refused,
    m.Failed,
    m.Status,
    m.Digest,
    m.PullRecords,
    m.Records,
    m.Crash,
    m.Have,
    m.FetchBlob,
    m.Blob,
    m.BlobRefused,
    m.Greet,
    m.Gateways,
    m.Load,
)
_CODES = {cls: code for code, cls in enumerate(_TYPES)}
_NAMES = {cls: tuple(field.name for field in attrs.fields(cls)) for cls in _TYPES}
#: Accepted Python types by annotation; containers are checked one level deep.
_CHECKS: dict[str, tuple[type, ...]] = {
    "int": (int,),
    "float": (float, int),
    "str": (str,),
    "bytes": (bytes,),
    "bool": (bool,),
}
_FIELD_TYPES = {
    cls: tuple(_CHECKS.get(str(field.type), (tuple,)) for field in attrs.fields(cls))
    for cls in _TYPES
}


def encode(msg: m.Message) -> bytes:
    """Returns the frame of a message.

    Raises:
      FrameTooLargeError: If the payload exceeds MAX_FRAME_BYTES.
    """
    cls = type(msg)
    fields: list[Any] = [_CODES[cls]]
    fields.extend(getattr(msg, name) for name in _NAMES[cls])
    payload = msgpack.packb(fields)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"{cls.__name__} takes {len(payload)} bytes, the limit is {MAX_FRAME_BYTES}.",
            "Split it into several messages.",
        )
    return _HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload


class FrameDecoder:
    """Cuts a byte stream into messages."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        self._max = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[m.Message]:
        """Adds received bytes and returns the messages that are now complete.

        Raises:
          FrameTooLargeError: If a header announces more than the limit.
          FrameCorruptError: If a payload does not match its checksum.
          UnknownMessageError: If the type code is not known.
          FrameTruncatedError: If a message lacks fields.
          WireError: If the payload is not a valid message.
        """
        self._buffer += data
        messages = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            size, checksum = _HEADER.unpack_from(self._buffer, start)
            if size > self._max:
                raise FrameTooLargeError(
                    f"A frame announces {size} bytes, the limit is {self._max}.",
                    "Check that the peer is a fescuechute process of this version.",
                )
            end = start + _HEADER.size + size
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[start + _HEADER.size : end])
            if xxhash.xxh32_intdigest(payload) != checksum:
                raise FrameCorruptError(
                    "A frame does not match its checksum.",
                    "Nothing to do; the link is dropped and opened again.",
                )
            messages.append(_decode(payload))
            start = end
        if start:
            del self._buffer[:start]
        return messages

    def close(self) -> None:
        """Checks that the stream ended between two frames.

        Raises:
          FrameTruncatedError: If it ended inside one.
        """
        if self._buffer:
            raise FrameTruncatedError(
                f"The connection ended {len(self._buffer)} bytes into a frame.",
                "Nothing to do; the message is dropped and the peer reconnects.",
            )


def _decode(payload: bytes) -> m.Message:
    try:
        fields = msgpack.unpackb(payload, use_list=False)
    except (ValueError, msgpack.exceptions.ExtraData) as exc:
        raise WireError(
            f"A frame is not msgpack: {exc}.", "Check that the peer is a fescuechute process."
        ) from exc
    if not isinstance(fields, tuple) or not fields or not isinstance(fields[0], int):
        raise WireError(
            "A frame does not start with a type code.",
            "Check that the peer is a fescuechute process.",
        )
    code = fields[0]
    if not 0 <= code < len(_TYPES):
        raise UnknownMessageError(
            f"Message type {code} is not known.", "Run the same release on both ends."
        )
    cls = _TYPES[code]
    if len(fields) - 1 != len(_NAMES[cls]):
        raise FrameTruncatedError(
            f"{cls.__name__} has {len(fields) - 1} fields, expected {len(_NAMES[cls])}.",
            "Run the same release on both ends.",
        )
    for name, value, accepted in zip(_NAMES[cls], fields[1:], _FIELD_TYPES[cls], strict=True):
        if not isinstance(value, accepted) or (isinstance(value, bool) and bool not in accepted):
            raise WireError(
                f"{cls.__name__}.{name} is {type(value).__name__}.",
                "Run the same release on both ends.",
            )
    return cls(*fields[1:])
