"""Admission of requests by another instance, which holds the account's rate."""

import attrs

from pomelograde.core import retries
from pomelograde.net import peer_messages

MAX_HOLDERS_ASKED = 3  # asked one after another if some do not answer
MAX_REFUSALS = 2  # holders whose tokens are used up, of those that are asked

_KIND = retries.ErrorKind
_REFUSALS = frozenset(found.value for found in _KIND)


class AdmissionCall:
    """Asks holders of a client account's rate for one token.

    The load that this answers: after all instances have started again, the tokens
    of an account within its rate are few, and spread unevenly over its holders.
    One that refuses says little about the others, so a second one is asked.

    Parameters
    ----------
    relay : Relay
        Sends the request, and detects peers that do not answer.
    holders : list of Instance
        Instances to ask, in order.
    request : AdmitRequest
        The request.
    done : Deferred of Failure or None
        Fires with None once the request is admitted, otherwise with the reason.

    Attributes
    ----------
    peer : Instance or None
        Instance that was asked last.
    sent_at : float
        When it was asked.
    is_waiting : bool
        Whether its answer is outstanding.
    is_sent : bool
        Whether the request was written to a connection.
    sending : Deferred or None
        The last request.
    started_at : float
        When the first holder was asked.
    refusals : list of Failure
        Refusals of the holders that have no token in time.
    """

    def __init__(self, relay, holders, request, done):
        self.relay = relay
        self.holders = holders[:MAX_HOLDERS_ASKED]
        self.request = request
        self.done = done
        self.peer = None
        self.sent_at = 0.0
        self.is_waiting = False
        self.is_sent = False
        self.sending = None
        self.started_at = relay.context.now()
        self.refusals = []

    def start(self):
        """Ask the next holder; fails if there is none left."""
        if not self.holders and self.refusals:
            self._finish(min(self.refusals, key=_retry_after))
            return
        if not self.holders:
            account = self.request.account
            self._finish(retries.Failure(_KIND.NO_RATE_SHARE, account))
            return
        self.peer = self.holders.pop(0)
        self.sent_at = self.relay.context.now()
        self.is_waiting = True
        self.relay.send(self, self._divide_wait())

    def on_answer(self, message):
        """Handle a holder's answer."""
        if not self.is_waiting:
            return
        if not isinstance(message, peer_messages.AdmitAnswer):
            self.on_unreachable()
            return
        if message.refusal == _KIND.NO_RATE_SHARE.value:
            # For a moment, the two instances disagree on the holders.
            self.on_unreachable()
            return
        if not message.refusal:
            self._finish(None)
            return
        if message.refusal not in _REFUSALS:
            self.on_unreachable()  # a later build may have others
            return
        wait_s = message.retry_after_ms / 1000.0
        account = self.request.account
        kind = _KIND(message.refusal)
        self.refusals.append(retries.Failure(kind, account, retry_after_s=wait_s))
        if len(self.refusals) >= MAX_REFUSALS or not self._reduce_times():
            self.holders = []
        self.is_waiting = False
        self.start()

    def _divide_wait(self):
        """Return the request, with a half of the wait left for another holder."""
        if not self.holders or len(self.refusals) + 1 >= MAX_REFUSALS:
            return self.request
        return attrs.evolve(self.request, wait_ms=self.request.wait_ms // 2)

    def _reduce_times(self):
        """Take off the time that has passed; returns whether any is left."""
        passed_s = self.relay.context.now() - self.started_at
        self.started_at += passed_s
        passed_ms = int(passed_s * 1000.0)
        self.request = attrs.evolve(
            self.request,
            budget_ms=max(0, self.request.budget_ms - passed_ms),
            wait_ms=max(0, self.request.wait_ms - passed_ms),
        )
        return bool(self.request.budget_ms and self.request.wait_ms)

    def on_unreachable(self):
        """Ask the next holder, since this one does not answer."""
        if self.is_waiting:
            self.is_waiting = False
            self.start()

    def _finish(self, failure):
        self.is_waiting = False
        self.done.callback(failure)


def _retry_after(failure):
    return failure.retry_after_s
