"""Graceful stop, which waits for work in progress up to a deadline."""

from __future__ import annotations

from redwingswitch._internal.decisions.graceful_stop import GracefulStop
from redwingswitch._internal.models.actions import Log, StopCompleted

__all__ = ["GracefulStop", "Log", "StopCompleted"]
