"""The stager: fetches declared weights beside an engine, stages them and orders the load."""

from fescuechute.stager._daemon import StagerDaemon
from fescuechute.stager._loader import Loader, OrderLoad, StageChunk
from fescuechute.stager._recovery import Recovery
from fescuechute.stager._reports import LoadTeller
from fescuechute.stager._sharing import ChunkPlace, Sharing, sha256
from fescuechute.stager._versions import VersionPlan, VersionRow

__all__ = [
    "ChunkPlace",
    "LoadTeller",
    "Loader",
    "OrderLoad",
    "Recovery",
    "Sharing",
    "StageChunk",
    "StagerDaemon",
    "VersionPlan",
    "VersionRow",
    "sha256",
]
