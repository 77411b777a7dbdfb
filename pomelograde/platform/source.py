"""Typed access to the rows of the fleet in the platform's store."""

import json

import attrs

from pomelograde.core import membership, takeovers
from pomelograde.platform import manifest, registry, store

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
INSTANCES_TABLE = "instances"  # written by the instances themselves
TAKEOVER_PREFIX = "takeover/"  # names of instances contain no slash


@attrs.frozen
class ConfigurationDocument:
    """The configuration document that an operator wrote.

    Attributes
    ----------
    text : str
        JSON; empty if there is no document, or none newer than requested.
    row_version : int
        Version of the document's row; 0 if `text` is empty.
    version : int
        Latest version in the store at the time of the read.
    as_of : float
        Time on this instance's clock that is not later than the read.
    """

    text: str
    row_version: int
    version: int
    as_of: float


class PlatformSource:
    """Reads and writes the rows of the fleet.

    Parameters
    ----------
    store_client : StoreClient
        Client of the store.

    Attributes
    ----------
    row_versions : dict of str to int
        Version of each row of the instances' table when it was last read, or
        written by `register`.
    """

    HistoryLostError = store.HistoryLostError
    StoreUnavailableError = store.StoreUnavailableError
    InvalidConfigurationError = manifest.InvalidManifestError

    def __init__(self, store_client):
        self.store_client = store_client
        self.row_versions = {}

    async def fetch_configuration(self):
        """Return the current ConfigurationDocument."""
        result = await self.store_client.read_table(OPERATOR_TABLE)
        return _latest_document(result)

    async def wait_for_configuration(self, version, wait_s):
        """Wait for a change after a version; returns a ConfigurationDocument.

        Its text is empty if the configuration did not change within `wait_s`.
        """
        result = await self.store_client.follow_table(OPERATOR_TABLE, version, wait_s)
        return _latest_document(result)

    def parse_configuration(self, text):
        """Return the FleetConfiguration that the text of a document describes."""
        return manifest.parse_manifest(text)

    async def fetch_members(self):
        """Return the registered members by service, and the time of the read.

        The time is that of `ReadResult.as_of`.
        """
        result = await self.store_client.read_table(registry.MEMBERS_TABLE)
        return registry.parse_members(result.rows), result.as_of

    async def fetch_instances(self):
        """Return the registered instances, and the latest takeover of each service."""
        result = await self.store_client.read_table(INSTANCES_TABLE)
        self.row_versions = {row.key: row.version for row in result.rows}
        instances = [
            _decode_instance(row)
            for row in result.rows
            if not row.key.startswith(TAKEOVER_PREFIX)
        ]
        decoded_takeovers = [
            _decode_takeover(row)
            for row in result.rows
            if row.key.startswith(TAKEOVER_PREFIX)
        ]
        return (
            [entry for entry in instances if entry is not None],
            [entry for entry in decoded_takeovers if entry is not None],
        )

    async def begin_takeover(self, service, holder, row_version):
        """Record the start of a takeover, which replaces a primary.

        Parameters
        ----------
        service, holder : str
            Database service of the primary, and instance that replaces it.
        row_version : int
            Version that the row of the service's takeover must have; 0 if it must
            not exist.

        Returns
        -------
        Takeover or None
            None if the row has changed meanwhile.
        """
        key = TAKEOVER_PREFIX + service
        value = json.dumps({"holder": holder}).encode()
        version = await self.store_client.commit(
            INSTANCES_TABLE, {key: row_version}, {key: value}
        )
        if version is None:
            return None
        return takeovers.Takeover(service, holder, "", version, version)

    async def end_takeover(self, takeover, successor):
        """Record the end of a takeover.

        Returns
        -------
        Takeover or None
            None if the row has changed meanwhile.
        """
        key = TAKEOVER_PREFIX + takeover.service
        body = {"holder": "", "successor": successor, "fence": takeover.fence}
        version = await self.store_client.commit(
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
        """Write an instance's row; returns the Instance with its new incarnation.

        The version of the row is the incarnation, so each registration is newer
        than all earlier ones.
        """
        version = await self.store_client.commit(
            INSTANCES_TABLE, {}, {instance.name: _encode_instance(instance)}
        )
        self.row_versions[instance.name] = version
        return attrs.evolve(instance, incarnation=version)

    async def end_registration(self, instance):
        """Mark an instance's registration as ended, unless its row has changed."""
        ended = attrs.evolve(instance, leaving=True)
        await self._replace_row(instance.name, _encode_instance(ended))

    async def remove_registration(self, instance):
        """Delete an instance's row, unless it has changed."""
        await self._replace_row(instance.name, None)

    async def _replace_row(self, name, value):
        version = self.row_versions.get(name)
        if version is not None:
            await self.store_client.commit(
                INSTANCES_TABLE, {name: version}, {name: value}
            )


def _latest_document(result):
    """Return the latest configuration document among rows.

    The feed of changes may contain several versions of the same row.
    """
    document = ConfigurationDocument("", 0, result.version, result.as_of)
    for row in result.rows:
        newer = row.version > document.row_version
        if row.key == CONFIGURATION_KEY and row.value is not None and newer:
            text = row.value.decode("utf-8", "replace")
            document = attrs.evolve(document, text=text, row_version=row.version)
    return document


def _encode_instance(instance):
    return json.dumps(attrs.asdict(instance)).encode()


def _decode_instance(row):
    try:
        instance = membership.Instance(**json.loads(row.value))
        return attrs.evolve(instance, incarnation=row.version)
    except (ValueError, TypeError):
        return None


def _decode_takeover(row):
    try:
        fields = json.loads(row.value)
        return takeovers.Takeover(
            service=row.key.removeprefix(TAKEOVER_PREFIX),
            holder=fields["holder"],
            successor=fields.get("successor", ""),
            fence=fields.get("fence", row.version),
            row_version=row.version,
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
