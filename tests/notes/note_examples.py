"""Builders of example notes and log records for the tests in this directory."""

MANIFEST = "ab" * 32


def release(name="carga", version="1", **keys):
    data = {
        "kind": "model",
        "name": name,
        "version": version,
        "manifest": MANIFEST,
        "size": 1000,
        "places": ["*"],
        "workspaces": ["*"],
    }
    return {**data, **keys}


def adapter(name="grua", model="carga", **keys):
    return release(name, kind="adapter", model=model, **keys)


def withdrawal(name="carga", kind="model", places=("*",)):
    return {"kind": kind, "name": name, "places": list(places)}


def note(id="n1", base=0, **keys):
    data = {"schema": 1, "id": id, "base": base, "author": "ana", "message": "change"}
    if "set" not in keys and "withdraw" not in keys:
        data["set"] = [release()]
    return {**data, **keys}


def record(offset, data, id=None, time=None):
    return {
        "offset": offset,
        "time": float(offset) if time is None else time,
        "id": data["id"] if id is None else id,
        "data": data,
    }
