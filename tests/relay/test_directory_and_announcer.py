"""How the processes of a region learn of its relays."""

import attrs

from fescuechute.relay import RelayAnnouncer, RelayDirectory
from fescuechute.relay._announcer import MEETING_POINTS, OFFER_INTERVAL_S
from fescuechute.relay._directory import OFFER_TTL_S
from fescuechute.wire import RelayOffer

OFFER = RelayOffer("front-1/a", "10.0.0.1", 17703, "r", 17700)
STAGERS = [f"10.0.1.{n}" for n in range(20)]


def names(directory, now, region="r"):
    return [relay.process_id for relay in directory.in_region(region, now)]


def test_offer_is_listed_in_its_region_until_it_expires():
    """Guards against relays that are asked long after they have ended."""
    directory = RelayDirectory()
    reply = directory.receive_offer(OFFER, 0.0)
    assert reply.known == (("front-1/a", "10.0.0.1", 17703),)
    assert names(directory, OFFER_TTL_S - 0.1) == ["front-1/a"]
    assert names(directory, 0.0, "other") == []
    assert names(directory, OFFER_TTL_S) == []


def test_restarted_relay_replaces_its_predecessor():
    """Guards against two ids at one address, which would halve the readers."""
    directory = RelayDirectory()
    directory.receive_offer(OFFER, 0.0)
    directory.receive_offer(attrs.evolve(OFFER, process_id="front-1/b"), 0.1)
    assert names(directory, 0.2) == ["front-1/b"]


def test_relay_that_asks_without_offering_is_withdrawn_and_answered():
    """Guards against a reader without the store that keeps its duty, or loses sight of the others."""
    directory = RelayDirectory()
    directory.receive_offer(OFFER, 0.0)
    other = attrs.evolve(OFFER, process_id="front-2/a", ip="10.0.0.2")
    directory.receive_offer(other, 0.0)
    reply = directory.receive_offer(attrs.evolve(OFFER, port=0), 0.1)
    assert reply.known == (("front-2/a", "10.0.0.2", 17703),)


def announce(is_reader, is_current):
    sent = []
    announcer = RelayAnnouncer(OFFER, lambda to, msg: sent.append((to, msg)))
    for now in (0.0, OFFER_INTERVAL_S / 2):
        if announcer.is_due(now):
            announcer.announce(now, STAGERS, is_reader=is_reader, is_current=is_current)
    return sent


def test_readers_tell_every_stager_and_the_others_a_few():
    """Guards against datagrams that grow with the square of the VMs of a region."""
    assert {to for to, _ in announce(True, True)} == {(ip, 17700) for ip in STAGERS}
    assert len(announce(False, False)) == MEETING_POINTS


def test_only_readers_without_the_store_withdraw_their_offer():
    """Guards against followers that learn of no relays because they have none to offer."""
    assert {msg.port for _, msg in announce(True, False)} == {0}
    assert {msg.port for _, msg in announce(False, False)} == {17703}
