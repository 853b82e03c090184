"""The stager: downloads declared weights for one engine, stages them there and orders the load."""

from fescuechute.stager._chunk_transfer import ChunkLocation, ChunkTransfer, sha256
from fescuechute.stager._crash_relay import CrashRelay
from fescuechute.stager._daemon import StagerDaemon
from fescuechute.stager._load_planner import (
    LoadPlanner,
    OrderLoad,
    OrderResult,
    StageChunk,
    VerifyChunk,
)
from fescuechute.stager._load_reporter import LoadReporter
from fescuechute.stager._load_verification import (
    LoadId,
    LoadVerification,
    ReadLoadedChunk,
    UnloadEngine,
)
from fescuechute.stager._manifests import ManifestExchange
from fescuechute.stager._recovery import Recovery
from fescuechute.stager._versions import VersionPlan, VersionState

__all__ = [
    "ChunkLocation",
    "ChunkTransfer",
    "CrashRelay",
    "LoadId",
    "LoadPlanner",
    "LoadReporter",
    "LoadVerification",
    "ManifestExchange",
    "OrderLoad",
    "OrderResult",
    "ReadLoadedChunk",
    "Recovery",
    "StageChunk",
    "StagerDaemon",
    "UnloadEngine",
    "VerifyChunk",
    "VersionPlan",
    "VersionState",
    "sha256",
]
