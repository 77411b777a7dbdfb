"""Counts within sliding windows, for tests of rates."""

import bisect


def max_count_in_window(times, window_s):
    """Return the most of sorted times that lie within any span of a length."""
    ends = [bisect.bisect_right(times, start + window_s) for start in times]
    return max(end - first for first, end in enumerate(ends))
