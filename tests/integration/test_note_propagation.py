"""Propagation of notes to real processes: conflicts, restarts, a log outage, a partition."""

import json
import signal
import subprocess
import sys
import threading
import time

import pytest

from bench._load import percentile
from tests.harness import (
    Fleet,
    Layout,
    Pool,
    System,
    add_target,
    http_json,
    set_faults,
    start_agent,
    start_entry,
    start_proxy,
    start_vms,
    wait_until,
    write_settings,
)
from tests.integration.status_recorder import StatusRecorder

#: Seconds within which every process must apply an accepted note (I7).
PROPAGATION_S = 3.0
#: Seconds until silent links are dropped plus the longest delay before a reconnect. After a
#: partition heals, the 3 s above start after at most this time.
RECONNECT_S = 2.0 + 2.0


class TwoRegions(System):
    """Two regions with a VM list each; one proxy carries all traffic between them.

    The log is in the region norte.
    """

    def __init__(self, fleet, layout):
        super().__init__(fleet, layout)
        self.centro_vms = start_vms(fleet, name="vms-centro", **layout.vms_options)
        self.region_proxy = start_proxy(fleet, self.log.port, name="link")
        self.centro_log_port = self.region_proxy.port

    def base_settings(self, process_id, role, region):
        settings = super().base_settings(process_id, role, region)
        if region != "norte":
            settings["platform"]["vms"] = f"127.0.0.1:{self.centro_vms.port}"
            settings["platform"]["log"] = f"127.0.0.1:{self.centro_log_port}"
        return settings

    def _register(self, vm_id, role, link_port, http_port, region, upstream, kind):
        # The proxy's direction `down` is from norte to centro, `up` is from centro to norte.
        proxied_port = add_target(self.region_proxy, link_port, reverse=region != "norte")
        for vms, vms_region in ((self.vms, "norte"), (self.centro_vms, "centro")):
            vm = {
                "id": vm_id,
                "role": role,
                "address": "127.0.0.1",
                "link_port": link_port if region == vms_region else proxied_port,
                "http_port": http_port,
                "region": region,
                "data_centre": f"{region}-1",
                "upstream": upstream,
                "kind": kind,
                "state": "live",
            }
            http_json("POST", vms.port, "/register", vm)

    @property
    def processes(self):
        """All entries and agents."""
        return [e.process for e in self.entries] + [r.agent for r in self.replicas]

    def restart_agent(self, replica, sig=signal.SIGKILL):
        """Kills an agent and starts it without any stored state."""
        replica.agent.kill(sig)
        replica.agent.wait_exit(20)
        replica.agent = start_agent(self.fleet, replica.settings_path, name=replica.agent_id)
        replica.agent.wait_ready()
        self.register_replica(replica)
        return replica.agent

    def restart_entry(self, entry, sig=signal.SIGKILL):
        """Kills an entry and starts it without any stored state."""
        entry.process.kill(sig)
        entry.process.wait_exit(20)
        entry.process = start_entry(self.fleet, entry.settings_path, name=entry.entry_id)
        entry.process.wait_ready()
        self.register_entry(entry)
        return entry.process


def layout(**fields):
    return Layout(
        regions=("norte", "centro"),
        pools=(Pool("assistant", 4),),
        entries=2,
        vms_options={"lag_s": 0.2},
        **fields,
    )


@pytest.fixture(scope="module")
def system():
    with Fleet() as fleet:
        running = TwoRegions(fleet, layout()).start()
        running.publish([running.release("assistant", "v1", 1 << 16)])
        for process in running.processes:
            wait_revision(process, 1, 20)
        running.wait_confirmed("v1", 4)
        yield running


def process_status(process):
    return http_json("GET", process.http_port, "/v1/status")[1]


def wait_revision(process, revision, deadline_s):
    wait_until(
        lambda: (s := process_status(process))["ready"] and s["revision"] >= revision,
        deadline_s,
        f"revision {revision} at {process.name}",
    )


def make_note(note_id, base, release, message="Test release."):
    return {
        "schema": 1,
        "id": note_id,
        "base": base,
        "author": "test",
        "message": message,
        "set": [release],
        "withdraw": [],
    }


def append_note(system, data):
    """Appends a note and returns the log's timestamp of its record."""
    body = {"records": [{"id": data["id"], "data": data}]}
    status, answer = http_json("POST", system.log.port, "/streams/notes/records", body)
    assert status == 200, answer
    return answer["time"]


def current_revision(system):
    return process_status(system.entries[0].process)["revision"]


def run_cli(system, *arguments):
    """Runs a CLI command, connected to the log only, and returns its stdout."""
    argv = [sys.executable, "-m", "fescuechute", *arguments]
    argv += ["--log", f"127.0.0.1:{system.log.port}"]
    completed = subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)
    assert completed.returncode == 0, (completed.returncode, completed.stderr)
    return completed.stdout


def accepted_notes(system):
    """Returns the accepted notes according to the CLI command `note audit`."""
    entries = [json.loads(line) for line in run_cli(system, "note", "audit").splitlines()]
    return [entry for entry in entries if entry["accepted"]]


def propagation_delays(recorder, processes, accepted):
    """Returns the seconds from each note's acceptance until each process reported it as applied."""
    delays = []
    for entry in accepted:
        for process in processes:
            at = recorder.applied_at(process.name, entry["revision"])
            delays.append((at or float("inf")) - entry["time"])
    return delays


def print_delays(name, values):
    text = f"{name}: {len(values)} values, median {percentile(values, 0.5):.3f} s"
    print(f"{text}, worst {max(values):.3f} s")


def test_one_of_several_conflicting_notes_is_accepted(system):
    """Of notes with the same base, all processes must accept the same single one."""
    release = system.release("assistant", "v1", 1 << 16)
    rounds = 5
    with StatusRecorder(system.processes) as recorder:
        first_revision = current_revision(system)
        for number in range(rounds):
            base = first_revision + number
            notes = [make_note(f"race-{base}-{i}", base, release, f"From {i}.") for i in range(4)]
            threads = [threading.Thread(target=append_note, args=(system, note)) for note in notes]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(5)
            for process in system.processes:
                wait_until(
                    lambda process=process, base=base: recorder.last_revision(process) >= base + 1,
                    PROPAGATION_S,
                    f"revision {base + 1} at {process.name}",
                )
        accepted = [e for e in accepted_notes(system) if e["revision"] > first_revision]
    assert [e["revision"] for e in accepted] == [first_revision + 1 + i for i in range(rounds)]
    for number, entry in enumerate(accepted):
        assert entry["note_id"].startswith(f"race-{first_revision + number}-")
    delays = propagation_delays(recorder, system.processes, accepted)
    print_delays("applied after a conflict", delays)
    assert max(delays) <= PROPAGATION_S
    assert {process_status(p)["revision"] for p in system.processes} == {first_revision + rounds}
    recorder.assert_revisions_monotonic()


def test_accepted_note_propagates_while_the_log_is_down(system):
    """With the log down, peers must forward an accepted note, also to restarted processes."""
    release = system.release("assistant", "v1", 1 << 16)
    base = current_revision(system)
    with StatusRecorder(system.processes) as recorder:
        accepted_at = append_note(system, make_note(f"outage-{base}", base, release))
        wait_until(
            lambda: any(recorder.last_revision(p) > base for p in system.processes),
            PROPAGATION_S,
            "one process to read the note",
        )
        set_faults(system.log.port, down=True)
        try:
            for process in system.processes:
                wait_until(
                    lambda process=process: recorder.last_revision(process) > base,
                    PROPAGATION_S,
                    f"revision {base + 1} at {process.name}",
                )
            restart_delays_s = []
            for restart, member in [
                (system.restart_agent, system.replicas[1]),
                (system.restart_entry, system.entries[0]),
            ]:
                started_at = time.time()
                process = restart(member)
                recorder.add(process)
                # Allows for the lag of the VM list (0.2 s) and the poll of it by the peers (1 s).
                wait_until(
                    lambda process=process: recorder.last_revision(process) > base,
                    PROPAGATION_S + 0.2 + 1.0,
                    f"revision {base + 1} at restarted {process.name}",
                )
                restart_delays_s.append(time.time() - started_at)
        finally:
            set_faults(system.log.port, down=False)
        delays = [recorder.applied_at(p.name, base + 1) - accepted_at for p in system.processes]
    print_delays("applied with the log down (including restarted processes)", delays)
    print(f"applied by restarted processes, including their start, after {restart_delays_s}")
    recorder.assert_revisions_monotonic()


def test_partitioned_region_keeps_its_revision_and_recovers(system):
    """A partitioned region must keep its revision, also across a restart, and catch up later."""
    release = system.release("assistant", "v1", 1 << 16)
    centro_processes = [r.agent for r in system.replicas if r.region == "centro"]
    centro_processes += [e.process for e in system.entries if e.region == "centro"]
    norte_processes = [p for p in system.processes if p not in centro_processes]
    with StatusRecorder(system.processes) as recorder:
        base = current_revision(system)
        set_faults(system.region_proxy.control_port, cut="both")
        accepted_times = [
            append_note(system, make_note(f"cut-{base}-{i}", base + i, release)) for i in range(3)
        ]
        for process in norte_processes:
            wait_until(
                lambda process=process: recorder.last_revision(process) == base + 3,
                PROPAGATION_S,
                f"revision {base + 3} at {process.name}",
            )
        # Exceeds the timeout (2 s) after which links through the proxy are dropped as silent.
        links_dropped_at = time.time() + 3.0
        wait_until(lambda: time.time() > links_dropped_at, 5, "links to be dropped")
        assert {recorder.last_revision(p) for p in centro_processes} == {base}
        # A process that starts in a partitioned region can learn the revision only from its peers.
        restarted_replica = next(r for r in system.replicas if r.region == "centro")
        centro_processes.remove(restarted_replica.agent)
        centro_processes.append(system.restart_agent(restarted_replica))
        recorder.add(restarted_replica.agent)
        wait_until(
            lambda: recorder.last_revision(restarted_replica.agent) == base,
            PROPAGATION_S + 0.2 + 1.0,
            "the last revision at a process restarted in the partitioned region",
        )
        healed_at = time.time()
        set_faults(system.region_proxy.control_port, cut="none")
        for process in centro_processes:
            wait_until(
                lambda process=process: recorder.last_revision(process) == base + 3,
                RECONNECT_S + PROPAGATION_S,
                f"revision {base + 3} at {process.name}",
            )
        delays = [recorder.applied_at(p.name, base + 3) - healed_at for p in centro_processes]
    print_delays("applied after healing", delays)
    assert accepted_times == sorted(accepted_times)
    recorder.assert_revisions_monotonic()


def test_restarted_processes_learn_the_newest_revision(system):
    """Restarted processes must reach the newest revision and never report a lower one."""
    release = system.release("assistant", "v1", 1 << 16)
    first_revision = current_revision(system)
    restarts = [system.replicas[0], system.replicas[2], system.entries[1], system.replicas[3]]
    with StatusRecorder(system.processes) as recorder:
        for number, member in enumerate(restarts):
            base = first_revision + number
            is_entry = member in system.entries
            process = member.process if is_entry else member.agent
            process.kill(signal.SIGKILL)
            append_note(system, make_note(f"restart-{base}", base, release))
            restarted = system.restart_entry(member) if is_entry else system.restart_agent(member)
            recorder.add(restarted)
            for running in system.processes:
                wait_until(
                    lambda running=running, base=base: recorder.last_revision(running) == base + 1,
                    PROPAGATION_S,
                    f"revision {base + 1} at {running.name}",
                )
    recorder.assert_revisions_monotonic()
    accepted = [entry for entry in accepted_notes(system) if entry["revision"] > first_revision]
    delays = []
    for entry in accepted:
        for name, samples in recorder.samples.items():
            # Processes that were not running at the append are covered by the wait above.
            if samples and samples[0].received_at <= entry["time"]:
                at = recorder.applied_at(name, entry["revision"])
                if at is not None:
                    delays.append(at - entry["time"])
                else:
                    assert samples[-1].received_at <= entry["time"] + PROPAGATION_S, name
    print_delays("applied while processes restart", delays)
    assert max(delays) <= PROPAGATION_S


def test_restart_with_many_notes_in_the_log(system):
    """A process that has read only some pages of the log must not be ready with an old revision."""
    release = system.release("assistant", "v1", 1 << 16)
    base = current_revision(system)
    note_count = 900
    notes = [make_note(f"many-{base}-{i}", base + i, release) for i in range(note_count)]
    body = {"records": [{"id": data["id"], "data": data} for data in notes]}
    with StatusRecorder(system.processes) as recorder:
        http_json("POST", system.log.port, "/streams/notes/records", body)
        appended_at = time.time()
        for process in system.processes:
            wait_until(
                lambda process=process: recorder.last_revision(process) == base + note_count,
                PROPAGATION_S,
                f"revision {base + note_count} at {process.name}",
            )
        delays = [
            recorder.applied_at(p.name, base + note_count) - appended_at for p in system.processes
        ]
        for log_down in (False, True):
            set_faults(system.log.port, down=log_down)
            try:
                for restart, member in [
                    (system.restart_agent, system.replicas[0]),
                    (system.restart_entry, system.entries[1]),
                ]:
                    process = restart(member)
                    recorder.add(process)
                    wait_until(
                        lambda process=process: (
                            recorder.last_revision(process) == base + note_count
                        ),
                        PROPAGATION_S + 0.2 + 1.0,
                        f"revision {base + note_count} at {process.name}",
                    )
            finally:
                set_faults(system.log.port, down=False)
    print_delays(f"{note_count} notes appended at once, applied", delays)
    recorder.assert_revisions_monotonic()


def test_audit_matches_reported_revisions(system):
    """The audit of the log must determine the revision of each process at any time.

    A process may lag behind the newest accepted revision by the propagation bound only.
    """
    release = system.release("assistant", "v1", 1 << 16)
    base = current_revision(system)
    with StatusRecorder(system.processes) as recorder:
        for number in range(3):
            append_note(system, make_note(f"audit-{base}-{number}", base + number, release))
            for process in system.processes:
                wait_until(
                    lambda process=process, n=number: (
                        recorder.last_revision(process) == base + n + 1
                    ),
                    PROPAGATION_S,
                    f"revision {base + number + 1} at {process.name}",
                )
    accepted = accepted_notes(system)
    sample_times = []
    for name, samples in recorder.samples.items():
        assert len(samples) > 3, name
        for sample in samples:
            newest = max(e["revision"] for e in accepted if e["time"] <= sample.received_at)
            overdue = [
                e["revision"] for e in accepted if e["time"] <= sample.received_at - PROPAGATION_S
            ]
            assert max(overdue, default=0) <= sample.revision <= newest, (name, sample)
        sample_times.append(samples[len(samples) // 2].received_at)
    for sample_time in sample_times[:2]:
        reported = json.loads(
            run_cli(system, "note", "show", "--json", "--at", f"{sample_time:.6f}")
        )
        expected = max(e["revision"] for e in accepted if e["time"] <= sample_time)
        assert reported["revision"] == expected
        assert reported["offset"] == next(
            e["offset"] for e in accepted if e["revision"] == expected
        )
        assert [r["version"] for r in reported["releases"]] == ["v1"]


RETENTION_S = 6.0


def test_state_survives_retention_of_the_log():
    """A new process must learn the state from snapshots once the notes have left the log."""
    layout_with_retention = Layout(
        pools=(Pool("assistant", 2),),
        log_options={"retention_s": RETENTION_S},
        settings={"notes": {"retention_s": RETENTION_S}},
    )
    with Fleet() as fleet:
        system = System(fleet, layout_with_retention).start()
        system.publish([system.release("assistant", "v1", 1 << 16)])
        system.wait_confirmed("v1", 2)
        release = system.release("assistant", "v2", 1 << 16)
        append_note(system, make_note("second", 1, release))
        processes = [system.entries[0].process, *(r.agent for r in system.replicas)]
        with StatusRecorder(processes) as recorder:
            wait_until(
                lambda: notes_stream(system)["first"] > 2, 3 * RETENTION_S, "notes to expire"
            )
            assert_fresh_entry_reads_the_log(system, recorder, 2)
            append_note(system, make_note("third", 2, release))
            for process in processes:
                wait_until(
                    lambda p=process: recorder.last_revision(p) == 3, PROPAGATION_S, process.name
                )
            first_offset = notes_stream(system)["first"]
            # All older records have expired as well, including the first snapshots.
            wait_until(
                lambda: notes_stream(system)["first"] > first_offset + 2,
                3 * RETENTION_S,
                "snapshots to expire",
            )
            assert_fresh_entry_reads_the_log(system, recorder, 3)
            reported = json.loads(run_cli(system, "note", "show", "--json"))
        assert (reported["revision"], reported["releases"][0]["version"]) == (3, "v2")
        recorder.assert_revisions_monotonic()
        print(f"stream after expiry: {notes_stream(system)}")


def notes_stream(system):
    return http_json("GET", system.log.port, "/stats")[1]["streams"]["notes"]


def assert_fresh_entry_reads_the_log(system, recorder, expected):
    """Starts an entry with an empty VM list and waits until it has read a revision from the log."""
    settings = system.base_settings(f"fresh-{expected}", "entry", "norte")
    settings.pop("agent", None)
    empty_vms = start_vms(system.fleet, name=f"vms-empty-{expected}")
    settings["platform"]["vms"] = f"127.0.0.1:{empty_vms.port}"
    path = write_settings(system.fleet.directory / f"fresh-{expected}.toml", settings)
    fresh_entry = start_entry(system.fleet, path)
    fresh_entry.wait_ready()
    recorder.add(fresh_entry)
    wait_until(
        lambda: recorder.last_revision(fresh_entry) == expected,
        PROPAGATION_S,
        f"revision {expected} from the log",
    )
    empty_vms.kill(signal.SIGTERM)
    fresh_entry.kill(signal.SIGKILL)
