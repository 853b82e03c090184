"""Event loop of a process: one circuits manager with an epoll poller and a periodic tick."""

from __future__ import annotations

import heapq
import itertools
import signal
from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, Event, Timer, handler
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from fescuechute.net._clock import Clock, SystemClock
from fescuechute.net._heap import return_large_blocks


class SocketComponent(Protocol):
    """A circuits component that owns sockets."""

    def use_poller(self, poller: EPoll) -> None:
        """Sets the poller; called before the first socket is opened."""

    def register(self, parent: BaseComponent) -> BaseComponent:
        """Joins the component tree below a parent."""

    def run_deferred(self) -> None:
        """Performs work deferred to the next tick, such as reporting failed connections."""

    def close_connections(self) -> None:
        """Closes all sockets."""


class tick(Event):  # noqa: N801 - circuits derives the handler name from the class name.
    """Fired once per tick interval."""


class Loop(BaseComponent):
    """Runs the socket components of a daemon and calls its `on_tick` once per tick interval.

    On SIGTERM or SIGINT the next tick calls `on_stop`; the daemon then drains and calls `close`.
    """

    channel = "loop"

    def __init__(
        self,
        on_tick: Callable[[float], None],
        on_stop: Callable[[], None],
        interval_s: float,
        clock: Clock | None = None,
    ):
        super().__init__()
        self.clock = clock or SystemClock()
        self.poller = EPoll().register(self)
        self._on_tick = on_tick
        self._on_stop = on_stop
        self._socket_components: list[SocketComponent] = []
        self._stop_requested = False
        #: Heap of scheduled calls: due time in unix seconds, tie breaker, callback.
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._interval_s = interval_s
        self._timer = Timer(interval_s, tick(), self.channel, persist=True).register(self)

    def add(self, component: SocketComponent) -> None:
        """Registers a component that owns sockets."""
        component.use_poller(self.poller)
        component.register(self)
        self._socket_components.append(component)

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedules one call of a callback at a unix time, independent of the tick interval."""
        heapq.heappush(self._scheduled, (at, next(self._sequence), callback))

    def set_interval(self, interval_s: float) -> None:
        """Changes the tick interval; the next tick fires after the new interval."""
        if interval_s != self._interval_s:
            self._interval_s = interval_s
            self._timer.reset(interval_s)

    def run_until_closed(self) -> None:
        """Runs the loop in the calling thread until `close` is called."""
        # Writing to a socket whose peer has disconnected must not kill the process.
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        return_large_blocks()
        self.run()

    def close(self) -> None:
        """Closes all sockets and stops the loop."""
        for component in self._socket_components:
            component.close_connections()
        self.stop()

    @handler("signal", channel="*", priority=100)
    def _on_signal_event(self, event: Event, *_args: object) -> None:
        # Suppresses the default handlers, which would stop at once; a planned stop drains first.
        event.stop()
        self._stop_requested = True

    @handler("generate_events")
    def _on_generate_events(self, event: generate_events) -> None:
        now = self.clock.now()
        # Only calls scheduled before this pass run: a callback that reschedules itself for the
        # current time would otherwise starve the sockets.
        for _ in range(len(self._scheduled)):
            if self._scheduled[0][0] > now:
                break
            heapq.heappop(self._scheduled)[2]()
        if self._scheduled:
            event.reduce_time_left(max(0.0, self._scheduled[0][0] - now))

    @handler("tick")
    def _on_tick_event(self) -> None:
        if self._stop_requested:
            self._stop_requested = False
            self._on_stop()
        for component in self._socket_components:
            component.run_deferred()
        self._on_tick(self.clock.now())
