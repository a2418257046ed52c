"""Show both deployments at work on this machine: ``make demo``.

Starts a platform stand-in, the targets of one questionnaire and a few daemons, has
the questionnaire applied, sends requests through every daemon, ends one daemon
without warning, sends them again, and stops the rest.
"""

import json
import pathlib
import sys
import tempfile
import time
from urllib.parse import urlencode

import urllib3
import yaml

from tools.demo.processes import Processes

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
IP = "127.0.0.1"
WAIT_S = 30
KEYS = 40
HTTP_OK = 200
STARTED = "daemon: started"
DEPLOYMENTS = {
    "laurentide": ("quebec-1", "quebec-2", "montreal-1", "montreal-2"),
    "qoyan": ("almaty-1", "almaty-2", "almaty-3"),
}


class Demo:
    """One deployment on this machine."""

    def __init__(self, team: str, processes: Processes, folder: pathlib.Path):
        self._team = team
        self._processes = processes
        self._folder = folder
        self._http = urllib3.PoolManager(retries=False, timeout=WAIT_S)
        self._services = self._read_services()
        self._callers: dict[str, int] = {}
        self._admin = 0
        self._slowest_s = 0.0

    def start(self) -> None:
        """Start the stand-ins and the daemons."""
        module = "persimmonspoke.standins"
        self._processes.start("platform", "-m", f"{module}.platform", "--port", "0")
        config = EXAMPLES / self._team / "configuration.yaml"
        self._processes.start(
            "targets", "-m", f"{module}.target", "--configuration", str(config)
        )
        self._until(lambda: self._processes.line_of("platform", " on "))
        address = self._processes.line_of("platform", " on ").split()[-1]
        url = f"http://{address}"
        for number, data_centre in enumerate(DEPLOYMENTS[self._team], start=1):
            self._start_daemon(f"host-{number}", data_centre, url)
        self._until(self._all_ready)

    def apply(self) -> None:
        """Have the questionnaire accepted, and wait until it is in force."""
        path = pathlib.Path("examples", self._team, "questionnaire.yaml")
        self._tool("questionnaire", "apply", str(path), "--generation", "0", "--wait")
        self._tool("status")

    def ask(self) -> int:
        """Send a request on each of many keys through each daemon.

        Returns
        -------
        int
            Number of keys that two daemons sent to different targets, plus the
            number of requests without a whole answer; 0 if all is well.
        """
        faults = 0
        self._slowest_s = 0.0
        for service in self._services:
            for number in range(KEYS if service["divided_by_key"] else 4):
                faults += self._ask_one(service, f"key-{number}")
        print(
            f"{self._team}: all services asked, {faults} faults, "
            f"slowest answer {self._slowest_s:.3f} s"
        )
        return faults

    def lose_host(self) -> None:
        """End the last daemon without warning."""
        name = list(self._callers)[-1]
        self._processes.kill(name)
        del self._callers[name]
        print(f"{self._team}: {name} was killed")

    def _ask_one(self, service, key):
        """Ask for one key through every daemon; return the number of faults."""
        owners, faults = set(), 0
        for port in self._callers.values():
            answer = self._request(service, key, port)
            if answer.status == HTTP_OK:
                owners.add(json.loads(answer.data)["target"])
            else:
                faults += 1
        if service["divided_by_key"] and len(owners) > 1:
            faults += 1
        return faults

    def _request(self, service, key, port):
        """Send one request whose key stands where the questionnaire says."""
        method = "POST" if service.get("protected_methods") else "GET"
        path = f"/{self._team}{service['path_prefix']}"
        rule = service.get("key", {"source": "path"})
        headers = {}
        if rule["source"] == "path":
            path += key
        elif rule["source"] == "query":
            path += "?" + urlencode({rule["name"]: key})
        else:
            headers[rule["name"]] = key
        url = f"http://{IP}:{port}{path}"
        began = time.monotonic()
        answer = self._http.request(method, url, headers=headers)
        self._slowest_s = max(self._slowest_s, time.monotonic() - began)
        return answer

    def _start_daemon(self, name, data_centre, url):
        """Write the settings of one daemon and start it."""
        settings = {
            "host": name,
            "data_centre": data_centre,
            "ip": IP,
            "caller_port": 0,
            "peer_port": 0,
            "platform_url": url,
            "admin": {"ip": IP, "port": 0},
        }
        path = self._folder / f"{self._team}-{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        program = "persimmonspoke.daemon.main"
        self._processes.start(name, "-m", program, "--settings", str(path))
        self._until(lambda: self._processes.line_of(name, STARTED))
        started = json.loads(self._processes.line_of(name, STARTED))
        self._callers[name] = started["callers"]
        self._admin = self._admin or started["admin"]

    def _all_ready(self):
        """Return whether all daemons are in the fleet and ready."""
        answer = self._http.request("GET", f"http://{IP}:{self._admin}/v1/status")
        hosts = json.loads(answer.data)["hosts"]
        ready = [host for host in hosts if host.get("ready")]
        return len(ready) == len(self._callers)

    def _tool(self, *args):
        """Run the command-line tool against the first daemon."""
        if args[-1] == "--wait":
            args = (*args, str(WAIT_S))
        admin = f"http://{IP}:{self._admin}"
        print(f"$ persimmonspoke {' '.join(args)} --admin {admin}", flush=True)
        program = "persimmonspoke.cli.main"
        self._processes.run("-m", program, *args, "--admin", admin)

    def _until(self, condition):
        """Wait until `condition()` holds."""
        give_up_at = time.monotonic() + WAIT_S
        while True:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, KeyError, ValueError):
                pass
            if time.monotonic() > give_up_at:
                print(self._processes.last_words())
                raise SystemExit(f"{self._team}: not ready after {WAIT_S} s")
            time.sleep(0.1)

    def _read_services(self):
        """Return the services of the questionnaire."""
        text = (EXAMPLES / self._team / "questionnaire.yaml").read_text()
        return yaml.safe_load(text)["services"]


def main() -> int:
    """Run both deployments, one after the other; return the exit status."""
    faults = 0
    for team in DEPLOYMENTS:
        with (
            tempfile.TemporaryDirectory() as name,
            Processes(pathlib.Path(name)) as processes,
        ):
            demo = Demo(team, processes, pathlib.Path(name))
            demo.start()
            demo.apply()
            faults += demo.ask()
            demo.lose_host()
            faults += demo.ask()
    print("both deployments work" if faults == 0 else f"{faults} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
