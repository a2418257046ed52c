"""Fault soak of real processes: ``make soak``, or ``python -m tools.soak --seed N``.

The exit status is 1 if a rule was broken, and 2 if the run could not begin.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile

from tools.soak import judge, schedule
from tools.soak.rig import ROOT, CannotRun, Rig, RunSettings


async def run(cfg: RunSettings, steps: list[schedule.Step]) -> None:
    """Carry out a schedule; the histories are in the run's folder."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with Rig(cfg) as rig:
        await rig.start()
        await rig.play(steps)


def main(argv=None):
    """Run one seed and judge it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=75.0)
    parser.add_argument("--size", choices=schedule.SIZES, default="qoyan")
    parser.add_argument("--code", type=pathlib.Path, default=ROOT, metavar="DIR")
    parser.add_argument("--schedule", type=pathlib.Path, help="play this one again")
    parser.add_argument("--show", action="store_true", help="only print the schedule")
    parser.add_argument("--folder", type=pathlib.Path, help="keep all files there")
    parser.add_argument("--net", type=int, help="second byte of all addresses")
    parser.add_argument(
        "--overlap",
        action="store_true",
        help="give addresses to others while targets that drain still work",
    )
    parser.add_argument("--forgets-release-fences", action="store_true")
    args = parser.parse_args(argv)
    size = schedule.SIZES[args.size]
    steps = (
        schedule.read(args.schedule)
        if args.schedule
        else schedule.draw(args.seed, size, args.seconds, args.overlap)
    )
    if args.show:
        print(schedule.to_text(steps), end="")
        return 0
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "schedule.jsonl").write_text(schedule.to_text(steps))
    cfg = RunSettings(
        size=size,
        seed=args.seed,
        seconds=args.seconds,
        folder=folder.resolve(),
        code=args.code.resolve(),
        net=args.net or 101 + args.seed % 150,
        forgets_release_fences=args.forgets_release_fences,
    )
    try:
        asyncio.run(run(cfg, steps))
    except (CannotRun, OSError) as exc:
        print(f"seed {args.seed}: {exc}; see {folder}", file=sys.stderr)
        return 2
    print(f"seed {args.seed}, {len(steps)} steps, {served(folder)}: {folder}")
    return judge.main([str(folder)])


def served(folder):
    """Return how many requests were sent, and served, as text."""
    text = (folder / "callers.jsonl").read_text()
    sent, good = text.count('"kind": "sent"'), text.count('"status": 200')
    return f"{good} of {sent} requests served"


if __name__ == "__main__":
    sys.exit(main())
