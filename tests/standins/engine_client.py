"""Client functions for tests of the engine stand-in."""

import json

from blake3 import blake3

from tests.harness import http_bytes, http_json, wait_until

BLOB = b"weights" * 100
BLOB_DIGEST = blake3(BLOB).hexdigest()
OTHER_DIGEST = blake3(b"other").hexdigest()


def item(name, version="1", kind="model", blobs=(BLOB_DIGEST,)):
    return {"kind": kind, "name": name, "version": version, "blobs": list(blobs)}


def send_order(port, *weights, fence=1, revision=1):
    body = {"order": "load", "fence": fence, "revision": revision, "weights": list(weights)}
    return http_json("POST", port, "/orders", body)


def get_state(port):
    return http_json("GET", port, "/state")[1]


def get_history(port):
    return http_json("GET", port, "/history")[1]["requests"]


def stage_blob(port, blob=BLOB):
    return http_bytes("PUT", port, f"/staging/{blake3(blob).hexdigest()}", blob)[0]


def load_weights(port, *weights, **kwargs):
    assert stage_blob(port) == 200
    assert send_order(port, *weights, **kwargs)[0] == 200
    wait_until(lambda: not get_state(port)["loading"], 5, "loaded")


def request_body(request_id="r", prompt="a prompt", max_tokens=5, **kwargs):
    body = {"request_id": request_id, "prompt": prompt, "max_tokens": max_tokens, "model": "m"}
    return body | {"adapter": None, "priority": "ordinary", "resume": []} | kwargs


def generate(port, *args, **kwargs):
    """Returns the HTTP status and the decoded lines of the response."""
    body = json.dumps(request_body(*args, **kwargs)).encode()
    status, response = http_bytes("POST", port, "/generate", body)
    return status, [json.loads(line) for line in response.splitlines()]


def token_texts(lines):
    return [line["t"] for line in lines if "t" in line]


def wait_for_running(port, count):
    wait_until(lambda: get_state(port)["running"] == count, 5, f"{count} running")
