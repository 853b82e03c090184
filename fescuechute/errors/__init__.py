"""Exception hierarchy and refusal reasons, shared by all packages."""

from fescuechute.errors._errors import (
    FescuechuteError,
    FrameCorruptError,
    FrameTooLargeError,
    FrameTruncatedError,
    NoteError,
    PlatformError,
    Problem,
    ProtocolVersionError,
    RefusedError,
    ResponseTooLargeError,
    SettingsError,
    UnknownMessageError,
    WireError,
)
from fescuechute.errors._reasons import ExecutionStatus, Reason, Refusal, refusal

__all__ = [
    "ExecutionStatus",
    "FescuechuteError",
    "FrameCorruptError",
    "FrameTooLargeError",
    "FrameTruncatedError",
    "NoteError",
    "PlatformError",
    "Problem",
    "ProtocolVersionError",
    "Reason",
    "Refusal",
    "RefusedError",
    "ResponseTooLargeError",
    "SettingsError",
    "UnknownMessageError",
    "WireError",
    "refusal",
]
