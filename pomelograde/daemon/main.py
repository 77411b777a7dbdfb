"""Entry point of `pomelograded`."""

import sys

import click
from absl import logging
from twisted.internet import defer, reactor
from twisted.python import log

from pomelograde.daemon import root
from pomelograde.daemon import settings as settings_module

EXIT_SETTINGS = 2

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@click.command(epilog="Exit codes: 0 stopped as asked, 1 a failure, 2 faulty settings.")
@click.option("--settings", "path", required=True, help="JSON file with the settings.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path, check):
    r"""Run one instance of the pomelograde database proxy.

    \b
    Examples:
      pomelograded --settings instance.json --check
      pomelograded --settings instance.json
    """
    loaded = settings_module.load(path)
    if loaded.is_err():
        for fault in loaded.err_value:
            click.echo(f"settings: {fault}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo("settings: ok")
        return
    run(loaded.ok_value)


def run(settings):
    """Run a daemon until it is told to stop.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[settings.logging.level])
    if settings.logging.format == "json":
        logging.get_absl_handler().setFormatter(None)
    log.PythonLoggingObserver("twisted").start()
    daemon = root.build(reactor, settings)
    failures = []

    def start():
        started = defer.ensureDeferred(daemon.start())
        started.addErrback(on_failure)

    def on_failure(reason):
        failures.append(reason)
        logging.error("%s", reason.getErrorMessage())
        reactor.stop()

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(daemon.stop())
    )
    reactor.run()
    if failures:
        sys.exit(1)


if __name__ == "__main__":
    main()
