"""Faults that were mended, put back one at a time to prove the days."""

import contextlib
import unittest.mock

from pomelograde.core import placement, takeovers


async def _confirm_at_once(task, group, promotion, connections):
    """End a takeover without having seen the successor lead."""
    return promotion


def _use_any_primary(group, now):
    """Use any member whose row says that it leads, without the successor's row."""
    found = _FIND_SUCCESSOR(group, now)
    if group.successor in group.members:
        return found
    rows = group.members.values()
    leading = [one.name for one in rows if one.role is placement.Role.PRIMARY]
    return leading[-1] if leading else None


def _choose_again(takeover, led_term, position):
    """Forget what an earlier run of the takeover has decided."""
    return takeovers.Step.CHOOSE


def _require_furthest(requirement, positions):
    """Count the replicas that have answered as all replicas."""
    return max(positions, default=None)


def _count_any_position(group, name, at):
    """Count a position that was requested before its member led."""
    return name == group.primary


def _find_no_lapsed(group):
    """Count a member without a row as gone."""
    return []


def _find_no_record(sync, service):
    """Count the members that have a row now."""
    return


_FIND_SUCCESSOR = placement.Group._find_successor
_GROUP = "pomelograde.core.placement.Group"
_REQUIREMENT = "pomelograde.core.takeovers.LogRequirement.find_required"
# Replicas without a row are neither asked nor counted.
_ROWS_ALONE = {
    f"{_GROUP}.find_lapsed": _find_no_lapsed,
    "pomelograde.net.hosted.state_sync.StateSync.find_replica_set": _find_no_record,
}
REVERTED = {
    "review-3": {_REQUIREMENT: _require_furthest},
    "review-6": {f"{_GROUP}._find_successor": _use_any_primary},
    "review-7": {"pomelograde.core.takeovers.find_step": _choose_again},
    "review-8": {f"{_GROUP}.leads_since": _count_any_position},
    "review-10": {
        "pomelograde.net.hosted.takeovers.TakeoverTask._confirm_promotion": (
            _confirm_at_once
        )
    },
    "review-11": _ROWS_ALONE,
    "replica-without-row": _ROWS_ALONE,
}


@contextlib.contextmanager
def put_back(name):
    """Put a mended fault back while the context is entered.

    Parameters
    ----------
    name : str
        Name in `REVERTED`; empty for none.
    """
    with contextlib.ExitStack() as stack:
        for target, replacement in REVERTED.get(name, {}).items():
            stack.enter_context(unittest.mock.patch(target, replacement))
        yield
