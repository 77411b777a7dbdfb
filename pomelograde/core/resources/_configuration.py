"""The resources that make up the configuration, at one revision.

`core.configuration` has the configuration of the daemon for a hosting platform.
"""

import attrs

from pomelograde.core.resources import _kinds


@attrs.frozen
class Resource:
    """One resource at one revision.

    Attributes
    ----------
    kind : str
        One of `KINDS`.
    name : str
        Name, unique within the kind.
    spec : object
        Instance of the kind's class; None if the resource is deleted.
    revision : int
        Revision of the change that wrote the resource.
    operator : str
        Operator that made the change.
    """

    kind: str
    name: str
    spec: object
    revision: int
    operator: str = ""


@attrs.frozen
class Configuration:
    """All resources at a revision.

    Attributes
    ----------
    revision : int
        Number of the last change that the configuration includes.
    resources : dict of (str, str) to Resource
        Resources by kind and name.
    """

    revision: int = 0
    resources: dict = attrs.field(factory=dict, repr=False)

    def get(self, kind, name):
        """Return the spec of a resource, or None."""
        resource = self.resources.get((kind, name))
        return None if resource is None else resource.spec

    def of_kind(self, kind):
        """Return the resources of a kind, by name."""
        return {
            name: resource
            for (resource_kind, name), resource in sorted(self.resources.items())
            if resource_kind == kind
        }

    def apply(self, resource):
        """Return the configuration after a change.

        Notes
        -----
        A change whose revision is not above the configuration's is ignored, so
        a change that arrives late or twice reverts nothing.
        """
        if resource.revision <= self.revision:
            return self
        resources = dict(self.resources)
        key = (resource.kind, resource.name)
        if resource.spec is None:
            resources.pop(key, None)
        else:
            resources[key] = resource
        return Configuration(resource.revision, resources)

    def role_of(self, account):
        """Return the database role of a client account."""
        spec = self.get("accounts", account)
        return (spec.role if spec is not None else "") or account


KINDS = _kinds.KINDS
