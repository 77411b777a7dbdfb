"""What the instances of a fleet split of an account's rate."""

SLACK_PART = 0.5  # of the operations beyond the rate that operators tolerate
EXCESS_PART = 0.4  # of the tolerated share beyond the rate; the rest is a margin


def compensated_limits(rate_per_s, burst, excess, slack):
    """Return the rate and burst whose parts the instances hold.

    Parameters
    ----------
    rate_per_s, burst : float
        The account's limits.
    excess : float
        Share beyond the limits that operators tolerate.
    slack : float
        Operations beyond them that a window may hold besides.

    Notes
    -----
    Small parts of a burst lose what accrues while nobody asks for it, and
    tokens on their way between instances serve nobody: an account that asks
    for more than its rate gets some 0.96 of it. Parts of what operators
    tolerate make up for that.
    """
    return rate_per_s * (1.0 + EXCESS_PART * excess), burst + SLACK_PART * slack
