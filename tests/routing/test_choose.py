"""Selection of an upstream: the policies, and which upstreams are candidates."""

import random

import pytest

from fescuechute.routing import (
    Policy,
    Pool,
    RouteRequest,
    UpstreamRow,
    choose,
    prefix_fingerprints,
    solo_upstream,
)

WEIGHTS = frozenset({("model", "m", "2")})
REQ = RouteRequest(upstream="m", region="norte", weights=WEIGHTS)


def _make_row(agent_id="a1", **changes) -> UpstreamRow:
    fields = {
        "upstream": "m",
        "region": "norte",
        "data_centre": "norte-1",
        "state": "live",
        "slots": 4,
        "weights": WEIGHTS,
        "linked": True,
    }
    return UpstreamRow(agent_id, **(fields | changes))


@pytest.mark.parametrize("policy", list(Policy))
@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"linked": False}, id="no_link"),
        pytest.param({"state": "draining"}, id="leaving"),
        pytest.param({"state": "switching"}, id="switching"),
        pytest.param({"upstream": "other"}, id="other_pool"),
        pytest.param({"weights": frozenset({("model", "m", "1")})}, id="old_version"),
        pytest.param({"weights": frozenset()}, id="weights_not_confirmed"),
        pytest.param({"not_before": 100.1}, id="backoff"),
        pytest.param({"agent_id": "excluded"}, id="excluded"),
        pytest.param({"reported_running": 4, "reported_queued": 1}, id="no_room"),
        pytest.param({"reported_running": 3, "sent_since_report": 2}, id="no_room_after_sends"),
    ],
)
def test_upstream_that_cannot_accept_the_request_is_never_chosen(policy, changes):
    """Guards against requests that would be refused, or run with the wrong weights."""
    req = RouteRequest("m", "norte", WEIGHTS, excluded=frozenset({"excluded"}))
    rows = [_make_row(**({"agent_id": "bad"} | changes))]
    assert choose(rows, req, random.Random(1), policy, 100.0) is None
    rows.append(_make_row("good", reported_running=4))
    assert choose(rows, req, random.Random(1), policy, 100.0).agent_id == "good"


@pytest.mark.parametrize("policy", list(Policy))
def test_own_region_is_preferred_while_it_has_capacity(policy):
    """Guards against needless cross-region requests, and against refusing necessary ones."""
    near, far = _make_row("near", reported_running=4), _make_row("far", region="sur")
    rng = random.Random(2)
    assert {choose([near, far], REQ, rng, policy, 0.0).agent_id for _ in range(20)} == {"near"}
    near.sent_since_report = 1
    assert choose([near, far], REQ, rng, policy, 0.0).agent_id == "far"


def test_two_choices_avoids_the_more_loaded_upstream():
    """Guards against ignoring load, which would send half of the requests to the busy upstream."""
    rows = [
        _make_row("busy", slots=4, reported_running=3),
        _make_row("idle", slots=8, reported_running=3),
    ]
    rng = random.Random(3)
    chosen = {choose(rows, REQ, rng, Policy.TWO_CHOICES, 0.0).agent_id for _ in range(50)}
    assert chosen == {"idle"}


def test_round_robin_chooses_each_upstream_in_turn():
    """Guards against uneven use of the upstreams."""
    rows = [_make_row(name) for name in "abc"]
    order = []
    for now in range(1, 7):
        row = choose(rows, REQ, random.Random(4), Policy.ROUND_ROBIN, float(now))
        row.record_sent(float(now))
        order.append(row.agent_id)
    assert order == list("abcabc")


def test_warm_upstream_is_chosen_until_its_load_exceeds_the_bound():
    """Guards against sending every request with a popular prefix to the same upstream."""
    prefixes = prefix_fingerprints("x" * 2000)
    req = RouteRequest("m", "norte", WEIGHTS, prefixes=prefixes)
    warm, cold = _make_row("warm", slots=8), _make_row("cold", slots=8)
    warm.record_sent(1.0, prefixes)
    warm.apply_report("live", 0, 0, 8, 2.0)
    chosen = []
    for _ in range(20):
        warm_load, cold_load = warm.load + 1 / 8, cold.load + 1 / 8
        row = choose([warm, cold], req, random.Random(5), Policy.PREFIX_BOUNDED, 3.0)
        if row is None:
            break
        row.sent_since_report += 1
        chosen.append(row.agent_id)
        assert row is cold or warm_load <= 2.0 * cold_load
    assert chosen[0] == "warm"
    assert "cold" in chosen


def test_solo_request_goes_to_the_least_loaded_upstream():
    """Guards against a crash that also fails the other requests on a busy upstream."""
    rows = [
        _make_row("busy", reported_running=2),
        _make_row("empty"),
        _make_row("busier", reported_running=3),
    ]
    req = RouteRequest("m", "norte", WEIGHTS, solo=True)
    for seed in range(20):
        assert choose(rows, req, random.Random(seed), Policy.RANDOM, 0.0).agent_id == "empty"


def test_all_entries_choose_the_same_upstream_for_a_suspect():
    """Guards against one crashed upstream for each entry that receives the same content."""
    rows = [_make_row(f"a{number}", region=("norte", "sur")[number % 2]) for number in range(6)]
    first = solo_upstream(rows, "print", frozenset())
    loaded = [_make_row(row.agent_id, reported_running=3) for row in reversed(rows)]
    assert solo_upstream(loaded, "print", frozenset()).agent_id == first.agent_id
    crashed = frozenset({first.agent_id})
    second = solo_upstream(rows, "print", crashed)
    assert second.agent_id != first.agent_id
    first.state = "loading"
    assert solo_upstream(rows, "print", crashed) is second
    assert solo_upstream([_make_row("a1")], "print", frozenset({"a1"})).agent_id == "a1"
    assert solo_upstream([_make_row("a1", linked=False)], "print", frozenset()) is None


def test_prefix_fingerprints_depend_on_the_whole_prefix():
    """Guards against matching a cold upstream because different prefixes have one fingerprint."""
    shared = "a" * 1024
    one, two = prefix_fingerprints(shared + "b" * 512), prefix_fingerprints(shared + "c" * 512)
    assert one[:2] == two[:2]
    assert one[2] != two[2]
    assert prefix_fingerprints("short") == ()
    assert len(prefix_fingerprints("ñ" * 1_000_000)) == 16


def test_report_resets_the_count_of_unreported_requests():
    """Guards against counting requests twice, which would make an idle upstream seem full."""
    row = _make_row()
    row.record_sent(1.0)
    row.record_sent(1.0)
    assert row.outstanding == 2
    row.apply_report("live", 2, 0, 4, 2.0)
    assert row.outstanding == 2
    row.record_end()
    row.record_end()
    row.record_end()
    assert row.outstanding == 0


def test_unreported_requests_weigh_more_in_comparisons():
    """Guards against all entries choosing the same idle upstream after one report."""
    sent, reported = (
        _make_row("sent", sent_since_report=1),
        _make_row("reported", reported_running=2),
    )
    for seed in range(20):
        row = choose([sent, reported], REQ, random.Random(seed), Policy.TWO_CHOICES, 0.0)
        assert row is reported
    sent.sent_since_report = 4
    assert sent.outstanding < sent.capacity, "one entry alone must be able to fill an upstream"


def test_two_choices_samples_a_second_pair_when_both_are_full():
    """Guards against queueing at a full upstream while half of the upstreams are idle."""
    rows = [_make_row(f"full{i}", reported_running=4) for i in range(20)]
    rows += [_make_row(f"idle{i}") for i in range(20)]
    rng = random.Random(6)
    chosen = [choose(Pool(rows), REQ, rng, Policy.TWO_CHOICES, 0.0).agent_id for _ in range(2000)]
    waiting = sum(agent_id.startswith("full") for agent_id in chosen) / len(chosen)
    # Expected: about (1/2)^4 with two pairs, 1/4 with one.
    assert waiting < 0.1


@pytest.mark.parametrize("policy", list(Policy))
@pytest.mark.parametrize("size", [1, 5, 60])
def test_the_only_candidate_is_found(policy, size):
    """Guards against sampling that misses the one upstream that can accept the request."""
    rows = [_make_row(f"a{i}", state="draining") for i in range(size)]
    rows[size // 2].state = "live"
    pool = Pool(rows)
    for seed in range(10):
        assert choose(pool, REQ, random.Random(seed), policy, 0.0) is rows[size // 2]


def test_upstream_that_refused_is_not_chosen_until_it_has_capacity():
    """Guards against spending the retry budget on an upstream that is known to be full."""
    row = _make_row()
    row.record_sent(1.0)
    row.record_refusal(1.0, 2.0)
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 3.0) is None, "it is full"
    row.record_end()
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 1.9) is None
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 2.0) is row
    row.record_refusal(3.0, 3.0)
    row.apply_report("live", 1, 0, 4, 3.5)
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 3.5) is row


def test_pool_indexes_follow_changes_of_the_rows():
    """Guards against unbounded growth of the prefix index, and against stale index entries."""
    pool = Pool()
    for name in "ab":
        pool.add(_make_row(name))
    for i in range(5000):
        pool.record_sent(pool.get("ab"[i % 2]), 1.0, (i, i + 1))
    assert {p for p in pool._agents_by_prefix if any(pool.with_prefix(p))} == {
        p for r in pool for p in r.prefixes
    }
    assert len(pool._agents_by_prefix) <= 2 * 512
    pool.remove("a")
    assert set(pool._agents_by_prefix) == set(pool.get("b").prefixes)
    assert pool.get("a") is None
    assert [row.agent_id for row in pool] == ["b"]
    assert pool.outside_region("sur") == [pool.get("b")]
    pool.add(_make_row("c"))
    assert pool.outside_region("sur") == [pool.get("b"), pool.get("c")]
    pool.remove("c")
    assert pool.outside_region("sur") == [pool.get("b")]
    pool.remove("b")
    assert not pool._agents_by_prefix
