"""Revisions of the platform's store that keep their order when the store is restored.

A store that is restored from a copy loses its latest changes and gives out their revision numbers
again. Its era, which rises with each restore, tells them apart. A revision in this project is one
integer, the era in the upper bits and the store's number in the lower ones, so that each state
after a restore follows each state before it.
"""

from __future__ import annotations

# 2^48 changes take 8,900 years at 1,000 a second.
NUMBER_BITS = 48
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# Revisions then fit the 64-bit integers of the messages between hosts.
MAX_ERA = (1 << 15) - 1


def make_revision(*, era: int, number: int) -> int:
    """Return the revision of the store's ``number`` in an era.

    Raises ValueError when one of them is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= MAX_NUMBER):
        raise ValueError(f"revision {number} in era {era} is out of range")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number by which the store knows a revision in its era."""
    return revision & MAX_NUMBER


def format_revision(revision: int) -> str:
    """Return a revision for logs: ``number`` in era 0, ``era:number`` in a later one."""
    number = str(number_of(revision))
    return f"{era_of(revision)}:{number}" if era_of(revision) else number
