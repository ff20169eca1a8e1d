#!/usr/bin/env python3
"""Plays the same days with the same seeds on two checkouts and compares what callers were served.

    scripts/paired-days.py --bench PROGRAM --base DIR --change DIR --site FILE [--site FILE ...]
        [--days quiet-1,trouble-1] [--seeds 1-20] [--small] [--jobs 4] --why TEXT

PROGRAM is the users' bench; it is run in each checkout, builds it there and writes its entries to
the checkout's journal. Processor time isn't charged, so that a day repeats. Prints one row a day:
worth of both, the mean difference and the interval that 95 of 100 resamplings of its pairs fall in.
"""

import argparse
import concurrent.futures
import random
import statistics
import subprocess

# Resamplings of the pairs for the interval; more don't move its third digit.
RESAMPLINGS = 2_000

# The longest that one day may take to play, in seconds.
LONGEST_DAY_S = 1_200


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--base", required=True)
    parser.add_argument("--change", required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    parser.add_argument("--seeds", default="1-20")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True)
    return parser.parse_args()


def worth(options, checkout, site, day, seed):
    """Plays one day; returns its worth, or None with the reason printed where it has none."""
    command = [options.bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1"]
    command += ["--small"] if options.small else []
    command += ["--why", options.why]
    run = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, timeout=LONGEST_DAY_S
    )
    for line in run.stdout.splitlines():
        words = line.split()
        if words[:1] == [day] and len(words) > 4:
            return float(words[3])
    print(f"{checkout} {day} seed {seed}: no figure\n{run.stdout[-600:]}{run.stderr[-300:]}")
    return None


def interval(differences):
    """The 95 % interval of the mean difference, by bootstrap."""
    draw = random.Random(1)
    count = len(differences)
    means = sorted(
        statistics.fmean(draw.choices(differences, k=count)) for _ in range(RESAMPLINGS)
    )
    return means[RESAMPLINGS * 25 // 1000], means[RESAMPLINGS * 975 // 1000]


def row(name, pairs):
    differences = [change - base for base, change in pairs]
    low, high = interval(differences)
    base = statistics.fmean(base for base, _ in pairs)
    change = statistics.fmean(change for _, change in pairs)
    mean = statistics.fmean(differences)
    print(f"{name:42} {len(pairs):3}  {base:.3f}  {change:.3f}  {mean:+.3f}  [{low:+.3f}, {high:+.3f}]")


def main():
    options = arguments()
    first, last = (int(part) for part in options.seeds.split("-"))
    for checkout in (options.base, options.change):
        subprocess.run([options.bench, "build"], cwd=checkout, check=True, capture_output=True)
    plays = [
        (site, day, seed)
        for site in options.site
        for day in options.days.split(",")
        for seed in range(first, last + 1)
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        def begin(checkout):
            return [pool.submit(worth, options, checkout, *play) for play in plays]

        both = list(zip(plays, begin(options.base), begin(options.change)))
        played = [(play, base.result(), change.result()) for play, base, change in both]
    print(f"{'day':42} {'n':>3}  base   change diff    95 % of resamplings")
    rows = {}
    for (site, day, _), base, change in played:
        if base is not None and change is not None:
            name = f"{site.rsplit('/', 1)[-1].removesuffix('.toml')} {day}"
            rows.setdefault(name, []).append((base, change))
    for name, pairs in rows.items():
        row(name, pairs)
    row("all", [pair for pairs in rows.values() for pair in pairs])


if __name__ == "__main__":
    main()
