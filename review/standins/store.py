"""A small stand-in for the platform's metadata store, for the cases of this review.

It keeps the objects of all kinds in memory, and answers as the users' page describes:
lists, single objects, watches, and conditional writes.  Run it with
``python3 review/standins/store.py ADDRESS PORT``; it ends with its process.
"""

import json
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

MAX_WAIT_S = 30.0
MS_PER_S = 1000


class Objects:
    """The objects, the revision, and all changes since the start."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []

    def put(self, kind, name, spec):
        """Store an object and return it; the caller holds the lock."""
        self.revision += 1
        known = self.by_kind.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": {},
        }
        self.by_kind[kind][name] = item
        self._record(kind, {"object": item, "deleted": False})
        return item

    def delete(self, kind, name):
        """Delete an object; the caller holds the lock."""
        self.revision += 1
        item = self.by_kind[kind].pop(name)
        self._record(kind, {"object": item, "deleted": True})

    def wait(self, kind, revision, wait_s):
        """Return the changes of a kind after `revision`, as soon as there are any."""
        with self.changed:
            self.changed.wait_for(lambda: self._after(kind, revision), wait_s)
            return self._after(kind, revision), self.revision

    def _after(self, kind, revision):
        return [e for at, k, e in self.events if k == kind and at > revision]

    def _record(self, kind, event):
        self.events.append((self.revision, kind, event))
        self.changed.notify_all()


class Handler(BaseHTTPRequestHandler):
    """Answers the calls of one connection."""

    protocol_version = "HTTP/1.1"
    objects = Objects()

    def do_GET(self):
        """Answer a list, a watch or a read."""
        kind, name, query = self._target()
        objects = self.objects
        if name is None and "watch" in query:
            wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / MS_PER_S)
            events, revision = objects.wait(kind, int(query["watch"]), wait_s)
            return self._answer(200, {"events": events, "current_rev": revision})
        with objects.changed:
            known = objects.by_kind.get(kind, {})
            if name is None:
                after = query.get("after", "")
                items = [known[n] for n in sorted(known) if n > after]
                page = {"items": items, "has_more": False}
                return self._answer(200, page | {"current_rev": objects.revision})
            found = known.get(name)
        if found is None:
            return self._answer(404, {"error": "no such object"})
        return self._answer(200, found)

    def do_POST(self):
        """Create an object."""
        kind, _, _ = self._target()
        body = self._body()
        name = body["metadata"]["name"]
        with self.objects.changed:
            known = self.objects.by_kind.get(kind, {}).get(name)
            if known is None:
                item = self.objects.put(kind, name, body.get("spec"))
                return self._answer(200, item)
        return self._answer(409, known)

    def do_PUT(self):
        """Replace an object if it has the revision that the call names."""
        kind, name, _ = self._target()
        body = self._body()
        wanted = body.get("metadata", {}).get("revision")
        with self.objects.changed:
            known = self.objects.by_kind.get(kind, {}).get(name)
            if known is None:
                return self._answer(404, {"error": "no such object"})
            if wanted in (None, known["metadata"]["revision"]):
                item = known
                if body.get("spec") != known["spec"]:
                    item = self.objects.put(kind, name, body.get("spec"))
                return self._answer(200, item)
        return self._answer(409, known)

    def do_DELETE(self):
        """Delete an object if it has the revision that the call names."""
        kind, name, query = self._target()
        with self.objects.changed:
            known = self.objects.by_kind.get(kind, {}).get(name)
            if known is None:
                return self._answer(404, {"error": "no such object"})
            wanted = query.get("revision")
            if wanted in (None, str(known["metadata"]["revision"])):
                self.objects.delete(kind, name)
                return self._answer(200, known)
        return self._answer(409, known)

    def log_message(self, format, *args):
        """Write nothing: the case keeps its own record."""

    def _target(self):
        parts = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = [unquote(part) for part in parts.path.split("/")[2:]]
        return names[0], names[1] if len(names) > 1 else None, query

    def _body(self):
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def _answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", "1")
        self.end_headers()
        self.wfile.write(data)


def main():
    """Serve until the process is ended."""
    ip, port = sys.argv[1], int(sys.argv[2])
    server = ThreadingHTTPServer((ip, port), Handler)
    server.daemon_threads = True
    server.serve_forever()


if __name__ == "__main__":
    main()
