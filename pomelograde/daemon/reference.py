"""The page that documents all settings, made from their classes."""

import inspect
import re
import typing

import attrs

from pomelograde.daemon import settings

TYPE_NAMES = {bool: "true or false", int: "whole number", float: "number", str: "text"}

HEADER = """# Settings

`pomelograded --settings FILE` reads one JSON object. All faults are reported \
together, each with the place of its field; an unknown field is a fault. \
`--check` only checks. This page is made by `pomelograded --reference`.

A secret may be given in a file of its own: `upstream.password_file` and \
`operators[].token_file`. Certificates towards callers and operators are loaded \
again on SIGHUP and when their files change.
"""


def render():
    """Return the page in Markdown."""
    return HEADER + "".join(_render_class(settings.Settings, "$"))


def _render_class(cls, path):
    attrs.resolve_types(cls)
    texts = _descriptions(cls)
    title = "Top level" if path == "$" else f"`{path.removeprefix('$.')}`"
    yield f"\n## {title}\n\n{inspect.getdoc(cls).splitlines()[0]}\n\n"
    yield "| field | type | default | meaning |\n|---|---|---|---|\n"
    nested = []
    for field in attrs.fields(cls):
        inner = _inner_class(field.type)
        if inner is not None:
            suffix = "[]" if inner is not field.type else ""
            nested.append((inner, f"{path}.{field.name}{suffix}"))
        yield (
            f"| `{field.name}` | {_type_name(field.type)} | {_default(field)} "
            f"| {texts[field.name]} |\n"
        )
    for inner, inner_path in nested:
        yield from _render_class(inner, inner_path)


def _descriptions(cls):
    """Return the description of each attribute in a class's docstring."""
    _, _, section = inspect.getdoc(cls).partition("Attributes\n----------\n")
    found = {}
    names = []
    for line in section.splitlines():
        head = re.fullmatch(r"([\w, ]+) : .*", line)
        if head:
            names = head[1].split(", ")
            found.update(dict.fromkeys(names, ""))
        elif line.strip():
            for name in names:
                found[name] = f"{found[name]} {line.strip()}".strip()
    return found


def _inner_class(kind):
    if typing.get_origin(kind) is list:
        kind = typing.get_args(kind)[0]
    return kind if attrs.has(kind) else None


def _type_name(kind):
    if typing.get_origin(kind) is list:
        return "list of objects"
    return TYPE_NAMES.get(kind, "object")


def _default(field):
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "empty"
    if attrs.has(type(field.default)):
        return "its defaults"
    if field.default == "":
        return "empty"
    shown = {True: "true", False: "false"}
    if isinstance(field.default, bool):
        return shown[field.default]
    return f"`{field.default}`"
