"""A model engine that also serves requests, and stops when an order to load arrives.

While it is stopped or loads, calls and requests wait. Requests run afterwards, even those whose clients
have gone, which PROTOCOL.md allows.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable

import attrs

from standins.platform.engine import Engine, Load, Request, Response, is_unloading

#: Events of a response.
EVENTS = 3


@attrs.frozen
class Run:
    """A request that ran.

    Attributes:
      id: Id of the request.
      started_at: Monotonic seconds.
      load: The load on which it ran.
    """

    id: str
    started_at: float
    load: Load


class ServingEngine(Engine):
    """An engine that runs requests on its loaded version and records them.

    Args:
      chunks: Number of chunks of a version, and of layers.
      chunk_bytes: Size of a chunk.
      ip: Address at which it listens.
      instance: Its id in the registry.
      on_models_changed: Called when it has loaded or unloaded a version.
      load_s: Seconds for which it loads.
    """

    def __init__(
        self,
        chunks: int,
        chunk_bytes: int,
        ip: str,
        instance: str,
        on_models_changed: Callable[[], None],
        load_s: float = 0.3,
    ):
        super().__init__(chunks, chunk_bytes, load_s=load_s, ip=ip)
        self._instance = instance
        self._on_models_changed = on_models_changed
        self.runs: list[Run] = []
        #: Seconds for which it stops when the next order to load arrives, which it reads afterwards.
        self.next_stop_s = 0.0
        #: Set once it has stopped.
        self.stopped = threading.Event()
        #: Called when it has accepted the next order to load, before the response.
        self.on_next_load: Callable[[], None] | None = None

    def answer(self, request: Request) -> Response:
        if not request.path.startswith("/fescuechute/"):
            return self._run(request)
        if not request.path.endswith("/order"):
            return super().answer(request)
        is_load = not is_unloading(json.loads(request.body))
        if not is_load or not self.next_stop_s:
            response = super().answer(request)
        else:
            stop_s, self.next_stop_s = self.next_stop_s, 0.0
            self.running.clear()
            self.stopped.set()
            time.sleep(stop_s)
            # No waiting request runs before the order is read.
            with self._lock:
                self.running.set()
                response = super().answer(request)
        if response.status == 202:
            threading.Thread(target=self._announce, daemon=True).start()
            if is_load and self.on_next_load is not None:
                on_load, self.on_next_load = self.on_next_load, None
                on_load()
        return response

    def _announce(self) -> None:
        while self.report()["busy"]:
            time.sleep(0.02)
        self.running.wait()
        self._on_models_changed()

    def _run(self, request: Request) -> Response:
        id_ = request.headers.get("x-fescuechute-request-id", "")
        fields = {"X-Fescuechute-Request-Id": id_}
        if request.headers.get("x-fescuechute-target-instance") != self._instance:
            return Response(421, headers=fields)
        while (load := self._begin(request, id_)) is None:
            time.sleep(0.01)
        if isinstance(load, int):
            return Response(load, headers=fields)
        fields |= {"X-Fescuechute-Response-Seal": "seal", "Content-Type": "text/event-stream"}
        fields["X-Fescuechute-Weight-Versions"] = str(load.version)
        events = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
        return Response(200, b"".join(events), fields)

    def _begin(self, request: Request, id_: str) -> Load | int | None:
        """Returns the load on which a request runs, the status of a refusal, None if it has to wait."""
        self.running.wait()
        with self._lock:
            now, load = time.monotonic(), self.held
            if not self.running.is_set() or now < self._loading_until:
                return None
            expected = request.headers.get("x-fescuechute-expect-version")
            if load is None or (expected is not None and int(expected) != load.version):
                return 421
            self.runs.append(Run(id_, now, load))
            return load
