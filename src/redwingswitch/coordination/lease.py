"""A lease in a key-value store, with fencing."""

from __future__ import annotations

from redwingswitch._internal.decisions.configuration.lease import LeaseHolder
from redwingswitch._internal.models.actions import AcquireLease, ReleaseLease
from redwingswitch._internal.models.events import LeaseGranted

__all__ = ["AcquireLease", "LeaseGranted", "LeaseHolder", "ReleaseLease"]
