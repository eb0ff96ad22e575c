#!/bin/sh
# Checks and compiles the stand-ins of the cases. They need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
python3 -m py_compile standins.py [1-9]/case.py
