"""The process loop: one circuits manager with an epoll poller and a tick."""

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


class LoopPart(Protocol):
    """A component that owns sockets."""

    def use_poller(self, poller: EPoll) -> None:
        """Sets the poller; comes before the first socket."""

    def register(self, parent: BaseComponent) -> BaseComponent:
        """Joins the tree of components."""

    def report_failures(self) -> None:
        """Reports the failures that could not be reported at once."""

    def close_connections(self) -> None:
        """Closes all sockets."""


class tick(Event):  # noqa: N801 - circuits derives the handler name from the class name.
    """Fired once per tick interval."""


class Loop(BaseComponent):
    """Runs socket owners and calls the systems of a daemon once a tick.

    SIGTERM and SIGINT call `on_stop`; the daemon then drains and calls `close`.
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
        self._owners: list[LoopPart] = []
        self._signalled = False
        #: Due time, tie breaker and function of each pending call.
        self._pending: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._interval_s = interval_s
        self._timer = Timer(interval_s, tick(), self.channel, persist=True).register(self)

    def add(self, owner: LoopPart) -> None:
        """Registers a component that owns sockets."""
        owner.use_poller(self.poller)
        owner.register(self)
        self._owners.append(owner)

    def call_at(self, at: float, function: Callable[[], None]) -> None:
        """Calls a function once, at a unix time, for what cannot wait until the next tick."""
        heapq.heappush(self._pending, (at, next(self._order), function))

    def set_interval(self, interval_s: float) -> None:
        """Changes the tick interval; the next tick comes within the new one."""
        if interval_s != self._interval_s:
            self._interval_s = interval_s
            self._timer.reset(interval_s)

    def run_until_closed(self) -> None:
        """Runs in the calling thread until `close`."""
        # A caller that goes away must not end the process.
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.run()

    def close(self) -> None:
        """Closes all sockets and ends `run_until_closed`."""
        for owner in self._owners:
            owner.close_connections()
        self.stop()

    @handler("signal", channel="*", priority=100)
    def _on_signal_event(self, event: Event, *_args: object) -> None:
        # Other components would close at once; a planned stop drains first.
        event.stop()
        self._signalled = True

    @handler("generate_events")
    def _on_generate_events(self, event: generate_events) -> None:
        now = self.clock.now()
        # A function that asks for a call at once must wait for the next pass, or sockets starve.
        for _ in range(len(self._pending)):
            if self._pending[0][0] > now:
                break
            heapq.heappop(self._pending)[2]()
        if self._pending:
            event.reduce_time_left(max(0.0, self._pending[0][0] - now))

    @handler("tick")
    def _on_tick_event(self) -> None:
        if self._signalled:
            self._signalled = False
            self._on_stop()
        for owner in self._owners:
            owner.report_failures()
        self._on_tick(self.clock.now())
