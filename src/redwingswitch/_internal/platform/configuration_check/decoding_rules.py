"""Findings on what the hosts' decoder rejects or ignores."""

from __future__ import annotations

import re
from ipaddress import AddressValueError

import msgspec

from redwingswitch._internal.exceptions import DecodeError
from redwingswitch._internal.platform.configuration_check.document import KNOWN_KEYS, OtherFields
from redwingswitch._internal.platform.configuration_check.findings import CheckFindings
from redwingswitch._internal.platform.configuration_check.shape import (
    decode_as,
    find_shape_problems,
    split_array,
    split_object,
)
from redwingswitch._internal.platform.entries import (
    ConfigurationDocument,
    RouteDocument,
    build_route,
    decode_routes,
)
from redwingswitch._internal.utils.decoding import DECODING_ERRORS, describe_error
from redwingswitch._internal.utils.toml_paths import KeyPath

_BYTE_POSITION_PATTERN = re.compile(r"\(byte ([0-9]+)\)")
# Fields of a route that the hosts take for 0 if they are missing.
_FIELDS_WITH_DEFAULT = {
    "TimeoutMs": "no time budget",
    "TargetLatencyMs": "no latency goal",
    "Priority": "the highest priority",
}


def check_decoding(value: bytes, findings: CheckFindings) -> None:
    """Add an error for each reason why the hosts reject ``value``."""
    try:
        decode_routes(value)
    except DecodeError as error:
        if line := _find_syntax_error_line(value):
            problem = _describe_rejection(value, error)
            findings.add_syntax_error(problem, "write one JSON object", line=line)
        elif not _add_differences(value, findings):
            # The decoder reads all occurrences of a repeated key, the search only the last.
            findings.add_error((), str(error), "correct the value or remove a repeated key")


def check_ignored_fields(value: bytes, findings: CheckFindings) -> None:
    """Add warnings on fields that the hosts ignore or take a default for."""
    for difference in find_shape_problems(value, OtherFields):
        findings.add_warning(*difference)
    for path in findings.places.repeated:
        findings.add_warning(path, "the key is repeated", "keep one; the hosts use the last")
    _check_unknown_keys(findings)
    for position, route in enumerate(split_array(split_object(value).get("Routes"))):
        for name in _FIELDS_WITH_DEFAULT.keys() - split_object(route).keys():
            problem = f"missing field, which means {_FIELDS_WITH_DEFAULT[name]}"
            findings.add_warning(("Routes", position, name), problem, "add it")


def _find_syntax_error_line(value: bytes) -> int | None:
    """Return the line where a text stops being JSON, or None if it is JSON."""
    error = _find_syntax_error(value)
    if error is None:
        return None
    position = _BYTE_POSITION_PATTERN.search(error)
    end = int(position[1]) if position else len(value.rstrip())
    return value.count(b"\n", 0, end) + 1


def _find_syntax_error(value: bytes) -> str | None:
    try:
        value.decode()
        msgspec.json.decode(value)
    except UnicodeDecodeError as error:
        return f"not UTF-8 (byte {error.start})"
    except msgspec.ValidationError:
        # A number that is out of range, in correct JSON.
        return None
    except DECODING_ERRORS as error:
        return describe_error(error)
    return None


def _describe_rejection(value: bytes, error: DecodeError) -> str:
    if not value.strip():
        return "the file is empty"
    return _find_syntax_error(value) or str(error)


def _add_differences(value: bytes, findings: CheckFindings) -> bool:
    """Add an error for each field that cannot be decoded; return whether there is one."""
    differences = list(find_shape_problems(value, ConfigurationDocument))
    for difference in differences:
        findings.add_error(*difference)
    has_errors = bool(differences)
    for position, route in enumerate(split_array(split_object(value).get("Routes"))):
        entry = decode_as(route, RouteDocument)
        if entry is not None:
            has_errors |= _add_address_error(("Routes", position), entry, findings)
    return has_errors


def _add_address_error(path: KeyPath, entry: RouteDocument, findings: CheckFindings) -> bool:
    try:
        build_route(entry)
    except AddressValueError as error:
        findings.add_error((*path, "Host"), str(error), "write an IPv4 address such as 198.18.0.1")
    except ValueError as error:
        remedy = "write a port between slashes, such as /443/"
        findings.add_error((*path, "Prefix"), str(error), remedy)
    else:
        return False
    return True


def _check_unknown_keys(findings: CheckFindings) -> None:
    for path in findings.places.lines:
        if not path or isinstance(path[-1], int):
            continue
        known = KNOWN_KEYS.get(tuple(None if isinstance(p, int) else p for p in path[:-1]))
        if known is not None and path[-1] not in known:
            remedy = f"remove it or use one of: {', '.join(sorted(known))}"
            findings.add_warning(path, "unknown key, which the hosts ignore", remedy)
