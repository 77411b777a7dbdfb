"""Entry point of ``python -m measure``."""

from measure import cli

if __name__ == "__main__":
    cli.main()
