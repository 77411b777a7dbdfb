"""Rates and bursts of client accounts."""

from pomelograde.core.limits import _bucket

TokenBucket = _bucket.TokenBucket

__all__ = ["TokenBucket"]
