"""Entry point of `pomelograded`."""

import click
from absl import flags, logging

from pomelograde.daemon import composition, hangup, reference, runner
from pomelograde.daemon import settings as settings_module
from pomelograde.net import faults, steady_reactor

LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@click.command(epilog="Exit codes: 0 stopped as asked, 1 a failure, 2 faulty settings.")
@click.option("--settings", "path", help="JSON file with the settings.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option(
    "--reference", "show_reference", is_flag=True, help="Print all settings and exit."
)
def main(path, check, show_reference):
    """Run one instance of the pomelograde database proxy.

    \b
    Examples:
      pomelograded --settings instance.json --check
      pomelograded --settings instance.json
      pomelograded --reference
    """
    hangup.hold()
    if show_reference:
        click.echo(reference.render(), nl=False)
        return
    if not path:
        raise click.UsageError("give --settings")
    settings = runner.settings_or_exit(settings_module.load(path))
    if check:
        click.echo("settings: ok")
        return
    run(settings)


def run(settings):
    """Run a daemon until a signal or an operator stops it.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LOG_LEVELS[settings.logging.level])
    if settings.logging.format == "json":
        logging.get_absl_handler().setFormatter(None)
    reactor = steady_reactor.install()
    daemon = composition.build(reactor, settings)
    faults.install(daemon.context.log)
    runner.run(reactor, daemon, daemon.reload_certificates)


if __name__ == "__main__":
    main()
