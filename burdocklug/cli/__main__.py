"""Runs the command line as ``python -m burdocklug.cli``."""

import sys

from burdocklug.cli import main

sys.exit(main())
