"""Identification of the sources that a process runs.

The deploy build writes the identifier into a module, so that it costs nothing at
the start of a process. A process that runs from a checkout has no such module.

    python3 -m pomelograde.daemon.build_id target/deps/pomelograde_build.py
"""

import hashlib
import importlib
import pathlib
import sys

import pomelograde

MODULE = "pomelograde_build"
DIGEST_CHARACTERS = 12
SUFFIXES = (".py", ".capnp")


def compute(package=None):
    """Return the version with a digest of the sources, as in "0.1.0+3f9c04d1a7e2".

    Parameters
    ----------
    package : pathlib.Path or None
        Folder of the package; None for the one that runs.
    """
    package = package or pathlib.Path(__file__).parent.parent
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*")):
        if path.suffix in SUFFIXES:
            name = path.relative_to(package).as_posix()
            digest.update(f"{name}\0{path.stat().st_size}\0".encode())
            digest.update(path.read_bytes())
    return f"{pomelograde.__version__}+{digest.hexdigest()[:DIGEST_CHARACTERS]}"


def read():
    """Return the identifier that the deploy build wrote, or compute it."""
    try:
        return importlib.import_module(MODULE).IDENTIFIER
    except ModuleNotFoundError:
        return compute()


def main(arguments):
    """Write the module for the deploy build to a path."""
    path = pathlib.Path(arguments[0])
    path.write_text(f'IDENTIFIER = "{compute()}"\n', encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
