"""Ordered replication of configuration changes, without gaps or reversals."""

import attrs
import result

from pomelograde.core.resources import _configuration


@attrs.frozen
class Batch:
    """All changes between two revisions, superseded ones left out.

    Attributes
    ----------
    after : int
        Revision that the changes follow.
    revision : int
        Revision that holds once they are applied.
    changes : list of Resource
        Last change of each resource in that range; a deletion has no spec.
    horizon : int
        Highest revision whose deletion records may have been dropped.
    """

    after: int
    revision: int
    changes: list = attrs.field(repr=False)
    horizon: int = 0


@attrs.frozen
class Applied:
    """A batch advanced the configuration.

    Attributes
    ----------
    old, new : Configuration
        Before and after.
    changes : list of Resource
        What was new, in the order of revisions.
    """

    old: _configuration.Configuration
    new: _configuration.Configuration
    changes: list


@attrs.frozen
class Ignored:
    """A batch held nothing new."""


@attrs.frozen
class Gap:
    """Changes between the configuration in force and a batch are missing.

    Attributes
    ----------
    after : int
        Revision to ask from.
    """

    after: int


@attrs.frozen
class Compacted:
    """The changes after a revision are no longer known one by one.

    Attributes
    ----------
    horizon : int
        Lowest revision that can be asked from.
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
        Deletion records above the horizon.
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
            Changes, from the platform or from a peer, in any order of arrival.

        Returns
        -------
        Applied or Ignored or Gap
            What came of it. A lower revision never replaces a higher one.
        """
        old = self.current
        if batch.revision <= old.revision:
            return Ignored()
        if batch.after > old.revision:
            return Gap(old.revision)
        ordered = sorted(batch.changes, key=lambda change: change.revision)
        fresh = [found for found in ordered if found.revision > old.revision]
        self.current = _advance(old, fresh, batch.revision)
        for change in fresh:
            self._note_deletion(change)
        self._raise_horizon(batch.horizon)
        return Applied(old, self.current, fresh)

    def apply_snapshot(self, batch):
        """Take a batch as the whole state; returns as `take` does.

        Notes
        -----
        Resources that the batch lacks are deleted. This is for an instance
        that lags behind the horizon, where single deletions are unknown.
        """
        if batch.revision <= self.current.revision:
            return Ignored()
        named = {(change.kind, change.name) for change in batch.changes}
        gone = [
            attrs.evolve(found, spec=None, revision=batch.revision)
            for key, found in self.current.resources.items()
            if key not in named
        ]
        self._raise_horizon(batch.horizon)
        whole = attrs.evolve(
            batch, after=self.current.revision, changes=[*batch.changes, *gone]
        )
        return self.apply_batch(whole)

    def changes_since(self, revision):
        """Return what has changed after a revision.

        Parameters
        ----------
        revision : int
            Revision that the asker has; 0 asks for the whole state.

        Returns
        -------
        Result of Batch or Compacted
            Changes in the order of revisions.
        """
        if 0 < revision < self.horizon:
            return result.Err(Compacted(self.horizon))
        known = [*self.current.resources.values(), *self.deleted.values()]
        changes = [found for found in known if found.revision > revision]
        changes.sort(key=lambda change: change.revision)
        batch = Batch(revision, self.current.revision, changes, self.horizon)
        return result.Ok(batch)

    def _note_deletion(self, change):
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
