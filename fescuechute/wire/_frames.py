"""Length-prefixed msgpack frames."""

from __future__ import annotations

import struct
from typing import Any, get_type_hints

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
from fescuechute.wire._checks import make_check

#: Maximum payload of one frame, in bytes. Bounds the memory that a peer can make a receiver use.
MAX_FRAME_BYTES = 1 << 20

#: Payload length and xxh32 of the payload. The TCP checksum does not detect changes made by a
#: faulty middlebox, and a corrupted token would reach the caller before the digest of the whole
#: answer is checked.
_HEADER = struct.Struct(">II")

#: Message types by type code. Codes are part of the protocol: append only, never renumber.
_MESSAGE_TYPES: tuple[type[m.Message], ...] = (
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
    m.RelayOffer,
    m.Relays,
    m.CrashReport,
    m.AnswerReport,
    m.VersionManifest,
)
_TYPE_CODES = {cls: code for code, cls in enumerate(_MESSAGE_TYPES)}
_FIELD_NAMES = {cls: tuple(field.name for field in attrs.fields(cls)) for cls in _MESSAGE_TYPES}
_FIELD_CHECKS = {
    cls: tuple(make_check(hints[name]) for name in _FIELD_NAMES[cls])
    for cls in _MESSAGE_TYPES
    for hints in [get_type_hints(cls)]
}


def encode(msg: m.Message) -> bytes:
    """Encodes a message as a frame.

    Raises:
      FrameTooLargeError: If the payload exceeds MAX_FRAME_BYTES.
    """
    cls = type(msg)
    fields: list[Any] = [_TYPE_CODES[cls]]
    fields.extend(getattr(msg, name) for name in _FIELD_NAMES[cls])
    payload = msgpack.packb(fields)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"{cls.__name__} takes {len(payload)} bytes, the limit is {MAX_FRAME_BYTES}.",
            "Split it into several messages.",
        )
    return _HEADER.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload


class FrameDecoder:
    """Decodes a byte stream into messages."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[m.Message]:
        """Adds received bytes and returns the messages completed by them.

        Raises:
          FrameTooLargeError: If a header declares a payload above the limit.
          FrameCorruptError: If a payload does not match its checksum.
          UnknownMessageError: If the type code is unknown.
          FrameTruncatedError: If a message has the wrong number of fields.
          WireError: If the payload is not a valid message.
        """
        self._buffer += data
        messages = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            size, checksum = _HEADER.unpack_from(self._buffer, start)
            if size > self._max_frame_bytes:
                raise FrameTooLargeError(
                    f"A frame announces {size} bytes, the limit is {self._max_frame_bytes}.",
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
        """Checks that the stream ended at a frame boundary.

        Raises:
          FrameTruncatedError: If it ended inside a frame.
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
    if not 0 <= code < len(_MESSAGE_TYPES):
        raise UnknownMessageError(
            f"Message type {code} is not known.", "Run the same release on both ends."
        )
    cls = _MESSAGE_TYPES[code]
    if len(fields) - 1 != len(_FIELD_NAMES[cls]):
        raise FrameTruncatedError(
            f"{cls.__name__} has {len(fields) - 1} fields, expected {len(_FIELD_NAMES[cls])}.",
            "Run the same release on both ends.",
        )
    for name, value, check in zip(_FIELD_NAMES[cls], fields[1:], _FIELD_CHECKS[cls], strict=True):
        if not check(value):
            raise WireError(
                f"{cls.__name__}.{name} is {value!r:.80}.",
                "Run the same release on both ends.",
            )
    return cls(*fields[1:])
