"""Settings of an instance on a hosting platform."""

import attrs
import result

from pomelograde.core import checks


@attrs.frozen
class Addresses:
    """Addresses of outgoing connections.

    Attributes
    ----------
    bind_host : str
        Source IP address.
    """

    bind_host: str


@attrs.frozen
class HostedSettings:
    """Settings of one instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    data_centre, region : str
        Data centre and region that it runs in.
    regions : dict of str to str
        Region of each data centre.
    host : str
        IP address to listen on, and source address of outgoing connections.
    caller_port, ready_port, peer_port, metrics_port : int
        TCP ports for callers, the load balancer's readiness probe, other
        instances, and metrics.
    store : str
        Address of the platform's metadata store.
    failover_service : str
        Address of the platform's promotion service.
    revocation_s : float
        Time after which a withdrawn key is accepted by no instance.
    grace_s : float
        Time between the request to stop and the end of the process.
    rate_window_s : float
        Length of the windows over which rates are measured.
    rate_excess : float
        Fraction by which a window may exceed rate and burst.
    rate_slack : float
        Number of operations that a window may have in addition to that.
    member_heartbeat_s : float
        Interval between the heartbeats of a member.
    checks_members : bool
        Whether members may fail or be slow although they are registered as
        ready, so that they are judged by their answers.
    shares_members : bool
        Whether the connections and slots of the members are scarce, so that
        instances divide them by need.
    evacuation_s : float
        Time after which nothing is sent to an evacuated data centre any more.
    drain_s : float
        Time after which nothing new is sent to a member that has announced its
        shutdown.
    cold_excess, cold_slack : float
        Factor on the rate of a cold member, and statements in addition to it,
        that it may get within one second.
    data_centre_ms_per_kb, region_ms_per_kb : float
        Milliseconds of a caller's time that a kilobyte between the data centres
        of a region, and between regions, is worth.
    """

    instance: str
    data_centre: str
    region: str
    regions: dict
    host: str
    caller_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store: str
    failover_service: str
    revocation_s: float
    grace_s: float
    rate_window_s: float
    rate_excess: float
    rate_slack: float
    member_heartbeat_s: float
    checks_members: bool = False
    shares_members: bool = False
    evacuation_s: float = 5.0
    drain_s: float = float("inf")
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    data_centre_ms_per_kb: float = 5.0
    region_ms_per_kb: float = 20.0

    @property
    def addresses(self):
        """Addresses; shared tasks expect this attribute of both settings classes."""
        return Addresses(self.host)


_VALIDATORS = {
    "instance": checks.not_empty,
    "data_centre": checks.not_empty,
    "host": checks.not_empty,
    "store": checks.not_empty,
    "caller_port": checks.port,
    "ready_port": checks.port,
    "peer_port": checks.port,
    "metrics_port": checks.port,
    "revocation_s": checks.positive,
    "grace_s": checks.not_negative,
    "rate_window_s": checks.positive,
    "rate_excess": checks.not_negative,
    "rate_slack": checks.not_negative,
    "member_heartbeat_s": checks.positive,
    "evacuation_s": checks.positive,
    "drain_s": checks.positive,
    "cold_excess": checks.positive,
    "cold_slack": checks.not_negative,
    "data_centre_ms_per_kb": checks.not_negative,
    "region_ms_per_kb": checks.not_negative,
}


def check(settings):
    """Return a Result of the settings or of a list of error messages."""
    errors = []
    for name, validate in _VALIDATORS.items():
        try:
            validate(settings, None, getattr(settings, name))
        except (ValueError, TypeError) as error:
            errors.append(f"{name}: {error}")
    return result.Err(errors) if errors else result.Ok(settings)
