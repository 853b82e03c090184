"""Typed messages. The fields travel in the order in which they are declared."""

from __future__ import annotations

from typing import Any

import attrs

#: Sent in every Hello. Raised whenever a message changes its fields.
PROTOCOL_VERSION = 1


@attrs.frozen
class Message:
    """Base of all messages."""


@attrs.frozen
class Hello(Message):
    """First message in both directions of a connection."""

    version: int
    process_id: str
    #: `entry` or `agent`.
    role: str
    region: str
    data_centre: str
    #: Random for each start of a process, so that a restarted peer is recognised.
    boot_id: str
    #: Name of the upstream that an agent stands beside; empty for an entry.
    upstream: str = ""
    #: `engine`, `service`, or empty for an entry.
    kind: str = ""


@attrs.frozen
class Ping(Message):
    """Heartbeat. Both ends send it when they have nothing else to send, so it has no answer."""

    #: Unix seconds at the sender.
    sent_at: float


@attrs.frozen
class Generate(Message):
    """A model request."""

    request_id: str
    attempt: int
    model: str
    version: str
    #: Empty when the request uses no adapter.
    adapter: str
    adapter_version: str
    workspace: str
    rank: str
    #: Unix seconds.
    deadline: float
    prompt: str
    max_tokens: int
    #: Tokens that the caller already has, when a stream moves between upstreams.
    resume: tuple[str, ...]
    #: Content fingerprint, for quarantine.
    fingerprint: str
    #: Run alone on the upstream, because the content is suspected of crashing it.
    solo: bool


@attrs.frozen
class Call(Message):
    """A call to a plain service."""

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
    #: Idempotency key; empty for operations that may be repeated.
    key: str
    #: Claim under which the call is sent; empty for operations that may be repeated.
    claim_id: str
    #: Log stream partition of the claim, -1 without a claim.
    partition: int


@attrs.frozen
class Cancel(Message):
    """The caller no longer wants the answer."""

    request_id: str
    attempt: int


@attrs.frozen
class Accepted(Message):
    """The agent has passed the request to its upstream."""

    request_id: str
    attempt: int


@attrs.frozen
class Piece(Message):
    """Part of a streamed answer."""

    request_id: str
    attempt: int
    #: Index of the first token of this piece in the whole answer, resumed tokens included.
    seq: int
    tokens: tuple[str, ...]


@attrs.frozen
class End(Message):
    """Explicit end of an answer."""

    request_id: str
    attempt: int
    #: Tokens in the whole answer, resumed tokens included; 0 for a service call.
    count: int
    #: blake3 hex of the concatenated text, or of `body` for a service call.
    digest: str
    #: Version of the model that answered; empty for a service call.
    version: str
    #: JSON text of a service's result; empty for a model request.
    body: str


@attrs.frozen
class Refused(Message):
    """The agent did not pass the request to its upstream and never will."""

    request_id: str
    attempt: int
    #: Value of `fescuechute.errors.Reason`.
    reason: str
    #: Unix seconds, 0.0 when no time can be given.
    retry_at: float


@attrs.frozen
class Failed(Message):
    """The request was passed to the upstream and did not complete."""

    request_id: str
    attempt: int
    #: Value of `fescuechute.errors.Reason`.
    reason: str
    #: Value of `fescuechute.errors.Ran`.
    ran: str
    #: The upstream crashed while it ran this request.
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
    #: Revision of the note that this process has in force.
    revision: int
    #: Confirmed (kind, name, version) triples.
    weights: tuple[tuple[str, str, str], ...]
    #: Tokens a second over the last seconds.
    token_rate: float


@attrs.frozen
class Digest(Message):
    """How far the sender has read a log stream."""

    stream: str
    next_offset: int
    revision: int


@attrs.frozen
class PullRecords(Message):
    """Asks for the records of a stream from an offset on."""

    stream: str
    from_offset: int


@attrs.frozen
class Records(Message):
    """Consecutive records of a log stream."""

    stream: str
    #: Offset of the first record.
    first: int
    #: Records as the log service gave them: dicts with offset, time, id and data.
    records: tuple[dict[str, Any], ...]
    #: Oldest offset that the sender holds.
    oldest: int


@attrs.frozen
class Crash(Message):
    """An upstream crashed while it ran these requests."""

    crash_id: str
    fingerprints: tuple[str, ...]
    #: Unix seconds.
    at: float


@attrs.frozen
class Have(Message):
    """Blobs that the sender holds and gives out, added since its last Have on this link."""

    #: blake3 digests, 32 bytes each.
    blobs: tuple[bytes, ...]


@attrs.frozen
class FetchBlob(Message):
    """Asks for a blob."""

    digest: bytes


@attrs.frozen
class Blob(Message):
    """A blob's bytes."""

    digest: bytes
    data: bytes


@attrs.frozen
class BlobRefused(Message):
    """The sender cannot give the blob now."""

    digest: bytes
    #: `missing` or `busy`.
    reason: str


@attrs.frozen
class Greet(Message):
    """A gateway tells an agent where to send the load of its engine."""

    #: Process id of the gateway.
    process_id: str
    #: Address at which it receives datagrams.
    ip: str
    port: int


@attrs.frozen
class Gateways(Message):
    """An agent tells a gateway who else greeted it lately."""

    #: (process id, ip, port) of each.
    known: tuple[tuple[str, str, int], ...]


@attrs.frozen
class Load(Message):
    """What an engine reported to the agent beside it."""

    #: Address at which the engine takes requests.
    ip: str
    port: int
    running: int
    waiting: int
    #: Time of a step relative to the profile of the engine.
    pace: float
    #: Whether an order is being carried out.
    loading: bool
    #: (model, version) pairs that it can serve.
    versions: tuple[tuple[str, int], ...]
    #: Unix milliseconds of the engine's start.
    born_ms: int
