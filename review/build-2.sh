#!/bin/sh
# The stand-ins of the second review's scripts are Python programs of the standard library alone, so
# there is nothing to compile; this checks that they can be loaded. The entries come from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PROGRAM'
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sorted(glob.glob("common-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(name) as file:
        ast.parse(file.read(), name)
PROGRAM
