"""Tests of what runs instances against the stand-in for the hosting platform."""

import pathlib
import tempfile

import testtools

from pomelograde.standins.hosting import fleets


class LogTests(testtools.TestCase):
    def test_record_that_is_being_written_is_read_once_it_is_whole(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "a.log"
        instance = fleets.Instance("a", None, 1, 2, 3, 4, path)
        with path.open("a") as log:
            log.write('{"name": "A"}\nnot a record\n{"name": "B')
            log.flush()
            self.assertEqual([{"name": "A"}], instance.read_log())
            log.write('"}\n')
        self.assertEqual([{"name": "A"}, {"name": "B"}], instance.read_log())
