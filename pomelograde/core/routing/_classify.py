"""Classes of SQL statements."""

import enum

import attrs
import pglast
import pglast.visitors

MAX_CACHED_TEXT_BYTES = 4096
MAX_CACHED_TEXTS = 4096
PROXY_PREFIX = "pomelograde."

_WRITING_FUNCTIONS = frozenset(
    {
        "nextval",
        "setval",
        "set_config",
        "pg_notify",
        "txid_current",
        "pg_current_xact_id",
    }
)
_WRITING_PREFIXES = ("pg_advisory", "pg_try_advisory", "lo_", "dblink")


class StatementClass(enum.Enum):
    """What a statement asks of the proxy."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PROXY_SET = "proxy_set"
    PROXY_SHOW = "proxy_show"
    UNSUPPORTED = "unsupported"
    EMPTY = "empty"


@attrs.frozen
class Statement:
    """A classified statement text.

    Attributes
    ----------
    statement_class : StatementClass
        Class of the whole text; the most demanding one of several statements.
    name : str
        Setting that SET or SHOW names, or the reason why it is unsupported.
    value : str or None
        Value that SET gives.
    """

    statement_class: StatementClass
    name: str = ""
    value: str | None = None


class Classifier:
    """Classifies statement texts and remembers the answers.

    Parameters
    ----------
    max_texts : int
        Number of remembered texts.

    Notes
    -----
    Texts are remembered as they stand and by the fingerprint of their parse
    tree. A fingerprint drops constants, so only classes that do not depend on
    a constant are remembered by it. `set_config` is a write whatever it sets.
    """

    def __init__(self, max_texts=MAX_CACHED_TEXTS):
        self.max_texts = max_texts
        self.by_text = {}
        self.by_fingerprint = {}

    def classify(self, text):
        """Return the `Statement` for a text of SQL.

        Parameters
        ----------
        text : bytes
            Statement text in UTF-8.

        Returns
        -------
        Statement
            A text that can't be parsed is a WRITE, so that the primary
            reports the error.
        """
        known = self.by_text.get(text)
        if known is not None:
            return known
        statement = self._classify_new(text)
        if len(text) <= MAX_CACHED_TEXT_BYTES:
            _remember(self.by_text, text, statement, self.max_texts)
        return statement

    def _classify_new(self, text):
        decoded = text.decode("utf-8", "replace")
        try:
            fingerprint = pglast.parser.fingerprint(decoded)
        except pglast.parser.ParseError:
            return Statement(StatementClass.WRITE)
        known = self.by_fingerprint.get(fingerprint)
        if known is not None:
            return known
        statement = _merge([_classify_tree(raw.stmt) for raw in _parse(decoded)])
        if statement.statement_class in (StatementClass.READ, StatementClass.WRITE):
            _remember(self.by_fingerprint, fingerprint, statement, self.max_texts)
        return statement


def _parse(text):
    try:
        return pglast.parse_sql(text)
    except pglast.parser.ParseError:
        return ()


def _remember(cache, key, value, limit):
    if len(cache) >= limit:
        cache.pop(next(iter(cache)))
    cache[key] = value


def _merge(statements):
    if not statements:
        return Statement(StatementClass.EMPTY)
    if len(statements) == 1:
        return statements[0]
    for statement in statements:
        if statement.statement_class is StatementClass.UNSUPPORTED:
            return statement
    classes = {statement.statement_class for statement in statements}
    if classes == {StatementClass.READ}:
        return statements[0]
    if classes & {StatementClass.PROXY_SET, StatementClass.PROXY_SHOW}:
        return Statement(
            StatementClass.UNSUPPORTED, "proxy settings among several statements"
        )
    return Statement(StatementClass.WRITE)


def _classify_tree(tree):
    kind = type(tree).__name__
    if kind == "SelectStmt":
        return Statement(
            StatementClass.READ if _only_reads(tree) else StatementClass.WRITE
        )
    if kind == "TransactionStmt":
        return _classify_transaction(tree)
    if kind == "VariableSetStmt":
        return _classify_set(tree)
    if kind == "VariableShowStmt":
        if tree.name.startswith(PROXY_PREFIX):
            return Statement(StatementClass.PROXY_SHOW, tree.name)
        return Statement(StatementClass.READ)
    if kind == "ExplainStmt":
        return _classify_explain(tree)
    if kind == "CopyStmt":
        return Statement(StatementClass.UNSUPPORTED, "COPY")
    if kind in ("ListenStmt", "UnlistenStmt", "NotifyStmt"):
        return Statement(StatementClass.UNSUPPORTED, "LISTEN and NOTIFY")
    if kind in ("PrepareStmt", "ExecuteStmt", "DeallocateStmt"):
        return Statement(StatementClass.UNSUPPORTED, "SQL PREPARE and EXECUTE")
    if kind == "DeclareCursorStmt":
        return Statement(StatementClass.WRITE)
    return Statement(StatementClass.WRITE)


def _classify_explain(tree):
    options = {option.defname for option in tree.options or ()}
    if "analyze" not in options:
        return Statement(StatementClass.READ)
    return _classify_tree(tree.query)


def _classify_transaction(tree):
    kind = tree.kind.name
    if kind in ("TRANS_STMT_BEGIN", "TRANS_STMT_START"):
        for option in tree.options or ():
            if option.defname == "transaction_read_only" and _constant(option.arg):
                return Statement(StatementClass.BEGIN_READ_ONLY)
        return Statement(StatementClass.BEGIN)
    if kind == "TRANS_STMT_COMMIT":
        return Statement(StatementClass.COMMIT)
    if kind == "TRANS_STMT_ROLLBACK":
        return Statement(StatementClass.ROLLBACK)
    if "PREPARED" in kind or kind == "TRANS_STMT_PREPARE":
        return Statement(StatementClass.UNSUPPORTED, "two-phase commit")
    return Statement(StatementClass.WRITE)


def _classify_set(tree):
    name = tree.name or ""
    values = [_constant(arg) for arg in tree.args or ()]
    value = ", ".join(str(v) for v in values) if values else None
    if name.startswith(PROXY_PREFIX):
        return Statement(StatementClass.PROXY_SET, name, value)
    return Statement(StatementClass.SET, name, value)


def _constant(node):
    inner = getattr(node, "val", node)
    for attribute in ("ival", "sval", "fval", "boolval"):
        if hasattr(inner, attribute):
            return getattr(inner, attribute)
    return str(inner)


def _only_reads(tree):
    finder = _WriteFinder()
    finder(tree)
    return not finder.found


class _WriteFinder(pglast.visitors.Visitor):
    """Looks for anything in a SELECT that may write."""

    def __init__(self):
        self.found = False

    def visit_LockingClause(self, ancestors, node):  # noqa: N802
        self.found = True

    def visit_IntoClause(self, ancestors, node):  # noqa: N802
        self.found = True

    def visit_InsertStmt(self, ancestors, node):  # noqa: N802
        self.found = True

    def visit_UpdateStmt(self, ancestors, node):  # noqa: N802
        self.found = True

    def visit_DeleteStmt(self, ancestors, node):  # noqa: N802
        self.found = True

    def visit_FuncCall(self, ancestors, node):  # noqa: N802
        name = node.funcname[-1].sval.lower()
        if name in _WRITING_FUNCTIONS or name.startswith(_WRITING_PREFIXES):
            self.found = True
