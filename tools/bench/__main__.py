"""Compare the router with a bare pass-through; print one JSON object per line.

``python -m tools.bench --profile`` also prints a profile of the router.
"""

import argparse
import json
import pathlib
import statistics
import sys
import tempfile
import time

from tools.bench.processes import Processes

SIDES = ("bare", "router")
CALLERS = 8
ROUNDS = 7
ROUND_S = 1.2
WARM_UP_S = 1.0
ONE_CALLER_S = 1.5
IDLE_S = 2.0
TARGET_RATIO = 0.7


class Samples:
    """Measurements of one side with a given number of callers."""

    def __init__(self):
        self.rates = []
        self.latencies_s = []
        self.bad = 0
        self.processor_s = 0.0

    def percentile_ms(self, percent):
        """Return a percentile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies_s)
        return 1000 * ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]

    def processor_us(self):
        """Return the processor time per request, in microseconds."""
        return 1e6 * self.processor_s / len(self.latencies_s)


def measure(processes, callers, rounds, seconds):
    """Load the sides alternately; return their samples."""
    samples = {side: Samples() for side in SIDES}
    for _ in range(rounds):
        for side in SIDES:
            before_s = processes.processor_s(side)
            latencies_s, bad = processes.load(side, callers, seconds)
            side_samples = samples[side]
            side_samples.processor_s += processes.processor_s(side) - before_s
            side_samples.rates.append(len(latencies_s) / seconds)
            side_samples.latencies_s.extend(latencies_s)
            side_samples.bad += bad
    return samples


def report(name, value, unit, **more):
    """Print one measurement."""
    row = {"measure": name, "value": round(value, 3), "unit": unit, **more}
    print(json.dumps(row), flush=True)


def report_load(samples, suffix=""):
    """Print the added latency and the numbers of bad responses."""
    bare, router = samples["bare"], samples["router"]
    for percent in (50, 99):
        added_ms = router.percentile_ms(percent) - bare.percentile_ms(percent)
        report(f"p{percent}_added{suffix}", added_ms, "ms")
    for side in SIDES:
        report(f"bad_answers{suffix}", samples[side].bad, "answers", side=side)


def report_idle(processes):
    """Print the share of a core that the idle router uses."""
    before_s = processes.processor_s("router")
    time.sleep(IDLE_S)
    used_s = processes.processor_s("router") - before_s
    report("idle_processor", 100 * used_s / IDLE_S, "% of a core", side="router")


def run(processes):
    """Measure everything and print it; return whether the target was met."""
    processes.start()
    report_idle(processes)
    measure(processes, CALLERS, 1, WARM_UP_S)
    many_callers = measure(processes, CALLERS, ROUNDS, ROUND_S)
    one_caller = measure(processes, 1, 2, ONE_CALLER_S)
    ratios = [
        router / bare
        for bare, router in zip(
            many_callers["bare"].rates, many_callers["router"].rates, strict=True
        )
    ]
    for side in SIDES:
        rate = statistics.median(many_callers[side].rates)
        report("throughput", rate, "requests/s", side=side, callers=CALLERS)
    ratio = statistics.median(ratios)
    spread = [round(min(ratios), 3), round(max(ratios), 3)]
    report("throughput_ratio", ratio, "1", target=TARGET_RATIO, range=spread)
    report_load(many_callers)
    report_load(one_caller, "_one_caller")
    for side in SIDES:
        used_us = many_callers[side].processor_us()
        report("processor_per_request", used_us, "us", side=side)
        report("memory", processes.memory_mb(side), "MB", side=side)
    bad = sum(
        samples.bad
        for group in (many_callers, one_caller)
        for samples in group.values()
    )
    return ratio >= TARGET_RATIO and not bad


def main():
    """Run the benchmark; return exit status 0 if its target was met."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        with Processes(directory, args.profile) as processes:
            target_met = run(processes)
        if args.profile:
            print((directory / "profile").read_text(), file=sys.stderr)
        errors = (directory / "errors").read_text()
        if errors and not target_met:
            print(errors, file=sys.stderr)
    return 0 if target_met else 1


if __name__ == "__main__":
    sys.exit(main())
