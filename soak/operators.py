"""An operator who replaces a key at intervals, and a caller who tries old keys."""

import copy
import itertools
import random
import threading
import time

import attrs

from pomelograde.standins.hosting import fleets, host
from soak import history

CHANGE_INTERVAL_S = 4.0
PROBE_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 8.0  # twice the longest time limit of a route


class Operator(threading.Thread):
    """Thread that writes configurations, each with another key of one account.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose store receives the configurations.

    Attributes
    ----------
    manifest : dict
        The last configuration.
    keys : list of KeyPeriod
        All keys so far; the last one is valid.
    stop_requested : threading.Event
        Ends the thread.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.manifest = copy.deepcopy(host.MANIFEST)
        self.keys = []
        self.lock = threading.Lock()
        self.stop_requested = threading.Event()

    def run(self):
        """Write configurations until `stop_requested` is set."""
        for number in itertools.count():
            self._replace_key(f"soak-key-{number}")
            if self.stop_requested.wait(CHANGE_INTERVAL_S):
                return

    def write_again(self):
        """Write the last configuration again, as after a return of the store."""
        with self.lock:
            self.fleet.put_manifest(self.manifest)

    def _replace_key(self, key):
        with self.lock:
            self.manifest["version"] += 1
            self.manifest["tenants"][1]["apiKeys"] = [host.OTHER_KEY, key]
            self.fleet.put_manifest(self.manifest)
            now = time.monotonic()
            if self.keys:
                self.keys[-1].withdrawn_at = now
            self.keys.append(KeyPeriod(key))


@attrs.define(eq=False)
class KeyPeriod:
    """A key and the time of its withdrawal.

    Attributes
    ----------
    key : str
        The key.
    withdrawn_at : float
        Monotonic time at which its withdrawal was acknowledged.
    """

    key: str
    withdrawn_at: float = float("inf")


class KeyProbe(threading.Thread):
    """Thread that sends statements with keys that were withdrawn a while ago.

    Parameters
    ----------
    operator : Operator
        Knows the keys.
    seed : int
        Seed of the order of keys and instances.
    ports : callable
        Returns the caller ports of all instances.
    observed : History
        Receives the uses of withdrawn keys that were served.
    """

    def __init__(self, operator, seed, ports, observed):
        super().__init__(daemon=True)
        self.operator = operator
        self.rng = random.Random(f"{seed}/keys")
        self.ports = ports
        self.observed = observed
        self.stop_requested = threading.Event()

    def run(self):
        """Try withdrawn keys until `stop_requested` is set."""
        while not self.stop_requested.wait(PROBE_INTERVAL_S):
            periods = [found for found in self.operator.keys if self._is_due(found)]
            if periods:
                self._try_key(self.rng.choice(periods[-2:]))

    def _is_due(self, period):
        return time.monotonic() > period.withdrawn_at + history.REVOCATION_S

    def _try_key(self, period):
        port = self.rng.choice(self.ports())
        sent_at = time.monotonic()
        try:
            with fleets.Caller(port, key=period.key) as caller:
                caller.socket.settimeout(ANSWER_TIMEOUT_S)
                answer = caller.query("READ k1")
        except OSError:  # the instance has been stopped by a fault
            return
        if answer[0].startswith("DATAROW"):
            use = history.KeyUse(period.key, sent_at, period.withdrawn_at)
            self.observed.key_uses.append(use)
