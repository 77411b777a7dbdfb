"""Tests of the placement of statements."""
