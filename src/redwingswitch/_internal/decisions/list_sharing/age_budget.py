"""How the time limit for noticing a change is divided between the reader and its followers.

A follower of a reader that has lost the store notices a change last. It trusts the reader's list up
to an age, notices within a check interval that the list is older, looks for another reader, and
reads the store itself.
"""

from __future__ import annotations

from typing import NamedTuple

# A change is read immediately after a period without changes. While changes continue, the list is
# read this many times within the limit.
READS_PER_LIMIT = 3
# A follower abandons a reader whose list is older than this part of the limit. This is longer than
# one read interval and a lost datagram.
READER_AGE_RATIO = 2 / 3
# How often a host checks whether its reader's list is too old.
FOLLOW_CHECK_INTERVAL_MS = 250
# Hosts of a failure domain answer each other within a few ms; more than that only delays a start.
READER_ANSWER_TIMEOUT_MS = 60
# The reader answers a request for routes within a few ms; a part of the answer may be lost once.
ROUTES_ANSWER_TIMEOUT_MS = 100
ROUTES_REQUESTS = 2
# A read of the store after the reader is lost: its record, the servers, the failure domains out of
# service, and the routes.
CALLS_TO_CATCH_UP = 4
# A store that is ten times slower than usual, with the way between two regions and back.
CALL_MS = 60
# The event loop may be busy with a batch of packets when an answer arrives.
APPLY_MS = 50


class AgeBudget(NamedTuple):
    """The parts of a time limit; all but ``limit_ms`` and ``read_interval_ms`` add up."""

    limit_ms: int
    read_interval_ms: int
    reader_age_ms: int
    detection_ms: int
    reader_answer_ms: int
    read_ms: int
    apply_ms: int

    @property
    def longest_ms(self) -> int:
        """Return the time after which a follower has applied a change that its reader missed."""
        parts = (self.reader_age_ms, self.detection_ms, self.reader_answer_ms, self.read_ms)
        return sum(parts) + self.apply_ms

    @property
    def longest_routes_ms(self) -> int:
        """Return the same for routes that the reader has announced and does not deliver."""
        return self.longest_ms + ROUTES_REQUESTS * ROUTES_ANSWER_TIMEOUT_MS

    @property
    def fits(self) -> bool:
        """Return whether the parts fit the limit."""
        return self.longest_routes_ms <= self.limit_ms


def age_budget(limit_ms: int) -> AgeBudget:
    """Return the parts of a limit.

    A limit below 2.4 s does not fit the waits and the calls, and is then kept only while no reader
    loses the store.
    """
    return AgeBudget(
        limit_ms=limit_ms,
        read_interval_ms=limit_ms // READS_PER_LIMIT,
        reader_age_ms=int(limit_ms * READER_AGE_RATIO),
        detection_ms=FOLLOW_CHECK_INTERVAL_MS,
        reader_answer_ms=READER_ANSWER_TIMEOUT_MS,
        read_ms=CALLS_TO_CATCH_UP * CALL_MS,
        apply_ms=APPLY_MS,
    )
