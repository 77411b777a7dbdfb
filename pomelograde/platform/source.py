"""What the platform's store holds for the fleet, as the project's own types."""

import json

import attrs

from pomelograde.core import membership, takeovers
from pomelograde.platform import manifest, registry, store

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
INSTANCES_TABLE = "instances"  # the fleet's own
TAKEOVER_PREFIX = "takeover/"  # no instance's name has a slash


@attrs.frozen
class Document:
    """The configuration as the operator wrote it.

    Attributes
    ----------
    text : str
        JSON; empty if there is none, or none newer than the version asked for.
    row_version : int
        Version of its row.
    version : int
        Newest version in the store.
    as_of : float
        Time on this instance's clock; what was read is not older.
    """

    text: str
    row_version: int
    version: int
    as_of: float


class PlatformSource:
    """Reads and writes the fleet's rows.

    Parameters
    ----------
    client : Store
        Client of the store.

    Attributes
    ----------
    row_versions : dict of str to int
        Version of each instance's row when it was last read or written.
    """

    HistoryLostError = store.HistoryLostError
    StoreUnavailableError = store.StoreUnavailableError
    UnreadableDocumentError = manifest.UnreadableManifestError

    def __init__(self, client):
        self.client = client
        self.row_versions = {}

    async def fetch_configuration(self):
        """Return the Document in force."""
        found = await self.client.read_table(OPERATOR_TABLE)
        return _find_document(found)

    async def wait_for_configuration(self, version, wait_s):
        """Return the Document once it changes after a version, or without text."""
        found = await self.client.follow_table(OPERATOR_TABLE, version, wait_s)
        return _find_document(found)

    def read_configuration(self, text):
        """Return the FleetConfiguration that a document describes."""
        return manifest.read_manifest(text)

    async def fetch_members(self):
        """Return the registered members by service, and as of when."""
        found = await self.client.read_table(registry.TABLE)
        return registry.read_members(found.rows), found.as_of

    async def fetch_instances(self):
        """Return the registered instances, and the last takeover of each service."""
        found = await self.client.read_table(INSTANCES_TABLE)
        self.row_versions = {row.key: row.version for row in found.rows}
        instances = [
            _read_instance(row)
            for row in found.rows
            if not row.key.startswith(TAKEOVER_PREFIX)
        ]
        read = [
            _read_takeover(row)
            for row in found.rows
            if row.key.startswith(TAKEOVER_PREFIX)
        ]
        return (
            [known for known in instances if known is not None],
            [known for known in read if known is not None],
        )

    async def begin_takeover(self, service, holder, row_version):
        """Record that a primary is being replaced.

        Parameters
        ----------
        service, holder : str
            What is replaced, and by whom.
        row_version : int
            Version that the service's row must have; 0 for none.

        Returns
        -------
        Takeover or None
            None if the row has changed.
        """
        key = TAKEOVER_PREFIX + service
        value = json.dumps({"holder": holder}).encode()
        version = await self.client.commit(
            INSTANCES_TABLE, {key: row_version}, {key: value}
        )
        if version is None:
            return None
        return takeovers.Takeover(service, holder, "", version, version)

    async def end_takeover(self, takeover, successor):
        """Record its end; returns the Takeover, or None if the row has changed."""
        key = TAKEOVER_PREFIX + takeover.service
        body = {"holder": "", "successor": successor, "fence": takeover.fence}
        version = await self.client.commit(
            INSTANCES_TABLE,
            {key: takeover.row_version},
            {key: json.dumps(body).encode()},
        )
        if version is None:
            return None
        return attrs.evolve(
            takeover, holder="", successor=successor, row_version=version
        )

    async def register(self, instance):
        """Write an instance's row; returns the Instance with its incarnation."""
        version = await self.client.commit(
            INSTANCES_TABLE, {}, {instance.name: _write_instance(instance)}
        )
        self.row_versions[instance.name] = version
        return attrs.evolve(instance, incarnation=version)

    async def end_registration(self, instance):
        """Mark an instance's row as ended, unless it has changed."""
        ended = attrs.evolve(instance, leaving=True)
        await self._replace(instance.name, _write_instance(ended))

    async def remove_registration(self, instance):
        """Remove an instance's row, unless it has changed."""
        await self._replace(instance.name, None)

    async def _replace(self, name, value):
        version = self.row_versions.get(name)
        if version is not None:
            await self.client.commit(INSTANCES_TABLE, {name: version}, {name: value})


def _find_document(found):
    """Return the newest configuration among rows; a feed has each change."""
    document = Document("", 0, found.version, found.as_of)
    for row in found.rows:
        newer = row.version > document.row_version
        if row.key == CONFIGURATION_KEY and row.value is not None and newer:
            text = row.value.decode("utf-8", "replace")
            document = attrs.evolve(document, text=text, row_version=row.version)
    return document


def _write_instance(instance):
    return json.dumps(attrs.asdict(instance)).encode()


def _read_instance(row):
    try:
        found = membership.Instance(**json.loads(row.value))
        return attrs.evolve(found, incarnation=row.version)
    except (ValueError, TypeError):
        return None


def _read_takeover(row):
    try:
        body = json.loads(row.value)
        return takeovers.Takeover(
            service=row.key.removeprefix(TAKEOVER_PREFIX),
            holder=body["holder"],
            successor=body.get("successor", ""),
            fence=body.get("fence", row.version),
            row_version=row.version,
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
