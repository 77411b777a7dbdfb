"""Tests of simulated fleets."""
