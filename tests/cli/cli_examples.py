"""Notes for the command line tests."""

MANIFEST = "ab" * 32


def note(id="n1", base=0, version="1", **keys):
    """Returns the object of a note that sets one model."""
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
    return {**data, "set": [release], "withdraw": [], **keys}


def toml_of(data):
    """Returns the TOML text of a note."""
    lines = [f"{key} = {_value(value)}" for key, value in data.items() if not _is_tables(value)]
    for key, value in data.items():
        for table in value if _is_tables(value) else ():
            lines += [f"[[{key}]]", *(f"{name} = {_value(item)}" for name, item in table.items())]
    return "\n".join(lines) + "\n"


def _is_tables(value):
    return isinstance(value, list) and all(isinstance(item, dict) for item in value) and value


def _value(value):
    return repr(value) if not isinstance(value, str) else f'"{value}"'
