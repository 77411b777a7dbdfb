"""Builds the initial configuration of a deployment for the platform stand-in."""

from pomelograde.core import accounts, resources
from pomelograde.standins import deployments

SALT = b"stand-in-salt-16"


def service_spec(members):
    """Return the spec of a database service.

    Parameters
    ----------
    members : list of dict
        Members of the service's group, as in ``groups`` of `Host.describe`.
    """
    names = ("name", "host", "port", "data_centre", "slots", "connection_limit")
    return {"members": [{name: member[name] for name in names} for member in members]}


def specs(deployment, groups):
    """Return the resources of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose resources are built.
    groups : dict of str to list of dict
        Members by group, as in ``groups`` of `Host.describe`.

    Returns
    -------
    list of (str, str, dict)
        Kind, name and spec of each resource.
    """
    resource_specs = [
        ("services", service, service_spec(groups[service]))
        for service in deployment.services
    ]
    for account in deployment.accounts:
        rate = deployments.rate_of(deployment, account)
        resource_specs.append(
            ("accounts", account, {"rate_per_s": rate, "burst": rate})
        )
        verifier = accounts.make_verifier(deployments.password_of(account), SALT)
        spec = {"account": account, "verifier": resources.dump(verifier)}
        resource_specs.append(("keys", account, spec))
    return resource_specs


def writes(resource_specs):
    """Return the writes of the table commit that stores resources.

    The last write sets the revision of the configuration.
    """
    rows = []
    for revision, (kind, name, spec) in enumerate(resource_specs, start=1):
        value = {"revision": revision, "change_id": f"seed-{revision}", "spec": spec}
        rows.append({"key": f"config/{kind}/{name}", "value": value})
    rows.append({"key": "config/revision", "value": {"revision": len(resource_specs)}})
    return rows
