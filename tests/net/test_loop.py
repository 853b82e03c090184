"""The loop: guards against a system that keeps all others from running."""

import threading
import time

from fescuechute.net import Loop, SystemClock


def test_call_that_asks_for_another_at_once_does_not_stop_the_ticks():
    """A call that reschedules itself without delay must not starve ticks and sockets."""
    ticks = []
    clock = SystemClock()
    loop = Loop(ticks.append, lambda: None, 0.01, clock)
    calls = []

    def again() -> None:
        calls.append(1)
        loop.call_at(clock.now(), again)

    loop.call_at(clock.now(), again)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 10
    while len(ticks) < 3 and time.monotonic() < deadline:
        time.sleep(0.01)
    loop.close()
    thread.join(10)
    assert len(ticks) >= 3
    assert len(calls) > 3


def test_calls_run_in_order_of_their_time():
    """A later call must not run before an earlier one."""
    clock = SystemClock()
    done: list[int] = []
    loop = Loop(lambda now: None, lambda: None, 0.5, clock)
    now = clock.now()
    for number in (3, 1, 2):
        loop.call_at(now + number * 0.02, lambda number=number: done.append(number))
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    deadline = time.monotonic() + 10
    while len(done) < 3 and time.monotonic() < deadline:
        time.sleep(0.005)
    loop.close()
    thread.join(10)
    assert done == [1, 2, 3]
