"""Run both deployments on this machine: ``make demo``.

Starts the platform stand-in, the targets of one questionnaire and a few daemons,
applies the questionnaire, sends requests through every daemon, kills one daemon, sends
the requests again, and stops the rest.
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
TIMEOUT_S = 30
KEY_COUNT = 40
HTTP_OK = 200
STARTED = "daemon: started"
DEPLOYMENTS = {
    "laurentide": ("quebec-1", "quebec-2", "montreal-1", "montreal-2"),
    "qoyan": ("almaty-1", "almaty-2", "almaty-3"),
}


class Demo:
    """One deployment on this machine."""

    def __init__(self, team: str, processes: Processes, directory: pathlib.Path):
        self._team = team
        self._processes = processes
        self._directory = directory
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._services = self._read_services()
        self._caller_ports: dict[str, int] = {}
        self._admin_port = 0
        self._slowest_s = 0.0

    def start(self) -> None:
        """Start the stand-ins and the daemons."""
        module = "persimmonspoke.standins"
        self._processes.start("platform", "-m", f"{module}.platform", "--port", "0")
        config = EXAMPLES / self._team / "configuration.yaml"
        self._processes.start(
            "targets", "-m", f"{module}.target", "--configuration", str(config)
        )
        self._wait_until(lambda: self._processes.first_line_with("platform", " on "))
        address = self._processes.first_line_with("platform", " on ").split()[-1]
        url = f"http://{address}"
        for number, data_centre in enumerate(DEPLOYMENTS[self._team], start=1):
            self._start_daemon(f"host-{number}", data_centre, url)
        self._wait_until(self._all_ready)

    def apply(self) -> None:
        """Apply the questionnaire, and wait until it is in force."""
        path = pathlib.Path("examples", self._team, "questionnaire.yaml")
        self._run_tool(
            "questionnaire", "apply", str(path), "--generation", "0", "--wait"
        )
        self._run_tool("status")

    def send_requests(self) -> int:
        """Send a request for each of many keys through each daemon.

        Returns
        -------
        int
            Number of keys that daemons sent to different targets, plus the number of
            requests whose response was not 200; 0 if everything works.
        """
        fault_count = 0
        self._slowest_s = 0.0
        for service in self._services:
            for number in range(KEY_COUNT if service["divided_by_key"] else 4):
                fault_count += self._send_for_key(service, f"key-{number}")
        print(
            f"{self._team}: all services asked, {fault_count} faults, "
            f"slowest answer {self._slowest_s:.3f} s"
        )
        return fault_count

    def kill_host(self) -> None:
        """Kill the daemon that was started last."""
        name = list(self._caller_ports)[-1]
        self._processes.kill(name)
        del self._caller_ports[name]
        print(f"{self._team}: {name} was killed")

    def _send_for_key(self, service, key):
        """Send a request for one key through each daemon; return the fault count."""
        owners, fault_count = set(), 0
        for port in self._caller_ports.values():
            response = self._request(service, key, port)
            if response.status == HTTP_OK:
                owners.add(json.loads(response.data)["target"])
            else:
                fault_count += 1
        if service["divided_by_key"] and len(owners) > 1:
            fault_count += 1
        return fault_count

    def _request(self, service, key, port):
        """Send one request, with its key where the questionnaire defines it."""
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
        started_at = time.monotonic()
        response = self._http.request(method, url, headers=headers)
        self._slowest_s = max(self._slowest_s, time.monotonic() - started_at)
        return response

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
        path = self._directory / f"{self._team}-{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        program = "persimmonspoke.daemon.main"
        self._processes.start(name, "-m", program, "--settings", str(path))
        self._wait_until(lambda: self._processes.first_line_with(name, STARTED))
        started = json.loads(self._processes.first_line_with(name, STARTED))
        self._caller_ports[name] = started["callers"]
        self._admin_port = self._admin_port or started["admin"]

    def _all_ready(self):
        """Return whether all daemons are ready."""
        response = self._http.request(
            "GET", f"http://{IP}:{self._admin_port}/v1/status"
        )
        hosts = json.loads(response.data)["hosts"]
        ready = [host for host in hosts if host.get("ready")]
        return len(ready) == len(self._caller_ports)

    def _run_tool(self, *args):
        """Run the command-line tool against the first daemon."""
        if args[-1] == "--wait":
            args = (*args, str(TIMEOUT_S))
        admin = f"http://{IP}:{self._admin_port}"
        print(f"$ persimmonspoke {' '.join(args)} --admin {admin}", flush=True)
        program = "persimmonspoke.cli.main"
        self._processes.run("-m", program, *args, "--admin", admin)

    def _wait_until(self, condition):
        """Wait until `condition()` holds; exit after `TIMEOUT_S`."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, KeyError, ValueError):
                pass
            if time.monotonic() > deadline:
                print(self._processes.last_lines())
                raise SystemExit(f"{self._team}: not ready after {TIMEOUT_S} s")
            time.sleep(0.1)

    def _read_services(self):
        """Return the services of the questionnaire."""
        text = (EXAMPLES / self._team / "questionnaire.yaml").read_text()
        return yaml.safe_load(text)["services"]


def main() -> int:
    """Run both deployments, one after the other; return the exit status."""
    fault_count = 0
    for team in DEPLOYMENTS:
        with (
            tempfile.TemporaryDirectory() as name,
            Processes(pathlib.Path(name)) as processes,
        ):
            demo = Demo(team, processes, pathlib.Path(name))
            demo.start()
            demo.apply()
            fault_count += demo.send_requests()
            demo.kill_host()
            fault_count += demo.send_requests()
    print("both deployments work" if fault_count == 0 else f"{fault_count} faults")
    return 1 if fault_count else 0


if __name__ == "__main__":
    sys.exit(main())
