#!/bin/sh
# Checks that the libraries of the deploy file's build serve the stand-ins that the cases start.
# The project's own stand-ins and those of `standins-3/` are Python and need nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.platform"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import ast, pathlib
for path in pathlib.Path('review').glob('standins-3/*.py'):
    ast.parse(path.read_text())"
