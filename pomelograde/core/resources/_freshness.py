"""Tracks when the configuration in force was last confirmed as the latest."""

import attrs


@attrs.frozen
class PeerAnswer:
    """A peer's answer to a request about its configuration.

    Attributes
    ----------
    asked_at : float
        When the request was sent, in monotonic seconds of the sender.
    revision : int
        Revision in force at the peer.
    confirmed_age_s : float
        Time since the peer's revision was confirmed as the latest.
    unresolved : bool
        Whether the peer has commits whose outcome it doesn't know.
    stopped : bool
        Whether the peer has stopped: nothing listens at its address.
    """

    asked_at: float
    revision: int = 0
    confirmed_age_s: float = float("inf")
    unresolved: bool = False
    stopped: bool = False


@attrs.define
class FreshnessTracker:
    """Tracks when the revision in force was last confirmed as the latest.

    Attributes
    ----------
    confirmed_at : float
        Time of the last confirmation, in monotonic seconds.
    answers : dict of str to PeerAnswer
        Last answer of each peer, by instance name.

    Notes
    -----
    All times are those of requests, not of answers. An instance that was
    paused therefore doesn't mistake an answer that arrived meanwhile for a
    recent one.
    """

    confirmed_at: float = float("-inf")
    answers: dict[str, PeerAnswer] = attrs.field(factory=dict)

    def on_platform_answer(self, asked_at):
        """Record an answer of the platform to a request sent at `asked_at`."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def on_peer_answer(self, name, answer, revision):
        """Record a peer's answer.

        Parameters
        ----------
        name : str
            Name of the peer.
        answer : PeerAnswer
            Answer of the peer.
        revision : int
            Revision in force here, after the peer's changes were applied.
        """
        known = self.answers.get(name)
        if known is not None and known.asked_at > answer.asked_at:
            return
        self.answers[name] = answer
        if answer.revision == revision:
            confirmed_at = answer.asked_at - answer.confirmed_age_s
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def confirm_by_all_peers(self, names, revision):
        """Confirm the revision if the answers of all peers allow it.

        Parameters
        ----------
        names : iterable of str
            Names of all registered instances except this one.
        revision : int
            Revision in force here.

        Notes
        -----
        Only instances commit changes. If each of them has stopped or is at
        this revision or an earlier one, there is no later revision. Nothing
        is confirmed while a peer has not answered or has a commit whose
        outcome it doesn't know.
        """
        answers = [self.answers.get(name) for name in names]
        if not answers or not all(
            _excludes_later_revision(answer, revision) for answer in answers
        ):
            return
        oldest = min(answer.asked_at for answer in answers)
        self.confirmed_at = max(self.confirmed_at, oldest)

    def age(self, now):
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_at

    def retain(self, names):
        """Drop the answers of instances that are no longer registered."""
        self.answers = {
            name: answer for name, answer in self.answers.items() if name in names
        }


def _excludes_later_revision(answer, revision):
    if answer is None or answer.unresolved:
        return False
    return answer.stopped or answer.revision <= revision
