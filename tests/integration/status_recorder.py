"""Records the status pages of processes while a test runs."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable

import attrs

from tests.harness import HttpFailedError, Process, http_json

#: Seconds between two polls of each process.
_POLL_INTERVAL_S = 0.05


@attrs.frozen
class Sample:
    """One poll result of a status page."""

    #: Unix time at which the whole response had been received.
    received_at: float
    revision: int
    ready: bool


class StatusRecorder:
    """Context manager that polls processes and keeps every sample."""

    def __init__(self, processes: Iterable[Process] = ()) -> None:
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._stopping = threading.Event()
        #: Samples by process name; a restarted process has a new name (`NAME#1`).
        self.samples: dict[str, list[Sample]] = {}
        self._initial = list(processes)

    def __enter__(self) -> StatusRecorder:
        for process in self._initial:
            self.add(process)
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(5.0)

    def add(self, process: Process) -> None:
        """Starts polling a process, until it has ended."""
        self.samples[process.name] = []
        thread = threading.Thread(target=self._poll, args=(process,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def last_revision(self, process: Process) -> int:
        """Returns the last revision that a process reported, 0 if it is not ready."""
        samples = self.samples[process.name]
        return samples[-1].revision if samples and samples[-1].ready else 0

    def applied_at(self, name: str, revision: int) -> float | None:
        """Returns the unix time at which a process first reported a revision or a later one."""
        found = (s.received_at for s in self.samples[name] if s.ready and s.revision >= revision)
        return next(found, None)

    def assert_revisions_monotonic(self) -> None:
        """Asserts that no process reported a lower revision than before.

        Across a restart, only samples of the ready process count.
        """
        newest: dict[str, int] = {}
        for name, samples in self.samples.items():
            steps = [sample.revision for sample in samples]
            assert steps == sorted(steps), (
                f"{name} reported a lower revision than before: {_revision_changes(samples)}"
            )
            # A restarted process has the name of its predecessor, followed by `#` and a number.
            process = name.partition("#")[0]
            ready = [sample for sample in samples if sample.ready]
            for sample in ready:
                assert sample.revision >= newest.get(process, 0), (name, sample, newest[process])
            newest[process] = max([newest.get(process, 0), *(s.revision for s in ready)])

    def _poll(self, process: Process) -> None:
        try:
            port = process.http_port
        except Exception:
            return
        while process.alive and not self._stopping.is_set():
            try:
                status, page = http_json("GET", port, "/v1/status", timeout_s=1.0)
            except HttpFailedError:
                status, page = 0, {}
            if status == 200:
                sample = Sample(time.time(), page["revision"], bool(page["ready"]))
                self.samples[process.name].append(sample)
            self._stopping.wait(_POLL_INTERVAL_S)


def _revision_changes(samples: list[Sample]) -> list[tuple[float, int]]:
    steps = []
    for sample in samples:
        if not steps or steps[-1][1] != sample.revision:
            steps.append((sample.received_at, sample.revision))
    return steps
