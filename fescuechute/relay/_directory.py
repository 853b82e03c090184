"""The relays that each region is known to have."""

from __future__ import annotations

from fescuechute.relay._sources import RelayAddress
from fescuechute.wire import RelayOffer, Relays

#: Seconds after its last offer at which a relay is no longer listed.
OFFER_TTL_S = 3.0


class RelayDirectory:
    """Keeps the offers of relays until they expire."""

    def __init__(self) -> None:
        #: Unix seconds at which the offer of a relay expires, by region and address.
        self._expiry: dict[str, dict[RelayAddress, float]] = {}

    def receive_offer(self, offer: RelayOffer, now: float) -> Relays:
        """Adds, renews or withdraws the offer of a relay and returns the reply to it."""
        if offer.port:
            self.add(offer.region, RelayAddress(offer.process_id, offer.ip, offer.port), now)
        else:
            region = self._expiry.get(offer.region, {})
            for old in [old for old in region if old.process_id == offer.process_id]:
                del region[old]
        relays = self.in_region(offer.region, now)
        return Relays(tuple((relay.process_id, relay.ip, relay.port) for relay in relays))

    def add(self, region_name: str, relay: RelayAddress, now: float) -> None:
        """Adds or renews a relay of a region."""
        region = self._expiry.setdefault(region_name, {})
        # A restarted process has a new id at the same address.
        for old in [old for old in region if (old.ip, old.port) == (relay.ip, relay.port)]:
            del region[old]
        region[relay] = now + OFFER_TTL_S

    def in_region(self, region: str, now: float) -> list[RelayAddress]:
        """Returns the relays of a region whose offers have not expired."""
        offers = self._expiry.get(region, {})
        for relay in [relay for relay, expires_at in offers.items() if expires_at <= now]:
            del offers[relay]
        return list(offers)
