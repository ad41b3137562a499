"""Calculations on the observations of servers that hosts tell each other."""

from __future__ import annotations

from redwingswitch._internal.models.load_sharing import MAX_AGE_CS, MS_PER_CS, LoadSums, ServerSums

TENTHS = 10
# A server whose mean relative service time is at least this is slow.
SLOW_RELATIVE_TIME = 1.5
# One host names a server as slow when its service times exceed that bound by this many usual ones
# in all; a single long request of a server that is not slow rarely does.
UNUSUAL_EXCESS_TENTHS = 30
MIN_OVERDUE_REQUESTS = 2
# The word of one host, whose own link may be bad, does not make a server suspected.
MIN_SILENT_HOSTS = 2
# A host with an unconfirmed unanswered opening packet may have missed the acknowledgement of the
# answer, so it takes one host more.
MIN_UNCONFIRMED_HOSTS = 3
# Beyond this part of all servers, the hosts miss the acknowledgements rather than the answers.
MAX_UNCONFIRMED_RATIO = 0.5
# One flow may also have been forgotten by its host.
MIN_MOVED_FLOWS = 2
# A host first reports an unconfirmed opening 40 to 140 ms after it was sent, again 500 ms later.
NEW_UNCONFIRMED_AGE_CS = 30
# Sums that decay with a half-life of 2 s contain the events of the last 2.9 s.
SUM_WINDOW_S = 2.885
# Overdue requests are compared with the answers of this time, as the first are overdue earlier than
# the sums of answers fall.
OVERDUE_WINDOW_S = 0.5


def have_flows_moved(sums: LoadSums) -> bool:
    """Return whether the routers have just sent flows to other hosts.

    The host through which such a flow was opened does not see its answer, as if the server left the
    request unanswered.
    """
    return sums.moved_flows >= MIN_MOVED_FLOWS


def age_cs(event_ms: int | None, now_ms: int) -> int:
    """Return the age of an event for a message."""
    if event_ms is None:
        return MAX_AGE_CS
    return min(MAX_AGE_CS, max(0, (now_ms - event_ms) // MS_PER_CS))


def excess_tenths(entry: ServerSums) -> float:
    """Return by how much the sum of relative service times exceeds that of a slow server."""
    return entry.relative_time_tenths - SLOW_RELATIVE_TIME * entry.answers_tenths


def is_unusual(entry: ServerSums) -> bool:
    """Return whether something speaks against a server."""
    return bool(
        entry.silent_hosts
        or entry.unconfirmed_hosts
        or entry.overdue_requests
        or excess_tenths(entry) >= UNUSUAL_EXCESS_TENTHS
    )


def is_new_evidence(entry: ServerSums) -> bool:
    """Return whether the report of a host that names a server should be added up at once.

    A host repeats an unconfirmed opening while it knows of no later answer, though other hosts do.
    """
    is_repeated = entry.unconfirmed_hosts and entry.silent_age_cs > NEW_UNCONFIRMED_AGE_CS
    return is_unusual(entry._replace(unconfirmed_hosts=0) if is_repeated else entry)


def mean_relative_time(entry: ServerSums) -> float:
    """Return the mean relative service time; 1 without answers."""
    if not entry.answers_tenths:
        return 1.0
    return entry.relative_time_tenths / entry.answers_tenths


def overdue_ratio(entry: ServerSums) -> float:
    """Return the part of a server's requests of about the last half second that is overdue."""
    return _overdue_ratio(entry.overdue_requests, entry.busy_flows, entry.answers_tenths)


def mean_overdue_ratio(sums: LoadSums) -> float:
    """Return the part of all requests of about the last half second that is overdue."""
    return _overdue_ratio(
        sum(entry.overdue_requests for entry in sums.servers),
        sum(each.busy_flows for each in sums.services),
        sum(route.answers_tenths for route in sums.routes),
    )


def _overdue_ratio(overdue: int, busy_flows: int, answers_tenths: int) -> float:
    answers = answers_tenths / TENTHS * OVERDUE_WINDOW_S / SUM_WINDOW_S
    requests = max(busy_flows, overdue) + answers
    return overdue / requests if requests else 0.0


def by_significance(entry: ServerSums) -> tuple[int, int, float, int, int]:
    """Return a sort key: silent servers, overdue requests, slow ones, unconfirmed, busy ones."""
    excess = max(0.0, excess_tenths(entry)) if is_unusual(entry) else 0.0
    return (
        -entry.silent_hosts,
        -entry.overdue_requests,
        -excess,
        -entry.unconfirmed_hosts,
        -entry.busy_flows,
    )
