"""Program that a hosting platform runs in the repository root to start an instance."""

import gc
import importlib

from pomelograde.daemon import hangup


def main():
    """Run an instance.

    Notes
    -----
    Loading the modules makes many objects and hardly any garbage, so that
    collections meanwhile would take a fifth of the processor time of a start.
    The objects are then left out of all later collections.
    """
    hangup.hold()
    gc.disable()
    hosted = importlib.import_module("pomelograde.daemon.hosted")
    gc.freeze()
    gc.enable()
    hosted.main()


if __name__ == "__main__":
    main()
