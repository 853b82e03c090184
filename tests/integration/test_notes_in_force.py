"""Notes in force with real processes: races, restarts, an outage of the log, a region cut off."""

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
from tests.integration.watch import Watch

#: Seconds in which an accepted note must be in force at every process (I7).
IN_FORCE_S = 3.0
#: Seconds after which links are dropped as silent, and the longest wait before they are dialled
#: again: on healing, the 3 s begin at the latest after both.
RECONNECT_S = 2.0 + 2.0


class TwoRegions(System):
    """Two regions with a VM list each; all traffic between them passes one proxy.

    The log stands in the region norte.
    """

    def __init__(self, fleet, layout):
        super().__init__(fleet, layout)
        self.far_vms = start_vms(fleet, name="vms-centro", **layout.vms_options)
        self.link = start_proxy(fleet, self.log.port, name="link")
        self.far_log = self.link.port

    def base_settings(self, process_id, role, region):
        settings = super().base_settings(process_id, role, region)
        if region != "norte":
            settings["platform"]["vms"] = f"127.0.0.1:{self.far_vms.port}"
            settings["platform"]["log"] = f"127.0.0.1:{self.far_log}"
        return settings

    def _register(self, vm_id, role, link, http, region, upstream, kind):
        # Callers in norte send `down` towards centro, callers in centro send `up`.
        through = add_target(self.link, link, reverse=region != "norte")
        for vms, near in ((self.vms, "norte"), (self.far_vms, "centro")):
            vm = {
                "id": vm_id,
                "role": role,
                "address": "127.0.0.1",
                "link_port": link if region == near else through,
                "http_port": http,
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
        """Kills an agent and starts it with nothing kept."""
        replica.agent.kill(sig)
        replica.agent.wait_end(20)
        replica.agent = start_agent(self.fleet, replica.settings_path, name=replica.agent_id)
        replica.agent.wait_ready()
        self.register_replica(replica)
        return replica.agent

    def restart_entry(self, entry, sig=signal.SIGKILL):
        """Kills an entry and starts it with nothing kept."""
        entry.process.kill(sig)
        entry.process.wait_end(20)
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


def page(process):
    return http_json("GET", process.http_port, "/v1/status")[1]


def wait_revision(process, revision, deadline_s):
    wait_until(
        lambda: (p := page(process))["ready"] and p["revision"] >= revision,
        deadline_s,
        f"revision {revision} at {process.name}",
    )


def note(note_id, base, release, message="Test release."):
    return {
        "schema": 1,
        "id": note_id,
        "base": base,
        "author": "test",
        "message": message,
        "set": [release],
        "withdraw": [],
    }


def append(system, data):
    """Appends a note and returns the log's time of it."""
    body = {"records": [{"id": data["id"], "data": data}]}
    status, answer = http_json("POST", system.log.port, "/streams/notes/records", body)
    assert status == 200, answer
    return answer["time"]


def revision(system):
    return page(system.entries[0].process)["revision"]


def command(system, *arguments):
    """Runs the command line against the log alone."""
    argv = [sys.executable, "-m", "fescuechute", *arguments]
    argv += ["--log", f"127.0.0.1:{system.log.port}"]
    done = subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)
    assert done.returncode == 0, (done.returncode, done.stderr)
    return done.stdout


def audit(system):
    """Returns the accepted notes that the command line finds in the log."""
    entries = [json.loads(line) for line in command(system, "note", "audit").splitlines()]
    return [entry for entry in entries if entry["accepted"]]


def delays(watch, processes, accepted):
    """Returns the seconds until each process had each accepted note in force."""
    found = []
    for entry in accepted:
        for process in processes:
            at = watch.reached_at(process.name, entry["revision"])
            found.append((at or float("inf")) - entry["time"])
    return found


def report(name, values):
    text = f"{name}: {len(values)} values, median {percentile(values, 0.5):.3f} s"
    print(f"{text}, worst {max(values):.3f} s")


def test_racing_operators(system):
    """Of several notes on one base exactly one may win, the same one at every process."""
    release = system.release("assistant", "v1", 1 << 16)
    rounds = 5
    with Watch(system.processes) as watch:
        first = revision(system)
        for number in range(rounds):
            base = first + number
            notes = [note(f"race-{base}-{i}", base, release, f"From {i}.") for i in range(4)]
            threads = [threading.Thread(target=append, args=(system, n)) for n in notes]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(5)
            for process in system.processes:
                wait_until(
                    lambda process=process, base=base: watch.revision(process) >= base + 1,
                    IN_FORCE_S,
                    f"revision {base + 1} at {process.name}",
                )
        accepted = [e for e in audit(system) if e["revision"] > first]
    assert [e["revision"] for e in accepted] == [first + 1 + i for i in range(rounds)]
    for number, entry in enumerate(accepted):
        assert entry["note_id"].startswith(f"race-{first + number}-")
    taken = delays(watch, system.processes, accepted)
    report("in force after a race", taken)
    assert max(taken) <= IN_FORCE_S
    assert {page(p)["revision"] for p in system.processes} == {first + rounds}
    watch.assert_never_back()


def test_log_down_just_after_acceptance(system):
    """Processes must pass an accepted note on while the log is out, also to those restarted."""
    release = system.release("assistant", "v1", 1 << 16)
    base = revision(system)
    with Watch(system.processes) as watch:
        accepted_at = append(system, note(f"outage-{base}", base, release))
        wait_until(
            lambda: any(watch.revision(p) > base for p in system.processes),
            IN_FORCE_S,
            "one process that has read the note",
        )
        set_faults(system.log.port, down=True)
        try:
            for process in system.processes:
                wait_until(
                    lambda process=process: watch.revision(process) > base,
                    IN_FORCE_S,
                    f"revision {base + 1} at {process.name}",
                )
            restarted = []
            for restart, what in [
                (system.restart_agent, system.replicas[1]),
                (system.restart_entry, system.entries[0]),
            ]:
                started_at = time.time()
                process = restart(what)
                watch.add(process)
                # The list shows a restarted process after its lag and a poll.
                wait_until(
                    lambda process=process: watch.revision(process) > base,
                    IN_FORCE_S + 0.2 + 1.0,
                    f"revision {base + 1} at restarted {process.name}",
                )
                restarted.append(time.time() - started_at)
        finally:
            set_faults(system.log.port, down=False)
        taken = [watch.reached_at(p.name, base + 1) - accepted_at for p in system.processes]
    report("in force with the log down (also restarted processes)", taken)
    print(f"known to a restarted process, its start included, after {restarted}")
    watch.assert_never_back()


def test_region_cut_off_and_healed(system):
    """A region cut off must keep the last revision and take over the newer one on healing."""
    release = system.release("assistant", "v1", 1 << 16)
    far = [r.agent for r in system.replicas if r.region == "centro"]
    far += [e.process for e in system.entries if e.region == "centro"]
    near = [p for p in system.processes if p not in far]
    with Watch(system.processes) as watch:
        base = revision(system)
        set_faults(system.link.control_port, cut="both")
        times = [append(system, note(f"cut-{base}-{i}", base + i, release)) for i in range(3)]
        for process in near:
            wait_until(
                lambda process=process: watch.revision(process) == base + 3,
                IN_FORCE_S,
                f"revision {base + 3} at {process.name}",
            )
        # Long enough that every link through the proxy is dropped as silent.
        silent_until = time.time() + 3.0
        wait_until(lambda: time.time() > silent_until, 5, "links to be dropped")
        assert {watch.revision(p) for p in far} == {base}
        # A process that starts while its region is cut off has only its peers there.
        lone = next(r for r in system.replicas if r.region == "centro")
        far.remove(lone.agent)
        far.append(system.restart_agent(lone))
        watch.add(lone.agent)
        wait_until(
            lambda: watch.revision(lone.agent) == base,
            IN_FORCE_S + 0.2 + 1.0,
            "the last revision at a process restarted in the region",
        )
        healed_at = time.time()
        set_faults(system.link.control_port, cut="none")
        for process in far:
            wait_until(
                lambda process=process: watch.revision(process) == base + 3,
                RECONNECT_S + IN_FORCE_S,
                f"revision {base + 3} at {process.name}",
            )
        healing = [watch.reached_at(p.name, base + 3) - healed_at for p in far]
    report("in force after healing", healing)
    assert times == sorted(times)
    watch.assert_never_back()


def test_processes_restart_while_notes_arrive(system):
    """Processes with nothing kept must learn the newest revision, and none may go back."""
    release = system.release("assistant", "v1", 1 << 16)
    first = revision(system)
    restarts = [system.replicas[0], system.replicas[2], system.entries[1], system.replicas[3]]
    with Watch(system.processes) as watch:
        for number, what in enumerate(restarts):
            base = first + number
            is_entry = what in system.entries
            process = what.process if is_entry else what.agent
            process.kill(signal.SIGKILL)
            append(system, note(f"restart-{base}", base, release))
            again = system.restart_entry(what) if is_entry else system.restart_agent(what)
            watch.add(again)
            for running in system.processes:
                wait_until(
                    lambda running=running, base=base: watch.revision(running) == base + 1,
                    IN_FORCE_S,
                    f"revision {base + 1} at {running.name}",
                )
    watch.assert_never_back()
    accepted = [entry for entry in audit(system) if entry["revision"] > first]
    taken = []
    for entry in accepted:
        for name, samples in watch.samples.items():
            # A process that ended or began in between is measured above, from its ready line.
            if samples and samples[0].at <= entry["time"]:
                at = watch.reached_at(name, entry["revision"])
                if at is not None:
                    taken.append(at - entry["time"])
                else:
                    assert samples[-1].at <= entry["time"] + IN_FORCE_S, name
    report("in force while processes restart", taken)
    assert max(taken) <= IN_FORCE_S


def test_restart_with_many_notes_to_read(system):
    """A process that has read only some pages of the log must not act on an old revision."""
    release = system.release("assistant", "v1", 1 << 16)
    base = revision(system)
    many = 900
    notes = [note(f"many-{base}-{i}", base + i, release) for i in range(many)]
    body = {"records": [{"id": data["id"], "data": data} for data in notes]}
    with Watch(system.processes) as watch:
        http_json("POST", system.log.port, "/streams/notes/records", body)
        appended_at = time.time()
        for process in system.processes:
            wait_until(
                lambda process=process: watch.revision(process) == base + many,
                IN_FORCE_S,
                f"revision {base + many} at {process.name}",
            )
        taken = [watch.reached_at(p.name, base + many) - appended_at for p in system.processes]
        for log_down in (False, True):
            set_faults(system.log.port, down=log_down)
            try:
                for restart, what in [
                    (system.restart_agent, system.replicas[0]),
                    (system.restart_entry, system.entries[1]),
                ]:
                    process = restart(what)
                    watch.add(process)
                    wait_until(
                        lambda process=process: watch.revision(process) == base + many,
                        IN_FORCE_S + 0.2 + 1.0,
                        f"revision {base + many} at {process.name}",
                    )
            finally:
                set_faults(system.log.port, down=False)
    report(f"{many} notes at once in force", taken)
    watch.assert_never_back()


def test_audit_equals_what_processes_reported(system):
    """The log alone must tell what each process had in force at each moment."""
    release = system.release("assistant", "v1", 1 << 16)
    base = revision(system)
    with Watch(system.processes) as watch:
        for number in range(3):
            append(system, note(f"audit-{base}-{number}", base + number, release))
            for process in system.processes:
                wait_until(
                    lambda process=process, n=number: watch.revision(process) == base + n + 1,
                    IN_FORCE_S,
                    f"revision {base + number + 1} at {process.name}",
                )
    accepted = audit(system)
    moments = []
    for name, samples in watch.samples.items():
        assert len(samples) > 3, name
        for sample in samples:
            newest = max(e["revision"] for e in accepted if e["time"] <= sample.at)
            due = [e["revision"] for e in accepted if e["time"] <= sample.at - IN_FORCE_S]
            assert max(due, default=0) <= sample.revision <= newest, (name, sample)
        moments.append(samples[len(samples) // 2].at)
    for moment in moments[:2]:
        shown = json.loads(command(system, "note", "show", "--json", "--at", f"{moment:.6f}"))
        expected = max(e["revision"] for e in accepted if e["time"] <= moment)
        assert shown["revision"] == expected
        assert shown["offset"] == next(e["offset"] for e in accepted if e["revision"] == expected)
        assert [r["version"] for r in shown["releases"]] == ["v1"]


RETENTION_S = 6.0


def test_old_records_age_out():
    """Without a snapshot in time, a fresh process could not tell what is in force."""
    small = Layout(
        pools=(Pool("assistant", 2),),
        log_options={"retention_s": RETENTION_S},
        settings={"notes": {"retention_s": RETENTION_S}},
    )
    with Fleet() as fleet:
        system = System(fleet, small).start()
        system.publish([system.release("assistant", "v1", 1 << 16)])
        system.wait_confirmed("v1", 2)
        release = system.release("assistant", "v2", 1 << 16)
        append(system, note("second", 1, release))
        processes = [system.entries[0].process, *(r.agent for r in system.replicas)]
        with Watch(processes) as watch:
            wait_until(lambda: stream(system)["first"] > 2, 3 * RETENTION_S, "notes to age out")
            assert_fresh_process_starts(system, watch, 2)
            append(system, note("third", 2, release))
            for process in processes:
                wait_until(lambda p=process: watch.revision(p) == 3, IN_FORCE_S, process.name)
            first = stream(system)["first"]
            # Every older record is gone too, the first snapshots among them.
            wait_until(
                lambda: stream(system)["first"] > first + 2, 3 * RETENTION_S, "snapshots to age"
            )
            assert_fresh_process_starts(system, watch, 3)
            shown = json.loads(command(system, "note", "show", "--json"))
        assert (shown["revision"], shown["releases"][0]["version"]) == (3, "v2")
        watch.assert_never_back()
        print(f"stream after ageing: {stream(system)}")


def stream(system):
    return http_json("GET", system.log.port, "/stats")[1]["streams"]["notes"]


def assert_fresh_process_starts(system, watch, expected):
    """Starts a process that knows no peers, so that it has the log alone."""
    settings = system.base_settings(f"fresh-{expected}", "entry", "norte")
    settings.pop("agent", None)
    empty = start_vms(system.fleet, name=f"vms-empty-{expected}")
    settings["platform"]["vms"] = f"127.0.0.1:{empty.port}"
    path = write_settings(system.fleet.directory / f"fresh-{expected}.toml", settings)
    fresh = start_entry(system.fleet, path)
    fresh.wait_ready()
    watch.add(fresh)
    wait_until(
        lambda: watch.revision(fresh) == expected, IN_FORCE_S, f"revision {expected} from the log"
    )
    empty.kill(signal.SIGTERM)
    fresh.kill(signal.SIGKILL)
