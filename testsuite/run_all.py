#!/usr/bin/env python3
"""Runs the unit tests and all integration cases of testsuite/.

The last line is `N passed, N failed`. Tests that KNOWN-RED.txt names are run
and printed but not counted as failed. Any other failure ends with exit code 1.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
# Number of lines printed from the end of a failed test's output.
TAIL_LINES = 40
# Longer than any case takes; a case that exceeds it counts as failed.
CASE_TIMEOUT_S = 300


def read_known_red():
    """Entries of KNOWN-RED.txt by test name.

    An entry starts with `TEST: `; its further lines are indented.
    """
    path = ROOT / "KNOWN-RED.txt"
    entries = {}
    for line in path.read_text().splitlines() if path.exists() else []:
        if entry := re.match(r"([\w-]+): (.*)", line):
            entries[entry[1]] = entry[2]
    return entries


def tail(text):
    return "\n".join("    " + line for line in text.splitlines()[-TAIL_LINES:])


def run_unit_tests(build):
    """Returns the number of passed unit tests and the names of failed ones."""
    program = build / "guavacross_unit_tests"
    run = subprocess.run([program], stdout=subprocess.PIPE, text=True)
    print(run.stdout, end="", flush=True)
    closing = re.search(r"(\d+) passed, (\d+) failed", run.stdout)
    if closing is None:
        return 0, ["unit-tests"]
    failed = re.findall(r"^(\w+) : (?!OK)", run.stdout, re.MULTILINE)
    if run.returncode != 0 and not failed:
        failed = ["unit-tests"]
    return int(closing[1]), failed


def run_case(case, build):
    """Runs one case; returns name, passed or not, output and duration in s."""
    start = time.monotonic()
    try:
        run = subprocess.run(
            [sys.executable, case / "run.py", "--build", build],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            timeout=CASE_TIMEOUT_S)
        passed, output = run.returncode == 0, run.stdout
    except subprocess.TimeoutExpired as hung:
        passed = False
        output = (hung.stdout or b"").decode(errors="replace")
        output += f"\ntimed out after {CASE_TIMEOUT_S} s"
    return case.name, passed, output, time.monotonic() - start


def print_case(name, passed, output, seconds):
    seed = re.search(r"seed \d+", output)
    verdict = "passed" if passed else "FAILED"
    print(f"{name}: {verdict}, {seconds:.1f} s, "
          f"{seed[0] if seed else 'no seed'}", flush=True)
    if passed:
        return
    print(tail(output))
    for log in sorted((ROOT / "testsuite" / name / "out").glob("*.log")):
        print(f"  {log.name}:\n{tail(log.read_text(errors='replace'))}")


def run_cases(cases, build, jobs):
    """Returns the number of passed cases and the names of failed ones."""
    passed_count, failed = 0, []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        runs = [pool.submit(run_case, case, build) for case in cases]
        for run in concurrent.futures.as_completed(runs):
            name, passed, output, seconds = run.result()
            print_case(name, passed, output, seconds)
            if passed:
                passed_count += 1
            else:
                failed.append(name)
    return passed_count, failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--jobs", type=int, default=4,
                        help="number of cases that run in parallel")
    parser.add_argument("--no-unit-tests", action="store_true")
    parser.add_argument("cases", nargs="*", help="cases to run; default all")
    options = parser.parse_args()
    build = pathlib.Path(options.build).resolve()

    passed, failed = 0, []
    if not options.no_unit_tests and not options.cases:
        passed, failed = run_unit_tests(build)
    cases = sorted(p.parent for p in ROOT.glob("testsuite/*/run.py"))
    if options.cases:
        cases = [case for case in cases if case.name in options.cases]
    more_passed, more_failed = run_cases(cases, build, options.jobs)
    passed, failed = passed + more_passed, failed + more_failed

    known_red = read_known_red()
    for name in failed:
        if name in known_red:
            print(f"known red: {name}: {known_red[name]}")
    for name in known_red:
        if name not in failed:
            print(f"listed as known red, but not failing: {name}")
    unexpected = [name for name in failed if name not in known_red]
    for name in unexpected:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
