"""``redwingswitch-steer check_configuration``: check a configuration before it is sent."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path
from typing import NoReturn

import msgspec

from redwingswitch._internal.cli import status_codes
from redwingswitch._internal.exceptions import (
    COMMAND_LINE,
    DecodeError,
    Finding,
    InvalidInputGroup,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from redwingswitch._internal.platform.configuration_check.check import (
    CheckReport,
    check_configuration,
)
from redwingswitch._internal.platform.configuration_check.document import read_configuration
from redwingswitch._internal.platform.configuration_check.in_force import InForce, read_store
from redwingswitch._internal.platform.entries import decode_routes
from redwingswitch._internal.platform.http_connection import MAX_RESPONSE_BYTES
from redwingswitch._internal.steering_settings import DEFAULT_STORE_TIMEOUT_MS
from redwingswitch._internal.utils.toml_reader import FindingCollector, TableReader

# The hosts read a configuration in base64 in one response of the store.
MAX_CONFIGURATION_BYTES = MAX_RESPONSE_BYTES // 4 * 3


class OutputFormat(StrEnum):
    """The forms of the report."""

    TEXT = "text"
    JSON = "json"


def run(*, file: str, current: str, store: str, output_format: str, demand: str) -> int:
    """Print the report on ``file``; return 0 without errors and 1 with errors.

    Raises InvalidInputGroup for an invalid option, and for a file or store that cannot be read.
    """
    chosen_format = _parse_format(output_format)
    requests_per_s_by_route = _parse_demand(demand)
    value = _read_file(file)
    report = check_configuration(
        file=file,
        value=value,
        in_force=_read_in_force(current, store),
        requests_per_s_by_route=requests_per_s_by_route,
    )
    print(_to_json(file, report) if chosen_format is OutputFormat.JSON else _to_text(file, report))
    return status_codes.ERROR if report.errors else status_codes.SUCCESS


def _to_text(file: str, report: CheckReport) -> str:
    lines = [f"{file}: {len(report.errors)} error(s), {len(report.warnings)} warning(s)"]
    lines += _section("errors", report.errors)
    lines += _section("warnings", report.warnings)
    lines += _section("not checked", report.not_checked)
    if report.version_in_force is not None and report.version is not None:
        title = f"changes from version {report.version_in_force} to {report.version}"
        lines += _section(title, report.changes) or [f"{title}: none"]
    else:
        lines += _section("changes", report.changes)
    return "\n".join(lines)


def _section(title: str, entries: Sequence[object]) -> list[str]:
    return [f"{title}:", *(f"  {entry}" for entry in entries)] if entries else []


def _to_json(file: str, report: CheckReport) -> str:
    changes = [
        {
            "action": change.difference.action,
            "target": change.difference.target,
            "fields": [field._asdict() for field in change.difference.fields],
            "open_flows": change.open_flows,
        }
        for change in report.changes
    ]
    content = {
        **report._asdict(),
        "file": file,
        "errors": [finding._asdict() for finding in report.errors],
        "warnings": [finding._asdict() for finding in report.warnings],
        "changes": changes,
    }
    return msgspec.json.format(msgspec.json.encode(content)).decode()


def _parse_format(text: str) -> OutputFormat:
    try:
        return OutputFormat(text)
    except ValueError:
        _reject(COMMAND_LINE, "--format", f"{text!r} is unknown", "write text or json")


def _parse_demand(text: str) -> dict[str, float]:
    found = {}
    for part in filter(None, text.split(",")):
        name, _, number = part.rpartition("=")
        try:
            requests_per_s = float(number)
        except ValueError:
            requests_per_s = math.nan
        if not name or not 0 <= requests_per_s < math.inf:
            remedy = "write ROUTE=REQUESTS_PER_S, separated by commas, such as lookup=569,export=49"
            _reject(COMMAND_LINE, "--demand", f"{part!r} is no demand of a route", remedy)
        found[name] = requests_per_s
    return found


def _read_in_force(current: str, store: str) -> InForce | None:
    if current and store:
        _reject(COMMAND_LINE, "--store", "given besides --current", "give one of them")
    if current:
        return _read_current(current)
    if not store:
        return None
    collector = FindingCollector(file=COMMAND_LINE)
    options = TableReader(values={"--store": store}, path=(), collector=collector)
    address, port = options.endpoint("--store")
    if findings := collector.findings(""):
        raise InvalidInputGroup.from_options(findings)
    reading = read_store(address=address, port=port, timeout_ms=DEFAULT_STORE_TIMEOUT_MS)
    try:
        return asyncio.run(reading)
    except (StoreUnavailableError, StoreHistoryLostError, DecodeError) as error:
        _reject(store, "(whole store)", str(error), "check the address and try again")


def _read_current(file: str) -> InForce:
    value = _read_file(file)
    try:
        decode_routes(value)
    except DecodeError as error:
        _reject(file, "(whole file)", str(error), "give the configuration that is in force")
    return InForce(configuration=read_configuration(value))


def _read_file(file: str) -> bytes:
    try:
        with Path(file).open("rb") as opened:
            value = opened.read(MAX_CONFIGURATION_BYTES + 1)
    except OSError as error:
        problem = f"cannot be read: {error.strerror}"
        _reject(file, "(whole file)", problem, "give the path of a readable file")
    if len(value) > MAX_CONFIGURATION_BYTES:
        problem = f"the file has more than the {MAX_CONFIGURATION_BYTES} bytes that hosts can read"
        _reject(file, "(whole file)", problem, "write fewer routes")
    return value


def _reject(file: str, key_path: str, problem: str, remedy: str) -> NoReturn:
    finding = Finding(file, None, key_path, problem, remedy)
    raise InvalidInputGroup.from_findings(subject=file, findings=[finding])
