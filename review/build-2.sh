#!/bin/sh
# Builds the stand-ins of review/6 and later. They are Python without packages of their own, so that
# this only checks that they compile; the processes of the system come from the deploy file's build.
cd "$(dirname "$0")" || exit 2
for file in standins-2/bed.py [6-9]/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
