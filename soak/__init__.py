"""Soak tests: real instances and callers under randomized faults."""
