#!/usr/bin/env python3
"""Plays the same days with the same seeds on two trees and compares what callers got.

Usage:
  scripts/compare-days.py --bench PROGRAM --site FILE [--days quiet-1,trouble-1] [--seeds 11-18]
                          [--jobs 6] [--why TEXT] BEFORE AFTER

BEFORE and AFTER are folders with a checked-out tree each; `git worktree add DIR COMMIT` makes one.
`--save DIR` keeps the reports of AFTER; such a folder can stand for BEFORE later.
Processor time is not charged, so that two plays of equal code are nearly equal. Each row is a mean
of paired differences (AFTER less BEFORE) with its 95% interval; a day with a broken rule is named.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import subprocess
import sys
import tempfile

# Two-sided 95% quantiles of Student's t by degrees of freedom; above 30 the normal one is close.
T_95 = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13,
        2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04]
STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"


def options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--bench", required=True, help="the program that plays days")
    parser.add_argument("--site", required=True, help="the file of the deployment")
    parser.add_argument("--days", default=STANDARD_DAYS, help="names of days, or files with one each")
    parser.add_argument("--seeds", default="11-18", help="first and last seed")
    parser.add_argument("--jobs", type=int, default=6, help="plays at once")
    parser.add_argument("--why", default="paired comparison", help="line for the journal")
    parser.add_argument("--save", help="folder for the reports of AFTER")
    parser.add_argument("before")
    parser.add_argument("after")
    return parser.parse_args()


def play(opts, tree, day, seed, folder):
    """Plays one day, unless its report is there; returns the report, or None if there is none."""
    report = pathlib.Path(folder) / f"{pathlib.Path(day).stem}-{seed}.json"
    if report.exists():
        return json.loads(report.read_text())
    command = [opts.bench, "run", opts.site, day, "--seed", str(seed), "--no-cpu",
               "--report", str(report), "--why", opts.why]
    done = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    if not report.exists():
        print(f"{tree} {day} {seed}: no report\n{done.stdout[-400:]}{done.stderr[-400:]}", file=sys.stderr)
        return None
    return json.loads(report.read_text())


def played(opts, tree, days, seeds, save=None):
    """Reports by day and seed. Built first, so that the plays do not build at once."""
    has_tree = pathlib.Path(tree, "deploy").exists()
    if has_tree:
        subprocess.run([opts.bench, "build"], cwd=tree, check=True, capture_output=True)
    if save:
        pathlib.Path(save).mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch, \
            concurrent.futures.ThreadPoolExecutor(opts.jobs) as pool:
        folder = (save or scratch) if has_tree else tree
        plays = {(day, seed): pool.submit(play, opts, tree, day, seed, folder)
                 for day in days for seed in seeds}
        return {key: result.result() for key, result in plays.items()}


def figures(report):
    """What is compared of one play."""
    by_name = {part[0]: part[2] for part in report["parts"]}
    kinds = report["classes"]
    return {
        "worth": report["G"],
        **by_name,
        "prices": sum(price[2] for price in report["prices"]),
        "failed": sum(kind["failed"] for kind in kinds),
        "refused": sum(kind["refused"] for kind in kinds),
        "late": sum(kind["late"] for kind in kinds),
        "streams failed": sum(kind["failed"] + kind["refused"] for kind in kinds[:1]),
    }


def interval(values):
    """Mean and half the width of its 95% interval."""
    n = len(values)
    mean = sum(values) / n
    if n < 2:
        return mean, math.nan
    deviation = math.sqrt(sum((value - mean) ** 2 for value in values) / (n - 1))
    t = T_95[n - 2] if n - 2 < len(T_95) else 1.96
    return mean, t * deviation / math.sqrt(n)


def row(name, pairs):
    """One line: means before and after, and the mean difference."""
    before = sum(pair[0] for pair in pairs) / len(pairs)
    after = sum(pair[1] for pair in pairs) / len(pairs)
    mean, width = interval([pair[1] - pair[0] for pair in pairs])
    return f"{name:<16} {before:9.4f} {after:9.4f} {mean:+9.4f} +- {width:.4f}"


def main():
    opts = options()
    days = opts.days.split(",")
    first, last = (int(seed) for seed in opts.seeds.split("-"))
    seeds = range(first, last + 1)
    before = played(opts, opts.before, days, seeds)
    after = played(opts, opts.after, days, seeds, opts.save)
    keys = [key for key in before if before[key] and after[key]]
    pairs = {key: (figures(before[key]), figures(after[key])) for key in keys}
    print(f"{len(keys)} pairs of {pathlib.Path(opts.site).stem}")
    print(f"{'':<16} {'before':>9} {'after':>9} {'change':>9}")
    for day in days:
        of_day = [(b["worth"], a["worth"]) for key, (b, a) in pairs.items() if key[0] == day]
        if of_day:
            print(row(pathlib.Path(day).stem, of_day))
    trouble = [pair for key, pair in pairs.items() if not key[0].startswith("quiet")]
    for name in figures(before[keys[0]]):
        print(row(f"{name}", [(b[name], a[name]) for b, a in (trouble or pairs.values())]))
    for side, reports in (("before", before), ("after", after)):
        for (day, seed), report in reports.items():
            if report and report["breaks"]:
                print(f"broken {side}: {day} --seed {seed}: {report['breaks']}")


if __name__ == "__main__":
    main()
