"""Runs a daemon that injects a fault when it enters a given protocol step.

``python -m measure.step_faults PLAN [DAEMON ARGUMENTS]``
"""

import json
import os
import pathlib
import signal
import sys

from measure import steps
from pomelograde.daemon import main as daemon_main
from pomelograde.standins import http

POST_TIMEOUT_S = 2.0


class StepFaultInjector:
    """Injects a fault once, in the first instance of a fleet to enter the step.

    Parameters
    ----------
    plan : dict
        ``step``: protocol and step. ``mark``: path of the file that the injecting
        instance creates; nothing is injected before the file of the same name
        with the suffix ``.armed`` exists. ``posts``: URLs of control addresses
        and values to post. ``signal``: name of a signal for this process, or
        empty.
    """

    def __init__(self, plan):
        self.plan = plan
        self.target_step = steps.StepName(*plan["step"])
        self.is_done = False

    def on_step(self, step):
        """Inject the fault if this is the step of the plan and the plan is armed."""
        if self.is_done or step != self.target_step:
            return
        marker_path = pathlib.Path(self.plan["mark"])
        if not marker_path.with_suffix(".armed").exists():
            return
        self.is_done = True
        if self._is_first(marker_path):
            self._inject()

    def _is_first(self, marker_path):
        try:
            descriptor = os.open(marker_path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
        except FileExistsError:
            return False
        os.write(descriptor, str(os.getpid()).encode("ascii"))
        os.close(descriptor)
        return True

    def _inject(self):
        for url, value in self.plan["posts"]:
            http.post(url, value, timeout_s=POST_TIMEOUT_S)
        if self.plan["signal"]:
            os.kill(os.getpid(), signal.Signals[self.plan["signal"]])


def main():
    """Register the injector and run the daemon."""
    plan = json.loads(pathlib.Path(sys.argv.pop(1)).read_text("utf-8"))
    steps.watch(StepFaultInjector(plan).on_step)
    daemon_main.main()


if __name__ == "__main__":
    main()
