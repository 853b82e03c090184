"""Settings of the gateway and the stager, in the project's own names and units."""

from __future__ import annotations

import attrs

from fescuechute.checks import Address


@attrs.frozen
class StoreSettings:
    """Address and call limits of the platform's metadata store."""

    address: Address
    #: Maximum calls per second of all processes together.
    writes_per_s: float
    reads_per_s: float


@attrs.frozen
class ServiceLevels:
    """Service-level limits that the operators guarantee to users in this deployment."""

    #: Seconds after which a draining or withdrawn replica must not receive any more requests.
    drain_s: float
    #: Seconds between the stop signal and the kill of a process.
    grace_s: float
    #: Seconds within which a new configuration must be applied.
    config_apply_s: float
    #: Seconds after which a revoked key must be rejected, or None if this is not enforced.
    revoke_s: float | None
    #: Seconds after the declaration of a version from which no request may start on an older one.
    version_switch_s: float
    #: Seconds after a start or a fault during which the limits above do not apply yet.
    stabilization_s: float
    #: Retry budget of a service for all gateways together: retries allowed per request, additional
    #: retries allowed as a burst, and the length of the window over which both are counted.
    retry_ratio: float
    retry_burst: float
    retry_window_s: float
    #: Seconds after the request to evacuate a data centre from which its replicas must get no requests,
    #: or None if this is not guaranteed.
    evacuate_s: float | None = None
    #: Requests that a cold replica may get in any second, from all gateways together: this multiple of
    #: the rate that it tolerates, and this many more.
    cold_rate_factor: float = 1.0
    cold_burst: float = 0.0


@attrs.frozen
class NodeSettings:
    """Identity, addresses and resource limits of one process."""

    #: Name of the VM.
    node: str
    #: IP address of the VM.
    ip: str
    #: Data centre and region of the VM.
    data_centre: str
    region: str
    #: Region by data centre.
    region_by_data_centre: dict[str, str]
    #: First and last port for connections between gateways and stagers.
    port_range: tuple[int, int]
    store: StoreSettings
    service_levels: ServiceLevels
    #: Bandwidth of the network link of the VM, in bits per second.
    link_bits_s: float
    #: Maximum memory of the process, in bytes.
    max_memory_bytes: int
    #: Maximum number of open sockets of the process.
    max_sockets: int
    #: Seconds between two registry updates of a replica.
    heartbeat_s: float
    #: Listening addresses for clients and for the readiness checks of the load balancer; None on a
    #: VM without clients.
    client_address: Address | None = None
    readiness_address: Address | None = None
    #: Address and service of the engine on the same VM; None and "" on a VM without an engine.
    engine_address: Address | None = None
    service: str = ""

    @property
    def peer_port(self) -> int:
        """Port for datagrams between gateways and stagers; their other ports are offsets from it."""
        return self.port_range[0]
