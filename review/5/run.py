"""Shows that a process which is told of new settings while it starts ends by that."""

import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, NotRun  # noqa: E402

CHANGES = 4  # of the settings file, for each machine
CHANGED_AFTER_S = 0.2  # after the process was started
RESTART_DELAY_S = 1.2  # the platform starts an ended process again after a short delay
DISTURBED_S = 1.0  # ends within this time after a start by the operator don't count
MAX_ENDS = 3  # of a machine, by RULES.md
MAX_MACHINES = 2


def restart(machine):
    """Stop a machine's process as planned, and start it again with new settings."""
    machine.process.terminate()
    machine.process.wait(timeout=8.0)
    machine.write_settings()
    machine.start()


def change_settings(machine, trouble, record):
    """Change the settings file `CHANGES` times; return how often the process ended.

    The ends that are excused by the start of the operator are left out.
    """
    ends = 0
    started_at = time.monotonic()
    for number in range(CHANGES):
        time.sleep(CHANGED_AFTER_S)
        machine.write_settings()
        if trouble:
            machine.process.send_signal(signal.SIGHUP)
        time.sleep(CHANGED_AFTER_S)
        status = machine.process.poll()
        since_start_s = time.monotonic() - started_at
        record.append(f"{machine.name} change {number}: status {status}")
        if status is not None:
            if since_start_s > DISTURBED_S:
                ends += 1
            time.sleep(RESTART_DELAY_S)
            machine.start()
    machine.wait_ready()
    return ends


def play(deployment, trouble):
    """Play the case; return the record, and whether the rule broke."""
    runs_file = deployment.folder / "runs"
    runs_file.touch()
    deployment.start_store()
    deployment.start_upstream("i-1", 0, runs_file)
    for machine in deployment.machines:
        machine.write_settings()
        machine.start()
    for machine in deployment.machines:
        machine.wait_ready()
    record, failing = [], 0
    for machine in deployment.machines:
        restart(machine)
        ends = change_settings(machine, trouble, record)
        record.append(f"{machine.name} ended by itself {ends} times")
        failing += ends >= MAX_ENDS
    record.append(f"machines that ended {MAX_ENDS} times or more: {failing}")
    return record, failing >= MAX_MACHINES


def main():
    """Run the case and return the exit status."""
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        with Deployment(machines=2) as deployment:
            record, broken = play(deployment, trouble)
    except (NotRun, OSError) as exc:
        (HERE / "record.txt").write_text(f"could not run: {exc!r}\n")
        return 2
    (HERE / "record.txt").write_text("\n".join(record) + "\n")
    print(record[-1])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
