"""Exchange of manifests between stagers, so that few of them ask the origin."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from fescuechute.telemetry import Telemetry
from fescuechute.weights import ORIGIN
from fescuechute.wire import Message, VersionManifest

#: Versions of a model whose manifests are kept: the loaded one, one in download and its successor.
_KEPT_VERSIONS = 3
#: Maximum number of chunks of a manifest that is sent to peers; it then takes half of a frame.
_MAX_SHARED_CHUNKS = 15_000
#: Equal responses of the origin after which a manifest is used. It has no signature, and a damaged one
#: would spread to all stagers.
_REQUIRED_RESPONSES = 2
_SHA256_BYTES = 32
#: Limit on the manifests that are remembered as not kept by the origin.
_MAX_NOT_KEPT = 64

Digests = tuple[bytes, ...]
#: Model and version.
Key = tuple[str, int]


class PeerLinks(Protocol):
    """Links to other stagers."""

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; returns False if there is no usable link."""


class ManifestExchange:
    """Obtains manifests from the origin or from peers and passes them on along the ring.

    Peers send only manifests that the origin has confirmed.

    Args:
      links: Links to other stagers.
      is_successor: Returns whether a linked stager fetches chunks from this one.
      on_manifest: Called with model and version when a manifest is known.
      telemetry: Receives counters and log lines.
    """

    def __init__(
        self,
        links: PeerLinks,
        is_successor: Callable[[str], bool],
        on_manifest: Callable[[str, int], None],
        telemetry: Telemetry,
    ):
        self._links = links
        self._is_successor = is_successor
        self._on_manifest = on_manifest
        self._telemetry = telemetry
        self._known: dict[Key, Digests] = {}
        #: Number of equal responses of the origin, by manifest; only for manifests that are not known.
        self._responses: defaultdict[Key, Counter[Digests]] = defaultdict(Counter)
        #: Manifests that each linked peer is known to have.
        self._held_by_peer: dict[str, set[Key]] = {}
        #: Manifests that the origin does not keep any more, in the order in which that became known.
        self._not_kept: dict[Key, None] = {}
        #: Unix seconds since which a manifest is missing, and from which the origin may be asked again.
        self._missing_since: dict[Key, float] = {}
        self._retry_at: dict[Key, float] = {}

    def get(self, model: str, version: int) -> Digests | None:
        """Returns the digests of a version's chunks, or None if they are not known."""
        return self._known.get((model, version))

    def record_response(self, model: str, version: int, digests: Digests) -> None:
        """Records a manifest that the origin sent."""
        key = (model, version)
        if key in self._known:
            return
        responses = self._responses[key]
        responses[digests] += 1
        if responses[digests] >= _REQUIRED_RESPONSES:
            self._add(key, digests, ORIGIN)
            return
        if len(responses) > 1:
            self._telemetry.event("manifest.conflict", version=version, responses=len(responses))
        self._retry_at.pop(key, None)

    def record_not_kept(self, model: str, version: int) -> None:
        """Records that the origin does not keep a version any more; it is not asked for it again."""
        self._not_kept[model, version] = None
        if len(self._not_kept) > _MAX_NOT_KEPT:
            del self._not_kept[next(iter(self._not_kept))]

    def receive(self, msg: VersionManifest, peer_id: str) -> None:
        """Records a manifest that a peer sent."""
        key = (msg.model, msg.version)
        if not msg.digests or any(len(digest) != _SHA256_BYTES for digest in msg.digests):
            self._telemetry.event(
                "manifest.failed", version=msg.version, source=peer_id, reason="not SHA-256"
            )
            return
        if peer_id in self._held_by_peer:
            self._held_by_peer[peer_id].add(key)
        if key not in self._known:
            self._add(key, msg.digests, peer_id)
        elif self._known[key] != msg.digests:
            self._telemetry.event("manifest.conflict", version=msg.version, source=peer_id)

    def peer_up(self, peer_id: str) -> None:
        """Handles a new link to a peer."""
        self._held_by_peer[peer_id] = set()
        self.share()

    def peer_down(self, peer_id: str) -> None:
        """Handles the loss of a link to a peer."""
        self._held_by_peer.pop(peer_id, None)

    def share(self) -> None:
        """Sends to each successor the manifests that it lacks as far as this stager knows."""
        for peer_id, held in list(self._held_by_peer.items()):
            if not self._is_successor(peer_id):
                continue
            for key in self._known.keys() - held:
                digests = self._known[key]
                if len(digests) <= _MAX_SHARED_CHUNKS and self._links.send(
                    peer_id, VersionManifest(*key, digests)
                ):
                    held.add(key)

    def origin_requests(
        self, model: str, versions: Iterable[int], wait_s: float, pause_s: float, now: float
    ) -> list[int]:
        """Returns the versions whose manifest is to be requested from the origin now.

        Args:
          model: Model of the engine.
          versions: Versions whose manifest is missing.
          wait_s: Seconds for which this stager waits for its peers.
          pause_s: Seconds between two requests, unless a response has arrived.
          now: Unix seconds.
        """
        wanted = set(versions)
        newest = max(wanted, default=0)
        # The origin keeps the newest version, whatever a damaged response says.
        missing = {
            (model, version)
            for version in wanted
            if version == newest or (model, version) not in self._not_kept
        }
        for key in self._missing_since.keys() - missing:
            del self._missing_since[key]
        due = [
            key
            for key in missing
            if now - self._missing_since.setdefault(key, now) >= wait_s
            and now >= self._retry_at.get(key, 0.0)
        ]
        for key in due:
            self._retry_at[key] = now + pause_s
        return sorted(version for _, version in due)

    def _add(self, key: Key, digests: Digests, source: str) -> None:
        model, version = key
        if self._is_outdated(key):
            # Stagers that forget it and receive it again would pass it on around the ring without end.
            return
        self._known[key] = digests
        self._telemetry.event(
            "manifest", model=model, version=version, chunks=len(digests), source=source
        )
        self._forget_outdated()
        self.share()
        self._on_manifest(model, version)

    def _is_outdated(self, key: Key) -> bool:
        model, version = key
        newer = [known for name, known in self._known if name == model and known > version]
        return len(newer) >= _KEPT_VERSIONS

    def _forget_outdated(self) -> None:
        for key in [key for key in self._known if self._is_outdated(key)]:
            del self._known[key]
        for key in [key for key in self._responses if key in self._known or self._is_outdated(key)]:
            del self._responses[key]
            self._retry_at.pop(key, None)
