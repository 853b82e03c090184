"""Starts the processes of one test, signals them and ends them by process id."""

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
#: Default timeout in seconds for the ready line; long, because many processes start at once.
READY_TIMEOUT_S = 30.0
#: Seconds from SIGTERM to SIGKILL for a process that does not exit.
TERMINATION_TIMEOUT_S = 5.0
#: Lines printed from the end of each output file if a test fails.
TAIL_LINES = 20


class ProcessError(Exception):
    """A process did not become ready or did not exit in time."""


class Process:
    """One child process and its output files."""

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
        """The fields of the ready line; waits for it."""
        return self.wait_ready()

    @property
    def port(self) -> int:
        """The HTTP port of a stand-in, or the listening port of a proxy."""
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
        """Whether the process has not exited; true also while it is paused."""
        return self._popen.poll() is None

    def wait_ready(self, deadline_s: float = READY_TIMEOUT_S) -> dict[str, Any]:
        """Waits for the ready line on stdout and returns its fields.

        Raises:
          ProcessError: The process exited first, or the deadline passed.
        """
        deadline = time.monotonic() + deadline_s
        while self._ready is None:
            has_exited = not self.alive
            self._ready = _find_ready(self.stdout)
            if self._ready is None:
                if has_exited or time.monotonic() > deadline:
                    state = f"ended with {self._popen.returncode}" if has_exited else "is too slow"
                    raise ProcessError(f"{self.name} {state} before it was ready\n{self.tail()}")
                time.sleep(0.01)
        return self._ready

    def kill(self, sig: int = signal.SIGKILL) -> None:
        """Sends a signal; does nothing if the process has exited."""
        self._popen.send_signal(sig)

    def pause(self) -> None:
        """Pauses the process with SIGSTOP, to simulate a long pause of its VM."""
        self.kill(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a paused process with SIGCONT."""
        self.kill(signal.SIGCONT)

    def wait_exit(self, deadline_s: float) -> int:
        """Waits for the process and returns its exit code, or the negated number of a signal.

        Raises:
          ProcessError: The process has not exited by the deadline.
        """
        try:
            return self._popen.wait(deadline_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name} still runs after {deadline_s} s") from None

    def cpu_s(self) -> float:
        """Returns the user and system CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Returns the resident set size in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def tail(self) -> str:
        """Returns the last lines of stdout and stderr."""
        parts = []
        for path in (self.stdout, self.stderr):
            lines = path.read_text(errors="replace").splitlines()[-TAIL_LINES:]
            if lines:
                parts.append("\n".join([f"--- {path.name}", *lines]))
        return "\n".join(parts)


class Fleet:
    """Context manager that ends all its processes by id.

    If the test fails, it prints the last lines of all outputs and keeps the output files.
    """

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="fescuechute-test-"))
        self.processes: list[Process] = []
        # Ends the processes if the interpreter exits without leaving the context.
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
        """Ends all processes; prints the ends of their outputs if the test failed."""
        states = [self._describe_state(process) for process in self.processes]
        self.end_all()
        atexit.unregister(self.end_all)
        if not failed:
            shutil.rmtree(self.directory, ignore_errors=True)
            return
        print(f"output files: {self.directory}", file=sys.stderr)
        for state, process in zip(states, self.processes, strict=True):
            print(f"{state}\n{process.tail()}", file=sys.stderr)

    @staticmethod
    def _describe_state(process: Process) -> str:
        state = "running" if process.alive else f"ended with {process.wait_exit(0)}"
        return f"=== {process.name} (pid {process.pid}, {state})"

    def spawn(
        self, argv: Sequence[str], name: str, env: Mapping[str, str] | None = None
    ) -> Process:
        """Starts a process without waiting for readiness, so that several start in parallel."""
        same_name_count = sum(process.name.split("#")[0] == name for process in self.processes)
        unique_name = f"{name}#{same_name_count}" if same_name_count else name
        process = Process(argv, unique_name, self.directory, {**os.environ, **(env or {})})
        self.processes.append(process)
        return process

    def start_process(
        self,
        argv: Sequence[str],
        name: str,
        *,
        env: Mapping[str, str] | None = None,
        deadline_s: float = READY_TIMEOUT_S,
    ) -> Process:
        """Starts a process and waits for its ready line."""
        process = self.spawn(argv, name, env)
        process.wait_ready(deadline_s)
        return process

    def spawn_module(self, module: str, *arguments: object, name: str = "") -> Process:
        """Starts `python -m module` without waiting; arguments are converted with `str`."""
        argv = [sys.executable, "-m", module, *map(str, arguments)]
        return self.spawn(argv, name or module.rpartition(".")[2])

    def wait_ready(self, deadline_s: float = READY_TIMEOUT_S) -> None:
        """Waits until all running processes are ready."""
        deadline = time.monotonic() + deadline_s
        for process in self.processes:
            if process.alive:
                process.wait_ready(max(0.0, deadline - time.monotonic()))

    def end_all(self) -> None:
        """Ends all processes with SIGTERM, and with SIGKILL those that do not exit in time."""
        for process in self.processes:
            process.kill(signal.SIGTERM)
            process.resume()
        deadline = time.monotonic() + TERMINATION_TIMEOUT_S
        for process in self.processes:
            with contextlib.suppress(ProcessError):
                process.wait_exit(max(0.0, deadline - time.monotonic()))
            process.kill(signal.SIGKILL)
        for process in self.processes:
            process.wait_exit(TERMINATION_TIMEOUT_S)


def _find_ready(stdout: Path) -> dict[str, Any] | None:
    for line in stdout.read_bytes().split(b"\n")[:-1]:
        with contextlib.suppress(ValueError):
            value = json.loads(line)
            if isinstance(value, dict) and value.get("ready") is True:
                return value
    return None
