"""Weights of the engine: staged blobs, load orders and the loaded set."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from standins._server import Faults


class Loader:
    """Holds the loaded set of weights and replaces it as a whole.

    Only the sizes of staged blobs are kept, because no interface reads their bytes.
    """

    def __init__(self, faults: Faults, *, enforce_fencing: bool):
        self._faults = faults
        self._enforce_fencing = enforce_fencing
        self._load_task: asyncio.Task[None] | None = None
        #: Bytes of each staged blob, by digest.
        self.staged_sizes: dict[str, int] = {}
        #: Loaded items as in the order, plus `complete`: whether every blob was staged.
        self.weights: list[dict[str, Any]] = []
        #: Fencing token of the last accepted order; it may decrease unless fencing is enforced.
        self.fence = -1
        self.highest_fence = -1
        self.revision = 0
        self.loading = False
        self.order_history: list[dict[str, Any]] = []
        #: Called when the old set is unloaded and again when the new set is loaded.
        self.on_weights_change: Callable[[], None] = lambda: None

    def loaded_items(self) -> list[dict[str, Any]]:
        """Returns `kind`, `name`, `version` and `complete` of each loaded item."""
        fields = ("kind", "name", "version", "complete")
        return [{name: item[name] for name in fields} for item in self.weights]

    def loaded_version(self, kind: str, name: str) -> str | None:
        """Returns the loaded version of a model or adapter, or None if it is not loaded."""
        for item in self.weights:
            if item["kind"] == kind and item["name"] == name:
                return str(item["version"])
        return None

    def submit_order(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Accepts or rejects a load order; returns the HTTP status and the response body.

        Loading continues in the background after an order is accepted; `loading` is True until it
        completes. A newer order cancels the load in progress.
        """
        status, response = self._validate(body)
        self.order_history.append(
            {
                "time": time.time(),
                "fence": body.get("fence"),
                "revision": body.get("revision"),
                "status": status,
                "weights": body.get("weights"),
            }
        )
        if status == 200:
            self._start_loading(body)
        return status, response

    def _validate(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        weights = body.get("weights")
        if (
            body.get("order") != "load"
            or type(body.get("fence")) is not int
            or type(body.get("revision")) is not int
            or not isinstance(weights, list)
            or not all(map(_is_weight_item, weights))
        ):
            return 400, {"error": "malformed order"}
        if self._enforce_fencing and body["fence"] < self.highest_fence:
            return 409, {"fence": self.highest_fence}
        identities = [(item["kind"], item["name"]) for item in weights]
        if len(set(identities)) < len(identities):
            return 422, {"error": "a name occurs twice"}
        missing = [
            digest
            for item in weights
            for digest in item["blobs"]
            if digest not in self.staged_sizes
        ]
        if missing and not self._faults["accept_partial"]:
            return 422, {"error": "not staged", "missing": missing}
        return 200, {"fence": body["fence"], "loading": True}

    def _start_loading(self, body: dict[str, Any]) -> None:
        if self._load_task is not None:
            self._load_task.cancel()
        self.fence = body["fence"]
        self.highest_fence = max(self.highest_fence, self.fence)
        self.weights = []
        self.loading = True
        self.on_weights_change()
        self._load_task = asyncio.get_running_loop().create_task(self._load(body))

    async def _load(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self._faults["load_s"])
        referenced = {digest for item in body["weights"] for digest in item["blobs"]}
        self.weights = [
            item | {"complete": all(digest in self.staged_sizes for digest in item["blobs"])}
            for item in body["weights"]
        ]
        self.revision = body["revision"]
        self.staged_sizes = {
            digest: size for digest, size in self.staged_sizes.items() if digest in referenced
        }
        self.loading = False
        self._load_task = None
        self.on_weights_change()


def _is_weight_item(item: object) -> bool:
    return (
        isinstance(item, dict)
        and item.get("kind") in ("model", "adapter")
        and all(isinstance(item.get(name), str) for name in ("name", "version"))
        and isinstance(item.get("blobs"), list)
        and all(isinstance(digest, str) for digest in item["blobs"])
    )
