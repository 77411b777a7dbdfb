"""Settings of a daemon: a JSON file, checked in one place."""

import json
import pathlib

import attrs
import result

from pomelograde.core import checks
from pomelograde.daemon import _secret_files
from pomelograde.net import certificates


@attrs.frozen
class Addresses:
    """Where the daemon listens.

    Attributes
    ----------
    host : str
        IP address to listen on.
    bind_host : str
        IP address to connect from; empty for any.
    caller_port, operator_port, metrics_port, peer_port : int
        TCP ports; 0 for one that the kernel picks.
    advertised_host : str
        IP address that peers are told to connect to; empty for `host`.
    advertised_peer_port : int
        Port that peers are told to connect to; 0 for `peer_port`.
    """

    host: str = attrs.field(default="127.0.0.1", validator=checks.not_empty)
    bind_host: str = ""
    caller_port: int = attrs.field(default=5432, validator=checks.port)
    operator_port: int = attrs.field(default=8432, validator=checks.port)
    metrics_port: int = attrs.field(default=9432, validator=checks.port)
    peer_port: int = attrs.field(default=7432, validator=checks.port)
    advertised_host: str = ""
    advertised_peer_port: int = attrs.field(default=0, validator=checks.port)


@attrs.frozen
class TlsSettings:
    """Certificate for callers and operators.

    Attributes
    ----------
    certificate_file, key_file : str
        PEM files; empty for no TLS.
    required : bool
        Whether callers without TLS are refused.
    """

    certificate_file: str = ""
    key_file: str = attrs.field(default="", repr=False)
    required: bool = False


@attrs.frozen
class PeerSettings:
    """Key material that instances authenticate each other with.

    Attributes
    ----------
    certificate_file, key_file, authority_file : str
        PEM files: this instance's certificate and key, and the certificate
        authority of the fleet. Empty for an instance that has no peers.
    """

    certificate_file: str = ""
    key_file: str = attrs.field(default="", repr=False)
    authority_file: str = ""


@attrs.frozen
class Operator:
    """Someone who may use the resource interface.

    Attributes
    ----------
    name : str
        Name that changes are recorded under.
    token_sha256 : str
        SHA-256 of the bearer token, in hexadecimal.
    token_file : str
        File with the bearer token, in place of `token_sha256`.
    """

    name: str = attrs.field(validator=checks.not_empty)
    token_sha256: str = attrs.field(
        default="", repr=False, validator=checks.sha256_or_empty
    )
    token_file: str = ""


@attrs.frozen
class PlatformSettings:
    """Where the platform is.

    Attributes
    ----------
    url : str
        Base address, such as ``http://10.0.0.1:8080``.
    timeout_s : float
        Time limit for a request.
    poll_interval_s : float
        Time between two looks for changes.
    """

    url: str = attrs.field(validator=checks.not_empty)
    timeout_s: float = attrs.field(default=2.0, validator=checks.positive)
    poll_interval_s: float = attrs.field(default=0.5, validator=checks.positive)


@attrs.frozen
class UpstreamSettings:
    """How upstream connections are opened.

    Attributes
    ----------
    password : str
        Password of the proxy's database roles.
    password_file : str
        File with the password, in place of `password`.
    open_timeout_s : float
        Time limit for opening a connection.
    """

    password: str = attrs.field(default="", repr=False)
    password_file: str = ""
    open_timeout_s: float = attrs.field(default=2.0, validator=checks.positive)


@attrs.frozen
class Limits:
    """Bounds on what callers can make the daemon hold.

    Attributes
    ----------
    caller_connections : int
        Most caller connections.
    starting_connections : int
        Most caller connections that have not authenticated yet.
    startup_timeout_s : float
        Time that a caller has to authenticate.
    frame_bytes : int
        Longest frame.
    prepared_statements : int
        Most prepared statements of one caller.
    pipelined_bytes : int
        Most bytes of statements that one caller may have waiting.
    rate_lease_s : float
        Time for which this instance may use its share of the rates without an
        answer of the platform.
    """

    caller_connections: int = attrs.field(default=10_000, validator=checks.positive)
    starting_connections: int = attrs.field(default=500, validator=checks.positive)
    startup_timeout_s: float = attrs.field(default=10.0, validator=checks.positive)
    frame_bytes: int = attrs.field(default=16_777_216, validator=checks.positive)
    prepared_statements: int = attrs.field(default=1000, validator=checks.positive)
    pipelined_bytes: int = attrs.field(default=33_554_432, validator=checks.positive)
    rate_lease_s: float = attrs.field(default=600.0, validator=checks.positive)


@attrs.frozen
class Logging:
    """How events are logged.

    Attributes
    ----------
    format : str
        "json" or "text".
    level : str
        Lowest level that is written: "debug", "info", "warning" or "error".
    """

    format: str = attrs.field(default="json", validator=checks.one_of("json", "text"))
    level: str = attrs.field(
        default="info", validator=checks.one_of("debug", "info", "warning", "error")
    )


@attrs.frozen
class ConfigurationSettings:
    """How long an instance serves without evidence of being up to date.

    Attributes
    ----------
    stale_after_s : float
        Age of the last evidence, from the platform or from all listed
        instances, above which requests by key are refused. A key that is
        withdrawn meanwhile works for at most this long.
    """

    stale_after_s: float = attrs.field(default=2.5, validator=checks.positive)


@attrs.frozen
class PeerSeed:
    """An instance to start from while the platform's list can't be had.

    Attributes
    ----------
    name, data_centre : str
        Name and data centre of the instance.
    host : str
        IP address.
    peer_port : int
        TCP port.
    """

    name: str = attrs.field(validator=checks.not_empty)
    data_centre: str = attrs.field(validator=checks.not_empty)
    host: str = attrs.field(validator=checks.not_empty)
    peer_port: int = attrs.field(validator=checks.port)


@attrs.frozen
class Settings:
    """All settings of a daemon.

    Attributes
    ----------
    instance : str
        Unique name of this instance.
    data_centre : str
        Data centre that it runs in.
    platform : PlatformSettings
        Where the platform is.
    upstream : UpstreamSettings
        How upstream connections are opened.
    region : str
        Region of the data centre.
    addresses : Addresses
        Where the daemon listens.
    tls : TlsSettings
        Certificate for callers and operators.
    peers : PeerSettings
        Key material that instances authenticate each other with.
    operators : list of Operator
        Who may use the resource interface.
    limits : Limits
        Bounds on what callers can make the daemon hold.
    configuration : ConfigurationSettings
        How long to serve without evidence of being up to date.
    seeds : list of PeerSeed
        Instances to start from while the platform is down.
    logging : Logging
        How events are logged.
    drain_timeout_s : float
        Most time that a graceful shutdown takes.
    """

    instance: str = attrs.field(validator=checks.not_empty)
    data_centre: str = attrs.field(validator=checks.not_empty)
    platform: PlatformSettings
    upstream: UpstreamSettings
    region: str = "default"
    addresses: Addresses = Addresses()
    tls: TlsSettings = TlsSettings()
    peers: PeerSettings = PeerSettings()
    operators: list[Operator] = attrs.field(factory=list)
    limits: Limits = Limits()
    configuration: ConfigurationSettings = ConfigurationSettings()
    seeds: list[PeerSeed] = attrs.field(factory=list)
    logging: Logging = Logging()
    drain_timeout_s: float = attrs.field(default=30.0, validator=checks.positive)


def load(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        JSON file.

    Returns
    -------
    Result of Settings or list of str
        The settings, or one message for each fault.
    """
    try:
        text = pathlib.Path(path).read_text("utf-8")
        value = json.loads(text)
    except OSError as error:
        return result.Err([f"{path}: {error.strerror}"])
    except ValueError as error:
        return result.Err([f"{path}: not JSON: {error}"])
    return parse(value).and_then(_secret_files.read_secrets).and_then(_check_files)


def parse(value):
    """Check settings given as a JSON value; returns as `load` does."""
    checked = checks.structure(value, Settings)
    if checks_fail := _check_pairs(checked):
        return result.Err(checks_fail)
    return checked


def _check_pairs(checked):
    if checked.is_err():
        return []
    settings = checked.ok_value
    faults = []
    if bool(settings.tls.certificate_file) != bool(settings.tls.key_file):
        faults.append("certificate_file and key_file go together @ $.tls")
    if settings.tls.required and not settings.tls.certificate_file:
        faults.append("required needs certificate_file and key_file @ $.tls")
    peers = settings.peers
    given = [bool(peers.certificate_file), bool(peers.key_file)]
    if len({*given, bool(peers.authority_file)}) > 1:
        faults.append(
            "certificate_file, key_file and authority_file go together @ $.peers"
        )
    return faults + _check_alternatives(settings)


def _check_alternatives(settings):
    faults = []
    upstream = settings.upstream
    if bool(upstream.password) == bool(upstream.password_file):
        faults.append("either password or password_file is required @ $.upstream")
    for index, operator in enumerate(settings.operators):
        if bool(operator.token_sha256) == bool(operator.token_file):
            faults.append(
                f"either token_sha256 or token_file is required @ $.operators[{index}]"
            )
    return faults


def _check_files(settings):
    faults = []
    if settings.tls.certificate_file:
        try:
            certificates.load(settings.tls)
        except certificates.CertificateError as error:
            faults.append(f"{error} @ $.tls")
    for name in attrs.asdict(settings.peers):
        path = getattr(settings.peers, name)
        if path and not pathlib.Path(path).is_file():
            faults.append(f"{path}: no such file @ $.peers.{name}")
    return result.Err(faults) if faults else result.Ok(settings)
