"""Log that applies configuration changes in order and without gaps."""

import attrs
import result

from pomelograde.core.resources import _configuration


@attrs.frozen
class Batch:
    """The changes between two revisions, without superseded ones.

    Attributes
    ----------
    after : int
        Revision that the changes start from.
    revision : int
        Revision after the changes are applied.
    changes : list of Resource
        Last change of each resource in that range; the spec of a deletion is
        None.
    horizon : int
        Highest revision whose deletion records may have been dropped.
    """

    after: int
    revision: int
    changes: list = attrs.field(repr=False)
    horizon: int = 0


@attrs.frozen
class Applied:
    """Result: a batch advanced the configuration.

    Attributes
    ----------
    old, new : Configuration
        Configuration before and after the batch.
    changes : list of Resource
        Changes that were new, ordered by revision.
    """

    old: _configuration.Configuration
    new: _configuration.Configuration
    changes: list


@attrs.frozen
class Ignored:
    """Result: a batch contained nothing new."""


@attrs.frozen
class Gap:
    """Result: changes between the configuration in force and a batch are missing.

    Attributes
    ----------
    after : int
        Revision after which changes must be requested.
    """

    after: int


@attrs.frozen
class Compacted:
    """Error: the deletions after a revision may have been dropped.

    Attributes
    ----------
    horizon : int
        Lowest revision whose later changes can be requested.
    """

    horizon: int


@attrs.define
class ConfigurationLog:
    """The configuration in force and the last change of each resource.

    Attributes
    ----------
    current : Configuration
        Configuration in force.
    deleted : dict of (str, str) to Resource
        Deletions above the horizon, by kind and name.
    horizon : int
        Highest revision whose deletion records may have been dropped.
    """

    current: _configuration.Configuration = _configuration.Configuration()
    deleted: dict = attrs.field(factory=dict, repr=False)
    horizon: int = 0

    def apply_batch(self, batch):
        """Apply a batch.

        Parameters
        ----------
        batch : Batch
            Changes from the platform or a peer. Batches may arrive in any
            order.

        Returns
        -------
        Applied or Ignored or Gap
            Result. A lower revision never replaces a higher one.
        """
        old = self.current
        if batch.revision <= old.revision:
            return Ignored()
        if batch.after > old.revision:
            return Gap(old.revision)
        ordered = sorted(batch.changes, key=lambda change: change.revision)
        new_changes = [change for change in ordered if change.revision > old.revision]
        self.current = _advance(old, new_changes, batch.revision)
        for change in new_changes:
            self._record_deletion(change)
        self._raise_horizon(batch.horizon)
        return Applied(old, self.current, new_changes)

    def apply_snapshot(self, batch):
        """Apply a batch that holds the whole state; returns as `apply_batch` does.

        Notes
        -----
        Resources that the batch lacks are deleted. This serves an instance
        whose revision is below the horizon, which may have missed deletions
        that are no longer on record.
        """
        if batch.revision <= self.current.revision:
            return Ignored()
        present = {(change.kind, change.name) for change in batch.changes}
        deletions = [
            attrs.evolve(resource, spec=None, revision=batch.revision)
            for key, resource in self.current.resources.items()
            if key not in present
        ]
        self._raise_horizon(batch.horizon)
        snapshot = attrs.evolve(
            batch, after=self.current.revision, changes=[*batch.changes, *deletions]
        )
        return self.apply_batch(snapshot)

    def changes_since(self, revision):
        """Return the changes after a revision.

        Parameters
        ----------
        revision : int
            Revision of the requester; 0 requests the whole state.

        Returns
        -------
        Result of Batch or Compacted
            Changes ordered by revision.
        """
        if 0 < revision < self.horizon:
            return result.Err(Compacted(self.horizon))
        known = [*self.current.resources.values(), *self.deleted.values()]
        changes = [change for change in known if change.revision > revision]
        changes.sort(key=lambda change: change.revision)
        batch = Batch(revision, self.current.revision, changes, self.horizon)
        return result.Ok(batch)

    def _record_deletion(self, change):
        key = (change.kind, change.name)
        self.deleted.pop(key, None)
        if change.spec is None:
            self.deleted[key] = change

    def _raise_horizon(self, horizon):
        if horizon <= self.horizon:
            return
        self.horizon = horizon
        self.deleted = {
            key: change
            for key, change in self.deleted.items()
            if change.revision > horizon
        }


def _advance(configuration, changes, revision):
    resources = dict(configuration.resources)
    for change in changes:
        key = (change.kind, change.name)
        if change.spec is None:
            resources.pop(key, None)
        else:
            resources[key] = change
    return _configuration.Configuration(revision, resources)
