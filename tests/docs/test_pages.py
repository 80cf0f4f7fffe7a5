import ast
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import ErrorKind
from tools.reference import ACTIONS, PAGES, replace_tables

ROOT = Path(__file__).resolve().parent.parent.parent
TEST_NAME = re.compile(r"`(tests/[\w/]+\.py)(?:::(\w+))?(?:::(\w+))?`")


def names_in(path):
    """Return the classes of a test file and their methods."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.name: {item.name for item in node.body if isinstance(item, ast.FunctionDef)}
        for node in tree.body
        if isinstance(node, ast.ClassDef)
    }


class TablesTest(TestCase):
    def test_the_tables_are_those_of_the_code(self):
        self.assertThat({page.name for page in PAGES}, Equals({"OPERATIONS.md", "INTERFACES.md"}))
        for page, tables in PAGES.items():
            text = page.read_text(encoding="utf-8")
            self.assertThat(replace_tables(text, tables), Equals(text))

    def test_every_kind_says_what_to_do(self):
        self.assertThat(set(ACTIONS), Equals(set(ErrorKind)))


class NamedTestsTest(TestCase):
    """Tests that a page names exist."""

    def test_all_exist(self):
        missing = []
        for page in (ROOT / "docs").rglob("*.md"):
            for file, cls, method in TEST_NAME.findall(page.read_text(encoding="utf-8")):
                if not self.exists(ROOT / file, cls, method):
                    missing.append(f"{page.name}: {file}::{cls}::{method}")
        self.assertThat(missing, Equals([]))

    def exists(self, path, cls, method):
        if not path.exists():
            return False
        names = names_in(path) if cls else {}
        return not cls or (cls in names and (not method or method in names[cls]))
