"""Sliding-window counts for tests of rate limits."""

import bisect


def max_count_in_window(times, window_s):
    """Return the largest number of the sorted times within any window."""
    ends = [bisect.bisect_right(times, start + window_s) for start in times]
    return max(end - first for first, end in enumerate(ends))
