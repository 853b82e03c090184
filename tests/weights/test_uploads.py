"""Token bucket, upload queue and rollout waves."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.weights import Replica, TokenBucket, UploadQueue, may_switch, wave_width


@given(
    st.lists(st.tuples(st.integers(1, 300), st.floats(0, 2)), max_size=60),
    st.sampled_from([1.0, 0.5]),
)
def test_bucket_never_exceeds_its_rate(requests, share):
    """Guards against chunk traffic that takes bandwidth from live requests."""
    bucket, now, taken = TokenBucket(100.0, 200.0), 0.0, 0
    bucket.set_share(share, now)
    for n, wait in requests:
        now += wait
        if bucket.try_take(n, now):
            taken += n
        # One amount above the burst may leave a negative balance.
        assert taken <= 200 + 100 * share * now + 300 + 1e-3


def test_bucket_passes_amounts_above_the_burst_at_the_rate():
    """Guards against a chunk larger than the burst that is never granted."""
    bucket = TokenBucket(100.0, 50.0)
    assert bucket.try_take(200, 0.0)
    assert not bucket.try_take(200, 1.9)
    assert bucket.ready_at(200, 1.9) == pytest.approx(2.0)
    assert bucket.try_take(200, 2.0)


def test_bucket_refills_after_a_clock_step_backwards():
    """Guards against uploads that stop until the clock has caught up."""
    bucket = TokenBucket(100.0, 100.0)
    assert bucket.try_take(100, 1000.0)
    assert not bucket.try_take(100, 500.0)
    assert bucket.try_take(100, 501.0)


def test_queue_refuses_requests_beyond_its_limits():
    """Guards against requests that wait at one holder while other holders are idle."""
    queue = UploadQueue(per_peer=2, total=3)
    assert queue.offer("a", b"1", False)
    assert queue.offer("a", b"1", False), (
        "a duplicate request is accepted without queueing it twice"
    )
    assert queue.offer("a", b"2", False)
    assert not queue.offer("a", b"3", False)
    assert queue.offer("b", b"1", False)
    assert not queue.offer("c", b"1", False)
    assert queue.offer("c", b"1", True), "a first copy is exempt from the total limit"
    assert len(queue) == 4


def test_queue_serves_first_copies_first_and_peers_round_robin():
    """Guards against one peer that takes the whole uplink."""
    queue = UploadQueue(per_peer=3, total=20)
    for digest in (b"1", b"2", b"3"):
        queue.offer("a", digest, False)
    queue.offer("b", b"1", False)
    queue.offer("far", b"9", True)
    served = [queue.take().peer_id for _ in range(5)]
    assert served == ["far", "a", "b", "a", "a"]
    assert queue.take() is None


def test_first_copies_do_not_starve_the_local_region():
    """Guards against a home region that gets nothing while other regions fetch all chunks."""
    queue = UploadQueue(per_peer=50, total=100)
    queue.offer("near", b"1", False)
    for n in range(20):
        queue.offer("far", bytes([n]), True)
    served = [queue.take().peer_id for _ in range(5)]
    assert "near" in served


def test_queue_removes_cancelled_requests_and_lost_peers():
    """Guards against uploads to disconnected peers and uploads that are no longer wanted."""
    queue = UploadQueue()
    queue.offer("a", b"1", False)
    queue.offer("b", b"1", True)
    assert queue.cancel("a", b"1")
    assert not queue.cancel("a", b"1")
    queue.peer_down("b")
    assert len(queue) == 0
    assert queue.take() is None


@given(
    count=st.integers(1, 30),
    revision=st.integers(0, 1000),
    dead_indexes=st.sets(st.integers(0, 29)),
    steps=st.lists(st.integers(0, 29), min_size=120, max_size=120),
)
def test_waves_limit_switching_replicas_and_complete(count, revision, dead_indexes, steps):
    """Guards against a region without capacity, and against a wave that waits for a dead VM."""
    ids = [f"a{n}" for n in range(count)]
    width = wave_width(count)
    assert 1 <= width <= max(1, count // 4)
    dead = {f"a{n}" for n in dead_indexes}
    confirmed: set[str] = set()
    switching: set[str] = set()

    def allowed(agent_id):
        rows = [Replica(i, i in confirmed, i not in dead, 0.0) for i in ids]
        return may_switch(agent_id, revision, rows, width, 1.0, 60.0)

    for step in [*steps, *range(30), *range(30)]:
        agent_id = ids[step % count]
        if agent_id in dead or agent_id in confirmed:
            continue
        if agent_id in switching:
            switching.discard(agent_id)
            confirmed.add(agent_id)
        elif allowed(agent_id):
            switching.add(agent_id)
        assert len(switching) <= width
    for _ in ids:
        confirmed |= {agent_id for agent_id in ids if agent_id not in dead and allowed(agent_id)}
    assert confirmed == set(ids) - dead


def test_hanging_replica_does_not_block_the_waves():
    """Guards against a rollout that is blocked by one VM that never confirms."""
    ids = [f"a{n}" for n in range(8)]

    def allowed(now):
        rows = [Replica(i, False, True, 0.0) for i in ids]
        return [i for i in ids if may_switch(i, 7, rows, 2, now, 60.0)]

    assert len(allowed(59.0)) == 2
    assert len(allowed(61.0)) == 4
    assert len(allowed(241.0)) == 8
