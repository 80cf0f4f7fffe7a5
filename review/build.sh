#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: plain Python of the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
