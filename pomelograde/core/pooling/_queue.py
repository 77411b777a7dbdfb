"""Start-time fair queueing between client accounts."""

import collections
import itertools

import attrs


@attrs.define(eq=False)
class Waiter:
    """A statement that waits for an upstream connection.

    Attributes
    ----------
    account : str
        Client account that the statement runs for.
    role : str
        Database role that the connection must have.
    deadline : float
        Monotonic seconds after which the statement is refused.
    context : object
        Opaque object of the pool's caller, returned with the decision.
    weight : float
        Weight of the client account in the fair queue.
    abandoned : bool
        Whether the statement no longer waits and must be skipped.
    priority : int
        0 is served first where the queue goes by it.
    has_alternative : bool
        Whether another member may serve the statement now.
    """

    account: str
    role: str
    deadline: float
    context: object
    weight: float = 1.0
    abandoned: bool = False
    priority: int = 0
    has_alternative: bool = False


class FairQueue:
    """Orders waiters so that each client account gets its weighted share.

    Attributes
    ----------
    length : int
        Number of waiters, including abandoned ones that are still queued.

    Notes
    -----
    Each waiter gets a start tag: the larger of the queue's virtual time and
    the finish tag of the account's previous waiter. The waiter with the lowest
    start tag is served first and advances the virtual time to its tag. Waiters
    of one account are served in order of arrival, so only the first waiter of
    each account has to be compared.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self):
        self.by_account = {}
        self.finish_tags = {}
        self.virtual_time = 0.0
        self.length = 0
        self._sequence = itertools.count()

    def push(self, waiter, by_priority=False):
        """Add a waiter; `by_priority` puts it behind all of a lower number."""
        priority = waiter.priority if by_priority else 0
        start = max(self.virtual_time, self.finish_tags.get(waiter.account, 0.0))
        self.finish_tags[waiter.account] = start + 1.0 / waiter.weight
        waiters = self.by_account.get(waiter.account)
        if waiters is None:
            waiters = self.by_account[waiter.account] = collections.deque()
        waiters.append((priority, start, next(self._sequence), waiter))
        self.length += 1

    def peek(self):
        """Return the next waiter, or None; drops abandoned waiters."""
        entry = self._first(list(self.by_account))
        return None if entry is None else entry[-1]

    def pop(self):
        """Remove and return the next waiter, or None."""
        waiter = self.peek()
        return None if waiter is None else self._remove_first(waiter.account)

    def peek_role(self, role):
        """Return the next waiter that needs a database role, or None."""
        accounts = [
            account
            for account, waiters in self.by_account.items()
            if waiters[0][-1].role == role
        ]
        entry = self._first(accounts)
        return None if entry is None else entry[-1]

    def pop_role(self, role):
        """Remove and return the next waiter that needs a database role."""
        waiter = self.peek_role(role)
        return None if waiter is None else self._remove_first(waiter.account)

    def roles(self):
        """Return the roles of the accounts' first waiters, in serving order."""
        for account in list(self.by_account):
            self._drop_abandoned(account)
        heads = sorted(waiters[0] for waiters in self.by_account.values())
        return list(dict.fromkeys(entry[-1].role for entry in heads))

    def count_role(self, role):
        """Return the number of waiters that need a database role.

        All waiters of an account count for the role of its first one.
        """
        return sum(
            len(waiters)
            for waiters in self.by_account.values()
            if waiters[0][-1].role == role
        )

    def count_account(self, account):
        """Return the number of waiters of a client account."""
        return len(self.by_account.get(account, ()))

    def expire(self, now):
        """Mark waiters whose deadline has passed as abandoned.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Waiter
            The waiters marked by this call.
        """
        expired = [
            entry[-1]
            for waiters in self.by_account.values()
            for entry in waiters
            if entry[-1].deadline <= now and not entry[-1].abandoned
        ]
        for waiter in expired:
            waiter.abandoned = True
        return expired

    def _first(self, accounts):
        """Return the entry with the lowest start tag of the given accounts."""
        best = None
        for account in accounts:
            self._drop_abandoned(account)
            waiters = self.by_account.get(account)
            if waiters and (best is None or waiters[0] < best):
                best = waiters[0]
        return best

    def _drop_abandoned(self, account):
        waiters = self.by_account[account]
        while waiters and waiters[0][-1].abandoned:
            self._drop_first(account, waiters)

    def _remove_first(self, account):
        waiters = self.by_account[account]
        _, start, _, waiter = waiters[0]
        self.virtual_time = max(self.virtual_time, start)
        self._drop_first(account, waiters)
        return waiter

    def _drop_first(self, account, waiters):
        waiters.popleft()
        self.length -= 1
        if not waiters:
            del self.by_account[account]
        if not self.by_account:
            self.finish_tags.clear()
            self.virtual_time = 0.0
