"""Admission control: a bounded queue for a fixed number of slots, some reserved for short work."""

from __future__ import annotations

from redwingswitch._internal.decisions.requests.admission import (
    AdmissionQueue,
    QueuedRequest,
    Refusal,
    SlotUse,
)
from redwingswitch._internal.decisions.requests.service_times import ServiceTimes
from redwingswitch._internal.models.configuration import SizeClass
from redwingswitch._internal.models.requests import SizeHint

__all__ = [
    "AdmissionQueue",
    "QueuedRequest",
    "Refusal",
    "ServiceTimes",
    "SizeClass",
    "SizeHint",
    "SlotUse",
]
