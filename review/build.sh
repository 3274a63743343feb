#!/bin/sh
# The stand-ins are Python scripts and need no build; checks what they need.
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)' && python3 -m py_compile "$(dirname "$0")"/fixture.py "$(dirname "$0")"/*/case.py
