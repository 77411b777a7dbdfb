"""Settings of a daemon, read from a JSON file and validated."""

import json
import pathlib

import attrs
import result

from pomelograde.core import checks
from pomelograde.daemon import _secret_files
from pomelograde.net import certificates


@attrs.frozen
class Addresses:
    """Addresses and ports of the daemon.

    Attributes
    ----------
    host : str
        IP address to listen on.
    bind_host : str
        Source IP address of outgoing connections; empty lets the kernel choose.
    caller_port, operator_port, metrics_port, peer_port : int
        TCP port to listen on; 0 lets the kernel choose one.
    advertised_host : str
        IP address that peers connect to; empty for the same as `host`.
    advertised_peer_port : int
        TCP port that peers connect to; 0 for the same as `peer_port`.
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
    """TLS on the ports for callers and operators.

    Attributes
    ----------
    certificate_file, key_file : str
        PEM files of the certificate and its private key; empty to disable TLS.
    required : bool
        Whether callers that do not use TLS are refused.
    """

    certificate_file: str = ""
    key_file: str = attrs.field(default="", repr=False)
    required: bool = False


@attrs.frozen
class PeerSettings:
    """Mutual TLS between the instances.

    Attributes
    ----------
    certificate_file, key_file, authority_file : str
        PEM files of this instance's certificate, its private key, and the
        fleet's certificate authority; empty for an instance without peers.
    """

    certificate_file: str = ""
    key_file: str = attrs.field(default="", repr=False)
    authority_file: str = ""


@attrs.frozen
class Operator:
    """Operator who may use the operator API.

    Attributes
    ----------
    name : str
        Name that is recorded with the operator's changes.
    token_sha256 : str
        SHA-256 of the bearer token, in hexadecimal.
    token_file : str
        File that contains the bearer token, instead of `token_sha256`.
    """

    name: str = attrs.field(validator=checks.not_empty)
    token_sha256: str = attrs.field(
        default="", repr=False, validator=checks.sha256_or_empty
    )
    token_file: str = ""


@attrs.frozen
class PlatformSettings:
    """Connection to the platform.

    Attributes
    ----------
    url : str
        Base URL, such as ``http://10.0.0.1:8080``.
    timeout_s : float
        Time limit of a request.
    poll_interval_s : float
        Time between two polls for changes.
    """

    url: str = attrs.field(validator=checks.not_empty)
    timeout_s: float = attrs.field(default=2.0, validator=checks.positive)
    poll_interval_s: float = attrs.field(default=0.5, validator=checks.positive)


@attrs.frozen
class UpstreamSettings:
    """Opening of upstream connections.

    Attributes
    ----------
    password : str
        Password of the proxy's database roles.
    password_file : str
        File that contains the password, instead of `password`.
    open_timeout_s : float
        Time limit for opening a connection.
    """

    password: str = attrs.field(default="", repr=False)
    password_file: str = ""
    open_timeout_s: float = attrs.field(default=2.0, validator=checks.positive)


@attrs.frozen
class Limits:
    """Limits on the resources that callers can use.

    Attributes
    ----------
    caller_connections : int
        Maximum number of authenticated caller connections.
    starting_connections : int
        Maximum number of caller connections that have not authenticated yet.
    startup_timeout_s : float
        Time limit for a caller to authenticate.
    frame_bytes : int
        Maximum size of a frame, in bytes.
    prepared_statements : int
        Maximum number of prepared statements of one caller.
    pipelined_bytes : int
        Maximum size of the queued statements of one caller, in bytes.
    rate_lease_s : float
        Time for which this instance may use its share of the rate limits
        without an answer from the platform.
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
    """Format and level of the event log.

    Attributes
    ----------
    format : str
        "json" or "text".
    level : str
        Lowest level that is logged: "debug", "info", "warning" or "error".
    """

    format: str = attrs.field(default="json", validator=checks.one_of("json", "text"))
    level: str = attrs.field(
        default="info", validator=checks.one_of("debug", "info", "warning", "error")
    )


@attrs.frozen
class ConfigurationSettings:
    """How long an instance serves without confirmation of its configuration.

    Attributes
    ----------
    stale_after_s : float
        Time since the platform or all listed instances last confirmed that the
        configuration is the latest, after which requests by key are refused. A
        key that is withdrawn meanwhile works for at most this long.
    """

    stale_after_s: float = attrs.field(default=2.5, validator=checks.positive)


@attrs.frozen
class PeerSeed:
    """Instance to contact while the platform's list is unavailable.

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
        Connection to the platform.
    upstream : UpstreamSettings
        Opening of upstream connections.
    region : str
        Region of the data centre.
    addresses : Addresses
        Addresses and ports of the daemon.
    tls : TlsSettings
        TLS on the ports for callers and operators.
    peers : PeerSettings
        Mutual TLS between the instances.
    operators : list of Operator
        Operators who may use the operator API.
    limits : Limits
        Limits on the resources that callers can use.
    configuration : ConfigurationSettings
        How long to serve without confirmation of the configuration.
    seeds : list of PeerSeed
        Instances to contact while the platform's list is unavailable.
    logging : Logging
        Format and level of the event log.
    drain_timeout_s : float
        Time limit of a graceful shutdown.
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
        The settings with their secrets, or the error messages.
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
    """Validate settings given as a JSON value, without reading any file.

    Returns
    -------
    Result of Settings or list of str
        The settings, or the error messages.
    """
    parsed = checks.structure(value, Settings)
    if errors := _check_combinations(parsed):
        return result.Err(errors)
    return parsed


def _check_combinations(parsed):
    if parsed.is_err():
        return []
    settings = parsed.ok_value
    errors = []
    if bool(settings.tls.certificate_file) != bool(settings.tls.key_file):
        errors.append("certificate_file and key_file go together @ $.tls")
    if settings.tls.required and not settings.tls.certificate_file:
        errors.append("required needs certificate_file and key_file @ $.tls")
    peers = settings.peers
    is_given = [bool(peers.certificate_file), bool(peers.key_file)]
    if len({*is_given, bool(peers.authority_file)}) > 1:
        errors.append(
            "certificate_file, key_file and authority_file go together @ $.peers"
        )
    return errors + _check_alternatives(settings)


def _check_alternatives(settings):
    errors = []
    upstream = settings.upstream
    if bool(upstream.password) == bool(upstream.password_file):
        errors.append("either password or password_file is required @ $.upstream")
    for index, operator in enumerate(settings.operators):
        if bool(operator.token_sha256) == bool(operator.token_file):
            errors.append(
                f"either token_sha256 or token_file is required @ $.operators[{index}]"
            )
    return errors


def _check_files(settings):
    errors = []
    if settings.tls.certificate_file:
        try:
            certificates.load(settings.tls)
        except certificates.CertificateError as error:
            errors.append(f"{error} @ $.tls")
    for name in attrs.asdict(settings.peers):
        path = getattr(settings.peers, name)
        if path and not pathlib.Path(path).is_file():
            errors.append(f"{path}: no such file @ $.peers.{name}")
    return result.Err(errors) if errors else result.Ok(settings)
