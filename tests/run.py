"""Runs the tests and prints the number of passed and failed tests at the end.

Failures of tests listed in KNOWN-RED.txt are printed and counted as failed, but
do not change the exit code.
"""

import pathlib
import re
import sys

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
WORKERS = "6"


class Counter:
    """Pytest plugin that collects the outcomes of tests.

    Attributes
    ----------
    passed, failed : set of str
        Test ids.
    """

    def __init__(self):
        self.passed = set()
        self.failed = set()

    def pytest_runtest_logreport(self, report):
        """Record the outcome of a test; failures in setup and teardown count."""
        if report.failed:
            self.failed.add(report.nodeid)
            self.passed.discard(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report):
        """Record a file that could not be collected as failed."""
        if report.failed:
            self.failed.add(report.nodeid)


def read_known_red(path=KNOWN_RED):
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not path.exists():
        return set()
    return set(re.findall(r"^(tests/\S+::\S+)", path.read_text("utf-8"), re.MULTILINE))


def main(arguments):
    """Run the tests with pytest arguments and return the exit code."""
    counter = Counter()
    workers = [] if "-n" in arguments else ["-n", WORKERS, "--dist", "loadgroup"]
    pytest.main([*workers, *arguments], plugins=[counter])
    known = {_strip_group(name) for name in counter.failed} & read_known_red()
    for name in sorted(known):
        print(f"known red: {name}")
    unexpected = {name for name in counter.failed if _strip_group(name) not in known}
    print(f"{len(counter.passed)} passed, {len(counter.failed)} failed")
    return 1 if unexpected or not counter.passed else 0


def _strip_group(name):
    """Remove the group that xdist's loadgroup distribution appends to an id."""
    return name.split("@", 1)[0]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
