"""A bare pass-through: eventlet's WSGI server and urllib3, without any routing."""

import argparse
import itertools

import eventlet
import eventlet.wsgi
import urllib3

CONNECTIONS = 64
NOT_FORWARDED_FIELDS = ("connection", "host", "content-length")


def make_app(ports):
    """Return an application that forwards requests to the targets in turn."""
    pools = itertools.cycle(
        urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=CONNECTIONS)
        for port in ports
    )

    def app(environ, start_response):
        path = environ["RAW_PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        headers = {
            name: value
            for name, value in environ["headers_raw"]
            if name.lower() not in NOT_FORWARDED_FIELDS
        }
        resp = next(pools).urlopen(
            environ["REQUEST_METHOD"],
            path,
            body=environ["wsgi.input"].read() or None,
            headers=headers,
            retries=False,
            decode_content=False,
        )
        start_response(f"{resp.status} {resp.reason}", list(resp.headers.items()))
        return [resp.data]

    return app


def main():
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--targets", type=int, nargs="+", required=True)
    args = parser.parse_args()
    eventlet.monkey_patch()
    listener = eventlet.listen(("127.0.0.1", args.port), backlog=1024)
    eventlet.wsgi.server(listener, make_app(args.targets), log_output=False)


if __name__ == "__main__":
    main()
