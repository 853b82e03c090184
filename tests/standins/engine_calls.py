"""Calls to the engine stand-in, for its tests."""

import json

from blake3 import blake3

from tests.harness import http_bytes, http_json, wait_until

BLOB = b"weights" * 100
HEX = blake3(BLOB).hexdigest()
OTHER_HEX = blake3(b"other").hexdigest()


def item(name, version="1", kind="model", blobs=(HEX,)):
    return {"kind": kind, "name": name, "version": version, "blobs": list(blobs)}


def order(port, *weights, fence=1, revision=1):
    body = {"order": "load", "fence": fence, "revision": revision, "weights": list(weights)}
    return http_json("POST", port, "/orders", body)


def state(port):
    return http_json("GET", port, "/state")[1]


def history(port):
    return http_json("GET", port, "/history")[1]["requests"]


def stage(port, blob=BLOB):
    return http_bytes("PUT", port, f"/staging/{blake3(blob).hexdigest()}", blob)[0]


def load(port, *weights, **kwargs):
    assert stage(port) == 200
    assert order(port, *weights, **kwargs)[0] == 200
    wait_until(lambda: not state(port)["loading"], 5, "loaded")


def request(request_id="r", prompt="a prompt", max_tokens=5, **kwargs):
    body = {"request_id": request_id, "prompt": prompt, "max_tokens": max_tokens, "model": "m"}
    return body | {"adapter": None, "priority": "ordinary", "resume": []} | kwargs


def generate(port, *args, **kwargs):
    """Returns status and the lines of the answer."""
    body = json.dumps(request(*args, **kwargs)).encode()
    status, answer = http_bytes("POST", port, "/generate", body)
    return status, [json.loads(line) for line in answer.splitlines()]


def tokens(lines):
    return [line["t"] for line in lines if "t" in line]


def running(port, count):
    wait_until(lambda: state(port)["running"] == count, 5, f"{count} running")
