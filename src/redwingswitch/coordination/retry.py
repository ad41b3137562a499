"""Retry budget and backoff."""

from __future__ import annotations

from redwingswitch._internal.decisions.retry import RetryBudget, backoff_ms

__all__ = ["RetryBudget", "backoff_ms"]
