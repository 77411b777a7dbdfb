"""Tests of the identifier of a build."""

import pathlib
import sys
import tempfile

import testtools

import pomelograde
from pomelograde.daemon import build_id


class BuildIdTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.package = pathlib.Path(folder.name)

    def test_every_change_of_the_sources_changes_it(self):
        identifiers = set()
        for name, text in (
            ("a.py", "x = 1"),
            ("a.py", "x = 2"),
            ("b.capnp", "x = 2"),
            ("c/d.py", ""),
            ("notes.txt", "not a source"),
        ):
            path = self.package / name
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding="utf-8")
            identifiers.add(build_id.compute(self.package))
        self.assertEqual(4, len(identifiers))
        for found in identifiers:
            self.assertIn(f"{pomelograde.__version__}+", found)

    def test_identifier_that_the_deploy_build_wrote_is_used(self):
        build_id.main([str(self.package / f"{build_id.MODULE}.py")])
        written = self.package / f"{build_id.MODULE}.py"
        self.assertIn(build_id.compute(), written.read_text("utf-8"))
        written.write_text('IDENTIFIER = "0.1.0+written"\n', encoding="utf-8")
        sys.path.insert(0, str(self.package))
        self.addCleanup(sys.path.remove, str(self.package))
        self.addCleanup(sys.modules.pop, build_id.MODULE, None)
        self.assertEqual("0.1.0+written", build_id.read())

    def test_checkout_without_it_computes_it(self):
        self.assertEqual(build_id.compute(), build_id.read())
