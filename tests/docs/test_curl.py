"""The curl examples of the interfaces page run as they stand."""

import os
import re
import subprocess
from pathlib import Path

from testtools.matchers import Contains, Equals

from tests.daemon.fleets import FleetTestCase

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "INTERFACES.md"
EXAMPLE = re.compile(r"```sh\n(.*?)```", re.DOTALL)


class CurlExamplesTest(FleetTestCase):
    EXPECTED = (
        ['"session":'],
        ['"state":"complete"', '"value":4'],
        ['"state":"complete"', '"status":"serving"', "burdocklug_jobs"],
    )

    def test_each_prints_what_the_page_says(self):
        examples = EXAMPLE.findall(PAGE.read_text(encoding="utf-8"))
        self.assertThat(len(examples), Equals(len(self.EXPECTED)))
        callers = f"http://{self.fleet.callers('north-1')}"
        for text, expected in zip(examples, self.EXPECTED, strict=True):
            done = subprocess.run(
                ["bash", "-ec", text],
                env={**os.environ, "CALLERS": callers},
                capture_output=True,
                text=True,
                timeout=30,
            )
            self.assertThat(done.returncode, Equals(0))
            for part in expected:
                self.assertThat(done.stdout, Contains(part))
