"""Regions and cold starts in a soak run: configuration, caller and checks."""

import collections
import random
import threading

from pomelograde.standins.hosting import fleets, host
from soak import history

HOMES = ("palermo", "agrigento")
HOME_DATABASE = "meters-home"
COLD_START_S = 4.0
COLD_RATE_PER_S = 20.0
COLD_LIMIT = COLD_RATE_PER_S * fleets.COLD_EXCESS + fleets.COLD_SLACK
PREFIX = "home-"
INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 8.0  # twice the longest time limit of a route


def configure(manifest):
    """Add a route that names regions, and the limit of cold members."""
    route = {
        **manifest["routes"][-1],
        "name": "r-home",
        "host": HOME_DATABASE,
        "allowedRegions": list(HOMES),
    }
    manifest["routes"].append(route)
    manifest["services"][0].update(coldStartS=COLD_START_S, coldPerS=COLD_RATE_PER_S)


class HomeCaller(threading.Thread):
    """Thread that sends statements over the route that names regions.

    Attributes
    ----------
    served : int
        Statements that were answered without an error.
    """

    def __init__(self, seed, ports):
        super().__init__(daemon=True)
        self.rng = random.Random(f"{seed}/homes")
        self.ports = ports
        self.served = 0
        self.number = 0
        self.stop_requested = threading.Event()

    def run(self):
        """Send statements until `stop_requested` is set."""
        while not self.stop_requested.wait(INTERVAL_S):
            try:
                self._send_some(self.rng.choice(self.ports()))
            except OSError:  # the instance has been stopped by a fault
                continue

    def _send_some(self, port):
        with fleets.Caller(port, database=HOME_DATABASE) as caller:
            caller.socket.settimeout(ANSWER_TIMEOUT_S)
            for text in ("READ k1", "WRITE home 1", "READ home"):
                self.number += 1
                answer = caller.query(text, f"{PREFIX}{self.number}")
                self.served += not answer[0].startswith(("ERROR", "closed"))


def check(members):
    """Return the guarantees that did not hold.

    Parameters
    ----------
    members : dict of str to dict
        States of the members by their data centre, as the stand-in shows them.
    """
    violations = []
    for zone, state in members.items():
        strays = [run[1] for run in state["runs"] if run[1].startswith(PREFIX)]
        if host.REGIONS[zone] not in HOMES and strays:
            detail = f"{strays[0]} and {len(strays) - 1} more ran in {zone}"
            violations.append(
                history.Violation("statements stay in their regions", detail)
            )
        most = most_in_a_second(entry[0] for entry in state["requests"])
        if most > COLD_LIMIT:
            detail = f"{most} requests in a second in {zone}, limit {COLD_LIMIT:g}"
            violations.append(history.Violation("cold members are spared", detail))
    return violations


def most_in_a_second(times):
    """Return the highest number of times within any one second."""
    window, most = collections.deque(), 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most
