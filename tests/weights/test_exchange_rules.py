"""Rules of the exchange: sources, handovers, limits, blocks, endgame and retries."""

import random
import time

import pytest

from fescuechute.weights import (
    ORIGIN,
    BlobStore,
    CancelFetch,
    Exchange,
    ExchangeLimits,
    FetchFromOrigin,
    FetchFromPeer,
    digest_of,
)
from fescuechute.weights._rendezvous import rendezvous_order

LIMITS = ExchangeLimits()
HOME, AWAY, FAR = "norte", "centro", "sur"
AGENTS = {region: [f"{region}-{n}" for n in range(4)] for region in (HOME, AWAY, FAR)}
DIGESTS = [digest_of(f"blob {n}".encode()) for n in range(40)]


def make_exchange(self_id, held=(), linked=True, wanted=DIGESTS, seed=1):
    """Returns an exchange that is linked to all other agents, unless `linked` is false."""
    region = self_id.split("-")[0]
    exchange = Exchange(self_id, region, HOME, held, random.Random(seed), LIMITS)
    exchange.set_agents(AGENTS)
    if linked:
        for other_region, ids in AGENTS.items():
            for other in ids:
                if other != self_id:
                    exchange.peer_up(other, other_region)
    exchange.want(wanted)
    return exchange


def region_ranking(digest, region):
    return rendezvous_order(digest, AGENTS[region])


def designated_digests(self_id):
    region = self_id.split("-")[0]
    return [digest for digest in DIGESTS if region_ranking(digest, region)[0] == self_id]


def other_agent_in(region, self_id):
    return next(agent_id for agent_id in AGENTS[region] if agent_id != self_id)


def test_home_agent_fetches_only_its_designated_chunks_from_the_origin():
    """Guards against downloading more than one copy from the origin."""
    exchange = make_exchange("norte-0")
    commands = exchange.plan(100.0)
    assert commands
    assert {type(command) for command in commands} == {FetchFromOrigin}
    assert {command.digest for command in commands} <= set(designated_digests("norte-0"))
    assert len(commands) <= LIMITS.per_source


def test_agent_of_another_region_does_not_fetch_from_the_origin():
    """Guards against regions that each download a copy from the origin."""
    exchange = make_exchange("centro-0")
    assert exchange.plan(100.0) == []
    exchange.record_announcement("norte-1", DIGESTS)
    commands = exchange.plan(100.1)
    assert commands
    assert {command.peer_id for command in commands} == {"norte-1"}
    assert {command.digest for command in commands} <= set(designated_digests("centro-0"))


def test_region_falls_back_to_the_origin_without_a_foreign_holder():
    """Guards against a region that waits forever for a disconnected home region."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    assert exchange.plan(100.0 + LIMITS.origin_fallback_s - 0.1) == []
    commands = exchange.plan(100.0 + LIMITS.origin_fallback_s)
    assert {type(command) for command in commands} == {FetchFromOrigin}


def test_first_region_by_name_fetches_from_the_origin_without_a_home_agent():
    """Guards against no region or every region fetching from the origin.

    This concerns a model that is declared only for places outside the home region.
    """
    agents = {region: ids for region, ids in AGENTS.items() if region != HOME}
    for region, fetches in ((AWAY, True), (FAR, False)):
        exchange = Exchange(f"{region}-0", region, HOME, (), random.Random(1), LIMITS)
        exchange.set_agents(agents)
        exchange.want(DIGESTS)
        assert bool(exchange.plan(100.0)) is fetches


def test_other_agents_wait_for_the_designated_agent():
    """Guards against a chunk that enters a region twice while its fetch is in flight."""
    target = next(d for d in DIGESTS if region_ranking(d, AWAY)[0] != "centro-0")
    exchange = make_exchange("centro-0", wanted=[target])
    exchange.plan(100.0)
    exchange.record_announcement("norte-1", [target])
    assert exchange.plan(100.1) == []
    assert exchange.plan(100.0 + LIMITS.designee_timeout_s - 0.1) == []


def test_handovers_follow_the_rendezvous_order():
    """Guards against a chunk that no agent fetches or that all agents fetch at once."""
    target = DIGESTS[0]
    started = {}
    for rank, agent_id in enumerate(region_ranking(target, AWAY)):
        exchange = make_exchange(agent_id, wanted=[target])
        exchange.plan(100.0)
        exchange.record_announcement("norte-1", [target])
        now = 100.0
        while not exchange.plan(now):
            now += 0.5
            assert now < 200.0
        started[rank] = now - 100.0
    assert started[0] == 0.0
    assert started[1] >= LIMITS.designee_timeout_s
    assert started[2] >= started[1] + LIMITS.designee_timeout_s
    assert started[3] >= started[2] + LIMITS.designee_timeout_s


def test_progress_of_the_designated_agent_extends_its_deadline():
    """Guards against handovers of chunks that are queued at a busy designated agent."""
    first = next(a for a in AGENTS[AWAY] if a != "centro-0")
    other_digests = [d for d in DIGESTS if region_ranking(d, AWAY)[0] == first]
    exchange = make_exchange("centro-0", wanted=other_digests)
    exchange.plan(100.0)
    exchange.record_announcement("norte-1", other_digests)
    now = 100.0
    for digest in other_digests[:-1]:
        now += LIMITS.designee_timeout_s - 1.0
        fetches = [c for c in exchange.plan(now) if isinstance(c, FetchFromPeer)]
        assert all(command.peer_id == first for command in fetches)
        exchange.record_announcement(first, [digest])


def test_local_fetches_stay_in_the_region_and_within_the_limits():
    """Guards against overloaded peers and needless traffic between regions."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    for region in AGENTS:
        for agent_id in AGENTS[region]:
            exchange.record_announcement(agent_id, DIGESTS)
    commands = exchange.plan(100.1)
    assert len(commands) == LIMITS.parallel
    peers = [command.peer_id for command in commands]
    assert all(peer_id.startswith(AWAY) for peer_id in peers)
    assert max(peers.count(peer_id) for peer_id in peers) <= LIMITS.per_source
    assert len({command.digest for command in commands}) == LIMITS.parallel


def test_rarest_chunk_of_a_source_goes_first():
    """Guards against chunks that remain with a single holder."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", DIGESTS)
    exchange.record_announcement("centro-2", DIGESTS[1:])
    exchange.record_announcement("centro-3", DIGESTS[1:])
    assert any(
        command.digest == DIGESTS[0]
        for command in exchange.plan(100.1)
        if command.peer_id == "centro-1"
    )


def test_fetches_of_unwanted_chunks_are_cancelled():
    """Guards against links busy with a version that a newer note replaced."""
    exchange = make_exchange("norte-0")
    started = {command.digest for command in exchange.plan(100.0)}
    exchange.want([digest_of(b"newer")])
    commands = exchange.plan(100.1)
    assert {c.digest for c in commands if isinstance(c, CancelFetch)} == started
    assert exchange.in_flight == len(commands) - len(started)
    exchange.want([])
    exchange.plan(100.2)
    assert exchange.in_flight == exchange.missing == 0


def test_three_corrupt_chunks_block_a_peer_for_a_minute():
    """Guards against a peer that keeps sending corrupt chunks."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", DIGESTS)
    now, corrupt_chunks = 100.0, 0
    while corrupt_chunks < LIMITS.block_threshold:
        now += 0.1
        for command in exchange.plan(now):
            corrupt_chunks += 1
            exchange.record_corrupt(command.digest, "centro-1", now)
            if corrupt_chunks == LIMITS.block_threshold:
                break
    blocked_at = now
    while now < blocked_at + LIMITS.block_s - 0.5:
        assert not [c for c in exchange.plan(now) if isinstance(c, FetchFromPeer)]
        now += 0.5
    assert exchange.plan(blocked_at + LIMITS.block_s + LIMITS.min_timeout_s)


def test_reconnecting_does_not_clear_the_failure_record_of_a_peer():
    """Guards against a faulty peer that avoids its block with a new connection."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", DIGESTS)
    for digest in DIGESTS[: LIMITS.block_threshold]:
        exchange.record_corrupt(digest, "centro-1", 100.0)
    exchange.peer_down("centro-1")
    exchange.peer_up("centro-1", AWAY)
    exchange.record_announcement("centro-1", DIGESTS)
    assert not [c for c in exchange.plan(101.0) if isinstance(c, FetchFromPeer)]


def test_lost_link_ends_its_fetches():
    """Guards against fetch slots that stay occupied by a disconnected peer."""
    exchange = make_exchange("centro-0")
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", DIGESTS)
    assert exchange.plan(100.1)
    exchange.peer_down("centro-1")
    assert exchange.in_flight == 0
    exchange.record_announcement("centro-2", DIGESTS)
    assert {command.peer_id for command in exchange.plan(100.2)} == {"centro-2"}


def test_expired_fetch_moves_to_another_source():
    """Guards against waiting forever for a peer that does not answer."""
    exchange = make_exchange("centro-0", wanted=DIGESTS[:1])
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", DIGESTS)
    (first,) = exchange.plan(100.1)
    exchange.record_announcement("centro-2", DIGESTS)
    commands = exchange.plan(first.deadline)
    assert CancelFetch("centro-1", DIGESTS[0]) in commands
    fetches = [command for command in commands if isinstance(command, FetchFromPeer)]
    assert {command.peer_id for command in fetches} == {"centro-2"}


def test_endgame_fetches_from_two_sources_and_cancels_the_slower_one():
    """Guards against a distribution that waits for one slow uplink at its end."""
    target = DIGESTS[0]
    exchange = make_exchange("centro-0", wanted=[target])
    exchange.plan(100.0)
    exchange.record_announcement("centro-1", [target])
    exchange.record_announcement("centro-2", [target])
    sources = {command.peer_id for command in exchange.plan(100.1)}
    assert sources == {"centro-1", "centro-2"}
    exchange.record_arrival(target, "centro-1", 100.2)
    assert exchange.plan(100.3) == [CancelFetch("centro-2", target)]
    assert exchange.missing == exchange.in_flight == 0


def test_endgame_never_duplicates_an_entering_fetch():
    """Guards against a second copy of the last chunks from another region or the origin."""
    target = designated_digests("centro-0")[0]
    exchange = make_exchange("centro-0", wanted=[target])
    exchange.plan(100.0)
    exchange.record_announcement("norte-1", [target])
    exchange.record_announcement("norte-2", [target])
    exchange.record_announcement("sur-1", [target])
    assert len(exchange.plan(100.1)) == 1
    assert exchange.plan(100.2) == []


@pytest.mark.parametrize("failure", ["refused", "bad", "no answer"])
def test_origin_is_retried_with_backoff_and_never_abandoned(failure):
    """Guards against a flood of requests to an origin that is down, and against giving up."""
    target = designated_digests("norte-0")[0]
    exchange = make_exchange("norte-0", wanted=[target])
    now, attempts = 100.0, []
    while now < 700.0:
        for command in exchange.plan(now):
            if not isinstance(command, FetchFromOrigin):
                continue
            attempts.append(now)
            if failure == "refused":
                exchange.record_failure(target, ORIGIN, "429", now)
            elif failure == "bad":
                exchange.record_corrupt(target, ORIGIN, now)
        now += 0.05
    assert attempts[-1] > 600.0
    last_minutes = [at for at in attempts if at > 400.0]
    assert 3 <= len(last_minutes) <= 300 / (LIMITS.backoff_max_s / 2) + 1


def test_home_region_fetches_from_another_region_while_the_origin_is_down():
    """Guards against a home region that waits for the origin although others hold the chunk."""
    target = designated_digests("norte-0")[0]
    exchange = make_exchange("norte-0", wanted=[target])
    exchange.plan(100.0)
    exchange.record_announcement("sur-1", [target])
    exchange.record_failure(target, ORIGIN, "503", 100.1)
    (command,) = exchange.plan(100.11)
    assert command.peer_id == "sur-1"


def test_peer_with_false_announcements_is_skipped():
    """Guards against a designated agent whose false announcements keep chunks out of its region."""
    first = next(a for a in AGENTS[HOME] if a != "norte-0")
    other_digests = [
        d
        for d in DIGESTS
        if region_ranking(d, HOME)[0] == first and region_ranking(d, HOME)[1] == "norte-0"
    ]
    exchange = make_exchange("norte-0", wanted=other_digests)
    exchange.plan(100.0)
    exchange.record_announcement(first, DIGESTS)
    now, fetched = 100.0, set()
    while len(fetched) < len(other_digests):
        now += 0.1
        assert now < 100.0 + 60.0
        for command in exchange.plan(now):
            if isinstance(command, FetchFromOrigin):
                fetched.add(command.digest)
                exchange.record_arrival(command.digest, ORIGIN, now)
            elif isinstance(command, FetchFromPeer):
                exchange.record_failure(command.digest, command.peer_id, "missing", now)


def test_held_blobs_are_not_fetched_but_dropped_ones_are():
    """Guards against fetching held blobs, and against not fetching dropped ones again."""
    store = BlobStore()
    data = b"held"
    store.put(digest_of(data), data)
    exchange = make_exchange("norte-0", held=store, wanted=[digest_of(data)])
    assert exchange.missing == 0
    store.retain([])
    exchange.want([digest_of(data)])
    assert exchange.missing == 1


def test_first_copies_are_recognised():
    """Guards against an upload order that delays a whole region."""
    exchange = make_exchange("centro-0")
    assert exchange.is_first_copy("norte-1", DIGESTS[0])
    assert exchange.is_first_copy("centro-1", DIGESTS[0])
    exchange.record_announcement("centro-2", DIGESTS)
    assert not exchange.is_first_copy("centro-1", DIGESTS[0])


def test_events_of_unknown_peers_and_chunks_are_harmless():
    """Guards against a crash from late messages of disconnected peers."""
    exchange = make_exchange("centro-0")
    for source in ("nobody", "centro-1", ORIGIN):
        exchange.record_arrival(DIGESTS[0], source, 100.0)
        exchange.record_arrival(DIGESTS[0], source, 100.0)
        exchange.record_corrupt(DIGESTS[1], source, 100.0)
        exchange.record_failure(DIGESTS[1], source, "busy", 100.0)
    exchange.peer_down("nobody")
    exchange.record_announcement("nobody", DIGESTS)
    exchange.plan(100.1)
    assert exchange.in_flight >= 0


def test_plan_at_the_design_size_stays_within_its_cpu_budget():
    """Guards against plans that exceed their CPU budget of 2.7% of a core.

    With 20 ticks and up to 10 arrivals per second, this budget allows 900 us for each plan.
    """
    agents = {r: [f"{r}-{n}" for n in range(10)] for r in (HOME, AWAY, FAR)}
    agents[FAR].append("sur-10")
    digests = [digest_of(f"large {n}".encode()) for n in range(2500)]
    rng = random.Random(2)
    exchange = Exchange("norte-0", HOME, HOME, (), random.Random(1))
    exchange.set_agents(agents)
    for region, ids in agents.items():
        for agent_id in ids:
            if agent_id != "norte-0":
                exchange.peer_up(agent_id, region)
    exchange.want(digests)
    for ids in agents.values():
        for agent_id in ids:
            exchange.record_announcement(agent_id, rng.sample(digests, 1200))
    now, plan_times_s = 100.0, []
    while exchange.missing > 100:
        started = time.process_time()
        commands = exchange.plan(now)
        plan_times_s.append(time.process_time() - started)
        for command in commands:
            exchange.record_arrival(command.digest, getattr(command, "peer_id", ORIGIN), now)
        now += 0.05
    assert sum(plan_times_s) / len(plan_times_s) < 900e-6
