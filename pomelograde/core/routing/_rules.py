"""Selects the routing rule for a caller."""


def find_rule(configuration, service, account):
    """Return the most specific routing rule for a caller.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    service : str
        Database service.
    account : str
        Client account; empty for a caller without a key.

    Returns
    -------
    RoutingRule or None
        The rule for the client account if there is one, else a rule for all
        accounts. A caller without a key matches open rules only.
    """
    best = None
    for resource in configuration.of_kind("rules").values():
        rule = resource.spec
        if rule.service != service or (not account and not rule.open):
            continue
        if rule.account and rule.account != account:
            continue
        if best is None or (rule.account and not best.account):
            best = rule
    return best
