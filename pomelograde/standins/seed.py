"""Fills the platform stand-in with the configuration of a deployment."""

from pomelograde.core import accounts, resources
from pomelograde.standins import deployments

SALT = b"stand-in-salt-16"


def service_spec(members):
    """Return the spec of a database service from a host's description."""
    names = ("name", "host", "port", "data_centre", "slots", "connection_limit")
    return {"members": [{name: one[name] for name in names} for one in members]}


def specs(deployment, groups):
    """Return the resources of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Which one.
    groups : dict of str to list of dict
        Members by group, as a host describes them.

    Returns
    -------
    list of (str, str, dict)
        Kind, name and spec of each resource.
    """
    found = [
        ("services", service, service_spec(groups[service]))
        for service in deployment.services
    ]
    for account in deployment.accounts:
        rate = deployments.rate_of(deployment, account)
        found.append(("accounts", account, {"rate_per_s": rate, "burst": rate}))
        verifier = accounts.make_verifier(deployments.password_of(account), SALT)
        spec = {"account": account, "verifier": resources.dump(verifier)}
        found.append(("keys", account, spec))
    return found


def writes(found):
    """Return the table rows of resources, as one commit's writes."""
    rows = []
    for revision, (kind, name, spec) in enumerate(found, start=1):
        value = {"revision": revision, "change_id": f"seed-{revision}", "spec": spec}
        rows.append({"key": f"config/{kind}/{name}", "value": value})
    rows.append({"key": "config/revision", "value": {"revision": len(found)}})
    return rows
