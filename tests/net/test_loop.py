"""Tests of the event loop: starvation and order of scheduled calls."""

import threading
import time

from fescuechute.net import Loop, SystemClock


def test_callback_that_reschedules_itself_does_not_starve_ticks():
    """A callback that reschedules itself without delay must not starve ticks and sockets."""
    ticks = []
    clock = SystemClock()
    loop = Loop(ticks.append, lambda: None, 0.01, clock)
    calls = []

    def reschedule() -> None:
        calls.append(1)
        loop.call_at(clock.now(), reschedule)

    loop.call_at(clock.now(), reschedule)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 10
    while len(ticks) < 3 and time.monotonic() < deadline:
        time.sleep(0.01)
    loop.close()
    thread.join(10)
    assert len(ticks) >= 3
    assert len(calls) > 3


def test_scheduled_calls_run_in_time_order():
    """Calls must run in the order of their due times, not in the order of scheduling."""
    clock = SystemClock()
    completed: list[int] = []
    loop = Loop(lambda now: None, lambda: None, 0.5, clock)
    now = clock.now()
    for number in (3, 1, 2):
        loop.call_at(now + number * 0.02, lambda number=number: completed.append(number))
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 10
    while len(completed) < 3 and time.monotonic() < deadline:
        time.sleep(0.005)
    loop.close()
    thread.join(10)
    assert completed == [1, 2, 3]


def test_ticks_go_on_while_the_time_of_day_steps_back(monkeypatch):
    """Guards against a process that stands still for as long as the time of day steps back."""
    step_s = [0.0]
    monkeypatch.setattr("circuits.core.timers.time", lambda: time.time() + step_s[0])
    ticks = []
    loop = Loop(ticks.append, lambda: None, 0.01)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 10
    while len(ticks) < 3 and time.monotonic() < deadline:
        time.sleep(0.01)
    step_s[0] = -4.0
    time.sleep(0.1)
    before = len(ticks)
    deadline = time.monotonic() + 2
    while len(ticks) < before + 3 and time.monotonic() < deadline:
        time.sleep(0.01)
    loop.close()
    thread.join(10)
    assert len(ticks) >= before + 3
