#!/bin/sh
# The stand-ins of review/11 to review/15 are Python files that are run as they
# are: standins_3.py, with the project's own testsuite/platform_standin.py, and
# support_2.py and tenant_cut_2.py of the second review. There is nothing to
# build; this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'END'
import ast
import pathlib

paths = [pathlib.Path("testsuite/platform_standin.py")]
paths += [pathlib.Path("review") / name for name in (
    "standins_3.py", "support_2.py", "tenant_cut_2.py")]
paths += [pathlib.Path("review") / str(number) / "case.py"
          for number in range(11, 16)]
for path in paths:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
END
