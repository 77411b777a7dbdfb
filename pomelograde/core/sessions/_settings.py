"""Settings that a session made by SET, and their way to a connection."""

import attrs


@attrs.frozen
class SettingChange:
    """A change of session settings by one statement.

    Attributes
    ----------
    name : str
        Name of the setting; empty for all of them.
    sql : str
        Statement that makes the setting, or empty where it is reset.
    """

    name: str
    sql: str = ""


def apply(settings, changes):
    """Return the settings after some changes.

    Parameters
    ----------
    settings : dict of str to str
        Statements that make the settings, by name; not altered.
    changes : iterable of SettingChange
        In the order in which they ran.

    Returns
    -------
    dict of str to str
        A new one.
    """
    found = dict(settings)
    for change in changes:
        if not change.name:
            found.clear()
        elif change.sql:
            found[change.name] = change.sql
        else:
            found.pop(change.name, None)
    return found


def plan(present, wanted):
    """Return the SQL that turns a connection's settings into a session's.

    Parameters
    ----------
    present : dict of str to str
        Settings that the connection has.
    wanted : dict of str to str
        Settings that the session has.

    Returns
    -------
    str
        Statements joined by semicolons; empty where nothing differs.
    """
    steps = [f"RESET {name}" for name in present if name not in wanted]
    steps.extend(sql for name, sql in wanted.items() if present.get(name) != sql)
    return "; ".join(steps)
