"""A target that starts at an address takes keys under its predecessor's fence."""

import pathlib
import random
import sys
import time

from review.rig2.rig import CannotRun, Rig, lower_fences, main, table, trouble

FOLDER = pathlib.Path(__file__).parent
TARGETS = 8
LASTS_S = 85.0
DOWN_S = 0.2
PAUSE_S = 0.5
HOT_SHARE = 0.35
HOT_KEYS = 200
HOT_S = 2.0
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
    "services": table({"name": "directory", "max_connections": 110, "sharded": True}),
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_s": 5.0,
        "idle_timeout_s": 15.0,
    },
}


def pick():
    """Return a key; some keys are hot, and others every few seconds."""
    if random.random() < HOT_SHARE:
        first = random.Random(int(time.monotonic() / HOT_S)).randrange(65536 - HOT_KEYS)
        return first + random.randrange(HOT_KEYS)
    return random.randrange(65536)


def start(rig, number, life):
    """Start a target under a new id, at the address of the one before it."""
    options = {"service": "directory", "zone": "z1", "slots": 3, "work_ms": 90}
    return rig.start_target(number, f"i-{number}-{life}", **options)


def run(folder):
    """End one target after the other and start another in its place."""
    with Rig(folder, hosts=3) as rig:
        rig.start_store(CONFIG)
        targets = [start(rig, number, 0) for number in range(TARGETS)]
        rig.start_hosts()
        rig.start_load(80, "/lookup/", pick=pick)
        time.sleep(6)
        until, life = time.monotonic() + LASTS_S, 0
        while time.monotonic() < until:
            life += 1
            if trouble():
                number = random.randrange(TARGETS)
                rig.kill_target(targets[number])
                time.sleep(DOWN_S)
                targets[number] = start(rig, number, life)
            time.sleep(PAUSE_S)
        rig.stop_load()
        rows = rig.target_log()
        for line in rig.host_lines("ranges: "):
            rig.record.write(line + "\n")
        served = sum(status == 200 for _, _, status, _ in rig.answers)
        if 4 * served < len(rig.answers):
            raise CannotRun("most requests were not served")
        found = lower_fences(rows)
        for row, other in found:
            text = (
                f"keys {row['first']} to {row['last']} went to {row['id']} with fence"
            )
            text += f" {row['fence']}; {other[0][0]} had them with {other[3]}"
            rig.note(f"BROKEN: {text}")
            print(text)
        text = f"{len(found)} times; {served} of {len(rig.answers)} served"
        rig.note(text)
        print(text)
        return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(FOLDER, run))
