"""Entry point of `pomelograded`."""

import signal
import sys

import click
from absl import flags, logging
from twisted.internet import defer

from pomelograde.daemon import reference, root
from pomelograde.daemon import settings as settings_module
from pomelograde.net import events, faults, steady_reactor

EXIT_SETTINGS = 2

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@click.command(epilog="Exit codes: 0 stopped as asked, 1 a failure, 2 faulty settings.")
@click.option("--settings", "path", help="JSON file with the settings.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option("--reference", "show", is_flag=True, help="Print all settings and exit.")
def main(path, check, show):
    """Run one instance of the pomelograde database proxy.

    \b
    Examples:
      pomelograded --settings instance.json --check
      pomelograded --settings instance.json
      pomelograded --reference
    """
    if show:
        click.echo(reference.render(), nl=False)
        return
    if not path:
        raise click.UsageError("give --settings")
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
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[settings.logging.level])
    if settings.logging.format == "json":
        logging.get_absl_handler().setFormatter(None)
    reactor = steady_reactor.install()
    daemon = root.build(reactor, settings)
    faults.install(daemon.context.log)
    failures = []

    def start():
        started = defer.ensureDeferred(daemon.start())
        started.addErrback(on_failure)

    def on_failure(reason):
        failures.append(reason)
        daemon.context.log.write(
            events.Event.DAEMON_FAILED,
            error=reason.type.__name__,
            reason=reason.getErrorMessage(),
        )
        reactor.stop()

    def on_hangup(number, frame):
        reactor.callFromThread(daemon.reload_certificates)

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, on_hangup)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(daemon.stop())
    )
    reactor.run()
    if failures:
        sys.exit(1)


if __name__ == "__main__":
    main()
