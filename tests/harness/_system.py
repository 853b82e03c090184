"""A complete system of real processes: platform stand-ins, upstreams, agents and entries."""

from __future__ import annotations

import json
import random
import secrets
from pathlib import Path
from typing import Any

import attrs
from blake3 import blake3

from fescuechute.weights import make_manifest, split
from tests.harness._fleet import Fleet, Process
from tests.harness._http import http_bytes, http_json
from tests.harness._settings import write_settings
from tests.harness._standins import (
    start_agent,
    start_engine,
    start_entry,
    start_log,
    start_proxy,
    start_service,
    start_vms,
    start_weights,
)
from tests.harness._wait import wait_until

ADDRESS = "127.0.0.1"


@attrs.frozen
class Pool:
    """The replicas of one upstream."""

    upstream: str
    replicas: int
    #: `engine` or `service`.
    kind: str = "engine"


@attrs.frozen
class Layout:
    """Size, regions and options of a system."""

    regions: tuple[str, ...] = ("norte",)
    #: Region of the store and the origin.
    store_region: str = "norte"
    pools: tuple[Pool, ...] = (Pool("assistant", 2), Pool("booking", 1, "service"))
    entries: int = 1
    workspaces: tuple[str, ...] = ("w1", "w2", "w3")
    #: Non-repeatable operations by service; every service also has `lookup`.
    non_repeatable: dict[str, tuple[str, ...]] = attrs.field(factory=lambda: {"booking": ("book",)})
    slots: int = 4
    engine_options: dict[str, Any] = attrs.field(factory=dict)
    service_options: dict[str, Any] = attrs.field(factory=dict)
    log_options: dict[str, Any] = attrs.field(factory=dict)
    origin_options: dict[str, Any] = attrs.field(factory=dict)
    vms_options: dict[str, Any] = attrs.field(factory=lambda: {"lag_s": 0.2})
    #: Whether all links to an agent go through a fault-injecting proxy.
    proxy_links: bool = False
    #: Additional settings tables for all daemons, such as {"claims": {"window_s": 30}}.
    settings: dict[str, Any] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Replica:
    """One upstream VM with an upstream process and its agent."""

    agent_id: str
    pool: Pool
    region: str
    upstream: Process
    agent: Process
    settings_path: Path


@attrs.define(eq=False)
class Entry:
    """One VM with an entry."""

    entry_id: str
    region: str
    process: Process
    settings_path: Path

    @property
    def port(self) -> int:
        """The HTTP port for callers."""
        return self.process.http_port


class System:
    """Starts the processes of a layout, publishes notes and queries status."""

    def __init__(self, fleet: Fleet, layout: Layout | None = None):
        self.fleet = fleet
        self.layout = layout or Layout()
        self.log = start_log(fleet, **self.layout.log_options)
        self.vms = start_vms(fleet, **self.layout.vms_options)
        if any(pool.kind == "engine" for pool in self.layout.pools):
            self.origin = start_weights(fleet, name="origin", **self.layout.origin_options)
            self.store = start_weights(fleet, name="store")
        else:
            # Only agents of engines fetch weights, so any address is valid in the settings here.
            self.origin = self.store = self.log
        self.replicas: list[Replica] = []
        self.entries: list[Entry] = []
        #: Proxies in front of agents' links, by agent id.
        self.proxies: dict[str, Process] = {}
        self._revision = 0

    # Processes.

    def start(self) -> System:
        """Starts all upstreams, agents and entries, and registers them in the VM list."""
        upstreams = [
            (pool, number, self._start_upstream(pool))
            for pool in self.layout.pools
            for number in range(pool.replicas)
        ]
        for pool, number, upstream in upstreams:
            region = self.layout.regions[number % len(self.layout.regions)]
            self.replicas.append(self.start_replica(pool, region, upstream))
        for number in range(self.layout.entries):
            region = self.layout.regions[number % len(self.layout.regions)]
            self.entries.append(self.start_entry(region))
        for replica in self.replicas:
            self.register_replica(replica, self._start_link_proxy(replica))
        for entry in self.entries:
            self.register_entry(entry)
        return self

    def start_replica(self, pool: Pool, region: str, upstream: Process | None = None) -> Replica:
        """Starts an upstream VM; does not register it."""
        upstream = upstream or self._start_upstream(pool)
        number = sum(replica.pool.upstream == pool.upstream for replica in self.replicas)
        agent_id = f"agent-{pool.upstream}-{region}-{number}-{secrets.token_hex(2)}"
        settings = self.base_settings(agent_id, "agent", region)
        settings["agent"] = {
            "upstream": pool.upstream,
            "kind": pool.kind,
            "upstream_address": f"{ADDRESS}:{upstream.port}",
            "slots": self.layout.slots,
            "enforces_fencing": bool(self.layout.engine_options.get("enforce_fencing")),
            **settings.get("agent", {}),
        }
        path = write_settings(self.fleet.directory / f"{agent_id}.toml", settings)
        agent = start_agent(self.fleet, path, name=agent_id)
        return Replica(agent_id, pool, region, upstream, agent, path)

    def restart_service(self, port: int) -> Process:
        """Starts a service on the port of one that has ended."""
        options = self.layout.service_options
        return start_service(self.fleet, name="service-restarted", port=port, **options)

    def start_entry(self, region: str) -> Entry:
        """Starts an entry VM; does not register it."""
        entry_id = f"entry-{region}-{len(self.entries)}-{secrets.token_hex(2)}"
        settings = self.base_settings(entry_id, "entry", region)
        settings.pop("agent", None)
        path = write_settings(self.fleet.directory / f"{entry_id}.toml", settings)
        process = start_entry(self.fleet, path, name=entry_id)
        return Entry(entry_id, region, process, path)

    def register_replica(self, replica: Replica, link_port: int = 0) -> None:
        """Adds an upstream VM to the VM list; `link_port` may be the port of a proxy."""
        self._register(
            replica.agent_id,
            "agent",
            link_port or replica.agent.link_port,
            replica.agent.http_port,
            replica.region,
            replica.pool.upstream,
            replica.pool.kind,
        )

    def register_entry(self, entry: Entry) -> None:
        """Adds an entry VM to the VM list."""
        ports = (entry.process.link_port, entry.port)
        self._register(entry.entry_id, "entry", *ports, entry.region, "", "")

    def base_settings(self, process_id: str, role: str, region: str) -> dict[str, Any]:
        """Returns the settings tables that are common to all daemons."""
        layout = self.layout
        settings: dict[str, Any] = {
            "process": {
                "id": process_id,
                "role": role,
                "region": region,
                "data_centre": f"{region}-1",
                "address": ADDRESS,
                "link_port": 0,
                "http_port": 0,
            },
            "platform": {
                "log": f"{ADDRESS}:{self.log.port}",
                "vms": f"{ADDRESS}:{self.vms.port}",
                "store": f"{ADDRESS}:{self.store.port}",
                "origin": f"{ADDRESS}:{self.origin.port}",
                "store_region": layout.store_region,
            },
            "workspaces": [{"name": name} for name in layout.workspaces],
            "services": [
                {
                    "name": pool.upstream,
                    "operations": [
                        "lookup",
                        *layout.non_repeatable.get(pool.upstream, ()),
                    ],
                    "non_repeatable": list(layout.non_repeatable.get(pool.upstream, ())),
                }
                for pool in layout.pools
                if pool.kind == "service"
            ],
        }
        for table, values in layout.settings.items():
            settings[table] = {**settings.get(table, {}), **values}
        return settings

    # Notes and weights.

    def upload_weights(self, name: str, version: str, size: int, seed: int = 1) -> dict[str, Any]:
        """Uploads random weights to the store and the origin; returns manifest digest and size."""
        data = random.Random(f"{name}/{version}/{seed}").randbytes(size)
        chunks = split(data)
        _, manifest = make_manifest(name, version, chunks)
        for blob in [manifest, *chunks]:
            digest = blake3(blob).hexdigest()
            for server in (self.origin, self.store):
                http_bytes("PUT", server.port, f"/blobs/{digest}", blob)
        return {"manifest": blake3(manifest).hexdigest(), "size": size}

    def release(
        self, name: str, version: str, size: int = 1 << 20, **fields: Any
    ) -> dict[str, Any]:
        """Uploads weights of `size` bytes and returns their release for a note."""
        uploaded = self.upload_weights(name, version, size)
        model = {"kind": "model", "name": name, "version": version, **uploaded}
        return {**model, "places": ["*"], "workspaces": ["*"], **fields}

    def publish(
        self, releases: list[dict[str, Any]], base: int | None = None, **fields: Any
    ) -> str:
        """Appends a note to the log and returns its id."""
        note_id = f"note-{secrets.token_hex(6)}"
        note = {
            "schema": 1,
            "id": note_id,
            "base": self._revision if base is None else base,
            "author": "test",
            "message": "Test release.",
            "set": releases,
            "withdraw": [],
            **fields,
        }
        body = {"records": [{"id": note_id, "data": note}]}
        http_json("POST", self.log.port, "/streams/notes/records", body)
        if base is None:
            self._revision += 1
        return note_id

    # Status.

    def status(self, entry: Entry | None = None) -> dict[str, Any]:
        """Returns the status page of an entry."""
        port = (entry or self.entries[0]).port
        _, body = http_json("GET", port, "/v1/status")
        return body

    def confirmed(
        self, version: str, upstream: str = "assistant", entry: Entry | None = None
    ) -> int:
        """Returns how many replicas of an upstream serve exactly a version, as seen by an entry."""
        rows = self.status(entry)["upstreams"]
        wanted = [["model", upstream, version]]
        return sum(
            row["upstream"] == upstream
            and row["linked"]
            and row["state"] == "live"
            and [w for w in row["weights"] if w[0] == "model"] == wanted
            for row in rows
        )

    def wait_confirmed(
        self, version: str, count: int, deadline_s: float = 30.0, upstream: str = "assistant"
    ) -> None:
        """Waits until every entry sees at least `count` replicas that serve a version."""
        for entry in self.entries:
            wait_until(
                lambda entry=entry: self.confirmed(version, upstream, entry) >= count,
                deadline_s,
                f"{count} replicas of {upstream} {version} at {entry.entry_id}",
            )

    def wait_services(self, deadline_s: float = 20.0) -> None:
        """Waits until every entry is linked to every service replica and sees it live."""
        wanted = sum(replica.pool.kind == "service" for replica in self.replicas)
        services = {pool.upstream for pool in self.layout.pools if pool.kind == "service"}
        for entry in self.entries:
            wait_until(
                lambda entry=entry: (
                    sum(
                        row["state"] == "live" and row["linked"] and row["upstream"] in services
                        for row in self.status(entry)["upstreams"]
                    )
                    >= wanted
                ),
                deadline_s,
                f"{wanted} service replicas at {entry.entry_id}",
            )

    # Internals.

    def _start_upstream(self, pool: Pool) -> Process:
        if pool.kind == "engine":
            options = {"slots": self.layout.slots, "load_s": 0.05, **self.layout.engine_options}
            return start_engine(self.fleet, name=f"engine-{pool.upstream}", **options)
        return start_service(
            self.fleet, name=f"service-{pool.upstream}", **self.layout.service_options
        )

    def _start_link_proxy(self, replica: Replica) -> int:
        """Starts a proxy for links to an agent if configured; returns its port, otherwise 0."""
        if not self.layout.proxy_links:
            return 0
        proxy = start_proxy(
            self.fleet, replica.agent.link_port, name=f"proxy-{replica.pool.upstream}"
        )
        self.proxies[replica.agent_id] = proxy
        return proxy.port

    def _register(
        self,
        vm_id: str,
        role: str,
        link_port: int,
        http_port: int,
        region: str,
        upstream: str,
        kind: str,
    ) -> None:
        vm = {
            "id": vm_id,
            "role": role,
            "address": ADDRESS,
            "link_port": link_port,
            "http_port": http_port,
            "region": region,
            "data_centre": f"{region}-1",
            "upstream": upstream,
            "kind": kind,
            "state": "live",
        }
        http_json("POST", self.vms.port, "/register", vm)


def read_lines(data: bytes) -> list[dict[str, Any]]:
    """Parses the JSON lines of a streamed answer."""
    return [json.loads(line) for line in data.splitlines() if line]
