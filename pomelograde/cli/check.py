"""The command that checks a configuration before it is sent."""

import importlib
import json
import sys

import click

from pomelograde.cli import _json_lines, output
from pomelograde.cli import client as client_module
from pomelograde.core import resources, review

EXIT_FAULTY = 1


@click.command()
@click.argument("path", type=click.Path(exists=True, allow_dash=True, dir_okay=False))
@click.option(
    "--against",
    "address",
    help="Where to read the configuration in force: the operators' address of an "
    "instance, or the address of the hosting platform's store.",
)
@click.option("--strict", is_flag=True, help="Count warnings as errors.")
@output.OUTPUT_OPTION
@click.pass_context
def check(context, path, address, strict, output_format):
    """Check a configuration before it is sent.

    The file holds resources, as `apply` takes them, or the document of a hosting
    platform. Without --against no instance has to run. Exit code 0: no error,
    1: at least one.

    \b
    Examples:
      pomelogradectl check accounts.json
      pomelogradectl check accounts.json --against http://10.0.0.1:8432
      pomelogradectl check document.json --against 10.200.1.7:8466 -o json
    """
    with click.open_file(path, encoding="utf-8", errors="replace") as file:
        text = file.read()
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as fault:
        findings = [review.Finding(review.Severity.ERROR, "$", f"not JSON: {fault}")]
        changes = None
    else:
        # Loaded here, since it takes half a second and other commands don't need it.
        hosted = importlib.import_module("pomelograde.daemon.hosted")
        documents = hosted.document_adapter()
        if documents.is_document(document):
            findings, changes = _check_document(documents, text, address)
        else:
            findings, changes = _check_resources(context, document, address)
    lines = _json_lines.find_lines(text)
    if output_format == "json":
        output.echo_json(_describe(findings, changes, lines))
    else:
        _echo(findings, changes, lines)
    fatal = {review.Severity.ERROR} | ({review.Severity.WARNING} if strict else set())
    if any(finding.severity in fatal for finding in findings):
        sys.exit(EXIT_FAULTY)


def _check_document(documents, text, address):
    configuration, entries, faults = documents.decode(text)
    findings = [*faults, *review.review_fleet(entries)]
    if address is None or configuration is None:
        return findings, None
    try:
        current = documents.read_in_force(address)
    except documents.UnreadableError as fault:
        raise client_module.UnreachableError(str(fault)) from fault
    return findings, review.compare_fleets(current, configuration)


def _check_resources(context, document, address):
    items = document
    if isinstance(document, dict):
        items = document.get("items", [document])
    if not isinstance(items, list):
        fault = "expected a resource or a list of resources"
        return [review.Finding(review.Severity.ERROR, "$", fault)], None
    current = resources.Configuration()
    if address is not None:
        current = _read_resources(context.obj(server=address))
    findings, configuration = resources.review_resources(items, current)
    if address is None:
        return findings, None
    return findings, resources.compare_resources(current, configuration)


def _read_resources(client):
    """Return the configuration in force at an instance."""
    configuration = resources.Configuration()
    for kind in resources.KINDS:
        for item in client.request("GET", f"/v1/{kind}")["items"]:
            spec = item["spec"]
            if kind == "keys":
                # An instance does not show verifiers.
                spec = {**spec, "verifier": _UNKNOWN_VERIFIER}
            checked = resources.validate(kind, spec)
            if checked.is_err():
                raise click.ClickException(
                    f"{kind}/{item['name']} of the instance can't be read: "
                    f"{'; '.join(checked.err_value)}"
                )
            revision = configuration.revision + 1
            configuration = configuration.apply(
                resources.Resource(kind, item["name"], checked.ok_value, revision)
            )
    return configuration


_UNKNOWN_VERIFIER = {"salt": "", "stored_key": "", "server_key": ""}


def _describe(findings, changes, lines):
    """Return the result as a JSON value."""
    described = {
        "findings": [
            {
                "severity": finding.severity.value,
                "path": finding.path,
                "line": _line_of(finding.path, lines),
                "message": finding.message,
            }
            for finding in findings
        ]
    }
    if changes is not None:
        described["changes"] = [
            {
                "subject": change.subject,
                "message": change.message,
                "effect": change.effect,
            }
            for change in changes
        ]
    return described


def _echo(findings, changes, lines):
    for finding in findings:
        line = _line_of(finding.path, lines)
        place = finding.path if line is None else f"line {line}, {finding.path}"
        click.echo(f"{finding.severity.value}: {place}: {finding.message}")
    for change in changes or ():
        effect = f" ({change.effect})" if change.effect else ""
        click.echo(f"change: {change.subject}: {change.message}{effect}")
    errors = sum(finding.severity is review.Severity.ERROR for finding in findings)
    click.echo(f"{errors} errors, {len(findings) - errors} warnings")


def _line_of(path, lines):
    """Return the line of the nearest place that the document has, or None."""
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path)
