"""A budget for retries, and the delay before each."""

from __future__ import annotations

from redwingswitch._internal.decisions.retry import RetryBudget, backoff_ms

__all__ = ["RetryBudget", "backoff_ms"]
