"""Typed nodes of a deployment's configuration. All of them are immutable."""

from __future__ import annotations

import enum

import attrs

from fescuechute.checks import Address


class Repeat(enum.StrEnum):
    """What may be repeated of a request on a route."""

    #: May run more than once.
    IDEMPOTENT = "idempotent"
    #: May run at most once for each attempt of the client.
    ONCE = "once"
    #: An event stream; idempotent only where it can be resumed.
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """One of the services among which a route splits its requests."""

    service: str
    #: Share of the requests, relative to the other weights of the route.
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and what they may cost."""

    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    repeat: Repeat
    #: Destinations; one for most routes.
    services: tuple[WeightedService, ...]
    #: Longest time that a request is kept without a final answer, in seconds.
    timeout_s: float
    #: Time within which an answer (of a stream: its first event) earns its full credit, in seconds.
    objective_s: float
    #: Longest pause between events of a stream that is still on time, in seconds; 0 for others.
    pause_s: float
    #: Rank; 0 is the most urgent.
    rank: int
    #: Replicas to which one attempt of a client may be sent.
    max_upstreams: int
    #: Whether requests need no key.
    anonymous: bool
    #: Whether a broken stream may go on at another replica.
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is Repeat.IDEMPOTENT or (self.repeat is Repeat.STREAM and self.resumable)


@attrs.frozen
class EngineProfile:
    """Speed and memory of the model engines of a service."""

    #: Requests that one engine processes at the same time.
    slots: int
    #: Tokens that fit into the memory of one engine.
    memory_tokens: int
    #: Time of one token step with no request writing, in seconds.
    step_s: float
    #: Time that each writing request adds to a step, in seconds.
    step_per_request_s: float
    #: Time that each token of context adds to a step, in seconds.
    step_per_token_s: float
    #: Prompt tokens read in a second.
    read_tokens_per_s: float
    #: Time for each pair of a token and an earlier one while reading, in seconds.
    read_per_pair_s: float
    #: Steps of one pass that includes writers.
    stride: int
    #: Most prompt tokens read in one step.
    read_chunk: int
    #: Mean tokens of a prompt and of an answer.
    mean_prompt: float
    mean_answer: float
    #: Name of the model that the engines serve.
    model: str
    #: Time to load a staged version, in seconds.
    load_s: float
    #: Chunks of one version of the weights, and the bytes of each.
    chunks: int
    chunk_bytes: int
    #: Layers of the model.
    layers: int


@attrs.frozen
class Service:
    """A pool of replicas, or the origin of weights."""

    name: str
    #: Path of the health check.
    health_path: str = "/"
    #: Connections that one replica accepts from all callers together.
    max_connections: int = 1
    #: Present on a service of model engines.
    engine: EngineProfile | None = None
    #: Address of the origin of weights; such a service has no replicas.
    origin: Address | None = None
    #: Data centre of the origin, empty for others.
    data_centre: str = ""
    #: Link of the origin in bits a second, 0 when unknown.
    link_bits_s: float = 0.0


@attrs.frozen
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    #: Seconds from the first byte of a request to the end of its head.
    header_s: float = 3.0
    #: Seconds for which a connection without a request is kept.
    idle_s: float = 15.0


@attrs.frozen
class Workspace:
    """A customer and its keys."""

    name: str
    keys: tuple[str, ...]
    #: Rank of its requests, or None for that of the route.
    rank: int | None = None


@attrs.frozen
class Configuration:
    """One version of everything that operators declare about routing."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits = ClientLimits()
    #: Empty when requests need no key.
    workspaces: tuple[Workspace, ...] = ()


@attrs.frozen
class VersionDeclaration:
    """Operators name the version of a model's weights that every replica must hold."""

    model: str
    version: int


class UpstreamState(enum.StrEnum):
    """What a replica says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class LoadedModel:
    """A model that a replica holds."""

    name: str
    version: int


@attrs.frozen
class Registration:
    """The entry of one replica in the registry."""

    #: Id of this start of the replica.
    instance: str
    service: str
    address: Address
    data_centre: str
    state: UpstreamState
    #: Requests that it processes at the same time.
    slots: int
    #: Models that it holds.
    models: tuple[LoadedModel, ...] = ()
    #: Unix milliseconds of its start, 0 when it does not say.
    born_ms: int = 0


@attrs.frozen
class EngineReport:
    """What an engine says of its load."""

    models: tuple[LoadedModel, ...]
    #: Whether an order is being carried out.
    busy: bool
    #: Orders accepted since its start.
    orders: int
    waiting: int
    running: int
    #: Tokens of memory in use that cannot yield, and in all.
    memory_used: int
    memory_total: int
    #: Time of a step relative to the profile; above 1 means slow.
    pace: float
    #: Unix milliseconds of its start, 0 when it does not say.
    born_ms: int
