#!/usr/bin/env python3
"""Guards against examples in docs/CALLERS.md that no longer work: runs each
curl line of the page and checks its output."""

import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness
from harness import check

PAGE = harness.ROOT / "docs" / "CALLERS.md"

# Text that the output of each line must contain, in the page's order.
EXPECTED = ('"addresses"', "no-id", "no-id", "order-4711",
            "Guavacross-Reason: key-missing")

with harness.Case(__file__) as case:
    case.start_platform({"catalog": 2})
    instance, = case.start_instances(1)
    case.publish(harness.Service("catalog"))
    lines = [line.strip() for line in PAGE.read_text().splitlines()
             if line.startswith("    curl ")]
    check(len(lines) == len(EXPECTED),
          f"{len(lines)} curl lines on the page, expected {len(EXPECTED)}")
    for line, expected in zip(lines, EXPECTED):
        with case.section(line):
            done = subprocess.run(
                ["sh", "-c", line.replace("$ENTRY", instance.callers)],
                stdout=subprocess.PIPE, text=True, timeout=30)
            check(done.returncode == 0 and expected in done.stdout,
                  f"{done.returncode}: {done.stdout}")
