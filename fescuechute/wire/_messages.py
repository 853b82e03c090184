"""Message classes. Fields are encoded in the order of their declaration."""

from __future__ import annotations

from typing import Any

import attrs

#: Sent in every Hello. Must be increased whenever the fields of a message change.
PROTOCOL_VERSION = 2
#: Kind of a stager that knows the message `VersionManifest`. Earlier releases, whose stagers have no
#: kind, close a link on which it arrives.
ACCEPTS_MANIFESTS = "accepts_manifests"


@attrs.frozen
class Message:
    """Base class of all messages."""


@attrs.frozen
class Hello(Message):
    """Handshake: the first message in each direction of a connection."""

    version: int
    process_id: str
    #: `entry`, `agent` or `stager`.
    role: str
    region: str
    data_centre: str
    #: Random id per process start, so that a restart of the peer is detected.
    boot_id: str
    #: Upstream of an agent or service of a stager; empty for an entry.
    upstream: str = ""
    #: `engine`, `service`, `ACCEPTS_MANIFESTS` for a stager, or empty.
    kind: str = ""


@attrs.frozen
class Ping(Message):
    """Heartbeat, sent by both ends of an otherwise idle link; not answered."""

    #: Unix seconds by the clock of the sender.
    sent_at: float


@attrs.frozen
class Generate(Message):
    """A generation request to a model."""

    request_id: str
    attempt: int
    model: str
    version: str
    #: Adapter name; empty if the request uses none.
    adapter: str
    adapter_version: str
    workspace: str
    rank: str
    #: Unix seconds.
    deadline: float
    prompt: str
    max_tokens: int
    #: Tokens already delivered to the caller, if the stream resumes at another upstream.
    resume: tuple[str, ...]
    #: Fingerprint of the request content, for quarantine.
    fingerprint: str
    #: Whether to run alone on the upstream, because the content is suspected of crashing it.
    solo: bool


@attrs.frozen
class Call(Message):
    """A call to an operation of a service (an upstream that is not a model engine)."""

    request_id: str
    attempt: int
    service: str
    operation: str
    #: JSON text.
    arguments: str
    workspace: str
    rank: str
    #: Unix seconds.
    deadline: float
    #: Idempotency key; empty for repeatable operations.
    key: str
    #: Id of the claim that permits this call; empty for repeatable operations.
    claim_id: str
    #: Partition of the log stream that holds the claim, -1 without a claim.
    partition: int


@attrs.frozen
class Cancel(Message):
    """Cancels a request whose answer is no longer needed."""

    request_id: str
    attempt: int


@attrs.frozen
class Accepted(Message):
    """The agent has forwarded the request to its upstream."""

    request_id: str
    attempt: int


@attrs.frozen
class Piece(Message):
    """A sequence of tokens of a streamed answer."""

    request_id: str
    attempt: int
    #: Index of the first token of this piece in the whole answer, counting resumed tokens.
    seq: int
    tokens: tuple[str, ...]


@attrs.frozen
class End(Message):
    """Marks the end of an answer."""

    request_id: str
    attempt: int
    #: Number of tokens in the whole answer, counting resumed tokens; 0 for a service call.
    count: int
    #: blake3 hex of the concatenated text, or of `body` for a service call.
    digest: str
    #: Version of the model that answered; empty for a service call.
    version: str
    #: Result of a service call as JSON text; empty for a model request.
    body: str


@attrs.frozen
class Refused(Message):
    """The agent has not forwarded the request to its upstream and will not do so."""

    request_id: str
    attempt: int
    #: Value of `fescuechute.errors.Reason`.
    reason: str
    #: Unix seconds after which to retry, 0.0 if unknown.
    retry_at: float


@attrs.frozen
class Failed(Message):
    """The request was forwarded to the upstream but did not complete."""

    request_id: str
    attempt: int
    #: Value of `fescuechute.errors.Reason`.
    reason: str
    #: Value of `fescuechute.errors.ExecutionStatus`.
    ran: str
    #: Whether the upstream crashed while it ran this request.
    crashed: bool
    message: str


@attrs.frozen
class Status(Message):
    """State of an agent and its upstream; sent every 0.5 s and on change."""

    seq: int
    upstream: str
    kind: str
    #: `starting`, `loading`, `switching`, `live` or `draining`.
    state: str
    running: int
    queued: int
    slots: int
    #: Revision of the notes that this process applies.
    revision: int
    #: (kind, name, version) of the weights that the upstream has confirmed.
    weights: tuple[tuple[str, str, str], ...]
    #: Recent tokens per second.
    token_rate: float


@attrs.frozen
class Digest(Message):
    """Position up to which the sender has read a log stream."""

    stream: str
    next_offset: int
    revision: int


@attrs.frozen
class PullRecords(Message):
    """Requests the records of a stream from an offset."""

    stream: str
    from_offset: int


@attrs.frozen
class Records(Message):
    """Consecutive records of a log stream."""

    stream: str
    #: Offset of the first record.
    first: int
    #: Records in the form of the log service: dicts with offset, time, id and data.
    records: tuple[dict[str, Any], ...]
    #: Offset of the oldest record that the sender holds.
    oldest: int


@attrs.frozen
class Crash(Message):
    """Reports that an upstream crashed while it ran certain requests."""

    crash_id: str
    #: Content fingerprints of the requests.
    fingerprints: tuple[str, ...]
    #: Unix seconds of the crash.
    at: float


@attrs.frozen
class Have(Message):
    """Announces blobs available from the sender since its last Have on this link."""

    #: blake3 digests, 32 bytes each.
    blobs: tuple[bytes, ...]


@attrs.frozen
class FetchBlob(Message):
    """Requests a blob."""

    digest: bytes


@attrs.frozen
class Blob(Message):
    """Contents of a requested blob."""

    digest: bytes
    data: bytes


@attrs.frozen
class BlobRefused(Message):
    """The sender cannot provide a requested blob now."""

    digest: bytes
    #: `missing` or `busy`.
    reason: str


@attrs.frozen
class Greet(Message):
    """Subscribes a gateway to the load reports of an engine; sent again before it expires."""

    #: Process id of the gateway.
    process_id: str
    #: Address at which the gateway receives datagrams.
    ip: str
    port: int
    #: Shortest time between two reports, in milliseconds.
    interval_ms: int
    #: Whether the gateway asks for the number of gateways.
    wants_count: bool


@attrs.frozen
class Gateways(Message):
    """Tells a gateway how many gateways are running."""

    #: Number of gateways that have recently asked for it, the receiver included.
    count: int


@attrs.frozen
class Load(Message):
    """Load report of an engine."""

    #: Address at which the engine accepts requests.
    ip: str
    port: int
    running: int
    waiting: int
    #: Step time relative to the profile of the engine; above 1 means slower.
    pace: float
    #: Whether the engine is executing an order.
    loading: bool
    #: (model, version) pairs that the engine can serve.
    versions: tuple[tuple[str, int], ...]
    #: Start time of the engine in unix milliseconds.
    born_ms: int
    #: Number of gateways that use this engine before others, the receiver included if it does.
    near_gateways: int
    #: Number of orders that the engine has accepted since its start, -1 if unknown.
    orders: int
    #: What is known of the weights that the engine holds, as `LoadState`.
    load_state: str


@attrs.frozen
class RelayOffer(Message):
    """Offers the operators' records to the processes of a region; sent again before it expires."""

    #: Process id of the relay.
    process_id: str
    #: Address at which it serves the records, over TCP; the port is 0 while it does not.
    ip: str
    port: int
    region: str
    #: Port at which it receives datagrams.
    datagram_port: int


@attrs.frozen
class Relays(Message):
    """Answers a RelayOffer with the relays that are known in the same region."""

    #: (process id, IP address, port) of each relay.
    known: tuple[tuple[str, str, int], ...]


@attrs.frozen
class CrashReport(Message):
    """Reports contents of requests that were in flight when an upstream crashed.

    Sent by a gateway to stagers, which forward it to all gateways.
    """

    instance: str
    #: Start time of the crashed process in unix milliseconds.
    born_ms: int
    #: Digests of the contents, 8 bytes each.
    contents: tuple[bytes, ...]


@attrs.frozen
class AnswerReport(Message):
    """Reports suspected contents with which requests were answered completely; sent likewise."""

    #: Digests of the contents, 8 bytes each.
    contents: tuple[bytes, ...]
    #: Time since the answers, in milliseconds.
    age_ms: int


@attrs.frozen
class VersionManifest(Message):
    """Passes on the manifest of a version of a model."""

    model: str
    version: int
    #: SHA-256 digests of the chunks in order, 32 bytes each.
    digests: tuple[bytes, ...]
