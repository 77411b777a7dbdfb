"""Structured log events with stable numbers."""

import enum


class Event(enum.Enum):
    """All events that are logged. A number is never reused for another event."""

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_STOPPING = 102
    DAEMON_STOPPED = 103
    DAEMON_FAILED = 104
    INTERNAL_FAULT = 110
    CALLER_REFUSED = 200
    CALLER_AUTHENTICATED = 201
    CALLER_CLOSED = 202
    STATEMENT_REFUSED = 210
    STATEMENT_RETRIED = 211
    STATEMENT_DONE = 212
    UPSTREAM_OPENED = 300
    UPSTREAM_OPEN_FAILED = 301
    UPSTREAM_LOST = 302
    PRIMARY_CHANGED = 310
    PROMOTION_STARTED = 311
    PROMOTION_STEP = 312
    MEMBER_UNREACHABLE = 313
    WATCHING_CHANGED = 314
    CONFIGURATION_APPLIED = 400
    CONFIGURATION_REJECTED = 401
    CONFIGURATION_AWAITED = 402
    CONFIGURATION_STALE = 403
    CONFIGURATION_CONFIRMED = 404
    RESOURCE_CHANGED = 405
    RESOURCE_IN_FORCE = 406
    PLATFORM_UNAVAILABLE = 410
    PLATFORM_AVAILABLE = 411
    STORE_RESTORED = 412
    TAKEOVER_RECORDED_AGAIN = 324
    CONFIGURATION_OUTDATED = 413
    ROW_INVALID = 414
    KEY_CONNECTIONS_CLOSED = 420
    PEER_REFUSED = 500
    INSTANCE_JOINED = 501
    INSTANCE_LOST = 502
    INSTANCE_LEAVING = 503
    INSTANCES_CHANGED = 504
    NEWS_SOURCE_SUSPECTED = 505
    UPSTREAM_MEMBERS_CHANGED = 315
    UPSTREAM_FULL = 316
    MEMBER_EJECTED = 330
    MEMBER_RETURNED = 331
    UPSTREAM_COLD = 325
    UPSTREAM_WARM = 326
    ROOM_LIMIT_CHANGED = 318
    READINESS_CHANGED = 105
    SHARE_CHANGED = 317
    MEMBER_CONTRADICTED = 319
    KEEPER_SUSPECTED = 506
    KEEPER_LEAVING = 507
    KEEPER_ANSWERS = 510
    MEMBER_CUT_OFF = 511
    MEMBER_REACHED = 512
    TRANSACTION_MISMATCHED = 513
    REGISTRATION_ENDED = 508
    REGISTRATION_KEPT = 509
    TAKEOVER_STARTED = 320
    TAKEOVER_STEP = 321
    TAKEOVER_ENDED = 322
    PRIMARY_HELD = 323
    EVACUATION_STARTED = 340
    EVACUATION_REMAINING = 341
    EVACUATION_ENDED = 342
    EVACUATION_STATUS_NOT_WRITTEN = 343
    OPERATOR_REFUSED = 430
    OPERATOR_CHANGE = 431
    OPERATOR_DRAIN = 432
    CERTIFICATE_LOADED = 440
    CERTIFICATE_REJECTED = 441


class Level(enum.Enum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


LEVELS = {
    Event.CALLER_AUTHENTICATED: Level.DEBUG,
    Event.CALLER_CLOSED: Level.DEBUG,
    Event.STATEMENT_REFUSED: Level.DEBUG,
    Event.STATEMENT_RETRIED: Level.DEBUG,
    Event.STATEMENT_DONE: Level.DEBUG,
    Event.UPSTREAM_OPENED: Level.DEBUG,
    Event.UPSTREAM_OPEN_FAILED: Level.WARNING,
    Event.UPSTREAM_LOST: Level.WARNING,
    Event.MEMBER_UNREACHABLE: Level.WARNING,
    Event.MEMBER_EJECTED: Level.WARNING,
    Event.MEMBER_CONTRADICTED: Level.WARNING,
    Event.PLATFORM_UNAVAILABLE: Level.WARNING,
    Event.STORE_RESTORED: Level.WARNING,
    Event.CONFIGURATION_OUTDATED: Level.WARNING,
    Event.ROW_INVALID: Level.WARNING,
    Event.CONFIGURATION_REJECTED: Level.ERROR,
    Event.INTERNAL_FAULT: Level.ERROR,
    Event.DAEMON_FAILED: Level.ERROR,
    Event.CERTIFICATE_REJECTED: Level.ERROR,
    Event.CONFIGURATION_AWAITED: Level.WARNING,
    Event.CONFIGURATION_STALE: Level.WARNING,
}


class Log:
    """Base class of event logs.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    def __init__(self, instance):
        self.instance = instance

    def write(self, event, **fields):
        """Log an event.

        Parameters
        ----------
        event : Event
            Event to log.
        **fields : str, int, float or bool
            Fields of the event; must not contain a key, a verifier or a
            password.
        """
        raise NotImplementedError
