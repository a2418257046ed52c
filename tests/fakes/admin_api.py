"""An administration API without sockets, over an in-memory store and a fake host."""

import io
import json
from dataclasses import replace

from persimmonspoke.cli.client import HttpResponse
from persimmonspoke.errors import AdminUnreachable
from persimmonspoke.internal.admin.api import UnreachableHost
from persimmonspoke.internal.admin.app import make_admin_app
from persimmonspoke.internal.admin.messages import HostStatus, TeamGeneration
from persimmonspoke.internal.admin.settings import AdminSettings
from persimmonspoke.internal.ownership.page import Assignment, Page, PageKey
from persimmonspoke.internal.questionnaire.drains import Drains
from persimmonspoke.internal.questionnaire.teams import Teams
from tests.fakes.process import FakeClock, FakeProcess
from tests.fakes.store import FakePlatformStore, FakeStore

NO_TOKENS = AdminSettings()


class StoreProcess:
    """A process with its clock and its access to an in-memory store.

    Attributes
    ----------
    platform : FakePlatformStore
        The objects, shared by all processes.
    store : FakeStore
        The process's access to the objects, with its own injected faults.
    """

    def __init__(self, name="a", platform=None):
        self.platform = platform or FakePlatformStore()
        self.process = FakeProcess(name, "10.0.0.1")
        self.store = FakeStore(self.platform, self.process)
        self.clock = FakeClock(self.process)

    def with_same_store(self, name):
        """Return another process that uses the same objects."""
        return StoreProcess(name, self.platform)

    def objects(self):
        """Return all stored objects by key."""
        return {entry.key: entry for entry in self.platform.list("").items}


def host_status(name, **in_force):
    """Return the status of a ready host."""
    rows = tuple(TeamGeneration(*pair) for pair in in_force.items())
    return HostStatus(name, "east", True, False, rows)


class FakeHost:
    """Implements `Node`, `Members` and `Assignments` with values set by the test."""

    def __init__(self):
        self.own_status = host_status("a.1")
        self.other_statuses = [UnreachableHost("b.1", "PeerTimeout: no answer")]

    def dump(self):
        return {"host": self.own_status.host_id}

    def ready(self):
        return not self.own_status.draining

    def drain(self):
        self.own_status = replace(self.own_status, draining=True)

    def undrain(self):
        self.own_status = replace(self.own_status, draining=False)

    def status(self):
        return self.own_status

    def statuses(self, deadline):
        return [self.own_status, *self.other_statuses]

    def pages(self, team, service, deadline):
        owners = (Assignment("t1", 4), Assignment("t2", 5), Assignment("t1", 4))
        return (Page(PageKey(team, service, 0), "a.1", 5, 0, owners),)


class FakeAdmin:
    """The WSGI application, usable as the transport of the command-line tool.

    Attributes
    ----------
    lost_answers : int
        Number of the next responses that are lost after their requests ran.
    """

    def __init__(self, store, clock, cfg=NO_TOKENS):
        self.host = FakeHost()
        self.lost_answers = 0
        parts = (Teams(store, clock), Drains(store, clock))
        host = self.host
        self.app = make_admin_app(cfg, clock, *parts, host, host, host)

    def request(self, method, path, body=b"", **headers):
        """Send one request; return the status and the JSON or text body."""
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **{f"HTTP_{name}": value for name, value in headers.items()},
        }
        environ["CONTENT_LENGTH"] = environ.pop(
            "HTTP_CONTENT_LENGTH", environ["CONTENT_LENGTH"]
        )
        started = []
        data = b"".join(self.app(environ, lambda *args: started.append(args)))
        status, headers = started[0]
        assert dict(headers)["Content-Length"] == str(len(data))
        is_json = dict(headers)["Content-Type"] == "application/json"
        return int(status[:3]), json.loads(data) if is_json else data.decode()

    def send(self, method, path, headers, body):
        """Act as the transport of the command-line tool."""
        named = {k.upper().replace("-", "_"): v for k, v in headers.items()}
        data = (body or "").encode()
        status, value = self.request(method, path, data, **named)
        if self.lost_answers:
            self.lost_answers -= 1
            raise AdminUnreachable("the answer was lost")
        return HttpResponse(status, json.dumps(value).encode())
