"""Processes of one test: started, signalled and ended by id."""

from __future__ import annotations

import atexit
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

#: The repository root, working directory of all processes.
ROOT = Path(__file__).resolve().parents[2]
#: Seconds until a process must be ready. Many start at once on a busy machine.
READY_S = 30.0
#: Seconds that a process has to end after SIGTERM before it is killed.
END_S = 5.0
#: Lines of output shown of each process when a test fails.
TAIL_LINES = 20


class ProcessError(Exception):
    """A process did not become ready or did not end."""


class Process:
    """One started process and its output files."""

    def __init__(self, argv: Sequence[str], name: str, directory: Path, env: Mapping[str, str]):
        self.argv = list(argv)
        self.name = name
        self.stdout = directory / f"{name}.stdout"
        self.stderr = directory / f"{name}.stderr"
        self._ready: dict[str, Any] | None = None
        with self.stdout.open("wb") as out, self.stderr.open("wb") as err:
            self._popen = subprocess.Popen(
                self.argv, stdin=subprocess.DEVNULL, stdout=out, stderr=err, cwd=ROOT, env=env
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def ready(self) -> dict[str, Any]:
        """The ready line; waits for it."""
        return self.wait_ready()

    @property
    def port(self) -> int:
        """The port of a stand-in."""
        return int(self.ready["port"])

    @property
    def http_port(self) -> int:
        """The HTTP port of a daemon."""
        return int(self.ready["http_port"])

    @property
    def link_port(self) -> int:
        """The link port of a daemon."""
        return int(self.ready["link_port"])

    @property
    def control_port(self) -> int:
        """The control port of a proxy."""
        return int(self.ready["control_port"])

    @property
    def alive(self) -> bool:
        """Whether the process runs, frozen or not."""
        return self._popen.poll() is None

    def wait_ready(self, deadline_s: float = READY_S) -> dict[str, Any]:
        """Returns the ready line.

        Raises:
          ProcessError: The process ended first or was too slow.
        """
        deadline = time.monotonic() + deadline_s
        while self._ready is None:
            ended = not self.alive
            self._ready = _find_ready(self.stdout)
            if self._ready is None:
                if ended or time.monotonic() > deadline:
                    state = f"ended with {self._popen.returncode}" if ended else "is too slow"
                    raise ProcessError(f"{self.name} {state} before it was ready\n{self.tail()}")
                time.sleep(0.01)
        return self._ready

    def kill(self, sig: int = signal.SIGKILL) -> None:
        """Sends a signal; does nothing when the process has ended."""
        self._popen.send_signal(sig)

    def freeze(self) -> None:
        """Pauses the process, as a long pause of its VM does."""
        self.kill(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a paused process go on."""
        self.kill(signal.SIGCONT)

    def wait_end(self, deadline_s: float) -> int:
        """Returns the exit code; a signal's number is negative.

        Raises:
          ProcessError: The process still runs at the deadline.
        """
        try:
            return self._popen.wait(deadline_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name} still runs after {deadline_s} s") from None

    def cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Returns the resident memory."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def tail(self) -> str:
        """Returns the last lines of both outputs."""
        parts = []
        for path in (self.stdout, self.stderr):
            lines = path.read_text(errors="replace").splitlines()[-TAIL_LINES:]
            if lines:
                parts.append("\n".join([f"--- {path.name}", *lines]))
        return "\n".join(parts)


class Fleet:
    """Context manager that ends all its processes by id.

    When the test fails, the ends of all outputs are printed and the output files are kept.
    """

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="fescuechute-test-"))
        self.processes: list[Process] = []
        # Covers an interpreter that ends without leaving the context.
        atexit.register(self.end_all)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close(failed=exc_type is not None)

    def close(self, *, failed: bool = False) -> None:
        """Ends all processes; prints their outputs when the test failed."""
        states = [self._state(process) for process in self.processes]
        self.end_all()
        atexit.unregister(self.end_all)
        if not failed:
            shutil.rmtree(self.directory, ignore_errors=True)
            return
        print(f"output files: {self.directory}", file=sys.stderr)
        for state, process in zip(states, self.processes, strict=True):
            print(f"{state}\n{process.tail()}", file=sys.stderr)

    @staticmethod
    def _state(process: Process) -> str:
        state = "running" if process.alive else f"ended with {process.wait_end(0)}"
        return f"=== {process.name} (pid {process.pid}, {state})"

    def spawn(
        self, argv: Sequence[str], name: str, env: Mapping[str, str] | None = None
    ) -> Process:
        """Starts a process without waiting until it is ready, so that many start side by side."""
        same = sum(process.name.split("#")[0] == name for process in self.processes)
        unique = f"{name}#{same}" if same else name
        process = Process(argv, unique, self.directory, {**os.environ, **(env or {})})
        self.processes.append(process)
        return process

    def start_process(
        self,
        argv: Sequence[str],
        name: str,
        *,
        env: Mapping[str, str] | None = None,
        deadline_s: float = READY_S,
    ) -> Process:
        """Starts a process and waits for its ready line."""
        process = self.spawn(argv, name, env)
        process.wait_ready(deadline_s)
        return process

    def spawn_module(self, module: str, *arguments: object, name: str = "") -> Process:
        """Starts `python -m module` without waiting; arguments are turned into text."""
        argv = [sys.executable, "-m", module, *map(str, arguments)]
        return self.spawn(argv, name or module.rpartition(".")[2])

    def wait_ready(self, deadline_s: float = READY_S) -> None:
        """Waits until every running process is ready."""
        deadline = time.monotonic() + deadline_s
        for process in self.processes:
            if process.alive:
                process.wait_ready(max(0.0, deadline - time.monotonic()))

    def end_all(self) -> None:
        """Ends every process: SIGTERM, then SIGKILL for those that are too slow."""
        for process in self.processes:
            process.kill(signal.SIGTERM)
            process.thaw()
        deadline = time.monotonic() + END_S
        for process in self.processes:
            with contextlib.suppress(ProcessError):
                process.wait_end(max(0.0, deadline - time.monotonic()))
            process.kill(signal.SIGKILL)
        for process in self.processes:
            process.wait_end(END_S)


def _find_ready(stdout: Path) -> dict[str, Any] | None:
    for line in stdout.read_bytes().split(b"\n")[:-1]:
        with contextlib.suppress(ValueError):
            value = json.loads(line)
            if isinstance(value, dict) and value.get("ready") is True:
                return value
    return None
