"""Messages between instances and their Cap'n Proto encoding.

Names of message classes and of their attributes are part of the protocol: they
become the camel-case names of fields in `peers.capnp`.
"""

import functools
import pathlib
import zlib

import attrs
import capnp
import result

from pomelograde.core import membership

MIN_COMPRESS_BYTES = 1024  # typical result rows are shorter and hardly compress
COMPRESS_LEVEL = 1  # fast; reduces names and addresses to a quarter
MAX_UNPACKED_BYTES = 64 * 1024 * 1024  # four times the longest frame
WORD_BYTES = 8  # of Cap'n Proto
# Bits of the first packed byte; not 0 if a message has more than one segment.
SEGMENT_COUNT_TAG = 0x0F
ALL_NONZERO = 0xFF
# For each tag of a packed word, the places of its bytes that follow.
NONZERO_BYTES = [
    [place for place in range(WORD_BYTES) if tag >> place & 1] for tag in range(256)
]
MAX_ITEMS = 32_768  # in the lists of a message
FORMAT_PLAIN = b"\0"
FORMAT_COMPRESSED = b"\1"
FORMAT_STREAM = b"\2"  # `peer_streams`
# No instance opens a transaction of this number, so that earlier builds ignore
# its end.
WITHDRAWN = (1 << 64) - 1
MAX_PRIORITY = 255

SCHEMA_PATH = pathlib.Path(__file__).with_name("peers.capnp")
SCHEMA = capnp.load(str(SCHEMA_PATH))


@attrs.frozen
class InstanceNews:
    """Record of an instance.

    Attributes
    ----------
    age_ms : int
        Not used.
    beat : int
        Number of the instance's last heartbeat that the record is based on.
    state : int
        Value of `membership.State`.
    build : str
        Version and digest of its sources; earlier builds send none.
    """

    name: str
    data_centre: str
    region: str
    incarnation: int
    host: str
    peer_port: int
    leaving: bool = False
    age_ms: int = 0
    beat: int = 0
    state: int = 0
    build: str = ""


@attrs.frozen
class Heartbeat:
    """Heartbeat with records of instances.

    Attributes
    ----------
    revision : int
        Configuration revision in force.
    confirmed_age_ms : int
        Time since that revision was confirmed to be current.
    instances : list of InstanceNews
        Records of the sender and of instances whose state has changed.
    digest : int
        Hash of all records that the sender has.
    """

    revision: int
    confirmed_age_ms: int
    instances: list[InstanceNews]
    digest: int = 0


@attrs.frozen
class PrimaryNews:
    """Announces the primary of a group in a term."""

    group: str
    term: int
    primary: str


@attrs.frozen
class WitnessRequest:
    """Asks a witness whether it reaches a member.

    Attributes
    ----------
    group : str
        Group of the member.
    member : str
        Name of the member.
    host, port, data_centre : str, int and str
        Where it runs, for a witness without its registration; empty and 0 if
        that isn't told.
    """

    group: str
    member: str
    host: str = ""
    port: int = 0
    data_centre: str = ""


@attrs.frozen
class WitnessAnswer:
    """Whether the witness reaches the member, and what the member reported.

    Attributes
    ----------
    reachable : bool
        Whether the member answers the witness.
    role : str
        Role of the member.
    term : int
        Term of the member.
    log_term, log_index : int
        Last log position that the member has received.
    has_position : bool
        Whether that position is known; earlier builds don't tell it.
    """

    reachable: bool
    role: str = ""
    term: int = 0
    log_term: int = 0
    log_index: int = 0
    has_position: bool = False


@attrs.frozen
class MemberNews:
    """State of a member as a watcher knows it; term 0 for an unknown position."""

    name: str
    term: int
    index: int
    reachable: bool
    leaving: bool


@attrs.frozen
class GroupNews:
    """State of a group as a watcher knows it; an empty primary for none.

    Attributes
    ----------
    term : int
        Highest term with a known primary.
    members : list of MemberNews
        Members of the group.
    """

    group: str
    term: int
    primary: str
    members: list[MemberNews]


@attrs.frozen
class LoadNews:
    """What an instance knows of the load of one member.

    Attributes
    ----------
    member : str
        Name of the member.
    age_ms : int
        Age of the knowledge.
    stretch_percent : int
        Time to serve, in percent of what statements take at the fastest member
        under little load.
    wait_ms : int
        Time for which statements wait for a connection to the member.
    """

    member: str
    age_ms: int
    stretch_percent: int
    wait_ms: int


@attrs.frozen
class FloorQuery:
    """Part of a `FloorRequest` for one more group, with the same fields."""

    group: str
    loads: list[LoadNews] = attrs.field(factory=list)


@attrs.frozen
class FloorRequest:
    """Asks for a floor: a position at or above all acknowledged writes.

    Attributes
    ----------
    group : str
        Group of the primary.
    loads : list of LoadNews
        What the asking instance knows of the load of the group's members.
    queries : list of FloorQuery
        More groups to answer for; earlier builds answer for the first one only.
    """

    group: str
    loads: list[LoadNews] = attrs.field(factory=list)
    queries: list[FloorQuery] = attrs.field(factory=list)


@attrs.frozen
class FloorNews:
    """Part of a `FloorAnswer` for one more group, with the same fields."""

    group: str
    known: bool
    term: int = 0
    index: int = 0
    age_ms: int = 0
    loads: list[LoadNews] = attrs.field(factory=list)


@attrs.frozen
class FloorAnswer:
    """The floor, if it is known.

    Attributes
    ----------
    age_ms : int
        Time from the query of the members to the arrival of the request.
    loads : list of LoadNews
        What the answering instance knows of the load of the group's members.
    floors : list of FloorNews
        Answers for the further groups of the request.
    """

    known: bool
    term: int = 0
    index: int = 0
    age_ms: int = 0
    loads: list[LoadNews] = attrs.field(factory=list)
    floors: list[FloorNews] = attrs.field(factory=list)


@attrs.frozen
class ConfigurationNews:
    """Configuration rows up to a revision, as JSON."""

    revision: int
    rows: str


@attrs.frozen
class ConfigurationRequest:
    """Asks for the rows after a revision."""

    after_revision: int


@attrs.frozen
class BorrowRequest:
    """Asks for a loan of tokens or parts of a rate.

    Attributes
    ----------
    resource : str
        Client account or open route whose tokens are borrowed; empty for parts
        of all rates.
    amount : float
        Number of tokens.
    burst : float
        Not used.
    for_ms : int
        Duration of the loan in milliseconds.
    """

    resource: str
    amount: float
    burst: float
    for_ms: int


@attrs.frozen
class BorrowAnswer:
    """Amount that was lent; 0 is a refusal."""

    resource: str
    amount: float
    burst: float
    for_ms: int


@attrs.frozen
class CancelStatement:
    """Forwards a CancelRequest to the instance that has the session."""

    process_id: int
    secret: int


@attrs.frozen
class UpstreamNews:
    """A registered member of a database service."""

    service: str
    name: str
    data_centre: str
    host: str
    port: int
    leads: bool
    leaving: bool
    slots: int
    started_ms: int
    is_cold: bool = False


@attrs.frozen
class TakeoverNews:
    """The last takeover of a service's primary that is stored."""

    service: str
    holder: str
    successor: str
    fence: int
    row_version: int
    term: int = 0
    candidate: str = ""
    log_term: int = 0
    log_index: int = 0


@attrs.frozen
class EvidenceNews:
    """What one or several instances have seen of a member.

    Attributes
    ----------
    service, member : str
        Database service and its member.
    attempts, failures, reads, read_s : float
        Decayed counts and seconds, as in `placement.Evidence`.
    age_ms : int
        Time since the counts were taken.
    failed_age_ms, heard_age_ms, silent_age_ms : int
        Time since the last failure, the last answer, and since when an answer is
        missing; 0 for none.
    silent, answering, sources, suspecting : int
        Numbers of instances.
    collected : bool
        Whether the sender has collected it from others.
    passed : int
        Number of statements that an ejected member has served.
    """

    service: str
    member: str
    attempts: float
    failures: float
    reads: float
    read_s: float
    age_ms: int
    failed_age_ms: int
    silent: int
    answering: int
    sources: int
    suspecting: int
    collected: bool
    passed: int
    heard_age_ms: int
    silent_age_ms: int


@attrs.frozen
class AdmitRequest:
    """Asks a holder of a client account's rate for one token.

    Attributes
    ----------
    account : str
        Client account.
    budget_ms : int
        Time until the request's deadline.
    wait_ms : int
        Longest wait that is useful to the caller.
    priority : int
        0 is served first.
    """

    account: str
    budget_ms: int
    wait_ms: int
    priority: int


@attrs.frozen
class AdmitAnswer:
    """Decision of a holder on an `AdmitRequest`.

    Attributes
    ----------
    refusal : str
        Error kind; empty if the request is admitted.
    retry_after_ms : int
        Time after which a refused request may be sent again.
    """

    refusal: str = ""
    retry_after_ms: int = 0


@attrs.frozen
class NewsOffer:
    """Tells an instance with outdated state that the sender has newer state.

    Attributes
    ----------
    instances : list of InstanceNews
        Record of the sender, which the receiver may not know.
    configuration_version : int
        Version of the configuration that the sender has.
    evidence : list of EvidenceNews
        If not empty, the message only passes on evidence about members. Earlier
        builds take it for an offer.
    """

    instances: list[InstanceNews]
    configuration_version: int = 0
    evidence: list[EvidenceNews] = attrs.field(factory=list)


@attrs.frozen
class HoldRequest:
    """Announces that a primary is being replaced or has been replaced.

    Attributes
    ----------
    takeover : list of TakeoverNews
        The takeover, as the only item.
    grace_ms : int
        Time for operations under way to end; the answer is sent after it.
    """

    takeover: list[TakeoverNews]
    grace_ms: int


@attrs.frozen
class PathNews:
    """Something that an instance has found out about a path.

    Attributes
    ----------
    instance : str
        Instance that does not answer, or that reports about a member.
    member : str
        Member that this instance does not reach, or reaches again; empty for the
        instance itself.
    is_lost : bool
        Whether the path is lost rather than restored.
    age_ms : int
        Time since it was found.
    origin : str
        Instance that found it.
    """

    instance: str
    member: str = ""
    is_lost: bool = False
    age_ms: int = 0
    origin: str = ""


@attrs.frozen
class NewsRequest:
    """Asks for changed state and for the age of the peer's state.

    Attributes
    ----------
    configuration : int
        Version of the configuration row that the sender has; only earlier builds
        read it.
    upstreams_digest, instances_digest : int
        Hashes of the members and of the instances that the sender knows.
    configuration_version : int
        Version of the configuration that the sender has.
    paths : list of PathNews
        What the sender knows about paths.
    evidence : list of EvidenceNews
        What the sender has seen of members over its own connections.
    evacuations_digest : int
        Hash of the evacuations that the sender knows.
    """

    configuration: int
    upstreams_digest: int
    instances_digest: int
    configuration_version: int = 0
    paths: list[PathNews] = attrs.field(factory=list)
    evidence: list[EvidenceNews] = attrs.field(factory=list)
    evacuations_digest: int = 0


@attrs.frozen
class EvacuationNews:
    """An evacuated data centre."""

    data_centre: str


@attrs.frozen
class NewsAnswer:
    """The peer's state, where it differs from the state of the requester.

    Attributes
    ----------
    configuration : int
        Version of the configuration row; only earlier builds read it.
    document : str
        The configuration as the operator wrote it; empty if unchanged.
    configuration_age_ms, upstreams_age_ms : int
        Time from the peer's own query of the store to the arrival of the
        request; negative if the query was sent later.
    upstreams : list of UpstreamNews
        All members; empty if unchanged.
    instances : list of InstanceNews
        All registered instances; empty if unchanged.
    takeovers : list of TakeoverNews
        Last takeover of each service; sent with the instances.
    configuration_version : int
        Version of the configuration.
    paths : list of PathNews
        What the sender knows about paths.
    evidence : list of EvidenceNews
        What other instances have seen of members, collected.
    evacuations_digest : int
        Hash of the evacuations; 0 from earlier builds, which know of none.
    evacuations_era, evacuations_revision : int
        Era and revision of the store at which they were read.
    evacuations_age_ms : int
        Time from that read to the arrival of the request.
    evacuations : list of EvacuationNews
        All evacuated data centres; empty if unchanged.
    is_unsettled : bool
        Whether the sender has started since the store returned from an older copy,
        and has not learned what the copy lacks.
    """

    configuration: int
    document: str
    configuration_age_ms: int
    upstreams_digest: int
    upstreams: list[UpstreamNews]
    upstreams_age_ms: int
    instances_digest: int
    instances: list[InstanceNews]
    takeovers: list[TakeoverNews] = attrs.field(factory=list)
    configuration_version: int = 0
    paths: list[PathNews] = attrs.field(factory=list)
    evidence: list[EvidenceNews] = attrs.field(factory=list)
    evacuations_digest: int = 0
    evacuations_era: int = 0
    evacuations_revision: int = 0
    evacuations_age_ms: int = 0
    evacuations: list[EvacuationNews] = attrs.field(factory=list)
    is_unsettled: bool = False


@attrs.frozen
class Ping:
    """Asks for an empty reply, to check the connection."""


@attrs.frozen
class Leaving:
    """Announces that the sender is shutting down."""


@attrs.frozen
class Setting:
    """A setting of a session."""

    name: bytes
    value: bytes


@attrs.frozen
class RelayRequest:
    """Asks an instance to use one of its upstream connections.

    Attributes
    ----------
    step : str
        ``execute``, ``begin``, ``roll_back`` or ``discard``.
    service, member, account : str
        Database service, member and client account of the connection.
    transaction : int
        Number returned by ``begin``; 0 outside of transactions.
    budget_ms : int
        Time left to acquire a connection.
    on_primary : bool
        Whether to send only while the receiver may use the member as the primary.
    read_only : bool
        For ``begin``: whether the transaction is read-only.
    after_term, after_index, has_after : int, int, bool
        Position that the member's log must hold, if there is one.
    request_id, operation, text, value : bytes, str, bytes, bytes
        The statement.
    shape, is_prepared, writes : bytes, bool, bool
        The prepared statement that it executes, if any.
    settings : list of Setting
        Session settings that the connection must have.
    paths : list of PathNews
        What the sender knows about paths.
    priority : int
        Priority in the queue; 0 is served first.
    has_alternative : bool
        Whether another member may serve the statement now.
    is_cold : bool
        Whether the sender takes the member for cold.
    useful_ms : int
        Time left to meet the latency objective; 0 if that doesn't matter.
    call : int
        Number of the request at its sender, so that it can be withdrawn; 0 for
        none. ``discard`` with `WITHDRAWN` as the transaction withdraws it.
    """

    step: str
    service: str
    member: str
    account: str
    transaction: int = 0
    budget_ms: int = 0
    on_primary: bool = False
    read_only: bool = False
    after_term: int = 0
    after_index: int = 0
    has_after: bool = False
    request_id: bytes = b""
    operation: str = ""
    text: bytes = b""
    value: bytes = b""
    shape: bytes = b""
    is_prepared: bool = False
    writes: bool = False
    settings: list[Setting] = attrs.field(factory=list)
    paths: list[PathNews] = attrs.field(factory=list)
    priority: int = 0
    has_alternative: bool = False
    is_cold: bool = False
    useful_ms: int = 0
    call: int = 0


@attrs.frozen
class RelayAnswer:
    """The upstream's answer, or the reason why nothing was sent to it.

    Attributes
    ----------
    refusal : str
        Error kind if nothing was sent; empty otherwise.
    retry_after_ms : int
        For a refusal: time after which a retry is useful.
    transaction : int
        Number of the open transaction.
    rows, digest, has_digest, error, text, status : list, bytes, bool, str, bytes, bytes
        The upstream's answer.
    term, index, has_position : int, int, bool
        Position of the upstream's log, if known.
    paths : list of PathNews
        What the sender knows about paths.
    path_failed : bool
        Whether the sender does not reach the member. Without a refusal, a read
        was sent before that was noticed.
    held_us : int
        Time from the arrival of the request to its answer; 0 if the owner does
        not measure it.
    served_us : int
        Part of it in which the member ran the statement; 0 if none ran.
    queue, in_flight : int, int
        Statements that wait at the owner for a connection to the member, and
        those that run there.
    """

    refusal: str = ""
    retry_after_ms: int = 0
    transaction: int = 0
    rows: list[bytes] = attrs.field(factory=list)
    digest: bytes = b""
    has_digest: bool = False
    error: str = ""
    text: bytes = b""
    status: bytes = b""
    term: int = 0
    index: int = 0
    has_position: bool = False
    paths: list[PathNews] = attrs.field(factory=list)
    path_failed: bool = False
    held_us: int = 0
    served_us: int = 0
    queue: int = 0
    in_flight: int = 0


@attrs.frozen
class Empty:
    """A reply without content."""


@attrs.frozen
class Envelope:
    """A message with its sender.

    Attributes
    ----------
    sender : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    request_id : int
        Id of the request that the message is or answers; 0 for neither.
    is_reply : bool
        Whether the message is a reply.
    message : object
        One of the message classes.
    accepts_streams : bool
        Whether the sender can decode messages in `FORMAT_STREAM`; earlier builds
        can't.
    connection : object or None
        Connection that the message has arrived over; it isn't sent.
    """

    sender: str
    incarnation: int
    request_id: int
    is_reply: bool
    message: object
    accepts_streams: bool = True
    connection: object = attrs.field(default=None, eq=False, repr=False)


MESSAGE_CLASSES = (
    Heartbeat,
    PrimaryNews,
    WitnessRequest,
    WitnessAnswer,
    ConfigurationNews,
    ConfigurationRequest,
    BorrowRequest,
    BorrowAnswer,
    CancelStatement,
    GroupNews,
    FloorRequest,
    FloorAnswer,
    NewsRequest,
    NewsAnswer,
    RelayRequest,
    RelayAnswer,
    Ping,
    HoldRequest,
    Leaving,
    NewsOffer,
    AdmitRequest,
    AdmitAnswer,
)

ITEM_CLASSES = {
    "instances": InstanceNews,
    "members": MemberNews,
    "paths": PathNews,
    "upstreams": UpstreamNews,
    "settings": Setting,
    "takeover": TakeoverNews,
    "takeovers": TakeoverNews,
    "evidence": EvidenceNews,
    "loads": LoadNews,
    "queries": FloorQuery,
    "floors": FloorNews,
    "evacuations": EvacuationNews,
}


def write_instance(instance, **further_fields):
    """Return an `InstanceNews`; `further_fields` are those that `Instance` lacks."""
    return InstanceNews(**attrs.asdict(instance), **further_fields)


def read_instance(news):
    """Return the Result of the `Instance` of an `InstanceNews`, or what is wrong.

    Returns
    -------
    Result of Instance or str
        The instance, or why no connection can be opened to it.
    """
    fields = [field.name for field in attrs.fields(membership.Instance)]
    found = membership.Instance(**{name: getattr(news, name) for name in fields})
    fault = membership.find_fault(found)
    return result.Ok(found) if fault is None else result.Err(fault)


def _camel_case(name):
    head, *rest = name.split("_")
    return head + "".join(word.capitalize() for word in rest)


def _field_name(cls):
    return cls.__name__[0].lower() + cls.__name__[1:]


CLASSES_BY_FIELD = {_field_name(cls): cls for cls in MESSAGE_CLASSES}


@functools.cache
def _field_names(cls):
    return [(field.name, _camel_case(field.name)) for field in attrs.fields(cls)]


def pack(envelope):
    """Encode an envelope without compression."""
    built = SCHEMA.Envelope.new_message(
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        requestId=envelope.request_id,
        isReply=envelope.is_reply,
        acceptsStreams=envelope.accepts_streams,
    )
    message = envelope.message
    if isinstance(message, Empty):
        built.body.empty = None
    else:
        target = built.body.init(_field_name(type(message)))
        _fill_struct(target, message)
    return built.to_bytes_packed()


def encode(envelope):
    """Encode an envelope by itself; long messages are compressed."""
    packed = pack(envelope)
    if len(packed) < MIN_COMPRESS_BYTES:
        return FORMAT_PLAIN + packed
    return FORMAT_COMPRESSED + zlib.compress(packed, COMPRESS_LEVEL)


def decode(data):
    """Decode an envelope that `encode` has encoded.

    Raises
    ------
    capnp.KjException, ValueError
        If the data is malformed.
    """
    packed = data[1:]
    if data[:1] == FORMAT_COMPRESSED:
        packed = _decompress(packed)
    elif data[:1] != FORMAT_PLAIN:
        raise ValueError("unknown message format")
    return unpack(packed)


def unpack(packed):
    """Decode an envelope that `pack` has encoded.

    Raises
    ------
    capnp.KjException, ValueError
        If the data is malformed.
    """
    if packed and packed[0] & SEGMENT_COUNT_TAG:
        # The library reads further segments lazily and ends the process in a
        # destructor if they are missing.
        with SCHEMA.Envelope.from_bytes(_unpack_words(packed)) as built:
            return _read_envelope(built)
    return _read_envelope(SCHEMA.Envelope.from_bytes_packed(packed))


def _read_envelope(built):
    which = built.body.which()
    message = Empty()
    if which != "empty":
        source = getattr(built.body, which)
        message = _read_struct(CLASSES_BY_FIELD[which], source, [MAX_ITEMS])
    return Envelope(
        built.sender,
        built.incarnation,
        built.requestId,
        built.isReply,
        message,
        built.acceptsStreams,
    )


def _decompress(data):
    unpacker = zlib.decompressobj()
    try:
        packed = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("compressed message is truncated or too long")
    return packed


def _unpack_words(packed):
    """Undo the packing of Cap'n Proto; raises ValueError if it is malformed."""
    words = bytearray()
    position, end = 0, len(packed)
    while position < end:
        tag = packed[position]
        start = position + 1
        stop = start + len(NONZERO_BYTES[tag])
        if tag == 0:
            position = start + 1
            words += bytes(WORD_BYTES * (1 + packed[start])) if start < end else b""
        elif tag == ALL_NONZERO:
            count = packed[stop] if stop < end else 0
            position = stop + 1 + WORD_BYTES * count
            words += packed[start:stop]
            words += packed[stop + 1 : position]
        else:
            word = bytearray(WORD_BYTES)
            for place, value in zip(
                NONZERO_BYTES[tag], packed[start:stop], strict=False
            ):
                word[place] = value
            words += word
            position = stop
        if len(words) > MAX_UNPACKED_BYTES:
            raise ValueError("message is too long")
    if position > end:
        raise ValueError("message is truncated")
    return bytes(words)


def _fill_struct(target, message):
    for name, camel in _field_names(type(message)):
        value = getattr(message, name)
        if not isinstance(value, list):
            setattr(target, camel, value)
            continue
        items = target.init(camel, len(value))
        for index, item in enumerate(value):
            if isinstance(item, bytes):
                items[index] = item
            else:
                _fill_struct(items[index], item)


def _read_struct(cls, source, remaining):
    """Return an object of a message class; `remaining` holds how many items may follow.

    A list takes the same few bytes however many items it claims to hold.
    """
    values = {}
    for name, camel in _field_names(cls):
        value = getattr(source, camel)
        if name in ITEM_CLASSES:
            remaining[0] -= len(value)
            if remaining[0] < 0:
                raise ValueError(f"message has more than {MAX_ITEMS} items")
            value = [
                _read_struct(ITEM_CLASSES[name], item, remaining) for item in value
            ]
        elif name == "rows" and cls is RelayAnswer:
            value = list(value)
        values[name] = value
    return cls(**values)
