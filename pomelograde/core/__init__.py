"""Decisions without input or output; time and randomness are arguments."""
