"""A database proxy with session consistency for fleets that share databases."""

__version__ = "0.1.0"
