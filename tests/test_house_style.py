"""Project conventions that the linter cannot check."""

import ast
import importlib.util
import pathlib
import re

import testtools

from pomelograde.core import retries
from pomelograde.net import events

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ("pomelograde", "tests", "measure")


def _sources():
    for package in PACKAGES:
        yield from sorted((ROOT / package).rglob("*.py"))


def _is_module(module, name):
    try:
        return importlib.util.find_spec(f"{module}.{name}") is not None
    except ModuleNotFoundError:
        return False
    except ValueError:
        # An imported module whose __spec__ is None.
        return True


class HouseStyleTests(testtools.TestCase):
    def test_imports_name_modules_only(self):
        violations = []
        for path in _sources():
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if not isinstance(node, ast.ImportFrom):
                    continue
                for alias in node.names:
                    # Twisted installs the reactor object in place of a module.
                    if (node.module, alias.name) == ("twisted.internet", "reactor"):
                        continue
                    if not _is_module(node.module, alias.name):
                        violations.append(f"{path.name}: {node.module}.{alias.name}")
        self.assertEqual([], violations)

    def test_core_has_no_input_or_output(self):
        banned = re.compile(
            r"^\s*(?:import|from) (?:socket|time|random|twisted|os|threading)\b",
            re.MULTILINE,
        )
        violations = [
            path.name
            for path in sorted((ROOT / "pomelograde" / "core").rglob("*.py"))
            if banned.search(path.read_text("utf-8"))
        ]
        self.assertEqual([], violations)

    def test_every_event_is_in_the_catalogue(self):
        text = (ROOT / "docs" / "EVENTS.md").read_text("utf-8")
        catalogue = dict(re.findall(r"^\| (\d+) \| `(\w+)`", text, re.MULTILINE))
        expected = {str(event.value): event.name for event in events.Event}
        self.assertEqual(expected, catalogue)

    def test_every_module_has_a_docstring(self):
        violations = [
            str(path)
            for path in _sources()
            if not ast.get_docstring(ast.parse(path.read_text("utf-8")))
        ]
        self.assertEqual([], violations)

    def test_every_refusal_is_on_the_operators_page(self):
        text = (ROOT / "docs" / "operators" / "refusals.md").read_text("utf-8")
        pattern = r"^\| `(\w+)` \| (\w+) \| ([a-z ]+) \|"
        page = re.findall(pattern, text, re.MULTILINE)
        expected = [
            (kind.value, answer.sqlstate, answer.execution.value)
            for kind, answer in retries.ANSWERS.items()
        ]
        self.assertEqual(sorted(expected), sorted(page))
