"""Typed messages between instances and their Cap'n Proto form."""

import functools
import pathlib
import zlib

import attrs
import capnp

from pomelograde.core import membership

COMPRESS_FROM_BYTES = 1024  # rows of usual answers are shorter, and don't shrink
COMPRESS_LEVEL = 1  # fast; names and addresses shrink to a quarter
MAX_BYTES = 64 * 1024 * 1024  # of one message, unpacked; four times the longest frame
PLAIN = b"\0"
COMPRESSED = b"\1"

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))


@attrs.frozen
class InstanceNews:
    """What a peer knows of an instance.

    Attributes
    ----------
    age_ms : int
        Not used.
    beat : int
        Number of the instance's heartbeat that this rests on.
    state : int
        Value of `membership.State`.
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


@attrs.frozen
class Heartbeat:
    """Sign of life, with what the sender knows.

    Attributes
    ----------
    revision : int
        Configuration revision in force.
    confirmed_age_ms : int
        Time since that revision was confirmed to be current.
    instances : list of InstanceNews
        Instances that the sender speaks for.
    digest : int
        Hash of all that the sender knows of the fleet.
    """

    revision: int
    confirmed_age_ms: int
    instances: list[InstanceNews]
    digest: int = 0


@attrs.frozen
class PrimaryNews:
    """A member leads a group in a term."""

    group: str
    term: int
    primary: str


@attrs.frozen
class WitnessRequest:
    """Asks whether the receiver can reach a member."""

    group: str
    member: str


@attrs.frozen
class WitnessAnswer:
    """Whether a member can be reached, and what it said of itself."""

    reachable: bool
    role: str = ""
    term: int = 0


@attrs.frozen
class MemberNews:
    """What a watcher knows of a member; a term of 0 for no position."""

    name: str
    term: int
    index: int
    reachable: bool
    leaving: bool


@attrs.frozen
class GroupNews:
    """What a watcher knows of a group; an empty primary for none.

    Attributes
    ----------
    term : int
        Highest term that a primary is known for.
    members : list of MemberNews
        Members of the group.
    """

    group: str
    term: int
    primary: str
    members: list[MemberNews]


@attrs.frozen
class FloorRequest:
    """Asks for a position at or above all writes acknowledged so far."""

    group: str


@attrs.frozen
class FloorAnswer:
    """The position asked for, if it is known.

    Attributes
    ----------
    age_ms : int
        Time between the question to the members and the arrival of the
        request that this answers.
    """

    known: bool
    term: int = 0
    index: int = 0
    age_ms: int = 0


@attrs.frozen
class ConfigurationNews:
    """Configuration rows, as JSON, up to a revision."""

    revision: int
    rows: str


@attrs.frozen
class ConfigurationRequest:
    """Asks for the rows after a revision."""

    after_revision: int


@attrs.frozen
class BorrowRequest:
    """Asks for a part of an allotment.

    Attributes
    ----------
    resource : str
        What is borrowed, such as a client account's rate.
    amount : float
        Units a second, or units.
    burst : float
        Burst that goes with it.
    for_ms : int
        How long, in milliseconds.
    """

    resource: str
    amount: float
    burst: float
    for_ms: int


@attrs.frozen
class BorrowAnswer:
    """What was lent; an amount of 0 is a refusal."""

    resource: str
    amount: float
    burst: float
    for_ms: int


@attrs.frozen
class CancelStatement:
    """A CancelRequest that reached another instance."""

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


@attrs.frozen
class TakeoverNews:
    """The last replacement of a service's primary, as the store has it."""

    service: str
    holder: str
    successor: str
    fence: int
    row_version: int


@attrs.frozen
class AdmitRequest:
    """Asks a holder of an account's rate for one token.

    Attributes
    ----------
    account : str
        Client account.
    budget_ms : int
        Time that the request has left.
    wait_ms : int
        Longest wait that is of use to the caller.
    priority : int
        0 is served first.
    """

    account: str
    budget_ms: int
    wait_ms: int
    priority: int


@attrs.frozen
class AdmitAnswer:
    """What a holder decided.

    Attributes
    ----------
    refusal : str
        Error kind; empty for an admitted request.
    retry_after_ms : int
        When a refused request may be sent again.
    """

    refusal: str = ""
    retry_after_ms: int = 0


@attrs.frozen
class NewsOffer:
    """Tells an instance whose news are old whom to ask.

    Attributes
    ----------
    instances : list of InstanceNews
        The sender, which the receiver may not know.
    """

    instances: list[InstanceNews]


@attrs.frozen
class HoldRequest:
    """Tells that a primary is being replaced, or has been.

    Attributes
    ----------
    takeover : list of TakeoverNews
        The one that this is about.
    grace_ms : int
        Time in which what is under way may end; the answer comes after it.
    """

    takeover: list[TakeoverNews]
    grace_ms: int


@attrs.frozen
class NewsRequest:
    """Asks what has changed, and how recent what the peer knows is.

    Attributes
    ----------
    configuration : int
        Version of the configuration's row that the sender has.
    upstreams_digest, instances_digest : int
        Hash of the members and of the instances that the sender knows.
    """

    configuration: int
    upstreams_digest: int
    instances_digest: int


@attrs.frozen
class NewsAnswer:
    """What the peer knows, where it differs from what the sender has.

    Attributes
    ----------
    configuration : int
        Version of the configuration's row.
    document : str
        The configuration, as the operator wrote it; empty if it is the same.
    configuration_age_ms, upstreams_age_ms : int
        Time between the peer's own question to the store and the arrival of
        this request; negative if the question came later.
    upstreams : list of UpstreamNews
        All members; empty if they are the same.
    instances : list of InstanceNews
        All registered instances; empty if they are the same.
    takeovers : list of TakeoverNews
        Last takeover of each service; comes with the instances.
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


@attrs.frozen
class Ping:
    """Asks for any answer at all."""


@attrs.frozen
class Leaving:
    """Tells that its sender has begun to stop."""


@attrs.frozen
class Setting:
    """A setting of a session."""

    name: bytes
    value: bytes


@attrs.frozen
class RelayRequest:
    """Asks an instance to do something on a connection that it keeps.

    Attributes
    ----------
    step : str
        ``execute``, ``begin``, ``roll_back`` or ``discard``.
    service, member, account : str
        Whose connection is needed, and to which member.
    transaction : int
        Number that the answer to ``begin`` gave; 0 outside of transactions.
    budget_ms : int
        Time that is left to get a connection.
    on_primary : bool
        Whether the member must be the primary, and usable as such.
    read_only : bool
        For ``begin``: whether the transaction only reads.
    after_term, after_index, has_after : int, int, bool
        Position that the member's log must hold, if there is one.
    request_id, operation, text, value : bytes, str, bytes, bytes
        The statement.
    shape, is_prepared, writes : bytes, bool, bool
        The prepared statement that it executes, if it does.
    settings : list of Setting
        Settings that the connection must have.
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


@attrs.frozen
class RelayAnswer:
    """What the upstream answered, or why nothing was sent to it.

    Attributes
    ----------
    refusal : str
        Kind of the error if nothing was sent; empty otherwise.
    retry_after_ms : int
        Time after which a retry is useful, for a refusal.
    transaction : int
        Number of the transaction that is open.
    rows, digest, has_digest, error, text, status : list, bytes, bool, str, bytes, bytes
        The upstream's answer.
    term, index, has_position : int, int, bool
        Position of the upstream's log, if it is known.
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


@attrs.frozen
class Empty:
    """A reply without contents."""


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
        Number of the request that this is or answers; 0 for neither.
    is_reply : bool
        Whether this is an answer.
    message : object
        One of the message classes.
    """

    sender: str
    incarnation: int
    request_id: int
    is_reply: bool
    message: object


CLASSES = (
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

ITEMS = {
    "instances": InstanceNews,
    "members": MemberNews,
    "upstreams": UpstreamNews,
    "settings": Setting,
    "takeover": TakeoverNews,
    "takeovers": TakeoverNews,
}


def write_instance(instance, **known):
    """Return the news of an instance; `known` are its further fields."""
    return InstanceNews(**attrs.asdict(instance), **known)


def read_instance(news):
    """Return the Instance that the news is of."""
    fields = [field.name for field in attrs.fields(membership.Instance)]
    return membership.Instance(**{name: getattr(news, name) for name in fields})


def _camel(name):
    head, *rest = name.split("_")
    return head + "".join(word.capitalize() for word in rest)


def _field_name(cls):
    return cls.__name__[0].lower() + cls.__name__[1:]


BY_FIELD = {_field_name(cls): cls for cls in CLASSES}


@functools.cache
def _names(cls):
    return [(field.name, _camel(field.name)) for field in attrs.fields(cls)]


def encode(envelope):
    """Return the bytes of an envelope."""
    built = SCHEMA.Envelope.new_message(
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        requestId=envelope.request_id,
        isReply=envelope.is_reply,
    )
    message = envelope.message
    if isinstance(message, Empty):
        built.body.empty = None
    else:
        target = built.body.init(_field_name(type(message)))
        _fill(target, message)
    packed = built.to_bytes_packed()
    if len(packed) < COMPRESS_FROM_BYTES:
        return PLAIN + packed
    return COMPRESSED + zlib.compress(packed, COMPRESS_LEVEL)


def decode(data):
    """Read the bytes of an envelope.

    Raises
    ------
    capnp.KjException, ValueError
        If they are malformed.
    """
    packed = data[1:]
    if data[:1] == COMPRESSED:
        packed = _decompress(packed)
    elif data[:1] != PLAIN:
        raise ValueError("unknown form of message")
    built = SCHEMA.Envelope.from_bytes_packed(packed)
    which = built.body.which()
    message = Empty()
    if which != "empty":
        message = _read(BY_FIELD[which], getattr(built.body, which))
    return Envelope(
        built.sender, built.incarnation, built.requestId, built.isReply, message
    )


def _decompress(data):
    unpacker = zlib.decompressobj()
    try:
        packed = unpacker.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("message is cut off or too long")
    return packed


def _fill(target, message):
    for name, camel in _names(type(message)):
        value = getattr(message, name)
        if not isinstance(value, list):
            setattr(target, camel, value)
            continue
        items = target.init(camel, len(value))
        for index, item in enumerate(value):
            if isinstance(item, bytes):
                items[index] = item
            else:
                _fill(items[index], item)


def _read(cls, source):
    values = {}
    for name, camel in _names(cls):
        value = getattr(source, camel)
        if name in ITEMS:
            value = [_read(ITEMS[name], item) for item in value]
        elif name == "rows" and cls is RelayAnswer:
            value = list(value)
        values[name] = value
    return cls(**values)
