"""Settings: guards against a process that starts with an invalid or misread file."""

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


def entry_settings(**tables):
    return {**copy.deepcopy(ENTRY), **tables}


def agent_settings(**tables):
    data = entry_settings(agent=dict(AGENT), **tables)
    data["process"]["role"] = "agent"
    return data


def settings_with(table, **keys):
    data = agent_settings() if table == "agent" else entry_settings()
    data[table] = {**data.get(table, {}), **keys}
    return data


def find_problems(data):
    with pytest.raises(SettingsError) as caught:
        parse_settings(data, "s.toml")
    return caught.value.problems


def test_defaults_are_unchanged():
    """A changed default affects every fleet that relies on it."""
    cfg = parse_settings(entry_settings(), "s.toml")
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
    """Guards against assuming that an upstream enforces fencing without a setting."""
    cfg = parse_settings(agent_settings(), "s.toml").agent
    assert (cfg.slots, cfg.enforces_fencing) == (8, False)
    assert (cfg.switch_timeout_s, cfg.drain_timeout_s) == (30, 60)
    assert str(cfg.upstream_address) == "127.0.0.1:7100"


def test_ipv6_address_is_printed_as_it_was_written():
    """Operators copy addresses from messages back into settings."""
    cfg = parse_settings(settings_with("platform", log="[::1]:7001"), "s.toml")
    assert cfg.platform.log == Address("::1", 7001)
    assert str(cfg.platform.log) == "[::1]:7001"


CASES = {
    "unknown key": (settings_with("retry", budgte=0.2), "retry.budgte", "`budget`"),
    "unknown table": (entry_settings(proces={}), "proces", "`process`"),
    "wrong unit": (settings_with("claims", window_ms=600_000), "claims.window_ms", "takes seconds"),
    "no unit": (
        settings_with("claims", window=600),
        "claims.window",
        "`window_s`; it takes seconds",
    ),
    "unit in the value": (
        settings_with("claims", window_s="600 s"),
        "claims.window_s",
        "without quotes",
    ),
    "text for a number": (settings_with("agent", slots="many"), "agent.slots", "whole number"),
    "boolean for a number": (settings_with("agent", slots=True), "agent.slots", "whole number"),
    "fraction for a count": (settings_with("agent", slots=1.5), "agent.slots", "whole number"),
    "number for a text": (settings_with("process", id=3), "process.id", "text in quotes"),
    "text for a flag": (
        settings_with("agent", enforces_fencing="yes"),
        "agent.enforces_fencing",
        "true",
    ),
    "table for a list": (entry_settings(ranks={}), "ranks", "list of tables"),
    "list for a table": (entry_settings(claims=[]), "claims", "table of keys"),
    "host name": (settings_with("platform", log="log.local:7001"), "platform.log", "not resolved"),
    "host name to listen on": (
        settings_with("process", address="localhost"),
        "process.address",
        "IP",
    ),
    "missing port": (settings_with("platform", log="127.0.0.1"), "platform.log", "port"),
    "port 0 of the platform": (
        settings_with("platform", log="127.0.0.1:0"),
        "platform.log",
        "1 to",
    ),
    "port too high": (settings_with("process", http_port=70_000), "process.http_port", "65535"),
    "unknown role": (settings_with("process", role="proxy"), "process.role", '"entry" or "agent"'),
    "unknown policy": (settings_with("entry", policy="best"), "entry.policy", "two_choices"),
    "share above 1": (
        entry_settings(ranks=[{"name": "a", "protected_share": 2}]),
        "ranks",
        "at most 1",
    ),
    "shares add up": (
        entry_settings(ranks=[{"name": n, "protected_share": 0.6} for n in "ab"]),
        "ranks",
        "at most 1",
    ),
    "no ranks": (entry_settings(ranks=[]), "ranks", "at least one"),
    "rank twice": (entry_settings(ranks=[{"name": "a"}, {"name": "a"}]), "ranks[1]", "Keep one"),
    "infinite window": (
        settings_with("claims", window_s=float("inf")),
        "claims.window_s",
        "above 0",
    ),
    "no retention": (settings_with("notes", retention_s=0), "notes.retention_s", "above 0"),
    "retention in days": (
        settings_with("notes", retention_days=7),
        "notes.retention_days",
        "retention_s",
    ),
    "integer beyond floats": (
        settings_with("claims", skew_s=10**400),
        "claims.skew_s",
        "at least 0",
    ),
    "not a number": (settings_with("retry", budget=float("nan")), "retry.budget", "from 0 to 1"),
    "weight 0": (
        entry_settings(workspaces=[{"name": "w", "weight": 0}]),
        "workspaces[0].weight",
        "above",
    ),
    "forgotten non_repeatable": (
        entry_settings(services=[{"name": "s", "operations": ["book"]}]),
        "services[0].non_repeatable",
        "Add",
    ),
    "unlisted operation": (
        entry_settings(
            services=[{"name": "s", "operations": ["book"], "non_repeatable": ["boook"]}]
        ),
        "services[0].non_repeatable",
        "operations",
    ),
    "agent table of an entry": (entry_settings(agent=dict(AGENT)), "agent", "Remove"),
    "missing key": (settings_with("process") | {"platform": {}}, "platform.log", "Add `log`"),
    "missing table": ({"process": ENTRY["process"]}, "platform.origin", "Add `origin`"),
}


@pytest.mark.parametrize(("data", "key", "remedy"), CASES.values(), ids=CASES.keys())
def test_problem_names_file_key_and_remedy(data, key, remedy):
    """Operators need the position of a problem and its correction."""
    matching = [p for p in find_problems(data) if p.key == key and remedy in p.remedy]
    assert matching, find_problems(data)
    assert matching[0].file == "s.toml"
    assert matching[0].found


def test_agent_without_its_table_reports_each_missing_key():
    """Guards against an agent that starts without an upstream."""
    data = agent_settings()
    del data["agent"]
    keys = {p.key for p in find_problems(data)}
    assert keys == {"agent.upstream", "agent.kind", "agent.upstream_address"}


def test_all_problems_are_reported_at_once():
    """Reporting only the first problem would cost one restart for each of them."""
    data = settings_with("claims", window_ms=1, partitions=0)
    data["platform"]["log"] = "log:1"
    data["retry"] = {"budget": "high"}
    del data["process"]["region"]
    keys = [p.key for p in find_problems(data)]
    assert sorted(keys) == [
        "claims.partitions",
        "claims.window_ms",
        "platform.log",
        "process.region",
        "retry.budget",
    ]


def test_settings_are_loaded_from_a_file(tmp_path):
    """Guards against a loader whose result differs from that of the parser."""
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
    """Guards against a traceback instead of an error message."""
    path = tmp_path / "s.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    [problem] = caught.value.problems
    assert problem.file == str(path)
    assert found in problem.found


def test_directory_is_a_settings_error(tmp_path):
    """Guards against a traceback for a path that is not a file."""
    with pytest.raises(SettingsError):
        load_settings(tmp_path)
