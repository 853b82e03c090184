"""Distribution of model weights: manifests, chunk exchange between agents, and engine switches.

This package only makes decisions; it does no I/O and reads no clock. Callers report events and then
carry out the commands that `plan(now)` returns:

    exchange = Exchange("agent-1", "norte", "norte", store, random.Random(1))
    exchange.set_agents({"norte": ["agent-1", "agent-2"]})
    exchange.want(manifest.digests)
    for command in exchange.plan(now):
        carry_out(command)
"""

from fescuechute.weights._commands import (
    ORIGIN,
    CancelFetch,
    Command,
    Drain,
    FetchFromOrigin,
    FetchFromPeer,
    ReadBack,
    SendOrder,
    Serve,
    Stage,
    StopServing,
    Weight,
)
from fescuechute.weights._exchange import Exchange
from fescuechute.weights._exchange_rows import ExchangeLimits
from fescuechute.weights._manifest import (
    CHUNK_BYTES,
    Manifest,
    ManifestError,
    digest_of,
    make_manifest,
    parse_manifest,
    split,
)
from fescuechute.weights._ring import Ring
from fescuechute.weights._ring_limits import PREDECESSORS, RingLimits
from fescuechute.weights._store import BlobStore
from fescuechute.weights._switch import Switch
from fescuechute.weights._switch_rows import SwitchLimits, SwitchState, Target
from fescuechute.weights._uploads import TokenBucket, Upload, UploadQueue
from fescuechute.weights._waves import Replica, may_switch, wave_width

__all__ = [
    "CHUNK_BYTES",
    "ORIGIN",
    "PREDECESSORS",
    "BlobStore",
    "CancelFetch",
    "Command",
    "Drain",
    "Exchange",
    "ExchangeLimits",
    "FetchFromOrigin",
    "FetchFromPeer",
    "Manifest",
    "ManifestError",
    "ReadBack",
    "Replica",
    "Ring",
    "RingLimits",
    "SendOrder",
    "Serve",
    "Stage",
    "StopServing",
    "Switch",
    "SwitchLimits",
    "SwitchState",
    "Target",
    "TokenBucket",
    "Upload",
    "UploadQueue",
    "Weight",
    "digest_of",
    "make_manifest",
    "may_switch",
    "parse_manifest",
    "split",
    "wave_width",
]
