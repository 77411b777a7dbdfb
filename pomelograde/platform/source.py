"""Typed access to the rows of the fleet in the platform's store.

The rows that instances write hold the era of the write, so that a row has the
same revision before and after the store returns from a copy that contains it.
"""

import json

import attrs

from pomelograde.core import checks, membership, placement, takeovers
from pomelograde.platform import _json, _rows, manifest, registry, settings, store

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
STATUS_TABLE = "status"  # read by operators
STATUS_EVACUATION_PREFIX = "evacuation/"  # followed by a data centre
EVACUATION_PREFIX = "evacuate/"  # followed by a data centre; the row is the request
INSTANCES_TABLE = "instances"  # written by the instances themselves
MAX_NUMBER = 2**63 - 1  # of a term or a log position
TAKEOVER_PREFIX = "takeover/"  # names of instances contain no slash
REPLICA_SET_PREFIX = "replicas/"  # followed by a database service
SETTLED_ERA_KEY = "era/settled"
MAX_REPLICA_SETS = 40  # of one call, which holds at most 100 entries


@attrs.frozen
class ConfigurationDocument:
    """The configuration document that an operator wrote.

    Attributes
    ----------
    text : str
        JSON; empty if there is no document, or none newer than requested.
    row_version : int
        Version of the document's row; 0 if `text` is empty.
    revision : int
        Latest revision of the store at the time of the read.
    as_of : float
        Time on this instance's clock that is not later than the read.
    evacuations : EvacuationsRead or None
        Evacuations that the operator had requested at the time of the read.
    """

    text: str
    row_version: int
    revision: int
    as_of: float
    evacuations: placement.EvacuationsRead | None = None


@attrs.frozen
class MemberRows:
    """The registered members, as one read returned them.

    Attributes
    ----------
    members : dict of str to list of Member
        Members by service.
    versions : dict of str to int
        Version of each member's row by its name.
    era : int
        Era of the store.
    as_of : float
        Time on this instance's clock that is not later than the read.
    """

    members: dict
    versions: dict
    era: int
    as_of: float


@attrs.frozen
class SettledEra:
    """Era for which the store is known to lack nothing any more."""

    era: int


class PlatformSource:
    """Reads and writes the rows of the fleet.

    Parameters
    ----------
    store_client : StoreClient
        Client of the store.

    Attributes
    ----------
    rows : dict of str to Row
        Rows of the instances' table when it was last read, with those that this
        instance has written since.
    rows_era : int
        Era of `rows`.
    replica_sets : dict of str to ReplicaSet
        Members of each service that may hold acknowledged commits, from `rows`.
    settled_era : int or None
        Era for which the store is known to lack nothing, from `rows`; None if
        there is none.
    decoded : dict of Row to Instance, Takeover, ReplicaSet, SettledEra or InvalidRow
        Content of the rows at that read. Few rows differ from one read to the
        next, and only these are decoded.
    evacuated : frozenset of str
        Data centres with a row in the operators' table when it was last read.
    on_invalid_rows : callable or None
        Called with the name of a table, the list of InvalidRow that a read of it
        has skipped, and whether it was a read of the whole table.
    """

    HistoryLostError = store.HistoryLostError
    StoreUnavailableError = store.StoreUnavailableError
    InvalidConfigurationError = manifest.InvalidManifestError
    MAX_REPLICA_SETS = MAX_REPLICA_SETS

    def __init__(self, store_client):
        self.store_client = store_client
        self.rows = {}
        self.rows_era = 0
        self.replica_sets = {}
        self.settled_era = None
        self.decoded = {}
        self.evacuated = frozenset()
        self.on_invalid_rows = None

    @property
    def era(self):
        """Latest era of the store that this instance has seen; 0 without eras."""
        return self.store_client.era

    @property
    def era_since(self):
        """When this instance first saw the era; negative infinity without eras."""
        return self.store_client.era_since

    async def fetch_configuration(self):
        """Return the current ConfigurationDocument."""
        result = await self.store_client.read_table(OPERATOR_TABLE)
        self.evacuated = frozenset()
        return self._decode_operator_rows(result, is_whole=True)

    async def wait_for_configuration(self, revision, wait_s):
        """Wait for a change after a revision; returns a ConfigurationDocument.

        Its text is empty if the configuration did not change within `wait_s`.
        """
        result = await self.store_client.follow_table(OPERATOR_TABLE, revision, wait_s)
        return self._decode_operator_rows(result, is_whole=False)

    def _decode_operator_rows(self, result, is_whole):
        """Return the ConfigurationDocument of changed rows, with all evacuations."""
        decoded = [_rows.decode(row, _decode_operator_row) for row in result.rows]
        entries, invalid = _rows.select_valid(decoded)
        self._report_invalid(OPERATOR_TABLE, invalid, is_whole)
        self.evacuated = _follow_evacuations(self.evacuated, entries)
        evacuations = placement.EvacuationsRead(
            self.evacuated,
            store.era_of(result.revision),
            result.revision,
            result.as_of,
        )
        document = ConfigurationDocument(
            "", 0, result.revision, result.as_of, evacuations
        )
        # The feed of changes may contain several versions of the same row.
        versions = [entry for entry in entries if isinstance(entry, _ConfigurationRow)]
        if versions:
            latest = max(versions, key=lambda entry: entry.version)
            document = attrs.evolve(
                document, text=latest.text, row_version=latest.version
            )
        return document

    def _report_invalid(self, table, invalid, is_whole):
        if self.on_invalid_rows is not None:
            self.on_invalid_rows(table, invalid, is_whole)

    async def fetch_recorded_evacuations(self):
        """Return the data centres for which `record_evacuation` has left a row.

        Returns
        -------
        frozenset of str
            Names of data centres.

        Raises
        ------
        StoreUnavailableError
            If the store does not return the rows.
        """
        result = await self.store_client.read_table(STATUS_TABLE)
        return frozenset(
            row.key.removeprefix(STATUS_EVACUATION_PREFIX)
            for row in result.rows
            if row.key.startswith(STATUS_EVACUATION_PREFIX)
        )

    async def record_evacuation(self, data_centre, primaries):
        """Write which primaries an evacuated data centre has, for operators.

        Parameters
        ----------
        data_centre : str
            The data centre.
        primaries : sequence of str or None
            Names of members; None removes the row.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the change.
        """
        value = None
        if primaries is not None:
            value = json.dumps({"primaries": list(primaries)}).encode()
        key = STATUS_EVACUATION_PREFIX + data_centre
        await self.store_client.commit(STATUS_TABLE, {}, {key: value})

    def parse_configuration(self, text):
        """Return the FleetConfiguration that the text of a document describes."""
        return manifest.parse_manifest(text)

    async def fetch_members(self):
        """Return the registered members as MemberRows."""
        result = await self.store_client.read_table(registry.MEMBERS_TABLE)
        members, invalid = registry.parse_members(result.rows)
        self._report_invalid(registry.MEMBERS_TABLE, invalid, is_whole=True)
        return MemberRows(
            members,
            {row.key: row.version for row in result.rows},
            store.era_of(result.revision),
            result.as_of,
        )

    async def fetch_instances(self):
        """Return the registered instances, and the latest takeover of each service."""
        result = await self.store_client.read_table(INSTANCES_TABLE)
        self.rows = {row.key: row for row in result.rows}
        self.rows_era = store.era_of(result.revision)
        known = self.decoded
        self.decoded = {
            row: known[row] if row in known else _rows.decode(row, _decode_row)
            for row in result.rows
        }
        entries, invalid = _rows.select_valid(self.decoded.values())
        self._report_invalid(INSTANCES_TABLE, invalid, is_whole=True)
        self.replica_sets = {
            entry.service: entry
            for entry in entries
            if isinstance(entry, takeovers.ReplicaSet)
        }
        settled = [entry.era for entry in entries if isinstance(entry, SettledEra)]
        self.settled_era = settled[0] if settled else None
        return (
            [entry for entry in entries if isinstance(entry, membership.Instance)],
            [entry for entry in entries if isinstance(entry, takeovers.Takeover)],
        )

    async def begin_takeover(self, known, holder):
        """Record the start of a takeover, which replaces a primary.

        Parameters
        ----------
        known : Takeover
            Last takeover of the service.
        holder : str
            Instance that replaces the primary.

        Returns
        -------
        Takeover or None
            None if the row has changed meanwhile.
        """
        begun = attrs.evolve(known, holder=holder)
        revision = await self._write_takeover(begun, with_fence=False)
        if revision is None:
            return None
        return attrs.evolve(begun, fence=revision, row_version=revision)

    async def record_choice(self, takeover):
        """Record the candidate of a takeover before it is promoted.

        Parameters
        ----------
        takeover : Takeover
            Takeover in progress, with its candidate.

        Returns
        -------
        Takeover or None
            None if the row has changed meanwhile.
        """
        return await self._replace_takeover(takeover)

    async def end_takeover(self, takeover, successor):
        """Record the end of a takeover.

        This also replaces an older row, so that an end can be written again after
        the store has lost it.

        Returns
        -------
        Takeover or None
            None if the row has changed meanwhile.
        """
        ended = attrs.evolve(takeover, holder="", successor=successor, candidate="")
        return await self._replace_takeover(ended)

    async def _replace_takeover(self, takeover):
        revision = await self._write_takeover(takeover)
        return (
            None if revision is None else attrs.evolve(takeover, row_version=revision)
        )

    async def _write_takeover(self, takeover, with_fence=True):
        """Replace the row of a service's takeover, unless a newer one is known.

        Returns
        -------
        int or None
            Revision of the new row; None if the row has changed, or has not been
            read since the store was restored.
        """
        key = TAKEOVER_PREFIX + takeover.service
        expected = self._expected_version(key, takeover.row_version)
        if expected is None:
            return None
        row = _TakeoverRow(
            holder=takeover.holder,
            successor=takeover.successor,
            fence=takeover.fence if with_fence else None,
            era=self.era,
            term=takeover.term,
            candidate=takeover.candidate,
            log_term=takeover.log_term,
            log_index=takeover.log_index,
        )
        fields = attrs.asdict(row)
        if not with_fence:
            del fields["fence"]  # the revision that this row gets
        value = json.dumps(fields).encode()
        return await self._replace_rows({key: expected}, {key: value})

    async def _replace_rows(self, expected, values):
        """Replace rows of the instances' table, all of them or none.

        Parameters
        ----------
        expected : dict of str to int
            Version that each row must have; 0 if it must not exist.
        values : dict of str to bytes
            New content of each row.

        Returns
        -------
        int or None
            Revision of the new rows; None if one has changed meanwhile.
        """
        revision = await self.store_client.commit(INSTANCES_TABLE, expected, values)
        if revision is not None:
            version = store.version_of(revision)
            for key, value in values.items():
                self.rows[key] = store.Row(key, value, version)
        return revision

    async def record_replica_sets(self, replica_sets):
        """Replace the rows of replica sets, all of them or none.

        Parameters
        ----------
        replica_sets : list of ReplicaSet
            At most `MAX_REPLICA_SETS`.

        Returns
        -------
        list of ReplicaSet or None
            With their new revisions; None if a row has changed meanwhile.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the change.
        """
        expected = {}
        values = {}
        for found in replica_sets:
            key = REPLICA_SET_PREFIX + found.service
            expected[key] = self._expected_version(key, found.row_version)
            values[key] = _encode_replica_set(found, self.era)
        if None in expected.values():
            return None
        revision = await self._replace_rows(expected, values)
        if revision is None:
            return None
        written = [attrs.evolve(found, row_version=revision) for found in replica_sets]
        self.replica_sets.update((found.service, found) for found in written)
        return written

    async def record_settled_era(self):
        """Record that the store lacks nothing since it was restored last.

        Returns
        -------
        bool
            False if the row has changed meanwhile.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm the change.
        """
        era = self.rows_era
        if self.era != era:
            return False
        row = self.rows.get(SETTLED_ERA_KEY)
        expected = 0 if row is None else row.version
        value = json.dumps({"era": era}).encode()
        revision = await self._replace_rows(
            {SETTLED_ERA_KEY: expected}, {SETTLED_ERA_KEY: value}
        )
        if revision is None:
            return False
        self.settled_era = era
        return True

    def _expected_version(self, key, known_revision):
        """Return the version that a row of a service must have to be replaced.

        Notes
        -----
        Versions of an earlier era mean nothing in the current one, where they
        may have been given out again: then the row as read in this era counts,
        if it is not newer than the known one. An invalid row is replaced in any
        case: it would block all further takeovers of the service.
        """
        if self.rows_era != self.era:
            return None
        row = self.rows.get(key)
        entry = None if row is None else _rows.decode(row, _decode_row)
        is_replaceable = isinstance(entry, _rows.InvalidRow)
        if store.era_of(known_revision) == self.era and not is_replaceable:
            return store.version_of(known_revision)
        if row is None:
            return 0
        if not is_replaceable and entry.row_version > known_revision:
            return None
        return row.version

    async def register(self, instance):
        """Write an instance's row; returns the Instance with its new incarnation.

        The revision of the row is the incarnation, so each registration is newer
        than all earlier ones.
        """
        try:
            revision, value = await self._write_registration(instance)
        except store.StoreRestoredError:
            revision, value = await self._write_registration(instance)
        version = store.version_of(revision)
        self.rows[instance.name] = store.Row(instance.name, value, version)
        return attrs.evolve(instance, incarnation=revision)

    async def _write_registration(self, instance):
        value = self._encode_instance(instance)
        revision = await self.store_client.commit(
            INSTANCES_TABLE, {}, {instance.name: value}
        )
        return revision, value

    async def end_registration(self, instance):
        """Mark an instance's registration as ended, unless its row has changed."""
        ended = attrs.evolve(instance, leaving=True)
        await self._replace_row(instance.name, self._encode_instance(ended))

    async def remove_registration(self, instance):
        """Delete an instance's row, unless it has changed."""
        await self._replace_row(instance.name, None)

    def _encode_instance(self, instance):
        """Return the content of an instance's row, whose incarnation has the era."""
        incarnation = store.make_revision(self.era, 0)
        fields = attrs.asdict(attrs.evolve(instance, incarnation=incarnation))
        return json.dumps(fields).encode()

    async def _replace_row(self, name, value):
        if self.rows_era != self.era:
            raise store.StoreUnavailableError(
                f"rows of era {self.rows_era} are known, the store has era {self.era}"
            )
        row = self.rows.get(name)
        if row is not None:
            await self.store_client.commit(
                INSTANCES_TABLE, {name: row.version}, {name: value}
            )


@attrs.frozen
class _ConfigurationRow:
    """Content of the row with the configuration document."""

    text: str
    version: int


@attrs.frozen
class _EvacuationRow:
    """Content of a row that requests an evacuation, or takes it back."""

    data_centre: str
    is_requested: bool
    version: int


def _decode_operator_row(row):
    """Return the content of a row, or None for a row of another kind."""
    if row.key == CONFIGURATION_KEY and row.value is not None:
        return _ConfigurationRow(row.value.decode(), row.version)
    if not row.key.startswith(EVACUATION_PREFIX):
        return None
    name = _json.require_name(row.key.removeprefix(EVACUATION_PREFIX))
    if not name.strip():
        raise ValueError("expected the name of a data centre")
    return _EvacuationRow(name, row.value is not None, row.version)


def _follow_evacuations(evacuated, entries):
    """Return the evacuated data centres after changes of rows.

    Notes
    -----
    The feed of changes may contain several versions of the same row.
    """
    found = set(evacuated)
    changes = [entry for entry in entries if isinstance(entry, _EvacuationRow)]
    for change in sorted(changes, key=lambda change: change.version):
        if change.is_requested:
            found.add(change.data_centre)
        else:
            found.discard(change.data_centre)
    return frozenset(found)


@attrs.frozen
class _TakeoverRow:
    """Content of a takeover's row, without the fence until the takeover ends."""

    holder: str
    successor: str = ""
    fence: int | None = None
    era: int = 0
    term: int = 0
    candidate: str = ""
    log_term: int = 0
    log_index: int = 0


def _decode_row(row):
    """Return the Instance, Takeover, ReplicaSet or SettledEra of a row."""
    if row.key.startswith(TAKEOVER_PREFIX):
        return _decode_takeover(row)
    if row.key.startswith(REPLICA_SET_PREFIX):
        return _decode_replica_set(row)
    if row.key == SETTLED_ERA_KEY:
        fields = _json.parse_object(row.value)
        return SettledEra(
            _json.read(fields, "era", _json.require_integer, store.MAX_ERA)
        )
    return _decode_instance(row)


def _decode_instance(row):
    instance = _structure_row(row, membership.Instance)
    read = _json.read
    fault = membership.find_fault(instance)
    if fault is not None:
        raise ValueError(fault)
    if instance.name != row.key:
        raise ValueError("name: differs from the key")
    if not instance.build.isprintable():
        raise ValueError("build: expected printable characters")
    era = store.era_of(instance.incarnation)
    read({"era": era}, "era", _json.require_integer, store.MAX_ERA)
    return attrs.evolve(instance, incarnation=store.make_revision(era, row.version))


def _decode_takeover(row):
    fields = _structure_row(row, _TakeoverRow)
    era = _json.read({"era": fields.era}, "era", _json.require_integer, store.MAX_ERA)
    revision = store.make_revision(era, row.version)
    fence = revision if fields.fence is None else fields.fence
    for name in ("holder", "successor", "candidate"):
        if not getattr(fields, name).isprintable():
            raise ValueError(f"{name}: expected printable characters")
    return takeovers.Takeover(
        service=_json.require_name(row.key.removeprefix(TAKEOVER_PREFIX)),
        holder=fields.holder,
        successor=fields.successor,
        fence=_json.read({"fence": fence}, "fence", _json.require_integer, revision),
        row_version=revision,
        term=_read_number("term", fields.term),
        candidate=fields.candidate,
        log_term=_read_number("log_term", fields.log_term),
        log_index=_read_number("log_index", fields.log_index),
    )


def _decode_replica_set(row):
    fields = _json.parse_object(row.value)
    era = _json.read(fields, "era", _json.require_integer, store.MAX_ERA)
    return takeovers.make_replica_set(
        _json.require_name(row.key.removeprefix(REPLICA_SET_PREFIX)),
        _json.read(fields, "primary", _require_optional_name),
        _json.read(fields, "members", _decode_recorded_members),
        store.make_revision(era, row.version),
    )


def _decode_recorded_members(items):
    return [_decode_recorded_member(item) for item in _json.require_list(items)]


def _decode_recorded_member(fields):
    read = _json.read
    _json.require_object(fields)
    host, port = read(fields, "address", settings.parse_address)
    return takeovers.RecordedMember(
        name=read(fields, "name", _json.require_token),
        data_centre=read(fields, "data_centre", _json.require_name),
        host=host,
        port=port,
        is_leaving=read(fields, "is_leaving", _json.require_boolean),
    )


def _encode_replica_set(found, era):
    members = [
        {
            "name": member.name,
            "data_centre": member.data_centre,
            "address": f"{member.host}:{member.port}",
            "is_leaving": member.is_leaving,
        }
        for member in found.members
    ]
    fields = {"primary": found.primary, "members": members, "era": era}
    return json.dumps(fields).encode()


def _require_optional_name(value):
    return "" if value == "" else _json.require_name(value)


def _read_number(name, value):
    return _json.read({name: value}, name, _json.require_integer, MAX_NUMBER)


def _structure_row(row, cls):
    """Return the content of a row as an attrs class; raises ValueError.

    Fields that the class does not have are ignored: later versions may add them.
    """
    fields = _json.parse_object(row.value)
    names = {field.name for field in attrs.fields(cls)}
    known = {name: value for name, value in fields.items() if name in names}
    structured = checks.structure(known, cls)
    if structured.is_err():
        raise ValueError("; ".join(structured.err_value))
    return structured.ok_value
