"""Runs a case of the second review. A case that can't run for a fault of its own
ends with 2, so that this isn't taken for a broken rule."""

import runpy
import sys
import traceback

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except SystemExit:
    raise
except BaseException:
    traceback.print_exc()
    sys.exit(2)
