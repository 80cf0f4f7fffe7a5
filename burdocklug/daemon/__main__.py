"""Runs the daemon as ``python -m burdocklug.daemon``."""

import sys

from burdocklug.daemon import main

sys.exit(main())
