"""Settings classes, one for each table of the TOML file. Units are suffixes of the keys."""

from __future__ import annotations

import attrs

from fescuechute.checks import (
    Address,
    Choice,
    Flag,
    Integer,
    IpAddress,
    IpPort,
    Number,
    Table,
    Tables,
    Text,
    Texts,
    checked,
)

#: Port 0 lets the operating system choose.
_LISTEN_PORT = Integer(0, 65535)


@attrs.frozen
class ProcessSettings:
    """Identity and listening addresses of the process."""

    #: Unique name of the process.
    id: str = attrs.field(metadata=checked(Text()))
    #: `entry` or `agent`.
    role: str = attrs.field(metadata=checked(Choice(("entry", "agent"))))
    region: str = attrs.field(metadata=checked(Text()))
    data_centre: str = attrs.field(metadata=checked(Text()))
    #: IP address to listen on.
    address: str = attrs.field(metadata=checked(IpAddress()))
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
    #: Region of the store and the origin.
    store_region: str = attrs.field(metadata=checked(Text()))


@attrs.frozen
class MetricsSettings:
    """Export of metrics."""

    #: Receiver of statsd datagrams, or None to keep totals in memory only.
    statsd: Address | None = attrs.field(default=None, metadata=checked(IpPort()))


@attrs.frozen
class LogSettings:
    """Level and format of the log."""

    level: str = attrs.field(
        default="info",
        metadata=checked(Choice(("debug", "info", "notice", "warning", "error", "critical"))),
    )
    #: `text` or `json`.
    format: str = attrs.field(default="text", metadata=checked(Choice(("text", "json"))))


@attrs.frozen
class TickSettings:
    """Interval of the periodic work of the main loop."""

    interval_ms: int = attrs.field(default=50, metadata=checked(Integer(1, 1000)))


@attrs.frozen
class RankSettings:
    """One priority class of requests. Ranks are listed from highest to lowest priority."""

    name: str = attrs.field(metadata=checked(Text()))
    #: Fraction of capacity reserved for this rank when higher ranks would use all of it.
    protected_share: float = attrs.field(default=0.0, metadata=checked(Number(0, 1)))
    #: Time limit of a request that has no deadline of its own.
    default_timeout_ms: int = attrs.field(default=30_000, metadata=checked(Integer(1)))


@attrs.frozen
class WorkspaceSettings:
    """One workspace and its share of capacity."""

    name: str = attrs.field(metadata=checked(Text()))
    #: Share of capacity relative to the other workspaces of the same rank.
    weight: float = attrs.field(default=1.0, metadata=checked(Number(0, exclusive_low=True)))


@attrs.frozen
class ServiceSettings:
    """One service other than the model engines."""

    name: str = attrs.field(metadata=checked(Text()))
    operations: tuple[str, ...] = attrs.field(metadata=checked(Texts(allow_empty=False)))
    #: Operations that must not run twice and therefore need an idempotency key. Has no default,
    #: because a forgotten entry would let a retried operation run twice.
    non_repeatable: tuple[str, ...] = attrs.field(metadata=checked(Texts()))


@attrs.frozen
class ClaimSettings:
    """Idempotency keys and claims."""

    #: Number of claim streams; must be the same in all processes.
    partitions: int = attrs.field(default=4, metadata=checked(Integer(1, 1024)))
    #: Maximum age of an accepted idempotency key.
    window_s: float = attrs.field(default=600.0, metadata=checked(Number(0, exclusive_low=True)))
    #: Maximum accepted clock difference between a caller and the log.
    skew_s: float = attrs.field(default=5.0, metadata=checked(Number(0)))
    #: Time for which claims are batched into one append.
    gather_ms: float = attrs.field(default=5.0, metadata=checked(Number(0, 1000)))


@attrs.frozen
class NoteSettings:
    """The log stream `notes`, which holds release notes."""

    #: Retention time of the log. A snapshot is appended when the oldest note that it must cover has
    #: reached a quarter of this age, so a value above the log's actual retention would let notes
    #: expire before a snapshot covers them.
    retention_s: float = attrs.field(
        default=604_800.0, metadata=checked(Number(0, exclusive_low=True))
    )


@attrs.frozen
class EntrySettings:
    """Limits and routing policy of an entry."""

    max_body_bytes: int = attrs.field(default=1_048_576, metadata=checked(Integer(1)))
    max_tokens: int = attrs.field(default=4096, metadata=checked(Integer(1)))
    #: Number of entries that keep a link to each agent, selected by rendezvous hashing; with fewer
    #: entries, all of them do. Bounds the cost of links on both sides.
    entries_per_agent: int = attrs.field(default=64, metadata=checked(Integer(2)))
    #: Routing policy, which selects the upstream of a request.
    policy: str = attrs.field(
        default="prefix_bounded",
        metadata=checked(
            Choice(("prefix_bounded", "two_choices", "random", "round_robin", "least_outstanding"))
        ),
    )
    #: Maximum wait for requests in flight when the process stops.
    drain_timeout_s: float = attrs.field(default=60.0, metadata=checked(Number(0)))


@attrs.frozen
class RetrySettings:
    """Limits on retries."""

    #: Maximum retries as a fraction of requests.
    budget: float = attrs.field(default=0.1, metadata=checked(Number(0, 1)))
    #: Maximum attempts of one request, including the first.
    max_attempts: int = attrs.field(default=4, metadata=checked(Integer(1)))


@attrs.frozen
class AgentSettings:
    """The upstream that an agent serves."""

    #: Name of the upstream.
    upstream: str = attrs.field(metadata=checked(Text()))
    #: `engine` or `service`.
    kind: str = attrs.field(metadata=checked(Choice(("engine", "service"))))
    upstream_address: Address = attrs.field(metadata=checked(IpPort()))
    #: Number of requests that the upstream runs concurrently.
    slots: int = attrs.field(default=8, metadata=checked(Integer(1)))
    #: Whether the upstream rejects orders with an outdated fencing token. If False, the agent reads
    #: back the state of the upstream instead, which is safe for both kinds of upstream.
    enforces_fencing: bool = attrs.field(default=False, metadata=checked(Flag()))
    #: Maximum wait for requests in flight when the process stops.
    drain_timeout_s: float = attrs.field(default=60.0, metadata=checked(Number(0)))
    #: Maximum time of a version switch; after that, other replicas no longer wait for this one.
    switch_timeout_s: float = attrs.field(
        default=30.0, metadata=checked(Number(0, exclusive_low=True))
    )


@attrs.frozen
class ExchangeSettings:
    """Exchange of weight chunks between agents."""

    upload_bytes_s: float = attrs.field(
        default=50_000_000.0, metadata=checked(Number(0, exclusive_low=True))
    )
    download_bytes_s: float = attrs.field(
        default=50_000_000.0, metadata=checked(Number(0, exclusive_low=True))
    )
    #: Fraction of both rates that chunk transfers may use while requests are active.
    share_under_load: float = attrs.field(
        default=0.5, metadata=checked(Number(0, 1, exclusive_low=True))
    )
    #: Number of chunks fetched concurrently.
    parallel: int = attrs.field(default=4, metadata=checked(Integer(1)))
    #: Time after which a chunk is requested from another source.
    chunk_timeout_s: float = attrs.field(
        default=2.0, metadata=checked(Number(0, exclusive_low=True))
    )


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
    #: None unless the role is `agent`.
    agent: AgentSettings | None = attrs.field(default=None, metadata=checked(Table(AgentSettings)))
    exchange: ExchangeSettings = attrs.field(
        factory=ExchangeSettings, metadata=checked(Table(ExchangeSettings))
    )
