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
        What the caller of the pool wants back.
    weight : float
        Share of the client account among those that wait.
    abandoned : bool
        Whether the statement no longer waits.
    """

    account: str
    role: str
    deadline: float
    context: object
    weight: float = 1.0
    abandoned: bool = False


class FairQueue:
    """Orders waiters so that each account gets its weighted share.

    Attributes
    ----------
    length : int
        Waiters, those abandoned but not dropped yet included.

    Notes
    -----
    Each waiter gets a start tag: the larger of the queue's virtual time and
    the finish tag of the account's previous waiter. The lowest start tag goes
    first, and virtual time follows it. Waiters of one account keep their
    order, so only the first of each account is looked at.

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

    def push(self, waiter):
        """Add a waiter."""
        start = max(self.virtual_time, self.finish_tags.get(waiter.account, 0.0))
        self.finish_tags[waiter.account] = start + 1.0 / waiter.weight
        waiters = self.by_account.get(waiter.account)
        if waiters is None:
            waiters = self.by_account[waiter.account] = collections.deque()
        waiters.append((start, next(self._sequence), waiter))
        self.length += 1

    def peek(self):
        """Return the next waiter, or None; abandoned ones are dropped."""
        entry = self._first(list(self.by_account))
        return None if entry is None else entry[2]

    def pop(self):
        """Remove and return the next waiter, or None."""
        waiter = self.peek()
        return None if waiter is None else self._remove_first(waiter.account)

    def peek_role(self, role):
        """Return the next waiter that needs a database role, or None."""
        accounts = [
            account
            for account, waiters in self.by_account.items()
            if waiters[0][2].role == role
        ]
        entry = self._first(accounts)
        return None if entry is None else entry[2]

    def pop_role(self, role):
        """Remove and return the next waiter that needs a database role."""
        waiter = self.peek_role(role)
        return None if waiter is None else self._remove_first(waiter.account)

    def roles(self):
        """Return the roles that are waited for, in the order of their turns."""
        for account in list(self.by_account):
            self._drop_abandoned(account)
        heads = sorted(waiters[0] for waiters in self.by_account.values())
        return list(dict.fromkeys(entry[2].role for entry in heads))

    def count_role(self, role):
        """Return how many waiters need a database role."""
        return sum(
            len(waiters)
            for waiters in self.by_account.values()
            if waiters[0][2].role == role
        )

    def count_account(self, account):
        """Return how many waiters a client account has."""
        return len(self.by_account.get(account, ()))

    def expire(self, now):
        """Mark the waiters whose deadline has passed as abandoned.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Waiter
            Those that were waiting until now.
        """
        late = [
            entry[2]
            for waiters in self.by_account.values()
            for entry in waiters
            if entry[2].deadline <= now and not entry[2].abandoned
        ]
        for waiter in late:
            waiter.abandoned = True
        return late

    def _first(self, accounts):
        """Return the entry with the lowest start tag among some accounts."""
        best = None
        for account in accounts:
            self._drop_abandoned(account)
            waiters = self.by_account.get(account)
            if waiters and (best is None or waiters[0] < best):
                best = waiters[0]
        return best

    def _drop_abandoned(self, account):
        waiters = self.by_account[account]
        while waiters and waiters[0][2].abandoned:
            self._drop_first(account, waiters)

    def _remove_first(self, account):
        waiters = self.by_account[account]
        start, _, waiter = waiters[0]
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
