"""Polls the status pages of all processes while a test runs."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable

import attrs

from tests.harness import HttpFailedError, Process, http_json

#: Seconds between two looks at each process.
_EVERY_S = 0.05


@attrs.frozen
class Sample:
    """One answer of a status page. Times are unix seconds."""

    #: Time at which the answer had arrived.
    at: float
    revision: int
    ready: bool


class Watch:
    """Context manager that keeps every sample of every process that it is told of."""

    def __init__(self, processes: Iterable[Process] = ()) -> None:
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._ending = threading.Event()
        #: Samples by process name; a process started again has a name of its own.
        self.samples: dict[str, list[Sample]] = {}
        self._first = list(processes)

    def __enter__(self) -> Watch:
        for process in self._first:
            self.add(process)
        return self

    def __exit__(self, *_: object) -> None:
        self._ending.set()
        for thread in self._threads:
            thread.join(5.0)

    def add(self, process: Process) -> None:
        """Polls one more process until it has ended."""
        self.samples[process.name] = []
        thread = threading.Thread(target=self._poll, args=(process,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def revision(self, process: Process) -> int:
        """Returns the last revision that a process reported, 0 before the first."""
        samples = self.samples[process.name]
        return samples[-1].revision if samples and samples[-1].ready else 0

    def reached_at(self, name: str, revision: int) -> float | None:
        """Returns when a process first reported a revision in force."""
        found = (s.at for s in self.samples[name] if s.ready and s.revision >= revision)
        return next(found, None)

    def assert_never_back(self) -> None:
        """No process ever reports a lower revision than before, as ready also after a restart."""
        newest: dict[str, int] = {}
        for name, samples in self.samples.items():
            steps = [sample.revision for sample in samples]
            assert steps == sorted(steps), f"{name} went back: {_changes(samples)}"
            # A process that was started again has the name of its predecessor and a number.
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
        while process.alive and not self._ending.is_set():
            try:
                status, page = http_json("GET", port, "/v1/status", timeout_s=1.0)
            except HttpFailedError:
                status, page = 0, {}
            if status == 200:
                sample = Sample(time.time(), page["revision"], bool(page["ready"]))
                self.samples[process.name].append(sample)
            self._ending.wait(_EVERY_S)


def _changes(samples: list[Sample]) -> list[tuple[float, int]]:
    steps = []
    for sample in samples:
        if not steps or steps[-1][1] != sample.revision:
            steps.append((sample.at, sample.revision))
    return steps
