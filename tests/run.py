"""Runs all tests and prints a closing line that counts them.

Tests listed in KNOWN-RED.txt may fail; they are printed and counted as failed,
but do not make the run fail.
"""

import pathlib
import re
import sys

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
WORKERS = "6"


class Counter:
    """Counts the outcomes of tests.

    Attributes
    ----------
    passed, failed : set of str
        Test ids.
    """

    def __init__(self):
        self.passed = set()
        self.failed = set()

    def pytest_runtest_logreport(self, report):
        """Note one outcome."""
        if report.failed:
            self.failed.add(report.nodeid)
            self.passed.discard(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report):
        """Note a file that could not be collected."""
        if report.failed:
            self.failed.add(report.nodeid)


def read_known_red(path=KNOWN_RED):
    """Return the ids of the tests that are known to fail."""
    if not path.exists():
        return set()
    return set(re.findall(r"^(tests/\S+::\S+)", path.read_text("utf-8"), re.MULTILINE))


def main(arguments):
    """Run the tests; returns the exit code."""
    counter = Counter()
    workers = [] if "-n" in arguments else ["-n", WORKERS, "--dist", "loadgroup"]
    pytest.main([*workers, *arguments], plugins=[counter])
    known = {_bare(name) for name in counter.failed} & read_known_red()
    for name in sorted(known):
        print(f"known red: {name}")
    unexpected = {name for name in counter.failed if _bare(name) not in known}
    print(f"{len(counter.passed)} passed, {len(counter.failed)} failed")
    return 1 if unexpected or not counter.passed else 0


def _bare(name):
    return name.split("@", 1)[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
