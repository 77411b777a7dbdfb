"""Prints responses as tables or as JSON."""

import json

import click
import rich.console
import rich.table

NO_VALUE = "-"

OUTPUT_OPTION = click.option(
    "-o",
    "--output",
    "output_format",
    type=click.Choice(["table", "json"]),
    default="table",
    help="Tables for people or JSON for programs.",
)


def echo_json(value):
    """Print a JSON value with indentation."""
    click.echo(json.dumps(value, indent=2))


def echo_json_line(value):
    """Print a JSON value on one line."""
    click.echo(json.dumps(value))


def echo_table(columns, rows):
    """Print rows as a table.

    Parameters
    ----------
    columns : list of str
        Headings.
    rows : list of list
        Cell values; None is shown as `NO_VALUE`.
    """
    table = rich.table.Table(*columns, box=None, header_style="bold")
    for row in rows:
        table.add_row(*[NO_VALUE if cell is None else str(cell) for cell in row])
    rich.console.Console(soft_wrap=True).print(table)


def echo_resources(items):
    """Print resources of one kind as a table, without nested fields."""
    fields = sorted({name for item in items for name in item.get("spec") or {}})
    flat_fields = [name for name in fields if not _is_nested(items, name)]
    columns = ["name", "version", *flat_fields, "status"]
    echo_table(
        columns,
        [
            [
                item["name"],
                item.get("resourceVersion"),
                *[(item.get("spec") or {}).get(name) for name in flat_fields],
                format_status(item.get("status", {})),
            ]
            for item in items
        ],
    )


def format_status(status):
    """Return a status as one line of text."""
    conditions = status.get("conditions")
    if conditions:
        return ", ".join(_format_condition(condition) for condition in conditions)
    return " ".join(f"{name}={value}" for name, value in status.items())


def _format_condition(condition):
    text = condition["type"]
    if condition["status"] != "True":
        text = f"not {text}"
    if "of" in condition:
        text += f" {condition['instances']}/{condition['of']}"
    return text


def _is_nested(items, name):
    values = [(item.get("spec") or {}).get(name) for item in items]
    return any(isinstance(value, list | dict) for value in values)
