"""Settings classes, one for each table of the file. Keys carry their unit as a suffix."""

from __future__ import annotations

import attrs

from fescuechute.checks import (
    Address,
    Choice,
    Flag,
    IpNumber,
    IpPort,
    Number,
    Table,
    Tables,
    Text,
    Texts,
    Whole,
    checked,
)

#: Port 0 lets the operating system choose.
_LISTEN_PORT = Whole(0, 65535)


@attrs.frozen
class ProcessSettings:
    """Identity and addresses of this process."""

    #: Unique name of the process.
    id: str = attrs.field(metadata=checked(Text()))
    #: `entry` or `agent`.
    role: str = attrs.field(metadata=checked(Choice(("entry", "agent"))))
    region: str = attrs.field(metadata=checked(Text()))
    data_centre: str = attrs.field(metadata=checked(Text()))
    #: IP number to listen on.
    address: str = attrs.field(metadata=checked(IpNumber()))
    #: Port for links from other processes; 0 lets the operating system choose.
    link_port: int = attrs.field(metadata=checked(_LISTEN_PORT))
    #: Port for callers and operators; 0 lets the operating system choose.
    http_port: int = attrs.field(metadata=checked(_LISTEN_PORT))


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services."""

    log: Address = attrs.field(metadata=checked(IpPort()))
    vms: Address = attrs.field(metadata=checked(IpPort()))
    store: Address = attrs.field(metadata=checked(IpPort()))
    origin: Address = attrs.field(metadata=checked(IpPort()))
    #: Region in which the store and the origin stand.
    store_region: str = attrs.field(metadata=checked(Text()))


@attrs.frozen
class MetricsSettings:
    """Where counters go."""

    #: Receiver of statsd datagrams, or None to keep totals in memory only.
    statsd: Address | None = attrs.field(default=None, metadata=checked(IpPort()))


@attrs.frozen
class LogSettings:
    """Log lines of this process."""

    level: str = attrs.field(
        default="info",
        metadata=checked(Choice(("debug", "info", "notice", "warning", "error", "critical"))),
    )
    #: `text` or `json`.
    format: str = attrs.field(default="text", metadata=checked(Choice(("text", "json"))))


@attrs.frozen
class TickSettings:
    """Period of the systems that run on time."""

    interval_ms: int = attrs.field(default=50, metadata=checked(Whole(1, 1000)))


@attrs.frozen
class RankSettings:
    """One rank of work. The order in the file is the order of precedence."""

    name: str = attrs.field(metadata=checked(Text()))
    #: Fraction of capacity kept for this rank under floods of higher ranks.
    protected_share: float = attrs.field(default=0.0, metadata=checked(Number(0, 1)))
    #: Deadline of a request that names none.
    default_timeout_ms: int = attrs.field(default=30_000, metadata=checked(Whole(1)))


@attrs.frozen
class WorkspaceSettings:
    """One workspace."""

    name: str = attrs.field(metadata=checked(Text()))
    #: Share of capacity relative to the other workspaces of the same rank.
    weight: float = attrs.field(default=1.0, metadata=checked(Number(0, above_low=True)))


@attrs.frozen
class ServiceSettings:
    """One plain service beside the engines."""

    name: str = attrs.field(metadata=checked(Text()))
    operations: tuple[str, ...] = attrs.field(metadata=checked(Texts(allow_empty=False)))
    #: Operations that need an idempotency key. Has no default, because a forgotten entry would
    #: let an order run twice.
    non_repeatable: tuple[str, ...] = attrs.field(metadata=checked(Texts()))


@attrs.frozen
class ClaimSettings:
    """Idempotency keys and claims."""

    #: Number of claim streams; must be the same in all processes.
    partitions: int = attrs.field(default=4, metadata=checked(Whole(1, 1024)))
    #: Age up to which a key is accepted.
    window_s: float = attrs.field(default=600.0, metadata=checked(Number(0, above_low=True)))
    #: Largest accepted difference between a caller's clock and the log's.
    skew_s: float = attrs.field(default=5.0, metadata=checked(Number(0)))
    #: Time for which claims are gathered into one append.
    gather_ms: float = attrs.field(default=5.0, metadata=checked(Number(0, 1000)))


@attrs.frozen
class NoteSettings:
    """The stream `notes`."""

    #: Time for which the log keeps records. Snapshots are appended at a quarter of it, so a value
    #: above the log's own would let notes age out before they are covered.
    retention_s: float = attrs.field(default=604_800.0, metadata=checked(Number(0, above_low=True)))


@attrs.frozen
class EntrySettings:
    """Limits of an entry."""

    max_body_bytes: int = attrs.field(default=1_048_576, metadata=checked(Whole(1)))
    max_tokens: int = attrs.field(default=4096, metadata=checked(Whole(1)))
    #: Entries that keep a link to each agent, by rendezvous hashing; all of them when there are no
    #: more. It bounds what links cost on both sides.
    entries_per_agent: int = attrs.field(default=64, metadata=checked(Whole(2)))
    #: How an upstream is chosen.
    policy: str = attrs.field(
        default="prefix_bounded",
        metadata=checked(
            Choice(("prefix_bounded", "two_choices", "random", "round_robin", "least_outstanding"))
        ),
    )
    #: Longest wait for requests in flight when the process stops.
    drain_timeout_s: float = attrs.field(default=60.0, metadata=checked(Number(0)))


@attrs.frozen
class RetrySettings:
    """Limits on retries."""

    #: Retries as a fraction of requests.
    budget: float = attrs.field(default=0.1, metadata=checked(Number(0, 1)))
    #: Attempts of one request, the first included.
    max_attempts: int = attrs.field(default=4, metadata=checked(Whole(1)))


@attrs.frozen
class AgentSettings:
    """The upstream beside an agent."""

    #: Name of the upstream.
    upstream: str = attrs.field(metadata=checked(Text()))
    #: `engine` or `service`.
    kind: str = attrs.field(metadata=checked(Choice(("engine", "service"))))
    upstream_address: Address = attrs.field(metadata=checked(IpPort()))
    #: Requests that the upstream runs at once.
    slots: int = attrs.field(default=8, metadata=checked(Whole(1)))
    #: Whether the upstream refuses orders with an old fencing number. The default makes the agent
    #: read the upstream back, which is safe for both kinds.
    enforces_fencing: bool = attrs.field(default=False, metadata=checked(Flag()))
    #: Longest wait for requests in flight when the process stops.
    drain_timeout_s: float = attrs.field(default=60.0, metadata=checked(Number(0)))
    #: Longest time for one version switch, after which other replicas no longer wait for it.
    switch_timeout_s: float = attrs.field(default=30.0, metadata=checked(Number(0, above_low=True)))


@attrs.frozen
class ExchangeSettings:
    """Exchange of weight chunks between agents."""

    upload_bytes_s: float = attrs.field(
        default=50_000_000.0, metadata=checked(Number(0, above_low=True))
    )
    download_bytes_s: float = attrs.field(
        default=50_000_000.0, metadata=checked(Number(0, above_low=True))
    )
    #: Fraction of both rates that chunks may use while requests flow.
    share_under_load: float = attrs.field(
        default=0.5, metadata=checked(Number(0, 1, above_low=True))
    )
    #: Chunks fetched at once.
    parallel: int = attrs.field(default=4, metadata=checked(Whole(1)))
    #: Time after which a chunk is asked for elsewhere.
    chunk_timeout_s: float = attrs.field(default=2.0, metadata=checked(Number(0, above_low=True)))


def _default_ranks() -> tuple[RankSettings, ...]:
    return (
        RankSettings("urgent", 0.0, 10_000),
        RankSettings("ordinary", 0.25, 30_000),
        RankSettings("background", 0.05, 120_000),
    )


@attrs.frozen
class Settings:
    """All settings of a process."""

    process: ProcessSettings = attrs.field(metadata=checked(Table(ProcessSettings)))
    platform: PlatformSettings = attrs.field(metadata=checked(Table(PlatformSettings)))
    metrics: MetricsSettings = attrs.field(
        factory=MetricsSettings, metadata=checked(Table(MetricsSettings))
    )
    logs: LogSettings = attrs.field(factory=LogSettings, metadata=checked(Table(LogSettings)))
    tick: TickSettings = attrs.field(factory=TickSettings, metadata=checked(Table(TickSettings)))
    ranks: tuple[RankSettings, ...] = attrs.field(
        factory=_default_ranks,
        metadata=checked(Tables(RankSettings, unique=("name",), allow_empty=False)),
    )
    workspaces: tuple[WorkspaceSettings, ...] = attrs.field(
        default=(), metadata=checked(Tables(WorkspaceSettings, unique=("name",)))
    )
    services: tuple[ServiceSettings, ...] = attrs.field(
        default=(), metadata=checked(Tables(ServiceSettings, unique=("name",)))
    )
    claims: ClaimSettings = attrs.field(
        factory=ClaimSettings, metadata=checked(Table(ClaimSettings))
    )
    notes: NoteSettings = attrs.field(factory=NoteSettings, metadata=checked(Table(NoteSettings)))
    entry: EntrySettings = attrs.field(
        factory=EntrySettings, metadata=checked(Table(EntrySettings))
    )
    retry: RetrySettings = attrs.field(
        factory=RetrySettings, metadata=checked(Table(RetrySettings))
    )
    #: None for an entry.
    agent: AgentSettings | None = attrs.field(default=None, metadata=checked(Table(AgentSettings)))
    exchange: ExchangeSettings = attrs.field(
        factory=ExchangeSettings, metadata=checked(Table(ExchangeSettings))
    )
