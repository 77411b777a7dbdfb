"""A daemon that has a fault strike when it reaches a named step."""

import json
import os
import pathlib
import signal
import sys

from measure import steps
from pomelograde.daemon import main as daemon_main
from pomelograde.standins import http

POST_TIMEOUT_S = 2.0


class Striker:
    """Strikes once, in the first instance of a fleet that reaches the step.

    Parameters
    ----------
    plan : dict
        The step, a file that marks that the fault has struck, and either the
        name of a signal for this process or posts for control addresses.
    """

    def __init__(self, plan):
        self.plan = plan
        self.wanted = steps.StepName(*plan["step"])
        self.struck = False

    def on_step(self, step):
        """Strike if the step is the wanted one."""
        if self.struck or step != self.wanted:
            return
        mark = pathlib.Path(self.plan["mark"])
        if not mark.with_suffix(".armed").exists():
            return
        self.struck = True
        if self._is_first(mark):
            self._strike()

    def _is_first(self, mark):
        try:
            handle = os.open(mark, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
        except FileExistsError:
            return False
        os.write(handle, str(os.getpid()).encode("ascii"))
        os.close(handle)
        return True

    def _strike(self):
        for url, value in self.plan["posts"]:
            http.post(url, value, timeout_s=POST_TIMEOUT_S)
        if self.plan["signal"]:
            os.kill(os.getpid(), signal.Signals[self.plan["signal"]])


def main():
    """Watch the steps and run the daemon."""
    plan = json.loads(pathlib.Path(sys.argv.pop(1)).read_text("utf-8"))
    steps.watch(Striker(plan).on_step)
    daemon_main.main()


if __name__ == "__main__":
    main()
