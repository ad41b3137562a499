"""Checks of a backend server's entry, which another writer may have left, before any part uses it.

Entries are read from the store and passed on between hosts; a number that is too large for a
message or an address that no socket takes must cost no more than the entry that has it.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

from redwingswitch._internal.models.cookie_flows import ListedServer

MAX_PORT = 65_535
TUNNEL_PREFIX_BYTES = 8
# Longer than a DNS label; six changes with such names still fit one datagram.
MAX_NAME_CHARS = 128
# The platform's limit for a key.
MAX_SERVER_ID_BYTES = 200
MAX_SLOTS = 1_000_000
# The remaining slow start counts up to here; a server reports it again every second or so.
MAX_SLOW_START_MS = 3_600_000
# Integers that every codec and log reader represents exactly.
MAX_COUNTER = 2**53


def find_server_problem(server: ListedServer) -> str | None:
    """Return why an entry names no usable server, or None if it names one."""
    if problem := find_id_problem(server.server_id):
        return problem
    if not _is_name(server.service):
        text = server.service[:MAX_NAME_CHARS]
        return f"the service {text!r} is not 1 to {MAX_NAME_CHARS} characters"
    if problem := find_domain_problem(server.failure_domain):
        return problem
    for name, number, limits in (
        ("number of slots", server.slots, range(1, MAX_SLOTS + 1)),
        ("port", server.port, range(1, MAX_PORT + 1)),
        ("slow start", server.slow_start_left_ms, range(MAX_SLOW_START_MS + 1)),
        ("report number", server.report_number, range(MAX_COUNTER + 1)),
        ("start time", server.instance, range(MAX_COUNTER + 1)),
    ):
        if number not in limits:
            return f"the {name} is not from {limits.start} to {limits.stop - 1}"
    if len(server.tunnel_prefix) != TUNNEL_PREFIX_BYTES:
        return f"the tunnel prefix is not {TUNNEL_PREFIX_BYTES} bytes long"
    return _find_address_problem(server.address)


def find_id_problem(server_id: str) -> str | None:
    """Return why a text cannot be the id of a server, or None if it can."""
    is_word = _is_one_line(server_id) and " " not in server_id
    if is_word and len(server_id.encode()) <= MAX_SERVER_ID_BYTES:
        return None
    return f"the id {server_id[:MAX_NAME_CHARS]!r} has spaces, control characters or too many"


def find_domain_problem(name: str) -> str | None:
    """Return why a text cannot be the name of a failure domain, or None if it can."""
    if _is_name(name):
        return None
    return f"the failure domain {name[:MAX_NAME_CHARS]!r} is not 1 to {MAX_NAME_CHARS} characters"


def _find_address_problem(address: str) -> str | None:
    try:
        parsed = IPv4Address(address)
    except AddressValueError:
        return f"{address[:MAX_NAME_CHARS]!r} is not an IPv4 address"
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        return f"{address} is not the address of one server"
    return None


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME_CHARS and _is_one_line(text)


def _is_one_line(text: str) -> bool:
    """Return whether a text can be a value in a log line or a metric's label."""
    return bool(text) and text.isprintable()
