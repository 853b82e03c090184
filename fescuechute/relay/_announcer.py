"""Announces a relay to the stagers of its region, which tell the relays of each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from fescuechute.membership import duty_holders
from fescuechute.wire import Message, RelayOffer

#: Seconds between two offers.
OFFER_INTERVAL_S = 0.8
#: Seconds between two questions of a process that has no records yet.
ASK_INTERVAL_S = 0.1
#: Stagers that learn of all relays of the region; the others learn of the readers only.
MEETING_POINTS = 4


class RelayAnnouncer:
    """Sends the offers of one relay.

    Args:
      offer: The offer.
      send: Sends a datagram.
    """

    def __init__(self, offer: RelayOffer, send: Callable[[tuple[str, int], Message], None]):
        self._offer = offer
        self._send = send
        self._next_offer_at = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether the next offers are due."""
        return now >= self._next_offer_at

    def ask(self, now: float, stager_ips: Iterable[str]) -> None:
        """Asks some stagers for the relays of the region, without an offer.

        Args:
          now: Unix seconds.
          stager_ips: Addresses of the stagers of the region.
        """
        self._next_offer_at = now + ASK_INTERVAL_S
        question = attrs.evolve(self._offer, port=0)
        for ip in self._meeting_points(set(stager_ips)):
            self._send((ip, self._offer.datagram_port), question)

    def announce(
        self, now: float, stager_ips: Iterable[str], *, is_reader: bool, is_current: bool
    ) -> None:
        """Sends an offer to each stager that should know this relay.

        A reader that is not current asks for the other relays without offering itself, so that another
        one takes over its duty.

        Args:
          now: Unix seconds.
          stager_ips: Addresses of the stagers of the region.
          is_reader: Whether this relay reads from the store.
          is_current: Whether other processes may rely on its records.
        """
        self._next_offer_at = now + OFFER_INTERVAL_S
        offer = attrs.evolve(self._offer, port=0) if is_reader and not is_current else self._offer
        ips = set(stager_ips)
        for ip in ips if is_reader else self._meeting_points(ips):
            self._send((ip, self._offer.datagram_port), offer)

    def offer_to(self, ip: str) -> None:
        """Sends an offer to one stager, such as one that has just started and waits for a relay."""
        self._send((ip, self._offer.datagram_port), self._offer)

    def _meeting_points(self, ips: set[str]) -> list[str]:
        return duty_holders(f"meeting-points/{self._offer.region}", ips, MEETING_POINTS)
