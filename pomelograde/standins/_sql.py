"""Maps PostgreSQL to SQLite: SQL dialect, types and wire values."""

import functools
import re
import struct

import attrs
import pglast
import pglast.visitors

BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
FLOAT4 = 700
FLOAT8 = 701

_SIZES = {BOOL: 1, INT8: 8, INT2: 2, INT4: 4, FLOAT4: 4, FLOAT8: 8}
_BINARY = {
    BOOL: struct.Struct(">?"),
    INT2: struct.Struct(">h"),
    INT4: struct.Struct(">i"),
    INT8: struct.Struct(">q"),
    FLOAT4: struct.Struct(">f"),
    FLOAT8: struct.Struct(">d"),
}
_OID_BY_DECLARED_TYPE = (
    ("BOOL", BOOL),
    ("SERIAL", INT8),
    ("INT", INT8),
    ("REAL", FLOAT8),
    ("DOUBLE", FLOAT8),
    ("FLOAT", FLOAT8),
    ("NUMERIC", FLOAT8),
    ("BYTEA", BYTEA),
    ("BLOB", BYTEA),
)
_FUNCTION_RESULT_OIDS = {"count": INT8, "length": INT8, "sum": INT8, "total": FLOAT8}
_CALL = re.compile(r"(\w+)\s*\(")
_NAME = re.compile(r"[A-Za-z_]\w*$")
_SERIAL = re.compile(r"\b(?:BIG)?SERIAL\s+PRIMARY\s+KEY\b", re.IGNORECASE)
_CAST = re.compile(r"::\s*[a-zA-Z_][\w]*(?:\[\])?")
_PARAMETER = re.compile(r"\$(\d+)")
_CURRENT_USER = re.compile(r"\b(?:current_user|session_user)\b", re.IGNORECASE)
_CATALOG = re.compile(r"\bpg_catalog\.")
_NOW = re.compile(r"\bnow\(\)", re.IGNORECASE)
_FOR_UPDATE = re.compile(r"\bFOR\s+(?:UPDATE|SHARE)\b", re.IGNORECASE)
_WRITE = re.compile(
    r"^\s*(?:INSERT|UPDATE|DELETE|CREATE|DROP|ALTER|TRUNCATE|REPLACE)\b"
    r"|^\s*WITH\b.*\b(?:INSERT|UPDATE|DELETE)\b"
    r"|\bFOR\s+UPDATE\b|\bnextval\s*\(",
    re.IGNORECASE | re.DOTALL,
)


@attrs.frozen
class Column:
    """Name and type oid of a result column."""

    name: str
    oid: int

    @property
    def size(self):
        """Size of the type in bytes, or -1 where it varies."""
        return _SIZES.get(self.oid, -1)


@functools.lru_cache(maxsize=4096)
def is_write(sql):
    """Return whether a statement needs a primary."""
    return _WRITE.search(sql) is not None


@functools.lru_cache(maxsize=4096)
def to_sqlite(sql):
    """Translate a statement to SQLite's dialect."""
    sql = _SERIAL.sub("INTEGER PRIMARY KEY AUTOINCREMENT", sql)
    sql = _CAST.sub("", sql)
    sql = _CATALOG.sub("", sql)
    sql = _CURRENT_USER.sub("pg_current_user()", sql)
    sql = _NOW.sub("strftime('%Y-%m-%d %H:%M:%f','now')", sql)
    sql = _FOR_UPDATE.sub("", sql)
    return _PARAMETER.sub(r"?\1", sql)


@functools.lru_cache(maxsize=1024)
def split(text):
    """Split a text into its statements; one that cannot be parsed stays whole."""
    try:
        return tuple(part.strip() for part in pglast.split(text) if part.strip())
    except pglast.parser.ParseError:
        return (text.strip(),) if text.strip() else ()


def result_name(name):
    """Return the name PostgreSQL gives a result column, from the one SQLite gives."""
    function = _CALL.match(name)
    if function is not None:
        return function.group(1).lower()
    return name if _NAME.match(name) else "?column?"


def declared_oid(declared):
    """Return the type oid of a column's declared type."""
    upper = (declared or "").upper()
    for word, oid in _OID_BY_DECLARED_TYPE:
        if word in upper:
            return oid
    return TEXT


def value_oid(value):
    """Return the type oid of a Python value."""
    if isinstance(value, int):
        return INT8
    if isinstance(value, float):
        return FLOAT8
    if isinstance(value, bytes):
        return BYTEA
    return TEXT


def decode(data, oid, binary):
    """Return the Python value of a bound parameter."""
    if data is None:
        return None
    if binary and oid in _BINARY:
        return _BINARY[oid].unpack(data)[0]
    if binary and oid == BYTEA:
        return data
    text = data.decode("utf-8")
    if oid in (INT2, INT4, INT8):
        return int(text)
    if oid in (FLOAT4, FLOAT8):
        return float(text)
    if oid == BOOL:
        return text.lower() in ("t", "true", "1", "on")
    if oid == BYTEA and text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text


def encode(value, oid, binary):
    """Return the wire form of a result value."""
    if value is None:
        return None
    if binary and oid in _BINARY:
        number = float(value) if oid in (FLOAT4, FLOAT8) else int(value)
        return _BINARY[oid].pack(bool(number) if oid == BOOL else number)
    if isinstance(value, bytes):
        return value if binary else b"\\x" + value.hex().encode("ascii")
    if oid == BOOL:
        return b"t" if value else b"f"
    return str(value).encode("utf-8")


class Inference(pglast.visitors.Visitor):
    """Infers the types of parameters and result columns from the parse tree.

    Parameters
    ----------
    types : dict of str to int
        Type oid by column name.

    Attributes
    ----------
    parameters : dict of int to int
        Type oid by parameter number.
    columns : dict of str to int
        Type oid by result column name.
    """

    def __init__(self, types):
        self.types = types
        self.parameters = {}
        self.columns = {}

    def run(self, sql):
        """Visit a statement and return self; ignore one that cannot be parsed."""
        try:
            self(pglast.parse_sql(sql))
        except pglast.parser.ParseError:
            pass
        return self

    def visit_TypeCast(self, ancestors, node):  # noqa: N802
        """Infer the type of a parameter from its cast."""
        number = getattr(node.arg, "number", None)
        if number is not None:
            self.parameters[number] = declared_oid(node.typeName.names[-1].sval)

    def visit_A_Expr(self, ancestors, node):  # noqa: N802
        """Infer the type of a parameter from the column it is compared with."""
        for column_side, parameter_side in (
            (node.lexpr, node.rexpr),
            (node.rexpr, node.lexpr),
        ):
            fields = getattr(column_side, "fields", None)
            number = getattr(parameter_side, "number", None)
            if fields and number is not None:
                self._set_from_column(number, getattr(fields[-1], "sval", ""))

    def visit_InsertStmt(self, ancestors, node):  # noqa: N802
        """Infer the types of inserted parameters from their columns."""
        names = [target.name for target in node.cols or ()]
        for row in getattr(node.selectStmt, "valuesLists", None) or ():
            for name, value in zip(names, row, strict=False):
                number = getattr(value, "number", None)
                if number is not None:
                    self._set_from_column(number, name)

    def visit_SelectStmt(self, ancestors, node):  # noqa: N802
        """Infer integers for the parameters of LIMIT and OFFSET."""
        for part in (node.limitCount, node.limitOffset):
            number = getattr(part, "number", None)
            if number is not None:
                self.parameters.setdefault(number, INT8)

    def visit_ResTarget(self, ancestors, node):  # noqa: N802
        """Infer the types of assigned parameters and of returned columns."""
        number = getattr(node.val, "number", None)
        if number is not None and node.name:
            self._set_from_column(number, node.name)
        function = getattr(node.val, "funcname", None)
        if function:
            name = function[-1].sval
            self.columns[node.name or name] = _FUNCTION_RESULT_OIDS.get(name, TEXT)
        cast = getattr(node.val, "typeName", None)
        if cast is not None and node.name:
            self.columns[node.name] = declared_oid(cast.names[-1].sval)
        constant = getattr(getattr(node.val, "val", None), "ival", None)
        if constant is not None and node.name:
            self.columns[node.name] = INT8

    def _set_from_column(self, number, column):
        if column in self.types:
            self.parameters.setdefault(number, self.types[column])
