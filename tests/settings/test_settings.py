"""Settings: guards against a process that starts with a wrong or half-understood file."""

import copy

import pytest

from fescuechute.errors import SettingsError
from fescuechute.settings import Address, load_settings, parse_settings

ENTRY = {
    "process": {
        "id": "e1",
        "role": "entry",
        "region": "norte",
        "data_centre": "norte-1",
        "address": "127.0.0.1",
        "link_port": 0,
        "http_port": 0,
    },
    "platform": {
        "log": "127.0.0.1:7001",
        "vms": "127.0.0.1:7002",
        "store": "127.0.0.1:7003",
        "origin": "127.0.0.1:7004",
        "store_region": "norte",
    },
}
AGENT = {"upstream": "u1", "kind": "engine", "upstream_address": "127.0.0.1:7100"}


def entry(**tables):
    return {**copy.deepcopy(ENTRY), **tables}


def agent(**tables):
    data = entry(agent=dict(AGENT), **tables)
    data["process"]["role"] = "agent"
    return data


def changed(table, **keys):
    data = agent() if table == "agent" else entry()
    data[table] = {**data.get(table, {}), **keys}
    return data


def problems(data):
    with pytest.raises(SettingsError) as caught:
        parse_settings(data, "s.toml")
    return caught.value.problems


def test_defaults_are_those_of_the_design():
    """A silently changed default would change every fleet that relies on it."""
    cfg = parse_settings(entry(), "s.toml")
    assert cfg.agent is None
    assert cfg.platform.log == Address("127.0.0.1", 7001)
    assert [(r.name, r.protected_share, r.default_timeout_ms) for r in cfg.ranks] == [
        ("urgent", 0, 10_000),
        ("ordinary", 0.25, 30_000),
        ("background", 0.05, 120_000),
    ]
    assert (cfg.claims.partitions, cfg.claims.window_s, cfg.claims.skew_s) == (4, 600, 5)
    assert cfg.notes.retention_s == 7 * 24 * 3600
    assert (cfg.retry.budget, cfg.retry.max_attempts) == (0.1, 4)
    assert (cfg.exchange.parallel, cfg.exchange.chunk_timeout_s) == (4, 2.0)
    assert cfg.exchange.upload_bytes_s == cfg.exchange.download_bytes_s == 50_000_000
    assert (cfg.tick.interval_ms, cfg.metrics.statsd, cfg.logs.format) == (50, None, "text")
    assert (cfg.entry.max_body_bytes, cfg.entry.max_tokens) == (1_048_576, 4096)


def test_agent_defaults_are_safe():
    """An upstream must not be taken to enforce fencing unless the settings say so."""
    cfg = parse_settings(agent(), "s.toml").agent
    assert (cfg.slots, cfg.enforces_fencing) == (8, False)
    assert (cfg.switch_timeout_s, cfg.drain_timeout_s) == (30, 60)
    assert str(cfg.upstream_address) == "127.0.0.1:7100"


def test_ipv6_addresses_keep_their_form():
    """An address must survive printing, because operators copy it from messages."""
    cfg = parse_settings(changed("platform", log="[::1]:7001"), "s.toml")
    assert cfg.platform.log == Address("::1", 7001)
    assert str(cfg.platform.log) == "[::1]:7001"


CASES = {
    "unknown key": (changed("retry", budgte=0.2), "retry.budgte", "`budget`"),
    "unknown table": (entry(proces={}), "proces", "`process`"),
    "wrong unit": (changed("claims", window_ms=600_000), "claims.window_ms", "takes seconds"),
    "no unit": (changed("claims", window=600), "claims.window", "`window_s`; it takes seconds"),
    "unit in the value": (changed("claims", window_s="600 s"), "claims.window_s", "without quotes"),
    "text for a number": (changed("agent", slots="many"), "agent.slots", "whole number"),
    "boolean for a number": (changed("agent", slots=True), "agent.slots", "whole number"),
    "fraction for a count": (changed("agent", slots=1.5), "agent.slots", "whole number"),
    "number for a text": (changed("process", id=3), "process.id", "text in quotes"),
    "text for a flag": (changed("agent", enforces_fencing="yes"), "agent.enforces_fencing", "true"),
    "table for a list": (entry(ranks={}), "ranks", "list of tables"),
    "list for a table": (entry(claims=[]), "claims", "table of keys"),
    "host name": (changed("platform", log="log.local:7001"), "platform.log", "not resolved"),
    "host name to listen on": (changed("process", address="localhost"), "process.address", "IP"),
    "missing port": (changed("platform", log="127.0.0.1"), "platform.log", "port"),
    "port 0 of the platform": (changed("platform", log="127.0.0.1:0"), "platform.log", "1 to"),
    "port too high": (changed("process", http_port=70_000), "process.http_port", "65535"),
    "unknown role": (changed("process", role="proxy"), "process.role", '"entry" or "agent"'),
    "unknown policy": (changed("entry", policy="best"), "entry.policy", "two_choices"),
    "share above 1": (entry(ranks=[{"name": "a", "protected_share": 2}]), "ranks", "at most 1"),
    "shares add up": (
        entry(ranks=[{"name": n, "protected_share": 0.6} for n in "ab"]),
        "ranks",
        "at most 1",
    ),
    "no ranks": (entry(ranks=[]), "ranks", "at least one"),
    "rank twice": (entry(ranks=[{"name": "a"}, {"name": "a"}]), "ranks[1]", "Keep one"),
    "infinite window": (changed("claims", window_s=float("inf")), "claims.window_s", "above 0"),
    "no retention": (changed("notes", retention_s=0), "notes.retention_s", "above 0"),
    "retention in days": (
        changed("notes", retention_days=7),
        "notes.retention_days",
        "retention_s",
    ),
    "integer beyond floats": (changed("claims", skew_s=10**400), "claims.skew_s", "at least 0"),
    "not a number": (changed("retry", budget=float("nan")), "retry.budget", "from 0 to 1"),
    "weight 0": (entry(workspaces=[{"name": "w", "weight": 0}]), "workspaces[0].weight", "above"),
    "forgotten non_repeatable": (
        entry(services=[{"name": "s", "operations": ["book"]}]),
        "services[0].non_repeatable",
        "Add",
    ),
    "unlisted operation": (
        entry(services=[{"name": "s", "operations": ["book"], "non_repeatable": ["boook"]}]),
        "services[0].non_repeatable",
        "operations",
    ),
    "agent table of an entry": (entry(agent=dict(AGENT)), "agent", "Remove"),
    "missing key": (changed("process") | {"platform": {}}, "platform.log", "Add `log`"),
    "missing table": ({"process": ENTRY["process"]}, "platform.origin", "Add `origin`"),
}


@pytest.mark.parametrize(("data", "key", "remedy"), CASES.values(), ids=CASES.keys())
def test_problem_names_file_key_and_remedy(data, key, remedy):
    """An operator must learn where the fault is and what to write instead."""
    matching = [p for p in problems(data) if p.key == key and remedy in p.remedy]
    assert matching, problems(data)
    assert matching[0].file == "s.toml"
    assert matching[0].found


def test_agent_without_its_table_reports_each_missing_key():
    """An agent without an upstream must not start."""
    data = agent()
    del data["agent"]
    keys = {p.key for p in problems(data)}
    assert keys == {"agent.upstream", "agent.kind", "agent.upstream_address"}


def test_all_problems_are_reported_at_once():
    """Reporting one fault per start would cost an operator one restart for each."""
    data = changed("claims", window_ms=1, partitions=0)
    data["platform"]["log"] = "log:1"
    data["retry"] = {"budget": "high"}
    del data["process"]["region"]
    keys = [p.key for p in problems(data)]
    assert sorted(keys) == [
        "claims.partitions",
        "claims.window_ms",
        "platform.log",
        "process.region",
        "retry.budget",
    ]


def test_file_is_read(tmp_path):
    """Guards against a loader that checks something else than the file."""
    path = tmp_path / "e.toml"
    lines = ["[process]", *(f"{k} = {v!r}" for k, v in ENTRY["process"].items())]
    lines += ["[platform]", *(f"{k} = {v!r}" for k, v in ENTRY["platform"].items())]
    path.write_text("\n".join(lines))
    assert load_settings(path) == parse_settings(ENTRY, "x")


FILE_CASES = {
    "missing": (None, "does not exist"),
    "invalid TOML": (b"[process\n", "not valid TOML"),
    "not UTF-8": (b"\xff\xfe", "decode"),
}


@pytest.mark.parametrize(("content", "found"), FILE_CASES.values(), ids=FILE_CASES.keys())
def test_unreadable_file_is_a_settings_error(tmp_path, content, found):
    """A broken file must end in a message, not in a stack trace."""
    path = tmp_path / "s.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    [problem] = caught.value.problems
    assert problem.file == str(path)
    assert found in problem.found


def test_directory_is_a_settings_error(tmp_path):
    """A path of the wrong kind must end in a message, not in a stack trace."""
    with pytest.raises(SettingsError):
        load_settings(tmp_path)
