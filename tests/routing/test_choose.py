"""Choice of upstream: each case guards against work sent where it cannot or should not run."""

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


def _row(agent_id="a1", **changes) -> UpstreamRow:
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
def test_unusable_upstream_is_never_chosen(policy, changes):
    """An upstream that cannot run the request would refuse it or run it with wrong weights."""
    req = RouteRequest("m", "norte", WEIGHTS, excluded=frozenset({"excluded"}))
    rows = [_row(**({"agent_id": "bad"} | changes))]
    assert choose(rows, req, random.Random(1), policy, 100.0) is None
    rows.append(_row("good", reported_running=4))
    assert choose(rows, req, random.Random(1), policy, 100.0).agent_id == "good"


@pytest.mark.parametrize("policy", list(Policy))
def test_own_region_is_preferred_while_it_has_room(policy):
    """A request must not cross regions while its own can take it, nor fail while another can."""
    near, far = _row("near", reported_running=4), _row("far", region="sur")
    rng = random.Random(2)
    assert {choose([near, far], REQ, rng, policy, 0.0).agent_id for _ in range(20)} == {"near"}
    near.sent_since_report = 1
    assert choose([near, far], REQ, rng, policy, 0.0).agent_id == "far"


def test_two_choices_avoids_the_busier_upstream():
    """A policy that ignores load would send half of the work to the busy upstream."""
    rows = [_row("busy", slots=4, reported_running=3), _row("idle", slots=8, reported_running=3)]
    rng = random.Random(3)
    picked = {choose(rows, REQ, rng, Policy.TWO_CHOICES, 0.0).agent_id for _ in range(50)}
    assert picked == {"idle"}


def test_round_robin_reaches_each_upstream_in_turn():
    """Round robin without memory would favour some upstreams."""
    rows = [_row(name) for name in "abc"]
    order = []
    for now in range(1, 7):
        row = choose(rows, REQ, random.Random(4), Policy.ROUND_ROBIN, float(now))
        row.sent(float(now))
        order.append(row.agent_id)
    assert order == list("abcabc")


def test_warm_upstream_is_chosen_until_its_load_exceeds_the_bound():
    """Affinity without a bound piles one popular prefix onto a single upstream."""
    prefixes = prefix_fingerprints("x" * 2000)
    req = RouteRequest("m", "norte", WEIGHTS, prefixes=prefixes)
    warm, cold = _row("warm", slots=8), _row("cold", slots=8)
    warm.sent(1.0, prefixes)
    warm.report("live", 0, 0, 8, 2.0)
    picks = []
    for _ in range(20):
        with_warm, with_cold = warm.load + 1 / 8, cold.load + 1 / 8
        row = choose([warm, cold], req, random.Random(5), Policy.PREFIX_BOUNDED, 3.0)
        if row is None:
            break
        row.sent_since_report += 1
        picks.append(row.agent_id)
        assert row is cold or with_warm <= 2.0 * with_cold
    assert picks[0] == "warm"
    assert "cold" in picks


def test_solo_request_goes_to_the_emptiest_upstream():
    """A suspect sent to a busy upstream would take other requests down with it."""
    rows = [_row("busy", reported_running=2), _row("empty"), _row("busier", reported_running=3)]
    req = RouteRequest("m", "norte", WEIGHTS, solo=True)
    for seed in range(20):
        assert choose(rows, req, random.Random(seed), Policy.RANDOM, 0.0).agent_id == "empty"


def test_all_entries_try_a_suspect_on_the_same_upstream():
    """Entries that each chose an upstream of their own would lose one each to the same content."""
    rows = [_row(f"a{number}", region=("norte", "sur")[number % 2]) for number in range(6)]
    first = solo_upstream(rows, "print", frozenset())
    loaded = [_row(row.agent_id, reported_running=3) for row in reversed(rows)]
    assert solo_upstream(loaded, "print", frozenset()).agent_id == first.agent_id
    crashed = frozenset({first.agent_id})
    second = solo_upstream(rows, "print", crashed)
    assert second.agent_id != first.agent_id
    first.state = "loading"
    assert solo_upstream(rows, "print", crashed) is second
    assert solo_upstream([_row("a1")], "print", frozenset({"a1"})).agent_id == "a1"
    assert solo_upstream([_row("a1", linked=False)], "print", frozenset()) is None


def test_prefix_fingerprints_depend_on_the_whole_prefix():
    """Equal fingerprints for different prefixes would send requests to cold upstreams."""
    shared = "a" * 1024
    one, two = prefix_fingerprints(shared + "b" * 512), prefix_fingerprints(shared + "c" * 512)
    assert one[:2] == two[:2]
    assert one[2] != two[2]
    assert prefix_fingerprints("short") == ()
    assert len(prefix_fingerprints("ñ" * 1_000_000)) == 16


def test_report_replaces_what_was_sent_before_it():
    """Counting sends twice would make an idle upstream look full."""
    row = _row()
    row.sent(1.0)
    row.sent(1.0)
    assert row.outstanding == 2
    row.report("live", 2, 0, 4, 2.0)
    assert row.outstanding == 2
    row.ended()
    row.ended()
    row.ended()
    assert row.outstanding == 0


def test_own_unreported_requests_weigh_more_in_comparisons():
    """Entries that react to the same report would all pick the same idle upstream."""
    sent, reported = _row("sent", sent_since_report=1), _row("reported", reported_running=2)
    for seed in range(20):
        row = choose([sent, reported], REQ, random.Random(seed), Policy.TWO_CHOICES, 0.0)
        assert row is reported
    sent.sent_since_report = 4
    assert sent.outstanding < sent.capacity, "one entry alone must be able to fill an upstream"


def test_two_choices_looks_further_when_both_are_full():
    """Two unlucky samples must not make most requests wait while half of the upstreams idle."""
    rows = [_row(f"full{i}", reported_running=4) for i in range(20)]
    rows += [_row(f"idle{i}") for i in range(20)]
    rng = random.Random(6)
    picks = [choose(Pool(rows), REQ, rng, Policy.TWO_CHOICES, 0.0).agent_id for _ in range(2000)]
    waiting = sum(pick.startswith("full") for pick in picks) / len(picks)
    # About (1/2)^4 with two pairs, 1/4 with one.
    assert waiting < 0.1


@pytest.mark.parametrize("policy", list(Policy))
@pytest.mark.parametrize("size", [1, 5, 60])
def test_the_only_usable_upstream_is_found(policy, size):
    """Sampling must not miss the one upstream that can take the request."""
    rows = [_row(f"a{i}", state="draining") for i in range(size)]
    rows[size // 2].state = "live"
    pool = Pool(rows)
    for seed in range(10):
        assert choose(pool, REQ, random.Random(seed), policy, 0.0) is rows[size // 2]


def test_refused_upstream_is_left_alone_until_it_has_room():
    """Asking a busy upstream again at once would only burn the retry budget."""
    row = _row()
    row.sent(1.0)
    row.refused(1.0, 2.0)
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 3.0) is None, "it is full"
    row.ended()
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 1.9) is None
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 2.0) is row
    row.refused(3.0, 3.0)
    row.report("live", 1, 0, 4, 3.5)
    assert choose([row], REQ, random.Random(1), Policy.RANDOM, 3.5) is row


def test_pool_keeps_its_index_in_step_with_the_rows():
    """An index that only grows would fill the memory; a stale one would send requests astray."""
    pool = Pool()
    for name in "ab":
        pool.add(_row(name))
    for i in range(5000):
        pool.sent(pool.get("ab"[i % 2]), 1.0, (i, i + 1))
    assert {p for p in pool._warm if any(pool.warm(p))} == {p for r in pool for p in r.prefixes}
    assert len(pool._warm) <= 2 * 512
    pool.remove("a")
    assert set(pool._warm) == set(pool.get("b").prefixes)
    assert pool.get("a") is None
    assert [row.agent_id for row in pool] == ["b"]
    assert pool.elsewhere("sur") == [pool.get("b")]
    pool.add(_row("c"))
    assert pool.elsewhere("sur") == [pool.get("b"), pool.get("c")]
    pool.remove("c")
    assert pool.elsewhere("sur") == [pool.get("b")]
    pool.remove("b")
    assert not pool._warm
