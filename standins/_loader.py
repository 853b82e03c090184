"""Weights held by the engine: staging, orders to load, and what is loaded."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from standins._server import Faults


class Loader:
    """Keeps one set of weights and replaces it as a whole.

    Only the sizes of staged blobs are kept, because nothing reads the bytes back.
    """

    def __init__(self, faults: Faults, *, enforce_fencing: bool):
        self._faults = faults
        self._enforce_fencing = enforce_fencing
        self._task: asyncio.Task[None] | None = None
        self.staged: dict[str, int] = {}
        #: Loaded items as the order gave them, with `complete`: whether every blob was present.
        self.weights: list[dict[str, Any]] = []
        self.fence = -1
        self.highest_fence = -1
        self.revision = 0
        self.loading = False
        self.orders: list[dict[str, Any]] = []
        #: Called when the old set is gone and again when the new one is loaded.
        self.on_change: Callable[[], None] = lambda: None

    def held(self) -> list[dict[str, Any]]:
        """Returns kind, name, version and completeness of the loaded items."""
        names = ("kind", "name", "version", "complete")
        return [{name: item[name] for name in names} for item in self.weights]

    def version(self, kind: str, name: str) -> str | None:
        """Returns the loaded version, or None."""
        for item in self.weights:
            if item["kind"] == kind and item["name"] == name:
                return str(item["version"])
        return None

    def order(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Obeys or refuses an order; returns HTTP status and answer.

        An obeyed order is answered at once; `loading` in the state ends when it is carried out. A
        newer order replaces one that is being carried out.
        """
        status, answer = self._check(body)
        self.orders.append(
            {
                "time": time.time(),
                "fence": body.get("fence"),
                "revision": body.get("revision"),
                "status": status,
                "weights": body.get("weights"),
            }
        )
        if status == 200:
            self._begin(body)
        return status, answer

    def _check(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        weights = body.get("weights")
        if (
            body.get("order") != "load"
            or type(body.get("fence")) is not int
            or type(body.get("revision")) is not int
            or not isinstance(weights, list)
            or not all(map(_is_item, weights))
        ):
            return 400, {"error": "malformed order"}
        if self._enforce_fencing and body["fence"] < self.highest_fence:
            return 409, {"fence": self.highest_fence}
        names = [(item["kind"], item["name"]) for item in weights]
        if len(set(names)) < len(names):
            return 422, {"error": "a name occurs twice"}
        missing = [hex_ for item in weights for hex_ in item["blobs"] if hex_ not in self.staged]
        if missing and not self._faults["accept_partial"]:
            return 422, {"error": "not staged", "missing": missing}
        return 200, {"fence": body["fence"], "loading": True}

    def _begin(self, body: dict[str, Any]) -> None:
        if self._task is not None:
            self._task.cancel()
        self.fence = body["fence"]
        self.highest_fence = max(self.highest_fence, self.fence)
        self.weights = []
        self.loading = True
        self.on_change()
        self._task = asyncio.get_running_loop().create_task(self._load(body))

    async def _load(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self._faults["load_s"])
        used = {hex_ for item in body["weights"] for hex_ in item["blobs"]}
        self.weights = [
            item | {"complete": all(hex_ in self.staged for hex_ in item["blobs"])}
            for item in body["weights"]
        ]
        self.revision = body["revision"]
        self.staged = {hex_: size for hex_, size in self.staged.items() if hex_ in used}
        self.loading = False
        self._task = None
        self.on_change()


def _is_item(item: object) -> bool:
    return (
        isinstance(item, dict)
        and item.get("kind") in ("model", "adapter")
        and all(isinstance(item.get(name), str) for name in ("name", "version"))
        and isinstance(item.get("blobs"), list)
        and all(isinstance(hex_, str) for hex_ in item["blobs"])
    )
