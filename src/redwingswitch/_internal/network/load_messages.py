"""Checks of the messages by which hosts tell each other the load that they observe.

``list_messages`` encodes them with the other messages between hosts.
"""

from __future__ import annotations

from collections.abc import Sequence

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.models.load_sharing import (
    MAX_AGE_CS,
    MAX_ANSWERED_PER_MESSAGE,
    MAX_ROUTES_PER_MESSAGE,
    MAX_SERVERS_PER_MESSAGE,
    MAX_SERVICES_PER_MESSAGE,
    DomainLoad,
    LoadReport,
    LoadSummary,
    LoadSums,
)
from redwingswitch._internal.network.packing import check_integer

MAX_UINT32 = 2**32 - 1
MAX_UINT64 = 2**64 - 1
MAX_PORT = 65_535
MAX_HOSTS = 100_000
MAX_NAME_CHARS = 255


def check_load_message(message: LoadReport | LoadSummary | DomainLoad) -> None:
    """Raise DecodeError if a value is out of range, so that it cannot be used in a sum."""
    if isinstance(message, LoadReport):
        check_integer(message.number, name="number", maximum=MAX_UINT64)
        check_integer(message.sent_ms, name="time of the report", maximum=MAX_UINT64)
        _check_length(message.answered, MAX_ANSWERED_PER_MESSAGE)
        if (
            message.answered
            and not 0 <= min(message.answered) <= max(message.answered) <= MAX_UINT32
        ):
            raise DecodeError("the id of a server has 32 bits")
    elif isinstance(message, LoadSummary):
        check_integer(message.report_sent_ms, name="time of the report", maximum=MAX_UINT64)
        check_integer(message.total_hosts, name="number of hosts", maximum=MAX_HOSTS)
        check_integer(message.host_count, name="number of hosts", maximum=message.total_hosts)
        check_integer(message.rank, name="rank", maximum=message.host_count - 1)
        check_integer(message.known_domains, name="number of domains", maximum=MAX_HOSTS)
    else:
        check_integer(message.number, name="number", maximum=MAX_UINT64)
        check_integer(message.host_count, name="number of hosts", maximum=MAX_HOSTS)
        if not 0 < len(message.failure_domain) <= MAX_NAME_CHARS:
            raise DecodeError("the name of a failure domain has 1 to 255 characters")
    _check_sums(message.sums)


def _check_sums(sums: LoadSums) -> None:
    _check_length(sums.servers, MAX_SERVERS_PER_MESSAGE)
    _check_length(sums.routes, MAX_ROUTES_PER_MESSAGE)
    _check_length(sums.services, MAX_SERVICES_PER_MESSAGE)
    check_integer(sums.moved_flows, name="moved flows", maximum=MAX_UINT32)
    for entry in (*sums.servers, *sums.routes, *sums.services):
        # By the entry: a reader checks some thousand of them a second.
        if min(entry) < 0 or max(entry) > MAX_UINT32:
            raise DecodeError(f"an entry has integers from 0 to {MAX_UINT32}, not {entry}")
    for server in sums.servers:
        if server.silent_age_cs > MAX_AGE_CS or server.answer_age_cs > MAX_AGE_CS:
            raise DecodeError(f"an age is at most {MAX_AGE_CS} hundredths of a second")
    for route in sums.routes:
        check_integer(route.port, name="port", maximum=MAX_PORT)


def _check_length(entries: Sequence[object], limit: int) -> None:
    if len(entries) > limit:
        raise DecodeError(f"a message has at most {limit} entries of a kind, not {len(entries)}")
