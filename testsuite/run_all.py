#!/usr/bin/env python3
"""Runs the unit tests and every case of testsuite/."""

import argparse
import pathlib
import re
import subprocess
import sys


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    program = pathlib.Path(options.build).resolve() / "guavacross_unit_tests"
    run = subprocess.run([program], stdout=subprocess.PIPE, text=True)
    print(run.stdout, end="")
    closing = re.search(r"(\d+) passed, (\d+) failed", run.stdout)
    return 0 if run.returncode == 0 and closing else 1


if __name__ == "__main__":
    sys.exit(main())
