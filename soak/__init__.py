"""Randomized runs of real instances with faults from outside."""
