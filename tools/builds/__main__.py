"""See the package."""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import warnings

from tools.builds import scratch
from tools.builds.examples import REFUSED

ROOT = pathlib.Path(__file__).resolve().parents[2]


def main() -> int:
    """Run one command; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.builds")
    commands = parser.add_subparsers(dest="command", required=True)
    exchange_parser = commands.add_parser("exchange")
    exchange_parser.add_argument("build", type=pathlib.Path)
    record_parser = commands.add_parser("record")
    record_parser.add_argument("commit")
    record_parser.add_argument("path", type=pathlib.Path)
    scratch_parser = commands.add_parser("scratch")
    scratch_parser.add_argument("commit")
    scratch_parser.add_argument("directory", type=pathlib.Path)
    commands.add_parser("read").add_argument("path", type=pathlib.Path)
    commands.add_parser("serve")
    commands.add_parser("call").add_argument("port", type=int)
    args = parser.parse_args()
    if args.command == "exchange":
        return exchange(args.build)
    if args.command == "scratch":
        scratch.make(args.commit, args.directory)
        return 0
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from tools.builds import link, records

    if args.command == "record":
        written = json.dumps(records.written(args.commit), indent=1)
        args.path.write_text(written + "\n")
    elif args.command == "read":
        print(json.dumps(records.read(json.loads(args.path.read_text()))))
    elif args.command == "serve":
        link.serve()
    else:
        link.call(args.port)
    return 0


def exchange(build: pathlib.Path) -> int:
    """Let the code of another build and the present one read what the other writes."""
    lost = 0
    for writer, reader in ((ROOT, build), (build, ROOT)):
        print(f"== {writer} writes, {reader} reads")
        for name, verdict in sorted(_verdicts(writer, reader).items()):
            print(f"{name:32} {verdict}")
            lost += verdict.startswith("LOST")
    print(f"{lost} lost")
    return 1 if lost else 0


def _verdicts(writer, reader):
    """Return what became of each message and document, by its name."""
    server = _start(reader, "serve", stdin=subprocess.PIPE)
    port = server.stdout.readline().strip()
    answers = json.loads(_output(_start(writer, "call", port)))
    received = json.loads(server.communicate("")[0])
    with tempfile.TemporaryDirectory() as directory:
        writes, answered = (
            _written(build, pathlib.Path(directory, name))
            for name, build in (("w", writer), ("r", reader))
        )
        read = json.loads(_output(_start(reader, "read", f"{directory}/w")))
    verdicts = {}
    for name, entry in writes["messages"].items():
        if name not in answered["messages"]:
            verdicts[name] = "not known to the reader"
        elif name in received:
            verdicts[name] = _compare(entry["values"], received[name])
        elif name not in answered["answers"].values():
            verdicts[name] = "LOST: nothing arrived"
    for name, answer in answers.items():
        reply = answered["answers"][name]
        entry = answered["messages"].get(reply)
        if entry is not None and name in writes["messages"]:
            verdicts[f"{name} > {reply}"] = _compare(entry["values"], answer)
    for key, entry in writes["documents"].items():
        is_read = read[key] in (None, entry["read"])
        verdicts[key] = "read" if is_read else f"LOST: {read[key]}"
    return verdicts


def _compare(sent, found):
    """Return the verdict on one message, by the fields that both builds know."""
    if REFUSED in found:
        return f"LOST: {found[REFUSED]}"
    wrong = [name for name in sent if name in found and sent[name] != found[name]]
    if wrong:
        return "LOST: " + ", ".join(f"{name} = {found[name]}" for name in wrong)
    unknown = sorted(sent.keys() - found.keys())
    return "read" + (f", without {', '.join(unknown)}" if unknown else "")


def _written(build, path):
    """Return the examples as a build writes them."""
    _output(_start(build, "record", "trial", path))
    return json.loads(path.read_text())


def _output(process):
    """Return the output of a process that has to succeed."""
    output = process.communicate()[0]
    if process.returncode:
        raise SystemExit(f"{process.args} failed")
    return output


def _start(build, *args, stdin=subprocess.DEVNULL):
    """Start a command of this tool with the code of one build."""
    env = {**os.environ, "PYTHONPATH": f"{build / 'src'}:{ROOT}"}
    return subprocess.Popen(
        [sys.executable, "-m", "tools.builds", *args],
        env=env,
        cwd=ROOT,
        stdin=stdin,
        stdout=subprocess.PIPE,
        text=True,
    )


if __name__ == "__main__":
    sys.exit(main())
