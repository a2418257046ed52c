"""Shows that a planned stop cuts requests that were read and that no upstream has."""

import http.client
import json
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import HOST_NAME, Deployment, NotRun  # noqa: E402

MAX_CONNECTIONS = 3  # of the upstream; one for each of the three machines
TIMEOUT_S = 6.0  # of the route, and the consumers' time limit
LONG_WORK_S = 4.8
SHORT_WORK_S = 0.1
WAITING = 3  # requests that wait for a connection behind the long one
SENT_AFTER_S = 1.0  # the signal; the machine may still be sent requests then
LOSS_SLACK_S = 0.2


class Consumer(threading.Thread):
    """Sends one request on a connection of its own, and keeps what came back."""

    def __init__(self, machine, request_id, work_s):
        super().__init__(daemon=True)
        self.request_id = request_id
        self.status = None
        self.error = None
        self.sent_at = self.ended_at = 0.0
        self._path = f"/file/work-{work_s:g}/{request_id}"
        self._conn = http.client.HTTPConnection(
            machine.ip, machine.front_port, timeout=TIMEOUT_S + 2.0
        )
        self._conn.connect()

    def run(self):
        """Send the request, and wait for its answer or the connection's end."""
        headers = {
            "Host": HOST_NAME,
            "Persimmonspoke-Request-Id": self.request_id,
            "Persimmonspoke-Deadline-Ms": f"{TIMEOUT_S * 1000:.0f}",
        }
        try:
            self._conn.request("POST", self._path, b"a filing", headers)
            self.sent_at = time.monotonic()
            resp = self._conn.getresponse()
            resp.read()
            self.status = resp.status
        except (OSError, http.client.HTTPException) as exc:
            self.error = repr(exc)
        self.ended_at = time.monotonic()
        self._conn.close()


def is_lost(consumer, runs):
    """Return whether a request breaks LOST.

    It does not if an answer came, its time was over, or an upstream had it at all, so
    that the excuse of an upstream still at work needs no second look.
    """
    held_s = consumer.ended_at - consumer.sent_at
    return (
        consumer.status is None
        and LOSS_SLACK_S < held_s < TIMEOUT_S - LOSS_SLACK_S
        and consumer.request_id not in runs
    )


def play(deployment, trouble):
    """Play the case; return the record, and whether the rule broke."""
    runs_file = deployment.folder / "runs"
    runs_file.touch()
    deployment.start_store(MAX_CONNECTIONS, TIMEOUT_S)
    deployment.start_upstream("i-1", 0, runs_file)
    for machine in deployment.machines:
        machine.write_settings()
        machine.start()
    for machine in deployment.machines:
        machine.wait_ready()
    time.sleep(2.0)  # both know of each other, so that each uses its share
    stopped = deployment.machines[0]
    consumers = [Consumer(stopped, "long", LONG_WORK_S)]
    consumers += [Consumer(stopped, f"r{n}", SHORT_WORK_S) for n in range(WAITING)]
    signal_at = time.monotonic()
    if trouble:
        stopped.process.terminate()
    time.sleep(SENT_AFTER_S)
    for consumer in consumers:
        consumer.start()
        time.sleep(0.1)
    for consumer in consumers:
        consumer.join(TIMEOUT_S + 3.0)
    lines = [line.strip() for line in runs_file.read_text().splitlines()]
    runs = {json.loads(line)["id"] for line in lines}
    record = [f"run {line}" for line in lines]
    for c in consumers:
        record.append(
            f"{c.request_id} sent {c.sent_at - signal_at:.2f} s after the signal, "
            f"ended {c.ended_at - signal_at:.2f} s: status {c.status}, {c.error}"
        )
    lost = [c.request_id for c in consumers if is_lost(c, runs)]
    served = sum(c.status == 200 for c in consumers)
    record.append(f"sent {len(consumers)}, served {served}, LOST {lost}")
    if not trouble and served < len(consumers):
        raise NotRun(f"only {served} of {len(consumers)} requests were served")
    return record, bool(lost)


def main():
    """Run the case and return the exit status."""
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        with Deployment(machines=3) as deployment:
            record, broken = play(deployment, trouble)
    except Exception as exc:
        # An uncaught one would exit with 1, which says that the rule was broken.
        (HERE / "record.txt").write_text(f"could not run: {exc!r}\n")
        return 2
    (HERE / "record.txt").write_text("\n".join(record) + "\n")
    print(record[-1])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
