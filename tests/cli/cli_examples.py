"""Example notes for the command line tests."""

MANIFEST = "ab" * 32


def note(id="n1", base=0, version="1", **overrides):
    """Returns the decoded form of a note that sets one model."""
    release = {
        "kind": "model",
        "name": "carga",
        "version": version,
        "manifest": MANIFEST,
        "size": 1000,
        "places": ["*"],
        "workspaces": ["*"],
    }
    data = {"schema": 1, "id": id, "base": base, "author": "ana", "message": f"version {version}"}
    return {**data, "set": [release], "withdraw": [], **overrides}


def to_toml(data):
    """Encodes a note as TOML."""
    lines = [
        f"{key} = {_toml_value(value)}" for key, value in data.items() if not _is_table_list(value)
    ]
    for key, value in data.items():
        for table in value if _is_table_list(value) else ():
            lines += [
                f"[[{key}]]",
                *(f"{name} = {_toml_value(item)}" for name, item in table.items()),
            ]
    return "\n".join(lines) + "\n"


def _is_table_list(value):
    return isinstance(value, list) and all(isinstance(item, dict) for item in value) and value


def _toml_value(value):
    return repr(value) if not isinstance(value, str) else f'"{value}"'
