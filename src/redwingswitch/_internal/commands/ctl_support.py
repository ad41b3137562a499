"""Helpers of the redwingswitchctl commands: clients, option parsing and error output."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from redwingswitch._internal.cli.status_codes import (
    CONFLICT,
    ERROR,
    INVALID_INPUT,
    STORE_UNAVAILABLE,
)
from redwingswitch._internal.exceptions import (
    ConfigurationConflictError,
    Finding,
    InvalidInputGroup,
    RedwingswitchError,
    StoreBehindFleetError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from redwingswitch._internal.models.configuration import MAX_DOCUMENT_BYTES
from redwingswitch._internal.network.fleet_client import HttpFleetStatusSource
from redwingswitch._internal.network.store_http import HttpConfigStore
from redwingswitch._internal.settings import read_text_file, url_problem

STORE_TIMEOUT_MS = 3_000
HOST_TIMEOUT_MS = 2_000
STANDARD_INPUT = "-"


class StoreAndStatusClients(NamedTuple):
    """Clients for the store and for the status of the entry hosts."""

    store: HttpConfigStore
    fleet: HttpFleetStatusSource


@asynccontextmanager
async def open_clients(store: str) -> AsyncIterator[StoreAndStatusClients]:
    """Open clients for the comma-separated endpoints in ``store``, and close them on exit."""
    clients = StoreAndStatusClients(
        store=HttpConfigStore(endpoints=parse_store_endpoints(store), timeout_ms=STORE_TIMEOUT_MS),
        fleet=HttpFleetStatusSource(timeout_ms=HOST_TIMEOUT_MS),
    )
    try:
        yield clients
    finally:
        clients.store.close()
        clients.fleet.close()


def parse_store_endpoints(option_value: str) -> list[str]:
    """Return the endpoints in a comma-separated list; raise InvalidInputGroup if one is invalid."""
    endpoints = [part.strip().rstrip("/") for part in option_value.split(",") if part.strip()]
    problems = [problem for problem in map(url_problem, endpoints) if problem]
    if not endpoints:
        problems.append("no endpoint is given")
    _raise_for_option("--store", problems, "write URLs such as http://10.0.0.1:2379")
    return endpoints


def parse_host_endpoints(option_value: str) -> tuple[str, ...]:
    """Return the admin endpoints in a comma-separated list; raise InvalidInputGroup on errors."""
    endpoints = tuple(part.strip() for part in option_value.split(",") if part.strip())
    problems = [p for p in (url_problem(f"http://{endpoint}") for endpoint in endpoints) if p]
    _raise_for_option("--hosts", problems, "write address:port, such as 10.0.0.1:7401")
    return endpoints


def check_whole_number(option: str, value: object) -> int:
    """Return ``value`` if it is an integer of at least 0; raise InvalidInputGroup otherwise."""
    if isinstance(value, int) and value >= 0:
        return value
    _raise_for_option(option, [f"{value!r} is not a whole number"], "write a number such as 30")
    return 0


def read_file(file: str) -> str:
    """Return the text of a configuration file, or the standard input for ``-``."""
    if file == STANDARD_INPUT:
        return sys.stdin.read(MAX_DOCUMENT_BYTES + 1)
    return read_text_file(Path(file), limit_bytes=MAX_DOCUMENT_BYTES)


def run_command(command: Coroutine[object, object, int]) -> int:
    """Run a command, print its error with the remedy, and return the exit status."""
    try:
        return asyncio.run(command)
    except InvalidInputGroup as group:
        print(group.message, file=sys.stderr)
        for error in group.exceptions:
            print(f"  {error}", file=sys.stderr)
        return INVALID_INPUT
    except RedwingswitchError as error:
        print(error, file=sys.stderr)
        return _exit_status(error)


def _exit_status(error: RedwingswitchError) -> int:
    if isinstance(error, ConfigurationConflictError | StoreBehindFleetError):
        return CONFLICT
    if isinstance(error, StoreUnavailableError):
        print("nothing was changed", file=sys.stderr)
        return STORE_UNAVAILABLE
    return STORE_UNAVAILABLE if isinstance(error, StoreOutcomeUnknownError) else ERROR


def _raise_for_option(option: str, problems: list[str], remedy: str) -> None:
    findings = [Finding.on_option(option, problem, remedy) for problem in problems]
    if findings:
        raise InvalidInputGroup.from_options(findings)
