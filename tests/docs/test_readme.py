"""The README's process by hand runs as it stands, on other ports."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from standins.launch import launch
from standins.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
FILE = re.compile(r"```yaml\n# (\S+)\n(.*?)```", re.DOTALL)
COMMANDS = re.compile(r"```sh\n(.*?)```", re.DOTALL)
PROGRAM = re.compile(r"\.venv/bin/python -m (\S+) (.*?) &\n")
PORT = re.compile(r"(?<=127\.0\.0\.1:)\d+")
PYTHON_EXAMPLE = re.compile(r"From Python:\n\n((?:    .*\n|\n)+)")
TIMEOUT_S = 60


class ByHandTest(TestCase):
    def setUp(self):
        super().setUp()
        page = (ROOT / "README.md").read_text(encoding="utf-8")
        numbers = sorted(set(PORT.findall(page)))
        ports = dict(zip(numbers, map(str, free_ports(len(numbers))), strict=True))
        self.page = PORT.sub(lambda match: ports[match.group()], page)
        self.directory = Path(tempfile.mkdtemp(prefix="burdocklug-"))
        for name, text in FILE.findall(self.page):
            (self.directory / name).write_text(text, encoding="utf-8")
        self.programs, self.commands = COMMANDS.findall(self.page)

    def start_programs(self):
        found = PROGRAM.findall(self.programs)
        self.assertThat(len(found), Equals(self.programs.count("\n")))
        for module, arguments in found:
            words = [
                str(self.directory / word) if ".yaml" in word else word
                for word in arguments.split()
            ]
            listens = PORT.findall(arguments) or PORT.findall(
                self.page[self.page.index("operators:") :]
            )
            child = launch(module, *words, health=f"127.0.0.1:{listens[0]}")
            self.addCleanup(child.kill)
        return child

    def run_shell(self, text):
        script = "shopt -s expand_aliases\n" + text.replace(".venv/bin/python", sys.executable)
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        return subprocess.run(
            ["bash", "-ec", script],
            cwd=self.directory,
            env=env,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    def test_its_commands_and_its_python(self):
        daemon = self.start_programs()
        code = "".join(
            line[4:] for line in PYTHON_EXAMPLE.search(self.page).group(1).splitlines(True)
        )
        *before, last = self.commands.strip().splitlines()
        done = self.run_shell("\n".join(before))
        self.assertThat((done.returncode, done.stderr), Equals((0, "")))
        for part in ("ticket 1: accepted", "1 results", "complete: 15", "process: freistadt-1"):
            self.assertThat(done.stdout, Contains(part))
        client = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertThat(client.stdout, Contains("'value': 4"))
        head = "\n".join(line for line in before if not line.startswith("burdocklug "))
        self.assertThat(self.run_shell(f"{head}\n{last}").returncode, Equals(0))
        self.assertThat(daemon.wait(TIMEOUT_S), Equals(0))
