"""Immutable types for the configuration and state of a deployment."""

from __future__ import annotations

import enum

import attrs

from fescuechute.checks import Address


class RetryPolicy(enum.StrEnum):
    """Whether requests on a route may be retried."""

    #: May run more than once.
    IDEMPOTENT = "idempotent"
    #: May run at most once for each attempt of the client.
    ONCE = "once"
    #: An event stream; idempotent only if it can be resumed.
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """A service among which a route splits its requests, with its weight."""

    service: str
    #: Share of the requests, relative to the other weights of the route.
    weight: float


@attrs.frozen
class Route:
    """Destinations and limits of requests with a host and path prefix."""

    name: str
    host: str
    #: Path prefix; starts and ends with a slash.
    prefix: str
    retry_policy: RetryPolicy
    #: Destinations; one for most routes.
    services: tuple[WeightedService, ...]
    #: Maximum seconds until the final response to a request.
    timeout_s: float
    #: Target in seconds for the response, or for the first event of a stream, to get full credit.
    target_latency_s: float
    #: Maximum seconds between events of a stream that count as on time; 0 for other routes.
    max_event_gap_s: float
    #: Priority; 0 is the most urgent.
    rank: int
    #: Maximum number of replicas to which one attempt of a client may be sent.
    max_upstreams: int
    #: Whether requests are accepted without a key.
    anonymous: bool
    #: Whether an interrupted stream may be resumed at another replica.
    resumable: bool
    #: Regions in which requests may be served and to which their bodies may be sent; empty for all.
    regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once, and so may be retried."""
        return self.retry_policy is RetryPolicy.IDEMPOTENT or (
            self.retry_policy is RetryPolicy.STREAM and self.resumable
        )


@attrs.frozen
class EngineProfile:
    """Performance model and capacity of the model engines of a service."""

    #: Requests that an engine processes concurrently.
    slots: int
    #: Capacity of the KV cache of an engine, in tokens.
    kv_capacity_tokens: int
    #: Base seconds of a decode step, before the costs of requests and context below.
    step_s: float
    #: Seconds that each decoding request adds to a step.
    step_per_request_s: float
    #: Seconds that each token of context adds to a step.
    step_per_token_s: float
    #: Prompt tokens prefilled per second.
    prefill_tokens_per_s: float
    #: Prefill seconds for each pair of a token and an earlier token (attention cost).
    prefill_per_pair_s: float
    #: Decode steps per scheduling pass of the engine.
    stride: int
    #: Maximum prompt tokens prefilled in one step.
    prefill_chunk_tokens: int
    #: Mean number of tokens of a prompt and of an output.
    mean_prompt_tokens: float
    mean_output_tokens: float
    #: Name of the model that the engines serve.
    model: str
    #: Seconds to load a staged version of the weights.
    load_s: float
    #: Number of chunks of a version of the weights, and bytes per chunk.
    chunks: int
    chunk_bytes: int
    #: Number of layers of the model.
    layers: int


@attrs.frozen
class Service:
    """A pool of replicas, or the origin of weights."""

    name: str
    #: Path of the health check.
    health_path: str = "/"
    #: Connections that a replica accepts in total.
    max_connections: int = 1
    #: Profile of the engines; None unless the replicas are model engines.
    engine: EngineProfile | None = None
    #: Address of the origin of weights, or None; a service with an origin has no replicas.
    origin: Address | None = None
    #: Data centre of the origin; empty without an origin.
    data_centre: str = ""
    #: Bandwidth of the link of the origin in bits per second, 0 if unknown.
    link_bits_s: float = 0.0
    #: Seconds for which a replica is cold after its start, 0 if it is never cold.
    cold_s: float = 0.0
    #: Requests per second that a cold replica tolerates from all gateways together, 0 for no limit.
    cold_requests_per_s: float = 0.0


@attrs.frozen
class ClientLimits:
    """Limits for connections and requests of clients."""

    #: Maximum size of the head of a request.
    header_bytes: int = 16384
    #: Maximum size of the body of a request.
    body_bytes: int = 1 << 20
    #: Maximum seconds from the first byte of a request to the end of its head.
    header_s: float = 3.0
    #: Seconds after which a connection without a request is closed.
    idle_s: float = 15.0


@attrs.frozen
class Workspace:
    """A customer and its API keys."""

    name: str
    keys: tuple[str, ...]
    #: Priority of the requests of the workspace, or None to use the rank of the route.
    rank: int | None = None
    #: Regions in which its requests may be served and to which their bodies may be sent; empty for all.
    regions: frozenset[str] = frozenset()


@attrs.frozen
class Configuration:
    """A version of the routing configuration declared by operators."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits = ClientLimits()
    #: Empty if requests need no key.
    workspaces: tuple[Workspace, ...] = ()


@attrs.frozen
class VersionDeclaration:
    """Declaration by operators of the weights version that every replica of a model must load."""

    model: str
    version: int


@attrs.frozen
class Evacuation:
    """Request by operators that the replicas of a data centre get no requests until it is withdrawn."""

    data_centre: str


class UpstreamState(enum.StrEnum):
    """State that a replica reports in its registration."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class LoadedModel:
    """A model version loaded by a replica."""

    name: str
    version: int


@attrs.frozen
class Registration:
    """The entry of one replica in the registry."""

    #: Id of the replica, unique per start.
    instance: str
    service: str
    address: Address
    data_centre: str
    state: UpstreamState
    #: Requests that the replica processes concurrently.
    slots: int
    #: Models that the replica has loaded.
    models: tuple[LoadedModel, ...] = ()
    #: Start time in unix milliseconds, 0 if unknown.
    born_ms: int = 0
    #: Seconds for which the replica is still cold, from the time at which it wrote the entry. A
    #: heartbeat that only counts it down does not change the entry.
    cold_left_s: float = attrs.field(default=0.0, eq=False)
    #: Heartbeats that the replica has written since its start, None if unknown. One that only raises the
    #: count does not change the entry.
    heartbeats: int | None = attrs.field(default=None, eq=False)

    def is_older_than(self, born_ms: int, heartbeats: int | None) -> bool:
        """Returns whether the replica wrote this entry before one of that start and heartbeat count.

        Entries without a start time cannot be compared, and those of one start only by their counts.
        """
        if not self.born_ms or not born_ms:
            return False
        if self.born_ms != born_ms:
            return self.born_ms < born_ms
        if self.heartbeats is None or heartbeats is None:
            return False
        return self.heartbeats < heartbeats


class LoadState(enum.StrEnum):
    """What is known of the weights that an engine holds."""

    #: All chunks were whole when the engine took them.
    VERIFIED = "verified"
    #: Some chunks may not have been whole; the engine must get no requests.
    UNVERIFIED = "unverified"
    #: They were loaded on an order of a stager that ran before, or the engine does not count its orders.
    UNKNOWN = "unknown"


@attrs.frozen
class EngineReport:
    """Load report of an engine."""

    models: tuple[LoadedModel, ...]
    #: Whether the engine is executing an order.
    loading: bool
    #: Number of orders accepted since the start of the engine, None if unknown.
    orders: int | None
    #: Number of queued and of running requests.
    waiting: int
    running: int
    #: KV cache tokens that are in use and cannot be evicted, and KV cache capacity in tokens.
    kv_used_tokens: int
    kv_total_tokens: int
    #: Step time relative to the profile; above 1 means slower.
    relative_step_time: float
    #: Start time in unix milliseconds, 0 if unknown.
    born_ms: int
