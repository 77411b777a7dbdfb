"""The two reference deployments, bollette and alliance, at their full size."""

import attrs

KEY_FORMAT = "{account}-key"


@attrs.frozen
class Deployment:
    """Sizes and names of one deployment.

    Attributes
    ----------
    name : str
        Name of the deployment.
    data_centres : tuple of str
        Data centres, each with members and instances.
    services : tuple of str
        Database services.
    accounts : tuple of str
        Client accounts; the first `LARGE_ACCOUNTS` have the higher rate.
    slots, connection_limit : int
        Concurrent statements and connections that each member allows.
    client_delay_s, data_centre_delay_s, region_delay_s : float
        One-way delays between a client and an instance, between data centres, and
        between regions.
    open_delay_s : float
        Time that a new upstream connection takes.
    table : str
        Table that the demo writes to.
    setup : tuple of str
        Statements that create and fill the tables.
    """

    name: str
    data_centres: tuple
    services: tuple
    accounts: tuple
    slots: int
    connection_limit: int
    client_delay_s: float
    data_centre_delay_s: float
    region_delay_s: float
    open_delay_s: float
    table: str
    setup: tuple


BOLLETTE = Deployment(
    name="bollette",
    data_centres=("catania", "palermo", "agrigento"),
    services=("cases", "bills", "meters"),
    accounts=(
        "bollette-desk",
        "bollette-volunteers",
        "bollette-legal",
        "bollette-catania",
        "bollette-palermo",
        "bollette-agrigento",
        "bollette-audit",
        "bollette-training",
    ),
    slots=3,
    connection_limit=20,
    client_delay_s=0.003,
    data_centre_delay_s=0.0005,
    region_delay_s=0.012,
    open_delay_s=0.01,
    table="readings",
    setup=(
        "CREATE TABLE readings (id BIGSERIAL PRIMARY KEY, meter TEXT NOT NULL, "
        "kwh BIGINT NOT NULL, adviser TEXT)",
        "CREATE TABLE complaints (id BIGSERIAL PRIMARY KEY, reference TEXT UNIQUE, "
        "supplier TEXT, body TEXT, adviser TEXT)",
        "INSERT INTO readings (meter, kwh, adviser) VALUES "
        "('IT001E4471', 18250, 'desk-1'), ('IT001E4472', 9120, 'desk-2')",
    ),
)

ALLIANCE = Deployment(
    name="alliance",
    data_centres=("suva", "labasa", "nadi"),
    services=("scores", "teams", "stores"),
    accounts=(
        "alliance-suva",
        "alliance-labasa",
        "alliance-nadi",
        "alliance-judges",
        "alliance-coaches",
        "alliance-apprentices",
        "alliance-organisers",
        "alliance-standings",
    ),
    slots=2,
    connection_limit=30,
    client_delay_s=0.001,
    data_centre_delay_s=0.0015,
    region_delay_s=0.02,
    open_delay_s=0.01,
    table="marks",
    setup=(
        "CREATE TABLE marks (id BIGSERIAL PRIMARY KEY, team TEXT NOT NULL, "
        "course BIGINT NOT NULL, score BIGINT NOT NULL, judge TEXT)",
        "CREATE TABLE bookings (id BIGSERIAL PRIMARY KEY, pallet TEXT UNIQUE, "
        "team TEXT)",
        "INSERT INTO marks (team, course, score, judge) VALUES "
        "('suva-1', 1, 87, 'judge-a'), ('nadi-2', 1, 91, 'judge-b')",
    ),
)

ALL = (BOLLETTE, ALLIANCE)
LARGE_ACCOUNTS = 3
LARGE_RATE_PER_S = 400.0
SMALL_RATE_PER_S = 100.0


def rate_of(deployment, account):
    """Return the rate limit of a client account in requests per second."""
    is_large = deployment.accounts.index(account) < LARGE_ACCOUNTS
    return LARGE_RATE_PER_S if is_large else SMALL_RATE_PER_S


def password_of(account):
    """Return the clear-text key of a client account in the stand-in deployments."""
    return KEY_FORMAT.format(account=account)


def group_settings(deployment, data_centres=None, lag_s=0.02, service_s=0.0):
    """Return the settings of a deployment's groups as JSON values.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose groups are described.
    data_centres : tuple of str, default=None
        Data centres of the members; by default those of the deployment.
    lag_s : float
        Replication lag.
    service_s : float
        Time that each statement occupies a slot.
    """
    member_data_centres = data_centres or deployment.data_centres
    return [
        {
            "name": service,
            "setup": list(deployment.setup),
            "members": [
                {
                    "name": f"{service}-{data_centre}",
                    "data_centre": data_centre,
                    "slots": deployment.slots,
                    "connection_limit": deployment.connection_limit,
                    "open_delay_s": deployment.open_delay_s,
                    "lag_s": lag_s,
                    "service_s": service_s,
                }
                for data_centre in member_data_centres
            ],
        }
        for service in deployment.services
    ]
