"""SQLite database of one stand-in member."""

import pathlib
import sqlite3

from pomelograde.standins import _sql

CREATE_CATALOG_SQL = (
    "CREATE TABLE pg_type (oid BIGINT, typarray BIGINT, typname TEXT, "
    "typnamespace BIGINT)",
    "CREATE TABLE pg_namespace (oid BIGINT, nspname TEXT)",
    "CREATE TABLE pg_class (oid BIGINT, relname TEXT, relnamespace BIGINT, "
    "relkind TEXT)",
)


class Store:
    """Database file shared by the connections to one member.

    Parameters
    ----------
    directory : str
        Directory of the file.
    name : str
        Name of the member.
    """

    def __init__(self, directory, name):
        self.path = pathlib.Path(directory) / f"{name}.sqlite"
        self.writer = self.connect()
        self.writer.execute("PRAGMA journal_mode=WAL")
        for statement in CREATE_CATALOG_SQL:
            self.writer.execute(statement)
        self.version = 0
        self.cached_types = None

    def connect(self, user="replication"):
        """Open a connection that reports `user` as the current database role."""
        connection = sqlite3.connect(
            self.path, isolation_level=None, check_same_thread=False, timeout=0.0
        )
        connection.execute("PRAGMA synchronous=OFF")
        connection.create_function("pg_current_user", 0, lambda: user)
        connection.create_function("current_schema", 0, lambda: "public")
        connection.create_function("current_database", 0, lambda: "main")
        connection.create_function("version", 0, lambda: "PostgreSQL 15.0 stand-in")
        return connection

    def replay(self, statements):
        """Apply the statements of one log entry."""
        if not statements:
            return
        self.writer.execute("BEGIN IMMEDIATE")
        for sql, parameters, user in statements:
            self.writer.create_function("pg_current_user", 0, lambda user=user: user)
            self.writer.execute(sql, parameters).fetchall()
        self.writer.execute("COMMIT")
        self.cached_types = None

    def copy_from(self, other):
        """Replace the contents by those of another member's store."""
        other.writer.backup(self.writer)
        self.cached_types = None

    def types(self):
        """Return the type oid by column name, over all tables."""
        if self.cached_types is None:
            self.cached_types = self._read_types()
        return self.cached_types

    def close(self):
        """Close the connection that replays the log."""
        self.writer.close()

    def _read_types(self):
        types_by_column = {}
        rows = self.writer.execute(
            "SELECT name FROM sqlite_master "
            "WHERE type = 'table' AND name NOT LIKE 'pg\\_%' ESCAPE '\\'"
        ).fetchall()
        for (table,) in rows:
            for row in self.writer.execute(f'PRAGMA table_info("{table}")').fetchall():
                types_by_column.setdefault(row[1], _sql.declared_oid(row[2]))
        return types_by_column
