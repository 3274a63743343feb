#!/bin/sh
# Checks what the scripts of review/11 to review/15 need. Their stand-ins are
# Python files that are run as they are: review/standins_3.py and, of the
# project's own, testsuite/platform_standin.py.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "testsuite"); import platform_standin'
test -x target/guavacross
