"""Compensation for the tokens that splitting a rate between instances loses."""

SLACK_FRACTION = 0.5  # of the operations that operators tolerate beyond the excess
EXCESS_FRACTION = 0.4  # of the excess that operators tolerate; the rest is a margin


def compensated_limits(rate_per_s, burst, excess, slack):
    """Return the rate and burst that are divided between the instances.

    Parameters
    ----------
    rate_per_s, burst : float
        The client account's limits.
    excess : float
        Fraction by which operators tolerate the limits to be exceeded.
    slack : float
        Operations that operators tolerate in a window besides the excess.

    Notes
    -----
    A small share of a burst overflows while no request arrives, and tokens in
    transit between instances serve no request, so an account that asks for
    more than its rate gets about 0.96 of it. Handing out a part of the
    tolerated excess and slack makes up for this loss.
    """
    return (
        rate_per_s * (1.0 + EXCESS_FRACTION * excess),
        burst + SLACK_FRACTION * slack,
    )
