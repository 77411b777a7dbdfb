"""Queue of waiters by priority class, with a guaranteed share for each class."""

from pomelograde.core.pooling import _queue

# A class that waits gets at least one of this many turns.
FLOOR_TURNS = 8
# More than two lower classes get smaller shares, so that about three quarters of
# the turns are left to the first class.
FLOOR_TURNS_PER_CLASS = 4
LATE_CLASS = 256  # below all priorities of routes
ABOVE_SHARE = 512  # added to the class of a waiter whose account is above its share
# Turns by which an account may be ahead of its fair share before its waiters give
# way to all others; several times what an account within its share sends at once.
MAX_AHEAD_TURNS = 8.0


def floor_turns(class_count):
    """Return the turns of which each class gets one, given those that wait."""
    return max(FLOOR_TURNS, FLOOR_TURNS_PER_CLASS * (class_count - 1))


class PriorityQueue:
    """Orders waiters by priority class, and inside a class by `FairQueue`.

    Attributes
    ----------
    length : int
        Number of waiters, including abandoned ones that are still queued.
    classes : dict of int to FairQueue
        Waiters by priority; 0 is served first.
    skipped : dict of int to int
        Turns that each class with waiters has let pass since its own last one.
    fair_turns : float
        Turns that an account with waiters has had since the queue was empty, had
        all of them got equal shares.
    taken : dict of int to dict of str to float
        By priority and account: the same number after the account's last waiter
        of that priority or a higher one, each of which takes a turn.

    Notes
    -----
    It has the interface of `FairQueue`. Strict priority would starve the lower
    classes while a higher one asks for more than there is. A class that
    would otherwise get less than its guaranteed share is therefore next, the one
    that has waited longest first.

    Priority alone would let one account that sends many times its usual traffic
    in a high class take the turns of others in a lower class. A waiter whose
    account is far ahead of its fair share, by what it has asked for in that class
    and higher ones, thus gives way to all others.
    """

    def __init__(self):
        self.classes = {}
        self.skipped = {}
        self.fair_turns = 0.0
        self.taken = {}

    @property
    def length(self):
        """Number of waiters, including abandoned ones that are still queued."""
        total = 0
        for queue in self.classes.values():
            total += queue.length
        return total

    @property
    def account_count(self):
        """Number of pairs of priority class and client account with waiters."""
        total = 0
        for queue in self.classes.values():
            total += len(queue.by_account)
        return total

    def classify(self, waiter, is_late=False):
        """Set the class in which a waiter will be queued.

        Parameters
        ----------
        waiter : Waiter
            The waiter.
        is_late : bool
            Whether its answer will be late even without a wait.
        """
        found = LATE_CLASS if is_late else waiter.priority
        taken = self.taken.get(waiter.priority, {}).get(waiter.account, 0.0)
        ahead = taken - self.fair_turns
        waiter.turn_class = found + (ABOVE_SHARE if ahead > MAX_AHEAD_TURNS else 0)

    def push(self, waiter, by_priority=True):
        """Add a waiter; it goes by priority whatever `by_priority` says."""
        if waiter.turn_class is None:
            self.classify(waiter)
        queue = self.classes.get(waiter.turn_class)
        if queue is None:
            queue = self.classes[waiter.turn_class] = _queue.FairQueue()
        queue.push(waiter)
        self.taken.setdefault(waiter.priority, {})
        for priority, taken in self.taken.items():
            if priority >= waiter.priority:
                start = max(self.fair_turns, taken.get(waiter.account, 0.0))
                taken[waiter.account] = start + 1.0 / waiter.weight

    def peek(self):
        """Return the next waiter, or None; drops abandoned waiters."""
        for priority in self._order():
            waiter = self.classes[priority].peek()
            if waiter is not None:
                return waiter
        return None

    def pop(self):
        """Remove and return the next waiter, or None."""
        for priority in self._order():
            waiter = self.classes[priority].pop()
            if waiter is not None:
                self._count_turn(priority)
                return waiter
        return None

    def pop_role(self, role):
        """Remove and return the next waiter that needs a database role."""
        for priority in self._order():
            waiter = self.classes[priority].pop_role(role)
            if waiter is not None:
                self._count_turn(priority)
                return waiter
        return None

    def roles(self):
        """Return the roles of the accounts' first waiters, in serving order."""
        found = [self.classes[priority].roles() for priority in self._order()]
        return list(dict.fromkeys(role for roles in found for role in roles))

    def count_role(self, role):
        """Return the number of waiters that need a database role."""
        return sum(queue.count_role(role) for queue in self.classes.values())

    def count_account(self, account, priority):
        """Return the number of waiters of a client account in a class."""
        queue = self.classes.get(priority)
        return 0 if queue is None else queue.count_account(account)

    def count_accounts(self, priority):
        """Return the number of client accounts with waiters in a class."""
        queue = self.classes.get(priority)
        return 0 if queue is None else len(queue.by_account)

    def count_ahead(self, account, priority):
        """Return how many waiters of a class are served before one more of it."""
        queue = self.classes.get(priority)
        if queue is None:
            return 0
        # The accounts take turns.
        rounds = queue.count_account(account) + 1
        return min(queue.length, rounds * len(queue.by_account))

    def count_turns(self, account, priority):
        """Return how many turns one more waiter would wait for, its own included.

        Parameters
        ----------
        account : str
            Client account.
        priority : int
            Its priority class.

        Returns
        -------
        int
            Turns, if no further waiters arrive in higher classes; at most those
            that the guaranteed share of the class takes.
        """
        waiting = {p: queue.length for p, queue in self.classes.items() if queue.length}
        higher = sum(length for p, length in waiting.items() if p < priority)
        ahead = self.count_ahead(account, priority)
        class_count = len(waiting.keys() | {priority})
        return min(higher + ahead + 1, floor_turns(class_count) * (ahead + 1))

    def expire(self, now):
        """Mark waiters whose deadline has passed as abandoned, and return them."""
        return [
            waiter for queue in self.classes.values() for waiter in queue.expire(now)
        ]

    def expire_useless(self, now):
        """Mark waiters whose useful time has passed as abandoned, and return them.

        Abandoned waiters are taken out, so that nobody's wait includes them.
        """
        expired = [
            entry[-1]
            for queue in self.classes.values()
            for waiters in queue.by_account.values()
            for entry in waiters
            if entry[-1].useful_until <= now and not entry[-1].abandoned
        ]
        for waiter in expired:
            waiter.abandoned = True
        for queue in self.classes.values():
            queue.prune()
        return expired

    def _order(self):
        """Return the priorities with waiters in the order of their next turns."""
        waiting = sorted(
            priority for priority, queue in self.classes.items() if queue.length
        )
        # All lower classes may be due at the same turn.
        limit = floor_turns(len(waiting)) - max(1, len(waiting) - 1)
        due = [p for p in waiting if self.skipped.get(p, 0) >= limit]
        if not due:
            return waiting
        due.sort(key=lambda priority: -self.skipped[priority])
        return due + [priority for priority in waiting if priority not in due]

    def _count_turn(self, served):
        accounts = self.account_count
        if accounts:
            self.fair_turns += 1.0 / accounts
        else:
            self.fair_turns = 0.0
            self.taken.clear()
        for priority, queue in self.classes.items():
            if priority == served or not queue.length:
                self.skipped[priority] = 0
            else:
                self.skipped[priority] = self.skipped.get(priority, 0) + 1
