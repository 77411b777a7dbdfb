"""Session settings made by SET and their transfer to pooled connections."""

import attrs


@attrs.frozen
class SettingChange:
    """A change of session settings by one statement.

    Attributes
    ----------
    name : str
        Name of the setting; empty if all settings are reset.
    sql : str
        SET statement; empty if the setting is reset.
    """

    name: str
    sql: str = ""


def apply(settings, changes):
    """Return the settings after a sequence of changes.

    Parameters
    ----------
    settings : dict of str to str
        SET statements by name of the setting; not modified.
    changes : iterable of SettingChange
        Changes in the order in which they ran.

    Returns
    -------
    dict of str to str
        Resulting SET statements by name of the setting.
    """
    updated = dict(settings)
    for change in changes:
        if not change.name:
            updated.clear()
        elif change.sql:
            updated[change.name] = change.sql
        else:
            updated.pop(change.name, None)
    return updated


def settings_sql(current, wanted):
    """Return the SQL that gives a connection the settings of a session.

    Parameters
    ----------
    current : dict of str to str
        Settings of the connection.
    wanted : dict of str to str
        Settings of the session.

    Returns
    -------
    str
        Statements joined by semicolons; empty if nothing differs.
    """
    statements = [f"RESET {name}" for name in current if name not in wanted]
    statements.extend(sql for name, sql in wanted.items() if current.get(name) != sql)
    return "; ".join(statements)
