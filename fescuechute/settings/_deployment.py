"""Settings of the processes of a deployment, as the gateway and the stager use them."""

from __future__ import annotations

import attrs

from fescuechute.checks import Address


@attrs.frozen
class StoreSettings:
    """The platform's metadata store."""

    address: Address
    #: Calls that all processes together may make in a second.
    writes_per_s: float
    reads_per_s: float


@attrs.frozen
class Promises:
    """What operators promise their users; figures of the deployment."""

    #: Seconds within which a leaving replica must receive no more requests.
    drain_s: float
    #: Seconds between the request to stop and the kill.
    grace_s: float
    #: Seconds within which a new configuration must be in force.
    config_s: float
    #: Seconds after which a revoked key must not work any more, or None where it is not enforced.
    revoke_s: float | None
    #: Seconds after the declaration of a version from which no request may begin on an older one.
    version_s: float
    #: Seconds after a start or a fault in which the bounds above do not hold yet.
    settle_s: float
    #: Repeats allowed for each request of a service, and the burst beyond that share, within one
    #: window for all gateways together.
    retry_ratio: float
    retry_burst: float
    retry_window_s: float


@attrs.frozen
class NodeSettings:
    """Identity, addresses and bounds of one process."""

    #: Name of the VM.
    node: str
    #: IP number of the VM.
    ip: str
    #: Data centre and region of the VM.
    data_centre: str
    region: str
    #: Region of each data centre.
    regions: dict[str, str]
    #: First and last port for connections between processes of the system.
    ports: tuple[int, int]
    store: StoreSettings
    promises: Promises
    #: Rate of the link of the VM, in bits a second.
    link_bits_s: float
    #: Memory that the process may use, in bytes.
    memory_bytes: int
    #: Sockets that the process may open.
    sockets: int
    #: Seconds between two entries of a replica in the registry.
    heartbeat_s: float
    #: Where clients connect, and where the load balancer asks; None on a VM without clients.
    clients: Address | None = None
    readiness: Address | None = None
    #: The engine on the same VM and its service; None on a VM without one.
    engine: Address | None = None
    service: str = ""

    @property
    def peer_port(self) -> int:
        """Port for messages between processes of the system."""
        return self.ports[0]
