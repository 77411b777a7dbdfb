"""Checks that the platform's names are used in the adapter only."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent / "pomelograde"
# The stand-in imitates the platform and is not part of the product.
EXEMPT = (ROOT / "platform", ROOT / "standins" / "hosting")
NAMES = re.compile(
    r"rows-tx|rows-get|rows-feed|expectedRev|tombstone|nowMs|waitMs|txIdleMs|"
    r"apiKeys|ratePerS|routeType|maxStalenessMs|latencySloMs|maxConns|syncReplicas|"
    r"dbRole|coldRemainingMs|internalPorts|revokeMs|quotaSlack|quotaExcess|POMELOGRADE_NODE_FILE|"
    r"DATAROW|\bCOMPLETE |READONLY|LAGGING|MISROUTED|INDOUBT|NODATABASE|STEPDOWN|"
    r"Fencing-Token|Lease-Holder|\btenants?\b|\bmanifests?\b|\bback end"
)


class NameTests(testtools.TestCase):
    def test_platform_names_are_used_in_the_adapter_only(self):
        faults = []
        for path in sorted(ROOT.rglob("*.py")):
            if any(folder in path.parents for folder in EXEMPT):
                continue
            for number, line in enumerate(path.read_text("utf-8").splitlines(), 1):
                if NAMES.search(line):
                    faults.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
        self.assertEqual([], faults)

    def test_only_the_composition_root_imports_the_adapter(self):
        found = [
            str(path.relative_to(ROOT))
            for path in sorted(ROOT.rglob("*.py"))
            if ROOT / "platform" not in path.parents
            and re.search(r"pomelograde\.platform\b", path.read_text("utf-8"))
        ]
        self.assertEqual(["daemon/hosted.py"], found)
