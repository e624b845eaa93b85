#!/bin/sh
# Builds the stand-ins that the scripts start. They are all in review/common/rig.py and in the run.py of each
# case, in Python's standard library only; no program of the project but the entry daemon is started.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 2; }
for file in common/rig.py [0-9]*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
