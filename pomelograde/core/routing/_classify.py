"""Classifies SQL statements by what the proxy has to do with them."""

import enum

import attrs
import pglast
import pglast.stream
import pglast.visitors

from pomelograde.core.routing import _functions
from pomelograde.core.sessions import _settings

MAX_CACHED_TEXT_BYTES = 4096
MAX_CACHE_ENTRIES = 4096
PROXY_PREFIX = "pomelograde."

_WRITE_FUNCTIONS = frozenset(
    {
        "nextval",
        "setval",
        "set_config",
        "pg_notify",
        "txid_current",
        "pg_current_xact_id",
    }
)
_WRITE_FUNCTION_PREFIXES = ("pg_advisory", "pg_try_advisory", "lo_", "dblink")
_SESSION_LOCK_FUNCTIONS = frozenset(
    {
        "pg_advisory_lock",
        "pg_advisory_lock_shared",
        "pg_try_advisory_lock",
        "pg_try_advisory_lock_shared",
    }
)
_CURSOR_OPT_HOLD = 0x20  # CURSOR_OPT_HOLD in PostgreSQL's parsenodes.h


class StatementClass(enum.Enum):
    """Class of a statement, which decides how the proxy handles it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PROXY_SET = "proxy_set"
    PROXY_SHOW = "proxy_show"
    DISCARD = "discard"
    UNSUPPORTED = "unsupported"
    EMPTY = "empty"


@attrs.frozen
class Statement:
    """A classified statement text.

    Attributes
    ----------
    statement_class : StatementClass
        Class of the whole text. Several statements are a READ if all of them
        are reads, and UNSUPPORTED or a WRITE otherwise.
    name : str
        Name of the setting in SET or SHOW, what a DISCARD discards, or the
        reason why the text is unsupported.
    value : str or None
        Value in SET, or name in DEALLOCATE.
    commits : bool
        Whether the text contains a COMMIT.
    opens : bool
        Whether the text leaves a transaction open.
    known_read_only : bool
        For a read, whether it calls only functions that are known to write
        nothing.
    setting_changes : tuple of SettingChange
        Changes of session settings that the text makes.
    depends_on_constants : bool
        Whether this classification depends on constants in the text.
    """

    statement_class: StatementClass
    name: str = ""
    value: str | None = None
    commits: bool = False
    opens: bool = False
    known_read_only: bool = True
    setting_changes: tuple = ()
    depends_on_constants: bool = False


_CACHED_BY_FINGERPRINT = (StatementClass.READ, StatementClass.WRITE)


class Classifier:
    """Classifies statement texts and caches the results.

    Parameters
    ----------
    max_entries : int
        Size limit of each of the two caches.

    Notes
    -----
    Results are cached by text and by fingerprint of the parse tree. A
    fingerprint ignores constants, so only results that don't depend on them
    are cached by it. `set_config` is a write, whatever setting it names.
    """

    def __init__(self, max_entries=MAX_CACHE_ENTRIES):
        self.max_entries = max_entries
        self.by_text = {}
        self.by_fingerprint = {}

    def classify(self, text):
        """Return the `Statement` for an SQL text.

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
        statement = self._classify_uncached(text)
        if len(text) <= MAX_CACHED_TEXT_BYTES:
            _add_to_cache(self.by_text, text, statement, self.max_entries)
        return statement

    def _classify_uncached(self, text):
        decoded = text.decode("utf-8", "replace")
        try:
            fingerprint = pglast.parser.fingerprint(decoded)
        except pglast.parser.ParseError:
            return Statement(StatementClass.WRITE)
        known = self.by_fingerprint.get(fingerprint)
        if known is not None:
            return known
        statement = merge_statements(
            [_classify_tree(raw.stmt) for raw in _parse(decoded)]
        )
        is_cacheable = statement.statement_class in _CACHED_BY_FINGERPRINT
        if is_cacheable and not statement.depends_on_constants:
            _add_to_cache(self.by_fingerprint, fingerprint, statement, self.max_entries)
        return statement


def _parse(text):
    try:
        return pglast.parse_sql(text)
    except pglast.parser.ParseError:
        return ()


def _add_to_cache(cache, key, value, limit):
    if len(cache) >= limit:
        cache.pop(next(iter(cache)))
    cache[key] = value


def merge_statements(statements):
    """Return one `Statement` for a sequence of statements."""
    if not statements:
        return Statement(StatementClass.EMPTY)
    if len(statements) == 1:
        return statements[0]
    for statement in statements:
        if statement.statement_class is StatementClass.UNSUPPORTED:
            return statement
    classes = {statement.statement_class for statement in statements}
    if classes & _STANDALONE_CLASSES:
        return Statement(
            StatementClass.UNSUPPORTED, "proxy settings among several statements"
        )
    opens = False
    for statement in statements:
        ends = statement.statement_class is StatementClass.ROLLBACK
        opens = statement.opens or (opens and not statement.commits and not ends)
    return Statement(
        StatementClass.READ
        if classes == {StatementClass.READ}
        else StatementClass.WRITE,
        commits=any(statement.commits for statement in statements),
        opens=opens,
        known_read_only=all(statement.known_read_only for statement in statements),
        setting_changes=sum(
            (statement.setting_changes for statement in statements), ()
        ),
        depends_on_constants=any(
            statement.depends_on_constants for statement in statements
        ),
    )


# Classes that can't be combined with other statements in one text.
_STANDALONE_CLASSES = {
    StatementClass.PROXY_SET,
    StatementClass.PROXY_SHOW,
    StatementClass.DISCARD,
}


def _unsupported(reason):
    return Statement(StatementClass.UNSUPPORTED, reason)


def _classify_tree(tree):
    kind = type(tree).__name__
    if kind == "SelectStmt":
        return _classify_select(tree)
    if kind == "DiscardStmt":
        return Statement(StatementClass.DISCARD, tree.target.name)
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
    if kind in ("ListenStmt", "NotifyStmt"):
        return Statement(StatementClass.UNSUPPORTED, "LISTEN and NOTIFY")
    if kind == "DeallocateStmt":
        return Statement(StatementClass.DISCARD, "DEALLOCATE", tree.name)
    if kind in ("PrepareStmt", "ExecuteStmt"):
        return Statement(StatementClass.UNSUPPORTED, "SQL PREPARE and EXECUTE")
    if kind == "DeclareCursorStmt" and tree.options & _CURSOR_OPT_HOLD:
        return _unsupported("cursors WITH HOLD")
    relation = getattr(tree, "relation", None) or getattr(tree, "into", None)
    # CREATE TABLE AS has an IntoClause, which wraps the relation.
    relation = getattr(relation, "rel", relation)
    if kind.startswith("Create") and getattr(relation, "relpersistence", "") == "t":
        return _unsupported("temporary tables")
    return Statement(StatementClass.WRITE)


def _classify_select(tree):
    finder = _WriteFinder()
    finder(tree)
    if finder.unsupported:
        return _unsupported(finder.unsupported)
    if finder.writes:
        return Statement(
            StatementClass.WRITE,
            setting_changes=tuple(finder.setting_changes),
            depends_on_constants=finder.depends_on_constants,
        )
    return Statement(StatementClass.READ, known_read_only=finder.known_read_only)


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
                return Statement(StatementClass.BEGIN_READ_ONLY, opens=True)
        return Statement(StatementClass.BEGIN, opens=True)
    if tree.chain:
        return _unsupported("AND CHAIN")
    if kind == "TRANS_STMT_COMMIT":
        return Statement(StatementClass.COMMIT, commits=True)
    if kind == "TRANS_STMT_ROLLBACK":
        return Statement(StatementClass.ROLLBACK)
    if "PREPARED" in kind or kind == "TRANS_STMT_PREPARE":
        return Statement(StatementClass.UNSUPPORTED, "two-phase commit")
    return Statement(StatementClass.WRITE)


def _classify_set(tree):
    name = tree.name or ""
    kind = tree.kind.name
    values = [_constant(arg) for arg in tree.args or ()]
    value = ", ".join(str(v) for v in values) if values else None
    if name.startswith(PROXY_PREFIX):
        return Statement(StatementClass.PROXY_SET, name, value)
    if name == "SESSION CHARACTERISTICS":
        return _unsupported("SET SESSION CHARACTERISTICS")
    if tree.is_local or kind == "VAR_SET_MULTI":
        return Statement(StatementClass.SET, name, value)
    sets_value = kind in ("VAR_SET_VALUE", "VAR_SET_CURRENT")
    sql = pglast.stream.RawStream()(tree) if sets_value else ""
    change = _settings.SettingChange("" if kind == "VAR_RESET_ALL" else name, sql)
    return Statement(
        StatementClass.SET,
        name,
        value,
        setting_changes=(change,),
        depends_on_constants=True,
    )


def _constant(node):
    inner = getattr(node, "val", node)
    for attribute in ("ival", "sval", "fval", "boolval"):
        if hasattr(inner, attribute):
            return getattr(inner, attribute)
    return str(inner)


class _WriteFinder(pglast.visitors.Visitor):
    """Finds parts of a SELECT that may write or change the session."""

    def __init__(self):
        self.writes = False
        self.known_read_only = True
        self.unsupported = ""
        self.setting_changes = []
        self.depends_on_constants = False

    def visit_LockingClause(self, ancestors, node):  # noqa: N802
        self.writes = True

    def visit_IntoClause(self, ancestors, node):  # noqa: N802
        self.writes = True

    def visit_InsertStmt(self, ancestors, node):  # noqa: N802
        self.writes = True

    def visit_UpdateStmt(self, ancestors, node):  # noqa: N802
        self.writes = True

    def visit_DeleteStmt(self, ancestors, node):  # noqa: N802
        self.writes = True

    def visit_FuncCall(self, ancestors, node):  # noqa: N802
        name = node.funcname[-1].sval.lower()
        if name in _WRITE_FUNCTIONS or name.startswith(_WRITE_FUNCTION_PREFIXES):
            self.writes = True
        elif name not in _functions.READ_ONLY or _is_user_defined(node.funcname):
            self.known_read_only = False
        if name in _SESSION_LOCK_FUNCTIONS:
            self.unsupported = "session-level advisory locks"
        if name == "set_config":
            self._on_set_config(node.args or ())

    def _on_set_config(self, arguments):
        self.depends_on_constants = True
        if len(arguments) != 3:
            return
        name, value, is_local = (
            _constant(argument.val) if hasattr(argument, "val") else None
            for argument in arguments
        )
        if is_local is not True and None in (name, value, is_local):
            self.unsupported = "set_config without constant arguments"
            return
        if is_local is not True:
            quoted = str(value).replace("'", "''")
            sql = f"SET {name} TO '{quoted}'"
            self.setting_changes.append(_settings.SettingChange(str(name), sql))


def _is_user_defined(path):
    return len(path) > 1 and path[0].sval != "pg_catalog"
