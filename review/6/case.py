"""A cold target that has started again holds keys that others are given."""

import pathlib
import sys
import time

from review.rig2.rig import CannotRun, Rig, double_holds, main, table, trouble

FOLDER = pathlib.Path(__file__).parent
TARGETS = 9
ZONE = range(4, 9)  # the targets of the data centre that ends and comes back
ROUNDS = 11
DOWN_S = 1.0
PAUSE_S = 6.5
CONFIG = {
    "version": 1,
    "routes": table(
        {
            "name": "lookup",
            "host": "x.example",
            "path_prefix": "/lookup/",
            "route_kind": "safe",
            "timeout_s": 2.0,
            "target_latency_s": 0.5,
            "priority": 0,
            "max_attempts": 2,
            "service": "directory",
        }
    ),
    "services": table(
        {
            "name": "directory",
            "max_connections": 100,
            "sharded": True,
            "warmup_s": 3.0,
            "warmup_per_s": 5.0,
        }
    ),
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_s": 5.0,
        "idle_timeout_s": 15.0,
    },
}


def start(rig, number):
    """Start a target, the first time or again under its id."""
    zone = "z2" if number in ZONE else "z1"
    options = {"service": "directory", "zone": zone, "warmup_s": 3.0}
    return rig.start_target(number, f"i-{number}", **options)


def run(folder):
    """End a data centre's targets and start them again; judge who held which keys."""
    with Rig(folder, hosts=3, more_bounds=",warmup_overage=1.5,warmup_slack=8") as rig:
        rig.start_store(CONFIG)
        targets = [start(rig, number) for number in range(TARGETS)]
        rig.start_hosts()
        rig.start_load(60, "/lookup/")
        time.sleep(8)
        for _ in range(ROUNDS):
            if trouble():
                for number in ZONE:
                    rig.kill_target(targets[number])
                time.sleep(DOWN_S)
                for number in ZONE:
                    targets[number] = start(rig, number)
            time.sleep(PAUSE_S)
        rig.stop_load()
        rows = rig.target_log()
        for line in rig.host_lines("ranges: target", "lost keys", "leader:"):
            rig.record.write(line + "\n")
        served = sum(status == 200 for _, _, status, _ in rig.answers)
        if 4 * served < len(rig.answers):
            raise CannotRun("most requests were not served")
        found = double_holds(rows, ends_of(rig, rows))
        for one, other, both_s in found:
            rig.note(f"BROKEN for {both_s:.2f} s: {one} and {other}")
            print(f"both held the keys for {both_s:.2f} s: {one} and {other}")
        rig.note(f"{len(found)} double holds; {served} of {len(rig.answers)} served")
        print(f"{len(found)} double holds; {served} of {len(rig.answers)} served")
        return 1 if found else 0


def ends_of(rig, rows):
    """Return when each life that has ended did so."""
    starts = [
        (row["t"], row["id"], row["born"]) for row in rows if row["event"] == "up"
    ]
    ends = {}
    for target_id, began_at, ended_at in rig.lives.values():
        if ended_at is not None:
            lives = [(t, born) for t, name, born in starts if name == target_id]
            born = min(b for t, b in lives if t >= began_at)
            ends[target_id, born] = ended_at
    return ends


if __name__ == "__main__":
    sys.exit(main(FOLDER, run))
