"""Distribution of a keyed topic within a region, so that few copies cross the link to the store.

Two processes of a region, its readers, read the topic from the store. The other processes read it from
them, and from the store itself when no relay of the region is current.
"""

from fescuechute.relay._announcer import RelayAnnouncer
from fescuechute.relay._cache import RecordCache
from fescuechute.relay._codec import decode_batch, encode_batch
from fescuechute.relay._dates import DateQuery
from fescuechute.relay._directory import RelayDirectory
from fescuechute.relay._first_read import FirstRead
from fescuechute.relay._kept import KeptQuery
from fescuechute.relay._log import RelayedLog
from fescuechute.relay._router import RelayRouter
from fescuechute.relay._server import RelayServer
from fescuechute.relay._sources import STORE, RelayAddress, SourceSelector
from fescuechute.relay._timing import RelayTiming

__all__ = [
    "STORE",
    "DateQuery",
    "FirstRead",
    "KeptQuery",
    "RecordCache",
    "RelayAddress",
    "RelayAnnouncer",
    "RelayDirectory",
    "RelayRouter",
    "RelayServer",
    "RelayTiming",
    "RelayedLog",
    "SourceSelector",
    "decode_batch",
    "encode_batch",
]
